"""A control machine's driver: follows the store of record, and serves its relays' watches and answers."""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping
from contextlib import suppress
from http import HTTPStatus

import anyio
import anyio.abc

from gannetweir.config import SocketAddress
from gannetweir.control.machine import ControlMachine, Wait
from gannetweir.control.publisher import MachineBehindError, Publisher
from gannetweir.control.rollout import RolloutCoordinator, Verdict
from gannetweir.control.session import ACK_TIMEOUT_US
from gannetweir.control.store import Store
from gannetweir.control.versions import RejectedError, Resource, Slice, Version
from gannetweir.limits import Limits
from gannetweir.net.errors import MAX_BACKOFF_S
from gannetweir.net.transport import (
    Spawn,
    Transport,
    accept_connection,
    open_listening_socket,
    set_low_latency,
)
from gannetweir.proto.control_calls import (
    AnswerCall,
    CallReader,
    WatchCall,
    chunk,
    response,
    watch_header,
)
from gannetweir.proto.control_messages import write_slice
from gannetweir.proto.control_status import status_body
from gannetweir.proto.control_watch import compress_line, stream_header, write_compressed_slice
from gannetweir.proto.endpoint_watch import EndpointListError

HEARTBEAT_INTERVAL_S = 2.0
REPORT_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 3.0  # for a call to be whole
STORE_RETRY_S = 0.5  # while the store can't be reached
STORE_POLL_S = 5.0  # a change that the store's watch did not tell is found within this
MAX_CONNECTIONS = 2_000
_HEARTBEAT = b"\n"
_COMPRESSED_HEARTBEAT = compress_line(_HEARTBEAT)


