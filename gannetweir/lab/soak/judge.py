"""The rules, held against what the stand-ins of a soak saw. Knows nothing of the relay's insides.

The stand-ins are ordinary processes on a busy machine: what they read may have come earlier. So a rule counts
as broken only where no lateness of theirs explains it; `SLACK_US` and their records of lateness say so.
"""

from __future__ import annotations

import re
from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import combinations
from typing import TypeVar

import orjson

from gannetweir.lab.soak.plan import (
    CLASSES,
    DRAIN_GRACE_US,
    OVERLOAD_WINDOW_US,
    SLOW_START_FROM,
    SLOW_START_US,
    FaultKind,
    SoakPlan,
    proxy_name,
)
from gannetweir.lab.soak.records import (
    AttemptObservation,
    BackendObservation,
    BackendStart,
    ClientObservation,
    FaultSpan,
    LoopDelay,
    MembershipChange,
    OverrideCall,
    ProcessLifetime,
    Record,
    RunQueueWait,
    WatchEventSent,
)

OBSERVATION_SLACK_US = (
    60_000  # beyond the 50 ms that every limit of the protocol has: two turns of a stand-in's loop
)
PROTOCOL_TOLERANCE_US = 50_000
LATE_ANSWER_US = 500_000
START_LIMIT_US = 10_000_000
LINE_DELAY_LIMIT_US = 1_000_000
WATCH_DELAY_LIMIT_US = 6_000_000
DEATH_NOTICE_US = 500_000  # a process's death is noticed by then
NEVER_US = 1 << 62
FINAL_ANSWERS = "UP", "BUSY", "ERR"
BROKEN_CONNECTIONS = "broken_at"  # a span in which the kernel of one relay broke its connections to backends
_DEADLINE = re.compile(r"([ ,]d=)\d+")


class SoakRule(StrEnum):
    """What the run was judged by."""

    LOST = "lost"  # a request without an answer, or one that came too late to be one
    FABRICATED = "fabricated"  # an UP that no backend gave for this request
    OVERLAP = "overlap"
    REPEAT = "repeat"
    ALTERED = "altered"  # a first line or a later line that was changed on its way
    DRAIN = "drain"
    ATTEMPT_AFTER_DISCONNECT = "client_gone"
    CLOSED_WITHOUT_MOVE = "cut_off"
    LINE_DELAYED = "held_back"
    SLOW_START = "cold"
    OPERATOR_OVERRIDE = "operators"  # something new at a backend that was taken out of use by hand
    START = "start"
    EXIT = "exit"
    CRASH = "crash"
    DESCRIPTORS = "descriptors"
    INVARIANT = "invariant"  # the relay's own guard, or a fault that it noticed


@dataclass(frozen=True, slots=True)
class Finding:
    """One broken rule."""

    rule: SoakRule
    relay: int
    at_us: int
    detail: str


@dataclass(slots=True)
class Verdict:
    """What a run showed."""

    findings: list[Finding]
    counts: Counter[str] = field(default_factory=Counter)

    def rules_broken_by(self, relay: int) -> set[SoakRule]:
        """The rules that one relay broke."""
        return {finding.rule for finding in self.findings if finding.relay == relay}


T = TypeVar("T")


