"""A retry budget: retries are limited to a share of the recent first attempts.

A maximum number of attempts bounds a single request, but multiplies the load by that number when most of a
fleet fails. A share of recent traffic does not grow with the failures, so retries can't amplify an overload.
"""

from __future__ import annotations

from gannetweir.routing.rules import RetryBudgetRule

# Counts leave the window a tenth at a time: memory is constant, and the error is at most a tenth.
WINDOW_PARTS = 10


class RetryBudget:
    """Counts of attempts over a sliding window. Owns the counts; the caller passes the time in."""

    def __init__(self, rule: RetryBudgetRule) -> None:
        self.rule = rule
        self._first_attempts = [0] * WINDOW_PARTS
        self._retries = [0] * WINDOW_PARTS
        self._current_part = 0  # number of the current part, counted from the clock's zero

    def record_first_attempt(self, now_us: int) -> None:
        """Count a first attempt, which earns `retry_ratio` of a retry."""
        self._first_attempts[self._advance_window(now_us)] += 1

    def record_retry(self, now_us: int) -> None:
        """Count a retry that has started."""
        self._retries[self._advance_window(now_us)] += 1

    def remaining_retries(self, now_us: int) -> float:
        """Return how many retries may start now; no retry may start if the number is under 1."""
        self._advance_window(now_us)
        earned = self.rule.retry_ratio * sum(self._first_attempts)
        return max(float(self.rule.min_retries), earned) - sum(self._retries)

    def with_rule(self, rule: RetryBudgetRule) -> RetryBudget:
        """Return the budget under another rule: this one, or a new one if the length of the window differs.

        The parts of a new window have another length, so all counts move to its current part. If the counts
        were dropped, each reload during an overload would allow a full window's retries again.
        """
        if rule.window_us == self.rule.window_us:
            self.rule = rule
            return self
        budget = RetryBudget(rule)
        budget._current_part = self._current_part * self.rule.window_us // rule.window_us
        index = budget._current_part % WINDOW_PARTS
        budget._first_attempts[index] = sum(self._first_attempts)
        budget._retries[index] = sum(self._retries)
        return budget

    def _advance_window(self, now_us: int) -> int:
        """Drop the parts that have left the window; return the index of the current one."""
        part = now_us * WINDOW_PARTS // self.rule.window_us
        if part > self._current_part:  # a clock that steps back stays in the current part
            last_expired = min(part, self._current_part + WINDOW_PARTS)
            for expired in range(self._current_part + 1, last_expired + 1):
                self._first_attempts[expired % WINDOW_PARTS] = 0
                self._retries[expired % WINDOW_PARTS] = 0
            self._current_part = part
        return self._current_part % WINDOW_PARTS
