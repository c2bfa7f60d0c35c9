"""What a real relay costs on loopback, compared with a proxy that only copies bytes: set-ups, open
connections and lines.
"""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from contextlib import ExitStack

from gannetweir.lab.scale.clients import ClientConnections
from gannetweir.lab.scale.lists import host_entry, snapshot_line
from gannetweir.lab.scale.measure import CostDefinition, ProgressCallback, Sweep, measure_sizes
from gannetweir.lab.scale.processes import MeasuredProcess, backend, hosts_at, proxy, relay
from gannetweir.lab.scale.slopes import Cost, Sample

# Number of backends. A process holds a few connections at each of them, as it would at the target.
BACKENDS = 400
LINE_CONNECTIONS = 64  # connections that lines are sent over
LINE_PERIOD_S = 1.0
SETTLE_TIME_S = 0.15

CONNECTION_SWEEP = Sweep((250, 1000, 2000, 4000), 6000, 2)
LINE_SWEEP = Sweep((160, 640, 1280, 2560), 3600, 2)
START_SWEEP = Sweep((500, 1500, 5000, 8000), 15000, 3)
STALL_SWEEP = Sweep((500, 1500, 5000, 8000), 15000, 3)


def _memory_definition(process_kind: str) -> CostDefinition:
    return CostDefinition(
        f"connection.memory.{process_kind}",
        f"a {process_kind}'s resident memory",
        "KB",
        "connections",
        "VmRSS",
    )


def _setup_definition(process_kind: str) -> CostDefinition:
    title = f"set-ups through a {process_kind}, in all"
    method = "processor time since its start; a relay's probes included; 8 set-ups at once"
    return CostDefinition(f"setup.{process_kind}", title, "µs", "set-ups", method)


def _line_definition(process_kind: str, direction: str, title: str) -> CostDefinition:
    method = f"processor time a second, open loop over {LINE_CONNECTIONS} connections"
    return CostDefinition(
        f"line.{direction}.{process_kind}", f"{title} through a {process_kind}", "µs/s", "lines/s", method
    )


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


async def _measure_connections(
    process: MeasuredProcess, process_kind: str, on_progress: ProgressCallback
) -> dict[str, dict[int, float]]:
    """Open more and more connections to a new process; return its memory and processor time at each size."""
    connections = ClientConnections(process.port)
    memory, spent_us = dict[int, float](), dict[int, float]()
    before_us = process.processor_us()
    try:
        for size in (*CONNECTION_SWEEP.sizes, CONNECTION_SWEEP.check):
            await connections.grow_to(size)
            await asyncio.sleep(SETTLE_TIME_S)
            memory[size], spent_us[size] = process.memory_kb(), process.processor_us() - before_us
            on_progress()
    finally:
        connections.close()
    return {_memory_definition(process_kind).key: memory, _setup_definition(process_kind).key: spent_us}


def _costs_of_rounds(
    definitions: list[CostDefinition], plan: Sweep, rounds: list[dict[str, dict[int, float]]]
) -> list[Cost]:
    costs = []
    for definition in definitions:
        samples = {
            s: Sample(s, [round_values[definition.key][s] for round_values in rounds])
            for s in (*plan.sizes, plan.check)
        }
        check = samples.pop(plan.check)
        leading_fields = definition.key, definition.title, definition.unit, definition.size_unit
        costs.append(Cost(*leading_fields, list(samples.values()), check, definition.method))
    return costs


def measure_connections(on_progress: ProgressCallback) -> list[Cost]:
    """Measure set-ups and open connections, through a relay and through a proxy."""
    rounds: dict[str, list[dict[str, dict[int, float]]]] = {"relay": [], "proxy": []}
    for _ in range(CONNECTION_SWEEP.rounds):
        with backend() as port:
            with relay(hosts_at(port, BACKENDS)) as process:
                rounds["relay"].append(asyncio.run(_measure_connections(process, "relay", on_progress)))
            with proxy(port) as process:
                rounds["proxy"].append(asyncio.run(_measure_connections(process, "proxy", on_progress)))
    return [
        cost
        for process_kind, kind_rounds in rounds.items()
        for cost in _costs_of_rounds(
            [_memory_definition(process_kind), _setup_definition(process_kind)], CONNECTION_SWEEP, kind_rounds
        )
    ]


