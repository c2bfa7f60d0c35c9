"""A token bucket over bytes: what one relay's watch may carry."""

from __future__ import annotations

# A relay's budget is 10,000 bytes a second, seen over any 10 s. A bucket lets its burst, one message that
# overdraws it, and ten seconds of its rate through: 8,000 + 12,000 + 75,000 = 95,000 bytes. The other 5,000
# are for heartbeats, acknowledgements and the heads of calls.
RATE_BYTES_S = 7_500
BURST_BYTES = 8_000


class TokenBucket:
    """Fills at a steady rate up to its burst. A message may go once there is anything in it, and is then
    charged whole: the bucket goes under zero by at most one message.
    """

    def __init__(self, now_us: int, rate_bytes_s: int = RATE_BYTES_S, burst_bytes: int = BURST_BYTES) -> None:
        self.rate_bytes_s, self.burst_bytes = rate_bytes_s, burst_bytes
        self.available_bytes, self.refilled_us = float(burst_bytes), now_us

    def wait_us(self, now_us: int) -> int:
        """How long until a message may go; 0: now."""
        # a clock that was set back counts as no time passed: it must neither stall the bucket nor fill it
        elapsed_us = max(0, now_us - self.refilled_us)
        self.refilled_us = now_us
        self.available_bytes = min(
            float(self.burst_bytes), self.available_bytes + elapsed_us * self.rate_bytes_s / 1e6
        )
        return (
            0 if self.available_bytes >= 1 else int((1 - self.available_bytes) * 1e6 / self.rate_bytes_s) + 1
        )

    def charge(self, size_bytes: int) -> None:
        """A message has gone."""
        self.available_bytes -= size_bytes
