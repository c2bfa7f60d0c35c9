"""The driver of one client connection: reads the client and executes the engine's commands for it.

`proto.client_connection` parses and formats the bytes. Each attempt to serve the client has a separate
upstream driver.
"""

from __future__ import annotations

from typing import Protocol

import anyio

from gannetweir.core import OpenUpstream
from gannetweir.net.transport import Transport
from gannetweir.net.upstream_connection import UpstreamContext, UpstreamDriver
from gannetweir.proto.client_connection import (
    ClientConnection,
    ClientEvent,
    ClientPhase,
    FirstLine,
    LinesReceived,
    MalformedInput,
    PingReceived,
    RequestOpened,
)

_OPEN_REQUEST_PHASES = ClientPhase.AWAITING_ANSWER, ClientPhase.ESTABLISHED


class ClientContext(UpstreamContext, Protocol):
    """The parts of the relay that a client connection uses, in addition to those for its attempts."""

    def log(self, text: str, **fields: object) -> None:
        """Write one log line with the given fields."""


class ConnectedClients(Protocol):
    """The parts of the client registry that a client connection uses."""

    @property
    def class_index_by_name(self) -> dict[str, int]:
        """Indexes of the active request classes; a reload replaces them."""

    @property
    def discard_buffer(self) -> bytearray:
        """Buffer for input that is discarded; all connections share it."""

    def open_request(self, client: ClientConnectionDriver, first_line: FirstLine) -> None:
        """Open the client's request in the engine and set `request_id` of the client."""

    def remove_client(self, client: ClientConnectionDriver) -> None:
        """Remove a client whose connection is closed."""


