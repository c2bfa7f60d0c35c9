"""Stand-ins for the cases of the second review: discovery, backends, clients, and relays as processes.

They follow the protocol page. Where it is silent they behave like a sound server, client or platform. All of
them run in the process of the case, on loopback addresses; a relay is a process of its own, started with the
command of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HEARTBEAT_S = 2.0
CLIENT_LINE_S = 2.0
CASE_S = 110.0  # a case may take 120 s in all
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
SMALL_RELAY = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}


def trouble_is_on() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def reserve_port() -> socket.socket:
    """Return a socket that keeps a free port: bound, but not listening, so that a relay may bind it, too."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, 0))
    return sock


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to `record.txt`, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        """Open the file anew."""
        self.file = path.open("w", encoding="utf-8")
        self.start_s = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.start_s

    def __call__(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now():9.4f} {text}\n")
        self.file.flush()


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Discovery:
    """One discovery service, or the agents of all relays where lists are pushed. `change` tells a change."""

    def __init__(self, record: Record) -> None:
        """Start with an empty list."""
        self.record = record
        self.seq = 1
        self.hosts: dict[str, dict[str, Any]] = {}
        self.history: list[tuple[int, dict[str, Any]]] = []
        # When a host's health was first written to a relay, by host and health.
        self.told_s: dict[tuple[str, str], float] = {}
        self.delay_s = 0.0  # before a call is answered
        self.is_silent = False  # nothing is written, neither to open watches nor to new calls
        self.changed = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Go down as a killed process: calls are refused, watches are reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)

    def put(self, host: str, **fields: object) -> None:
        """Add a host, or change some of its fields."""
        self.seq += 1
        entry = {"host": host, "dial": "", "site": "a", "class": "m", "block": 0, "health": "Ready"}
        self.hosts[host] = entry | {"share": 1.0, "born_ms": 0} | self.hosts.get(host, {}) | fields
        self.history.append((self.seq, self.hosts[host]))
        self.record(f"discovery has {host} {self.hosts[host]['health']}")
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def listed(self) -> list[dict[str, Any]]:
        """Return the hosts of the whole list."""
        return [entry for entry in self.hosts.values() if entry["health"] != "Gone"]

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"seq": self.seq, "whole": True, "hosts": self.listed()}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ", 2)[1].decode()
            self.record(f"discovery is asked {target}")
            await asyncio.sleep(self.delay_s)
            while self.is_silent:
                await asyncio.sleep(0.01)
            if "follow=1" in target:
                await self._watch(writer, int(target.rpartition("since=")[2] or 0))
            else:
                body = json.dumps(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _watch(self, writer: asyncio.StreamWriter, since: int) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        sent = self.seq
        if 0 < since <= sent:
            hosts = [entry for seq, entry in self.history if seq > since]
            self._write(writer, {"seq": sent, "whole": False, "hosts": hosts})
        else:
            self._write(writer, self.whole())
        while not writer.is_closing():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), HEARTBEAT_S)
            while self.is_silent:
                await asyncio.sleep(0.01)
            hosts = [entry for seq, entry in self.history if seq > sent]
            sent = self.seq
            if hosts:
                self._write(writer, {"seq": sent, "whole": False, "hosts": hosts})
            else:
                writer.write(b"1\r\n\n\r\n")
            await writer.drain()

    def _write(self, writer: asyncio.StreamWriter, update: dict[str, Any]) -> None:
        body = json.dumps(update).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(body), body))
        for entry in update["hosts"]:
            self.told_s.setdefault((entry["host"], entry["health"]), self.record.now())
        hosts = ", ".join(f"{entry['host']} {entry['health']}" for entry in update["hosts"])
        self.record(f"discovery writes seq {update['seq']} whole {update['whole']}: {hosts}")


