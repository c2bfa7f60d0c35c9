"""A new configuration moves discovery and adds a class without an optional key; then backends drain."""

from __future__ import annotations

import asyncio
import copy
import os
import signal
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins_2"))

from world import (
    BROKEN,
    HELD,
    HOST,
    CaseError,
    Discovery,
    Fleet,
    Record,
    Relay,
    request_class,
    run_case,
    settings,
    trouble_is_on,
)

RELAYS, BACKENDS, DRAINING = 3, 6, 2
MOVED_AT_S, OLD_GONE_AFTER_S, DRAIN_AFTER_S = 2.0, 2.0, 6.0
CLIENTS_PER_S, CLIENTS_S = 5.0, 16.0
# A change counts as told 6 s after discovery had it; the grace of a drain and 50 ms follow.
TOLD_AFTER_S, GRACE_S, SLACK_S = 6.0, 0.5, 0.05
# With KEEP_KEY=1 the new class states the key as well: everything else stays the same, and the rule holds.
KEEPS_KEY = os.environ.get("KEEP_KEY") == "1"
STRETCH = {"aim-stretch": 2.0}


def new_settings(old: dict[str, Any]) -> dict[str, Any]:
    """Return the old settings with one more class, which does not state `aim-stretch`."""
    new = copy.deepcopy(old)
    new["categories"].append(request_class("closure-feed", 2000, **(STRETCH if KEEPS_KEY else {})))
    return new


async def move_discovery(record: Record, relays: list[Relay], old: Discovery, new: Discovery) -> None:
    """Put a new configuration in place at every relay, send SIGHUP, and stop the old discovery later."""
    for relay in relays:
        relay.config["discovery"] = f"{HOST}:{new.port}"
        relay.config["settings"] = new_settings(relay.config["settings"])
        relay.write_config()
        relay.signal(signal.SIGHUP)
    await asyncio.sleep(OLD_GONE_AFTER_S)
    record("the old discovery goes down")
    old.stop()


async def play(record: Record, fleet: Fleet) -> float:
    """Play the case; return the time at which the backends began to drain."""
    old, new = Discovery(record), Discovery(record)
    await old.start()
    await new.start()
    for number in range(BACKENDS):
        await fleet.add_backend(f"b{number}", old, new)
    stretched = [request_class("zone-view", 2000, **STRETCH), request_class("rider-area", 3000, **STRETCH)]
    stated = settings(categories=stretched, **{"fleet-size": RELAYS})
    config = {"discovery": f"{HOST}:{old.port}", "seed": "5ea1", "known": old.whole(), "settings": stated}
    await fleet.start_relays([dict(config) for _ in range(RELAYS)])
    await asyncio.sleep(MOVED_AT_S)
    if trouble_is_on():
        await move_discovery(record, fleet.relays, old, new)
    await asyncio.sleep(DRAIN_AFTER_S)
    drained_s = record.now()
    for backend in fleet.backends[:DRAINING]:
        backend.is_draining = True
        for discovery in (old, new):
            discovery.put(backend.name, health="Terminating")
    await fleet.send_clients(int(CLIENTS_PER_S * CLIENTS_S), 1 / CLIENTS_PER_S, 4.0)
    return drained_s


async def case(record: Record, folder: Path) -> int:
    """Play the case and return its exit code."""
    async with Fleet(record, folder) as fleet:
        drained_s = await play(record, fleet)
    if not any(backend.first_lines for backend in fleet.backends[DRAINING:]):
        raise CaseError("no client reached a backend that stays")
    late = [
        f"{backend.name} was sent {request_id} {sent_s - drained_s:.2f} s after it began to drain"
        for backend in fleet.backends[:DRAINING]
        for sent_s, request_id in backend.first_lines
        if sent_s > drained_s + TOLD_AFTER_S + GRACE_S + SLACK_S
    ]
    for line in late:
        record(f"BROKEN: {line}")
    record(f"{len(late)} first lines to draining backends later than allowed")
    return BROKEN if late else HELD


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent))
