"""The driver of one upstream connection: one attempt of a request at one endpoint.

The bytes mean what `proto.upstream_connection` says.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import anyio

from gannetweir.core import OpenUpstream
from gannetweir.net.connecting import connect_endpoint
from gannetweir.net.descriptors import DescriptorBudget
from gannetweir.net.errors import (
    SHORTAGE_RETRY_S,
    LocalResourceError,
    is_shortage,
    wait_writable,
)
from gannetweir.net.ports import Arguments, ConnectContext
from gannetweir.net.sockets import tcp_socket
from gannetweir.net.transport import DescriptorCount, Transport
from gannetweir.placement.events import AttemptStatus
from gannetweir.proto.upstream_connection import (
    AttemptEnded,
    EndpointLine,
    LoadReported,
    UpstreamConnection,
    UpstreamEstablished,
    UpstreamEvent,
)

if TYPE_CHECKING:
    from gannetweir.net.dialer import AddressRaceDriver


class RefreshableOverrides(Protocol):
    """The operators' overrides that all processes of this relay share."""

    def refresh(self) -> None:
        """Apply what has changed; the engine may close attempts at endpoints that are offline now."""


class UpstreamContext(ConnectContext, Protocol):
    """What an attempt needs of the relay: beside the way to an endpoint, a place for its descriptor."""

    @property
    def descriptor_count(self) -> DescriptorCount:
        """Counts the descriptor that the attempt holds."""

    @property
    def descriptor_budget(self) -> DescriptorBudget:
        """Makes room for that descriptor."""

    @property
    def operator_overrides(self) -> RefreshableOverrides:
        """Asked once more before the first byte is written."""

    def notify_engine(self, call: Callable[[*Arguments, int], object], *arguments: *Arguments) -> None:
        """Call the engine with the present time as the last argument, where no command can follow."""


class UpstreamOwner(Protocol):
    """What an attempt needs of the client's connection that it serves."""

    established_line: bytes  # the attempt sets it before it notifies the engine

    @property
    def client(self) -> Transport:
        """The client's side; the endpoint is read no faster than that is written."""

    def read_pending_input(self) -> None:
        """Read what the client has sent by now; its end closes the attempt."""

    def write_to_client(self, line: bytes) -> None:
        """Forward a line of the endpoint's."""


class UpstreamTransport:
    """Brings up the transport of one attempt, to one address or to the first of several, and owns it.

    `raise_if_closed` is called before each connect and after a race; it raises `OSError` for an attempt that
    was closed meanwhile.
    """

    def __init__(
        self, context: UpstreamContext, command: OpenUpstream, raise_if_closed: Callable[[], None]
    ) -> None:
        self.context, self.command, self.raise_if_closed = context, command, raise_if_closed
        self.transport: Transport | None = None  # from the first connect on; another one after a local error
        self._race: AddressRaceDriver | None = None  # while addresses race

    async def connect(self) -> Transport:
        """The connected transport. Raises `OSError` if no address can be connected, or this is closed. What
        is connecting when this is cancelled is closed.
        """
        if self.command.races_addresses:
            return await self._race_addresses()
        return await self._connect_address()

    def close(self, reset: bool = False) -> None:
        """Close the transport now, with its race if addresses race; `reset`: the endpoint sees a reset."""
        if self._race is not None:
            self._race.stop()
        if self.transport is None:
            return
        if reset:
            self.transport.abort()
        else:
            self.transport.close()

    async def _race_addresses(self) -> Transport:
        """Connect to the first of the endpoint's addresses that can be connected."""
        from gannetweir.net.dialer import AddressRaceDriver  # only where an endpoint has several

        context, command = self.context, self.command
        selector = context.engine.address_selector
        assert selector is not None
        endpoint = str(command.endpoint_id)
        race = selector.new_race(endpoint, context.clock())
        self._race = AddressRaceDriver(context, selector, endpoint, race, context.descriptor_count)
        try:
            self.transport, address = await self._race.connect()
        finally:
            self._race = None
        self.raise_if_closed()
        context.notify_engine(context.engine.address_connected, command.request_id, command.attempt, address)
        return self.transport

    async def _connect_address(self) -> Transport:
        """Connect to the one address that discovery reports. What fails on this machine is tried again until
        the connect's time is over: it says nothing of the endpoint, which has not heard of this attempt.
        """
        address = self.context.parse_endpoint_address(self.command.address)

        def open_socket() -> tuple[socket.socket, tuple[str, int]]:
            self.raise_if_closed()  # it may have been closed in a pause
            return tcp_socket(address[0]), address

        return await connect_endpoint(
            open_socket, self._make_transport, self._report_local_error, self._report_connect_started
        )

    def _make_transport(self, sock: socket.socket) -> Transport:
        context = self.context
        self.transport = Transport(sock, context.limits, context.spawn, context.descriptor_count)
        return self.transport

    def _report_local_error(self, error: LocalResourceError) -> None:
        """No connect was begun, for want of something here."""
        self.context.notify_engine(
            self.context.engine.upstream_connect_delayed,
            self.command.request_id,
            self.command.attempt,
            error.strerror or "",
        )

    def _report_connect_started(self) -> None:
        """From here on what comes of it is the endpoint's doing, or the network's."""
        self.context.notify_engine(
            self.context.engine.upstream_connect_started, self.command.request_id, self.command.attempt
        )