async def _measure_lines(process: MeasuredProcess, per_s: int, direction: str) -> float:
    """Return processor microseconds per second at a rate of lines. The value is scaled from the rate at which
    lines passed to the requested rate.
    """
    connections = ClientConnections(process.port)
    try:
        await connections.grow_to(LINE_CONNECTIONS)
        await asyncio.sleep(SETTLE_TIME_S)
        before_us, started_s, lines = process.processor_us(), time.monotonic(), connections.lines
        if direction == "both":
            await connections.echo(per_s / 2, LINE_PERIOD_S)
        else:
            await connections.pushed(per_s, LINE_PERIOD_S)
        await asyncio.sleep(SETTLE_TIME_S)
        spent_us, elapsed_s = process.processor_us() - before_us, time.monotonic() - started_s
        passed_lines = (connections.lines - lines) * (2 if direction == "both" else 1)
        return spent_us / elapsed_s * (per_s / max(1.0, passed_lines / elapsed_s))
    finally:
        connections.close()


DIRECTIONS = {"both": "a line there and back, counted as two,", "push": "a backend's line"}


def measure_lines(on_progress: ProgressCallback) -> list[Cost]:
    """Measure lines in both directions and from the backend alone, through a relay and through a proxy."""
    definitions = [
        _line_definition(process_kind, direction, title)
        for direction, title in DIRECTIONS.items()
        for process_kind in ("relay", "proxy")
    ]
    with ExitStack() as stack:
        port = stack.enter_context(backend())
        processes = {
            "relay": stack.enter_context(relay(hosts_at(port, BACKENDS))),
            "proxy": stack.enter_context(proxy(port)),
        }

        def measure_one(per_s: int) -> dict[str, float]:
            return {
                _line_definition(process_kind, direction, "").key: asyncio.run(
                    _measure_lines(process, per_s, direction)
                )
                for direction in DIRECTIONS
                for process_kind, process in processes.items()
            }

        return measure_sizes(LINE_SWEEP, definitions, measure_one, on_progress)


def measure_starts(on_progress: ProgressCallback) -> list[Cost]:
    """Measure a relay's start by the number of entries in its initial endpoint list."""

    def measure_one(entries: int) -> dict[str, float]:
        started_s = time.monotonic()
        with relay([host_entry(number) for number in range(entries)]) as process:
            return {
                START.key: (time.monotonic() - started_s) * 1000,
                START_CPU.key: process.processor_us(),
                START_MEMORY.key: process.memory_kb(),
                START_PEAK.key: process.memory_kb("VmHWM"),
            }

    return measure_sizes(START_SWEEP, (START, START_CPU, START_MEMORY, START_PEAK), measure_one, on_progress)


class DiscoveryStandIn:
    """A stand-in for discovery that serves one watch and sends the lines that its caller passes."""

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

    def send(self, data: bytes) -> None:
        """Send one line of the watch. A thread sends it, because the relay may be slow to read."""
        assert self.watch is not None
        framed = b"%x\r\n" % len(data) + data + b"\r\n"
        threading.Thread(target=self.watch.sendall, args=(framed,), daemon=True).start()

    def close(self) -> None:
        """Close the watch and the listener."""
        self.listener.close()
        if self.watch is not None:
            self.watch.close()


async def _measure_stall(process: MeasuredProcess, discovery: DiscoveryStandIn, data: bytes) -> float:
    """Return the longest wait of a line, in milliseconds. Lines go through the relay one after another; the
    first follows the list immediately, and the last is sent after ample time to read and apply the list.
    """
    connections = ClientConnections(process.port)
    try:
        await connections.grow_to(1)
        (client,) = connections.clients
        discovery.send(data)
        deadline = time.monotonic() + 0.3 + len(data) / 2e6
        while time.monotonic() < deadline:
            client.send_line()
            while client.sent_at_s:
                await asyncio.sleep(0.0005)
        return client.slowest_s * 1000
    finally:
        connections.close()


def measure_stalls(on_progress: ProgressCallback) -> list[Cost]:
    """Measure how long a snapshot from discovery delays the lines of a real relay."""
    version = 1
    with backend() as port:

        def measure_one(entries: int) -> dict[str, float]:
            nonlocal version
            version += 1
            discovery = DiscoveryStandIn()
            try:
                with relay(hosts_at(port, BACKENDS), discovery.port, pushed=True) as process:
                    discovery.ready.wait(5)
                    return {
                        STALL.key: asyncio.run(
                            _measure_stall(process, discovery, snapshot_line(entries, version))
                        )
                    }
            finally:
                discovery.close()

        return measure_sizes(STALL_SWEEP, (STALL,), measure_one, on_progress)
