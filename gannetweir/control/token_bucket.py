"""A token bucket over bytes: the rate limit of what one relay's watch may carry.

The bucket fills at a steady rate up to its burst. A message may go as soon as the bucket holds a token (one
byte), and then its whole size is taken out: the bucket goes below zero by at most one message, and the next
one waits for it. A bucket belongs to the `ControlMachine`, which has one for each relay.

A relay's budget is 10,000 bytes a second, seen over any 10 s. In 10 s a bucket lets its burst, one message
that overdraws it, and ten seconds of its rate through: 8,000 + 12,000 + 75,000 = 95,000 bytes. The other
5,000 are for heartbeats, acknowledgements and the headers of calls.
"""

from __future__ import annotations

RATE_BYTES_S = 7_500  # of a relay's budget; see above
BURST_BYTES = 8_000  # of a relay's budget; see above
_US_PER_S = 1e6


class TokenBucket:
    """The bytes that may go now: `available_bytes`, below zero while overdrawn."""

    def __init__(self, now_us: int, rate_bytes_s: int = RATE_BYTES_S, burst_bytes: int = BURST_BYTES) -> None:
        """A full bucket."""
        self.rate_bytes_s = rate_bytes_s
        self.burst_bytes = burst_bytes
        self.available_bytes = float(burst_bytes)
        self.refilled_us = now_us

    def wait_us(self, now_us: int) -> int:
        """How long until a message may go, in microseconds; 0: now."""
        self._refill(now_us)
        if self.available_bytes >= 1:
            return 0
        return int((1 - self.available_bytes) * _US_PER_S / self.rate_bytes_s) + 1

    def _refill(self, now_us: int) -> None:
        # a clock that was set back counts as no time passed: it must neither stall the bucket nor fill it
        elapsed_us = max(0, now_us - self.refilled_us)
        self.refilled_us = now_us
        refilled = self.available_bytes + elapsed_us * self.rate_bytes_s / _US_PER_S
        self.available_bytes = min(float(self.burst_bytes), refilled)

    def charge(self, size_bytes: int) -> None:
        """Take out a message that was sent."""
        self.available_bytes -= size_bytes
