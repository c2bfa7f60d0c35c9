"""The timers of one engine, and what each is for."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from enum import IntEnum


class Timer(IntEnum):
    """What a timer is for."""

    PLACEMENT = 1  # the balancer has set it
    ATTEMPT_TIMEOUT = 2
    CONNECT_TIMEOUT = 3  # an attempt whose first line is not out by now has failed to connect
    FINAL_ANSWER = 4  # the final answer is overdue
    RESUMPTION_RETRY = 5  # attempt a resumed connection again at its endpoint
    WATCHDOG = 6  # check the answers that are due
    MIGRATE = 7  # migrate this client
    ADMISSION_END = 8  # a drain ends admission
    EXIT = 9
    ENDPOINT_WATCH = 10  # open the watch on a pushed endpoint list again


_ATTEMPT_BITS = 16  # of a timer's value; attempts of one request are few
_ATTEMPT_MASK = (1 << _ATTEMPT_BITS) - 1


class TimerQueue:
    """Timers in the order in which they fall due, and among equals in the order in which they were added.

    There are several for each request, so an entry is a plain tuple with one integer for its request and
    attempt.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Timer, int]] = []  # due time, order of adding, kind, value
        self._added_count = 0

    def add(self, due_us: int, timer: Timer, value: int, attempt: int) -> None:
        """Add a timer. `value` is the balancer's token, or the id of a request."""
        self._added_count += 1
        if timer is not Timer.PLACEMENT:
            value = value << _ATTEMPT_BITS | attempt
        heapq.heappush(self._heap, (due_us, self._added_count, timer, value))

    def next_due(self) -> int:
        """Return when the earliest timer falls due, in microseconds.

        Raises IndexError where there is none.
        """
        return self._heap[0][0]

    def pop_due(self, now_us: int) -> Iterator[tuple[Timer, int, int]]:
        """Remove and yield all timers that are due, also those added meanwhile: kind, value and attempt."""
        heap = self._heap
        while heap and heap[0][0] <= now_us:
            _, _, timer, value = heapq.heappop(heap)
            if timer is Timer.PLACEMENT:
                yield timer, value, 0
            else:
                yield timer, value >> _ATTEMPT_BITS, value & _ATTEMPT_MASK
