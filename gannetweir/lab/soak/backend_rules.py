"""What a backend may be sent: nothing while it drains or is offline, and little while it warms up."""

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

WATCH_DELAY_LIMIT_US = 6_000_000  # a relay knows of a change by then, unless discovery can't be reached
SMALL_MEAN = 30  # requests in a window; below it the budget has a wider margin, as the contract says
NO_SINGLE_RELAY = -1  # the budget is borne together

StateChange = tuple[int, str]  # when, and the health from then on


def judge_drains(evidence: Evidence) -> Iterator[Finding]:
    """DRAIN: nothing new at a backend half a second after its drain or end was sent to the relay."""
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
        # Both times are exact, as of a client that left: discovery had written it, the line has come.
        limit_us = DRAIN_GRACE_US + PROTOCOL_TOLERANCE_US + OBSERVATION_SLACK_US
        limit_us += evidence.relay_wait_us(relay, since_us, at_us)
        if at_us > since_us + limit_us:
            late_ms = (at_us - since_us) // 1000
            detail = f"{attempt.request} at {attempt.backend}, {late_ms} ms after it was told"
            yield Finding(SoakRule.DRAIN, relay, at_us, detail)


def _not_ready_since_us(changes: Iterable[StateChange], at_us: int) -> int:
    """Since when the states up to a moment say without a break that it is not ready; 0 if it is."""
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
    """When the state of that moment counts as known, whatever arrived; 0 if the backend is ready."""
    reachable_us = _not_ready_since_us(changes, at_us)
    if not reachable_us:
        return 0
    for span in sorted(outages, key=lambda span: span.from_us):
        if span.from_us <= reachable_us < span.to_us:
            reachable_us = span.to_us
    return reachable_us + WATCH_DELAY_LIMIT_US


def judge_overrides(evidence: Evidence) -> Iterator[Finding]:
    """OPERATOR_OVERRIDE: nothing new at a backend from the `ok` to its OFFLINE until it is called back."""
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
    """SLOW_START: a backend that warms up bears a budget in every window, whoever sends to it."""
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
                detail = f"{start.backend}: {count} first lines in a window that bears {budget:.1f}"
                yield Finding(SoakRule.SLOW_START, NO_SINGLE_RELAY, at_us, detail)
                break


def _slow_start_budget(start: BackendStart, at_us: int) -> float:
    """How many first lines the window before a moment bears."""
    capacity_factor = (
        SLOW_START_INITIAL_FACTOR
        + (1.0 - SLOW_START_INITIAL_FACTOR) * (at_us - start.at_us) / SLOW_START_DURATION_US
    )
    mean = float(start.warm_per_s * capacity_factor * OVERLOAD_WINDOW_US / 1e6)
    if mean < SMALL_MEAN:
        return float(mean + 3.0 * mean**0.5 + 3.0)
    return float(mean + 2.0 * mean**0.5 + 2.0)
