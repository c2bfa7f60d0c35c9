"""Errors of system calls on sockets, by what they say: of the peer, of this machine, or of nothing lasting.

Linux reports some conditions of the machine through the call that met them. None of these is the peer's: the
connection stands, or none was made. They pass, so the call is made again.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Awaitable, Callable, Iterator

import anyio

from gannetweir.errors import GannetweirError

# Out of descriptors, buffers or memory: socket(2), accept(2), send(2), recv(2), epoll_ctl(2).
SHORTAGE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ENOSPC})
# No local port, no route, no queue: connect(2) fails with these before anything has left the machine.
LOCAL_CONNECT_ERRORS = SHORTAGE_ERRORS | {
    errno.EADDRNOTAVAIL,
    errno.EADDRINUSE,
    errno.ENETUNREACH,
    errno.ENETDOWN,
    errno.EAGAIN,
}
# The connection that was to be accepted has ended, or had an error pending: accept(2) says to go on as after
# EAGAIN. The next one in the queue may be sound.
ACCEPTED_PEER_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.EINTR,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
        errno.EPERM,
    }
)
# Before a call that met a shortage is made again: long enough that a busy loop frees something meanwhile,
# short beside every time-out.
SHORTAGE_RETRY_S = 0.002
MAX_BACKOFF_S = 0.02  # bounds the backoff: a connect has 250 ms, and should be begun a few times in it


class LocalResourceError(GannetweirError, OSError):
    """A connection could not be begun, for want of something on this machine. Says nothing of the peer."""


def is_shortage(error: OSError) -> bool:
    """Whether the machine is short of something that the call needs, for a moment."""
    return error.errno in SHORTAGE_ERRORS


def backoff_delays_s() -> Iterator[float]:
    """The delays, in seconds, before each retry of what met a shortage: doubled up to `MAX_BACKOFF_S`."""
    delay_s = SHORTAGE_RETRY_S
    while True:
        yield delay_s
        delay_s = min(2 * delay_s, MAX_BACKOFF_S)


async def wait_readable(sock: socket.socket) -> None:
    """Wait until there is something to read. Raises as `anyio.wait_readable`, but waits out a shortage."""
    await _wait(anyio.wait_readable, sock)


async def wait_writable(sock: socket.socket) -> None:
    """Wait until something can be written. Raises as `anyio.wait_writable`, but waits out a shortage."""
    await _wait(anyio.wait_writable, sock)


async def _wait(wait: Callable[[socket.socket], Awaitable[None]], sock: socket.socket) -> None:
    try:
        await wait(sock)
    except OSError as error:
        if not is_shortage(error):
            raise
        await anyio.sleep(SHORTAGE_RETRY_S)
