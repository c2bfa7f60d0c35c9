"""The soak: the judge finds every rule that a faulty relay breaks, and has no finding in a correct relay."""

from __future__ import annotations

import contextlib
import os
import select
import shutil
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from itertools import pairwise
from pathlib import Path

import anyio
import pytest

from gannetweir.lab.soak import shim, stand_in
from gannetweir.lab.soak.findings import SoakRule, Verdict
from gannetweir.lab.soak.judge import judge
from gannetweir.lab.soak.plan import Fault, FaultKind, SoakPlan, draw_faults
from gannetweir.lab.soak.records import (
    AttemptObservation,
    BackendObservation,
    BackendStart,
    ClientObservation,
    FaultSpan,
    MembershipChange,
    OverrideCall,
    ProcessLifetime,
    Record,
    RecordFile,
    RunQueueWait,
    WatchEventSent,
    now_us,
    read_records,
)
from gannetweir.lab.soak.relays import relay_command
from gannetweir.lab.soak.run import Soak
from gannetweir.lab.soak.run_queue import RunQueueSampler, waited_us

PLAN = SoakPlan(sockets=100)
LINE = "OPEN r1 2 c=once,d={},g=3"
SECOND = 1_000_000


def client(**changes: object) -> ClientObservation:
    """Return a served request of class `once` whose client disconnected a second after its first line."""
    values: dict[str, object] = {
        "request": "r1",
        "relay": 0,
        "cls": "once",
        "line": LINE.format(1000),
        "sent_us": 10 * SECOND,
        "deadline_us": 11 * SECOND,
        "answer": "UP",
        "receipt": "b1.1.r1",
        "answered_us": 10 * SECOND + 5000,
        "left_us": 11 * SECOND,
    }
    return ClientObservation(**(values | changes))  # type: ignore[arg-type]


def attempt(backend: str = "b1", at: int = 10 * SECOND + 1000, **changes: object) -> AttemptObservation:
    values: dict[str, object] = {"whole_us": at, "relay_ended_us": 11 * SECOND}
    return AttemptObservation("r1", backend, LINE.format(300), at, **(values | changes))  # type: ignore[arg-type]