class Backend:
    """One backend: takes connections, echoes lines, answers probes where the settings permit them."""

    def __init__(self, record: Record, name: str, *, probes: bool = True, setup_s: float = 0.005) -> None:
        """Prepare the backend; `start` listens."""
        self.record, self.name, self.probes, self.setup_s = record, name, probes, setup_s
        self.server: asyncio.Server | None = None
        self.port = 0
        self.is_draining = False
        self.hangs = False
        self.first_lines: list[tuple[float, str]] = []  # time and request id of every OPEN line
        self.probe_lines: list[tuple[float, str]] = []
        self.open: dict[asyncio.StreamWriter, str] = {}
        self.capacity = 20.0

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def dial(self) -> str:
        """Return the address that discovery tells."""
        return f"{HOST}:{self.port}"

    def stop(self) -> None:
        """End as a killed process: connections are reset, new ones are refused."""
        self.record(f"{self.name} stops")
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.open):
            reset(writer)
        self.open.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request_id = ""
        try:
            while line := await reader.readline():
                while self.hangs:
                    await asyncio.sleep(0.01)
                if request_id:
                    writer.write(line)
                elif line.startswith(b"OPEN "):
                    request_id = line.split(b" ")[1].decode()
                    if not await self._open(writer, request_id, line):
                        return
                elif line.split(b"\r")[0] in (b"STATS", b"PING"):
                    self._answer_probe(writer, line.decode().strip())
                else:
                    self.record(f"{self.name} is sent a line that nobody sends: {line!r}")
                    writer.write(b"SYNTAX\r\n")
                    return
                await writer.drain()
        except OSError:
            pass
        finally:
            self.open.pop(writer, None)
            writer.close()

    def _answer_probe(self, writer: asyncio.StreamWriter, word: str) -> None:
        self.probe_lines.append((self.record.now(), word))
        if not self.probes:
            self.record(f"{self.name} is sent {word}, answers NO")
            writer.write(b"NO\r\n")
            return
        count = len(self.open)
        figures = f" qps=1,inflight={count},x0={count / self.capacity:.4f}" if word == "STATS" else ""
        writer.write(f"PONG{figures}\r\n".encode())

    async def _open(self, writer: asyncio.StreamWriter, request_id: str, line: bytes) -> bool:
        self.first_lines.append((self.record.now(), request_id))
        self.record(f"{self.name} is sent {line.decode().strip()}")
        if self.is_draining:
            self.record(f"{self.name} answers {request_id} BUSY")
            writer.write(b"BUSY\r\n")
            await writer.drain()
            return False
        await asyncio.sleep(self.setup_s)
        self.open[writer] = request_id
        self.record(f"{self.name} answers {request_id} UP")
        writer.write(f"UP {self.name}-{request_id}\r\n".encode())
        return True

    def drain_one(self) -> bool:
        """Send one client away with MOVE. Return whether there was one."""
        for writer in list(self.open):
            request_id = self.open.pop(writer)
            self.record(f"{self.name} moves {request_id}")
            writer.write(b"MOVE\r\n")
            writer.close()
            return True
        return False


class Client:
    """One client's try: the first line, the answer, then a line every 2 s until the end."""

    count = 0

    def __init__(self, record: Record, port: int, class_name: str, deadline_ms: int, more: str = "") -> None:
        """Prepare the try; `more` are further fields of the first line, with their leading commas."""
        Client.count += 1
        self.record, self.port, self.deadline_ms = record, port, deadline_ms
        self.id = f"{os.getpid():08x}{Client.count:08x}"
        self.line = f"OPEN {self.id} {Client.count:x} c={class_name},d={deadline_ms}{more}"
        self.sent_s = 0.0
        self.answer = ""  # the relay's answer; `end` if it ended the connection without one
        self.answered_s = 0.0
        self.moved = False
        self.end = ""  # how the established connection ended
        self.end_s = 0.0
        self.written: list[tuple[float, bytes]] = []
        self.heard: list[tuple[float, bytes]] = []
        self.writer: asyncio.StreamWriter | None = None

    async def run(self, life_s: float = 60.0) -> None:
        """Play the client until the connection ends or its life is over."""
        try:
            reader, self.writer = await asyncio.open_connection(HOST, self.port)
        except OSError as error:
            self.answer = f"refused ({error.strerror})"
            self.record(f"client {self.id} cannot connect: {self.answer}")
            return
        try:
            self.sent_s = self.record.now()
            self.record(f"client {self.id} sends {self.line}")
            self.writer.write(self.line.encode() + b"\r\n")
            await self._await_answer(reader)
            if self.answer.startswith("UP "):
                await self._talk(reader, life_s)
        finally:
            self.writer.close()

    async def _await_answer(self, reader: asyncio.StreamReader) -> None:
        try:
            line = await asyncio.wait_for(reader.readline(), self.deadline_ms / 1000 + 5.0)
        except TimeoutError:
            self.answer = "nothing"
        except OSError as error:
            self.answer = f"end ({error.strerror})"
        else:
            self.answer = line.decode().strip() or "end"
        self.answered_s = self.record.now()
        self.record(f"client {self.id} is answered {self.answer} after {self.answered_s - self.sent_s:.3f} s")

    async def _talk(self, reader: asyncio.StreamReader, life_s: float) -> None:
        assert self.writer is not None
        talker = asyncio.create_task(self._write_lines())
        try:
            async with asyncio.timeout(life_s):
                while line := await reader.readline():
                    self.heard.append((self.record.now(), line))
                    if line == b"MOVE\r\n":
                        self.moved = True
                self.end = "ended"
        except TimeoutError:
            self.end = "left"
        except OSError as error:
            self.end = f"reset ({error.strerror})"
        finally:
            talker.cancel()
        self.end_s = self.record.now()
        self.record(f"client {self.id} {self.end}{' after MOVE' if self.moved else ''}")

    async def _write_lines(self) -> None:
        assert self.writer is not None
        number = 0
        while True:
            await asyncio.sleep(CLIENT_LINE_S)
            number += 1
            line = f"line {number} of {self.id}\r\n".encode()
            self.written.append((self.record.now(), line))
            self.writer.write(line)


