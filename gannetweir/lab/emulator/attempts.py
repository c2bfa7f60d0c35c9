"""Which attempts are out at the stand-ins, told apart by the order in which the kernel got what came.

One event loop serves all stand-ins. On a busy machine it can be late, and an attempt's end and the next
attempt's first line then wait in the kernel side by side; the loop may come to the line first. So the end is
looked for in the kernel when a line is counted, not left to the turn of the task that reads that connection.

Its limit: where the loop is late, an end that came after a line is told from one that came before by the
kernel's times, which only TCP has. With a Unix socket among the two, an overlap that began and ended before
the loop's turn is not seen.
"""

from __future__ import annotations

import select
import socket
import struct
from collections.abc import Callable

from gannetweir.lab.model.checker import Checker

TICKS_MS = 8  # two ticks of the kernel's coarsest usual clock (250 Hz), by which its times are rounded
_ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_LAST_DATA_AT, _LAST_ACK_AT, _TCP_INFO_BYTES = 52, 56, 60  # offsets in Linux's `struct tcp_info`


class OpenAttempts:
    """The attempts that are out, over all stand-ins of one yard. `now_us` is the yard's clock."""

    def __init__(self, checker: Checker, now_us: Callable[[], int]) -> None:
        self.checker, self.now_us = checker, now_us
        self.out: dict[
            int, dict[socket.socket, int]
        ] = {}  # by request: the attempt that a connection carries

    def arrived(self, number: int, server: str, sock: socket.socket) -> None:
        """A first line has been read from this connection. An attempt whose end is in the kernel already is
        over, unless the kernel shows that the end came after the line of another one that is out."""
        story = self.checker.stories.get(number)
        if story is None:
            return
        earlier = self.out.setdefault(number, {})
        for other in [o for o in earlier if has_ended(o) and not came_before(sock, o)]:
            self.checker.attempt_ended(number, earlier.pop(other))
        attempt = story.attempts
        if earlier and has_ended(sock) and not any(came_before(other, sock) for other in earlier):
            # read late: it was over before those that are out began
            out, story.out = story.out, {}
            self.checker.attempt(number, attempt, server, self.now_us())
            story.out = out
            return
        self.checker.attempt(number, attempt, server, self.now_us())
        earlier[sock] = attempt

    def ended(self, number: int, sock: socket.socket) -> None:
        """The attempt on this connection was answered or given up. Nothing, if that is known."""
        earlier = self.out.get(number, {})
        if (attempt := earlier.pop(sock, None)) is not None:
            self.checker.attempt_ended(number, attempt)
        if not earlier:
            self.out.pop(number, None)


def has_ended(sock: socket.socket) -> bool:
    """Has the peer's end or reset reached this socket, whether or not it was read?"""
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return any(events & _ENDED for _, events in poll.poll(0))


def came_before(line_on: socket.socket, end_on: socket.socket) -> bool:
    """Did the last data on one TCP connection arrive before the end of another, beyond the rounding of the
    kernel's times? False where either is a Unix socket: the kernel keeps no times for those."""
    if socket.AF_UNIX in (line_on.family, end_on.family) or end_on.fileno() < 0:
        return False
    # the line first: what passes between the two looks makes the end seem older, never the line
    line_ms = _tcp_info(line_on, _LAST_DATA_AT)
    end_ms = _tcp_info(end_on, _LAST_ACK_AT)  # the end is the last segment that came, and carries an ACK
    return line_ms > end_ms + TICKS_MS


def _tcp_info(sock: socket.socket, offset: int) -> int:
    """A field of the connection's `tcp_info`; here always a time since an event, in milliseconds."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    return int(struct.unpack_from("=I", info, offset)[0])