RECEIVED_BY_B1 = BackendObservation("r1", "b1", 10 * SECOND + 1000, "UP", "b1.1.r1")
SERVED_REQUEST: list[Record] = [client(), attempt(), RECEIVED_BY_B1]
ABANDONED_ATTEMPT = attempt("b0", 10 * SECOND + 500, relay_ended_us=10 * SECOND + 900)
UNANSWERED = {"answer": "", "receipt": "", "answered_us": 0, "left_us": 0}
KILLED_RELAY = ProcessLifetime(0, 0, SECOND, 10 * SECOND, 10 * SECOND, "kill", -9)
VIOLATION_CASES: dict[str, tuple[SoakRule, list[Record]]] = {
    "reset": (SoakRule.LOST, [client(**UNANSWERED, end="reset", ended_us=10 * SECOND)]),
    "no answer": (SoakRule.LOST, [client(**UNANSWERED)]),
    "answer too late": (
        SoakRule.LOST,
        [client(answered_us=11_700_000, left_us=12 * SECOND), attempt(), RECEIVED_BY_B1],
    ),
    "UP that no backend sent": (SoakRule.FABRICATED, [client(receipt="b1.1.r2"), attempt(), RECEIVED_BY_B1]),
    "MOVE in place of an answer": (SoakRule.LOST, [client(answer="MOVE", receipt="", left_us=0)]),
    "no answer, client waited longer than the relay for a processor": (
        SoakRule.LOST,
        [
            client(**UNANSWERED, gave_up_us=21 * SECOND),
            RunQueueWait("n0", 11 * SECOND, 20 * SECOND, 8 * SECOND),
        ],
    ),
    "first line not acknowledged, though the relay had a processor": (
        SoakRule.LOST,
        [client(**UNANSWERED, gave_up_us=11_200_000, unheard=True)],
    ),
    "two attempts at once": (
        SoakRule.OVERLAP,
        [
            client(cls="free"),
            attempt("b0", relay_ended_us=10_900_000),
            attempt(at=10 * SECOND + 2000),
            RECEIVED_BY_B1,
        ],
    ),
    "attempt that never ended": (
        SoakRule.OVERLAP,
        [client(cls="free"), attempt("b0", relay_ended_us=0), attempt(), RECEIVED_BY_B1],
    ),
    "retry of class once": (SoakRule.REPEAT, [client(), ABANDONED_ATTEMPT, attempt(), RECEIVED_BY_B1]),
    "retry in another cell": (
        SoakRule.REPEAT,
        [client(cls="cell"), ABANDONED_ATTEMPT, attempt(), RECEIVED_BY_B1],
    ),
    "first line changed": (
        SoakRule.ALTERED,
        [client(line=LINE.format(1000) + "4"), attempt(), RECEIVED_BY_B1],
    ),
    "later line changed": (SoakRule.ALTERED, [client(echo_wrong=True), attempt(), RECEIVED_BY_B1]),
    "drain sent to the relay": (
        SoakRule.DRAIN,
        [*SERVED_REQUEST, WatchEventSent(0, "b1", "Terminating", 0, 9 * SECOND)],
    ),
    "drain not sent within the limit": (
        SoakRule.DRAIN,
        [*SERVED_REQUEST, MembershipChange("b1", "Terminating", 0, 3 * SECOND)],
    ),
    "attempt after disconnect": (
        SoakRule.ATTEMPT_AFTER_DISCONNECT,
        [client(**UNANSWERED | {"left_us": 9 * SECOND}), attempt()],
    ),
    "attempt after disconnect, later than the relay's wait for a processor": (
        SoakRule.ATTEMPT_AFTER_DISCONNECT,
        [
            client(**UNANSWERED | {"left_us": 9 * SECOND}),
            attempt(),
            RunQueueWait("n0", 9 * SECOND, 10 * SECOND, 700_000),
        ],
    ),
    "attempt after disconnect, another relay without a processor": (
        SoakRule.ATTEMPT_AFTER_DISCONNECT,
        [
            client(**UNANSWERED | {"left_us": 9 * SECOND}),
            attempt(),
            RunQueueWait("n1", 9 * SECOND, 10 * SECOND, SECOND),
        ],
    ),
    "closed without MOVE": (
        SoakRule.CLOSED_WITHOUT_MOVE,
        [client(left_us=0, end="eof", ended_us=11 * SECOND), attempt(), RECEIVED_BY_B1],
    ),
    "line delayed": (
        SoakRule.LINE_DELAYED,
        [client(echo_us=1_200_000, echo_at_us=10_100_000), attempt(), RECEIVED_BY_B1],
    ),
    "overload in slow start": (
        SoakRule.SLOW_START,
        [
            BackendStart("b1", SECOND, 100.0),
            *(BackendObservation(str(n), "b1", SECOND + n) for n in range(40)),
        ],
    ),
    "attempt at an offline backend": (
        SoakRule.OPERATOR_OVERRIDE,
        [*SERVED_REQUEST, OverrideCall(0, "b1", True, 9 * SECOND), OverrideCall(0, "b1", False, 12 * SECOND)],
    ),
    "ready too late": (
        SoakRule.START,
        [ProcessLifetime(0, 0, 11 * SECOND, 12 * SECOND, 13 * SECOND, "term")],
    ),
    "never ready": (SoakRule.START, [ProcessLifetime(0, 0, 0, 0, 30 * SECOND, "no start", -9)]),
    "no exit in time": (SoakRule.EXIT, [ProcessLifetime(0, 0, SECOND, 2 * SECOND, 6 * SECOND, "late", -9)]),
    "crash": (SoakRule.CRASH, [ProcessLifetime(0, 0, SECOND, 0, 2 * SECOND, "crash", 1)]),
    "exit code 1 after SIGTERM": (
        SoakRule.CRASH,
        [ProcessLifetime(0, 0, SECOND, 2 * SECOND, 3 * SECOND, "term", 1)],
    ),
    "too many descriptors": (SoakRule.DESCRIPTORS, [ProcessLifetime(0, 0, SECOND, 2, 3, "term", 0, 101)]),
}
ALLOWED_CASES: dict[str, list[Record]] = {
    "served": SERVED_REQUEST,
    "answered late, relay without a processor": [
        client(answered_us=12_700_000, left_us=13 * SECOND),
        attempt(),
        RECEIVED_BY_B1,
        RunQueueWait("n0", 11 * SECOND, 13 * SECOND, 1_600_000),
    ],
    "no answer, relay without a processor": [
        client(**UNANSWERED, gave_up_us=21 * SECOND),
        RunQueueWait("n0", 11 * SECOND, 21 * SECOND, 10 * SECOND),
    ],
    "first line not acknowledged, relay without a processor": [
        client(**UNANSWERED, gave_up_us=21 * SECOND, unheard=True),
        RunQueueWait("n0", 10 * SECOND, 11 * SECOND, 200_000),
    ],
    "attempt after disconnect, relay without a processor": [
        client(**UNANSWERED | {"left_us": 9 * SECOND}),
        attempt(),
        RunQueueWait("n0", 9 * SECOND, 10 * SECOND, 900_000),
    ],
    "answer read after the relay was killed": [
        client(left_us=0, end="reset", ended_us=10 * SECOND + 6000),
        attempt(),
        RECEIVED_BY_B1,
        KILLED_RELAY,
    ],
    "relay was killed": [client(**UNANSWERED, end="reset", ended_us=10 * SECOND + 1), KILLED_RELAY],
    "rejected, then retried at another backend": [
        client(),
        ABANDONED_ATTEMPT,
        BackendObservation("r1", "b0", 10 * SECOND, "BUSY"),
        *SERVED_REQUEST[1:],
    ],
    "observed late and out of order": [
        client(cls="free", receipt="b0.1.r1"),
        attempt("b0", 10 * SECOND + 500),
        attempt("b1", 10 * SECOND + 40_000, relay_ended_us=10 * SECOND + 40_010),
    ],
    "retry in the same cell": [client(cls="cell", receipt="b3.1.r1"), ABANDONED_ATTEMPT, attempt("b3")],
    "drain, then ready again": [
        *SERVED_REQUEST,
        WatchEventSent(0, "b1", "Terminating", 0, 8 * SECOND),
        WatchEventSent(0, "b1", "Ready", 1, 9 * SECOND),
    ],
    "online again before the attempt": [
        *SERVED_REQUEST,
        OverrideCall(0, "b1", True, 8 * SECOND),
        OverrideCall(0, "b1", False, 9 * SECOND),
    ],
    "offline at another relay": [
        *SERVED_REQUEST,
        OverrideCall(1, "b1", True, 8 * SECOND),
        OverrideCall(1, "b1", False, 12 * SECOND),
    ],
    "drain sent to another relay": [*SERVED_REQUEST, WatchEventSent(1, "b1", "Terminating", 0, 8 * SECOND)],
    "gone, ready again, then drain": [
        *SERVED_REQUEST,
        MembershipChange("b1", "Gone", 0, SECOND),
        MembershipChange("b1", "Ready", 1, 2 * SECOND),
        MembershipChange("b1", "Terminating", 1, 9 * SECOND),
    ],
    "discovery was down": [
        *SERVED_REQUEST,
        MembershipChange("b1", "Terminating", 0, 3 * SECOND),
        FaultSpan("discovery_down", "discovery", 2 * SECOND, 5 * SECOND),
    ],
    "ended by its backend": [
        client(left_us=0, end="eof", ended_us=11 * SECOND),
        attempt(),
        BackendObservation("r1", "b1", 10 * SECOND, "UP", "b1.1.r1", 11 * SECOND),
    ],
    "reset by the relay's kernel": [
        client(left_us=0, end="reset", ended_us=11 * SECOND),
        attempt(),
        RECEIVED_BY_B1,
        FaultSpan("broken_at", "n0", 10 * SECOND, 12 * SECOND),
    ],
    "reset by the network": [
        client(left_us=0, end="reset", ended_us=11 * SECOND),
        attempt(cut_us=11 * SECOND),
        RECEIVED_BY_B1,
    ],
}


