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

from tests.place import (
    QUICK,
    Place,
    anyio_backend,  # noqa: F401
    bound,
    played,
    served,
)

ROOT = Path(__file__).parent.parent
SOCKETS = 64
FEW = 30  # descriptors, of which four are for clients and flows: so the fourth client is one too many
LINE = r"OPEN %s 0b c=plain,d=2000\r\n"
LATE = 15.0  # seconds; only a failing test waits so long


# ---- in one loop with the relay


def watch_the_ledger(place: Place) -> list[int]:
    """The most that clients and flows have held at once."""
    most = [0]
    add = place.relay.runtime.descriptor_count.add

    def seen(count: int) -> None:
        add(count)
        most[0] = max(most[0], place.relay.runtime.descriptor_count.open)

    place.relay.runtime.descriptor_count.add = seen  # type: ignore[method-assign]
    return most


async def answered_and_sending(place: Place) -> None:
    """Both have had their answer, and go on sending by more than is read at once."""
    for _ in range(2):
        bad = await place.client()
        bad.send("x" * 9000)
        await bad.expect("ERR")
        bad.sock.send(b"y" * 400_000)


async def with_requests_of_their_own(place: Place) -> None:
    """Neither has been read yet, and both are one too many."""
    late = [await place.client() for _ in range(2)]
    await place.until(lambda: place.relay.clients.open_count == 2)
    for n, client in enumerate(late):
        client.send(LINE % f"1{n}")


async def left_while_the_backend_goes_on(place: Place) -> None:
    client, _ = await served(place, "1a")
    client.finish()
    await place.until(lambda: not place.relay.engine.requests)


@pytest.mark.anyio
@pytest.mark.parametrize(
    "others", [answered_and_sending, with_requests_of_their_own, left_while_the_backend_goes_on]
)
async def test_flows_take_nothing_that_is_kept(
    others: Callable[[Place], Any], capsys: pytest.CaptureFixture[str]
) -> None:
    async def play(place: Place) -> None:
        most = watch_the_ledger(place)
        mine = [await place.client() for _ in range(2)]
        await place.until(lambda: place.relay.clients.open_count == 2)
        await others(place)
        for n, client in enumerate(mine):  # in one turn
            client.send(LINE % f"0{n}")
        for _ in mine:
            server = await place.accept()
            await server.expect("OPEN 0")
            server.send(r"UP r1\r\n")
        for client in mine:
            await client.expect("UP r1")
        assert (
            most[0] <= place.relay.runtime.limits.client_sockets + 1
        )  # the one that is accepted to be told so

    await played(Place(**QUICK | {"sockets": FEW, "linger_us": 2_000_000}), play, capsys)


# ---- a process of its own


def address(at: tuple[str, int]) -> str:
    return f"{at[0]}:{at[1]}"


class Fleet:
    """One relay as a program, held to few descriptors, before a discovery that is down."""

    def __init__(self, folder: Path, told: int, allowed: int) -> None:
        self.backend, self.idle = bound(), list[socket.socket]()
        self.discovery = socket.socket()
        self.discovery.bind(("127.0.0.1", 0))  # but does not listen: every call is refused
        self.at = ("127.0.0.1", Place.free_port())
        self.door = ("127.0.0.1", Place.free_port())
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
def fleet(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[Fleet]:
    fleet = Fleet(tmp_path, *request.param)
    yield fleet
    fleet.end()


def silent(fleet: Fleet) -> None:
    fleet.client()


def pinged(fleet: Fleet) -> None:
    fleet.client(b"PING\r\n").recv(100)


def mid_line(fleet: Fleet) -> None:
    fleet.client(b"OPEN 0a 0b c=pl")


def answered(fleet: Fleet) -> None:
    fleet.client(b"OPEN 0a 0b c=none,d=2000\r\n").recv(100)


def of_each_kind(fleet: Fleet) -> None:
    for kind in (silent, pinged, mid_line, answered):
        kind(fleet)


@pytest.mark.parametrize("kind", [silent, pinged, mid_line, answered, of_each_kind])
def test_the_watch_and_a_request_come_through_a_crowd(fleet: Fleet, kind: Callable[[Fleet], None]) -> None:
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


def test_the_watch_comes_through_served_clients_that_stay(fleet: Fleet) -> None:
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
