"""The driver of a virtual server: one client's connection and the flow that serves it."""

from __future__ import annotations

from typing import Protocol

import anyio

from gannetweir.core import OpenUpstream
from gannetweir.net.transport import Transport
from gannetweir.net.upstream_connection import UpstreamDriver, UpstreamHost
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


class SessionHost(UpstreamHost, Protocol):
    """What a client's side needs of the relay, beside what its flows do."""

    @property
    def classes(self) -> dict[str, int]: ...

    @property
    def waste(self) -> bytearray: ...

    def open(self, session: ClientConnectionDriver, first: FirstLine) -> None: ...

    def forget(self, session: ClientConnectionDriver) -> None: ...

    def log(self, text: str, **about: object) -> None: ...


class ClientConnectionDriver:
    """Reads the client; the relay calls the rest as the engine commands."""

    def __init__(self, relay: SessionHost, client: Transport) -> None:
        self.relay, self.client = relay, client
        self.limits = relay.limits
        self.virtual = ClientConnection(relay.classes, self.limits)
        self.number = 0
        self.first: FirstLine | None = None
        self.flow: UpstreamDriver | None = None
        self.up_line = b""
        self.pinged = False
        self.client_ended = False
        self.since = anyio.current_time()
        self.scope = anyio.CancelScope()

    async def run(self) -> None:
        """From the accept to the last byte."""
        reset = False
        try:
            with self.scope:
                try:
                    await self._first_line()
                    reset = await self._read()
                except OSError:
                    reset = True
                self.client_ended = True
            if self.number and self.virtual.phase in (ClientPhase.AWAITING_ANSWER, ClientPhase.ESTABLISHED):
                self._left(reset)
                await self._last_words()
        finally:
            self._release()

    def _release(self) -> None:
        """The end of this side. One that comes without an answer, by a fault here, is told as well."""
        guard = self.relay.engine.guard
        if self.number and self.virtual.phase in (ClientPhase.AWAITING_ANSWER, ClientPhase.ESTABLISHED):
            self.virtual.phase = ClientPhase.ENDED
            self.relay.tell(self.relay.engine.client_disconnected, self.number, True)
        elif self.virtual.phase is ClientPhase.AWAITING_FIRST_LINE and not self.client_ended:
            guard.released_unheard()
        guard.released(self.number)
        self.client.close()
        self.relay.forget(self)

    def _left(self, reset: bool) -> None:
        """The client ended its side: nothing begins for it any more."""
        self.virtual.phase = ClientPhase.ENDED
        self.relay.engine.guard.client_ended(self.number)
        self.relay.tell(self.relay.engine.client_disconnected, self.number, reset)

    def look(self) -> None:
        """Take in what the client has sent by now, before an attempt for it begins. Its end may have come
        since the loop last asked the kernel, which on a busy loop is long ago, or lie behind other bytes.
        What may come before an answer is bounded, and so are these reads.
        """
        while self.virtual.phase is ClientPhase.AWAITING_ANSWER:
            try:
                data = self.client.received()
            except OSError:
                self._left(True)
                return
            if data is None:
                return
            if data:
                self._feed(data)
            else:
                self._left(False)

    def _time_left(self, us: float) -> None:
        self.scope.deadline = anyio.current_time() + us / 1e6

    async def _first_line(self) -> None:
        """Until it is in, or the time for it is over."""
        with anyio.move_on_after(self.limits.first_line_us / 1e6):
            while self.virtual.phase is ClientPhase.AWAITING_FIRST_LINE and (
                data := await self.client.read()
            ):
                self._feed(data)
                await self.client.drained()  # one that asks without end has to read its answers
            return
        if self.virtual.phase is ClientPhase.AWAITING_FIRST_LINE:
            self._feed(self.client.read_now())  # it may have come in this very moment
        if self.virtual.phase is ClientPhase.AWAITING_FIRST_LINE:
            self.relay.engine.counters.add("first_line_late")
            self.turn_away(late=not self.pinged)

    def _feed(self, data: bytes) -> None:
        self.virtual.class_index_by_name = self.relay.classes  # a reload may have brought others
        for event in self.virtual.feed(data):
            self._take(event)

    async def _read(self) -> bool:
        while self.virtual.phase is not ClientPhase.ENDED:
            if not (data := await self.client.read()):
                return False
            self._feed(data)
            await self.client.drained()
            if self.flow is not None and self.flow.endpoint is not None:
                await self.flow.endpoint.drained()
        # It may be sending still, by megabytes: read on, for a while, so that it hears how this ended.
        last = anyio.current_time() + self.limits.waste_us / 1e6
        while await self.client.discard(self.relay.waste):
            self.scope.deadline = min(last, anyio.current_time() + self.limits.linger_us / 1e6)
        return False

    async def _last_words(self) -> None:
        """The client ended in good order: what its backend still says may pass, for a short while."""
        if self.flow is not None:
            self.relay.room.left(self)
            with anyio.move_on_after(self.limits.linger_us / 1e6):
                await self.flow.done.wait()
            self.flow.close()

    def _take(self, event: ClientEvent) -> None:
        if isinstance(event, PingReceived):
            self.pinged = True
            self.relay.room.pinged(self)
            self.client.write(self.virtual.ping_answer(self.relay.engine.is_ready()))
        elif isinstance(event, RequestOpened):
            self.first = event.first_line
            self.relay.open(self, event.first_line)
        elif isinstance(event, MalformedInput):
            self._malformed(event.reason, event.answer_owed)
        elif isinstance(event, LineReceived) and self.flow is not None:
            self.flow.to_server(event.line)
            self.relay.tell_only(self.relay.engine.client_line_forwarded, self.number)

    def _malformed(self, reason: str, owed: bool) -> None:
        self.relay.engine.counters.add("malformed")
        self.relay.log("malformed", transaction=self.number, reason=reason)
        if self.number:
            self.relay.engine.guard.client_ended(self.number)  # what it sent ends the connection
            self.relay.tell(self.relay.engine.client_disconnected, self.number, True)
        self._end(self.virtual.end_failed() if owed else b"")

    # ---- as the engine commands

    def open_flow(self, order: OpenUpstream) -> None:
        """Start an attempt."""
        assert self.first is not None
        self.flow = UpstreamDriver(self.relay, self, order, self.first.for_endpoint(order.timeout_us))
        self.relay.spawn(self.flow.run)

    def close_flow(self) -> None:
        """Abandon the attempt."""
        if self.flow is not None:
            self.flow.close()

    def turn_away(self, late: bool = False) -> None:
        """No first line is taken from it any more. One may be on its way: so this end is never without an
        answer, and the close waits until what comes has been read.
        """
        if self.virtual.phase is ClientPhase.AWAITING_FIRST_LINE:
            self._end(
                self.virtual.end_failed() if late else self.virtual.end_rejected(self.limits.reject_retry_us)
            )

    def evict(self) -> None:
        """Its descriptors are wanted now."""
        self.turn_away()
        self.relay.room.forget(self)
        self.close_flow()
        self.client.close_now(self.relay.waste)

    def end_flow(self, reset: bool) -> None:
        """The client's end, passed on in kind."""
        if self.flow is not None:
            if reset:
                self.flow.close(reset=True)
            else:
                self.flow.finish()

    def serve(self) -> None:
        """The backend's answer, then the lines that came early."""
        self.client.write(self.up_line)
        self._note_answer(served=True)
        for event in self.virtual.establish():
            self._take(event)

    def reject(self, retry_us: int) -> None:
        """Refused."""
        self._end(self.virtual.end_rejected(retry_us))
        self._note_answer(served=False)

    def fail(self) -> None:
        """Failed."""
        self._end(self.virtual.end_failed())
        self._note_answer(served=False)

    def _note_answer(self, served: bool) -> None:
        self.relay.engine.guard.answered(self.number, served, self.relay.clock())

    def move(self) -> None:
        """`MOVE` first, then both sides close."""
        self._end(self.virtual.end_migrated())
        self.relay.engine.guard.may_close(self.number)
        self.close_flow()

    def end(self, reset: bool) -> None:
        """The backend's end, passed on in kind."""
        self.virtual.phase = ClientPhase.ENDED
        self.relay.engine.guard.may_close(self.number)
        if reset:
            self.client.abort()
        else:
            self._end(b"")

    def _end(self, last: bytes) -> None:
        if last:
            self.client.write(last)
        self.client.finish()
        self.relay.room.answered(self)
        self._time_left(self.limits.linger_us)

    def to_client(self, line: bytes) -> None:
        """A line of the backend's."""
        if line:
            self.client.write(line)
