"""The concurrency limit and the rate limit of a route, and the Retry-After of requests over a limit.

A request over a limit is rejected at once. With a rate limit, each rejected request gets a set-up slot of its
own as Retry-After, so that clients do not retry together and exceed the limit again.
"""

from __future__ import annotations

from gannetweir.routing.rules import ConnectionLimitRule

MIN_RETRY_AFTER_US = 50_000  # a client that retries sooner is most likely rejected again
# Where no admission within the longest Retry-After can be predicted, a random Retry-After spreads the
# clients. This fraction of the longest Retry-After is its lower bound.
FALLBACK_MIN_RATIO = 0.5


class ConnectionLimiter:
    """The state behind one `ConnectionLimitRule`. Owns its counts; the caller passes the time in.

    The rate limit is a token bucket in the form of GCRA: its only state is the time at which the bucket is
    full again. `max_retry_after_us` is the longest Retry-After that clients accept.
    """

    def __init__(self, rule: ConnectionLimitRule, max_retry_after_us: int) -> None:
        self.rule = rule
        self.max_retry_after_us = max_retry_after_us
        self.open_connections = 0
        self._bucket_full_us = 0.0
        self._next_slot_us = 0.0  # the first set-up slot that no rejected client was given

    def exceeded_limit(self, now_us: int) -> str:
        """Return the operators' name for the limit that another connection would exceed, or an empty text."""
        if self.rule.max_open and self.open_connections >= self.rule.max_open:
            return "open"
        if self.rule.max_setups_per_s:
            burst_us = (max(1, self.rule.setup_burst) - 1) * self._setup_interval_us
            if max(self._bucket_full_us, now_us) - now_us > burst_us:
                return "setups-per-second"
        return ""

    def acquire(self, now_us: int) -> None:
        """Count a connection whose set-up begins."""
        self.open_connections += 1
        if self.rule.max_setups_per_s:
            self._bucket_full_us = max(self._bucket_full_us, float(now_us)) + self._setup_interval_us

    def acquire_resumed(self) -> None:
        """Count a connection that was established before this process started: no set-up begins."""
        self.open_connections += 1

    def release(self) -> None:
        """Stop counting a connection that has ended."""
        self.open_connections = max(0, self.open_connections - 1)

    def retry_after_us(self, now_us: int, draw: float) -> int:
        """Return the Retry-After of a request over a limit. `draw` is a random number from 0 to 1."""
        max_us = max(1, self.max_retry_after_us)
        if self.rule.max_setups_per_s:
            earliest_us = now_us + min(MIN_RETRY_AFTER_US, max_us)
            slot_us = max(self._next_slot_us, self._bucket_full_us, earliest_us)
            if slot_us + self._setup_interval_us <= now_us + max_us:
                self._next_slot_us = slot_us + self._setup_interval_us
                return max(1, int(slot_us - now_us))
        return max(1, int(max_us * (FALLBACK_MIN_RATIO + (1.0 - FALLBACK_MIN_RATIO) * draw)))

    def apply_rule(self, rule: ConnectionLimitRule, max_retry_after_us: int) -> None:
        """Replace the rule; open connections stay counted."""
        self.rule = rule
        self.max_retry_after_us = max_retry_after_us

    @property
    def _setup_interval_us(self) -> float:
        return 1e6 / self.rule.max_setups_per_s
