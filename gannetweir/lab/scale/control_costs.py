"""Measures the costs of the control plane's messages: bytes, transfer time, processor time and turns.

A turn is the work that a relay does without returning to its event loop.

    python -m gannetweir.lab.scale.control_costs > docs/measurements/control-plane.json

The list is drawn from a seed: names of eight hexadecimal digits, addresses, 13 zones, starts within a month.
Transfer times are for the bandwidth of one relay. Times of turns are processor time of one process; garbage
collections are counted separately, since a collection happens in an arbitrary turn.
"""

from __future__ import annotations

import gc
import random
import statistics
import sys
import time
from collections.abc import Callable, Iterator
from typing import Any

import orjson

from gannetweir.control.follower import ApplyEntries, Follower
from gannetweir.control.publisher import Publisher
from gannetweir.control.token_bucket import BURST_BYTES, RATE_BYTES_S
from gannetweir.control.version_log import Change
from gannetweir.control.versions import NO_VERSION, Content, Entry, Resource, Slice, Version
from gannetweir.core import Engine
from gannetweir.limits import Limits
from gannetweir.membership.membership_update import MembershipUpdate
from gannetweir.net.control_check import RelayCheck
from gannetweir.placement.settings import RequestClass, Settings
from gannetweir.proto.control_calls import chunk
from gannetweir.proto.control_messages import canonical_json, read_slice, write_slice
from gannetweir.proto.control_watch import write_compressed_slice
from gannetweir.proto.endpoint_watch import read_membership

SIZES = (500, 1_500, 5_000, 15_000)
ZONES = list("abcdefghijklm")
SETTINGS = Settings([RequestClass("plain")], zone_names=ZONES, machine_types=["m0", "m1", "m2"])
MEMBERSHIP = Resource.MEMBERSHIP


def random_backends(count: int, seed: int = 1) -> dict[str, dict[str, Any]]:
    """Return this number of random backends, by name."""
    draw = random.Random(seed)
    result: dict[str, dict[str, Any]] = {}
    while len(result) < count:
        name = f"s-{draw.getrandbits(32):08x}"
        address = ".".join(str(draw.randrange(256)) for _ in range(3))
        result[name] = {
            "host": name,
            "dial": f"10.{address}:8080",
            "site": draw.choice(ZONES),
            "class": f"m{draw.randrange(3)}",
            "block": draw.randrange(64),
            "health": "Ready",
            "share": draw.choice([1.0, 1.5]),
            "born_ms": 0 if draw.random() < 0.2 else 1_790_000_000_000 + draw.randrange(30 * 86_400_000),
        }
    return result


def transfer_s(size_bytes: int) -> float:
    """Return the seconds until the token bucket has let the last byte pass."""
    return round(max(0, size_bytes - BURST_BYTES) / RATE_BYTES_S, 1)


def slices_for(publisher: Publisher, held: Version) -> Iterator[Slice]:
    """Yield all slices that the publisher sends to a relay that holds this version."""
    publisher.subscribe("r", held)
    while (part := publisher.next_slice("r", 0)) is not None:
        yield part


def slice_bytes(parts: list[Slice]) -> dict[str, float]:
    """Return the bytes and transfer times of slices, as JSON and in the compressed form on the wire."""
    plain, wire = (
        sum(len(write_slice(p)) for p in parts),
        sum(len(chunk(write_compressed_slice(p))) for p in parts),
    )
    return {
        "plain_bytes": plain,
        "wire_bytes": wire,
        "wire_s": transfer_s(wire),
        "plain_s": transfer_s(plain),
    }