class Relay:
    """One relay as a process, started with the command of the deploy file from the root."""

    def __init__(self, record: Record, folder: Path, name: str, config: dict[str, Any]) -> None:
        """Prepare the relay; `config` lacks only its name and its address."""
        self.record, self.name = record, name
        self.folder = folder / name
        self.folder.mkdir()
        self.reserved = (
            reserve_port()
        )  # kept, so that nobody else gets the port, also while the relay is down
        self.port = int(self.reserved.getsockname()[1])
        self.config = {"name": name, "listen": f"{HOST}:{self.port}", "limits": SMALL_RELAY} | config
        self.process: subprocess.Popen[bytes] | None = None
        self.environment: dict[str, str] = {}
        self.pass_fds: tuple[int, ...] = ()

    def write_config(self) -> None:
        """Put the configuration in place as a whole."""
        part = self.folder / "config.part"
        part.write_text(json.dumps(self.config), encoding="utf-8")
        part.rename(self.folder / "config.json")

    def start(self, command_key: str = "run") -> None:
        """Start the process."""
        self.write_config()
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = {
            "PATH": os.environ["PATH"],
            "TMPDIR": str(temporary),
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": self.config["listen"],
            "RELAY_DISCOVERY": self.config["discovery"],
            "RELAY_CONFIG": str(self.folder / "config.json"),
        } | self.environment
        with (self.folder / "log.txt").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy[command_key]],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=self.pass_fds,
            )
        self.record(f"relay {self.name} starts")

    async def wait_ready(self, timeout_s: float = 30.0) -> None:
        """Do as the front does: admit the relay once it has answered PING with PONG."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"PING\r\n")
                answer = await reader.readline()
                writer.close()
                if answer == b"PONG\r\n":
                    self.record(f"relay {self.name} is ready")
                    return
            await asyncio.sleep(0.02)
        raise CaseError(f"relay {self.name} was not ready in time")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.record(f"relay {self.name} is sent {number.name}")
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            self.process.wait()
            self.process = None

    def log(self) -> str:
        """Return what the process has written."""
        return (self.folder / "log.txt").read_text(encoding="utf-8", errors="replace")


def request_class(name: str, deadline_ms: int, **fields: object) -> dict[str, Any]:
    """Return a class of requests as the settings state it."""
    stated: dict[str, Any] = {
        "name": name,
        "aim-us": 500_000,
        "hard-limit-us": deadline_ms * 1000,
        "idempotency": "repeatable",
        "dedup-scope": "all",
        "window-us": 5_000_000,
        "importance": 1.0,
        "late-worth": 0.0,
        "stream": True,
    }
    return stated | fields


def settings(**fields: object) -> dict[str, Any]:
    """Return settings like those of a small deployment."""
    stated: dict[str, Any] = {
        "categories": [request_class("zone-view", 2000), request_class("rider-area", 3000)],
        "client-habits": {"marks-retry": True},
        "contract": {
            "answer-slack-us": 20_000,
            "ask-within-us": 10_000_000,
            "cold-from": 0.12,
            "fall-multiple": 4.0,
            "stop-sending-within-us": 500_000,
            "tip-after-us": 1_500_000,
            "warm-within-us": 23_000_000,
        },
        "family-info": {
            "groups": True,
            "message-aim-us": [100_000.0, 60_000.0],
            "mode": "proxy",
            "tells-delay": True,
            "tells-load": True,
        },
        "fees": {"cross-zone": 0.16, "probe": 0.002, "moves": 0.017},
        "fleet-size": 1,
        "kinds": ["m"],
        "limits": {
            "cancel": True,
            "connect-timeout-us": 250_000,
            "max-attempts": 6,
            "max-retry-after-us": 1_500_000,
            "may-duplicate": False,
            "peers": False,
            "probes": True,
            "retry-after": False,
        },
        "rank": 0,
        "registry-mode": "on_request",
        "reporting": {"names": ["tps", "concurrent", "x0"], "source": "probe"},
        "service-type": "conn",
        "tiers": ["zone-push"],
        "weight-source": "rough",
        "zone": 0,
        "zones": ["a", "b"],
    }
    return stated | fields


class Fleet:
    """The relays, backends and clients of a case. Leaving the context ends all of them."""

    def __init__(self, record: Record, folder: Path) -> None:
        """Start with nothing."""
        self.record, self.folder = record, folder
        self.backends: list[Backend] = []
        self.relays: list[Relay] = []
        self.clients: list[Client] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Fleet:
        """Do nothing: the parts are started one by one."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """Write the relays' logs to the record and end everything."""
        for relay in self.relays:
            self.record(f"log of {relay.name}: {relay.log()!r}")
            relay.kill()
        for task in self.tasks:
            task.cancel()
        for backend in self.backends:
            backend.stop()

    async def add_backend(
        self, name: str, *discoveries: Discovery, probes: bool = True, **fields: object
    ) -> None:
        """Start a backend, and add it to the lists of these discoveries."""
        backend = Backend(self.record, name, probes=probes)
        await backend.start()
        self.backends.append(backend)
        for discovery in discoveries:
            discovery.put(name, dial=backend.dial, **fields)

    async def start_relays(self, configs: list[dict[str, Any]]) -> None:
        """Start a relay with each of these configurations, and wait until all are ready."""
        for number, config in enumerate(configs):
            relay = Relay(self.record, self.folder, f"n{number}", config)
            self.relays.append(relay)
            relay.start()
        await asyncio.gather(*(relay.wait_ready() for relay in self.relays))

    async def send_clients(
        self, count: int, interval_s: float, life_s: float, class_name: str = "zone-view"
    ) -> None:
        """Send clients at a steady rate, each to the next relay, with a group of its own."""
        for _ in range(count):
            number = len(self.clients)
            relay = self.relays[number % len(self.relays)]
            client = Client(self.record, relay.port, class_name, 2000, f",g={number * 7919 + 1:x}")
            self.clients.append(client)
            self.tasks.append(asyncio.create_task(client.run(life_s)))
            await asyncio.sleep(interval_s)


async def _play(case: Callable[[Record, Path], Awaitable[int]], record: Record, folder: Path) -> int:
    """Play a case within the time that it may take, and end what it started also at SIGTERM."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        async with asyncio.timeout(CASE_S):
            return await case(record, folder)
    except TimeoutError:
        raise CaseError("it took too long") from None
    except asyncio.CancelledError:
        raise CaseError("it was ended") from None


def run_case(case: Callable[[Record, Path], Awaitable[int]], folder: Path) -> int:
    """Play a case in a temporary folder. Return its exit code."""
    record = Record(folder / "record.txt")
    try:
        with tempfile.TemporaryDirectory() as temporary:
            code = asyncio.run(_play(case, record, Path(temporary)))
    except CaseError as error:
        record(f"could not run: {error}")
        code = COULD_NOT_RUN
    record(f"exit {code}")
    return code
