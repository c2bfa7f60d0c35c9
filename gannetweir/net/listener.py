"""The clients' listener: it is opened, accepts until it is stopped, and its queue is drained at the end."""

from __future__ import annotations

import contextlib
import errno
import socket
import time
from collections.abc import Callable

import anyio
import anyio.lowlevel

from gannetweir.config import SocketAddress
from gannetweir.limits import Limits
from gannetweir.net.errors import (
    ACCEPTED_PEER_ERRORS,
    SHORTAGE_ERRORS,
    SHORTAGE_RETRY_S,
    backoff_delays_s,
)
from gannetweir.net.ports import LoggingContext
from gannetweir.net.sockets import accept_connection, open_listening_socket

# At a start the address may be in use by another process, not be there yet, or the machine be short.
_TRANSIENT_BIND_ERRORS = SHORTAGE_ERRORS | {errno.EADDRINUSE, errno.EADDRNOTAVAIL}
LISTEN_TIMEOUT_S = 8.0  # a relay is to be ready within 10 s
_LISTEN_RETRY_S = 0.05


def open_listener(address: SocketAddress, limits: Limits) -> socket.socket:
    """A listener of this process's own. Blocks, before anything is served, for an address not free yet.

    Raises `OSError` where it can't be had within `LISTEN_TIMEOUT_S`.
    """
    deadline_s = time.monotonic() + LISTEN_TIMEOUT_S
    while True:
        try:
            return open_listening_socket(address, limits)
        except OSError as error:
            if error.errno not in _TRANSIENT_BIND_ERRORS or time.monotonic() >= deadline_s:
                raise
        time.sleep(_LISTEN_RETRY_S)


class ClientListener:
    """Accepts clients and owns the listening socket.

    An `inherited` socket is the platform's: other processes accept from it, too. `serve_client` is called
    with each connection that is accepted, and must not raise.
    """

    def __init__(
        self,
        context: LoggingContext,
        serve_client: Callable[[socket.socket], None],
        sock: socket.socket,
        inherited: bool,
    ) -> None:
        self.context, self.serve_client = context, serve_client
        self.sock, self.inherited = sock, inherited
        self.scope: anyio.CancelScope | None = None
        self.stopped = anyio.Event()  # nothing is accepted any more

    @property
    def accepting(self) -> bool:
        """Whether clients are accepted now, or were until it was stopped."""
        return self.scope is not None

    def stop(self) -> None:
        """Accept nothing more. What is in the queue stays there."""
        if self.scope is not None:
            self.scope.cancel()

    async def run(self) -> None:
        """Accept until stopped. An accept that fails is counted, logged and made again after a backoff."""
        with anyio.CancelScope() as self.scope:
            delays_s = backoff_delays_s()
            while True:
                try:
                    sock = await accept_connection(self.sock)
                except OSError as error:
                    self._report_failure(error)
                    await anyio.sleep(next(delays_s))
                    continue
                delays_s = backoff_delays_s()
                self.serve_client(sock)
                await anyio.lowlevel.checkpoint()  # a rush must not keep the other tasks waiting
        self.stopped.set()

    def _report_failure(self, error: OSError) -> None:
        self.context.engine.counters.add("accept_failures")
        self.context.log(f"accept: {error.strerror}")

    async def drain_accept_queue(self, within_s: float) -> None:
        """Serve all that waits in the queue. An accept that fails says nothing of those behind it: it is made
        again until the queue is empty, or the time is over.
        """
        with anyio.move_on_after(within_s):
            while True:
                try:
                    sock = self.sock.accept()[0]
                except BlockingIOError:
                    return
                except OSError as error:
                    if error.errno not in ACCEPTED_PEER_ERRORS | SHORTAGE_ERRORS:
                        self._report_failure(error)
                        return
                    self.context.engine.counters.add("accept_failures")
                    await anyio.sleep(SHORTAGE_RETRY_S if error.errno in SHORTAGE_ERRORS else 0)
                    continue
                self.serve_client(sock)

    def close(self) -> None:
        """Give the descriptor back. What is still in the queue of a socket of its own is reset."""
        with contextlib.suppress(OSError):  # the descriptor is given back whatever close(2) says
            self.sock.close()
