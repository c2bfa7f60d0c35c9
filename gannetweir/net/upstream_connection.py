"""The driver of a server-side flow."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

import anyio

from gannetweir.core import OpenUpstream
from gannetweir.net.connecting import connect_endpoint
from gannetweir.net.descriptors import DescriptorBudget
from gannetweir.net.errors import PAUSE_S, LocalError, is_shortage, wait_writable
from gannetweir.net.ports import DialHost
from gannetweir.net.transport import DescriptorCount, Transport, tcp_socket
from gannetweir.placement.events import AttemptStatus
from gannetweir.proto.upstream_connection import (
    AttemptEnded,
    EndpointLine,
    LoadReported,
    UpstreamConnection,
    UpstreamEstablished,
)

if TYPE_CHECKING:
    from gannetweir.net.dialer import Dialer


class UpstreamHost(DialHost, Protocol):
    """What a flow needs of the relay: beside the way to a server, a place for its descriptor."""

    @property
    def ledger(self) -> DescriptorCount: ...

    def look_at_hand(self) -> None: ...

    @property
    def room(self) -> DescriptorBudget: ...

    def tell_only(self, call: Callable[..., Any], *args: Any) -> None: ...


class FlowOwner(Protocol):
    """What a flow needs of the client's side that it serves."""

    up_line: bytes

    @property
    def client(self) -> Transport: ...

    def look(self) -> None: ...

    def to_client(self, line: bytes) -> None: ...


