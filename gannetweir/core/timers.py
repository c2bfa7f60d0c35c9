"""Due times of one engine, and what each is for."""

from __future__ import annotations

from enum import IntEnum


class Timer(IntEnum):
    """What a due time is for."""

    MODULE = 1  # a timer that the module set
    FLOW = 2  # an attempt's time is up
    CONNECT = 3  # a flow that is not up by now never will be
    ANSWER = 4  # the final answer is due
    RESUME = 5  # try again to reach the backend that holds a resumed connection
    WATCHDOG = 6
    MOVE = 7  # a drain moves this client
    DRAINED = 8  # nothing new is taken any more
    END = 9
    WATCH = 10  # open the watch on a pushed list again
