"""A retry budget: further attempts are a share of the recent first tries, so they cannot feed on failure.

A count of attempts bounds one request; when most of a fleet fails, it multiplies the load by that count just
then. A share of recent traffic does not grow with the failures.
"""

from __future__ import annotations

from gannetweir.routing.rules import RetryBudgetRule

WINDOW_PARTS = 10  # of the window; what falls out of it goes by parts


class RetryBudget:
    """Counts over a sliding window, in parts: constant memory, no clock of its own."""

    def __init__(self, rule: RetryBudgetRule) -> None:
        self.rule = rule
        self.first_attempts = [0] * WINDOW_PARTS
        self.retries = [0] * WINDOW_PARTS
        self.current_part = 0  # number of the current part since the clock's start

    def _advance_window(self, now_us: int) -> int:
        part = now_us * WINDOW_PARTS // self.rule.window_us
        if part > self.current_part:  # a clock that steps back stays in the part where it was
            for old in range(self.current_part + 1, min(part, self.current_part + WINDOW_PARTS) + 1):
                self.first_attempts[old % WINDOW_PARTS] = self.retries[old % WINDOW_PARTS] = 0
            self.current_part = part
        return self.current_part % WINDOW_PARTS

    def record_first_attempt(self, now_us: int) -> None:
        """A first try: it earns its share."""
        self.first_attempts[self._advance_window(now_us)] += 1

    def retries_left(self, now_us: int) -> float:
        """Further attempts that may start now."""
        self._advance_window(now_us)
        return max(float(self.rule.min_retries), self.rule.retry_ratio * sum(self.first_attempts)) - sum(
            self.retries
        )

    def record_retry(self, now_us: int) -> None:
        """One further attempt has started."""
        self.retries[self._advance_window(now_us)] += 1

    def with_rule(self, rule: RetryBudgetRule) -> RetryBudget:
        """This budget under another rule. With another window the parts mean something else: it starts anew,
        but counts what was spent, or a reload in a rush would hand out a whole window's worth again.
        """
        if rule.window_us == self.rule.window_us:
            self.rule = rule
            return self
        new = RetryBudget(rule)
        new.current_part = self.current_part * self.rule.window_us // rule.window_us
        new.first_attempts[new.current_part % WINDOW_PARTS], new.retries[new.current_part % WINDOW_PARTS] = (
            sum(self.first_attempts),
            sum(self.retries),
        )
        return new
