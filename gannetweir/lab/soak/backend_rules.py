"""Rules for backends: no attempt while a backend drains or is offline, and limited load in its slow start."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Iterator

from gannetweir.lab.soak.evidence import OBSERVATION_SLACK_US, PROTOCOL_TOLERANCE_US, Evidence
from gannetweir.lab.soak.findings import Finding, SoakRule
from gannetweir.lab.soak.plan import (
    DRAIN_GRACE_US,
    OVERLOAD_WINDOW_US,
    SLOW_START_DURATION_US,
    SLOW_START_INITIAL_FACTOR,
)
from gannetweir.lab.soak.records import (
    BackendObservation,
    BackendStart,
    FaultSpan,
    MembershipChange,
    OverrideCall,
    WatchEventSent,
)

# A relay knows of a membership change after this time, unless discovery can't be reached.
WATCH_DELAY_LIMIT_US = 6_000_000
# If fewer first lines than this are expected in a window, the platform's contract allows a wider margin.
SMALL_MEAN = 30
NO_SINGLE_RELAY = -1  # `relay` of a finding if all relays share the budget

StateChange = tuple[int, str]  # time in microseconds, new health


def judge_drains(evidence: Evidence) -> Iterator[Finding]:
    """Find DRAIN: attempts at a backend more than `DRAIN_GRACE_US` after the relay was notified of the
    backend's drain or removal.
    """
    changes_sent: dict[tuple[int, str], list[StateChange]] = defaultdict(list)
    for event in evidence.of_type(WatchEventSent):
        changes_sent[event.relay, event.backend].append((event.at_us, event.health))
    changes_made: dict[str, list[StateChange]] = defaultdict(list)
    for change in evidence.of_type(MembershipChange):
        changes_made[change.backend].append((change.at_us, change.health))
    outages = [span for span in evidence.faults if span.kind.startswith("discovery")]
    for relay, attempt in evidence.attempts_by_relay():
        at_us = attempt.first_us
        sent_us = _not_ready_since_us(changes_sent[relay, attempt.backend], at_us)
        latest_us = _latest_notification_us(changes_made[attempt.backend], outages, at_us)
        since_us = min((known_us for known_us in (sent_us, latest_us) if known_us), default=0)
        if not since_us:
            continue
        # Delays of the stand-ins need no allowance: discovery records the time after it has written the
        # state, and `first_us` is the time at which the kernel received the line.
        limit_us = DRAIN_GRACE_US + PROTOCOL_TOLERANCE_US + OBSERVATION_SLACK_US
        limit_us += evidence.relay_wait_us(relay, since_us, at_us)
        if at_us > since_us + limit_us:
            late_ms = (at_us - since_us) // 1000
            detail = f"{attempt.request} at {attempt.backend}, {late_ms} ms after the relay was notified"
            yield Finding(SoakRule.DRAIN, relay, at_us, detail)


def _not_ready_since_us(changes: Iterable[StateChange], at_us: int) -> int:
    """Return since when a backend has continuously been not ready at a given time; 0 if it is ready."""
    since_us = 0
    for changed_us, health in sorted(changes):
        if changed_us > at_us:
            break
        if health == "Ready":
            since_us = 0
        elif not since_us:
            since_us = changed_us
    return since_us


def _latest_notification_us(changes: list[StateChange], outages: list[FaultSpan], at_us: int) -> int:
    """Return from when on a relay must know the state of a given time, even if it was sent nothing; 0 if the
    backend is ready then.
    """
    reachable_us = _not_ready_since_us(changes, at_us)
    if not reachable_us:
        return 0
    for span in sorted(outages, key=lambda span: span.from_us):
        if span.from_us <= reachable_us < span.to_us:
            reachable_us = span.to_us
    return reachable_us + WATCH_DELAY_LIMIT_US


def judge_overrides(evidence: Evidence) -> Iterator[Finding]:
    """Find OPERATOR_OVERRIDE: attempts at a backend between the `ok` to OFFLINE and the call of ONLINE."""
    offline = _offline_spans(evidence)
    for relay, attempt in evidence.attempts_by_relay():
        at_us = attempt.first_us
        for since_us, until_us in offline[relay, attempt.backend]:
            limit_us = PROTOCOL_TOLERANCE_US + OBSERVATION_SLACK_US
            limit_us += evidence.relay_wait_us(relay, since_us, at_us)
            if since_us + limit_us < at_us < until_us:
                late_ms = (at_us - since_us) // 1000
                detail = f"{attempt.request} at {attempt.backend}, {late_ms} ms after the answer"
                yield Finding(SoakRule.OPERATOR_OVERRIDE, relay, at_us, detail)


def _offline_spans(evidence: Evidence) -> dict[tuple[int, str], list[tuple[int, int]]]:
    """Return when each backend was offline at each relay: pairs of begin and end, by relay and backend."""
    spans: dict[tuple[int, str], list[tuple[int, int]]] = defaultdict(list)
    offline_since: dict[tuple[int, str], int] = {}
    for call in sorted(evidence.of_type(OverrideCall), key=lambda call: call.at_us):
        relay_backend = call.relay, call.backend
        if call.out:
            offline_since.setdefault(relay_backend, call.at_us)
        elif relay_backend in offline_since:
            spans[relay_backend].append((offline_since.pop(relay_backend), call.at_us))
    return spans


def judge_slow_start(evidence: Evidence) -> Iterator[Finding]:
    """Find SLOW_START: a backend in slow start gets more first lines in a window than its budget."""
    arrivals: dict[str, list[int]] = defaultdict(list)
    for observation in evidence.of_type(BackendObservation):
        arrivals[observation.backend].append(observation.arrived_us)
    for start in evidence.of_type(BackendStart):
        ends_us = start.at_us + SLOW_START_DURATION_US
        arrived = [at_us for at_us in sorted(arrivals[start.backend]) if start.at_us <= at_us < ends_us]
        for index, at_us in enumerate(arrived):
            count = index + 1 - bisect_left(arrived, at_us - OVERLOAD_WINDOW_US)
            budget = _slow_start_budget(start, at_us)
            if count > budget:
                detail = f"{start.backend}: {count} first lines in a window with a budget of {budget:.1f}"
                yield Finding(SoakRule.SLOW_START, NO_SINGLE_RELAY, at_us, detail)
                break


def _slow_start_budget(start: BackendStart, at_us: int) -> float:
    """Return the budget of first lines for the window that ends at a given time."""
    capacity_factor = (
        SLOW_START_INITIAL_FACTOR
        + (1.0 - SLOW_START_INITIAL_FACTOR) * (at_us - start.at_us) / SLOW_START_DURATION_US
    )
    mean = float(start.warm_per_s * capacity_factor * OVERLOAD_WINDOW_US / 1e6)
    if mean < SMALL_MEAN:
        return float(mean + 3.0 * mean**0.5 + 3.0)
    return float(mean + 2.0 * mean**0.5 + 2.0)
