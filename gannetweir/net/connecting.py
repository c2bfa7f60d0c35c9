"""A connection that is begun as soon as this machine can begin one."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import anyio

from gannetweir.net.errors import LocalResourceError, backoff_delays_s
from gannetweir.net.transport import Transport, connect

OpenSocket = Callable[[], tuple[socket.socket, Any]]


def _nothing(*_: object) -> None:
    """The default of a hook."""


async def connect_endpoint(
    open_socket: OpenSocket,
    make_transport: Callable[[socket.socket], Transport],
    on_local_error: Callable[[LocalResourceError], None] = _nothing,
    on_started: Callable[[], None] = _nothing,
) -> Transport:
    """Open a socket, make an endpoint of it and connect it. A `LocalError` says nothing of the peer: it is
    told to `held_up`, and all is done again after a pause, until it succeeds or the caller's time is over.
    `under_way` is told once a connect has left this machine.

    Raises `OSError` if the connection is refused or breaks, and what `held_up` raises. The endpoint is closed
    unless it is returned.
    """
    for pause in backoff_delays_s():
        endpoint: Transport | None = None
        try:
            sock, address = open_socket()
            endpoint = make_transport(sock)
            await connect(sock, address, on_started)
            return endpoint
        except LocalResourceError as error:
            if endpoint is not None:
                endpoint.close()
            on_local_error(error)
        except BaseException:
            if endpoint is not None:
                endpoint.close()
            raise
        await anyio.sleep(pause)
    raise AssertionError("pauses never end")
