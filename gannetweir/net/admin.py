"""The admin listener: operators' calls, over a listener and descriptors of its own that no crowd can take."""

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

ACCEPT_RETRY_S = 0.02  # between accepts that fail; an operator doesn't notice it
MAX_ECHOED_CHARACTERS = 80  # of an endpoint's name in an answer, so that the answer stays one short line


class AdminListener:
    """Accepts callers and answers one call on each connection. Owns the listener and the callers'
    connections; of more than `Limits.max_admin_connections` the oldest is closed.
    """

    def __init__(self, context: LoggingContext, operations: AdminOperations, address: SocketAddress) -> None:
        """Raises `OSError` where the address can't be listened on in time."""
        self.context, self.operations, self.limits = context, operations, context.limits
        self.listener = open_listener(address, self.limits)
        self.callers: dict[Transport, None] = {}  # oldest first

    async def run(self) -> NoReturn:
        """Accept until cancelled; the listener is closed then."""
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
                except OSError as error:  # one caller's fault must not end the listener, nor the relay
                    self.context.log(f"admin: {error.strerror}")
        finally:
            self.listener.close()

    def _accept_caller(self, sock: socket.socket) -> None:
        set_nonblocking_nodelay(sock)
        while len(self.callers) >= self.limits.max_admin_connections:
            # idle callers must not keep out the one who calls: the oldest has had the longest time for it
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
                while await caller.read():  # a close over unread bytes could cost the caller the answer
                    pass
        except OSError:
            pass  # the caller has disconnected: nobody is left to answer
        finally:
            self.callers.pop(caller, None)
            caller.close()


class RelayOperations:
    """Carries out the operators' calls in a running relay; `AdminOperations` for `proto.admin`."""

    def __init__(
        self,
        engine: Engine,
        not_ready_reason: Callable[[], str],
        override_endpoint: Callable[[str, bool], None],
    ) -> None:
        """`override_endpoint` takes an endpoint out of use (True) or puts it back; `OSError` if it fails."""
        self.engine, self.not_ready_reason = engine, not_ready_reason
        self.override_endpoint = override_endpoint

    def health(self) -> str:
        """Succeeds only once a client would be served here."""
        if reason := self.not_ready_reason():
            raise AdminCallError(reason)
        return "serving"

    def offline(self, endpoint: str) -> str:
        """From the answer on nothing starts there; its clients are migrated."""
        self._override(endpoint, True)
        return f"{endpoint[:MAX_ECHOED_CHARACTERS]} out"

    def online(self, endpoint: str) -> str:
        """It is used again, as one that has just started."""
        self._override(endpoint, False)
        return f"{endpoint[:MAX_ECHOED_CHARACTERS]} in use"

    def _override(self, endpoint: str, offline: bool) -> None:
        endpoints = self.engine.endpoint_list
        # one that is offline may have left the list before this process started
        if not endpoints.was_listed(endpoint) and not endpoints.is_offline(endpoint):
            raise AdminCallError(f"unknown backend {endpoint[:MAX_ECHOED_CHARACTERS]}")
        try:
            self.override_endpoint(endpoint, offline)
        except OSError as error:  # what the other process, or the next one, can't learn of is not promised
            raise AdminCallError(f"not kept: {error.strerror}") from error
