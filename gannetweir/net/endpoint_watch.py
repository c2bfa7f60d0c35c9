"""The driver of the watch on the endpoint list: the engine says when to begin again, a reload where.

The bytes mean what `proto.endpoint_watch` says.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

import anyio

from gannetweir.config import SocketAddress
from gannetweir.core import SetEndpointWatch
from gannetweir.limits import Limits
from gannetweir.membership.membership_update import MembershipUpdate
from gannetweir.net.connecting import connect_endpoint
from gannetweir.net.ports import DriverContext
from gannetweir.net.sockets import tcp_socket
from gannetweir.net.transport import Spawn, Transport
from gannetweir.proto.endpoint_watch import EndpointListError, EndpointWatch, Heartbeat, WatchFailed


class WatchContext(DriverContext, Protocol):
    """What the watch needs of the relay: beside the engine, where discovery is."""

    @property
    def discovery(self) -> SocketAddress:
        """Discovery's address in force; a reload may replace it."""


class EndpointWatchDriver:
    """Owns the watch that is open, if any, and beside it the one that it is to replace.

    `make_transport` is for a measurement that counts the bytes in a transport of its own.
    """

    def __init__(
        self,
        context: WatchContext,
        make_transport: Callable[[socket.socket, Limits, Spawn], Transport] = Transport,
    ) -> None:
        self.context, self.make_transport = context, make_transport
        self.scope: anyio.CancelScope | None = None  # of the watch that is open
        self.has_answered = False  # that watch has sent an update or a heartbeat
        self.replaced_scope: anyio.CancelScope | None = None  # at the old address, until the new one answers
        # the list is another discovery's: its versions say nothing to the new one
        self.discovery_changed = False

    def apply_command(self, command: SetEndpointWatch) -> None:
        """Start a watch in place of the one before, or only end that."""
        if self.scope is not None:
            self.scope.cancel()
            self.scope = None
        if command.enabled:
            self._open(command.since_version)
        else:
            self._cancel_replaced()

    def change_discovery(self) -> None:
        """Discovery has another address: watch there at once, and keep this watch open until that answers."""
        if self.scope is not None:
            if self.has_answered:
                self.replaced_scope = self.scope
            else:  # changed again before the last change was through
                self.scope.cancel()
        self.discovery_changed = True
        self._open(0)

    def _open(self, since_version: int) -> None:
        scope = anyio.CancelScope()
        self.scope, self.has_answered = scope, False
        self.context.spawn(lambda: self._run(0 if self.discovery_changed else since_version, scope))

    def _cancel_replaced(self) -> None:
        if self.replaced_scope is not None:
            self.replaced_scope.cancel()
            self.replaced_scope = None

    def _handle_event(self, event: MembershipUpdate | Heartbeat, scope: anyio.CancelScope) -> None:
        if scope not in (self.scope, self.replaced_scope):
            return  # cancelled a moment ago, with this read already: it must not bring back what was removed
        if scope is self.scope and not self.has_answered:
            event = self._first_update(event)
        if isinstance(event, MembershipUpdate):
            self.context.run_engine_call(self.context.engine.endpoint_update_received, event)

    def _first_update(self, event: MembershipUpdate | Heartbeat) -> MembershipUpdate:
        """What the first event of a watch says; from here on the watch that it replaces is not needed."""
        version = self.context.engine.endpoint_list.version
        if isinstance(event, Heartbeat):  # in place of an update: the list is what it was
            update = MembershipUpdate(version, False)
        elif self.discovery_changed and event.version < version:
            # another count, or a list from before what the old address sent: no drain may be undone by it
            update = replace(event, is_stale=True)
        else:
            update = event
        self.has_answered, self.discovery_changed = True, False
        self._cancel_replaced()
        return update

    async def _run(self, since_version: int, scope: anyio.CancelScope) -> None:
        """One watch. Cancelling its scope ends it without a word; else the engine hears why it ended."""
        reason = "the watch fell silent"
        with scope:
            try:
                await self._watch(since_version, scope)
            except TimeoutError:
                pass
            except (OSError, EndpointListError) as error:
                reason = str(error)
            except Exception as error:  # noqa: BLE001 - guarded edge of a task
                self.context.engine.counters.add("driver_faults")
                reason = f"the watch's driver failed: {type(error).__name__}: {error}"
        if self.replaced_scope is scope:  # the end that was to come
            self.replaced_scope = None
        elif self.scope is scope:  # not cancelled by a command
            self.scope = None
            self.context.run_engine_call(self.context.engine.endpoint_watch_failed, reason)

    async def _watch(self, since_version: int, scope: anyio.CancelScope) -> None:
        """Connect, send the request and handle what comes, until it fails.

        Raises `TimeoutError` where nothing whole comes in time, `OSError` for a connection that fails or
        breaks, `EndpointListError` for an answer that can't be used. The transport is closed then, as it is
        if this is cancelled.
        """
        address, limits = self.context.discovery, self.context.limits
        watch = EndpointWatch(f"{address.host}:{address.port}", since_version, self.context.settings, limits)
        transport: Transport | None = None
        try:
            due = anyio.current_time() + limits.endpoint_watch_response_timeout_us / 1e6
            with anyio.fail_after(limits.endpoint_watch_response_timeout_us / 1e6):
                transport = await connect_endpoint(
                    lambda: (tcp_socket(address.host), (address.host, address.port)),
                    lambda sock: self.make_transport(sock, limits, self.context.spawn),
                )
                transport.write(watch.request)
            while True:
                with anyio.fail_after(due - anyio.current_time()):
                    data = await transport.read()
                if self._feed(watch, data, scope):
                    due = anyio.current_time() + limits.endpoint_watch_silence_us / 1e6
        finally:
            if transport is not None:
                transport.close()

    def _feed(self, watch: EndpointWatch, data: bytes, scope: anyio.CancelScope) -> bool:
        """Handle what these bytes complete. Does that show that the watch is alive? One that is open but
        sends nothing whole, not even its heartbeat, is dead; bytes alone don't count, since an answer that
        trickles without end would keep a dead watch open.
        """
        had_answered = watch.answered
        events = watch.feed(data)
        for event in events:
            if isinstance(event, WatchFailed):
                raise EndpointListError(event.reason)
            self._handle_event(event, scope)
        return bool(events) or watch.answered > had_answered
