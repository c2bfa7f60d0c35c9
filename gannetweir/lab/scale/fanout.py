"""What one change costs discovery, or a control machine, by the number of watching relays, and what one load
probe costs a relay.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, cast

import anyio
import orjson

from gannetweir.core import StartLoadProbe
from gannetweir.lab.emulator.backend import spawn_in
from gannetweir.lab.emulator.discovery import EmulatedDiscovery
from gannetweir.lab.scale.lists import host_entry, measured_relay_settings
from gannetweir.lab.scale.measure import CostDefinition, ProgressCallback, Sweep, measure_sizes, processor_us
from gannetweir.lab.scale.processes import backend
from gannetweir.lab.scale.slopes import Cost
from gannetweir.limits import Limits
from gannetweir.net.load_probes import run_probe
from gannetweir.net.ports import ConnectContext
from gannetweir.net.sockets import connect, set_nonblocking_nodelay, tcp_socket
from gannetweir.net.transport import Transport
from gannetweir.placement.events import AttemptStatus, EndpointId
from gannetweir.placement.settings import Settings

# Number of turns of the event loop after which a change has been written to every watcher.
LOOP_TURNS = 24
CHANGES_PER_ROUND = 3

STAND_IN = CostDefinition(
    "fanout.stand_in",
    "one change to all watchers, stand-in discovery",
    "µs",
    "watchers",
    "lab.registry: each watch's task wakes and serialises for itself, processor time",
)
SERIALISED_ONCE = CostDefinition(
    "fanout.once",
    "one change to all watchers, serialised once",
    "µs",
    "watchers",
    "one line, one Endpoint.write a watcher, processor time",
)
ONE_PROBE = CostDefinition(
    "probe", "probes, one after another", "µs", "probes", "run_probe on loopback, processor time"
)


async def _open_watch(port: int) -> socket.socket:
    sock = tcp_socket("127.0.0.1")
    await connect(sock, ("127.0.0.1", port))
    sock.send(b"GET /registry/instances?follow=1&since=0 HTTP/1.1\r\nHost: d\r\n\r\n")
    await anyio.wait_readable(sock)
    return sock


def _drain(socks: list[socket.socket]) -> int:
    """Read once from each socket; return how many sockets had data."""
    readable = 0
    for sock in socks:
        try:
            readable += bool(sock.recv(65536))
        except BlockingIOError:
            continue
    return readable


async def _run_loop_turns() -> None:
    for _ in range(LOOP_TURNS):
        await asyncio.sleep(0)


async def _measure_changes(watchers: int) -> dict[str, float]:
    """Measure one change, as the stand-in sends it and when serialised once, in microseconds."""
    discovery = EmulatedDiscovery(delay_s=0.0, heartbeat_s=3600.0)
    discovery.change("s-0", **{name: value for name, value in host_entry(0).items() if name != "host"})
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(discovery.run)
        socks = [await _open_watch(discovery.port) for _ in range(watchers)]
        await _run_loop_turns()
        _drain(socks)
        spent_us = []
        for number in range(CHANGES_PER_ROUND):
            started_us = _processor_clock_us()
            discovery.change("s-0", share=float(number))
            await _run_loop_turns()
            spent_us.append(_processor_clock_us() - started_us)
            if (notified := _drain(socks)) != watchers:
                raise OSError(f"{notified} of {watchers} watchers received the change")
        for sock in socks:
            sock.close()
        tasks.cancel_scope.cancel()
    return {
        STAND_IN.key: sorted(spent_us)[CHANGES_PER_ROUND // 2],
        SERIALISED_ONCE.key: await _measure_serialised_once(watchers),
    }


def _processor_clock_us() -> float:
    return time.process_time_ns() / 1000.0


def _socket_pair(listener: socket.socket) -> tuple[socket.socket, socket.socket]:
    peer = socket.create_connection(listener.getsockname())
    accepted, _ = listener.accept()
    set_nonblocking_nodelay(accepted)
    return accepted, peer


async def _measure_serialised_once(watchers: int) -> float:
    """Measure one change that is serialised once and written to each watcher, in microseconds."""
    async with anyio.create_task_group() as tasks:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            socket_pairs = [_socket_pair(listener) for _ in range(watchers)]
        transports = [Transport(accepted, Limits(), spawn_in(tasks)) for accepted, _ in socket_pairs]

        def send_change() -> None:
            data = orjson.dumps({"seq": 2, "whole": False, "hosts": [host_entry(0)]})
            framed = b"%x\r\n%s\n\r\n" % (len(data) + 1, data)
            for transport in transports:
                transport.write(framed)

        spent_us = sorted(processor_us(send_change) for _ in range(CHANGES_PER_ROUND))[CHANGES_PER_ROUND // 2]
        for transport, (_, peer) in zip(transports, socket_pairs, strict=True):
            transport.close()
            peer.close()
    return spent_us


@dataclass
class _EndpointListStub:
    def accepts_requests(self, endpoint_id: EndpointId) -> bool:
        return True


@dataclass
class _EngineStub:
    endpoint_list: _EndpointListStub = field(default_factory=_EndpointListStub)
    answers: int = 0

    def load_probe_ended(self, endpoint_id: EndpointId, status: int, report: tuple[float, ...]) -> None:
        self.answers += status == AttemptStatus.OK


@dataclass
class _ProbeContext:
    """The part of a relay that a load probe uses."""

    port: int
    spawn: Callable[[Callable[[], Awaitable[Any]]], None]
    engine: _EngineStub = field(default_factory=_EngineStub)
    limits: Limits = field(default_factory=Limits)

    @property
    def settings(self) -> Settings:
        return measured_relay_settings()

    def parse_endpoint_address(self, text: str) -> tuple[str, int]:
        return "127.0.0.1", self.port

    def run_engine_call(self, call: Callable[..., Any], *args: Any) -> Any:
        return call(*args)


async def _measure_probes(port: int, count: int) -> float:
    """Return the processor microseconds of `count` load probes. Raises `OSError` if one is not answered."""
    async with anyio.create_task_group() as tasks:
        prober = _ProbeContext(port, spawn_in(tasks))
        started_us = _processor_clock_us()
        for _ in range(count):
            await run_probe(cast(ConnectContext, prober), StartLoadProbe("b", "127.0.0.1:1", False))
        spent_us = _processor_clock_us() - started_us
    if prober.engine.answers != count:
        raise OSError(f"{prober.engine.answers} of {count} load probes were answered")
    return spent_us


WATCHER_SWEEP = Sweep((75, 150, 600, 1200), 1500, 2)
PROBE_SWEEP = Sweep((50, 200, 400, 800), 1600, 3)


def measure(on_progress: ProgressCallback) -> list[Cost]:
    """Measure fan-out by the number of watchers, and load probes by their number."""
    fanout_costs = measure_sizes(
        WATCHER_SWEEP,
        (STAND_IN, SERIALISED_ONCE),
        lambda watchers: asyncio.run(_measure_changes(watchers)),
        on_progress,
    )
    with backend() as port:
        probe_costs = measure_sizes(
            PROBE_SWEEP,
            (ONE_PROBE,),
            lambda n: {ONE_PROBE.key: asyncio.run(_measure_probes(port, n))},
            on_progress,
        )
    return fanout_costs + probe_costs