@pytest.mark.parametrize("case", VIOLATION_CASES)
def test_the_judge_finds_a_broken_rule(case: str) -> None:
    rule, records = VIOLATION_CASES[case]
    assert {finding.rule for finding in judge(records, PLAN, {}).findings} == {rule}


def test_the_judge_reads_the_violations_that_a_relay_logs() -> None:
    logs = {
        0: ["n0: invariant violated rule=overlap"],
        1: ['{"membership_version":1,"violations":2}'],
        2: ["n2: x"],
    }
    verdict = judge([], PLAN, logs)
    assert [finding.relay for finding in verdict.findings] == [0, 1]
    assert {finding.rule for finding in verdict.findings} == {SoakRule.INVARIANT}


def test_every_rule_of_the_judge_has_a_case_that_breaks_it() -> None:
    assert {rule for rule, _ in VIOLATION_CASES.values()} | {SoakRule.INVARIANT} == set(SoakRule)


@pytest.mark.parametrize("case", ALLOWED_CASES)
def test_the_judge_has_no_finding_in_an_allowed_case(case: str) -> None:
    assert not judge(ALLOWED_CASES[case], PLAN, {}).findings


def test_a_seed_draws_the_same_faults_again_and_they_overlap() -> None:
    plan = SoakPlan(seed=5)
    faults = draw_faults(plan)
    assert faults == draw_faults(plan) != draw_faults(SoakPlan(seed=6))
    pairs = pairwise(faults)
    assert sum(two.at_s < one.at_s + one.duration_s for one, two in pairs) > len(faults) // 2
    drawn = {fault.kind for seed in range(30) for fault in draw_faults(SoakPlan(seed=seed))}
    assert drawn == set(FaultKind)


