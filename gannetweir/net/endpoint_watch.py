"""The driver of the endpoint watch: the engine commands when to open it, a reload changes its address.

`proto.endpoint_watch` formats the request and parses the response.
"""

from __future__ import annotations

import math
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
from gannetweir.net.watch_calls import WatchCalls
from gannetweir.proto.endpoint_watch import EndpointListError, EndpointWatch, Heartbeat, WatchFailed


class WatchContext(DriverContext, Protocol):
    """The parts of the relay that the watch uses."""

    @property
    def discovery(self) -> SocketAddress:
        """The active address of discovery; a reload may replace it."""


class EndpointWatchDriver:
    """Opens the calls to discovery, and handles what they receive.

    Discovery serves one call at a time, so a call may wait for its turn longer than the timeout. Closing it
    would give up its place in the queue, and no call might ever be answered. A call without an answer is
    therefore reported to the engine as failed, but stays open beside the next call. The first of the two that
    answers becomes the current watch.

    Measurements pass a `make_transport` whose transports count bytes.
    """

    def __init__(
        self,
        context: WatchContext,
        make_transport: Callable[[socket.socket, Limits, Spawn], Transport] = Transport,
    ) -> None:
        self.context, self.make_transport = context, make_transport
        self.calls = WatchCalls()
        self.failure_reported = False  # the engine has not yet responded to the latest failure by a command
        # True from a change of discovery until the new one answers: the endpoint list is still that of the
        # previous discovery, whose version numbers mean nothing to the new one.
        self.discovery_changed = False

    def apply_command(self, command: SetEndpointWatch) -> None:
        """Cancel the current watch and, if the command enables it, open a new one. A watch that has answered
        since its failure was reported is what the command asks for, and is kept.
        """
        calls = self.calls
        has_reopened = self.failure_reported and calls.current is not None and calls.has_answered
        self.failure_reported = False
        if command.enabled and has_reopened:
            version = self.context.engine.endpoint_list.version
            self._apply_update(MembershipUpdate(version, False))  # reports that the watch is open
            return
        calls.cancel_current()
        if command.enabled:
            self._open(command.since_version)
        else:
            calls.cancel_overdue()
            calls.cancel_replaced()

    def change_discovery(self) -> None:
        """Open a watch at the changed address of discovery. The current watch stays open until the new one
        answers.
        """
        self.calls.replace_current()
        self.discovery_changed = True
        self._open(0)

    def _open(self, since_version: int) -> None:
        scope = self.calls.open()
        self.context.spawn(lambda: self._run(0 if self.discovery_changed else since_version, scope))

    def _handle_event(self, event: MembershipUpdate | Heartbeat, scope: anyio.CancelScope) -> None:
        if scope is self.calls.overdue:
            self.calls.make_overdue_current()
            self.context.engine.counters.add("endpoint_watch_late_answers")
        if not self.calls.is_watch(scope):
            # The watch has been cancelled after it read this event. Applying the event could restore an
            # endpoint that was removed later.
            return
        if scope is self.calls.current and not self.calls.has_answered:
            event = self._first_update(event)
        if isinstance(event, MembershipUpdate):
            self._apply_update(event)

    def _apply_update(self, update: MembershipUpdate) -> None:
        self.context.run_engine_call(self.context.engine.endpoint_update_received, update)

    def _report_failure(self, reason: str) -> None:
        """Notify the engine that there is no watch. It commands a new one after a backoff."""
        self.failure_reported = True
        self.context.run_engine_call(self.context.engine.endpoint_watch_failed, reason)

    def _first_update(self, event: MembershipUpdate | Heartbeat) -> MembershipUpdate:
        """Return the first event of a watch as an update, and cancel the watch that it replaces."""
        version = self.context.engine.endpoint_list.version
        if isinstance(event, Heartbeat):  # the list is unchanged
            update = MembershipUpdate(version, False)
        elif self.discovery_changed and event.version < version:
            # The new discovery counts versions differently, or its list is older than the one from the
            # previous address. Such a list must not undo a drain.
            update = replace(event, is_stale=True)
        else:
            update = event
        self.discovery_changed = False
        self.calls.record_answer()
        return update

    async def _run(self, since_version: int, scope: anyio.CancelScope) -> None:
        """Run one watch. The engine is notified of the reason for its end, unless its scope was cancelled."""
        reason = "no complete event within the timeout"
        with scope:
            try:
                await self._watch(since_version, scope)
            except TimeoutError:
                pass
            except (OSError, EndpointListError) as error:
                reason = str(error)
            except Exception as error:  # noqa: BLE001 - guarded edge of a task
                self.context.engine.counters.add("driver_faults")
                reason = f"the driver of the endpoint watch failed: {type(error).__name__}: {error}"
        if self.calls.remove(scope):  # the end of any other call is expected, or was reported before
            self._report_failure(reason)

    async def _watch(self, since_version: int, scope: anyio.CancelScope) -> None:
        """Connect, send the request and handle the response until the watch fails.

        Raises `TimeoutError` if the connection is not established or no complete event follows the head of
        the response in time, `OSError` if the connection fails or breaks, and `EndpointListError` for an
        invalid response. The transport is closed then and on cancellation.
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
                data = None
                with anyio.move_on_after(due - anyio.current_time()):
                    data = await transport.read()
                if data is None:
                    self._handle_silence(watch, scope)
                    due = math.inf  # the answer of an overdue call is awaited until another call answers
                elif self._feed(watch, data, scope):
                    due = anyio.current_time() + limits.endpoint_watch_silence_us / 1e6
        finally:
            if transport is not None:
                transport.close()

    def _handle_silence(self, watch: EndpointWatch, scope: anyio.CancelScope) -> None:
        """Handle that nothing complete has arrived in time. Raises `TimeoutError` unless the call still waits
        for the head of its response.
        """
        if watch.answered or scope is not self.calls.current:
            raise TimeoutError
        self.calls.make_current_overdue()
        self._report_failure("no answer within the timeout; the call stays open beside the next one")

    def _feed(self, watch: EndpointWatch, data: bytes, scope: anyio.CancelScope) -> bool:
        """Handle the events that these bytes complete, and return whether they prove that the watch works.

        A watch that is open but delivers no complete event, not even a heartbeat, counts as dead. Bytes alone
        don't count, because a response that trickles in without completing would keep a dead watch open.
        """
        had_answered = watch.answered
        watch.settings = self.context.settings  # a reload may have renumbered the zones
        events = watch.feed(data)
        for event in events:
            if isinstance(event, WatchFailed):
                raise EndpointListError(event.reason)
            self._handle_event(event, scope)
        return bool(events) or watch.answered > had_answered
