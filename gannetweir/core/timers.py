"""Due times of one engine, and what each is for."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from enum import IntEnum


class Timer(IntEnum):
    """What a due time is for."""

    PLACEMENT = 1  # a timer that the module set
    ATTEMPT_TIMEOUT = 2  # an attempt's time is up
    CONNECT_TIMEOUT = 3  # a flow that is not up by now never will be
    FINAL_ANSWER = 4  # the final answer is due
    RESUMPTION_RETRY = 5  # try again to reach the backend that holds a resumed connection
    WATCHDOG = 6
    MIGRATE = 7  # a drain moves this client
    ADMISSION_END = 8  # nothing new is taken any more
    EXIT = 9
    ENDPOINT_WATCH = 10  # open the watch on a pushed list again


class TimerQueue:
    """Timers in the order in which they fall due, and among equals in the order in which they were added."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Timer, int]] = []
        self._added = 0

    def add(self, due_us: int, timer: Timer, value: int, attempt: int) -> None:
        """Add a timer. `value` is the module's token, or the number of a transaction."""
        # one integer carries both: attempts are few
        self._added += 1
        value = value if timer is Timer.PLACEMENT else value << 16 | attempt
        heapq.heappush(self._heap, (due_us, self._added, timer, value))

    def next_due(self) -> int:
        """When the earliest timer falls due, in microseconds. Raises IndexError where there is none."""
        return self._heap[0][0]

    def take_due(self, now_us: int) -> Iterator[tuple[Timer, int, int]]:
        """Remove all timers that are due, also those added meanwhile; the kind, value and attempt of each."""
        heap = self._heap
        while heap and heap[0][0] <= now_us:
            _, _, timer, value = heapq.heappop(heap)
            if timer is Timer.PLACEMENT:
                yield timer, value, 0
            else:
                yield timer, value >> 16, value & 0xFFFF
