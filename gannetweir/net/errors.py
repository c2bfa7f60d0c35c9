"""Classification of the errors of system calls on sockets: caused by the peer, or by this machine.

Linux reports some temporary conditions of the machine as errors of the affected call. The peer did not cause
them: an existing connection is intact, or none was established. The call is retried after such an error.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Awaitable, Callable, Iterator

import anyio

from gannetweir.errors import GannetweirError

# A lack of descriptors, buffers or memory, reported by socket(2), accept(2), send(2), recv(2), epoll_ctl(2).
SHORTAGE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ENOSPC})
# With these errors connect(2) fails before anything has left the machine, for lack of a local port, a route,
# buffers or memory.
LOCAL_CONNECT_ERRORS = SHORTAGE_ERRORS | {
    errno.EADDRNOTAVAIL,
    errno.EADDRINUSE,
    errno.ENETUNREACH,
    errno.ENETDOWN,
    errno.EAGAIN,
}
# accept(2) reports with these errors that the connection at the head of the queue has ended or has a pending
# error. Its manual page says to retry as after EAGAIN; the next connection in the queue may be valid.
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
# Delay before a call is retried after a shortage. It lets other tasks run and free resources, and is short
# compared with every timeout.
SHORTAGE_RETRY_S = 0.002
# Upper bound of the backoff, so that a connect is retried several times within its timeout of 250 ms.
MAX_BACKOFF_S = 0.02


class LocalResourceError(GannetweirError, OSError):
    """A connect could not start because this machine lacks a resource. Says nothing about the peer."""


def is_shortage(error: OSError) -> bool:
    """Return whether an error reports a temporary shortage of descriptors, buffers or memory."""
    return error.errno in SHORTAGE_ERRORS


def backoff_delays_s() -> Iterator[float]:
    """Yield the delays before retries in a shortage, doubled from `SHORTAGE_RETRY_S` to `MAX_BACKOFF_S`."""
    delay_s = SHORTAGE_RETRY_S
    while True:
        yield delay_s
        delay_s = min(2 * delay_s, MAX_BACKOFF_S)


async def wait_readable(sock: socket.socket) -> None:
    """Wait until a socket is readable. In a shortage this returns after a delay instead of raising.

    Raises other errors like `anyio.wait_readable`.
    """
    await _wait(anyio.wait_readable, sock)


async def wait_writable(sock: socket.socket) -> None:
    """Wait until a socket is writable. In a shortage this returns after a delay instead of raising.

    Raises other errors like `anyio.wait_writable`.
    """
    await _wait(anyio.wait_writable, sock)


async def _wait(wait: Callable[[socket.socket], Awaitable[None]], sock: socket.socket) -> None:
    try:
        await wait(sock)
    except OSError as error:
        if not is_shortage(error):
            raise
        await anyio.sleep(SHORTAGE_RETRY_S)
