"""A stand-in push node on real sockets: the protocol's lines, probes, loads, cold start, caps, drains, and
faults for each of its addresses. One node may listen on IPv4, IPv6 and a Unix socket at once.
"""

from __future__ import annotations

import errno
import os
import random
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import anyio
import anyio.abc

from gannetweir.addresses.address import IPV6, UNIX, Address, parse_address
from gannetweir.lab.emulator.attempts import AttemptOverlaps
from gannetweir.limits import Limits
from gannetweir.net.sockets import accept_connection
from gannetweir.net.transport import Spawn, Transport

FAULTS = ("", "refuse", "hole", "stall", "reset", "slow")
SLOW_S = 0.15  # a slow address reads nothing for so long


def spawn_in(tasks: anyio.abc.TaskGroup) -> Spawn:
    """How an endpoint starts what it has to do beside its owner."""

    async def run_it(run: Callable[[], Awaitable[Any]]) -> None:
        await run()

    def spawn(run: Callable[[], Awaitable[Any]]) -> None:
        tasks.start_soon(run_it, run)

    return spawn


class EmulatedSessionStore:
    """The session store that all nodes share: so many calls a second, one after another."""

    def __init__(self, calls_per_s: float) -> None:
        self.call_interval_s, self.slowdown, self.idle_from_s, self.calls = 1.0 / calls_per_s, 1.0, 0.0, 0

    async def call(self) -> None:
        """One set-up's call; it is worked off also if nobody waits for it any more."""
        now = anyio.current_time()
        self.calls += 1
        self.idle_from_s = max(self.idle_from_s, now) + self.call_interval_s * self.slowdown
        await anyio.sleep(self.idle_from_s - now)


@dataclass(slots=True)
class AddressListener:
    """One address that a node listens on, and what is wrong with it."""

    address: Address
    fault: str = ""
    listener: socket.socket | None = None
    queue_fillers: list[socket.socket] = field(default_factory=list)  # what fills the queue of a black hole
    accepted: int = 0
    first_lines: int = 0  # first lines that came in whole


