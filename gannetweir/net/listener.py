"""The clients' listener: it is opened, accepts until it is stopped, and its queue is emptied at the end."""

from __future__ import annotations

import contextlib
import errno
import socket
import time
from typing import Protocol

import anyio
import anyio.lowlevel

from gannetweir.config import SocketAddress
from gannetweir.limits import Limits
from gannetweir.net.errors import PAUSE_S, PEER_OF_ACCEPT_GONE, SHORTAGE, pauses
from gannetweir.net.ports import Host
from gannetweir.net.transport import accept, listen

# At a start the address may be held by another process, not be there yet, or the machine be short.
_NOT_YET = SHORTAGE | {errno.EADDRINUSE, errno.EADDRNOTAVAIL}
OPEN_WITHIN_S = 8.0  # a relay is to be ready within 10 s
_OPEN_AGAIN_S = 0.05


class AcceptHost(Host, Protocol):
    """What the listener needs of the relay."""

    def take_in(self, sock: socket.socket) -> None: ...

    def log(self, text: str, **about: object) -> None: ...


def open_listener(at: SocketAddress, limits: Limits) -> socket.socket:
    """A listener of this process's own. Waits, before anything is served, for an address not free yet.

    Raises `OSError` where it can't be had within `OPEN_WITHIN_S`.
    """
    give_up = time.monotonic() + OPEN_WITHIN_S
    while True:
        try:
            return listen(at, limits)
        except OSError as error:
            if error.errno not in _NOT_YET or time.monotonic() >= give_up:
                raise
        time.sleep(_OPEN_AGAIN_S)


class ClientListener:
    """Accepts clients. An `inherited` socket is the platform's: other processes accept from it, too."""

    def __init__(self, host: AcceptHost, sock: socket.socket, inherited: bool) -> None:
        self.host, self.sock, self.inherited = host, sock, inherited
        self.scope: anyio.CancelScope | None = None
        self.stopped = anyio.Event()  # nothing is accepted any more

    @property
    def accepting(self) -> bool:
        """Are clients accepted now, or were they until it was stopped?"""
        return self.scope is not None

    def stop(self) -> None:
        """Accept nothing more. What is in the queue stays there."""
        if self.scope is not None:
            self.scope.cancel()

    async def run(self) -> None:
        """Accept until stopped."""
        with anyio.CancelScope() as self.scope:
            pause = pauses()
            while True:
                try:
                    sock = await accept(self.sock)
                except OSError as error:
                    self._failed(error)
                    await anyio.sleep(next(pause))
                    continue
                pause = pauses()
                self.host.take_in(sock)
                await anyio.lowlevel.checkpoint()  # a rush must not keep the other tasks waiting
        self.stopped.set()

    def _failed(self, error: OSError) -> None:
        self.host.engine.counters.add("accept_failures")
        self.host.log(f"accept: {error.strerror}")

    async def empty_queue(self, within_s: float) -> None:
        """Take in all that waits in the queue. An accept that fails says nothing of those behind it: it is
        made again until the queue is empty, or the time is over.
        """
        with anyio.move_on_after(within_s):
            while True:
                try:
                    sock = self.sock.accept()[0]
                except BlockingIOError:
                    return
                except OSError as error:
                    if error.errno not in PEER_OF_ACCEPT_GONE | SHORTAGE:
                        self._failed(error)
                        return
                    self.host.engine.counters.add("accept_failures")
                    await anyio.sleep(PAUSE_S if error.errno in SHORTAGE else 0)
                    continue
                self.host.take_in(sock)

    def close(self) -> None:
        """Give the descriptor back. What is still in the queue of a socket of its own is reset."""
        with contextlib.suppress(OSError):  # the descriptor is given back whatever close(2) says
            self.sock.close()
