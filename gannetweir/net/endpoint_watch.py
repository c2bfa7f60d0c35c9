"""The driver of the pool watch: the module says when to begin again, a reload where."""

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
from gannetweir.net.transport import Spawn, Transport, tcp_socket
from gannetweir.proto.endpoint_watch import EndpointListError, EndpointWatch, Heartbeat, WatchFailed


class WatchContext(DriverContext, Protocol):
    """What the watch needs of the relay: beside whom to tell, where to ask."""

    @property
    def discovery(self) -> SocketAddress: ...


class EndpointWatchDriver:
    """Holds the watch that is open, if any, and beside it the one that it is to replace."""

    def __init__(
        self,
        relay: WatchContext,
        make_transport: Callable[[socket.socket, Limits, Spawn], Transport] = Transport,
    ) -> None:
        self.relay, self.make_transport = (
            relay,
            make_transport,
        )  # `endpoint`: a measurement counts the bytes in its own
        self.scope: anyio.CancelScope | None = None
        self.has_answered = False  # that watch has told something
        self.replaced_scope: anyio.CancelScope | None = (
            None  # at the old address, until the new one has answered
        )
        self.discovery_changed = (
            False  # the pool is another discovery's: its versions say nothing to the new one
        )

    def apply_command(self, order: SetEndpointWatch) -> None:
        """Start a watch in place of the one before, or only end that."""
        if self.scope is not None:
            self.scope.cancel()
            self.scope = None
        if order.enabled:
            self._open(order.since_version)
        else:
            self._cancel_replaced()

    def change_discovery(self) -> None:
        """Discovery has another address: watch there at once, and go on listening here until it answers."""
        if self.scope is not None:
            if self.has_answered:
                self.replaced_scope = self.scope
            else:  # moved again before the last move was through
                self.scope.cancel()
        self.discovery_changed = True
        self._open(0)

    def _open(self, since: int) -> None:
        self.scope, self.has_answered = scope, _ = anyio.CancelScope(), False
        self.relay.spawn(lambda: self._run(0 if self.discovery_changed else since, scope))

    def _cancel_replaced(self) -> None:
        if self.replaced_scope is not None:
            self.replaced_scope.cancel()
            self.replaced_scope = None

    def _handle_event(self, news: MembershipUpdate | Heartbeat, scope: anyio.CancelScope) -> None:
        engine = self.relay.engine
        if scope not in (self.scope, self.replaced_scope):
            return  # ended a moment ago, with this read already: it must not bring back what is gone
        if scope is self.scope and not self.has_answered:
            if (
                self.discovery_changed
                and isinstance(news, MembershipUpdate)
                and news.version < engine.endpoint_list.version
            ):
                # another count, or a list from before what the old address told: no drain may be undone by it
                news = replace(news, is_stale=True)
            self.has_answered, self.discovery_changed = True, False
            self._cancel_replaced()
            if isinstance(news, Heartbeat):  # in place of news: the pool is what it was
                news = MembershipUpdate(engine.endpoint_list.version, False)
        if isinstance(news, MembershipUpdate):
            self.relay.run_engine_call(engine.endpoint_update_received, news)

    async def _run(self, since: int, scope: anyio.CancelScope) -> None:
        reason = "the watch fell silent"
        endpoint: Transport | None = None
        with scope:
            try:
                at, limits = self.relay.discovery, self.relay.limits
                watch = EndpointWatch(f"{at.host}:{at.port}", since, self.relay.settings, limits)
                due = anyio.current_time() + limits.pool_call_us / 1e6
                with anyio.fail_after(limits.pool_call_us / 1e6):
                    endpoint = await connect_endpoint(
                        lambda: (tcp_socket(at.host), (at.host, at.port)),
                        lambda sock: self.make_transport(sock, limits, self.relay.spawn),
                    )
                    endpoint.write(watch.request)
                while True:
                    with anyio.fail_after(due - anyio.current_time()):
                        data = await endpoint.read()
                    answered, events = watch.answered, watch.feed(data)
                    for event in events:
                        if isinstance(event, WatchFailed):
                            raise EndpointListError(event.reason)
                        self._handle_event(event, scope)
                    # A watch that is open but says nothing whole, not even its beat, is dead. Bytes alone do
                    # not wind this clock: an answer that trickles without end would keep a dead watch alive.
                    if events or watch.answered > answered:
                        due = anyio.current_time() + limits.pool_silence_us / 1e6
            except TimeoutError:
                pass
            except (OSError, EndpointListError) as error:
                reason = str(error)
            except Exception as error:  # a fault of ours must not end the watching for good
                self.relay.engine.counters.add("driver_faults")
                reason = f"the watch's driver failed: {type(error).__name__}: {error}"
            finally:
                if endpoint is not None:
                    endpoint.close()
        if self.replaced_scope is scope:  # the end that was to come
            self.replaced_scope = None
        elif self.scope is scope:  # not ended by an order
            self.scope = None
            self.relay.run_engine_call(self.relay.engine.endpoint_watch_failed, reason)
