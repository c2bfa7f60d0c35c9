"""A connection that is begun as soon as this machine can begin one."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import anyio

from gannetweir.net.errors import LocalError, pauses
from gannetweir.net.transport import Transport, connect

OpenSocket = Callable[[], tuple[socket.socket, Any]]


def _nothing(*_: object) -> None:
    """The default of a hook."""


async def connect_endpoint(
    open_socket: OpenSocket,
    make: Callable[[socket.socket], Transport],
    held_up: Callable[[LocalError], None] = _nothing,
    under_way: Callable[[], None] = _nothing,
) -> Transport:
    """Open a socket, make an endpoint of it and connect it. A `LocalError` says nothing of the peer: it is
    told to `held_up`, and all is done again after a pause, until it succeeds or the caller's time is over.
    `under_way` is told once a connect has left this machine.

    Raises `OSError` if the connection is refused or breaks, and what `held_up` raises. The endpoint is closed
    unless it is returned.
    """
    for pause in pauses():
        endpoint: Transport | None = None
        try:
            sock, address = open_socket()
            endpoint = make(sock)
            await connect(sock, address, under_way)
            return endpoint
        except LocalError as error:
            if endpoint is not None:
                endpoint.close()
            held_up(error)
        except BaseException:
            if endpoint is not None:
                endpoint.close()
            raise
        await anyio.sleep(pause)
    raise AssertionError("pauses never end")
