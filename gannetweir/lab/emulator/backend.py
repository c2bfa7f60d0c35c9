"""An emulated backend on real sockets: protocol lines, load probes and reports, slow start, a connection
limit, drains, and a fault for each address. A backend may listen on IPv4, IPv6 and a Unix socket at once.
"""

from __future__ import annotations

import errno
import random
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc

from gannetweir.addresses.address import Address
from gannetweir.lab.emulator.address_listener import FAULTS, AddressListener
from gannetweir.lab.emulator.attempts import AttemptOverlaps
from gannetweir.limits import Limits
from gannetweir.net.sockets import accept_connection
from gannetweir.net.transport import Spawn, Transport

SLOW_READ_DELAY_S = 0.15  # the time before an address with the fault `slow` reads anything
# A backend that has just started serves this share of its capacity, rising to all of it over the window.
SLOW_START_MIN_SHARE, SLOW_START_WINDOW_S = 0.12, 23.0
# A backend answers BUSY once its connections reach this multiple of its current capacity.
HARD_LIMIT_FACTOR = 1.6
# The backend's own work for a connection set-up, without the session store's.
MIN_SETUP_S, MAX_SETUP_S = 0.002, 0.006
ACCEPT_RETRY_S = 0.01  # the wait after a transient accept failure


def spawn_in(tasks: anyio.abc.TaskGroup) -> Spawn:
    """Return a function by which a transport starts its background work in this task group."""

    async def run_in_background(run: Callable[[], Awaitable[Any]]) -> None:
        await run()

    def spawn(run: Callable[[], Awaitable[Any]]) -> None:
        tasks.start_soon(run_in_background, run)

    return spawn


class EmulatedSessionStore:
    """The session store shared by all backends. It serves calls at a fixed rate, one at a time."""

    def __init__(self, calls_per_s: float) -> None:
        self.call_interval_s = 1.0 / calls_per_s
        self.slowdown = 1.0  # fault: the factor by which each call takes longer
        self.idle_from_s = 0.0
        self.calls = 0

    async def call(self) -> None:
        """Make the call of one connection set-up. A cancelled call stays in the queue."""
        now = anyio.current_time()
        self.calls += 1
        self.idle_from_s = max(self.idle_from_s, now) + self.call_interval_s * self.slowdown
        await anyio.sleep(self.idle_from_s - now)