class Evidence:
    """The records of a run, by what they are asked for."""

    def __init__(self, records: Sequence[Record], plan: SoakPlan, logs: dict[int, list[str]]) -> None:
        self.plan, self.logs = plan, logs
        self.records = records
        self.clients = {saw.request: saw for saw in self.of_type(ClientObservation)}
        self.lifetimes = self.of_type(ProcessLifetime)
        self.faults = self.of_type(FaultSpan)
        self.attempts: dict[str, list[AttemptObservation]] = defaultdict(list)
        for attempt in self.of_type(AttemptObservation):
            if attempt.request in self.clients:
                self.attempts[attempt.request].append(attempt)
        self.backend_observations: dict[tuple[str, str], list[BackendObservation]] = defaultdict(list)
        for saw in self.of_type(BackendObservation):
            self.backend_observations[saw.request, saw.backend].append(saw)
        self.loop_delays = sorted(self.of_type(LoopDelay), key=lambda late: late.at_us)
        self.loop_delay_times = [late.at_us for late in self.loop_delays]
        self.run_queue_waits: dict[str, list[RunQueueWait]] = defaultdict(list)
        for wait in self.of_type(RunQueueWait):
            self.run_queue_waits[wait.process].append(wait)
        self.killed_backends = {
            span.target
            for span in self.faults
            if span.kind in (FaultKind.BACKEND_CRASHES, FaultKind.BACKEND_DRAINS)
        }  # backends whose last records may be missing

    def of_type(self, kind: type[T]) -> list[T]:
        """The records of one type."""
        return [record for record in self.records if isinstance(record, kind)]

    def observation_slack_us(self, from_us: int, to_us: int) -> int:
        """How late a stand-in may have seen what it noted in this time."""
        return OBSERVATION_SLACK_US + self.loop_delay_us(from_us, to_us)

    def loop_delay_us(self, from_us: int, to_us: int, process: str = "") -> int:
        """The most that stand-ins whose name begins like this were held up, as they measured themselves."""
        begin = bisect_left(self.loop_delay_times, from_us - 50_000)
        end = bisect_left(self.loop_delay_times, to_us + 500_000)
        seen = (late.late_us for late in self.loop_delays[begin:end] if late.process.startswith(process))
        return max(seen, default=0)

    def run_queue_wait_us(self, from_us: int, to_us: int, *processes: str) -> int:
        """How long, in this time, these processes were ready to run and the machine gave them no turn."""
        waits = [wait for process in processes for wait in self.run_queue_waits[process]]
        overlaps = [(min(to_us, wait.to_us) - max(from_us, wait.from_us), wait.waited_us) for wait in waits]
        return sum(min(overlap, waited) for overlap, waited in overlaps if overlap > 0)

    def proxy_of(self, backend: str) -> str:
        """The stand-in between the relays and a backend; empty for one that a relay has made up."""
        number = backend.removeprefix("b")
        return proxy_name(int(number) % self.plan.proxies) if number.isdecimal() else ""

    def was_relay_killed(self, relay: int, from_us: int, to_us: int) -> bool:
        """Did this relay die by force in that time?"""
        return any(
            life.relay == relay and life.how != "term" and from_us <= life.ended_us <= to_us + DEATH_NOTICE_US
            for life in self.lifetimes
        )

    def were_connections_broken(self, relay: int, at_us: int) -> bool:
        """Did the kernel break connections of this relay to backends then?"""
        target = f"n{relay}"
        return any(
            span.kind == BROKEN_CONNECTIONS
            and span.target == target
            and span.from_us <= at_us < span.to_us + OBSERVATION_SLACK_US
            for span in self.faults
        )

    def is_disturbed(self, target: str, from_us: int, to_us: int) -> bool:
        """Was anything done to it in that time?"""
        return any(
            span.target == target and span.from_us < to_us and from_us < span.to_us for span in self.faults
        )


Findings = Iterator[Finding]


def _judge_answers(evidence: Evidence) -> Findings:
    """One final answer in time, made by a backend where it is UP."""
    for saw in evidence.clients.values():
        if saw.left_us and not saw.answer:
            continue
        gave_up_us = saw.gave_up_us or saw.deadline_us + LATE_ANSWER_US  # older records don't say when
        waited_until = saw.ended_us or saw.answered_us or gave_up_us
        no_turn = evidence.run_queue_wait_us(saw.sent_us, waited_until, f"n{saw.relay}")
        slack = evidence.observation_slack_us(saw.sent_us, waited_until)
        due = saw.deadline_us + PROTOCOL_TOLERANCE_US + LATE_ANSWER_US + slack + no_turn
        if saw.answer not in FINAL_ANSWERS:
            # Where its relay had no processor for a while, a client must have waited for that long, and have
            # been let into the listener's queue, to tell.
            waited_enough = waited_until >= due and not saw.unheard
            can_be_told = saw.end or saw.answer or waited_enough or no_turn <= PROTOCOL_TOLERANCE_US
            until = min(waited_until, due) + slack
            if can_be_told and not evidence.was_relay_killed(saw.relay, saw.sent_us - 1_000_000, until):
                how, took = saw.answer or saw.end or "no answer", (waited_until - saw.sent_us) // 1000
                detail = f"{saw.request} {saw.cls}: {how}, {took} ms"
                yield Finding(SoakRule.LOST, saw.relay, waited_until, detail)
        elif saw.answered_us > due:
            late = (saw.answered_us - saw.deadline_us) // 1000
            yield Finding(SoakRule.LOST, saw.relay, waited_until, f"{saw.request}: answered {late} ms late")
        if saw.answer == "UP" and saw.receipt.split(".")[-1] != saw.request:
            yield Finding(SoakRule.FABRICATED, saw.relay, waited_until, f"{saw.request}: {saw.receipt}")


