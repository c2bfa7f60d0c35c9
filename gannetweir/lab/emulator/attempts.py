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

from gannetweir.lab.model.checker import Checker

RESOLUTION_MS = 8.0  # two ticks of the kernel's coarsest usual clock (250 Hz), by which its times are rounded
BEAT_MS = 1.0
BEATS_BACK = 3  # what is read now came after the third last beat: each takes two turns of a late loop, and
# from a listener's event to the first read of the new connection there are three
_ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_LAST_DATA_AT, _LAST_ACK_AT, _TCP_INFO_BYTES = 52, 56, 60  # offsets in Linux's `struct tcp_info`


@dataclass(frozen=True, slots=True)
class Span:
    """When something came, in milliseconds of the monotonic clock: not before `first`, not after `last`."""

    first: float
    last: float


NOT_YET = Span(float("inf"), float("inf"))


@dataclass(slots=True)
class Attempt:
    """One attempt as a stand-in saw it."""

    server: str
    sock: socket.socket
    line: Span
    end: Span | None = None  # None: it is asked of the kernel whether the end has come


class LoopBeat:
    """How late the stand-ins' loop is: the moments of its last beats."""

    def __init__(self) -> None:
        self.beats: deque[float] = deque([now_ms()] * BEATS_BACK, BEATS_BACK)
        self.latest_ms = 0.0  # the longest time between two beats, beyond what was meant

    async def run(self) -> None:
        """Beat until cancelled."""
        self.beats.append(now_ms())
        while True:
            now = now_ms()
            self.latest_ms = max(self.latest_ms, now - self.beats[-1] - BEAT_MS)
            self.beats.append(now)
            await anyio.sleep(BEAT_MS / 1000)

    def unread_since_ms(self) -> float:
        """What is read now has come after this moment."""
        return self.beats[0]


class OpenAttempts:
    """The attempts over all stand-ins of one yard. `now_us` is the yard's clock. Run `beat` beside them."""

    def __init__(self, checker: Checker, now_us: Callable[[], int]) -> None:
        self.checker, self.now_us, self.beat = checker, now_us, LoopBeat()
        self.seen: dict[int, list[Attempt]] = {}  # by request, in the order in which their lines were read
        self.not_judged: dict[int, str] = {}  # by request: the pair that could not be told apart

    def arrived(self, number: int, server: str, sock: socket.socket, waited_ms: float = 0.0) -> None:
        """A first line has been read from this connection, `waited_ms` after it could have been."""
        story = self.checker.stories.get(number)
        if story is None:
            return
        new = Attempt(server, sock, self._line(sock, waited_ms))
        earlier = self.seen.setdefault(number, [])
        overlaps = [other for other in earlier if self._overlap(number, other, new)]
        story.out = {position: other.server for position, other in enumerate(overlaps)}
        self.checker.attempt(number, story.attempts, server, self.now_us())
        earlier.append(new)

    def ended(self, number: int, sock: socket.socket) -> None:
        """The attempt on this connection was answered or given up; call it before an answer is written.
        Nothing, if that is known.
        """
        for attempt in self.seen.get(number, []):
            if attempt.sock is sock and attempt.end is None:
                now = now_ms()
                attempt.end = self._end(sock) if has_ended(sock) else Span(now, now)

    def _overlap(self, number: int, one: Attempt, other: Attempt) -> bool:
        """Were both out at once? False also if that can't be told, which is kept."""
        ends = [a.end or (self._end(a.sock) if has_ended(a.sock) else NOT_YET) for a in (one, other)]
        pairs = [(one.line, ends[1]), (other.line, ends[0])]  # each began before the other's end?
        if all(line.last + RESOLUTION_MS < end.first for line, end in pairs):
            return True
        if all(line.first + RESOLUTION_MS < end.last for line, end in pairs):
            self.not_judged[number] = f"at {one.server} and {other.server}"
        return False

    def _line(self, sock: socket.socket, waited_ms: float) -> Span:
        if sock.family == socket.AF_UNIX:
            return Span(self.beat.unread_since_ms() - waited_ms, now_ms())
        return _ago(sock, _LAST_DATA_AT)

    def _end(self, sock: socket.socket) -> Span:
        """When the end came that is in the kernel."""
        if sock.family == socket.AF_UNIX or sock.fileno() < 0:
            return Span(self.beat.unread_since_ms(), now_ms())
        return _ago(sock, _LAST_ACK_AT)  # the end is the last segment that came, and carries an ACK


def now_ms() -> float:
    """The monotonic clock."""
    return time.monotonic_ns() / 1e6


def has_ended(sock: socket.socket) -> bool:
    """Has the peer's end or reset reached this socket, whether or not it was read?"""
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return any(events & _ENDED for _, events in poll.poll(0))


def _ago(sock: socket.socket, offset: int) -> Span:
    """The moment that a field of the connection's `tcp_info` tells as a time since, in milliseconds."""
    before = now_ms()
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    since = float(struct.unpack_from("=I", info, offset)[0])
    return Span(before - since, now_ms() - since)