class EmulatedBackend:
    """An emulated backend. It reports every first line to `attempts`, which all backends share."""

    def __init__(
        self,
        name: str,
        addresses: list[Address],
        capacity: int,
        store: EmulatedSessionStore,
        attempts: AttemptOverlaps,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.capacity = capacity
        self.store = store
        self.attempts = attempts
        self.rng = rng
        self.listeners = {str(address): AddressListener(address) for address in addresses}
        self.established: dict[Transport, str] = {}  # request ids by connection
        self.limits = Limits()
        self.deliveries: dict[str, int] = {}  # first lines by request id, over all addresses
        self.failure_rate = 0.0  # the share of set-ups that are answered ERR
        self.other_connections = 0  # connections added to the emulator's own in load reports and limits
        self.draining = False
        self.started_s = 0.0  # 0 means that the slow start is over
        self.slow_start_min_share = SLOW_START_MIN_SHARE
        self.slow_start_window_s = SLOW_START_WINDOW_S
        self.load_probes = 0  # number of answered load probes
        self.load_lines = 0  # number of LOAD lines sent
        self.tasks: anyio.abc.TaskGroup | None = None
        self.scope = anyio.CancelScope()

    def current_capacity(self) -> float:
        """The number of connections that the backend can serve now, reduced while it is warming up."""
        if not self.started_s:
            return float(self.capacity)
        warmed_share = min(1.0, (anyio.current_time() - self.started_s) / self.slow_start_window_s)
        min_share = self.slow_start_min_share
        return self.capacity * (min_share + (1.0 - min_share) * warmed_share)

    async def run(self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Listen on every address until `stop`, which breaks every connection."""
        self.scope = anyio.CancelScope()
        try:
            with self.scope:
                async with anyio.create_task_group() as self.tasks:
                    for listener in self.listeners.values():
                        self._listen(listener)
                    task_status.started()
                    await anyio.sleep_forever()
        finally:
            self.tasks = None
            for listener in self.listeners.values():
                listener.close()
            for connection in list(self.established):
                connection.abort()
            self.established.clear()

    def stop(self) -> None:
        """Stop as a killed process would: connections are reset, and new ones are refused."""
        self.scope.cancel()

    def set_fault(self, address: str, fault: str) -> None:
        """Switch a fault of one of the backend's addresses on, or off with an empty fault."""
        assert fault in FAULTS, fault
        listener = self.listeners[address]
        listener.close()
        listener.fault = fault
        if self.tasks is not None:
            self._listen(listener)

    def _listen(self, listener: AddressListener) -> None:
        listening = listener.open()
        if listening is not None:
            assert self.tasks is not None
            self.tasks.start_soon(self._accept, listener, listening)

    async def _accept(self, listener: AddressListener, listening: socket.socket) -> None:
        while listener.listener is listening:
            try:
                sock = await accept_connection(listening)
            except (anyio.ClosedResourceError, ValueError):  # this process has closed the listener
                return
            except OSError as error:
                if error.errno == errno.EBADF:
                    return
                await anyio.sleep(ACCEPT_RETRY_S)
                continue
            listener.accepted += 1
            sock.setblocking(False)
            assert self.tasks is not None
            self.tasks.start_soon(self._serve, listener, Transport(sock, self.limits, spawn_in(self.tasks)))

    async def _serve(self, listener: AddressListener, connection: Transport) -> None:
        request_ids: list[str] = []  # holds one id once the first line has arrived
        try:
            if listener.fault == "slow":
                await anyio.sleep(SLOW_READ_DELAY_S)
            await self._read_lines(listener, connection, request_ids)
        except OSError:
            pass
        finally:
            for request_id in request_ids:
                self.attempts.attempt_ended(int(request_id, 16), connection.sock)
            self.established.pop(connection, None)
            if listener.fault == "reset":
                connection.abort()
            else:
                connection.close()

    async def _read_lines(
        self, listener: AddressListener, connection: Transport, request_ids: list[str]
    ) -> None:
        """Answer lines until the peer ends the connection or an answer requires closing it."""
        buffer = b""
        while data := await connection.read():
            buffer += data
            while b"\n" in buffer:
                line, _, buffer = buffer.partition(b"\n")
                if not request_ids and line.startswith(b"OPEN "):
                    request_ids.append(line.split(b" ")[1].decode())
                    if not await self._first_line_arrived(listener, connection, request_ids[0]):
                        return
                elif not self._answer_line(listener, connection, line + b"\n", bool(request_ids)):
                    return

    async def _first_line_arrived(
        self, listener: AddressListener, connection: Transport, request_id: str
    ) -> bool:
        """Count the first line, and set the connection up unless a fault or a limit prevents it.

        Returns whether the connection is established.
        """
        listener.first_lines += 1
        self.deliveries[request_id] = self.deliveries.get(request_id, 0) + 1
        waited_ms = 1000 * SLOW_READ_DELAY_S if listener.fault == "slow" else 0.0
        number = int(request_id, 16)
        self.attempts.first_line_read(number, self.name, connection.sock, waited_ms)
        if listener.fault == "reset":
            return False
        if listener.fault == "stall":
            while await connection.read():  # data is discarded until the relay closes the connection
                pass
            return False
        connections = self.other_connections + len(self.established)
        if self.draining or connections >= HARD_LIMIT_FACTOR * self.current_capacity():
            self.attempts.attempt_ended(number, connection.sock)
            connection.write(b"BUSY\r\n")
            return False
        self.established[connection] = request_id
        if not await self._do_setup_work(connection):
            return False
        self.attempts.attempt_ended(number, connection.sock)
        return self._write_answer(connection, request_id)

    async def _do_setup_work(self, connection: Transport) -> bool:
        """Call the session store and do the backend's own work. Returns False if the relay has closed the
        connection.
        """
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as setup_tasks:
                setup_tasks.start_soon(self._cancel_when_closed, connection.sock, scope)
                await self.store.call()
                await anyio.sleep(self.rng.uniform(MIN_SETUP_S, MAX_SETUP_S))
                setup_tasks.cancel_scope.cancel()
        return not scope.cancelled_caught

    def _write_answer(self, connection: Transport, request_id: str) -> bool:
        """Answer UP with a load report, or ERR at the failure rate. Returns whether the answer is UP."""
        if self.rng.random() < self.failure_rate:
            connection.write(b"ERR\r\n")
            return False
        connection.write(f"UP {self.name}-{self.deliveries[request_id]}\r\n".encode())
        self.load_lines += 1
        connection.write(f"LOAD {self.rng.uniform(0.5, 2.0):.2f}\r\n".encode())
        return True

    @staticmethod
    async def _cancel_when_closed(sock: socket.socket, scope: anyio.CancelScope) -> None:
        """Cancel a set-up once the relay abandons the attempt by closing its connection."""
        while True:
            await anyio.wait_readable(sock)
            try:
                has_ended = not sock.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                continue
            except OSError:
                has_ended = True
            if has_ended:
                scope.cancel()
            return

    def _answer_line(
        self, listener: AddressListener, connection: Transport, line: bytes, is_established: bool
    ) -> bool:
        """Answer a line that is not a first line. Returns whether the connection stays open."""
        if is_established:
            connection.write(line)  # an established connection echoes every line
            return True
        if listener.fault in ("stall", "reset"):
            return listener.fault == "stall"
        if line.startswith(b"STATS"):
            self.load_probes += 1
            connections = self.other_connections + len(self.established)
            report = f"tps=1,concurrent={connections},x0={connections / self.current_capacity():.4f}"
            connection.write(f"PONG {report}\r\n".encode())
        elif line.startswith(b"PING"):
            connection.write(b"PONG\r\n")
        else:
            connection.write(b"SYNTAX\r\n")
            return False
        return True

    async def migrate_all(self, duration_s: float) -> None:
        """Drain: ask all clients to reconnect elsewhere, spread evenly over the duration."""
        self.draining = True
        migrated = list(self.established)
        for connection in migrated:
            connection.write(b"MOVE\r\n")
            connection.finish()
            await anyio.sleep(duration_s / len(migrated))
