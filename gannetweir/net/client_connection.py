"""The driver of one client's connection: reads the client and carries out what the engine commands for it.

The bytes mean what `proto.client_connection` says. The upstream connection that serves the client is a driver
of its own; each attempt has another one.
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
    LineReceived,
    MalformedInput,
    PingReceived,
    RequestOpened,
)

_OPEN_REQUEST_PHASES = ClientPhase.AWAITING_ANSWER, ClientPhase.ESTABLISHED


class ClientContext(UpstreamContext, Protocol):
    """What a client's connection needs of the relay, beside what its upstream connections do."""

    def log(self, text: str, **fields: object) -> None:
        """Write one log line and what it is about."""


class ConnectedClients(Protocol):
    """What a client's connection needs of the registry that owns it."""

    @property
    def class_index_by_name(self) -> dict[str, int]:
        """The request classes in force; a reload replaces them."""

    @property
    def discard_buffer(self) -> bytearray:
        """Where bytes are read to that nobody wants; all connections share it."""

    def open_request(self, client: ClientConnectionDriver, first_line: FirstLine) -> None:
        """Give the client's request to the engine, and its number to the client."""

    def remove_client(self, client: ClientConnectionDriver) -> None:
        """The connection is closed."""


class ClientConnectionDriver:
    """One client, from the accept to the close.

    One class of over 200 lines: each command's effect depends on the phase and on what the reader has seen,
    so that parts would reach into one another's state. `run` reads and is the only task here. All else is
    called by the command executor, by the upstream connection, or by the descriptor budget, and returns at
    once.
    """

    def __init__(self, context: ClientContext, clients: ConnectedClients, client: Transport) -> None:
        self.context, self.clients, self.client = context, clients, client
        self.limits = context.limits
        self.protocol = ClientConnection(clients.class_index_by_name, self.limits)
        self.request_id = 0  # 0: no request so far
        self.first_line: FirstLine | None = None
        self.upstream: UpstreamDriver | None = None  # the last attempt
        self.established_line = b""  # the endpoint's answer, until the engine has it forwarded
        self.has_pinged = False
        self.input_ended = False
        self.accepted_at_s = anyio.current_time()
        self.scope = anyio.CancelScope()  # its deadline limits how long a connection lingers after its end

    async def run(self) -> None:
        """Read the client until it ends, breaks, or has lingered long enough after its last answer.

        Raises nothing of the socket's. However this ends, by cancelling as well, the engine has heard of it,
        the transport is closed and the registry has removed the client.
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
        """The end of this side. One that comes without an answer, by a fault here, is reported as well."""
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
        """The client ended its side: no attempt begins for it any more."""
        self.protocol.phase = ClientPhase.ENDED
        engine = self.context.engine
        engine.guard.client_ended(self.request_id)
        self.context.run_engine_call(engine.client_disconnected, self.request_id, reset)

    def read_pending_input(self) -> None:
        """Read what the client has sent by now, before an attempt for it begins. Its end may have come since
        the loop last asked the kernel, which on a busy loop is long ago, or lie behind other bytes. What may
        come before an answer is bounded, and so are these reads.
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
        """Read until the first line is in, or the time for it is over and the client has its answer."""
        with anyio.move_on_after(self.limits.first_line_timeout_us / 1e6):
            while self._awaits_first_line() and (data := await self.client.read()):
                self._feed(data)
                await self.client.wait_drained()  # one that pings without end has to read its answers
            return
        if self._awaits_first_line():
            self._feed(self.client.read_available())  # it may have come in this very moment
        if self._awaits_first_line():
            self.context.engine.counters.add("first_line_timeouts")
            self.close_before_request(timed_out=not self.has_pinged)

    def _awaits_first_line(self) -> bool:
        return self.protocol.phase is ClientPhase.AWAITING_FIRST_LINE

    def _feed(self, data: bytes) -> None:
        self.protocol.class_index_by_name = (
            self.clients.class_index_by_name
        )  # a reload may have replaced them
        for event in self.protocol.feed(data):
            self._handle_event(event)

    async def _read_until_end(self) -> bool:
        """Forward what the client sends, then discard; False at its end. Raises `OSError` if it breaks."""
        while self.protocol.phase is not ClientPhase.ENDED:
            if not (data := await self.client.read()):
                return False
            self._feed(data)
            await self.client.wait_drained()
            if self.upstream is not None and self.upstream.transport is not None:
                await self.upstream.transport.wait_drained()
        # It may be sending still, by megabytes: read on, for a while, so that it hears how this ended.
        last = anyio.current_time() + self.limits.discard_timeout_us / 1e6
        while await self.client.discard(self.clients.discard_buffer):
            self.scope.deadline = min(last, anyio.current_time() + self.limits.linger_us / 1e6)
        return False

    async def _forward_remaining_lines(self) -> None:
        """The client ended in good order: what its endpoint still sends is forwarded, for a short while."""
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
        elif isinstance(event, LineReceived) and self.upstream is not None:
            self.upstream.write_to_endpoint(event.line)
            self.context.notify_engine(self.context.engine.client_line_forwarded, self.request_id)

    def _handle_malformed(self, event: MalformedInput) -> None:
        engine = self.context.engine
        engine.counters.add("malformed")
        self.context.log("malformed", request=self.request_id, reason=event.reason)
        if self.request_id:
            engine.guard.client_ended(self.request_id)  # what it sent ends the connection
            self.context.run_engine_call(engine.client_disconnected, self.request_id, True)
        self._finish(self.protocol.end_failed() if event.answer_owed else b"")

    def open_upstream(self, command: OpenUpstream) -> None:
        """Start an attempt in a task of its own."""
        assert self.first_line is not None
        line = self.first_line.for_endpoint(command.timeout_us)
        self.upstream = UpstreamDriver(self.context, self, command, line)
        self.context.spawn(self.upstream.run)

    def close_upstream(self) -> None:
        """Close the attempt that is under way, if any."""
        if self.upstream is not None:
            self.upstream.close()

    def close_before_request(self, timed_out: bool = False) -> None:
        """Accept no first line any more. One may be on its way: so this end is never without an answer, and
        the close waits until what comes has been read. `timed_out`: the client's time for it is over.
        """
        if not self._awaits_first_line():
            return
        if timed_out:
            self._finish(self.protocol.end_failed())
        else:
            self._finish(self.protocol.end_rejected(self.limits.rejection_retry_after_us))

    def evict(self) -> None:
        """Give all descriptors back now; a client without a request is rejected first."""
        self.close_before_request()
        self.context.descriptor_budget.remove(self)
        self.close_upstream()
        self.client.close_now(self.clients.discard_buffer)

    def end_upstream(self, reset: bool) -> None:
        """The client has ended: end the upstream connection in the same way."""
        if self.upstream is None:
            return
        if reset:
            self.upstream.close(reset=True)
        else:
            self.upstream.finish()

    def start_forwarding(self) -> None:
        """Write the endpoint's answer, then forward the lines that came early."""
        self.client.write(self.established_line)
        self._record_answer(served=True)
        for event in self.protocol.establish():
            self._handle_event(event)

    def end_rejected(self, retry_after_us: int) -> None:
        """Answer that trying again is harmless, and end."""
        self._finish(self.protocol.end_rejected(retry_after_us))
        self._record_answer(served=False)

    def end_failed(self) -> None:
        """Answer that nothing is promised, and end."""
        self._finish(self.protocol.end_failed())
        self._record_answer(served=False)

    def _record_answer(self, served: bool) -> None:
        self.context.engine.guard.final_answer_written(self.request_id, served, self.context.clock())

    def end_migrated(self) -> None:
        """Send the client away with `MOVE`, then close both sides."""
        self._finish(self.protocol.end_migrated())
        self.context.engine.guard.close_permitted(self.request_id)
        self.close_upstream()

    def end_as_upstream(self, reset: bool) -> None:
        """The endpoint has ended: end the client's side in the same way."""
        self.protocol.phase = ClientPhase.ENDED
        self.context.engine.guard.close_permitted(self.request_id)
        if reset:
            self.client.abort()
        else:
            self._finish(b"")

    def _finish(self, last_line: bytes) -> None:
        """Write the last line, if any, and half-close; the client may linger to read it."""
        if last_line:
            self.client.write(last_line)
        self.client.finish()
        self.context.descriptor_budget.record_final_answer(self)
        self.scope.deadline = anyio.current_time() + self.limits.linger_us / 1e6

    def write_to_client(self, line: bytes) -> None:
        """Forward a line of the endpoint's."""
        if line:
            self.client.write(line)
