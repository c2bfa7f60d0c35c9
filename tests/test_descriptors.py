"""Idle clients may take every descriptor that is theirs, and none that is kept: the watch on discovery, the
probes and the flows of true requests have theirs at once.
"""

from __future__ import annotations

import json
import os
import resource
import select
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.relay_harness import (
    SHORT_TIMES,
    RelayHarness,
    anyio_backend,  # noqa: F401
    established_client,
    listening_socket,
    run_scenario,
)

ROOT = Path(__file__).parent.parent
SOCKETS = 64
FEW = 30  # descriptors, of which four are for clients and flows: so the fourth client is one too many
LINE = r"OPEN %s 0b c=plain,d=2000\r\n"
LATE = 15.0  # seconds; only a failing test waits so long


# ---- in one loop with the relay


def watch_the_ledger(harness: RelayHarness) -> list[int]:
    """The most that clients and flows have held at once."""
    most = [0]
    add = harness.relay.runtime.descriptor_count.add

    def seen(count: int) -> None:
        add(count)
        most[0] = max(most[0], harness.relay.runtime.descriptor_count.open)

    harness.relay.runtime.descriptor_count.add = seen  # type: ignore[method-assign]
    return most


async def answered_and_sending(harness: RelayHarness) -> None:
    """Both have had their answer, and go on sending by more than is read at once."""
    for _ in range(2):
        bad = await harness.connect_client()
        bad.send("x" * 9000)
        await bad.expect("ERR")
        bad.sock.send(b"y" * 400_000)


async def with_requests_of_their_own(harness: RelayHarness) -> None:
    """Neither has been read yet, and both are one too many."""
    late = [await harness.connect_client() for _ in range(2)]
    await harness.wait_until(lambda: harness.relay.clients.open_count == 2)
    for n, client in enumerate(late):
        client.send(LINE % f"1{n}")


async def left_while_the_backend_goes_on(harness: RelayHarness) -> None:
    client, _ = await established_client(harness, "1a")
    client.finish()
    await harness.wait_until(lambda: not harness.relay.engine.requests)


@pytest.mark.anyio
@pytest.mark.parametrize(
    "others", [answered_and_sending, with_requests_of_their_own, left_while_the_backend_goes_on]
)
async def test_flows_take_nothing_that_is_kept(
    others: Callable[[RelayHarness], Any], capsys: pytest.CaptureFixture[str]
) -> None:
    async def play(harness: RelayHarness) -> None:
        most = watch_the_ledger(harness)
        mine = [await harness.connect_client() for _ in range(2)]
        await harness.wait_until(lambda: harness.relay.clients.open_count == 2)
        await others(harness)
        for n, client in enumerate(mine):  # in one turn
            client.send(LINE % f"0{n}")
        for _ in mine:
            server = await harness.accept_upstream()
            await server.expect("OPEN 0")
            server.send(r"UP r1\r\n")
        for client in mine:
            await client.expect("UP r1")
        assert (
            most[0] <= harness.relay.runtime.limits.client_sockets + 1
        )  # the one that is accepted to be told so

    await run_scenario(RelayHarness(SHORT_TIMES | {"sockets": FEW, "linger_us": 2_000_000}), play, capsys)


# ---- a process of its own


def address(at: tuple[str, int]) -> str:
    return f"{at[0]}:{at[1]}"


