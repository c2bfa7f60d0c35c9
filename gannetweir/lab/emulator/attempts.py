"""Which attempts are out at the stand-ins, judged by when the kernel got what came, not by when it was read.

One event loop serves all stand-ins. On a busy machine it can be late: an attempt's end and the next attempt's
first line wait in the kernel side by side, and are read in any order. So each is given the span of time in
which it must have come. TCP connections have times in the kernel, for those the span is one moment. For a
Unix socket it reaches back as far as the loop was late. Two attempts overlap if their spans leave no other
way, and do not if they leave none to overlap; between the two, the pair is not judged, and that is told.
"""

from __future__ import annotations

import select
import socket
import struct
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import anyio

from gannetweir.lab.model.checker import RuleChecker

RESOLUTION_MS = 8.0  # two ticks of the kernel's coarsest usual clock (250 Hz), by which its times are rounded
TICK_MS = 1.0
TICKS_REMEMBERED = (
    3  # what is read now came after the third last beat: each takes two turns of a late loop, and
)
# from a listener's event to the first read of the new connection there are three
_END_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_LAST_DATA_AT, _LAST_ACK_AT, _TCP_INFO_BYTES = 52, 56, 60  # offsets in Linux's `struct tcp_info`


@dataclass(frozen=True, slots=True)
class TimeSpan:
    """When something came, in milliseconds of the monotonic clock: not before `first`, not after `last`."""

    earliest: float
    latest: float


NOT_YET = TimeSpan(float("inf"), float("inf"))


@dataclass(slots=True)
class ObservedAttempt:
    """One attempt as a stand-in saw it."""

    backend: str
    connection: socket.socket
    first_line: TimeSpan
    end: TimeSpan | None = None  # None: it is asked of the kernel whether the end has come


class LoopDelayMonitor:
    """How late the stand-ins' loop is: the moments of its last beats."""

    def __init__(self) -> None:
        self.recent_ticks: deque[float] = deque([now_ms()] * TICKS_REMEMBERED, TICKS_REMEMBERED)
        self.largest_delay_ms = 0.0  # the longest time between two beats, beyond what was meant

    async def run(self) -> None:
        """Beat until cancelled."""
        self.recent_ticks.append(now_ms())
        while True:
            now = now_ms()
            self.largest_delay_ms = max(self.largest_delay_ms, now - self.recent_ticks[-1] - TICK_MS)
            self.recent_ticks.append(now)
            await anyio.sleep(TICK_MS / 1000)

    def unread_since_ms(self) -> float:
        """What is read now has come after this moment."""
        return self.recent_ticks[0]


class AttemptOverlaps:
    """The attempts at all backends of one emulator, by its clock `now_us`. Run `loop_delay` beside them."""

    def __init__(self, checker: RuleChecker, now_us: Callable[[], int]) -> None:
        self.checker, self.now_us, self.loop_delay = checker, now_us, LoopDelayMonitor()
        self.by_request: dict[
            int, list[ObservedAttempt]
        ] = {}  # by request, in the order in which their lines were read
        self.undecided_overlaps: dict[int, str] = {}  # by request: the pair that could not be told apart

    def first_line_read(
        self, request_number: int, backend: str, connection: socket.socket, waited_ms: float = 0.0
    ) -> None:
        """A first line has been read from this connection, `waited_ms` after it could have been."""
        trace = self.checker.traces.get(request_number)
        if trace is None:
            return
        new = ObservedAttempt(backend, connection, self._first_line_span(connection, waited_ms))
        earlier = self.by_request.setdefault(request_number, [])
        overlaps = [other for other in earlier if self._overlap(request_number, other, new)]
        trace.open_attempts = {position: other.backend for position, other in enumerate(overlaps)}
        self.checker.attempt_arrived(request_number, trace.attempts, backend, self.now_us())
        earlier.append(new)

    def attempt_ended(self, request_number: int, connection: socket.socket) -> None:
        """The attempt on this connection was answered or given up; call it before an answer is written.
        Nothing, if that is known.
        """
        for attempt in self.by_request.get(request_number, []):
            if attempt.connection is connection and attempt.end is None:
                now = now_ms()
                attempt.end = self._end_span(connection) if has_ended(connection) else TimeSpan(now, now)

    def _overlap(self, request_number: int, first: ObservedAttempt, other: ObservedAttempt) -> bool:
        """Were both out at once? False also if that can't be told, which is kept."""
        ends = [
            a.end or (self._end_span(a.connection) if has_ended(a.connection) else NOT_YET)
            for a in (first, other)
        ]
        line_and_other_end = [
            (first.first_line, ends[1]),
            (other.first_line, ends[0]),
        ]  # each began before the other's end?
        if all(line.latest + RESOLUTION_MS < end.earliest for line, end in line_and_other_end):
            return True
        if all(line.earliest + RESOLUTION_MS < end.latest for line, end in line_and_other_end):
            self.undecided_overlaps[request_number] = f"at {first.backend} and {other.backend}"
        return False

    def _first_line_span(self, sock: socket.socket, waited_ms: float) -> TimeSpan:
        if sock.family == socket.AF_UNIX:
            return TimeSpan(self.loop_delay.unread_since_ms() - waited_ms, now_ms())
        return _span_since(sock, _LAST_DATA_AT)

    def _end_span(self, sock: socket.socket) -> TimeSpan:
        """When the end came that is in the kernel."""
        if sock.family == socket.AF_UNIX or sock.fileno() < 0:
            return TimeSpan(self.loop_delay.unread_since_ms(), now_ms())
        return _span_since(sock, _LAST_ACK_AT)  # the end is the last segment that came, and carries an ACK


def now_ms() -> float:
    """The monotonic clock."""
    return time.monotonic_ns() / 1e6


def has_ended(sock: socket.socket) -> bool:
    """Has the peer's end or reset reached this socket, whether or not it was read?"""
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return any(events & _END_EVENTS for _, events in poll.poll(0))


def _span_since(sock: socket.socket, offset: int) -> TimeSpan:
    """The moment that a field of the connection's `tcp_info` tells as a time since, in milliseconds."""
    before_ms = now_ms()
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    elapsed_ms = float(struct.unpack_from("=I", info, offset)[0])
    return TimeSpan(before_ms - elapsed_ms, now_ms() - elapsed_ms)
