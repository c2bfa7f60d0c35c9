"""Functions that open, listen on, accept and connect sockets. Local resource errors have their own type."""

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


# The address argument of `socket.connect`: a path, or a tuple whose form depends on the address family.
SocketName = Any


def tcp_socket(host: str) -> socket.socket:
    """Return a new non-blocking TCP socket with TCP_NODELAY.

    Raises `LocalResourceError` if this machine lacks the resources for a socket.
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
    """Return a non-blocking socket for an address of any family, and the argument to connect it with.

    Raises `OSError` if the interface of a link-local address does not exist, and `LocalResourceError` if this
    machine lacks the resources for a socket.
    """
    from gannetweir.addresses.address import IPV6, UNIX  # loaded only for endpoints with several addresses

    if address.family == UNIX:
        sock = _open_socket(socket.AF_UNIX)
        sock.setblocking(False)
        return sock, address.host
    scope_id = _scope_id(address.scope)
    if address.family == IPV6:
        return tcp_socket(address.host), (address.host, address.port, 0, scope_id)
    return tcp_socket(address.host), (address.host, address.port)


def _scope_id(scope: str) -> int:
    """Return the interface index of a link-local scope, which is a name or a number; 0 if it is empty."""
    if not scope:
        return 0
    return int(scope) if scope.isdecimal() else socket.if_nametoindex(scope)


def open_listening_socket(address: SocketAddress, limits: Limits) -> socket.socket:
    """Open a listening socket. Raises `OSError` if the address can't be bound or listened on."""
    sock = tcp_socket(address.host)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address.host, address.port))
    sock.listen(limits.listen_backlog)
    return sock


async def accept_connection(listener: socket.socket) -> socket.socket:
    """Wait for the next connection and return its socket.

    Connections that their peer has already ended are skipped. Raises `OSError` in a shortage of resources.
    Cancellation loses no connection.
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
    """Make a socket non-blocking and set TCP_NODELAY, so that short lines are sent without Nagle's delay."""
    sock.setblocking(False)
    with contextlib.suppress(OSError):  # a connection without TCP_NODELAY is served as well
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


async def connect(
    sock: socket.socket, address: SocketName, on_started: Callable[[], None] = lambda: None
) -> None:
    """Connect a socket. `on_started` is called once the connect has left this machine.

    Raises `LocalResourceError` if the connect failed before anything left this machine, and `OSError` if the
    connect is refused or breaks. A Unix socket with a full accept queue counts as refused. The socket stays
    open in every case, also on cancellation.
    """
    code = sock.connect_ex(address)
    is_unix_refusal = code == errno.EAGAIN and sock.family == socket.AF_UNIX
    if code in LOCAL_CONNECT_ERRORS and not is_unix_refusal:
        raise LocalResourceError(code, os.strerror(code))
    on_started()
    if code in (errno.EINPROGRESS, errno.EINTR):  # an interrupted connect continues in the kernel
        await wait_writable(sock)
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, os.strerror(code))
