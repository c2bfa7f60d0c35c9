"""The listener for clients: opens the socket, accepts until stopped, then drains the accept queue."""

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

# At startup another process may still use the address, the address may not be configured yet, or the machine
# may be short of descriptors, buffers or memory.
_TRANSIENT_BIND_ERRORS = SHORTAGE_ERRORS | {errno.EADDRINUSE, errno.EADDRNOTAVAIL}
LISTEN_TIMEOUT_S = 8.0  # a relay must be ready within 10 s
_LISTEN_RETRY_S = 0.05


def open_listener(address: SocketAddress, limits: Limits) -> socket.socket:
    """Open a listening socket, blocking until the address is free. For use before anything is served.

    Raises `OSError` if the address is not free within `LISTEN_TIMEOUT_S`.
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

    An `inherited` socket belongs to the platform, and other processes accept from it as well. `serve_client`
    is called with each accepted connection and must not raise.
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
        self.stopped = anyio.Event()  # set once accepting has stopped

    @property
    def accepting(self) -> bool:
        """Whether accepting has started. Stays True after it is stopped."""
        return self.scope is not None

    def stop(self) -> None:
        """Stop accepting. Connections in the accept queue stay there."""
        if self.scope is not None:
            self.scope.cancel()

    async def run(self) -> None:
        """Accept until stopped. A failed accept is counted, logged and retried after a backoff."""
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
                await anyio.lowlevel.checkpoint()  # a burst of connections must not starve the other tasks
        self.stopped.set()

    def _report_failure(self, error: OSError) -> None:
        self.context.engine.counters.add("accept_failures")
        self.context.log(f"accept: {error.strerror}")

    async def drain_accept_queue(self, within_s: float) -> None:
        """Serve the clients in the accept queue until the queue is empty or the time is over.

        A failed accept says nothing about the connections behind it in the queue, so accepting continues.
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
        """Close the socket. If no other process shares it, the connections in the accept queue are reset."""
        with contextlib.suppress(OSError):  # close(2) releases the descriptor even if it reports an error
            self.sock.close()