class UpstreamDriver:
    """Opens a connection to one backend, writes the first line, then hands on what comes."""

    def __init__(
        self, relay: UpstreamHost, session: FlowOwner, order: OpenUpstream, first_line: bytes
    ) -> None:
        self.relay, self.session, self.order = relay, session, order
        self.flow = UpstreamConnection(first_line, relay.settings.load_report_fields, relay.limits)
        self.endpoint: Transport | None = None
        self.dialer: Dialer | None = None  # while addresses race
        self.closed = False  # nothing of it counts any more
        self.told = False  # the engine knows of its end, or ended it itself
        self.done = anyio.Event()

    async def run(self) -> None:
        """The flow's life. Its end is told once, unless the engine closed it first."""
        reset = False
        try:
            await self._connect()
            reset = await self._read()
        except OSError:
            reset = True
        finally:
            self.done.set()
            if not self.told:
                self._over(reset)
            if self.endpoint is not None:
                self.endpoint.close()

    async def _race(self) -> socket.socket:
        """Of the addresses that the server has, the first that can be connected."""
        from gannetweir.net.dialer import Dialer  # only where a server has several

        engine, order = self.relay.engine, self.order
        assert engine.address_selector is not None
        server = str(order.endpoint_id)
        race = engine.address_selector.race(server, self.relay.clock())
        self.dialer = Dialer(self.relay, engine.address_selector, server, race, self.relay.ledger)
        try:
            self.endpoint, path = await self.dialer.connect()
        finally:
            self.dialer = None
        self._still_wanted()
        self.relay.tell_only(engine.address_connected, order.request_id, order.attempt, path)
        return self.endpoint.sock

    async def _dial(self) -> socket.socket:
        """The one address that discovery told. What fails on this machine is tried again until the connect's
        time is over: it says nothing of the backend, and none has heard of this attempt.
        """
        at = self.relay.dial(self.order.address)

        def open_socket() -> tuple[socket.socket, tuple[str, int]]:
            self._still_wanted()  # it may have been closed in a pause
            return tcp_socket(at[0]), at

        await connect_endpoint(open_socket, self._take_socket, self._held_up, self._under_way)
        assert self.endpoint is not None
        return self.endpoint.sock

    def _take_socket(self, sock: socket.socket) -> Transport:
        self.endpoint = Transport(sock, self.relay.limits, self.relay.spawn, self.relay.ledger)
        return self.endpoint

    def _held_up(self, error: LocalError) -> None:
        """No connect was begun, for want of something here."""
        order = self.order
        call = self.relay.engine.upstream_connect_delayed
        self.relay.tell_only(call, order.request_id, order.attempt, error.strerror)

    def _under_way(self) -> None:
        """From here on what comes of it is the backend's doing, or the network's."""
        order = self.order
        self.relay.tell_only(self.relay.engine.upstream_connect_started, order.request_id, order.attempt)

    def _still_wanted(self) -> None:
        """Nothing is dialled or written for a flow that was closed meanwhile: its client has left, or the
        next attempt is under way. `OSError` then. The client is asked once more: its end may be unread.
        """
        if not self.closed:
            self.session.look()
        if self.closed:
            raise OSError("closed here")

    def _begin_writing(self) -> None:
        order, most = self.order, self.relay.settings.max_attempts
        now = self.relay.clock()
        self.relay.engine.guard.writing(order.request_id, order.attempt, order.endpoint_id, now, most)

    async def _connect(self) -> None:
        try:
            self._still_wanted()  # its client's end can be read before this task has its first turn
            # Here, where the descriptor is taken, not with the order: of many orders in one turn each would
            # find the same room.
            self.relay.room.make(at_any_cost=True)
            sock = await (self._race() if self.order.races_addresses else self._dial())
            self.relay.look_at_hand()  # out by now? Then this flow was closed, and nothing is written
            begun = False
            while self.flow.unsent_first_line:
                self._still_wanted()
                if not begun:
                    begun = True
                    self._begin_writing()
                # written here, not by the endpoint: how far it got decides what the attempt may have done
                try:
                    self.flow.first_line_sent(sock.send(self.flow.unsent_first_line))
                except BlockingIOError:
                    await wait_writable(sock)
                except OSError as error:
                    if not is_shortage(error):
                        raise
                    await anyio.sleep(PAUSE_S)
        except anyio.ClosedResourceError:
            raise OSError("closed here") from None
        # it may set an earlier time-out, so it is told as what leads to commands is
        self.relay.tell(
            self.relay.engine.upstream_first_line_written, self.order.request_id, self.order.attempt
        )

    async def _read(self) -> bool:
        """Until the backend ends the connection; true if it did so by breaking it."""
        assert self.endpoint is not None
        while True:
            try:
                data = await self.endpoint.read()
            except OSError:
                return True
            if not data:
                return False
            for event in self.flow.feed(data):
                self._take(event)
            if self.flow.is_over:
                return False
            await self.session.client.drained()

    def _take(self, event: UpstreamEstablished | EndpointLine | LoadReported | AttemptEnded) -> None:
        number, engine = self.order.request_id, self.relay.engine
        if self.closed:
            return
        if isinstance(event, UpstreamEstablished):
            self.session.up_line = event.line
            self.relay.tell(engine.upstream_established, number, self.order.attempt)
        elif isinstance(event, EndpointLine):
            self.session.to_client(event.line)
            if event.may_answer:
                self.relay.tell(engine.answer_line_received, number)
        elif isinstance(event, LoadReported):
            self.relay.tell(engine.connection_load_reported, number, event.load)
        elif not self.told:
            self._ended(event, False)

    def _over(self, reset: bool) -> None:
        if not self.flow.is_over:
            if self.flow.established:
                self.session.to_client(self.flow.lines.pop_partial_line())
            self._ended(self.flow.connection_ended(), reset)

    def _ended(self, event: AttemptEnded, reset: bool) -> None:
        # the descriptor is given back before the next flow may start
        self.close()
        order = self.order
        reset = reset or event.status == AttemptStatus.ERROR
        self.relay.tell(
            self.relay.engine.upstream_ended,
            order.request_id,
            order.attempt,
            event.status,
            event.report,
            reset,
        )

    def to_server(self, line: bytes) -> None:
        """A line of the client's."""
        if self.endpoint is not None:
            self.endpoint.write(line)

    def finish(self) -> None:
        """The client ended in good order: so does this side, which may still say something."""
        self.told = True
        if self.endpoint is not None:
            self.endpoint.finish()

    def close(self, reset: bool = False) -> None:
        """Abandon it now."""
        self.closed = self.told = True
        if self.dialer is not None:
            self.dialer.stop()
        if self.endpoint is not None:
            (self.endpoint.abort if reset else self.endpoint.close)()
        order = self.order
        self.relay.engine.guard.attempt_over(order.request_id, order.attempt, self.flow.may_have_executed)
