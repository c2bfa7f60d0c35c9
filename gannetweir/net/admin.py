"""The driver of the operators' door: a listener and descriptors of its own, which no crowd can take."""

from __future__ import annotations

import socket
from typing import Protocol

import anyio

from gannetweir.config import SocketAddress
from gannetweir.net.listener import open_listener
from gannetweir.net.ports import DriverContext
from gannetweir.net.transport import Transport, accept_connection, set_low_latency
from gannetweir.proto.admin import AdminCall, AdminCallError


class AdminContext(DriverContext, Protocol):
    """What the door needs of the relay that it opens on."""

    def log(self, text: str, **about: object) -> None: ...

    def not_ready_reason(self) -> str: ...

    def override_endpoint(self, server: str, out: bool) -> None: ...


class AdminListener:
    """Accepts callers and carries out their calls; `Operations` for `proto.admin`."""

    def __init__(self, relay: AdminContext, at: SocketAddress) -> None:
        self.relay, self.limits = relay, relay.limits
        self.listener = open_listener(at, self.limits)
        self.callers: dict[Transport, None] = {}  # oldest first

    async def run(self) -> None:
        """Until the relay ends."""
        try:
            while True:
                try:
                    sock = await accept_connection(self.listener)
                except OSError as error:
                    self.relay.log(f"admin: {error.strerror}")
                    await anyio.sleep(0.02)
                    continue
                try:
                    self._serve_caller(sock)
                except OSError as error:  # one caller's trouble must not end the door, nor the relay
                    self.relay.log(f"admin: {error.strerror}")
        finally:
            self.listener.close()

    def _serve_caller(self, sock: socket.socket) -> None:
        set_low_latency(sock)
        while len(self.callers) >= self.limits.admin_callers:
            # idle callers must not keep out the one who calls: the oldest has had the longest time for it
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            oldest.close()
        caller = Transport(sock, self.limits, self.relay.spawn)
        self.callers[caller] = None
        self.relay.spawn(lambda: self._serve(caller))

    async def _serve(self, caller: Transport) -> None:
        call = AdminCall(self.limits)
        try:
            with anyio.move_on_after(self.limits.admin_idle_us / 1e6):
                answer = b""
                while not answer and (data := await caller.read()):
                    answer = call.feed(data, self)
                self.relay.engine.counters.add("admin_calls")
                caller.write(answer)
                caller.finish()
                while await caller.read():  # a close over unread bytes could cost the caller the answer
                    pass
        except OSError:
            pass
        finally:
            self.callers.pop(caller, None)
            caller.close()

    # ---- the calls

    def health(self) -> str:
        """`ok` only once a client would be served here."""
        if reason := self.relay.not_ready_reason():
            raise AdminCallError(reason)
        return "serving"

    def offline(self, server: str) -> str:
        """From the answer on nothing starts there; its clients are moved."""
        return self._override(server, True, "out")

    def online(self, server: str) -> str:
        """It is used again, as one that has just started."""
        return self._override(server, False, "in use")

    def _override(self, server: str, out: bool, word: str) -> str:
        pool = self.relay.engine.endpoint_list
        # it may be offline since before this process
        if not pool.was_listed(server) and not pool.is_offline(server):
            raise AdminCallError(f"unknown backend {server[:80]}")
        try:
            self.relay.override_endpoint(server, out)
        except OSError as error:  # what the other process, or the next one, can't learn of is not promised
            raise AdminCallError(f"not kept: {error.strerror}") from None
        return f"{server[:80]} {word}"
