"""A control machine's server: handles the relays' watches, ACKs and NACKs, and status calls.

Each connection carries one call. A watch stays open: the server sends the slices that the `ControlMachine`
selects, and heartbeats in between. The `ControlServer` owns the listener, the connections and the relays'
watches; `control_store` owns the machine and follows the store of record. An error while a connection is
served ends that connection, never the server.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from http import HTTPStatus

import anyio
import anyio.abc

from gannetweir.config import SocketAddress
from gannetweir.control.machine import ControlMachine, Wait
from gannetweir.control.publisher import MachineBehindError
from gannetweir.control.session import ACK_TIMEOUT_US
from gannetweir.control.store import Store
from gannetweir.control.versions import Slice
from gannetweir.limits import Limits
from gannetweir.net.control_store import StoreSync, monotonic_us
from gannetweir.net.errors import MAX_BACKOFF_S
from gannetweir.net.sockets import accept_connection, open_listening_socket, set_nonblocking_nodelay
from gannetweir.net.transport import Spawn, Transport
from gannetweir.proto.control_calls import (
    AnswerCall,
    Call,
    CallReader,
    StatusCall,
    WatchCall,
    chunk,
    response,
    watch_header,
)
from gannetweir.proto.control_messages import write_slice
from gannetweir.proto.control_status import status_body
from gannetweir.proto.control_watch import compress_line, stream_header, write_compressed_slice
from gannetweir.proto.endpoint_watch import EndpointListError

# A relay ends a watch after 2.75 s without a complete message.
HEARTBEAT_INTERVAL_S = 2.0
# The time limit for receiving a call, and for the caller to close the connection after the response.
CALL_TIMEOUT_S = 3.0
# The limit applies to watches and calls together; it bounds descriptors and memory.
MAX_CONNECTIONS = 2_000
_US_PER_S = 1e6
_HEARTBEAT = b"\n"
_COMPRESSED_HEARTBEAT = compress_line(_HEARTBEAT)
_STORE_NOT_READ = response(HTTPStatus.SERVICE_UNAVAILABLE, b"the store has not been read")


@dataclass(slots=True)
class RelayWatch:
    """A relay's current watch. `changed` is set when a slice may have become available for the relay."""

    transport: Transport
    changed: anyio.Event


