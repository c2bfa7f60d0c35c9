"""Injects the transient errors into socket calls that Linux documents for them."""

from __future__ import annotations

import os
import socket
from collections import deque
from collections.abc import Callable

import pytest

SocketPredicate = Callable[[socket.socket], bool]


class FailingCalls:
    """Replaces methods of sockets. Each injected error is raised once, in the given order."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.monkeypatch = monkeypatch
        self.remaining_errors: dict[str, deque[int]] = {}

    def fail(self, call: str, errors: list[int], is_affected: SocketPredicate = lambda sock: True) -> None:
        """Make the next calls of a method on an affected socket fail with these errors."""
        remaining = self.remaining_errors.setdefault(call, deque())
        remaining.extend(errors)
        original = getattr(socket.socket, call)

        def wrapped(sock: socket.socket, *args: object) -> object:
            if remaining and is_affected(sock):
                code = remaining.popleft()
                if call == "connect_ex":
                    return code
                raise OSError(code, os.strerror(code))
            return original(sock, *args)

        self.monkeypatch.setattr(socket.socket, call, wrapped)

    def fail_new_sockets(self, errors: list[int]) -> None:
        """Make the creation of the next sockets fail with these errors."""
        remaining = self.remaining_errors.setdefault("socket", deque())
        remaining.extend(errors)
        original: Callable[..., None] = socket.socket.__init__

        def wrapped(sock: socket.socket, *args: object, **named: object) -> None:
            if remaining and named.get("fileno") is None and len(args) < 4:
                code = remaining.popleft()
                raise OSError(code, os.strerror(code))
            original(sock, *args, **named)

        self.monkeypatch.setattr(socket.socket, "__init__", wrapped)


def is_connected_to_port(port: int) -> SocketPredicate:
    """Return a predicate for sockets whose peer is at this port."""

    def matches(sock: socket.socket) -> bool:
        try:
            return bool(sock.getpeername()[1] == port)
        except (OSError, IndexError):
            return False

    return matches


def is_connected_at_port(port: int) -> SocketPredicate:
    """Return a predicate for connected sockets bound to this port: a relay's ends of client connections."""

    def matches(sock: socket.socket) -> bool:
        try:
            return bool(sock.getsockname()[1] == port and sock.getpeername())
        except (OSError, IndexError):
            return False

    return matches