def wait_until(condition: Callable[[], bool]) -> None:
    deadline_s = time.monotonic() + 20.0
    while not condition():
        assert time.monotonic() < deadline_s
        time.sleep(0.001)


def test_waits_for_a_processor_are_recorded_by_name_and_none_of_an_ended_process(tmp_path: Path) -> None:
    sampler = RunQueueSampler(RecordFile(tmp_path / "soak.jsonl"))
    busy = [subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(2)]
    for process in busy:  # both on one processor, so that each has to wait for the other
        os.sched_setaffinity(process.pid, {min(os.sched_getaffinity(0))})
    wait_until(lambda: all(waited_us(process.pid) > 10_000 for process in busy))
    sampler.sample((f"n{number}", process.pid) for number, process in enumerate(busy))
    for process in busy:
        process.kill()
        process.wait()
    sampler.sample([("n2", busy[0].pid)])
    waits = read_records(tmp_path)
    assert [wait.process for wait in waits if isinstance(wait, RunQueueWait)] == ["n0", "n1"]


def test_a_stand_in_knows_when_data_arrived_however_late_it_reads() -> None:
    clock_grain_us = 8_000  # two ticks of 4 ms, to which the kernel rounds its times
    with stand_in.listener() as listening, socket.create_connection(listening.getsockname()) as sender:
        reader = stand_in.Connection(listening.accept()[0])
        before_us = now_us()
        sender.send(b"OPEN")
        select.select([reader.sock], [], [])
        readable_us = now_us()
        wait_until(lambda: now_us() > readable_us + 50_000)
        assert before_us - clock_grain_us <= reader.received_us() <= readable_us + clock_grain_us
        reader.sock.close()


def test_a_stand_in_knows_that_a_full_listener_has_not_acknowledged_its_line() -> None:
    with socket.create_server(("127.0.0.1", 0), backlog=1) as listening:
        in_backlog = [
            stand_in.Connection(socket.create_connection(listening.getsockname())) for _ in range(2)
        ]
        extra_socket = socket.socket()
        extra_socket.setblocking(False)
        extra_socket.connect_ex(listening.getsockname())
        beyond_backlog = stand_in.Connection(extra_socket)
        for connection in in_backlog:
            connection.sock.send(b"OPEN")
        wait_until(lambda: not any(connection.has_unacknowledged_data() for connection in in_backlog))
        assert beyond_backlog.has_unacknowledged_data()
        for connection in (*in_backlog, beyond_backlog):
            connection.sock.close()


def test_a_stand_in_knows_the_length_of_an_accept_queue() -> None:
    with stand_in.listener() as listening:
        clients = [socket.create_connection(listening.getsockname()) for _ in range(2)]
        wait_until(lambda: stand_in.accept_queue_length(listening) == 2)
        listening.accept()[0].close()
        assert stand_in.accept_queue_length(listening) == 1
        for client_socket in clients:
            client_socket.close()