class EmulatedBackend:
    """One backend. `attempts`, which all backends share, is told of every first line."""

    def __init__(
        self,
        name: str,
        addresses: list[Address],
        capacity: int,
        store: EmulatedSessionStore,
        attempts: AttemptOverlaps,
        rng: random.Random,
    ) -> None:
        self.name, self.capacity, self.store = name, capacity, store
        self.attempts, self.rng = attempts, rng
        self.listeners = {str(address): AddressListener(address) for address in addresses}
        self.established: dict[Transport, str] = {}
        self.limits = Limits()
        self.deliveries: dict[str, int] = {}  # by request, wherever they came in
        self.failure_rate = 0.0
        self.other_connections = 0  # connections that are reported beside those of the emulator
        self.draining = False
        self.started_s = 0.0  # 0: long ago
        self.slow_start_min_share, self.slow_start_window_s = 0.12, 23.0
        self.load_probes = self.load_lines = 0
        self.tasks: anyio.abc.TaskGroup | None = None
        self.scope = anyio.CancelScope()

    def current_capacity(self) -> float:
        """Connections that it can hold now."""
        if not self.started_s:
            return float(self.capacity)
        warmed_share = min(1.0, (anyio.current_time() - self.started_s) / self.slow_start_window_s)
        return self.capacity * (self.slow_start_min_share + (1.0 - self.slow_start_min_share) * warmed_share)

    # ---- its life

    async def run(self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Listen on every address until it is stopped; a stop breaks every connection."""
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
                self._stop_listening(listener)
            for connection in list(self.established):
                connection.abort()
            self.established.clear()

    def stop(self) -> None:
        """As a process that is killed: connections are reset, new ones refused."""
        self.scope.cancel()

    def set_fault(self, address: str, fault: str) -> None:
        """Something is wrong with one of its addresses from now on, or is mended."""
        assert fault in FAULTS, fault
        listener = self.listeners[address]
        self._stop_listening(listener)
        listener.fault = fault
        if self.tasks is not None:
            self._listen(listener)

    def _listen(self, listener: AddressListener) -> None:
        if listener.fault == "refuse":
            return
        address = listener.address
        if address.family == UNIX:
            with suppress(FileNotFoundError):
                os.unlink(address.host)
            sock = socket.socket(socket.AF_UNIX)
            sock.bind(address.host)
        else:
            sock = socket.socket(socket.AF_INET6 if address.family == IPV6 else socket.AF_INET)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((address.host, address.port))
        sock.setblocking(False)
        listener.listener = sock
        if listener.fault == "hole":
            self._fill_accept_queue(listener, sock)
            return
        sock.listen(1024)
        assert self.tasks is not None
        self.tasks.start_soon(self._accept, listener, sock)

    @staticmethod
    def _fill_accept_queue(listener: AddressListener, sock: socket.socket) -> None:
        """A queue that is full and never emptied: a connect to it gets no answer, as to a black hole. A Unix
        socket has no such state; there a full queue refuses.
        """
        sock.listen(0)
        for _ in range(4):
            filler = socket.socket(sock.family)
            filler.setblocking(False)
            with suppress(BlockingIOError, OSError):
                filler.connect(sock.getsockname())
            listener.queue_fillers.append(filler)

    @staticmethod
    def _stop_listening(listener: AddressListener) -> None:
        if listener.listener is not None:
            with suppress(anyio.ClosedResourceError, OSError):
                anyio.notify_closing(listener.listener)
            listener.listener.close()
            listener.listener = None
            if listener.address.family == UNIX:
                with suppress(FileNotFoundError):
                    os.unlink(listener.address.host)
        for filler in listener.queue_fillers:
            filler.close()
        listener.queue_fillers.clear()

    async def _accept(self, listener: AddressListener, listening: socket.socket) -> None:
        while listener.listener is listening:
            try:
                sock = await accept_connection(listening)
            except (anyio.ClosedResourceError, ValueError):  # shut here
                return
            except OSError as error:
                if error.errno == errno.EBADF:
                    return
                await anyio.sleep(0.01)
                continue
            listener.accepted += 1
            sock.setblocking(False)
            assert self.tasks is not None
            self.tasks.start_soon(self._serve, listener, Transport(sock, self.limits, spawn_in(self.tasks)))

    # ---- a connection

    async def _serve(self, listener: AddressListener, connection: Transport) -> None:
        request_id = ""
        try:
            if listener.fault == "slow":
                await anyio.sleep(SLOW_S)
            buffer = b""
            while True:
                data = await connection.read()
                if not data:
                    return
                buffer += data
                while b"\n" in buffer:
                    line, _, buffer = buffer.partition(b"\n")
                    if not request_id and line.startswith(b"OPEN "):
                        request_id = line.split(b" ")[1].decode()
                        if not await self._set_up(listener, connection, request_id):
                            return
                    elif not self._answer_line(listener, connection, line + b"\n", bool(request_id)):
                        return
        except OSError:
            pass
        finally:
            if request_id:
                self.attempts.attempt_ended(int(request_id, 16), connection.sock)
            self.established.pop(connection, None)
            (connection.abort if listener.fault == "reset" else connection.close)()

    async def _set_up(self, listener: AddressListener, connection: Transport, request_id: str) -> bool:
        """A first line is whole: this is the delivery that counts."""
        listener.first_lines += 1
        self.deliveries[request_id] = self.deliveries.get(request_id, 0) + 1
        waited_ms = 1000 * SLOW_S if listener.fault == "slow" else 0.0
        self.attempts.first_line_read(int(request_id, 16), self.name, connection.sock, waited_ms)
        if listener.fault == "reset":
            return False
        if listener.fault == "stall":
            while await connection.read():  # till the relay gives it up
                pass
            return False
        if self.draining or self.other_connections + len(self.established) >= 1.6 * self.current_capacity():
            self.attempts.attempt_ended(int(request_id, 16), connection.sock)
            connection.write(b"BUSY\r\n")
            return False
        self.established[connection] = request_id
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as setup_tasks:
                setup_tasks.start_soon(self._cancel_when_closed, connection.sock, scope)
                await self.store.call()
                await anyio.sleep(self.rng.uniform(0.002, 0.006))
                setup_tasks.cancel_scope.cancel()
        if scope.cancelled_caught:
            return False
        self.attempts.attempt_ended(int(request_id, 16), connection.sock)
        if self.rng.random() < self.failure_rate:
            connection.write(b"ERR\r\n")
            return False
        connection.write(f"UP {self.name}-{self.deliveries[request_id]}\r\n".encode())
        self.load_lines += 1
        connection.write(f"LOAD {self.rng.uniform(0.5, 2.0):.2f}\r\n".encode())
        return True

    @staticmethod
    async def _cancel_when_closed(sock: socket.socket, scope: anyio.CancelScope) -> None:
        """The relay gives an attempt up by closing it: a set-up that nobody waits for ends."""
        while True:
            await anyio.wait_readable(sock)
            try:
                if not sock.recv(1, socket.MSG_PEEK):
                    scope.cancel()
                return
            except BlockingIOError:
                continue
            except OSError:
                scope.cancel()
                return

    def _answer_line(
        self, listener: AddressListener, connection: Transport, line: bytes, is_established: bool
    ) -> bool:
        if is_established:
            connection.write(line)  # a sound connection returns a line at once
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
        """A drain sends its clients away bit by bit."""
        self.draining = True
        migrated = list(self.established)
        for connection in migrated:
            connection.write(b"MOVE\r\n")
            connection.finish()
            await anyio.sleep(duration_s / len(migrated))


def loopback_addresses(number: int, folder: str, families: tuple[str, ...]) -> list[Address]:
    """Addresses of a node, on ports that are free now."""

    def free(family: socket.AddressFamily, host: str) -> int:
        with socket.socket(family) as probe:
            probe.bind((host, 0))
            return int(probe.getsockname()[1])

    texts = {
        "ipv4": lambda: f"127.0.0.1:{free(socket.AF_INET, '127.0.0.1')}",
        "ipv6": lambda: f"[::1]:{free(socket.AF_INET6, '::1')}",
        "unix": lambda: f"unix:{folder}/b{number}.sock",
    }
    return [parse_address(texts[family]()) for family in families]
