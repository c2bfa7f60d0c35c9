"""A relay on loopback sockets, with a backend and a discovery of a few lines: what socket tests share."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import replace
from pathlib import Path

import anyio
import pytest

from gannetweir.config import Config, ConfigError, SocketAddress
from gannetweir.limits import Limits
from gannetweir.net.relay import Relay
from tests.helpers import settings
from tests.scenario import CLASSES

HEAD, BEAT = r"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", r"1\r\n\n\r\n"
BAD = -1  # the seed of a file that can't be read
SOON = 5.0  # only a failing test waits so long


class Peer:
    """One end of a connection: lines out, lines and ends in."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.buffer = sock, b""
        sock.setblocking(False)

    def send(self, raw: str) -> None:
        self.sock.send(raw.encode("latin1").decode("unicode_escape").encode("latin1"))

    async def expect(self, wanted: str) -> None:
        with anyio.fail_after(SOON):
            got = await self._next()
        assert got.startswith(wanted), f"wanted {wanted!r}, got {got!r}"

    async def _next(self) -> str:
        while b"\r\n" not in self.buffer:
            await anyio.wait_readable(self.sock)
            try:
                data = self.sock.recv(65536)
            except ConnectionResetError:
                return "reset"
            if not data:
                return "end"
            self.buffer += data
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line.decode()

    def finish(self) -> None:
        """End in good order, and go on listening."""
        self.sock.shutdown(socket.SHUT_WR)

    def close(self, reset: bool = False) -> None:
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.sock.close()


def told(version: int) -> str:
    """A chunk of the watch: nothing has changed but the version."""
    line = f'{{"seq":{version},"whole":false,"hosts":[]}}'
    return rf"{len(line) + 1:x}\r\n{line}\n\r\n"


def bound() -> socket.socket:
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen()
    sock.setblocking(False)
    return sock


class Place:
    """A relay with one backend and a discovery that answers nothing."""

    def __init__(self, shared: Path | None = None, **limits: int) -> None:
        self.backend, self.discovery, self.front = bound(), bound(), bound()
        at = self.front.getsockname()
        self.shared = shared
        if shared is None:
            self.front.close()  # the relay binds it itself; else every process inherits it
        host = {"host": "b1", "dial": f"127.0.0.1:{self.backend.getsockname()[1]}", "health": "Ready"}
        s = settings(
            classes=CLASSES,
            load_probes_enabled=False,
            load_report_source="none",
            polls_endpoint_list=True,
            max_attempts=2,
        )
        discovery = SocketAddress(*self.discovery.getsockname())
        known = {"seq": 1, "hosts": [host]}
        self.door = SocketAddress("127.0.0.1", self.free_port())
        self.file = Config("n0", SocketAddress(*at), discovery, 7, s, Limits(**limits), known, self.door)
        if shared is not None:
            self.file = replace(
                self.file, inherited_listener_fd=os.dup(self.front.fileno()), shared_folder=shared
            )
        self.relay = Relay(self.file, self.read_again)

    @staticmethod
    def free_port() -> int:
        with bound() as sock:
            return int(sock.getsockname()[1])

    async def call(self, line: str, answer: str, door: SocketAddress | None = None) -> None:
        at = door or self.door
        await self.client()  # it listens by now
        caller = Peer(socket.create_connection((at.host, at.port)))
        caller.send(line)
        with anyio.fail_after(1.0):
            await caller.expect(answer)
            await caller.expect("end")

    def read_again(self, _standing: Config) -> Config:
        if self.file.seed == BAD:
            raise ConfigError("seed: 'xyz' is not hexadecimal")
        return self.file

    def hup(self, **changes: object) -> None:
        self.file = replace(self.file, **changes)  # type: ignore[arg-type]
        os.kill(os.getpid(), signal.SIGHUP)

    async def watcher(self, discovery: socket.socket, since: int) -> Peer:
        with anyio.fail_after(SOON):
            await anyio.wait_readable(discovery)
        peer = Peer(discovery.accept()[0])
        for line in (f"GET /registry/instances?follow=1&since={since} HTTP/1.1", "Host:", ""):
            await peer.expect(line)
        return peer

    async def until(self, done: Callable[[], bool]) -> None:
        with anyio.fail_after(SOON):
            while not done():
                await anyio.sleep(0.005)

    async def client(self) -> Peer:
        at = self.relay.runtime.config.listen_address
        for _ in range(200):
            with contextlib.suppress(ConnectionRefusedError):
                return Peer(socket.create_connection((at.host, at.port)))
            await anyio.sleep(0.005)
        raise AssertionError("the relay does not listen")

    async def accept(self) -> Peer:
        with anyio.fail_after(SOON):
            await anyio.wait_readable(self.backend)
        return Peer(self.backend.accept()[0])


Play = Callable[[Place], Awaitable[None]]


async def served(place: Place, ident: str = "0a") -> tuple[Peer, Peer]:
    client = await place.client()
    client.send(rf"OPEN {ident} 0b c=plain,d=2000\r\n")
    server = await place.accept()
    await server.expect(f"OPEN {ident} 0b c=plain,d=500")
    server.send(r"UP r1\r\n")
    await client.expect("UP r1")
    return client, server


@pytest.fixture(params=["asyncio"])
def anyio_backend(request: pytest.FixtureRequest) -> Iterator[str]:
    yield request.param


QUICK = {"drain_grace_us": 20_000, "drain_migration_us": 0, "drain_end_us": 300_000, "linger_us": 50_000}


async def played(place: Place, play: Play, capsys: pytest.CaptureFixture[str], lines: int = 1) -> None:
    """Run the relay, play, and see it drain and exit by itself with nothing left over."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(place.relay.run)
        await play(place)
        place.relay.runtime.run_engine_call(place.relay.engine.drain)
    printed = capsys.readouterr().err
    assert "Traceback" not in printed
    assert printed.count('"pool_version":') == lines
    assert place.relay.clients.open_count == 0 and not place.relay.engine.requests
    assert not place.relay.engine.counters.counts["driver_faults"]
    assert not place.relay.engine.guard.violations, printed
