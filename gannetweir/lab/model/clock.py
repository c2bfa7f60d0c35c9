"""Virtual time: scheduled calls run in order of their due times, and the same seed gives the same order."""

from __future__ import annotations

import heapq
from collections.abc import Callable

START_US = 1_700_000_000_000_000  # an arbitrary Unix time, since a relay's clock shows Unix time


class SimulatedClock:
    """Owns the scheduled calls. Calls due at the same time run in the order in which they were scheduled."""

    def __init__(self) -> None:
        self.now_us = START_US
        self._scheduled_count = 0
        self._scheduled_calls: list[tuple[int, int, Callable[[], None]]] = []

    def call_later(self, delay_us: float, callback: Callable[[], None]) -> None:
        """Schedule one call after a delay. A negative delay counts as 0."""
        self._scheduled_count += 1
        due_us = self.now_us + max(0, int(delay_us))
        heapq.heappush(self._scheduled_calls, (due_us, self._scheduled_count, callback))

    def run_until(self, elapsed_us: int) -> None:
        """Run all calls that are due up to this time since the start, and advance the clock to it."""
        until_us = START_US + elapsed_us
        while self._scheduled_calls and self._scheduled_calls[0][0] <= until_us:
            self.now_us, _, callback = heapq.heappop(self._scheduled_calls)
            callback()
        self.now_us = until_us

    @property
    def elapsed_us(self) -> int:
        """The time since the start."""
        return self.now_us - START_US