class RelayProcess:
    """One relay as a program, held to few descriptors, before a discovery that is down."""

    def __init__(self, folder: Path, told: int, allowed: int) -> None:
        self.backend, self.idle = listening_socket(), list[socket.socket]()
        self.discovery = socket.socket()
        self.discovery.bind(("127.0.0.1", 0))  # but does not listen: every call is refused
        self.at = ("127.0.0.1", RelayHarness.free_port())
        self.door = ("127.0.0.1", RelayHarness.free_port())
        host = {"host": "b1", "dial": address(self.backend.getsockname()), "health": "Ready"}
        config = {
            "name": "n0",
            "listen": address(self.at),
            "admin_addr": address(self.door),
            "discovery": address(self.discovery.getsockname()),
            "limits": {"sockets": told},
            "known": {"seq": 1, "hosts": [host]},
            "settings": {
                "categories": [{"name": "plain", "hard-limit-us": 2_000_000}],
                "registry-mode": "pushed",
                "limits": {"probes": True, "max-attempts": 2},
                "reporting": {"names": ["concurrent", "x0"], "source": "probe"},
            },
        }
        (folder / "config.json").write_text(json.dumps(config))
        self.folder, self.allowed = folder, allowed
        self.log = folder / "log"
        self.start()

    def start(self) -> None:
        """A new process with the same file, on the same addresses."""
        allowed = self.allowed, self.allowed
        with self.log.open("a") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "gannetweir", "serve"],
                cwd=ROOT,
                env={
                    **os.environ,
                    "RELAY_CONFIG": str(self.folder / "config.json"),
                    "TMPDIR": str(self.folder),
                },
                stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, allowed),
            )

    def client(self, say: bytes = b"") -> socket.socket:
        """One that has said so much and goes on waiting."""
        while True:
            try:
                sock = socket.create_connection(self.at, LATE)
                break
            except ConnectionRefusedError:
                assert self.process.poll() is None, self.log.read_text()
        sock.sendall(say)
        self.idle.append(sock)
        return sock

    def accepted(self, listener: socket.socket, wanted: bytes) -> socket.socket:
        """The next connection there that says this; probes are answered on the way."""
        end = time.monotonic() + LATE  # probes may come all the while
        while True:
            left = max(0.0, end - time.monotonic())
            assert select.select([listener], [], [], left)[0], f"nobody came: {self.log.read_text()}"
            sock = listener.accept()[0]
            sock.settimeout(LATE)
            said = sock.recv(4096)
            if said.startswith(wanted):
                return sock
            assert said in (b"STATS\r\n", b""), said
            sock.close()

    def served(self, ident: bytes) -> tuple[socket.socket, socket.socket]:
        client = self.client(b"OPEN " + ident + b" 0b c=plain,d=2000\r\n")
        server = self.accepted(self.backend, b"OPEN " + ident)
        server.sendall(b"UP r1\r\n")
        assert client.recv(100) == b"UP r1\r\n"
        return client, server

    def held(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def end(self) -> None:
        """What it has logged; a drain would only take its time."""
        self.process.kill()
        self.process.wait(LATE)
        for sock in (*self.idle, self.backend, self.discovery):
            sock.close()


@pytest.fixture(params=[(SOCKETS, SOCKETS), (1024, SOCKETS)], ids=["told", "not told"])
def fleet(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[RelayProcess]:
    fleet = RelayProcess(tmp_path, *request.param)
    yield fleet
    fleet.end()


def silent(fleet: RelayProcess) -> None:
    fleet.client()


def pinged(fleet: RelayProcess) -> None:
    fleet.client(b"PING\r\n").recv(100)


def mid_line(fleet: RelayProcess) -> None:
    fleet.client(b"OPEN 0a 0b c=pl")


def answered(fleet: RelayProcess) -> None:
    fleet.client(b"OPEN 0a 0b c=none,d=2000\r\n").recv(100)


def of_each_kind(fleet: RelayProcess) -> None:
    for kind in (silent, pinged, mid_line, answered):
        kind(fleet)


@pytest.mark.parametrize("kind", [silent, pinged, mid_line, answered, of_each_kind])
def test_the_watch_and_a_request_come_through_a_crowd(
    fleet: RelayProcess, kind: Callable[[RelayProcess], None]
) -> None:
    standing = fleet.served(b"01")
    for _ in range(2 * SOCKETS):
        kind(fleet)
    callers = [socket.create_connection(fleet.door, LATE) for _ in range(8)]
    fleet.discovery.listen()
    watch = fleet.accepted(fleet.discovery, b"GET /registry/instances?follow=1&since=1 ")
    for _ in range(SOCKETS):
        kind(fleet)
    fleet.served(b"02")
    standing[0].sendall(b"still here\r\n")
    assert standing[1].recv(100) == b"still here\r\n"
    assert fleet.held() <= SOCKETS
    for sock in (watch, *callers):
        sock.close()
    assert "Too many open files" not in fleet.log.read_text()


def test_the_watch_comes_through_served_clients_that_stay(fleet: RelayProcess) -> None:
    pairs = [fleet.served(b"%02x" % n) for n in range(19)]  # all that fit: each holds two descriptors
    fleet.client(b"OPEN ff 0b c=plain,d=2000\r\n")
    fleet.discovery.listen()
    watch = fleet.accepted(fleet.discovery, b"GET /registry/instances?follow=1&since=1 ")
    assert fleet.held() <= SOCKETS
    for sock in pairs.pop():
        sock.close()
    pairs.append(fleet.served(b"fe"))
    watch.close()
    assert "Too many open files" not in fleet.log.read_text()
