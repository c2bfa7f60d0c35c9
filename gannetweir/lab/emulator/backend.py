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
from gannetweir.lab.emulator.attempts import OpenAttempts
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


class Store:
    """The session store that all nodes share: so many calls a second, one after another."""

    def __init__(self, calls_per_s: float) -> None:
        self.gap_s, self.slow, self.free_s, self.calls = 1.0 / calls_per_s, 1.0, 0.0, 0

    async def call(self) -> None:
        """One set-up's call; it is worked off also if nobody waits for it any more."""
        now = anyio.current_time()
        self.calls += 1
        self.free_s = max(self.free_s, now) + self.gap_s * self.slow
        await anyio.sleep(self.free_s - now)


@dataclass(slots=True)
class Door:
    """One address that a node listens on, and what is wrong with it."""

    address: Address
    fault: str = ""
    listener: socket.socket | None = None
    filler: list[socket.socket] = field(default_factory=list)  # what fills the queue of a black hole
    accepted: int = 0
    delivered: int = 0  # first lines that came in whole


class PushNode:
    """One node. `attempts`, which a yard's nodes share, hears of every first line as the rules count it."""

    def __init__(
        self,
        name: str,
        addresses: list[Address],
        capacity: int,
        store: Store,
        attempts: OpenAttempts,
        rng: random.Random,
    ) -> None:
        self.name, self.capacity, self.store = name, capacity, store
        self.attempts, self.rng = attempts, rng
        self.doors = {str(address): Door(address) for address in addresses}
        self.held: dict[Transport, str] = {}
        self.limits = Limits()
        self.deliveries: dict[str, int] = {}  # by request, wherever they came in
        self.fails = 0.0
        self.base = 0  # connections that are reported beside those of the yard
        self.draining = False
        self.started_s = 0.0  # 0: long ago
        self.cold_from, self.warm_s = 0.12, 23.0
        self.probes = self.loads = 0
        self.tasks: anyio.abc.TaskGroup | None = None
        self.scope = anyio.CancelScope()

    def able(self) -> float:
        """Connections that it can hold now."""
        if not self.started_s:
            return float(self.capacity)
        warm = min(1.0, (anyio.current_time() - self.started_s) / self.warm_s)
        return self.capacity * (self.cold_from + (1.0 - self.cold_from) * warm)

    # ---- its life

    async def run(self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Listen on every address until it is stopped; a stop breaks every connection."""
        self.scope = anyio.CancelScope()
        try:
            with self.scope:
                async with anyio.create_task_group() as self.tasks:
                    for door in self.doors.values():
                        self._open(door)
                    task_status.started()
                    await anyio.sleep_forever()
        finally:
            self.tasks = None
            for door in self.doors.values():
                self._shut(door)
            for end in list(self.held):
                end.abort()
            self.held.clear()

    def stop(self) -> None:
        """As a process that is killed: connections are reset, new ones refused."""
        self.scope.cancel()

    def set_fault(self, address: str, fault: str) -> None:
        """Something is wrong with one of its addresses from now on, or is mended."""
        assert fault in FAULTS, fault
        door = self.doors[address]
        self._shut(door)
        door.fault = fault
        if self.tasks is not None:
            self._open(door)

    def _open(self, door: Door) -> None:
        if door.fault == "refuse":
            return
        at = door.address
        if at.family == UNIX:
            with suppress(FileNotFoundError):
                os.unlink(at.host)
            sock = socket.socket(socket.AF_UNIX)
            sock.bind(at.host)
        else:
            sock = socket.socket(socket.AF_INET6 if at.family == IPV6 else socket.AF_INET)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((at.host, at.port))
        sock.setblocking(False)
        door.listener = sock
        if door.fault == "hole":
            self._fill(door, sock)
            return
        sock.listen(1024)
        assert self.tasks is not None
        self.tasks.start_soon(self._accept, door, sock)

    @staticmethod
    def _fill(door: Door, sock: socket.socket) -> None:
        """A queue that is full and never emptied: a connect to it gets no answer, as to a black hole. A Unix
        socket has no such state; there a full queue refuses.
        """
        sock.listen(0)
        for _ in range(4):
            filler = socket.socket(sock.family)
            filler.setblocking(False)
            with suppress(BlockingIOError, OSError):
                filler.connect(sock.getsockname())
            door.filler.append(filler)

    @staticmethod
    def _shut(door: Door) -> None:
        if door.listener is not None:
            with suppress(anyio.ClosedResourceError, OSError):
                anyio.notify_closing(door.listener)
            door.listener.close()
            door.listener = None
            if door.address.family == UNIX:
                with suppress(FileNotFoundError):
                    os.unlink(door.address.host)
        for filler in door.filler:
            filler.close()
        door.filler.clear()

    async def _accept(self, door: Door, listener: socket.socket) -> None:
        while door.listener is listener:
            try:
                sock = await accept_connection(listener)
            except (anyio.ClosedResourceError, ValueError):  # shut here
                return
            except OSError as error:
                if error.errno == errno.EBADF:
                    return
                await anyio.sleep(0.01)
                continue
            door.accepted += 1
            sock.setblocking(False)
            assert self.tasks is not None
            self.tasks.start_soon(self._serve, door, Transport(sock, self.limits, spawn_in(self.tasks)))

    # ---- a connection

    async def _serve(self, door: Door, end: Transport) -> None:
        ident = ""
        try:
            if door.fault == "slow":
                await anyio.sleep(SLOW_S)
            buffer = b""
            while True:
                data = await end.read()
                if not data:
                    return
                buffer += data
                while b"\n" in buffer:
                    line, _, buffer = buffer.partition(b"\n")
                    if not ident and line.startswith(b"OPEN "):
                        ident = line.split(b" ")[1].decode()
                        if not await self._opened(door, end, ident):
                            return
                    elif not self._line(door, end, line + b"\n", bool(ident)):
                        return
        except OSError:
            pass
        finally:
            if ident:
                self.attempts.ended(int(ident, 16), end.sock)
            self.held.pop(end, None)
            (end.abort if door.fault == "reset" else end.close)()

    async def _opened(self, door: Door, end: Transport, ident: str) -> bool:
        """A first line is whole: this is the delivery that counts."""
        door.delivered += 1
        self.deliveries[ident] = self.deliveries.get(ident, 0) + 1
        waited_ms = 1000 * SLOW_S if door.fault == "slow" else 0.0
        self.attempts.arrived(int(ident, 16), self.name, end.sock, waited_ms)
        if door.fault == "reset":
            return False
        if door.fault == "stall":
            while await end.read():  # till the relay gives it up
                pass
            return False
        if self.draining or self.base + len(self.held) >= 1.6 * self.able():
            self.attempts.ended(int(ident, 16), end.sock)
            end.write(b"BUSY\r\n")
            return False
        self.held[end] = ident
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as both:
                both.start_soon(self._gone, end.sock, scope)
                await self.store.call()
                await anyio.sleep(self.rng.uniform(0.002, 0.006))
                both.cancel_scope.cancel()
        if scope.cancelled_caught:
            return False
        self.attempts.ended(int(ident, 16), end.sock)
        if self.rng.random() < self.fails:
            end.write(b"ERR\r\n")
            return False
        end.write(f"UP {self.name}-{self.deliveries[ident]}\r\n".encode())
        self.loads += 1
        end.write(f"LOAD {self.rng.uniform(0.5, 2.0):.2f}\r\n".encode())
        return True

    @staticmethod
    async def _gone(sock: socket.socket, scope: anyio.CancelScope) -> None:
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

    def _line(self, door: Door, end: Transport, line: bytes, up: bool) -> bool:
        if up:
            end.write(line)  # a sound connection returns a line at once
            return True
        if door.fault in ("stall", "reset"):
            return door.fault == "stall"
        if line.startswith(b"STATS"):
            self.probes += 1
            held = self.base + len(self.held)
            report = f"tps=1,concurrent={held},x0={held / self.able():.4f}"
            end.write(f"PONG {report}\r\n".encode())
        elif line.startswith(b"PING"):
            end.write(b"PONG\r\n")
        else:
            end.write(b"SYNTAX\r\n")
            return False
        return True

    async def move_all(self, over_s: float) -> None:
        """A drain sends its clients away bit by bit."""
        self.draining = True
        leaving = list(self.held)
        for end in leaving:
            end.write(b"MOVE\r\n")
            end.finish()
            await anyio.sleep(over_s / len(leaving))


def loopback(number: int, folder: str, families: tuple[str, ...]) -> list[Address]:
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