class TurnTimer:
    """Measures the processor time of each turn, without garbage collections."""

    def __init__(self) -> None:
        self.turns: list[float] = []
        self.collections: list[float] = []
        self.begun = 0.0
        gc.callbacks.append(self._collected)

    def _collected(self, phase: str, info: dict[str, int]) -> None:
        if phase == "start":
            self.begun = time.thread_time()
        else:
            self.collections.append(time.thread_time() - self.begun)

    def run(self, work: Callable[[], Any]) -> Any:
        """Run and time one turn. Returns the result of `work`."""
        before, begun = len(self.collections), time.thread_time()
        result = work()
        self.turns.append(time.thread_time() - begun - sum(self.collections[before:]))
        return result

    def close(self) -> None:
        """Stop observing garbage collections."""
        gc.callbacks.remove(self._collected)


def measure_follower(parts: list[Slice]) -> dict[str, float]:
    """Apply a snapshot to a relay without a list, with its engine and decision module.

    Returns the figures of the turns that it took.
    """
    engine = Engine(SETTINGS, Limits(), 1, MembershipUpdate(0, True), 0)
    follower, turns = Follower(MEMBERSHIP, RelayCheck(lambda: SETTINGS)), TurnTimer()
    lines = [write_slice(part) for part in parts]

    def step() -> None:
        for event in follower.step():
            if isinstance(event, ApplyEntries):
                hosts = [orjson.loads(entry.body or b"null") for entry in event.entries]
                update = read_membership(
                    {"seq": event.version.number, "whole": False, "hosts": hosts}, SETTINGS
                )
                engine.endpoint_update_received(update, 1_000_000)

    for line in lines:
        part = turns.run(lambda line=line: read_slice(orjson.loads(line)))  # type: ignore[misc]
        follower.receive(part)
        while not follower.is_idle:
            turns.run(step)
    turns.close()
    count = len(follower.applied.entries)
    return {
        "turns": len(turns.turns),
        "us_an_entry": round(sum(turns.turns) / count * 1e6, 1),
        "longest_turn_ms": round(max(turns.turns) * 1e3, 1),
        "longest_collection_ms": round(max(turns.collections, default=0.0) * 1e3, 1),
    }


def measure_size(count: int) -> dict[str, Any]:
    """Return the record of one size of the list."""
    hosts = random_backends(count)
    entries = [Entry(name, canonical_json(host)) for name, host in hosts.items()]
    version = Version(1, 1, Content(entries).digest)
    parts = list(slices_for(Publisher(MEMBERSHIP, version, entries), NO_VERSION))
    runs = [measure_follower(parts) for _ in range(3)]
    result: dict[str, Any] = {"backends": count, "slices": len(parts), "snapshot": slice_bytes(parts)}
    result["relay"] = {name: statistics.median(run[name] for run in runs) for name in runs[0]}
    zone_backends = [name for name, host in hosts.items() if host["site"] == "a"]
    changes: dict[str, dict[str, bytes | None]] = {
        "zone_gone": dict.fromkeys(zone_backends),
        "zone_draining": {
            name: canonical_json(hosts[name] | {"health": "Terminating"}) for name in zone_backends
        },
        "zone_back": {
            name: canonical_json(hosts[name] | {"born_ms": 1_795_000_000_000 + k})
            for k, name in enumerate(zone_backends)
        },
    }
    for several in 1, 10, 30:
        names = list(hosts)[:several]
        changes[f"delta_{several}"] = {
            name: canonical_json(hosts[name] | {"health": "Terminating"}) for name in names
        }
    for change, bodies in changes.items():
        publisher, content = Publisher(MEMBERSHIP, version, entries), Content(entries)
        for name, body in bodies.items():
            content.put(name, body)
        publisher.publish(Change(Version(1, 2, content.digest), bodies))
        result[change] = {"entries": len(bodies)} | slice_bytes(list(slices_for(publisher, version)))
    return result


def main() -> None:
    """Measure all sizes and print the record as JSON."""
    record = {"python": sys.version.split()[0], "sizes": [measure_size(count) for count in SIZES]}
    print(orjson.dumps(record, option=orjson.OPT_INDENT_2).decode())


if __name__ == "__main__":
    main()
