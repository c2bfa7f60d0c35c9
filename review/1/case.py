"""Relays that never answer again after a backend of their own site has begun to drain."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
from pathlib import Path

from stand_ins.backend import Backend
from stand_ins.case import BROKEN, HELD, NOT_RUN, TROUBLE, run_case
from stand_ins.client import Client
from stand_ins.discovery import LOOPBACK, Discovery
from stand_ins.record import Record
from stand_ins.relay import Relay
from stand_ins.settings import ZONES, settings

RELAYS, SOCKETS = 5, 200
OTHERS = 16  # backends in the two other sites; the relays' own site has one
STANDING = 2  # connections that each relay has at each of these from before the run
PROBE_S = 0.3  # a probe waits and is served like a request; probes have 0.5 s
IDLE_PROBE_S = 0.002  # the same at a backend that drains, and so has no queue
USUAL_LOAD, OWN_LOAD, CAPACITY = 0.6, 0.65, 100
DRAIN_AT_S, TOLD_AFTER_S, DRAIN_S, END_S = 8.0, 6.5, 6.0, 18.0
STEPS_PER_S = 10
ARRIVAL_INTERVAL_S = 0.27  # 2.5 a second, and a burst of half as much again
STAY_S = 24, 60
CLASS, DEADLINE_MS = "rider-area", 3000
PING_TIMEOUT_S = 2.0


class LoadedBackend(Backend):
    """A backend that also has the clients of other relays. A probe waits there for its turn."""

    def __init__(self, name: str, record: Record, load: float) -> None:
        super().__init__(name, record)
        self.others = load * CAPACITY

    async def _answer(self, line: bytes, writer: asyncio.StreamWriter) -> bool:
        if writer in self.open or not line.startswith(b"STATS"):
            return await super()._answer(line, writer)
        self.probes.append(self.record.write(self.name, "STATS"))
        await asyncio.sleep(IDLE_PROBE_S if self.draining else PROBE_S)
        count = int(self.others) + len(self.open)
        writer.write(f"PONG tps=1,concurrent={count},x0={count / CAPACITY:.3f}\r\n".encode())
        return True

    async def send_others_away(self) -> None:
        """Send the clients of other relays away, bit by bit."""
        step = self.others / DRAIN_S / STEPS_PER_S
        while self.others > 0:
            self.others = max(0.0, self.others - step)
            await asyncio.sleep(1 / STEPS_PER_S)


class Deployment:
    """The relays of one site, its only backend, and the backends of two other sites."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.record = record
        self.discovery = Discovery(record)
        self.own = LoadedBackend("own", record, OWN_LOAD)
        self.others = [LoadedBackend(f"other-{number}", record, USUAL_LOAD) for number in range(OTHERS)]
        self.relays = [Relay(f"n{number}", folder, record, SOCKETS) for number in range(RELAYS)]
        self.rng = random.Random(1)
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start everything, and open the connections from before the run."""
        await self.discovery.start()
        for backend in [self.own, *self.others]:
            await backend.start()
        self.discovery.add(self.own.name, self.own.port, ZONES[0])
        for number, backend in enumerate(self.others):
            self.discovery.add(backend.name, backend.port, ZONES[1 + number % 2])
        for number, relay in enumerate(self.relays):
            ungrouped = settings(RELAYS) | {"rank": number}
            family = ungrouped["family-info"]
            assert isinstance(family, dict)
            family["groups"] = False
            relay.configure(self.discovery.port, self.discovery.snapshot(), ungrouped)
            relay.start()
        for relay in self.relays:
            await relay.wait_ready()
            for backend in self.others * STANDING:
                self.arrive(relay, END_S, at=backend.name)

    def arrive(self, relay: Relay, stay_s: float, at: str = "") -> Client:
        """Start a client."""
        client = Client(CLASS, DEADLINE_MS, group=0, stay_s=stay_s, at=at)
        self.tasks.append(asyncio.create_task(client.run(relay.port, self.record)))
        return client

    async def drain(self) -> None:
        """Let the own site's backend drain. Discovery tells it `TOLD_AFTER_S` later."""
        self.record.write(self.own.name, "begins to drain")
        self.tasks.append(asyncio.create_task(self.own.drain(DRAIN_S)))
        self.tasks.append(asyncio.create_task(self.own.send_others_away()))
        await asyncio.sleep(TOLD_AFTER_S)
        self.discovery.change(self.own.name, "Terminating")

    async def answers_ping(self, relay: Relay) -> bool:
        """Return whether a relay answers a PING."""
        answer = b""
        with contextlib.suppress(TimeoutError, OSError):
            async with asyncio.timeout(PING_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(LOOPBACK, relay.port)
                writer.write(b"PING\r\n")
                answer = await reader.readline()
                writer.close()
        self.record.write("front", f"sends {relay.name} PING, reads {answer!r}")
        return bool(answer)

    async def end(self) -> None:
        """Wait for the answers that are still due, and end all clients."""
        await asyncio.wait(self.tasks, timeout=DEADLINE_MS / 1000 + 1)
        for task in self.tasks:
            task.cancel()


async def play(folder: Path, record: Record) -> int:
    """Play the case and return the exit code."""
    deployment = Deployment(folder, record)
    try:
        await deployment.start()
        await asyncio.sleep(DRAIN_AT_S - record.now())
        if TROUBLE:
            deployment.tasks.append(asyncio.create_task(deployment.drain()))
        clients: list[Client] = []
        while record.now() < END_S:
            relay = deployment.rng.choice(deployment.relays)
            clients.append(deployment.arrive(relay, deployment.rng.uniform(*STAY_S)))
            await asyncio.sleep(ARRIVAL_INTERVAL_S)
        silent = [relay for relay in deployment.relays if not await deployment.answers_ping(relay)]
        await deployment.end()
        for relay in deployment.relays:
            record.write(relay.name, f"has used {relay.processor_s():.1f} s of processor time")
    finally:
        for relay in deployment.relays:
            relay.kill()
    served = sum(client.answer.startswith("UP") for client in clients)
    lost = [client for client in clients if client.ended == "no answer"]
    record.write("result", f"{len(clients)} clients, {served} served, {len(lost)} without an answer")
    record.write("result", f"{len(silent)} of {RELAYS} relays answer no PING")
    if not served:
        return NOT_RUN
    return BROKEN if lost else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
