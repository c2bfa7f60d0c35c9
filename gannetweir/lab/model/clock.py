"""Virtual time: what is due next happens next, and the same seed gives the same order."""

from __future__ import annotations

import heapq
from collections.abc import Callable

START_US = 1_700_000_000_000_000  # an arbitrary Unix time, as a relay's clock would show


class SimulatedClock:
    """Owns the calls that are to come. Those due at one moment run in the order in which they were made."""

    def __init__(self) -> None:
        self.now_us = START_US
        self._scheduled_count = 0
        self._scheduled_calls: list[tuple[int, int, Callable[[], None]]] = []

    def call_later(self, delay_us: float, callback: Callable[[], None]) -> None:
        """Call back once, so much later; a delay below 0 counts as 0."""
        self._scheduled_count += 1
        due_us = self.now_us + max(0, int(delay_us))
        heapq.heappush(self._scheduled_calls, (due_us, self._scheduled_count, callback))

    def run_until(self, elapsed_us: int) -> None:
        """Make all calls that are due up to then, counted from the start."""
        until_us = START_US + elapsed_us
        while self._scheduled_calls and self._scheduled_calls[0][0] <= until_us:
            self.now_us, _, callback = heapq.heappop(self._scheduled_calls)
            callback()
        self.now_us = until_us

    @property
    def elapsed_us(self) -> int:
        """The time since the start."""
        return self.now_us - START_US