def test_building_the_shim_without_a_compiler_raises_an_error(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    monkeypatch.setattr(shutil, "which", lambda name: None)
    with pytest.raises(shim.SoakError, match="no C compiler"):
        shim.build(tmp_path)


def run_soak(
    plan: SoakPlan, folder: Path, broken_rules: Sequence[SoakRule | None], faults: list[Fault]
) -> Verdict:
    """Run a soak in which relay N breaks rule N of `broken_rules`, or no rule if the entry is `None`.

    Returns the verdict.
    """

    def command(number: int) -> list[str]:
        rule = broken_rules[number]
        if rule is None:
            return relay_command()
        return [sys.executable, "-m", "tests.fault_injection", rule, "serve"]

    return anyio.run(Soak(plan, folder, command).run, faults)


RULES_OF_ONE_RELAY = [rule for rule in SoakRule if rule is not SoakRule.SLOW_START]


def test_a_soak_finds_relays_that_break_a_rule_and_no_finding_in_a_correct_relay(tmp_path: Path) -> None:
    broken_rules: list[SoakRule | None] = [*RULES_OF_ONE_RELAY, None]
    plan = SoakPlan(
        seed=2,
        seconds=9,
        relays=len(broken_rules),
        backends=9,
        client_processes=2,
        requests_per_s=150,
        accepts_fail=0,
    )
    faults = [
        Fault(FaultKind.BACKEND_HANGS, 0.5, 6.0, 0),
        Fault(FaultKind.BACKEND_RESETS, 0.5, 6.0, 1),
        Fault(FaultKind.BACKEND_DRAINS, 0.5, 0.0, 2),
        Fault(FaultKind.BACKEND_DRAINS, 5.2, 0.0, 3),
        Fault(FaultKind.OPERATOR_OVERRIDE, 0.5, 6.0, broken_rules.index(SoakRule.OPERATOR_OVERRIDE), 5),
        Fault(FaultKind.OPERATOR_OVERRIDE, 0.5, 6.0, broken_rules.index(None), 5),
    ]
    verdict = run_soak(plan, tmp_path, broken_rules, faults)
    missed = [
        rule
        for number, rule in enumerate(broken_rules)
        if rule and rule not in verdict.rules_broken_by(number)
    ]
    assert not missed, [finding for finding in verdict.findings if broken_rules[finding.relay] in missed]
    assert not verdict.rules_broken_by(broken_rules.index(None)), verdict.findings


def test_a_soak_finds_a_fleet_that_overloads_a_backend_in_slow_start(tmp_path: Path) -> None:
    plan = SoakPlan(
        seed=2, seconds=5, relays=3, backends=6, requests_per_s=150, client_processes=2, accepts_fail=0
    )
    verdict = run_soak(
        plan, tmp_path, [SoakRule.SLOW_START] * 3, [Fault(FaultKind.BACKEND_CRASHES, 0.5, 0.5, 1)]
    )
    assert {finding.rule for finding in verdict.findings} == {SoakRule.SLOW_START}


def test_a_soak_that_is_killed_leaves_no_process_behind(tmp_path: Path) -> None:
    soak = [sys.executable, "-m", "gannetweir.lab", "soak", "--seeds", "1", "--keep", str(tmp_path)]
    process = subprocess.Popen(soak, stdout=subprocess.DEVNULL)

    def remaining_processes() -> list[str]:
        """Return the ids of the processes with the folder of this run in their arguments or environment."""
        found = []
        for entry in Path("/proc").glob("[0-9]*"):
            with contextlib.suppress(OSError):
                if (
                    str(tmp_path).encode()
                    in (entry / "cmdline").read_bytes() + (entry / "environ").read_bytes()
                ):
                    found.append(entry.name)
        return found

    def count_reaches(done: Callable[[int], bool]) -> bool:
        deadline_s = time.monotonic() + 20.0
        while time.monotonic() < deadline_s:
            if done(len(remaining_processes())):
                return True
            time.sleep(0.05)
        return False

    try:
        assert count_reaches(lambda count: count > 20)
    finally:
        process.kill()
        process.wait()
    assert count_reaches(lambda count: not count), remaining_processes()
