"""The timers of one engine, and their purposes."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from enum import IntEnum


class Timer(IntEnum):
    """The purpose of a timer."""

    PLACEMENT = 1  # set by the balancer
    ATTEMPT_TIMEOUT = 2
    CONNECT_TIMEOUT = 3  # an attempt whose first line is not written by now has failed to connect
    FINAL_ANSWER = 4  # the final answer is overdue
    RESUMPTION_RETRY = 5  # retry the resumption of a connection at its endpoint
    WATCHDOG = 6  # check for overdue answers on connections
    MIGRATE = 7  # migrate the client of this request
    ADMISSION_END = 8  # a drain ends admission
    EXIT = 9
    ENDPOINT_WATCH = 10  # open the watch on a pushed endpoint list again


# The lowest bits of a timer's value hold the attempt number; a request has only a few attempts.
_ATTEMPT_BITS = 16
_ATTEMPT_MASK = (1 << _ATTEMPT_BITS) - 1


class TimerQueue:
    """Timers ordered by due time, and for equal due times by the order in which they were added.

    Each request has several timers, so an entry is a plain tuple in which one integer holds the request and
    the attempt.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Timer, int]] = []  # due time, sequence number, kind, value
        self._added_count = 0

    def add(self, due_us: int, timer: Timer, value: int, attempt: int) -> None:
        """Add a timer. `value` is the balancer's token, or a request id."""
        self._added_count += 1
        if timer is not Timer.PLACEMENT:
            value = value << _ATTEMPT_BITS | attempt
        heapq.heappush(self._heap, (due_us, self._added_count, timer, value))

    def next_due(self) -> int:
        """Return the due time of the earliest timer, in microseconds.

        Raises IndexError if there is no timer.
        """
        return self._heap[0][0]

    def pop_due(self, now_us: int) -> Iterator[tuple[Timer, int, int]]:
        """Remove and yield each timer that is due, including timers added during the iteration, as kind,
        value and attempt.
        """
        heap = self._heap
        while heap and heap[0][0] <= now_us:
            _, _, timer, value = heapq.heappop(heap)
            if timer is Timer.PLACEMENT:
                yield timer, value, 0
            else:
                yield timer, value >> _ATTEMPT_BITS, value & _ATTEMPT_MASK
