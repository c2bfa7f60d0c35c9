"""Virtual time: what is due next happens next, and the same seed gives the same order."""

from __future__ import annotations

import heapq
from collections.abc import Callable

START_US = 1_700_000_000_000_000  # an arbitrary Unix time, as the relay's clock would tell


class SimulatedClock:
    """An agenda. Calls that are due at one moment run in the order in which they were put in."""

    def __init__(self) -> None:
        self.now_us = START_US
        self.scheduled_count = 0
        self.scheduled_calls: list[tuple[int, int, Callable[[], None]]] = []

    def call_later(self, delay_us: float, callback: Callable[[], None]) -> None:
        """Run a call so much later."""
        self.scheduled_count += 1
        heapq.heappush(
            self.scheduled_calls, (self.now_us + max(0, int(delay_us)), self.scheduled_count, callback)
        )

    def run_until(self, until_us: int) -> None:
        """Do all that is due up to then, counted from the start."""
        until = START_US + until_us
        while self.scheduled_calls and self.scheduled_calls[0][0] <= until:
            self.now_us, _, callback = heapq.heappop(self.scheduled_calls)
            callback()
        self.now_us = until

    @property
    def elapsed_us(self) -> int:
        """Since the start."""
        return self.now_us - START_US
