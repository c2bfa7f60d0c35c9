"""Sockets: opened, listened on, accepted from and connected, with errors of this machine told apart."""

from __future__ import annotations

import contextlib
import errno
import os
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import anyio.lowlevel

from gannetweir.config import SocketAddress
from gannetweir.limits import Limits
from gannetweir.net.errors import (
    ACCEPTED_PEER_ERRORS,
    LOCAL_CONNECT_ERRORS,
    LocalResourceError,
    is_shortage,
    wait_readable,
    wait_writable,
)

if TYPE_CHECKING:
    from gannetweir.addresses.address import Address as Path


def tcp_socket(address: str) -> socket.socket:
    """A non-blocking socket without Nagle's delay. `LocalError` where this machine has none to give."""
    sock = _socket(socket.AF_INET6 if ":" in address else socket.AF_INET)
    set_low_latency(sock)
    return sock


def _socket(family: socket.AddressFamily) -> socket.socket:
    try:
        return socket.socket(family, socket.SOCK_STREAM)
    except OSError as error:
        if is_shortage(error):
            raise LocalResourceError(error.errno, error.strerror) from None
        raise


def socket_to(address: Path) -> tuple[socket.socket, Any]:
    """A non-blocking socket for an address of any family, and what to connect it to. `OSError` where the
    interface of a link-local address is not there.
    """
    from gannetweir.addresses.address import IPV6, UNIX  # only where a server has several

    if address.family == UNIX:
        sock = _socket(socket.AF_UNIX)
        sock.setblocking(False)
        return sock, address.host
    scope = 0
    if address.scope:
        scope = int(address.scope) if address.scope.isdecimal() else socket.if_nametoindex(address.scope)
    at = (address.host, address.port, 0, scope) if address.family == IPV6 else (address.host, address.port)
    return tcp_socket(address.host), at


def open_listening_socket(at: SocketAddress, limits: Limits) -> socket.socket:
    """A listener of this process's own."""
    sock = tcp_socket(at.host)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((at.host, at.port))
    sock.listen(limits.listen_backlog)
    return sock


async def accept_connection(listener: socket.socket) -> socket.socket:
    """The next connection, as it comes. One whose peer has gone is passed over; `OSError` in a shortage."""
    while True:
        try:
            return listener.accept()[0]
        except BlockingIOError:
            await wait_readable(listener)
        except OSError as error:
            if error.errno not in ACCEPTED_PEER_ERRORS:
                raise
            await anyio.lowlevel.checkpoint()


def set_low_latency(sock: socket.socket) -> None:
    """Lines are small and wanted at once."""
    sock.setblocking(False)
    with contextlib.suppress(OSError):  # a connection that can't be tuned is served all the same
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


async def connect(sock: socket.socket, address: Any, on_started: Callable[[], None] = lambda: None) -> None:
    """Open a connection. `OSError` if it is refused or breaks; `LocalError` if nothing has left this machine.
    A Unix socket whose queue is full refuses. `under_way` is called once the connect has left.
    """
    code = sock.connect_ex(address)
    if code in LOCAL_CONNECT_ERRORS and not (code == errno.EAGAIN and sock.family == socket.AF_UNIX):
        raise LocalResourceError(code, os.strerror(code))
    on_started()
    if code in (errno.EINPROGRESS, errno.EINTR):  # an interrupted connect goes on, too
        await wait_writable(sock)
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, os.strerror(code))