def _attempt_end_us(evidence: Evidence, attempt: AttemptObservation) -> int:
    """When an attempt was over, as far as is known: given up, cut, or answered without service."""
    answers = evidence.backend_observations[attempt.request, attempt.backend]
    ends = [saw.ended_us for saw in answers if saw.ended_us and saw.ended_us >= attempt.first_us]
    known = [us for us in (attempt.relay_ended_us, attempt.cut_us, *ends) if us]
    return min(known, default=NEVER_US)


def _judge_attempts(evidence: Evidence) -> Findings:
    """One attempt at a time, repeats as the class allows, lines unchanged, none for a client that left."""
    effects = {effect.name: effect for effect in CLASSES}
    for request, seen in evidence.attempts.items():
        saw = evidence.clients[request]
        seen.sort(key=lambda attempt: attempt.first_us)
        whole = [attempt for attempt in seen if attempt.whole_us]
        for one, other in combinations(whole, 2):
            # Both were out for certain from the later line to the earlier end, less how late either was read.
            begun = max(one.whole_us, other.whole_us)
            ended = min(_attempt_end_us(evidence, one), _attempt_end_us(evidence, other))
            ways = {evidence.proxy_of(one.backend), evidence.proxy_of(other.backend)}
            late = max(
                evidence.loop_delay_us(begun, ended, way) for way in (*ways, one.backend, other.backend)
            )
            late += evidence.run_queue_wait_us(begun, ended, *ways)
            if ended > begun + OBSERVATION_SLACK_US + late:
                detail = f"{request}: at {other.backend} while it was out at {one.backend}"
                yield Finding(SoakRule.OVERLAP, saw.relay, other.whole_us, detail)
            if not _may_be_repeated(
                evidence, one, other, effects[saw.cls].idempotency, effects[saw.cls].idempotency_scope
            ):
                detail = f"{request} {saw.cls}: at {one.backend}, then at {other.backend}"
                yield Finding(SoakRule.REPEAT, saw.relay, other.whole_us, detail)
        for attempt in whole:
            if _DEADLINE.sub(r"\1", attempt.line) != _DEADLINE.sub(r"\1", saw.line):
                yield Finding(SoakRule.ALTERED, saw.relay, attempt.whole_us, f"{saw.line} as {attempt.line}")
        for attempt in seen:
            # Both times are exact, however late the stand-ins were: the end had been sent, the line has come.
            no_turn = evidence.run_queue_wait_us(saw.left_us, attempt.first_us, f"n{saw.relay}")
            if (
                saw.left_us
                and attempt.first_us
                > saw.left_us + 100_000 + PROTOCOL_TOLERANCE_US + OBSERVATION_SLACK_US + no_turn
            ):
                late = (attempt.first_us - saw.left_us) // 1000
                yield Finding(
                    SoakRule.ATTEMPT_AFTER_DISCONNECT, saw.relay, attempt.first_us, f"{request}: {late} ms"
                )


def _may_be_repeated(
    evidence: Evidence, one: AttemptObservation, other: AttemptObservation, repeat: str, scope: str
) -> bool:
    """May the second attempt follow the first one, which was written whole?"""
    answers = evidence.backend_observations[one.request, one.backend]
    if repeat == "repeatable" or any(saw.answer == "BUSY" for saw in answers):
        return True
    if repeat == "once":
        return False
    same = int(one.backend[1:]) % 3 == int(other.backend[1:]) % 3
    return scope == "all" or same


def _judge_drains(evidence: Evidence) -> Findings:
    """Nothing new at a backend half a second after its drain or end was told."""
    told: dict[tuple[int, str], list[tuple[int, str]]] = defaultdict(list)
    for state in evidence.of_type(WatchEventSent):
        told[state.relay, state.backend].append((state.at_us, state.health))
    changes: dict[str, list[MembershipChange]] = defaultdict(list)
    for change in evidence.of_type(MembershipChange):
        changes[change.backend].append(change)
    outages = [span for span in evidence.faults if span.kind.startswith("discovery")]
    for request, seen in evidence.attempts.items():
        relay = evidence.clients[request].relay
        for attempt in seen:
            since = _not_ready_since(told[relay, attempt.backend], attempt.first_us)
            latest = _notified_at_latest(changes[attempt.backend], outages, attempt.first_us)
            since = min((us for us in (since, latest) if us), default=0)
            # Both times are exact, as of a client that left: discovery had written it, the line has come.
            no_turn = evidence.run_queue_wait_us(since, attempt.first_us, f"n{relay}")
            if (
                since
                and attempt.first_us
                > since + DRAIN_GRACE_US + PROTOCOL_TOLERANCE_US + OBSERVATION_SLACK_US + no_turn
            ):
                late = (attempt.first_us - since) // 1000
                detail = f"{request} at {attempt.backend}, {late} ms after it was told"
                yield Finding(SoakRule.DRAIN, relay, attempt.first_us, detail)