class ControlServer:
    """One control machine."""

    def __init__(self, name: str, store: Store, at: SocketAddress, limits: Limits) -> None:
        """Listens at once; answers 503 until the store has been read. Raises `OSError` if it can't listen."""
        self.name, self.store, self.limits = name, store, limits
        self.listener = open_listening_socket(at, limits)
        self.machine: ControlMachine | None = None
        self.coordinator = RolloutCoordinator()
        self.watches: dict[str, tuple[Transport, anyio.Event]] = {}
        self.connections: set[Transport] = set()
        self.bytes_written = 0
        self.last_error = ""

    @property
    def address(self) -> SocketAddress:
        """Where it listens."""
        host, port = self.listener.getsockname()[:2]
        return SocketAddress(host, port)

    async def run(self) -> None:
        """Until cancelled; then its watches end."""
        async with anyio.create_task_group() as tasks:
            spawn = _spawner(tasks)
            tasks.start_soon(self._follow)
            tasks.start_soon(self._report)
            try:
                while True:
                    try:
                        self._accept_connection(await accept_connection(self.listener), spawn)
                    except OSError:  # a shortage: others must have their turn, and time to give back
                        await anyio.sleep(MAX_BACKOFF_S)
            finally:
                self.listener.close()
                for endpoint in list(self.connections):
                    endpoint.close()

    # ---- the store

    async def _follow(self) -> None:
        while True:
            try:
                self._sync()
                with anyio.move_on_after(STORE_POLL_S):
                    await self.store.wait_for_change()
            except (OSError, RejectedError) as error:  # the relays go on with what they have
                self.last_error = str(error)
                await anyio.sleep(STORE_RETRY_S)

    def _sync(self) -> None:
        """Bring the publishers up to what the store has."""
        if self.machine is None:
            found = {resource: self.store.read(resource) for resource in Resource}
            self.machine = ControlMachine(
                {resource: Publisher(resource, s.version, s.entries) for resource, s in found.items()}
            )
        for publisher in self.machine.publishers.values():
            self._sync_publisher(publisher)
        for _, event in self.watches.values():
            event.set()

    def _sync_publisher(self, publisher: Publisher) -> None:
        changes = self.store.changes_since(publisher.resource, publisher.newest)
        released = self.store.released_number(publisher.resource)
        try:
            for change in changes or ():
                publisher.publish(change, staged=change.version.number > released)
            publisher.release(released)
        except RejectedError as error:
            self.last_error, changes = str(error), None
        if changes is None:  # the log does not reach back, or this copy is wrong
            found = self.store.read(publisher.resource)
            publisher.load(found.version, found.entries)

    async def _report(self) -> None:
        """Tell the store where the versions stand; decide on staged ones, if this machine leads."""
        while True:
            await anyio.sleep(REPORT_INTERVAL_S)
            if self.machine is None:
                continue
            try:
                self.store.put_reports(self.name, self.machine.status_reports())
                if self.store.acquire_lease(self.name):
                    self._decide()
            except OSError as error:
                self.last_error = str(error)

    def _decide(self) -> None:
        for decision in self.coordinator.decide(self.store.reports(), _now_us()):
            if decision.verdict is Verdict.RELEASE:
                self.store.release(decision.resource, decision.number)
            elif decision.verdict is Verdict.HALT:
                self.store.halt(decision.resource, decision.number, decision.reason)

    # ---- the relays

    def _accept_connection(self, sock: socket.socket, spawn: Spawn) -> None:
        set_low_latency(sock)
        endpoint = Transport(sock, self.limits, spawn)
        if len(self.connections) >= MAX_CONNECTIONS:
            endpoint.close()
            return
        self.connections.add(endpoint)
        spawn(lambda: self._serve(endpoint, spawn))

    async def _serve(self, endpoint: Transport, spawn: Spawn) -> None:
        try:
            reader, call = CallReader(), None
            with anyio.fail_after(CALL_TIMEOUT_S):
                while call is None:
                    call = reader.feed(await endpoint.read())
            if isinstance(call, WatchCall):
                await self._watch(endpoint, call, spawn)
                return
            await self._reply(endpoint, self._answer_call(call))
        except EndpointListError as error:
            await self._reply(endpoint, response(HTTPStatus.BAD_REQUEST, str(error).encode()))
        except (OSError, TimeoutError):
            pass
        except Exception as error:  # a fault ends one connection, not the machine
            self.last_error = f"{type(error).__name__}: {error}"
        finally:
            self.connections.discard(endpoint)
            endpoint.close()

    async def _reply(self, endpoint: Transport, data: bytes) -> None:
        """Answer and let the caller end: a close over unread bytes could cost it the answer."""
        self._write(endpoint, data)
        endpoint.finish()
        with anyio.move_on_after(CALL_TIMEOUT_S), suppress(OSError):
            while await endpoint.read():
                pass

    def _answer_call(self, call: object) -> bytes:
        if self.machine is None:
            return response(HTTPStatus.SERVICE_UNAVAILABLE, b"the store has not been read")
        if not isinstance(call, AnswerCall):
            return response(HTTPStatus.OK, status_body(self.name, self.machine.status_reports()))
        self.machine.record_answer(call.relay, call.answer, call.totals)
        if call.relay in self.watches:
            self.watches[call.relay][1].set()  # what waited for this goes now
        return response(HTTPStatus.NO_CONTENT)

    async def _watch(self, endpoint: Transport, call: WatchCall, spawn: Spawn) -> None:
        relay = call.relay
        if self.machine is None:
            await self._reply(
                endpoint, response(HTTPStatus.SERVICE_UNAVAILABLE, b"the store has not been read")
            )
            return
        try:
            if relay in self.watches:  # the relay has given that one up
                self.watches[relay][0].close()
            self._extend_logs_back(self.machine, call.applied)
            self.machine.connect(relay, call.applied, _now_us())
        except MachineBehindError as error:
            await self._reply(endpoint, response(HTTPStatus.SERVICE_UNAVAILABLE, str(error).encode()))
            return
        self.watches[relay] = (endpoint, anyio.Event())
        spawn(lambda: self._until_closed(endpoint, relay))
        try:
            beat = _COMPRESSED_HEARTBEAT if call.gzip else _HEARTBEAT
            self._write(endpoint, watch_header(call.gzip) + chunk(stream_header(call.gzip) + beat))
            await self._send_slices(
                endpoint, relay, self.machine, write_compressed_slice if call.gzip else write_slice, beat
            )
        finally:
            if self._is_current(relay, endpoint):
                del self.watches[relay]
                self.machine.disconnect(relay)

    def _extend_logs_back(self, machine: ControlMachine, held: Mapping[Resource, Version]) -> None:
        """A machine that has just started knows no version before its start, while its relays hold one. The
        store is asked once for each such version: whole lists for all relays would take far longer.
        """
        for resource, publisher in machine.publishers.items():
            version = held.get(resource)
            if version is None or not publisher.history.is_compacted(version):
                continue
            with suppress(OSError):  # then the relay gets the whole content
                publisher.history.extend_back(version, self.store.changes_since(resource, version) or ())

    def _is_current(self, relay: str, endpoint: Transport) -> bool:
        return relay in self.watches and self.watches[relay][0] is endpoint

    async def _until_closed(self, endpoint: Transport, relay: str) -> None:
        with suppress(OSError):
            while await endpoint.read():
                pass
        endpoint.close()
        if self._is_current(relay, endpoint):
            self.watches[relay][1].set()

    async def _send_slices(
        self,
        transport: Transport,
        relay: str,
        machine: ControlMachine,
        write: Callable[[Slice], bytes],
        heartbeat: bytes,
    ) -> None:
        beat_due = anyio.current_time() + HEARTBEAT_INTERVAL_S
        while not transport.closed and self._is_current(relay, transport):
            if machine.is_ack_overdue(relay, _now_us()):
                return
            event = anyio.Event()
            self.watches[relay] = (transport, event)
            found = machine.poll(relay, _now_us())
            if isinstance(found, Slice):
                line = chunk(write(found))
                machine.record_sent(relay, len(line))
                self._write(transport, line)
                with anyio.move_on_after(ACK_TIMEOUT_US / 1e6) as stalled:
                    await transport.wait_drained()
                if stalled.cancelled_caught:  # it reads no more
                    return
                beat_due = anyio.current_time() + HEARTBEAT_INTERVAL_S
                continue
            await self._wait_until_due(found, beat_due, event)
            if anyio.current_time() >= beat_due:
                self._write(transport, chunk(heartbeat))
                beat_due = anyio.current_time() + HEARTBEAT_INTERVAL_S

    @staticmethod
    async def _wait_until_due(wait: Wait, heartbeat_due: float, event: anyio.Event) -> None:
        now = anyio.current_time()
        until = (
            heartbeat_due if wait.duration_us is None else min(heartbeat_due, now + wait.duration_us / 1e6)
        )
        with anyio.move_on_after(max(0.0, until - now)):
            await event.wait()

    def _write(self, transport: Transport, data: bytes) -> None:
        self.bytes_written += len(data)
        transport.write(data)


def _now_us() -> int:
    return int(anyio.current_time() * 1e6)


def _spawner(tasks: anyio.abc.TaskGroup) -> Spawn:
    def spawn(job: Callable[[], object]) -> None:
        tasks.start_soon(job)  # type: ignore[arg-type]

    return spawn