class ClientConnectionDriver:
    """Handles one client from accept to close.

    The class is not split although it has over 200 lines: the effect of each command depends on the phase and
    on the input read so far, so separate parts would access each other's state. `run` reads the client and is
    the only task of this driver. The command executor, the upstream driver and the descriptor budget call the
    other methods, which return without waiting.
    """

    def __init__(self, context: ClientContext, clients: ConnectedClients, client: Transport) -> None:
        self.context, self.clients, self.client = context, clients, client
        self.limits = context.limits
        self.protocol = ClientConnection(clients.class_index_by_name, self.limits)
        self.request_id = 0  # 0 means no request
        self.first_line: FirstLine | None = None
        self.upstream: UpstreamDriver | None = None  # the most recent attempt
        self.established_line = b""  # the endpoint's answer, held until the engine commands forwarding
        self.has_pinged = False
        self.input_ended = False
        self.accepted_at_s = anyio.current_time()
        # The deadline of the scope limits how long the connection lingers after its final answer.
        self.scope = anyio.CancelScope()

    async def run(self) -> None:
        """Read the client until it ends or breaks, or until the linger time after its final answer is over.

        Socket errors are not raised. On return and on cancellation the engine has been notified, the
        transport is closed and the registry has removed the client.
        """
        reset = False
        try:
            with self.scope:
                try:
                    await self._await_first_line()
                    reset = await self._read_until_end()
                except OSError:
                    reset = True
                self.input_ended = True
            if self.request_id and self.protocol.phase in _OPEN_REQUEST_PHASES:
                self._report_disconnect(reset)
                await self._forward_remaining_lines()
        finally:
            self._release()

    def _release(self) -> None:
        """Close the client's side and remove the client. A client that is left without an answer because this
        driver failed is reported to the engine as disconnected.
        """
        engine = self.context.engine
        if self.request_id and self.protocol.phase in _OPEN_REQUEST_PHASES:
            self.protocol.phase = ClientPhase.ENDED
            self.context.run_engine_call(engine.client_disconnected, self.request_id, True)
        elif self.protocol.phase is ClientPhase.AWAITING_FIRST_LINE and not self.input_ended:
            engine.guard.unread_connection_closed()
        engine.guard.client_connection_closed(self.request_id)
        self.client.close()
        self.clients.remove_client(self)

    def _report_disconnect(self, reset: bool) -> None:
        """Report that the client has disconnected, so that no further attempt starts for it."""
        self.protocol.phase = ClientPhase.ENDED
        engine = self.context.engine
        engine.guard.client_ended(self.request_id)
        self.context.run_engine_call(engine.client_disconnected, self.request_id, reset)

    def read_pending_input(self) -> None:
        """Read all input that has arrived from the client, before an attempt for it starts.

        The end of the connection may have arrived since the event loop last polled the kernel, which on a
        busy loop is long ago, or may follow other bytes. The amount of input before an answer is bounded, and
        so is the number of these reads.
        """
        while self.protocol.phase is ClientPhase.AWAITING_ANSWER:
            try:
                data = self.client.read_nowait()
            except OSError:
                self._report_disconnect(True)
                return
            if data is None:
                return
            if data:
                self._feed(data)
            else:
                self._report_disconnect(False)

    async def _await_first_line(self) -> None:
        """Read until the first line is received. A client that exceeds the time limit is answered."""
        with anyio.move_on_after(self.limits.first_line_timeout_us / 1e6):
            while self._awaits_first_line() and (data := await self.client.read()):
                self._feed(data)
                # A client that keeps pinging is not read further until it has read its answers.
                await self.client.wait_drained()
            return
        if self._awaits_first_line():
            self._feed(self.client.read_available())  # the line may have arrived just as the time ran out
        if self._awaits_first_line():
            self.context.engine.counters.add("first_line_timeouts")
            self.close_before_request(timed_out=not self.has_pinged)

    def _awaits_first_line(self) -> bool:
        return self.protocol.phase is ClientPhase.AWAITING_FIRST_LINE

    def _feed(self, data: bytes) -> None:
        # A reload may have replaced the request classes.
        self.protocol.class_index_by_name = self.clients.class_index_by_name
        for event in self.protocol.feed(data):
            self._handle_event(event)

    async def _read_until_end(self) -> bool:
        """Forward the client's input, and discard it after the final answer. Return False at the end of the
        input. Raises `OSError` if the connection breaks.
        """
        while self.protocol.phase is not ClientPhase.ENDED:
            if not (data := await self.client.read()):
                return False
            self._feed(data)
            await self.client.wait_drained()
            if self.upstream is not None and self.upstream.transport is not None:
                await self.upstream.transport.wait_drained()
        # The client may still be sending megabytes. Closing over unread input would reset the connection and
        # lose the final answer, so the input is read and discarded for a limited time.
        last = anyio.current_time() + self.limits.discard_timeout_us / 1e6
        while await self.client.discard(self.clients.discard_buffer):
            self.scope.deadline = min(last, anyio.current_time() + self.limits.linger_us / 1e6)
        return False

    async def _forward_remaining_lines(self) -> None:
        """Forward the lines that the endpoint still sends, for a limited time after the client has ended."""
        if self.upstream is not None:
            self.context.descriptor_budget.record_client_ended(self)
            with anyio.move_on_after(self.limits.linger_us / 1e6):
                await self.upstream.finished.wait()
            self.upstream.close()

    def _handle_event(self, event: ClientEvent) -> None:
        if isinstance(event, PingReceived):
            self.has_pinged = True
            self.context.descriptor_budget.record_ping_answered(self)
            self.client.write(self.protocol.ping_answer(self.context.engine.is_ready()))
        elif isinstance(event, RequestOpened):
            self.first_line = event.first_line
            self.clients.open_request(self, event.first_line)
        elif isinstance(event, MalformedInput):
            self._handle_malformed(event)
        elif isinstance(event, LinesReceived) and self.upstream is not None:
            self.upstream.write_to_endpoint(event.lines)
            engine = self.context.engine
            self.context.notify_engine(engine.client_lines_forwarded, self.request_id, event.line_count)

    def _handle_malformed(self, event: MalformedInput) -> None:
        engine = self.context.engine
        engine.counters.add("malformed")
        self.context.log("malformed", request=self.request_id, reason=event.reason)
        if self.request_id:
            engine.guard.client_ended(self.request_id)  # the client's malformed input ends the connection
            self.context.run_engine_call(engine.client_disconnected, self.request_id, True)
        self._finish(self.protocol.end_failed() if event.answer_pending else b"")

    def open_upstream(self, command: OpenUpstream) -> None:
        """Start an attempt in a separate task."""
        assert self.first_line is not None
        line = self.first_line.for_endpoint(command.timeout_us)
        self.upstream = UpstreamDriver(self.context, self, command, line)
        self.context.spawn(self.upstream.run)

    def close_upstream(self) -> None:
        """Close the current attempt, if any."""
        if self.upstream is not None:
            self.upstream.close()

    def close_before_request(self, timed_out: bool = False) -> None:
        """Reject the client if its first line has not been received; a client with a request is not affected.

        A first line may be in flight, so the client always gets an answer, and the connection is closed only
        after further input has been read. With `timed_out` the client fails because the time for its first
        line is over.
        """
        if not self._awaits_first_line():
            return
        if timed_out:
            self._finish(self.protocol.end_failed())
        else:
            self._finish(self.protocol.end_rejected(self.limits.rejection_retry_after_us))

    def evict(self) -> None:
        """Close all descriptors of the client at once. A client without a request is rejected first."""
        self.close_before_request()
        self.context.descriptor_budget.remove(self)
        self.close_upstream()
        self.client.close_now(self.clients.discard_buffer)

    def end_upstream(self, reset: bool) -> None:
        """End the upstream connection the way the client ended: with a reset or with a half-close."""
        if self.upstream is None:
            return
        if reset:
            self.upstream.close(reset=True)
        else:
            self.upstream.finish()

    def start_forwarding(self) -> None:
        """Write the endpoint's answer, then forward the lines that the client sent before it."""
        self.client.write(self.established_line)
        self._record_answer(served=True)
        for event in self.protocol.establish():
            self._handle_event(event)

    def end_rejected(self, retry_after_us: int) -> None:
        """Answer that a retry is harmless, and end the connection."""
        self._finish(self.protocol.end_rejected(retry_after_us))
        self._record_answer(served=False)

    def end_failed(self) -> None:
        """Answer that the request failed, which promises nothing about a retry, and end the connection."""
        self._finish(self.protocol.end_failed())
        self._record_answer(served=False)

    def _record_answer(self, served: bool) -> None:
        self.context.engine.guard.final_answer_written(self.request_id, served, self.context.clock())

    def end_migrated(self) -> None:
        """Send `MOVE` to the client, then end both sides."""
        self._finish(self.protocol.end_migrated())
        self.context.engine.guard.close_permitted(self.request_id)
        self.close_upstream()

    def end_as_upstream(self, reset: bool) -> None:
        """End the client's side the way the endpoint ended: with a reset or with a half-close."""
        self.protocol.phase = ClientPhase.ENDED
        self.context.engine.guard.close_permitted(self.request_id)
        if reset:
            self.client.abort()
        else:
            self._finish(b"")

    def _finish(self, last_line: bytes) -> None:
        """Write the last line, if any, and half-close. The connection lingers, so that the client can read
        the line.
        """
        if last_line:
            self.client.write(last_line)
        self.client.finish()
        self.context.descriptor_budget.record_final_answer(self)
        self.scope.deadline = anyio.current_time() + self.limits.linger_us / 1e6

    def write_to_client(self, lines: bytes) -> None:
        """Forward lines from the endpoint."""
        if lines:
            self.client.write(lines)
