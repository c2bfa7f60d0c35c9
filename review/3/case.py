"""New work at a backend that drains, while discovery answers each call only after the calls before it."""

from __future__ import annotations

import asyncio
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

WAIT_S = 2.9  # a call waits for its turn; it fails only after 3 s (`timeout_ms` of the site file)
RELAYS, BACKENDS, GROUPS = 3, 9, 40
ARRIVAL_INTERVAL_S = 0.2
DRAIN_AT_S, END_S = 4.0, 40.0
# A change counts as told 6 s after discovery had it and could be reached; nothing new 500 ms after that, with
# the 50 ms of the protocol page, and the 150 ms for which a relay may be held up.
TOLD_S = 6.0
GRACE_S = 0.5 + 0.05 + 0.15


async def arrive(relays: list[Relay], record: Record) -> list[Client]:
    """Let clients arrive at all relays until the end, and return them."""
    rng = random.Random(1)
    clients: list[Client] = []
    tasks: list[asyncio.Task[None]] = []
    while record.now() < END_S:
        client = Client(group=rng.randrange(1, GROUPS), stay_s=rng.uniform(5, 20))
        clients.append(client)
        tasks.append(asyncio.create_task(client.run(rng.choice(relays).port, record)))
        await asyncio.sleep(ARRIVAL_INTERVAL_S)
    await asyncio.wait(tasks, timeout=client.deadline_ms / 1000)
    for task in tasks:
        task.cancel()
    return clients


async def call(discovery: Discovery, record: Record) -> None:
    """Ask discovery for the whole list again and again, as a caller that waits for its turn."""
    while record.now() < END_S:
        asked_s = record.now()
        reader, writer = await asyncio.open_connection(LOOPBACK, discovery.port)
        writer.write(b"GET /registry/instances HTTP/1.1\r\nHost: discovery\r\n\r\n")
        status = await reader.readline()
        writer.close()
        answer = status.decode("ascii").strip()
        record.write("caller", f"answered after {record.now() - asked_s:.2f} s: {answer}")


async def play(folder: Path, record: Record) -> int:
    """Play the case and return the exit code."""
    discovery = Discovery(record)
    await discovery.start()
    backends = [Backend(f"s-{number:08x}", record) for number in range(BACKENDS)]
    for number, backend in enumerate(backends):
        await backend.start()
        discovery.add(backend.name, backend.port, ZONES[number % len(ZONES)])
    if TROUBLE:
        discovery.wait_s = WAIT_S
    relays = [Relay(f"n{number}", folder, record) for number in range(RELAYS)]
    try:
        for number, relay in enumerate(relays):
            own = settings(RELAYS) | {"zone": number, "rank": number}
            relay.configure(discovery.port, discovery.snapshot(), own)
            relay.start()
        for relay in relays:
            await relay.wait_ready()
        caller = asyncio.create_task(call(discovery, record))
        arrivals = asyncio.create_task(arrive(relays, record))
        await asyncio.sleep(DRAIN_AT_S - record.now())
        leaving = backends[: BACKENDS // 3]
        drained_s = record.now()
        for backend in leaving:
            discovery.change(backend.name, "Terminating")
        drains = [asyncio.create_task(backend.drain(5.0)) for backend in leaving]
        clients = await arrivals
        await asyncio.gather(*drains, caller)
    finally:
        for relay in relays:
            relay.kill()
    served = sum(client.answer.startswith("UP") for client in clients)
    late = [
        (backend.name, line)
        for backend in leaving
        for line in backend.first_lines
        if line.when_s > drained_s + TOLD_S + GRACE_S
    ]
    record.write("result", f"{len(clients)} clients, {served} served")
    for name, line in late:
        after_s = line.when_s - drained_s
        record.write("result", f"{line.client_id} was sent to {name} {after_s:.2f} s after the change")
    record.write("result", f"{len(late)} first lines at backends that drain, later than allowed")
    if served < len(clients) / 2:
        return NOT_RUN
    return BROKEN if late else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
