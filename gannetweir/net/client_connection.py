"""The driver of a virtual server: one client's connection and the flow that serves it."""

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


class ClientContext(UpstreamContext, Protocol):
    """What a client's side needs of the relay, beside what its flows do."""

    @property
    def class_index_by_name(self) -> dict[str, int]: ...

    @property
    def discard_buffer(self) -> bytearray: ...

    def open_request(self, session: ClientConnectionDriver, first: FirstLine) -> None: ...

    def remove_client(self, session: ClientConnectionDriver) -> None: ...

    def log(self, text: str, **about: object) -> None: ...


class ClientConnectionDriver:
    """Reads the client; the relay calls the rest as the engine commands."""

    def __init__(self, relay: ClientContext, client: Transport) -> None:
        self.relay, self.client = relay, client
        self.limits = relay.limits
        self.protocol = ClientConnection(relay.class_index_by_name, self.limits)
        self.request_id = 0
        self.first_line: FirstLine | None = None
        self.upstream: UpstreamDriver | None = None
        self.established_line = b""
        self.has_pinged = False
        self.input_ended = False
        self.accepted_at_s = anyio.current_time()
        self.scope = anyio.CancelScope()

    async def run(self) -> None:
        """From the accept to the last byte."""
        reset = False
        try:
            with self.scope:
                try:
                    await self._await_first_line()
                    reset = await self._read_until_end()
                except OSError:
                    reset = True
                self.input_ended = True
            if self.request_id and self.protocol.phase in (
                ClientPhase.AWAITING_ANSWER,
                ClientPhase.ESTABLISHED,
            ):
                self._report_disconnect(reset)
                await self._forward_remaining_lines()
        finally:
            self._release()

    def _release(self) -> None:
        """The end of this side. One that comes without an answer, by a fault here, is told as well."""
        guard = self.relay.engine.guard
        if self.request_id and self.protocol.phase in (ClientPhase.AWAITING_ANSWER, ClientPhase.ESTABLISHED):
            self.protocol.phase = ClientPhase.ENDED
            self.relay.run_engine_call(self.relay.engine.client_disconnected, self.request_id, True)
        elif self.protocol.phase is ClientPhase.AWAITING_FIRST_LINE and not self.input_ended:
            guard.unread_connection_closed()
        guard.client_connection_closed(self.request_id)
        self.client.close()
        self.relay.remove_client(self)

    def _report_disconnect(self, reset: bool) -> None:
        """The client ended its side: nothing begins for it any more."""
        self.protocol.phase = ClientPhase.ENDED
        self.relay.engine.guard.client_ended(self.request_id)
        self.relay.run_engine_call(self.relay.engine.client_disconnected, self.request_id, reset)

    def read_pending_input(self) -> None:
        """Take in what the client has sent by now, before an attempt for it begins. Its end may have come
        since the loop last asked the kernel, which on a busy loop is long ago, or lie behind other bytes.
        What may come before an answer is bounded, and so are these reads.
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

    def _limit_lifetime(self, us: float) -> None:
        self.scope.deadline = anyio.current_time() + us / 1e6

    async def _await_first_line(self) -> None:
        """Until it is in, or the time for it is over."""
        with anyio.move_on_after(self.limits.first_line_us / 1e6):
            while self.protocol.phase is ClientPhase.AWAITING_FIRST_LINE and (
                data := await self.client.read()
            ):
                self._feed(data)
                await self.client.wait_drained()  # one that asks without end has to read its answers
            return
        if self.protocol.phase is ClientPhase.AWAITING_FIRST_LINE:
            self._feed(self.client.read_available())  # it may have come in this very moment
        if self.protocol.phase is ClientPhase.AWAITING_FIRST_LINE:
            self.relay.engine.counters.add("first_line_late")
            self.close_before_request(late=not self.has_pinged)

    def _feed(self, data: bytes) -> None:
        self.protocol.class_index_by_name = self.relay.class_index_by_name  # a reload may have brought others
        for event in self.protocol.feed(data):
            self._handle_event(event)

    async def _read_until_end(self) -> bool:
        while self.protocol.phase is not ClientPhase.ENDED:
            if not (data := await self.client.read()):
                return False
            self._feed(data)
            await self.client.wait_drained()
            if self.upstream is not None and self.upstream.transport is not None:
                await self.upstream.transport.wait_drained()
        # It may be sending still, by megabytes: read on, for a while, so that it hears how this ended.
        last = anyio.current_time() + self.limits.waste_us / 1e6
        while await self.client.discard(self.relay.discard_buffer):
            self.scope.deadline = min(last, anyio.current_time() + self.limits.linger_us / 1e6)
        return False

    async def _forward_remaining_lines(self) -> None:
        """The client ended in good order: what its backend still says may pass, for a short while."""
        if self.upstream is not None:
            self.relay.descriptor_budget.note_client_ended(self)
            with anyio.move_on_after(self.limits.linger_us / 1e6):
                await self.upstream.finished.wait()
            self.upstream.close()

    def _handle_event(self, event: ClientEvent) -> None:
        if isinstance(event, PingReceived):
            self.has_pinged = True
            self.relay.descriptor_budget.note_ping(self)
            self.client.write(self.protocol.ping_answer(self.relay.engine.is_ready()))
        elif isinstance(event, RequestOpened):
            self.first_line = event.first_line
            self.relay.open_request(self, event.first_line)
        elif isinstance(event, MalformedInput):
            self._malformed(event.reason, event.answer_owed)
        elif isinstance(event, LineReceived) and self.upstream is not None:
            self.upstream.write_to_endpoint(event.line)
            self.relay.notify_engine(self.relay.engine.client_line_forwarded, self.request_id)

    def _malformed(self, reason: str, owed: bool) -> None:
        self.relay.engine.counters.add("malformed")
        self.relay.log("malformed", transaction=self.request_id, reason=reason)
        if self.request_id:
            self.relay.engine.guard.client_ended(self.request_id)  # what it sent ends the connection
            self.relay.run_engine_call(self.relay.engine.client_disconnected, self.request_id, True)
        self._end(self.protocol.end_failed() if owed else b"")

    # ---- as the engine commands

    def open_upstream(self, order: OpenUpstream) -> None:
        """Start an attempt."""
        assert self.first_line is not None
        self.upstream = UpstreamDriver(
            self.relay, self, order, self.first_line.for_endpoint(order.timeout_us)
        )
        self.relay.spawn(self.upstream.run)

    def close_upstream(self) -> None:
        """Abandon the attempt."""
        if self.upstream is not None:
            self.upstream.close()

    def close_before_request(self, late: bool = False) -> None:
        """No first line is taken from it any more. One may be on its way: so this end is never without an
        answer, and the close waits until what comes has been read.
        """
        if self.protocol.phase is ClientPhase.AWAITING_FIRST_LINE:
            self._end(
                self.protocol.end_failed()
                if late
                else self.protocol.end_rejected(self.limits.reject_retry_us)
            )

    def evict(self) -> None:
        """Its descriptors are wanted now."""
        self.close_before_request()
        self.relay.descriptor_budget.remove(self)
        self.close_upstream()
        self.client.close_now(self.relay.discard_buffer)

    def end_upstream(self, reset: bool) -> None:
        """The client's end, passed on in kind."""
        if self.upstream is not None:
            if reset:
                self.upstream.close(reset=True)
            else:
                self.upstream.finish()

    def start_forwarding(self) -> None:
        """The backend's answer, then the lines that came early."""
        self.client.write(self.established_line)
        self._note_answer(served=True)
        for event in self.protocol.establish():
            self._handle_event(event)

    def end_rejected(self, retry_us: int) -> None:
        """Refused."""
        self._end(self.protocol.end_rejected(retry_us))
        self._note_answer(served=False)

    def end_failed(self) -> None:
        """Failed."""
        self._end(self.protocol.end_failed())
        self._note_answer(served=False)

    def _note_answer(self, served: bool) -> None:
        self.relay.engine.guard.final_answer_written(self.request_id, served, self.relay.clock())

    def end_migrated(self) -> None:
        """`MOVE` first, then both sides close."""
        self._end(self.protocol.end_migrated())
        self.relay.engine.guard.close_permitted(self.request_id)
        self.close_upstream()

    def end_as_upstream(self, reset: bool) -> None:
        """The backend's end, passed on in kind."""
        self.protocol.phase = ClientPhase.ENDED
        self.relay.engine.guard.close_permitted(self.request_id)
        if reset:
            self.client.abort()
        else:
            self._end(b"")

    def _end(self, last: bytes) -> None:
        if last:
            self.client.write(last)
        self.client.finish()
        self.relay.descriptor_budget.note_final_answer(self)
        self._limit_lifetime(self.limits.linger_us)

    def write_to_client(self, line: bytes) -> None:
        """A line of the backend's."""
        if line:
            self.client.write(line)
