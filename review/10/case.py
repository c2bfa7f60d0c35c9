"""A site is lost and comes back, where the settings permit no probes and a crossing of sites has a price."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins_2"))

from world import (
    BROKEN,
    HELD,
    HOST,
    CaseError,
    Discovery,
    Fleet,
    Record,
    run_case,
    settings,
    trouble_is_on,
)

CLIENTS_PER_S, CLIENTS_S, LIFE_S = 2.0, 45.0, 60.0
LOST_AT_S, LOST_S, NOTICE_S = 3.0, 12.0, 2.4


async def lose_site(record: Record, fleet: Fleet, discovery: Discovery) -> None:
    """Lose the site of the relay: its backends end, discovery tells it late, and they come back cold."""
    await asyncio.sleep(LOST_AT_S)
    lost = [backend for backend in fleet.backends if backend.name.startswith("a")]
    record("site a is lost")
    ports = [backend.port for backend in lost]
    for backend in lost:
        backend.stop()
    await asyncio.sleep(NOTICE_S)
    for backend in lost:
        discovery.put(backend.name, health="Gone")
    await asyncio.sleep(LOST_S - NOTICE_S)
    record("site a comes back cold")
    for backend, port in zip(lost, ports, strict=True):
        await backend.start(port)
        discovery.put(backend.name, health="Ready", born_ms=int(time.time() * 1000))


async def case(record: Record, folder: Path) -> int:
    """Play the case and return its exit code."""
    async with Fleet(record, folder) as fleet:
        discovery = Discovery(record)
        await discovery.start()
        for name in ("a0", "a1", "b0", "b1"):
            await fleet.add_backend(name, discovery, probes=False, site=name[0])
        stated = settings(reporting={"names": [], "source": "none"})
        stated["limits"]["probes"] = False
        stated["family-info"]["groups"] = False
        config = {"discovery": f"{HOST}:{discovery.port}", "seed": "5ea1"}
        await fleet.start_relays([config | {"known": discovery.whole(), "settings": stated}])
        if trouble_is_on():
            fleet.tasks.append(asyncio.create_task(lose_site(record, fleet, discovery)))
        await fleet.send_clients(int(CLIENTS_PER_S * CLIENTS_S), 1 / CLIENTS_PER_S, LIFE_S)
    if not any(client.answer.startswith("UP ") for client in fleet.clients):
        raise CaseError("no client was served")
    probes = [(at_s, backend.name, word) for backend in fleet.backends for at_s, word in backend.probe_lines]
    for at_s, name, word in sorted(probes):
        record(f"BROKEN: {name} was sent {word} at {at_s:.1f} s")
    record(f"{len(probes)} probes, where the settings permit none")
    return BROKEN if probes else HELD


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent))
