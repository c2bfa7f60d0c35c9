"""What an endpoint list costs a relay: bytes on the wire, processor time to read and to apply, memory, and
the longest turn of the event loop.
"""

from __future__ import annotations

import gc
import math
import tracemalloc
from functools import cache
from typing import Any

import orjson

from gannetweir.config.settings import parse_settings
from gannetweir.core import Engine
from gannetweir.lab.emulator.plan import platform_settings
from gannetweir.lab.scale.measure import (
    CostDefinition,
    ProgressCallback,
    Sweep,
    elapsed_ms,
    measure_sizes,
    processor_us,
)
from gannetweir.lab.scale.slopes import Cost
from gannetweir.limits import Limits
from gannetweir.membership.membership_update import MembershipUpdate
from gannetweir.placement.events import EndpointListUpdate, UpdateKind
from gannetweir.placement.settings import Settings
from gannetweir.proto.endpoint_watch import EndpointWatch

SIZES = (500, 1500, 5000, 8000)
CHECK_SIZE = 15000
NOW_US = 1_700_000_000_000_000
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

WIRE = CostDefinition(
    "list.wire", "a whole list on the wire", "bytes", "entries", "one JSON line of the watch"
)
READ = CostDefinition(
    "list.read",
    "reading a whole list",
    "µs",
    "entries",
    "EndpointWatch.feed in reads of 8,192 bytes, processor time",
)
APPLY = CostDefinition(
    "list.apply",
    "a first whole list in the engine",
    "µs",
    "entries",
    "Engine.endpoint_update_received on an empty list, module included, processor time",
)
REPEAT = CostDefinition(
    "list.repeat",
    "the same whole list again in the engine",
    "µs",
    "entries",
    "Engine.endpoint_update_received, module included, processor time",
)
MODULE = CostDefinition(
    "list.module",
    "the same whole list again in the module",
    "µs",
    "entries",
    "Balancer.handle, processor time",
)
LONGEST_TURN = CostDefinition(
    "list.hold",
    "longest turn of the event loop for a whole list",
    "ms",
    "entries",
    "the last read of the list and Engine.endpoint_update_received, elapsed",
)
MEMORY = CostDefinition(
    "list.memory", "memory that a list holds", "KB", "entries", "tracemalloc, engine and list"
)
PEAK = CostDefinition(
    "list.peak", "memory while a first list is taken", "KB", "entries", "tracemalloc's peak"
)


@cache
def measured_relay_settings() -> Settings:
    """Return the settings of the relay in all measurements of this package."""
    return parse_settings(platform_settings(1500))


def host_entry(number: int) -> dict[str, Any]:
    """Return one entry as discovery sends it, with its own address, block and start time."""
    return {
        "host": f"s-{number:08x}",
        "dial": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8080",
        "site": "a",
        "class": "m",
        "health": "Ready",
        "share": 1.0,
        "block": number,
        "born_ms": 1_600_000_000_000 + number,
    }


def snapshot_line(entries: int, seq: int = 7) -> bytes:
    """Return a snapshot with this number of entries as one line of the watch."""
    return orjson.dumps({"seq": seq, "whole": True, "hosts": [host_entry(n) for n in range(entries)]}) + b"\n"


def empty_engine() -> Engine:
    """Return a relay's engine with an empty endpoint list."""
    return Engine(measured_relay_settings(), Limits(), 1, MembershipUpdate(0, True), NOW_US)


def split_into_reads(data: bytes, size: int) -> list[bytes]:
    """Frame the data as one HTTP chunk and split the response as reads of a socket would split it."""
    framed = RESPONSE_HEAD + b"%x\r\n" % len(data) + data + b"\r\n"
    return [framed[offset : offset + size] for offset in range(0, len(framed), size)]


def read_snapshot(entries: int) -> tuple[MembershipUpdate, float, float]:
    """Read a snapshot through a watch. Returns the update, the processor time of all reads in microseconds,
    and the elapsed time of the last read in milliseconds.
    """
    limits = Limits()
    watch = EndpointWatch("127.0.0.1:1", 0, measured_relay_settings(), limits)
    *earlier_reads, last = split_into_reads(snapshot_line(entries), limits.max_read_bytes)
    spent_us = math.fsum(processor_us(lambda d=data: watch.feed(d)) for data in earlier_reads)  # type: ignore[misc]
    updates: list[object] = []
    last_read_ms = 0.0

    def finish() -> None:
        nonlocal last_read_ms
        last_read_ms = elapsed_ms(lambda: updates.extend(watch.feed(last)))

    spent_us += processor_us(finish)
    (update,) = updates
    assert isinstance(update, MembershipUpdate)
    return update, spent_us, last_read_ms


def measure_times(entries: int) -> dict[str, float]:
    """Measure all costs of one size except memory."""
    gc.collect()
    update, read_us, turn_ms = read_snapshot(entries)
    engine = empty_engine()
    apply_us = 0.0

    def apply() -> None:
        nonlocal apply_us
        apply_us = processor_us(lambda: engine.endpoint_update_received(update, NOW_US))

    turn_ms += elapsed_ms(apply)
    event = EndpointListUpdate(
        UpdateKind.SNAPSHOT, update.version, [member.entry for member in update.endpoints]
    )
    return {
        WIRE.key: float(len(snapshot_line(entries))),
        READ.key: read_us,
        APPLY.key: apply_us,
        REPEAT.key: processor_us(lambda: engine.endpoint_update_received(update, NOW_US + 1)),
        MODULE.key: processor_us(lambda: engine.balancer.handle(event, NOW_US + 2)),
        LONGEST_TURN.key: turn_ms,
    }


def measure_memory(entries: int) -> dict[str, float]:
    """Measure the memory of an engine with its list, and the peak while the list is read, in kilobytes."""
    measured_relay_settings()
    gc.collect()
    tracemalloc.start()
    try:
        engine = empty_engine()
        update, _, _ = read_snapshot(entries)
        engine.endpoint_update_received(update, NOW_US)
        del update
        retained, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(engine.endpoint_list.entries) == entries
    return {MEMORY.key: retained / 1024, PEAK.key: peak / 1024}


TIME_SWEEP = Sweep(SIZES, CHECK_SIZE, 5)
MEMORY_SWEEP = Sweep(SIZES, CHECK_SIZE, 1)
STEPS = TIME_SWEEP.steps + MEMORY_SWEEP.steps


def measure(on_progress: ProgressCallback) -> list[Cost]:
    """Measure all costs of endpoint lists."""
    time_costs = measure_sizes(
        TIME_SWEEP, (WIRE, READ, APPLY, REPEAT, MODULE, LONGEST_TURN), measure_times, on_progress
    )
    return time_costs + measure_sizes(MEMORY_SWEEP, (MEMORY, PEAK), measure_memory, on_progress)
