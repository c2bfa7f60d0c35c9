"""A listening address of an emulated backend, with fault injection."""

from __future__ import annotations

import socket
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

import anyio

from gannetweir.addresses.address import IPV6, UNIX, Address, parse_address

FAULTS = ("", "refuse", "hole", "stall", "reset", "slow")  # empty means no fault
BACKLOG = 1024
QUEUE_FILLERS = 4  # the number of connects that fill an accept queue of length 0


@dataclass(slots=True)
class AddressListener:
    """Owns the listening socket, and the connections that fill its accept queue for the fault `hole`."""

    address: Address
    fault: str = ""
    listener: socket.socket | None = None
    queue_fillers: list[socket.socket] = field(default_factory=list)
    accepted: int = 0  # number of accepted connections
    first_lines: int = 0  # number of complete first lines received

    def open(self) -> socket.socket | None:
        """Listen as the fault requires. Returns the socket to accept from, or None if nothing is accepted."""
        if self.fault == "refuse":
            return None
        sock = self._bound_socket()
        sock.setblocking(False)
        self.listener = sock
        if self.fault == "hole":
            self._fill_accept_queue(sock)
            return None
        sock.listen(BACKLOG)
        return sock

    def _bound_socket(self) -> socket.socket:
        address = self.address
        if address.family == UNIX:
            Path(address.host).unlink(missing_ok=True)
            sock = socket.socket(socket.AF_UNIX)
            sock.bind(address.host)
            return sock
        sock = socket.socket(socket.AF_INET6 if address.family == IPV6 else socket.AF_INET)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((address.host, address.port))
        return sock

    def _fill_accept_queue(self, sock: socket.socket) -> None:
        """Keep the accept queue full, so that a connect gets no answer, as from a black hole. A full queue of
        a Unix socket refuses connects instead.
        """
        sock.listen(0)
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket(sock.family)
            filler.setblocking(False)
            with suppress(OSError):
                filler.connect(sock.getsockname())
            self.queue_fillers.append(filler)

    def close(self) -> None:
        """Stop listening. Does nothing if the address is not listening."""
        if self.listener is not None:
            with suppress(anyio.ClosedResourceError, OSError):
                anyio.notify_closing(self.listener)
            self.listener.close()
            self.listener = None
            if self.address.family == UNIX:
                Path(self.address.host).unlink(missing_ok=True)
        for filler in self.queue_fillers:
            filler.close()
        self.queue_fillers.clear()


def _free_port(family: socket.AddressFamily, host: str) -> int:
    with socket.socket(family) as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


def loopback_addresses(number: int, folder: str, families: tuple[str, ...]) -> list[Address]:
    """Return a backend's addresses, one for each family, on free ports.

    Raises `KeyError` for an unknown family.
    """
    texts = {
        "ipv4": lambda: f"127.0.0.1:{_free_port(socket.AF_INET, '127.0.0.1')}",
        "ipv6": lambda: f"[::1]:{_free_port(socket.AF_INET6, '::1')}",
        "unix": lambda: f"unix:{folder}/b{number}.sock",
    }
    return [parse_address(texts[family]()) for family in families]
