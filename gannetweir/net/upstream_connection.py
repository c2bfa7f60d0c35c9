"""The driver of one upstream connection: one attempt to serve a request at one endpoint.

`proto.upstream_connection` parses the bytes.
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
    EndpointLines,
    LoadReported,
    UpstreamConnection,
    UpstreamEstablished,
    UpstreamEvent,
)

if TYPE_CHECKING:
    from gannetweir.net.dialer import AddressRaceDriver


class RefreshableOverrides(Protocol):
    """The operators' overrides, which all processes of one relay share."""

    def refresh(self) -> None:
        """Apply changed overrides. The engine may close attempts at endpoints that are now offline."""


class UpstreamContext(ConnectContext, Protocol):
    """The parts of the relay that an attempt uses to connect and to account for its descriptor."""

    @property
    def descriptor_count(self) -> DescriptorCount:
        """Counter of open descriptors, which includes the attempt's descriptor."""

    @property
    def descriptor_budget(self) -> DescriptorBudget:
        """Budget that evicts connections when no descriptor is free."""

    @property
    def operator_overrides(self) -> RefreshableOverrides:
        """The operators' overrides, refreshed before the first byte is written."""

    def notify_engine(self, call: Callable[[*Arguments, int], object], *arguments: *Arguments) -> None:
        """Call the engine with the current time as the last argument; the call must produce no commands."""


class UpstreamOwner(Protocol):
    """The parts of a client connection that its attempt uses."""

    established_line: bytes  # set by the attempt before it notifies the engine

    @property
    def client(self) -> Transport:
        """The client's side. Its back-pressure limits how fast the endpoint is read."""

    def read_pending_input(self) -> None:
        """Read all input that has arrived from the client. The end of the input closes the attempt."""

    def write_to_client(self, lines: bytes) -> None:
        """Forward lines from the endpoint."""


class UpstreamTransport:
    """Owns the transport of one attempt: connects to a single address, or by a race between several.

    `raise_if_closed` is called before each connect and after a race. It raises `OSError` if the attempt has
    been closed.
    """

    def __init__(
        self, context: UpstreamContext, command: OpenUpstream, raise_if_closed: Callable[[], None]
    ) -> None:
        self.context, self.command, self.raise_if_closed = context, command, raise_if_closed
        self.transport: Transport | None = None  # set by the first connect, replaced after a local error
        self._race: AddressRaceDriver | None = None  # set while a connection race runs

    async def connect(self) -> Transport:
        """Connect and return the transport.

        Raises `OSError` if no address can be connected or the attempt is closed. Cancellation closes the
        connections that are being established.
        """
        if self.command.races_addresses:
            return await self._race_addresses()
        return await self._connect_address()

    def close(self, reset: bool = False) -> None:
        """Close the transport and stop a running race. With `reset` the endpoint receives a reset."""
        if self._race is not None:
            self._race.stop()
        if self.transport is None:
            return
        if reset:
            self.transport.abort()
        else:
            self.transport.close()

    async def _race_addresses(self) -> Transport:
        """Race the endpoint's addresses and return the connection that is established first."""
        from gannetweir.net.dialer import AddressRaceDriver  # loaded only for several addresses

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
        """Connect to the single address that discovery reports.

        A connect that fails for lack of a resource on this machine is retried until the connect timeout: the
        endpoint has not received anything, so the error says nothing about the endpoint.
        """
        address = self.context.parse_endpoint_address(self.command.address)

        def open_socket() -> tuple[socket.socket, tuple[str, int]]:
            self.raise_if_closed()  # the attempt may have been closed during the backoff
            return tcp_socket(address[0]), address

        return await connect_endpoint(
            open_socket, self._make_transport, self._report_local_error, self._report_connect_started
        )

    def _make_transport(self, sock: socket.socket) -> Transport:
        context = self.context
        self.transport = Transport(sock, context.limits, context.spawn, context.descriptor_count)
        return self.transport

    def _report_local_error(self, error: LocalResourceError) -> None:
        """Report that the connect could not start because this machine lacks a resource."""
        self.context.notify_engine(
            self.context.engine.upstream_connect_delayed,
            self.command.request_id,
            self.command.attempt,
            error.strerror or "",
        )

    def _report_connect_started(self) -> None:
        """Report that the connect has started: later errors are those of the endpoint or of the network."""
        self.context.notify_engine(
            self.context.engine.upstream_connect_started, self.command.request_id, self.command.attempt
        )


