"""Figures of a skeleton fleet's run, computed from the records of its relays: pure functions, no clock."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from gannetweir.lab.scale.messages import RelayRecord

WINDOW_S = 10


def percentile(ordered: Sequence[float], share: float) -> float:
    """Return the smallest value that `share` of the ordered values do not exceed; 0 if there are none."""
    if not ordered:
        return 0.0
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


@dataclass(frozen=True, slots=True)
class Spread:
    """The median, the 99th percentile and the maximum of many values."""

    p50: float
    p99: float
    maximum: float


def spread(values: Iterable[float]) -> Spread:
    """Return the spread of the values; zeros if there are none."""
    ordered = sorted(values)
    return Spread(percentile(ordered, 0.5), percentile(ordered, 0.99), ordered[-1] if ordered else 0.0)


def in_force_ns(record: RelayRecord, version: int) -> int | None:
    """Return when a relay first had this version or a later one; None if it never had.

    Recorded versions never decrease: a restarted relay records none until it has a list, which is not older.
    """
    index = bisect_left(record.versions, version)
    return record.applied_ns[index] if index < len(record.versions) else None


@dataclass(frozen=True, slots=True)
class InForceTimes:
    """Times from the changes until they were in force on the relays."""

    ms: Spread
    missing: int  # pairs of a relay and a change that never came in force there


def in_force_times(records: Sequence[RelayRecord], changed_ns: Mapping[int, int]) -> InForceTimes:
    """Return the times from each change until it was in force on each relay; `changed_ns` is by version."""
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
    """Return the seconds until the last relay was up to date after a fault; -1 if a relay never was.

    For every relay, the time counts from the end of the fault until the relay had `version`, which was the
    newest version at that end. For each start of a relay from `begin_ns` to before `end_ns`, it counts from
    the start to the first list.
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
    """Return the most bytes received in any `window` seconds from second `begin` to before second `end`.

    Windows slide by one second.
    """
    most = 0
    for first in range(begin, max(begin + 1, end - window + 1)):
        last = min(end, first + window)
        most = max(most, sum(received.get(second, 0) for second in range(first, last)))
    return most


def total_received(received: Mapping[int, int], begin: int, end: int) -> int:
    """Return the bytes received from second `begin` to before second `end`."""
    return sum(count for second, count in received.items() if begin <= second < end)