class ControlServer:
    """The server of a control machine. `watches` has the latest watch of each relay, by relay name."""

    def __init__(self, name: str, store: Store, listen_address: SocketAddress, limits: Limits) -> None:
        """Start to listen; calls are answered with status 503 until the store has been read.

        Raises `OSError` if the address can't be listened on.
        """
        self.name = name
        self.limits = limits
        self.listener = open_listening_socket(listen_address, limits)
        self.store_sync = StoreSync(name, store, self._wake_watches)
        self.watches: dict[str, RelayWatch] = {}
        self.connections: set[Transport] = set()
        self.bytes_written = 0
        self.last_error = ""  # the last unexpected error in a connection's task

    @property
    def machine(self) -> ControlMachine | None:
        """The decision logic for the relays; None until the store has been read."""
        return self.store_sync.machine

    @property
    def address(self) -> SocketAddress:
        """The address on which the server listens."""
        host, port = self.listener.getsockname()[:2]
        return SocketAddress(host, port)

    async def run(self) -> None:
        """Serve until cancelled; then all connections are closed."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.store_sync.follow)
            tasks.start_soon(self.store_sync.report)
            try:
                await self._accept_connections(_make_spawn(tasks))
            finally:
                self.listener.close()
                for transport in list(self.connections):
                    transport.close()

    async def _accept_connections(self, spawn: Spawn) -> None:
        while True:
            try:
                self._begin_connection(await accept_connection(self.listener), spawn)
            except OSError:
                # Descriptors or memory ran out: the pause lets other tasks run and release resources.
                await anyio.sleep(MAX_BACKOFF_S)

    def _begin_connection(self, sock: socket.socket, spawn: Spawn) -> None:
        set_nonblocking_nodelay(sock)
        transport = Transport(sock, self.limits, spawn)
        if len(self.connections) >= MAX_CONNECTIONS:
            transport.close()
            return
        self.connections.add(transport)
        spawn(lambda: self._serve(transport, spawn))

    async def _serve(self, transport: Transport, spawn: Spawn) -> None:
        try:
            call = await _read_call(transport)
            if isinstance(call, WatchCall):
                await self._watch(transport, call, spawn)
            else:
                await self._reply(transport, self._answer_call(call))
        except EndpointListError as error:
            await self._reply(transport, response(HTTPStatus.BAD_REQUEST, str(error).encode()))
        except (OSError, TimeoutError):
            pass
        except Exception as error:  # noqa: BLE001 - guarded edge of a task
            self.last_error = f"{type(error).__name__}: {error}"
        finally:
            self.connections.discard(transport)
            transport.close()

    async def _reply(self, transport: Transport, data: bytes) -> None:
        """Send the response and wait until the caller closes the connection.

        Closing a socket with unread bytes could discard the response before the caller reads it.
        """
        self._write(transport, data)
        transport.finish()
        with anyio.move_on_after(CALL_TIMEOUT_S), suppress(OSError):
            while await transport.read():
                pass

    def _answer_call(self, call: AnswerCall | StatusCall) -> bytes:
        if self.machine is None:
            return _STORE_NOT_READ
        if isinstance(call, StatusCall):
            return response(HTTPStatus.OK, status_body(self.name, self.machine.status_reports()))
        self.machine.record_answer(call.relay, call.answer, call.totals)
        if call.relay in self.watches:
            self.watches[call.relay].changed.set()  # the next version may have waited for this answer
        return response(HTTPStatus.NO_CONTENT)

    async def _watch(self, transport: Transport, call: WatchCall, spawn: Spawn) -> None:
        machine = self.machine
        if machine is None:
            await self._reply(transport, _STORE_NOT_READ)
            return
        relay = call.relay
        if relay in self.watches:  # the relay has abandoned its earlier watch
            self.watches[relay].transport.close()
        self.store_sync.extend_logs_back(machine, call.applied)
        try:
            machine.connect(relay, call.applied, monotonic_us())
        except MachineBehindError as error:
            await self._reply(transport, response(HTTPStatus.SERVICE_UNAVAILABLE, str(error).encode()))
            return
        self.watches[relay] = RelayWatch(transport, anyio.Event())
        spawn(lambda: self._wait_closed(transport, relay))
        try:
            await self._send_watch(transport, call, machine)
        finally:
            if self._is_current(relay, transport):
                del self.watches[relay]
                machine.disconnect(relay)

    async def _send_watch(self, transport: Transport, call: WatchCall, machine: ControlMachine) -> None:
        heartbeat, write = _HEARTBEAT, write_slice
        if call.gzip:
            heartbeat, write = _COMPRESSED_HEARTBEAT, write_compressed_slice
        self._write(transport, watch_header(call.gzip) + chunk(stream_header(call.gzip) + heartbeat))
        await self._send_slices(transport, call.relay, machine, write, heartbeat)

    def _is_current(self, relay: str, transport: Transport) -> bool:
        return relay in self.watches and self.watches[relay].transport is transport

    def _wake_watches(self) -> None:
        for watch in self.watches.values():
            watch.changed.set()

    async def _wait_closed(self, transport: Transport, relay: str) -> None:
        with suppress(OSError):
            while await transport.read():
                pass
        transport.close()
        if self._is_current(relay, transport):
            self.watches[relay].changed.set()

    async def _send_slices(
        self,
        transport: Transport,
        relay: str,
        machine: ControlMachine,
        write: Callable[[Slice], bytes],
        heartbeat: bytes,
    ) -> None:
        """Send slices and heartbeats until the watch ends.

        A watch ends when the relay disconnects, a newer watch replaces it, or an ACK or NACK is overdue.
        """
        heartbeat_due = anyio.current_time() + HEARTBEAT_INTERVAL_S
        while not transport.closed and self._is_current(relay, transport):
            if machine.is_ack_overdue(relay, monotonic_us()):
                return
            changed = anyio.Event()
            self.watches[relay].changed = changed
            message = machine.poll(relay, monotonic_us())
            if isinstance(message, Slice):
                line = chunk(write(message))
                machine.record_sent(relay, len(line))
                if not await self._send_line(transport, line):
                    return
                heartbeat_due = anyio.current_time() + HEARTBEAT_INTERVAL_S
                continue
            await _wait_until_due(message, heartbeat_due, changed)
            if anyio.current_time() >= heartbeat_due:
                self._write(transport, chunk(heartbeat))
                heartbeat_due = anyio.current_time() + HEARTBEAT_INTERVAL_S

    async def _send_line(self, transport: Transport, line: bytes) -> bool:
        """Write a line and wait until it was sent; return False if the relay has stopped reading."""
        self._write(transport, line)
        with anyio.move_on_after(ACK_TIMEOUT_US / _US_PER_S) as stalled:
            await transport.wait_drained()
        return not stalled.cancelled_caught

    def _write(self, transport: Transport, data: bytes) -> None:
        self.bytes_written += len(data)
        transport.write(data)


async def _read_call(transport: Transport) -> Call:
    reader = CallReader()
    with anyio.fail_after(CALL_TIMEOUT_S):
        while True:
            call = reader.feed(await transport.read())
            if call is not None:
                return call


async def _wait_until_due(wait: Wait, heartbeat_due: float, changed: anyio.Event) -> None:
    now = anyio.current_time()
    until = heartbeat_due
    if wait.duration_us is not None:
        until = min(heartbeat_due, now + wait.duration_us / _US_PER_S)
    with anyio.move_on_after(max(0.0, until - now)):
        await changed.wait()


def _make_spawn(tasks: anyio.abc.TaskGroup) -> Spawn:
    """Return a `Spawn` for `Transport` that starts its tasks in a task group."""

    def spawn(job: Callable[[], object]) -> None:
        tasks.start_soon(job)  # type: ignore[arg-type]

    return spawn
