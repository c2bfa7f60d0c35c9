"""Figures of a hollow fleet's run from its records: pure, no clock."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from gannetweir.lab.scale.messages import RelayRecord

WINDOW_S = 10


def percentile(ordered: Sequence[float], share: float) -> float:
    """The smallest value that `share` of all do not exceed, of values in their order; 0 of none."""
    if not ordered:
        return 0.0
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


@dataclass(frozen=True, slots=True)
class Spread:
    """Of many values: the median, 99 in 100, and the largest."""

    p50: float
    p99: float
    maximum: float


def spread(values: Iterable[float]) -> Spread:
    """The spread of any values; zeros of none."""
    ordered = sorted(values)
    return Spread(percentile(ordered, 0.5), percentile(ordered, 0.99), ordered[-1] if ordered else 0.0)


def in_force_ns(record: RelayRecord, version: int) -> int | None:
    """When a relay first had a version or a later one; None if it never did. Versions only grow: a relay that
    is restarted holds none until it has a list, which is no older.
    """
    index = bisect_left(record.versions, version)
    return record.applied_ns[index] if index < len(record.versions) else None


@dataclass(frozen=True, slots=True)
class InForceTimes:
    """How long each change took to each relay."""

    ms: Spread
    missing: int  # pairs of relay and change that never came in force


def in_force_times(records: Sequence[RelayRecord], changed_ns: Mapping[int, int]) -> InForceTimes:
    """The times from each change, by its version, until it is in force on each relay."""
    times: list[float] = []
    missing = 0
    for record in records:
        for version, changed in changed_ns.items():
            applied_ns = in_force_ns(record, version)
            if applied_ns is None:
                missing += 1
            else:
                times.append((applied_ns - changed) / 1e6)
    return InForceTimes(spread(times), missing)


def recovery_s(
    records: Sequence[RelayRecord], version: int, fault_ended_ns: int, begin_ns: int, end_ns: int
) -> float:
    """Seconds from a fault's end until the last relay had the version that was the newest then; and for the
    relays that were started from `begin_ns` to `end_ns`, from each start to its first list. -1: never.
    """
    longest_ns = 0
    for record in records:
        waits = [(in_force_ns(record, version), fault_ended_ns)]
        for started in record.started_ns:
            if begin_ns <= started < end_ns:
                index = bisect_left(record.applied_ns, started)
                waits.append((record.applied_ns[index] if index < len(record.applied_ns) else None, started))
        for reached, since in waits:
            if reached is None:
                return -1.0
            longest_ns = max(longest_ns, reached - since)
    return longest_ns / 1e9


def max_in_window(received: Mapping[int, int], begin: int, end: int, window: int = WINDOW_S) -> int:
    """The most bytes in any `window` seconds, of those that came from second `begin` to before `end`. Windows
    slide by a second.
    """
    most = 0
    for first in range(begin, max(begin + 1, end - window + 1)):
        last = min(end, first + window)
        most = max(most, sum(received.get(second, 0) for second in range(first, last)))
    return most


def total_received(received: Mapping[int, int], begin: int, end: int) -> int:
    """The bytes that came from second `begin` to before `end`."""
    return sum(count for second, count in received.items() if begin <= second < end)
