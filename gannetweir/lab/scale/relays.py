"""What a real relay costs on loopback, beside a proxy that only copies: set-ups, standing connections,
lines.
"""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from contextlib import ExitStack

from gannetweir.lab.scale.clients import ClientConnections
from gannetweir.lab.scale.lists import host, line
from gannetweir.lab.scale.measure import CostDefinition, ProgressCallback, Sweep, measure_sizes
from gannetweir.lab.scale.processes import MeasuredProcess, backend, hosts_at, proxy, relay
from gannetweir.lab.scale.slopes import Cost, Sample

HOSTS = 400  # so that a process holds a few connections at each, as it would at the target
LINE_CONNECTIONS = 64  # connections that lines are sent over
LINES_S = 1.0
SETTLE_S = 0.15

STANDING = Sweep((250, 1000, 2000, 4000), 6000, 2)
LINES = Sweep((160, 640, 1280, 2560), 3600, 2)
STARTS = Sweep((500, 1500, 5000, 8000), 15000, 3)
STALLS = Sweep((500, 1500, 5000, 8000), 15000, 3)


def _memory(who: str) -> CostDefinition:
    return CostDefinition(
        f"connection.memory.{who}", f"a {who}'s resident memory", "KB", "connections", "VmRSS"
    )


def _setups(who: str) -> CostDefinition:
    title = f"set-ups through a {who}, in all"
    method = "processor time since its start; a relay's probes included; 8 set-ups at once"
    return CostDefinition(f"setup.{who}", title, "µs", "set-ups", method)


def _lines(who: str, way: str, title: str) -> CostDefinition:
    method = f"processor time a second, open loop over {LINE_CONNECTIONS} connections"
    return CostDefinition(f"line.{way}.{who}", f"{title} through a {who}", "µs/s", "lines/s", method)


START = CostDefinition(
    "start.time", "a relay's start until it answers", "ms", "entries", "from exec to PONG, elapsed"
)
START_CPU = CostDefinition(
    "start.processor", "a relay's start until it answers", "µs", "entries", "processor time"
)
START_MEMORY = CostDefinition(
    "start.memory", "a relay's resident memory just started", "KB", "entries", "VmRSS"
)
START_PEAK = CostDefinition(
    "start.peak", "a relay's most resident memory at its start", "KB", "entries", "VmHWM"
)
STALL = CostDefinition(
    "list.stall",
    "longest wait of a line while a whole list is taken",
    "ms",
    "entries",
    "a real relay, one line after another there and back, the slowest",
)


async def _stand(
    process: MeasuredProcess, who: str, on_progress: ProgressCallback
) -> dict[str, dict[int, float]]:
    """One process from its start on: memory and processor time at each size."""
    crowd = ClientConnections(process.port)
    memory, spent = dict[int, float](), dict[int, float]()
    before = process.processor_us()
    try:
        for size in (*STANDING.sizes, STANDING.check):
            await crowd.grow(size)
            await asyncio.sleep(SETTLE_S)
            memory[size], spent[size] = process.memory_kb(), process.processor_us() - before
            on_progress()
    finally:
        crowd.close()
    return {_memory(who).key: memory, _setups(who).key: spent}


def _costs(names: list[CostDefinition], plan: Sweep, rounds: list[dict[str, dict[int, float]]]) -> list[Cost]:
    found = []
    for name in names:
        samples = {s: Sample(s, [one[name.key][s] for one in rounds]) for s in (*plan.sizes, plan.check)}
        check = samples.pop(plan.check)
        given = name.key, name.title, name.unit, name.size_unit
        found.append(Cost(*given, list(samples.values()), check, name.method))
    return found


def measure_standing(on_progress: ProgressCallback) -> list[Cost]:
    """Set-ups and standing connections, through a relay and through a proxy."""
    rounds: dict[str, list[dict[str, dict[int, float]]]] = {"relay": [], "proxy": []}
    for _ in range(STANDING.rounds):
        with backend() as port:
            with relay(hosts_at(port, HOSTS)) as process:
                rounds["relay"].append(asyncio.run(_stand(process, "relay", on_progress)))
            with proxy(port) as process:
                rounds["proxy"].append(asyncio.run(_stand(process, "proxy", on_progress)))
    return [
        cost
        for who, all_of in rounds.items()
        for cost in _costs([_memory(who), _setups(who)], STANDING, all_of)
    ]