class UpstreamDriver:
    """Connects to one endpoint, writes the client's first line, then forwards what comes.

    `run` is the only task here; the client's connection calls all else.
    """

    def __init__(
        self, context: UpstreamContext, owner: UpstreamOwner, command: OpenUpstream, first_line: bytes
    ) -> None:
        self.context, self.owner, self.command = context, owner, command
        self.protocol = UpstreamConnection(first_line, context.settings.load_report_fields, context.limits)
        self.connection = UpstreamTransport(context, command, self._raise_if_closed)
        self.closed = False  # nothing that comes of it counts any more
        self.end_reported = False  # the engine knows of its end, or ended it itself
        self.finished = anyio.Event()

    async def run(self) -> None:
        """Connect, write and read until the endpoint ends.

        Raises nothing of the socket's. However this ends, by cancelling as well, the engine has heard of it
        once, unless it closed the attempt first, and the transport is closed.
        """
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

    @property
    def transport(self) -> Transport | None:
        """The endpoint's side; None before the first connect."""
        return self.connection.transport

    async def _connect(self) -> None:
        """Connect and write the whole first line. Raises `OSError` if that fails or the attempt is closed."""
        try:
            self._raise_if_closed()  # its client's end can be read before this task has its first turn
            # Here, where the descriptor is opened, not with the command: of many commands in one turn each
            # would find the same capacity.
            self.context.descriptor_budget.make_capacity(for_request=True)
            transport = await self.connection.connect()
            self.context.operator_overrides.refresh()  # offline by now? Then this attempt is closed
            await self._write_first_line(transport.sock)
        except anyio.ClosedResourceError:
            raise OSError("closed here") from None
        # it may set an earlier time-out, so it is reported as what leads to commands is
        self.context.run_engine_call(
            self.context.engine.upstream_first_line_written, self.command.request_id, self.command.attempt
        )

    def _raise_if_closed(self) -> None:
        """Nothing is connected or written for an attempt that was closed meanwhile: its client has left, or
        the next attempt is under way. Raises `OSError` then. The client is read once more: its end may be
        unread.
        """
        if not self.closed:
            self.owner.read_pending_input()
        if self.closed:
            raise OSError("closed here")

    async def _write_first_line(self, sock: socket.socket) -> None:
        """Written here, not by the transport: how far it got decides what the attempt may have executed."""
        has_begun = False
        while self.protocol.unsent_first_line:
            self._raise_if_closed()
            if not has_begun:
                has_begun = True
                self._report_writing()
            try:
                self.protocol.first_line_sent(sock.send(self.protocol.unsent_first_line))
            except BlockingIOError:
                await wait_writable(sock)
            except OSError as error:
                if not is_shortage(error):
                    raise
                await anyio.sleep(SHORTAGE_RETRY_S)

    def _report_writing(self) -> None:
        command = self.command
        self.context.engine.guard.attempt_write_started(
            command.request_id,
            command.attempt,
            command.endpoint_id,
            self.context.clock(),
            self.context.settings.max_attempts,
        )

    async def _read(self) -> bool:
        """Read until the endpoint ends the connection; True if it did so by breaking it."""
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

    def _handle_event(self, event: UpstreamEvent) -> None:
        request_id, engine = self.command.request_id, self.context.engine
        if self.closed:
            return
        if isinstance(event, UpstreamEstablished):
            self.owner.established_line = event.line
            self.context.run_engine_call(engine.upstream_established, request_id, self.command.attempt)
        elif isinstance(event, EndpointLine):
            self.owner.write_to_client(event.line)
            if event.may_answer:
                self.context.run_engine_call(engine.answer_line_received, request_id)
        elif isinstance(event, LoadReported):
            self.context.run_engine_call(engine.connection_load_reported, request_id, event.load)
        elif not self.end_reported:
            self._report_end(event, False)

    def _report_transport_end(self, reset: bool) -> None:
        if not self.protocol.is_over:
            if self.protocol.established:
                self.owner.write_to_client(self.protocol.lines.pop_partial_line())
            self._report_end(self.protocol.connection_ended(), reset)

    def _report_end(self, event: AttemptEnded, reset: bool) -> None:
        self.close()  # the descriptor is given back before the next attempt may start
        self.context.run_engine_call(
            self.context.engine.upstream_ended,
            self.command.request_id,
            self.command.attempt,
            event.status,
            event.report,
            reset or event.status == AttemptStatus.ERROR,
        )

    def write_to_endpoint(self, line: bytes) -> None:
        """Forward a line of the client's."""
        if self.transport is not None:
            self.transport.write(line)

    def finish(self) -> None:
        """The client ended in good order: so does this side, while the endpoint may still send lines."""
        self.end_reported = True
        if self.transport is not None:
            self.transport.finish()

    def close(self, reset: bool = False) -> None:
        """Close the attempt now, with its race if addresses race; `reset`: the endpoint sees a reset."""
        self.closed = self.end_reported = True
        self.connection.close(reset)
        command = self.command
        self.context.engine.guard.attempt_closed(
            command.request_id, command.attempt, self.protocol.may_have_executed
        )
