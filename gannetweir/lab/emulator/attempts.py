"""Detects overlapping attempts at the emulated backends from kernel arrival times instead of read times.

One event loop serves all emulated backends. On a busy machine the loop can be late: an attempt's end and the
next attempt's first line wait in the kernel together and are read in any order. So each event gets the time
span in which it must have arrived. For a TCP connection the kernel keeps arrival times, and the span is a
single moment. For a Unix socket the span reaches back as far as the loop was late. A pair of attempts is an
overlap if the spans allow nothing else, and no overlap if they exclude one; otherwise the pair is reported
as undecided.
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

# Kernel times are rounded. This is two ticks of the coarsest usual kernel clock (250 Hz).
RESOLUTION_MS = 8.0
TICK_MS = 1.0  # the interval at which `LoopDelayMonitor` reads the clock
# Data that is read now arrived after the third last tick: a tick takes two iterations of a late loop, and
# three iterations pass between a listener's event and the first read of the new connection.
TICKS_REMEMBERED = 3
_END_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
# Offsets of two fields in Linux's `struct tcp_info`, and the number of its bytes that are read.
_LAST_DATA_AT, _LAST_ACK_AT, _TCP_INFO_BYTES = 52, 56, 60


@dataclass(frozen=True, slots=True)
class TimeSpan:
    """The earliest and latest time at which an event can have arrived, in ms of the monotonic clock."""

    earliest: float
    latest: float


NOT_YET = TimeSpan(float("inf"), float("inf"))


@dataclass(slots=True)
class ObservedAttempt:
    """An attempt as an emulated backend observed it."""

    backend: str
    connection: socket.socket
    first_line: TimeSpan
    end: TimeSpan | None = None  # None until the end is read; the kernel is asked whether it has arrived


class LoopDelayMonitor:
    """Measures how late the event loop is. It reads the clock every `TICK_MS`, and each reading is a tick."""

    def __init__(self) -> None:
        self.recent_ticks: deque[float] = deque([now_ms()] * TICKS_REMEMBERED, TICKS_REMEMBERED)
        self.largest_delay_ms = 0.0  # the longest time between two ticks, less `TICK_MS`

    async def run(self) -> None:
        """Record ticks until cancelled."""
        self.recent_ticks.append(now_ms())
        while True:
            now = now_ms()
            self.largest_delay_ms = max(self.largest_delay_ms, now - self.recent_ticks[-1] - TICK_MS)
            self.recent_ticks.append(now)
            await anyio.sleep(TICK_MS / 1000)

    def unread_since_ms(self) -> float:
        """Return the time after which all data that is read now has arrived."""
        return self.recent_ticks[0]


class AttemptOverlaps:
    """Observes the attempts at all backends of an emulator, whose clock is `now_us`.

    The task `loop_delay.run` must run in the background.
    """

    def __init__(self, checker: RuleChecker, now_us: Callable[[], int]) -> None:
        self.checker, self.now_us, self.loop_delay = checker, now_us, LoopDelayMonitor()
        # By request number, in the order in which the first lines were read.
        self.by_request: dict[int, list[ObservedAttempt]] = {}
        # By request number: a pair of attempts of which an overlap can be neither shown nor ruled out.
        self.undecided_overlaps: dict[int, str] = {}

    def first_line_read(
        self, request_number: int, backend: str, connection: socket.socket, waited_ms: float = 0.0
    ) -> None:
        """Record a first line read from this connection, which was deliberately read `waited_ms` late."""
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
        """Record that the attempt on this connection was answered or abandoned. Must be called before an
        answer is written. Does nothing if the end is already recorded.
        """
        for attempt in self.by_request.get(request_number, []):
            if attempt.connection is connection and attempt.end is None:
                now = now_ms()
                attempt.end = self._end_span(connection) if has_ended(connection) else TimeSpan(now, now)

    def _overlap(self, request_number: int, first: ObservedAttempt, other: ObservedAttempt) -> bool:
        """Return whether both attempts were in flight at once. An undecided pair is recorded and not
        counted as an overlap.
        """
        ends = [
            a.end or (self._end_span(a.connection) if has_ended(a.connection) else NOT_YET)
            for a in (first, other)
        ]
        # Two attempts overlap if each first line arrived before the end of the other attempt.
        line_and_other_end = [
            (first.first_line, ends[1]),
            (other.first_line, ends[0]),
        ]
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
        """The time span in which the connection's end, which the kernel holds, has arrived."""
        if sock.family == socket.AF_UNIX or sock.fileno() < 0:
            return TimeSpan(self.loop_delay.unread_since_ms(), now_ms())
        # The end is the last segment received, and every segment carries an ACK.
        return _span_since(sock, _LAST_ACK_AT)


def now_ms() -> float:
    """The monotonic clock in milliseconds."""
    return time.monotonic_ns() / 1e6


def has_ended(sock: socket.socket) -> bool:
    """Whether the peer's end or reset has reached this socket, read or not."""
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return any(events & _END_EVENTS for _, events in poll.poll(0))


def _span_since(sock: socket.socket, offset: int) -> TimeSpan:
    """The arrival time from a `tcp_info` field that holds the elapsed time in milliseconds."""
    before_ms = now_ms()
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    elapsed_ms = float(struct.unpack_from("=I", info, offset)[0])
    return TimeSpan(before_ms - elapsed_ms, now_ms() - elapsed_ms)