class UpstreamDriver:
    """Connects to one endpoint, writes the client's first line and forwards the endpoint's lines.

    `run` is the only task of this driver; the client connection calls the other methods.
    """

    def __init__(
        self, context: UpstreamContext, owner: UpstreamOwner, command: OpenUpstream, first_line: bytes
    ) -> None:
        self.context, self.owner, self.command = context, owner, command
        self.protocol = UpstreamConnection(first_line, context.settings.load_report_fields, context.limits)
        self.connection = UpstreamTransport(context, command, self._raise_if_closed)
        self.closed = False  # later events of this attempt are ignored
        self.end_reported = False  # the end was reported to the engine, or the engine ended the attempt
        self.finished = anyio.Event()

    async def run(self) -> None:
        """Connect, write the first line and read until the endpoint ends the connection.

        Socket errors are not raised. On return and on cancellation the transport is closed and the engine has
        been notified of the end exactly once, unless the engine closed the attempt first.
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
        """The endpoint's side, or None before the first connect."""
        return self.connection.transport

    async def _connect(self) -> None:
        """Connect and write the first line. Raises `OSError` if that fails or the attempt is closed."""
        try:
            self._raise_if_closed()  # the end of the client may have been read before this task first runs
            # Capacity is made here, where the descriptor is opened, and not when the command is executed:
            # several commands executed in one turn of the loop would all find the same free descriptor.
            self.context.descriptor_budget.make_capacity(for_request=True)
            transport = await self.connection.connect()
            # If the endpoint has been taken offline in another process, the refresh closes this attempt.
            self.context.operator_overrides.refresh()
            await self._write_first_line(transport.sock)
        except anyio.ClosedResourceError:
            raise OSError("attempt closed locally") from None
        # `run_engine_call` reschedules the timers, because the engine may set an earlier timeout.
        self.context.run_engine_call(
            self.context.engine.upstream_first_line_written, self.command.request_id, self.command.attempt
        )

    def _raise_if_closed(self) -> None:
        """Raise `OSError` if the attempt was closed, because the client has disconnected or the next attempt
        has started. The client's pending input is read first, since its end may be unread.
        """
        if not self.closed:
            self.owner.read_pending_input()
        if self.closed:
            raise OSError("attempt closed locally")

    async def _write_first_line(self, sock: socket.socket) -> None:
        """Write the first line to the socket directly instead of through the transport, because the number of
        bytes sent decides whether the endpoint may have executed the request.
        """
        has_begun = False
        while self.protocol.unsent_first_line:
            self._raise_if_closed()
            if not has_begun:
                has_begun = True
                self._begin_writing()
            try:
                self.protocol.first_line_sent(sock.send(self.protocol.unsent_first_line))
            except BlockingIOError:
                await wait_writable(sock)
            except OSError as error:
                if not is_shortage(error):
                    raise
                await anyio.sleep(SHORTAGE_RETRY_S)

    def _begin_writing(self) -> None:
        """Report that the first byte is about to be written. Raises `OSError` if it must not be written."""
        command = self.command
        may_write = self.context.engine.may_write_first_line
        if not self.context.run_engine_call(may_write, command.request_id, command.attempt):
            raise OSError("attempt closed locally")
        self.context.engine.guard.attempt_write_started(
            command.request_id,
            command.attempt,
            command.endpoint_id,
            self.context.clock(),
            self.context.settings.max_attempts,
        )

    async def _read(self) -> bool:
        """Read until the endpoint ends the connection. Return True if the connection broke."""
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
        elif isinstance(event, EndpointLines):
            self.owner.write_to_client(event.lines)
            if event.answer_count:
                self.context.run_engine_call(engine.answer_lines_received, request_id, event.answer_count)
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
        self.close()  # the descriptor is closed before the next attempt may start
        self.context.run_engine_call(
            self.context.engine.upstream_ended,
            self.command.request_id,
            self.command.attempt,
            event.status,
            event.report,
            reset or event.status == AttemptStatus.ERROR,
        )

    def write_to_endpoint(self, lines: bytes) -> None:
        """Forward lines from the client."""
        if self.transport is not None:
            self.transport.write(lines)

    def finish(self) -> None:
        """Half-close after the client has ended its side. The endpoint may still send lines."""
        self.end_reported = True
        if self.transport is not None:
            self.transport.finish()

    def close(self, reset: bool = False) -> None:
        """Close the attempt and stop a running race. With `reset` the endpoint receives a reset."""
        self.closed = self.end_reported = True
        self.connection.close(reset)
        command = self.command
        self.context.engine.guard.attempt_closed(
            command.request_id, command.attempt, self.protocol.may_have_executed
        )