def _not_ready_since(told: list[tuple[int, str]], at_us: int) -> int:
    """Since when the states up to a moment say without a break that it leaves; 0 if it is in use."""
    since = 0
    for us, health in sorted(told):
        if us > at_us:
            break
        since = 0 if health == "Ready" else since or us
    return since


def _notified_at_latest(changes: list[MembershipChange], outages: list[FaultSpan], at_us: int) -> int:
    """When the state of that moment counts as told, whatever arrived; 0 if it is in use."""
    reachable = _not_ready_since([(change.at_us, change.health) for change in changes], at_us)
    if not reachable:
        return 0
    for span in sorted(outages, key=lambda span: span.from_us):
        if span.kind is not FaultKind.DISCOVERY_SILENT and span.from_us <= reachable < span.to_us:
            reachable = span.to_us
    return reachable + WATCH_DELAY_LIMIT_US


def _judge_connections(evidence: Evidence) -> Findings:
    """No connection cut without MOVE while its backend answers; lines back in order, and soon."""
    for saw in evidence.clients.values():
        if saw.answer != "UP":
            continue
        backend = saw.receipt.split(".")[0]
        if saw.echo_wrong:
            yield Finding(SoakRule.ALTERED, saw.relay, saw.answered_us, f"{saw.request}: lines changed")
        if saw.end and not saw.moved and not _was_ended_elsewhere(evidence, saw, backend):
            yield Finding(
                SoakRule.CLOSED_WITHOUT_MOVE,
                saw.relay,
                saw.ended_us,
                f"{saw.request} at {backend}: {saw.end}",
            )
        until = saw.echo_at_us + saw.echo_us
        # the stand-ins that the line passes
        passed = evidence.proxy_of(backend), backend, evidence.proxy_of(backend), "clients"
        slack = OBSERVATION_SLACK_US + sum(
            evidence.loop_delay_us(saw.echo_at_us, until, process) for process in passed
        )
        slack += evidence.run_queue_wait_us(saw.echo_at_us, until, f"n{saw.relay}")
        disturbed = any(
            evidence.is_disturbed(target, saw.echo_at_us - 500_000, until)
            for target in (backend, f"n{saw.relay}")
        )
        if saw.echo_us > LINE_DELAY_LIMIT_US + PROTOCOL_TOLERANCE_US + slack and not disturbed:
            yield Finding(SoakRule.LINE_DELAYED, saw.relay, until, f"{saw.request}: {saw.echo_us // 1000} ms")


def _was_ended_elsewhere(evidence: Evidence, saw: ClientObservation, backend: str) -> bool:
    """Was it ended by its backend, by the network, or by the death of a process?"""
    # from the sent line on: its answer may have been read after the process was killed that had written it
    if evidence.was_relay_killed(saw.relay, saw.sent_us, saw.ended_us + OBSERVATION_SLACK_US):
        return True
    if any(seen.ended_us for seen in evidence.backend_observations[saw.request, backend]):
        return True
    if any(attempt.cut_us for attempt in evidence.attempts[saw.request]):
        return True
    if saw.end == "reset" and evidence.were_connections_broken(saw.relay, saw.ended_us):
        return True
    return (
        evidence.is_disturbed(backend, saw.ended_us - 1_000_000, saw.ended_us)
        and backend in evidence.killed_backends
    )


def _judge_slow_start(evidence: Evidence) -> Findings:
    """A cold backend bears a budget in every window, whoever sends it."""
    starts: dict[str, list[BackendStart]] = defaultdict(list)
    for start in evidence.of_type(BackendStart):
        starts[start.backend].append(start)
    arrivals: dict[str, list[int]] = defaultdict(list)
    for saw in evidence.of_type(BackendObservation):
        arrivals[saw.backend].append(saw.arrived_us)
    for backend, began in starts.items():
        came = sorted(arrivals[backend])
        for start in began:
            mine = [us for us in came if start.at_us <= us < start.at_us + SLOW_START_US]
            for place, us in enumerate(mine):
                count = place + 1 - bisect_left(mine, us - OVERLOAD_WINDOW_US)
                most = _slow_start_budget(start, us)
                if count > most:
                    detail = f"{backend}: {count} first lines in a window that bears {most:.1f}"
                    yield Finding(SoakRule.SLOW_START, -1, us, detail)
                    break


