"""The driver of a server-side flow."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

import anyio

from gannetweir.core import OpenUpstream
from gannetweir.net.connecting import connect_endpoint
from gannetweir.net.descriptors import DescriptorBudget
from gannetweir.net.errors import SHORTAGE_RETRY_S, LocalResourceError, is_shortage, wait_writable
from gannetweir.net.ports import ConnectContext
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
    from gannetweir.net.dialer import AddressRaceDriver


class UpstreamContext(ConnectContext, Protocol):
    """What a flow needs of the relay: beside the way to a server, a place for its descriptor."""

    @property
    def descriptor_count(self) -> DescriptorCount: ...

    def refresh_operator_overrides(self) -> None: ...

    @property
    def descriptor_budget(self) -> DescriptorBudget: ...

    def notify_engine(self, call: Callable[..., Any], *args: Any) -> None: ...


class UpstreamOwner(Protocol):
    """What a flow needs of the client's side that it serves."""

    established_line: bytes

    @property
    def client(self) -> Transport: ...

    def read_pending_input(self) -> None: ...

    def write_to_client(self, line: bytes) -> None: ...


class UpstreamDriver:
    """Opens a connection to one backend, writes the first line, then hands on what comes."""

    def __init__(
        self, relay: UpstreamContext, owner: UpstreamOwner, command: OpenUpstream, first_line: bytes
    ) -> None:
        self.relay, self.owner, self.command = relay, owner, command
        self.protocol = UpstreamConnection(first_line, relay.settings.load_report_fields, relay.limits)
        self.transport: Transport | None = None
        self.dialer: AddressRaceDriver | None = None  # while addresses race
        self.closed = False  # nothing of it counts any more
        self.end_reported = False  # the engine knows of its end, or ended it itself
        self.finished = anyio.Event()

    async def run(self) -> None:
        """The flow's life. Its end is told once, unless the engine closed it first."""
        reset = False
        try:
            await self._connect()
            reset = await self._read()
        except OSError:
            reset = True
        finally:
            self.finished.set()
            if not self.end_reported:
                self._report_transport_end(reset)
            if self.transport is not None:
                self.transport.close()

    async def _race_addresses(self) -> socket.socket:
        """Of the addresses that the server has, the first that can be connected."""
        from gannetweir.net.dialer import AddressRaceDriver  # only where a server has several

        engine, order = self.relay.engine, self.command
        assert engine.address_selector is not None
        server = str(order.endpoint_id)
        race = engine.address_selector.new_race(server, self.relay.clock())
        self.dialer = AddressRaceDriver(
            self.relay, engine.address_selector, server, race, self.relay.descriptor_count
        )
        try:
            self.transport, path = await self.dialer.connect()
        finally:
            self.dialer = None
        self._raise_if_closed()
        self.relay.notify_engine(engine.address_connected, order.request_id, order.attempt, path)
        return self.transport.sock

    async def _connect_address(self) -> socket.socket:
        """The one address that discovery told. What fails on this machine is tried again until the connect's
        time is over: it says nothing of the backend, and none has heard of this attempt.
        """
        at = self.relay.dial(self.command.address)

        def open_socket() -> tuple[socket.socket, tuple[str, int]]:
            self._raise_if_closed()  # it may have been closed in a pause
            return tcp_socket(at[0]), at

        await connect_endpoint(
            open_socket, self._make_transport, self._report_local_error, self._report_connect_started
        )
        assert self.transport is not None
        return self.transport.sock

    def _make_transport(self, sock: socket.socket) -> Transport:
        self.transport = Transport(sock, self.relay.limits, self.relay.spawn, self.relay.descriptor_count)
        return self.transport

    def _report_local_error(self, error: LocalResourceError) -> None:
        """No connect was begun, for want of something here."""
        order = self.command
        call = self.relay.engine.upstream_connect_delayed
        self.relay.notify_engine(call, order.request_id, order.attempt, error.strerror)

    def _report_connect_started(self) -> None:
        """From here on what comes of it is the backend's doing, or the network's."""
        order = self.command
        self.relay.notify_engine(self.relay.engine.upstream_connect_started, order.request_id, order.attempt)

    def _raise_if_closed(self) -> None:
        """Nothing is dialled or written for a flow that was closed meanwhile: its client has left, or the
        next attempt is under way. `OSError` then. The client is asked once more: its end may be unread.
        """
        if not self.closed:
            self.owner.read_pending_input()
        if self.closed:
            raise OSError("closed here")

    def _begin_writing(self) -> None:
        order, most = self.command, self.relay.settings.max_attempts
        now = self.relay.clock()
        self.relay.engine.guard.attempt_write_started(
            order.request_id, order.attempt, order.endpoint_id, now, most
        )

    async def _connect(self) -> None:
        try:
            self._raise_if_closed()  # its client's end can be read before this task has its first turn
            # Here, where the descriptor is taken, not with the order: of many orders in one turn each would
            # find the same room.
            self.relay.descriptor_budget.make_capacity(for_request=True)
            sock = await (self._race_addresses() if self.command.races_addresses else self._connect_address())
            self.relay.refresh_operator_overrides()  # it may close this attempt
            begun = False
            while self.protocol.unsent_first_line:
                self._raise_if_closed()
                if not begun:
                    begun = True
                    self._begin_writing()
                # written here, not by the endpoint: how far it got decides what the attempt may have done
                try:
                    self.protocol.first_line_sent(sock.send(self.protocol.unsent_first_line))
                except BlockingIOError:
                    await wait_writable(sock)
                except OSError as error:
                    if not is_shortage(error):
                        raise
                    await anyio.sleep(SHORTAGE_RETRY_S)
        except anyio.ClosedResourceError:
            raise OSError("closed here") from None
        # it may set an earlier time-out, so it is told as what leads to commands is
        self.relay.run_engine_call(
            self.relay.engine.upstream_first_line_written, self.command.request_id, self.command.attempt
        )

    async def _read(self) -> bool:
        """Until the backend ends the connection; true if it did so by breaking it."""
        assert self.transport is not None
        while True:
            try:
                data = await self.transport.read()
            except OSError:
                return True
            if not data:
                return False
            for event in self.protocol.feed(data):
                self._handle_event(event)
            if self.protocol.is_over:
                return False
            await self.owner.client.wait_drained()

    def _handle_event(self, event: UpstreamEstablished | EndpointLine | LoadReported | AttemptEnded) -> None:
        number, engine = self.command.request_id, self.relay.engine
        if self.closed:
            return
        if isinstance(event, UpstreamEstablished):
            self.owner.established_line = event.line
            self.relay.run_engine_call(engine.upstream_established, number, self.command.attempt)
        elif isinstance(event, EndpointLine):
            self.owner.write_to_client(event.line)
            if event.may_answer:
                self.relay.run_engine_call(engine.answer_line_received, number)
        elif isinstance(event, LoadReported):
            self.relay.run_engine_call(engine.connection_load_reported, number, event.load)
        elif not self.end_reported:
            self._report_end(event, False)

    def _report_transport_end(self, reset: bool) -> None:
        if not self.protocol.is_over:
            if self.protocol.established:
                self.owner.write_to_client(self.protocol.lines.pop_partial_line())
            self._report_end(self.protocol.connection_ended(), reset)

    def _report_end(self, event: AttemptEnded, reset: bool) -> None:
        # the descriptor is given back before the next flow may start
        self.close()
        order = self.command
        reset = reset or event.status == AttemptStatus.ERROR
        self.relay.run_engine_call(
            self.relay.engine.upstream_ended,
            order.request_id,
            order.attempt,
            event.status,
            event.report,
            reset,
        )

    def write_to_endpoint(self, line: bytes) -> None:
        """A line of the client's."""
        if self.transport is not None:
            self.transport.write(line)

    def finish(self) -> None:
        """The client ended in good order: so does this side, which may still say something."""
        self.end_reported = True
        if self.transport is not None:
            self.transport.finish()

    def close(self, reset: bool = False) -> None:
        """Abandon it now."""
        self.closed = self.end_reported = True
        if self.dialer is not None:
            self.dialer.stop()
        if self.transport is not None:
            (self.transport.abort if reset else self.transport.close)()
        order = self.command
        self.relay.engine.guard.attempt_closed(
            order.request_id, order.attempt, self.protocol.may_have_executed
        )
