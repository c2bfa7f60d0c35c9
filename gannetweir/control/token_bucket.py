"""A token bucket over bytes: the rate limit of a relay's watch.

The bucket is refilled at a constant rate up to its burst size. A message may be sent as soon as the bucket
holds one token (one byte); its full size is then charged. The level drops below zero by at most one message,
and the next message waits until the level is positive again. A bucket belongs to the `ControlMachine`, which
has one per relay.

A relay's budget is 10,000 bytes per second, measured over any 10 s. In 10 s a bucket admits its burst, one
message that overdraws the bucket, and ten seconds of its rate: 8,000 + 12,000 + 75,000 = 95,000 bytes. The
remaining 5,000 bytes are reserved for heartbeats, acknowledgements and the headers of calls.
"""

from __future__ import annotations

# The module's docstring derives the rate and the burst from a relay's budget.
RATE_BYTES_S = 7_500
BURST_BYTES = 8_000
_US_PER_S = 1e6


class TokenBucket:
    """A token bucket; `available_bytes` is its level, which is negative while overdrawn."""

    def __init__(self, now_us: int, rate_bytes_s: int = RATE_BYTES_S, burst_bytes: int = BURST_BYTES) -> None:
        """Create a full bucket."""
        self.rate_bytes_s = rate_bytes_s
        self.burst_bytes = burst_bytes
        self.available_bytes = float(burst_bytes)
        self.refilled_us = now_us

    def wait_us(self, now_us: int) -> int:
        """Return the time until a message may be sent, in microseconds; 0 if one may be sent now."""
        self._refill(now_us)
        if self.available_bytes >= 1:
            return 0
        return int((1 - self.available_bytes) * _US_PER_S / self.rate_bytes_s) + 1

    def _refill(self, now_us: int) -> None:
        # If the clock was set back, no time is counted: the bucket must neither stall nor fill.
        elapsed_us = max(0, now_us - self.refilled_us)
        self.refilled_us = now_us
        refilled = self.available_bytes + elapsed_us * self.rate_bytes_s / _US_PER_S
        self.available_bytes = min(float(self.burst_bytes), refilled)

    def charge(self, size_bytes: int) -> None:
        """Charge the bucket with a message that was sent."""
        self.available_bytes -= size_bytes
