"""Virtual time: what is due next happens next, and the same seed gives the same order."""

from __future__ import annotations

import heapq
from collections.abc import Callable

START_US = 1_700_000_000_000_000  # an arbitrary Unix time, as the relay's clock would tell


class VirtualClock:
    """An agenda. Calls that are due at one moment run in the order in which they were put in."""

    def __init__(self) -> None:
        self.now = START_US
        self.count = 0
        self.agenda: list[tuple[int, int, Callable[[], None]]] = []

    def after(self, wait_us: float, call: Callable[[], None]) -> None:
        """Run a call so much later."""
        self.count += 1
        heapq.heappush(self.agenda, (self.now + max(0, int(wait_us)), self.count, call))

    def run(self, until_us: int) -> None:
        """Do all that is due up to then, counted from the start."""
        until = START_US + until_us
        while self.agenda and self.agenda[0][0] <= until:
            self.now, _, call = heapq.heappop(self.agenda)
            call()
        self.now = until

    @property
    def passed_us(self) -> int:
        """Since the start."""
        return self.now - START_US
