"""Limits on what a route may hold and begin, and when to come again for those who are over.

What is over is rejected at once and told a time of its own: the places that the limit will have are handed
out one after another, so that those who come again do not come together and do not find it full again.
"""

from __future__ import annotations

from gannetweir.routing.rules import ConnectionLimitRule

MIN_RETRY_AFTER_US = 50_000  # nobody is told to come again sooner
FALLBACK_MIN_RATIO = (
    0.5  # where no place can be foretold, anything from this part of the longest advice to the whole of it
)


class ConnectionLimiter:
    """The state behind one `ConnectionLimitRule`. `max_retry_after_us` is what clients take."""

    def __init__(self, rule: ConnectionLimitRule, max_retry_after_us: int) -> None:
        self.rule, self.max_retry_after_us = rule, max_retry_after_us
        self.open_connections = 0
        self.bucket_full_us = 0.0  # when the bucket will be full again
        self.next_slot_us = 0.0  # the last place that was handed out

    @property
    def _setup_interval_us(self) -> float:
        return 1e6 / self.rule.max_setups_per_s

    def exceeded_limit(self, now_us: int) -> str:
        """Why one more would be over, or nothing. Changes nothing."""
        if self.rule.max_open and self.open_connections >= self.rule.max_open:
            return "open"
        if self.rule.max_setups_per_s:
            room = (max(1, self.rule.setup_burst) - 1) * self._setup_interval_us
            if max(self.bucket_full_us, now_us) - now_us > room:
                return "setups-per-second"
        return ""

    def acquire(self, now_us: int) -> None:
        """One more begins."""
        self.open_connections += 1
        if self.rule.max_setups_per_s:
            self.bucket_full_us = max(self.bucket_full_us, float(now_us)) + self._setup_interval_us

    def acquire_resumed(self) -> None:
        """One that stands already: it counts, but it is not begun here."""
        self.open_connections += 1

    def release(self) -> None:
        """One has ended."""
        self.open_connections = max(0, self.open_connections - 1)

    def retry_after_us(self, now_us: int, draw: float) -> int:
        """When one that is over is to come again. `draw` is a random number from 0 to 1."""
        longest = max(1, self.max_retry_after_us)
        if self.rule.max_setups_per_s:
            first = max(self.next_slot_us, self.bucket_full_us, now_us + min(MIN_RETRY_AFTER_US, longest))
            if first + self._setup_interval_us <= now_us + longest:
                self.next_slot_us = first + self._setup_interval_us
                return max(1, int(first - now_us))
        return max(1, int(longest * (FALLBACK_MIN_RATIO + (1.0 - FALLBACK_MIN_RATIO) * draw)))

    def with_rule(self, rule: ConnectionLimitRule, max_retry_after_us: int) -> ConnectionLimiter:
        """This limit under another rule: what stands still counts."""
        self.rule, self.max_retry_after_us = rule, max_retry_after_us
        return self