async def _lines_at(process: MeasuredProcess, per_s: int, way: str) -> float:
    """Processor microseconds a second at so many lines a second, scaled from the lines that did pass."""
    crowd = ClientConnections(process.port)
    try:
        await crowd.grow(LINE_CONNECTIONS)
        await asyncio.sleep(SETTLE_S)
        before, began, lines = process.processor_us(), time.monotonic(), crowd.lines
        if way == "both":
            await crowd.echo(per_s / 2, LINES_S)
        else:
            await crowd.pushed(per_s, LINES_S)
        await asyncio.sleep(SETTLE_S)
        spent, took = process.processor_us() - before, time.monotonic() - began
        passed = (crowd.lines - lines) * (2 if way == "both" else 1)
        return spent / took * (per_s / max(1.0, passed / took))
    finally:
        crowd.close()


DIRECTIONS = {"both": "a line there and back, counted as two,", "push": "a backend's line"}


def measure_lines(on_progress: ProgressCallback) -> list[Cost]:
    """Plain lines, both ways and from the backend alone, through a relay and through a proxy."""
    names = [_lines(who, way, title) for way, title in DIRECTIONS.items() for who in ("relay", "proxy")]
    with ExitStack() as stack:
        port = stack.enter_context(backend())
        sides = {
            "relay": stack.enter_context(relay(hosts_at(port, HOSTS))),
            "proxy": stack.enter_context(proxy(port)),
        }

        def one(per_s: int) -> dict[str, float]:
            return {
                _lines(who, way, "").key: asyncio.run(_lines_at(process, per_s, way))
                for way in DIRECTIONS
                for who, process in sides.items()
            }

        return measure_sizes(LINES, names, one, on_progress)


def measure_starts(on_progress: ProgressCallback) -> list[Cost]:
    """A relay's start by the entries of the list that it is given."""

    def one(entries: int) -> dict[str, float]:
        began = time.monotonic()
        with relay([host(number) for number in range(entries)]) as process:
            return {
                START.key: (time.monotonic() - began) * 1000,
                START_CPU.key: process.processor_us(),
                START_MEMORY.key: process.memory_kb(),
                START_PEAK.key: process.memory_kb("VmHWM"),
            }

    return measure_sizes(STARTS, (START, START_CPU, START_MEMORY, START_PEAK), one, on_progress)


class Discovery:
    """Stand-in discovery with one watch: says a list when told to."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = int(self.listener.getsockname()[1])
        self.watch: socket.socket | None = None
        self.ready = threading.Event()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        self.watch, _ = self.listener.accept()
        self.watch.recv(65536)
        self.watch.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.ready.set()

    def say(self, data: bytes) -> None:
        """One line of the watch; a thread sends it, for the relay may take its time."""
        assert self.watch is not None
        framed = b"%x\r\n" % len(data) + data + b"\r\n"
        threading.Thread(target=self.watch.sendall, args=(framed,), daemon=True).start()

    def close(self) -> None:
        """End the watch."""
        self.listener.close()
        if self.watch is not None:
            self.watch.close()


async def _stall(process: MeasuredProcess, discovery: Discovery, data: bytes) -> float:
    """The longest wait of a line, in milliseconds, until the relay has been quiet for a while."""
    crowd = ClientConnections(process.port)
    try:
        await crowd.grow(1)
        (client,) = crowd.clients
        discovery.say(data)
        end = time.monotonic() + 0.3 + len(data) / 2e6
        while time.monotonic() < end:
            client.ask()
            while client.sent_s:
                await asyncio.sleep(0.0005)
        return client.slowest_s * 1000
    finally:
        crowd.close()


def measure_stalls(on_progress: ProgressCallback) -> list[Cost]:
    """How long a whole list from discovery keeps the lines of a real relay waiting."""
    version = 1
    with backend() as port:

        def one(entries: int) -> dict[str, float]:
            nonlocal version
            version += 1
            discovery = Discovery()
            try:
                with relay(hosts_at(port, HOSTS), discovery.port, pushed=True) as process:
                    discovery.ready.wait(5)
                    return {STALL.key: asyncio.run(_stall(process, discovery, line(entries, version)))}
            finally:
                discovery.close()

        return measure_sizes(STALLS, (STALL,), one, on_progress)
