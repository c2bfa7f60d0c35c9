"""The admin listener for operators' calls, with reserved descriptors that a crowd of clients can't use up."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import NoReturn

import anyio

from gannetweir.config import SocketAddress
from gannetweir.core import Engine
from gannetweir.net.listener import open_listener
from gannetweir.net.ports import LoggingContext
from gannetweir.net.sockets import accept_connection, set_nonblocking_nodelay
from gannetweir.net.transport import Transport
from gannetweir.proto.admin import AdminCall, AdminCallError, AdminOperations

ACCEPT_RETRY_S = 0.02  # short enough that an operator does not notice the delay
# Endpoint names are cut to this length in answers, so that an answer stays one short line.
MAX_ECHOED_CHARACTERS = 80


class AdminListener:
    """Accepts callers and answers one call on each connection.

    Owns the listener and the callers' connections. When `Limits.max_admin_connections` are open, the oldest
    is closed for a new caller.
    """

    def __init__(self, context: LoggingContext, operations: AdminOperations, address: SocketAddress) -> None:
        """Open the listener. Raises `OSError` if the address is not free in time."""
        self.context, self.operations, self.limits = context, operations, context.limits
        self.listener = open_listener(address, self.limits)
        self.callers: dict[Transport, None] = {}  # oldest first

    async def run(self) -> NoReturn:
        """Accept callers until cancelled, then close the listener."""
        try:
            while True:
                try:
                    sock = await accept_connection(self.listener)
                except OSError as error:
                    self.context.log(f"admin: {error.strerror}")
                    await anyio.sleep(ACCEPT_RETRY_S)
                    continue
                try:
                    self._accept_caller(sock)
                except OSError as error:  # an error of one connection must not end the listener or the relay
                    self.context.log(f"admin: {error.strerror}")
        finally:
            self.listener.close()

    def _accept_caller(self, sock: socket.socket) -> None:
        set_nonblocking_nodelay(sock)
        while len(self.callers) >= self.limits.max_admin_connections:
            # Idle connections must not block new callers. The oldest one has had the most time to call.
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            oldest.close()
        caller = Transport(sock, self.limits, self.context.spawn)
        self.callers[caller] = None
        self.context.spawn(lambda: self._answer_caller(caller))

    async def _answer_caller(self, caller: Transport) -> None:
        call = AdminCall(self.limits)
        try:
            with anyio.move_on_after(self.limits.admin_idle_timeout_us / 1e6):
                answer = b""
                while not answer and (data := await caller.read()):
                    answer = call.feed(data, self.operations)
                self.context.engine.counters.add("admin_calls")
                caller.write(answer)
                caller.finish()
                # Closing with unread bytes would send a reset, which can make the caller lose the answer.
                while await caller.read():
                    pass
        except OSError:
            pass  # the caller has disconnected
        finally:
            self.callers.pop(caller, None)
            caller.close()


class RelayOperations:
    """Implements `proto.admin.AdminOperations` for a running relay."""

    def __init__(
        self,
        engine: Engine,
        not_ready_reason: Callable[[], str],
        override_endpoint: Callable[[str, bool], None],
    ) -> None:
        """`override_endpoint` sets an endpoint offline (True) or online; it raises `OSError` on failure."""
        self.engine, self.not_ready_reason = engine, not_ready_reason
        self.override_endpoint = override_endpoint

    def health(self) -> str:
        """Return `serving` if a client would be served. Raises `AdminCallError` with the reason otherwise."""
        if reason := self.not_ready_reason():
            raise AdminCallError(reason)
        return "serving"

    def offline(self, endpoint: str) -> str:
        """Set an endpoint offline. No attempt starts there afterwards, and its clients are migrated."""
        self._override(endpoint, True)
        return f"{endpoint[:MAX_ECHOED_CHARACTERS]} out"

    def online(self, endpoint: str) -> str:
        """Set an endpoint online. It is used like an endpoint that has just started."""
        self._override(endpoint, False)
        return f"{endpoint[:MAX_ECHOED_CHARACTERS]} in use"

    def _override(self, endpoint: str, offline: bool) -> None:
        endpoints = self.engine.endpoint_list
        # An offline endpoint may have been removed from the endpoint list before this process started.
        if not endpoints.was_listed(endpoint) and not endpoints.is_offline(endpoint):
            raise AdminCallError(f"unknown backend {endpoint[:MAX_ECHOED_CHARACTERS]}")
        try:
            self.override_endpoint(endpoint, offline)
        except OSError as error:
            # The call fails if the override can't be shared with the other process and the next one.
            raise AdminCallError(f"not kept: {error.strerror}") from error
