"""Sockets: opened, listened on, accepted from, connected. Errors of this machine have their own type."""

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
    from gannetweir.addresses.address import Address


# What a socket connects to: a path, or a tuple that differs by the family, as in the standard library.
SocketName = Any


def tcp_socket(host: str) -> socket.socket:
    """A non-blocking socket without Nagle's delay. Raises `LocalResourceError` where this machine has none to
    give.
    """
    sock = _open_socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    set_nonblocking_nodelay(sock)
    return sock


def _open_socket(family: socket.AddressFamily) -> socket.socket:
    try:
        return socket.socket(family, socket.SOCK_STREAM)
    except OSError as error:
        if is_shortage(error):
            raise LocalResourceError(error.errno, error.strerror) from error
        raise


def socket_for_address(address: Address) -> tuple[socket.socket, SocketName]:
    """A non-blocking socket for an address of any family, and what to connect it to.

    Raises `OSError` where the interface of a link-local address is not there, and `LocalResourceError` where
    this machine has no socket to give.
    """
    from gannetweir.addresses.address import IPV6, UNIX  # only where an endpoint has several

    if address.family == UNIX:
        sock = _open_socket(socket.AF_UNIX)
        sock.setblocking(False)
        return sock, address.host
    scope_id = _scope_id(address.scope)
    if address.family == IPV6:
        return tcp_socket(address.host), (address.host, address.port, 0, scope_id)
    return tcp_socket(address.host), (address.host, address.port)


def _scope_id(scope: str) -> int:
    """The number of the interface of a link-local address, which may be named; 0 without one."""
    if not scope:
        return 0
    return int(scope) if scope.isdecimal() else socket.if_nametoindex(scope)


def open_listening_socket(address: SocketAddress, limits: Limits) -> socket.socket:
    """A listener of this process's own. Raises `OSError` where the address can't be listened on."""
    sock = tcp_socket(address.host)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address.host, address.port))
    sock.listen(limits.listen_backlog)
    return sock


async def accept_connection(listener: socket.socket) -> socket.socket:
    """The next connection, as it comes. One whose peer has ended is passed over. Raises `OSError` in a
    shortage; cancelling loses no connection.
    """
    while True:
        try:
            return listener.accept()[0]
        except BlockingIOError:
            await wait_readable(listener)
        except OSError as error:
            if error.errno not in ACCEPTED_PEER_ERRORS:
                raise
            await anyio.lowlevel.checkpoint()


def set_nonblocking_nodelay(sock: socket.socket) -> None:
    """Make calls return at once, and send small lines without Nagle's delay."""
    sock.setblocking(False)
    with contextlib.suppress(OSError):  # a connection that can't be tuned is served all the same
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


async def connect(
    sock: socket.socket, address: SocketName, on_started: Callable[[], None] = lambda: None
) -> None:
    """Connect a socket. `on_started` is called once the connect has left this machine.

    Raises `LocalResourceError` if nothing has left this machine, `OSError` if the connect is refused or
    breaks; a Unix socket whose queue is full refuses. The socket stays open in every case, also when this is
    cancelled.
    """
    code = sock.connect_ex(address)
    is_unix_refusal = code == errno.EAGAIN and sock.family == socket.AF_UNIX
    if code in LOCAL_CONNECT_ERRORS and not is_unix_refusal:
        raise LocalResourceError(code, os.strerror(code))
    on_started()
    if code in (errno.EINPROGRESS, errno.EINTR):  # an interrupted connect goes on, too
        await wait_writable(sock)
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, os.strerror(code))