def _slow_start_budget(start: BackendStart, at_us: int) -> float:
    warmth = SLOW_START_FROM + (1.0 - SLOW_START_FROM) * (at_us - start.at_us) / SLOW_START_US
    mean = float(start.warm_per_s * warmth * OVERLOAD_WINDOW_US / 1e6)
    more = 3.0 * mean**0.5 + 3.0 if mean < 30 else 2.0 * mean**0.5 + 2.0
    return float(mean + more)


def _judge_lifetimes(evidence: Evidence) -> Findings:
    """Ready in time, out in time, no crash, no more descriptors than allowed."""
    for life in evidence.lifetimes:
        if life.how in ("crash", "term") and life.code != 0:
            detail = f"exit code {life.code} after {life.how}"
            yield Finding(SoakRule.CRASH, life.relay, life.ended_us, detail)
        if life.how == "crash" and life.code == 0:
            yield Finding(SoakRule.CRASH, life.relay, life.ended_us, "it ended unasked")
        no_turn = evidence.run_queue_wait_us(life.started_us, life.ready_us, f"n{life.relay}")
        if life.how == "no start" or life.ready_us - life.started_us > START_LIMIT_US + no_turn:
            yield Finding(SoakRule.START, life.relay, life.started_us, f"{life.how}: not ready in time")
        if life.how == "late":
            took = (life.ended_us - life.asked_to_end_us) // 1000
            yield Finding(SoakRule.EXIT, life.relay, life.ended_us, f"still there after {took} ms")
        if life.descriptors > evidence.plan.sockets:
            detail = f"{life.descriptors} of {evidence.plan.sockets}"
            yield Finding(SoakRule.DESCRIPTORS, life.relay, life.ended_us, detail)


_FAULTS = ("driver_faults", "placement_faults", "violations")
_SAID = ("invariant violated", "a driver failed", "placement failed on", "Traceback")


def _judge_logs(evidence: Evidence) -> Findings:
    """What a relay's guard counted, and the faults that it noticed."""
    for relay, lines in evidence.logs.items():
        said = [line for line in lines if any(word in line for word in _SAID)]
        for line in said[:5]:
            yield Finding(SoakRule.INVARIANT, relay, 0, line[:300])
        counted: Counter[str] = Counter()
        for line in lines:
            if line.startswith("{") and '"membership_version"' in line:
                values = orjson.loads(line)
                counted.update({name: values[name] for name in _FAULTS if values.get(name)})
        if counted and not said:
            yield Finding(SoakRule.INVARIANT, relay, 0, str(dict(counted)))


def _judge_overrides(evidence: Evidence) -> Findings:
    """Nothing new at a backend from the `ok` to its being taken out until its being called back."""
    spans: dict[tuple[int, str], list[tuple[int, int]]] = defaultdict(list)
    out: dict[tuple[int, str], int] = {}
    for call in sorted(evidence.of_type(OverrideCall), key=lambda call: call.at_us):
        if call.out:
            out.setdefault((call.relay, call.backend), call.at_us)
        elif (since := out.pop((call.relay, call.backend), 0)) > 0:
            spans[call.relay, call.backend].append((since, call.at_us))
    for request, seen in evidence.attempts.items():
        relay = evidence.clients[request].relay
        for attempt in seen:
            for since, until in spans[relay, attempt.backend]:
                no_turn = evidence.run_queue_wait_us(since, attempt.first_us, f"n{relay}")
                if since + PROTOCOL_TOLERANCE_US + OBSERVATION_SLACK_US + no_turn < attempt.first_us < until:
                    late = (attempt.first_us - since) // 1000
                    detail = f"{request} at {attempt.backend}, {late} ms after the answer"
                    yield Finding(SoakRule.OPERATOR_OVERRIDE, relay, attempt.first_us, detail)


RULES: tuple[Callable[[Evidence], Findings], ...] = (
    _judge_answers,
    _judge_attempts,
    _judge_drains,
    _judge_connections,
    _judge_slow_start,
    _judge_overrides,
    _judge_lifetimes,
    _judge_logs,
)


def judge(records: Sequence[Record], plan: SoakPlan, logs: dict[int, list[str]]) -> Verdict:
    """Hold all rules against the records of a run; `logs` are the lines that each relay wrote."""
    evidence = Evidence(records, plan, logs)
    findings = [finding for rule in RULES for finding in rule(evidence)]
    counts = Counter(saw.answer or "none" for saw in evidence.clients.values())
    counts["requests"] = len(evidence.clients)
    counts["attempts"] = sum(len(seen) for seen in evidence.attempts.values())
    counts["troubles"] = len(evidence.faults)
    counts["latest stand-in, ms"] = evidence.loop_delay_us(0, NEVER_US) // 1000
    return Verdict(sorted(findings, key=lambda finding: finding.at_us), counts)
