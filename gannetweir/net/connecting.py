"""Connecting to a peer with retries while this machine lacks a resource for it."""

from __future__ import annotations

import socket
from collections.abc import Callable

import anyio

from gannetweir.net.errors import LocalResourceError, backoff_delays_s
from gannetweir.net.sockets import SocketName, connect
from gannetweir.net.transport import Transport

OpenSocket = Callable[[], tuple[socket.socket, SocketName]]


def _ignore(*_: object) -> None:
    """Default callback that does nothing."""


async def connect_endpoint(
    open_socket: OpenSocket,
    make_transport: Callable[[socket.socket], Transport],
    on_local_error: Callable[[LocalResourceError], None] = _ignore,
    on_started: Callable[[], None] = _ignore,
) -> Transport:
    """Open a socket, wrap it in a transport and connect it.

    A `LocalResourceError` says nothing about the peer. `on_local_error` is called with the error, and after a
    backoff all steps are repeated until they succeed or the caller cancels. `on_started` is called once a
    connect has left this machine.

    Raises `OSError` if the connection is refused or breaks, and any exception of `on_local_error`. The
    transport is closed unless it is returned, also on cancellation.
    """
    for delay_s in backoff_delays_s():
        transport: Transport | None = None
        try:
            sock, address = open_socket()
            transport = make_transport(sock)
            await connect(sock, address, on_started)
        except LocalResourceError as error:
            if transport is not None:
                transport.close()
            on_local_error(error)
        except BaseException:
            if transport is not None:
                transport.close()
            raise
        else:
            return transport
        await anyio.sleep(delay_s)
    raise AssertionError("backoff delays never end")
