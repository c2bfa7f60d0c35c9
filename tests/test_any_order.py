"""The engine under events in a random order, outdated ones included: its invariants hold in every order.

Each seed is a reproducible run.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

import pytest

from gannetweir.core import (
    CloseUpstream,
    Command,
    EndClient,
    EndUpstream,
    Engine,
    EngineOptions,
    Exit,
    FailClient,
    MigrateClient,
    OpenUpstream,
    RejectClient,
    StartForwarding,
    StartLoadProbe,
)
from gannetweir.limits import Limits
from gannetweir.membership.membership_update import ListedEndpoint, MembershipUpdate
from gannetweir.placement.actions import Action
from gannetweir.placement.events import (
    NOT_EXECUTED,
    AttemptStatus,
    EndpointEntry,
    EndpointId,
    EndpointStatus,
    Event,
    RequestArrived,
)
from gannetweir.placement.settings import RequestClass
from tests.helpers import settings

IDEMPOTENCIES = [
    ("once", "cell"),
    ("by_key", "all"),
    ("by_key", "zone"),
    ("by_key", "cell"),
    ("repeatable", "cell"),
]
CLASSES = [
    RequestClass(f"{idempotency}-{scope}", 300_000, 2_000_000, weight, idempotency, scope, 1_000_000)
    for weight, (idempotency, scope) in enumerate(IDEMPOTENCIES, 1)
]
LIMITS = Limits(connect_timeout_us=400_000).with_drain_before_kill(2_000_000)
# With a single slot most probes are not started.
ONE_PROBE_LIMITS = replace(LIMITS, fixed_sockets=LIMITS.reserved_sockets - 1)
# A call into the engine handles some events for each of the six endpoints and of the open requests.
MAX_EVENTS_PER_CALL = 2_000
ANSWER_SLACK_US = 45_000  # the timer for a missing answer expires 5 ms after the balancer's deadline
MAX_ATTEMPTS = 4
STEPS_BEFORE_DRAIN = 251
STEPS_OF_DRAIN = 49


@dataclass
class ExpectedRequest:
    """The expected state of one request."""

    request_class: RequestClass
    deadline_us: int
    resumed: bool = False
    in_flight: OpenUpstream | None = None
    first_line_written: bool = False
    may_have_executed: bool = False
    attempts: int = 0
    max_attempts: int = MAX_ATTEMPTS
    answer: str = ""
    ended: bool = False
    executed_endpoint_id: EndpointId = None
    endpoint_started_us: int = 0  # start time of the endpoint when the attempt started

    def end_attempt(self, may_have_executed: bool) -> None:
        assert self.in_flight is not None
        self.may_have_executed |= may_have_executed
        if self.may_have_executed and self.executed_endpoint_id is None:
            self.executed_endpoint_id = self.in_flight.endpoint_id
        self.in_flight = None
        self.first_line_written = False


class RandomRun:
    """Draws the next step, and checks each command of the engine against the invariants."""

    def __init__(self, seed: int, limits: Limits = LIMITS) -> None:
        self.random = random.Random(seed)
        self.limits = limits
        self.events_of_call = 0
        self.now_us = 1_700_000_000_000_000
        self.settings = settings(
            classes=CLASSES,
            polls_endpoint_list=self.random.random() < 0.5,
            reports_message_delay=True,
            reports_connection_load=True,
            zone_names=["a", "b"],
            max_attempts=MAX_ATTEMPTS,
            groups_enabled=True,
            relay_count=3,
            cross_zone_cost=0.1,
        )
        self.entries = {
            f"b{number}": EndpointEntry(f"b{number}", zone=number % 2, cell=number % 3) for number in range(6)
        }
        self.offline: set[str] = set()
        self.version = 1
        self.requests: dict[int, ExpectedRequest] = {}
        self.probes: list[EndpointId] = []
        self.closed_attempts: list[tuple[int, int]] = []  # later events of these attempts are outdated
        self.exited = False
        self.steps_done = 0
        membership = MembershipUpdate(1, True, [self.listed(endpoint_id) for endpoint_id in self.entries])
        options = EngineOptions(placement_trace=self.count_event)
        self.engine = Engine(self.settings, limits, seed, membership, self.now_us, options)
        self.check_commands()

    def count_event(self, _now_us: int, _event: Event, _actions: Sequence[Action]) -> None:
        self.events_of_call += 1
        assert self.events_of_call < MAX_EVENTS_PER_CALL, "a call into the engine handles events without end"

    def listed(self, endpoint_id: str) -> ListedEndpoint:
        return ListedEndpoint(self.entries[endpoint_id], f"127.0.0.1:{endpoint_id[1:]}")

    def open_request(self) -> None:
        number = self.random.randrange(len(self.settings.classes))
        budget_us = self.random.choice([5_000, 200_000, 700_000, 2_000_000])
        load_hint = self.random.choice([0, 50, 5000])
        flags = self.random.choice([0, 1, 2, 16, 19])
        arrival = RequestArrived(
            0,
            number,
            key=self.random.randrange(9),
            time_budget_us=budget_us,
            load_hint=load_hint,
            group=self.random.randrange(4),
            flags=flags,
        )
        endpoint_id = self.random.choice([*self.entries, "nobody"]) if self.random.random() < 0.1 else ""
        deadline_us = self.now_us + (60_000_000 if endpoint_id else budget_us)
        request_id = self.engine.last_request_id + 1
        # The commands of the call are checked after the call, so the expected request can be added before it.
        self.requests[request_id] = ExpectedRequest(
            self.settings.classes[number], deadline_us, bool(endpoint_id)
        )
        client_id = f"{self.random.randrange(40):x}" if self.random.random() < 0.2 else ""
        is_duplicate = client_id and client_id in self.engine.context.request_id_by_client_id
        opened = self.engine.request_opened(arrival, endpoint_id, self.now_us, client_id)
        if is_duplicate:
            assert not opened
            del self.requests[request_id]
        else:
            assert opened

    def advance_attempt(self) -> None:
        in_flight = [
            (request_id, request)
            for request_id, request in self.requests.items()
            if request.in_flight is not None and not request.ended
        ]
        if not in_flight:
            return
        request_id, request = self.random.choice(in_flight)
        assert request.in_flight is not None
        attempt = request.in_flight.attempt
        self.check_unwritten_attempt(request, request.in_flight)
        if not request.first_line_written and self.random.random() < 0.7:
            request.first_line_written = True
            self.engine.upstream_first_line_written(request_id, attempt, self.now_us)
        elif request.first_line_written and not request.answer and self.random.random() < 0.5:
            assert self.engine.upstream_established(request_id, attempt, self.now_us)
        else:
            status = self.draw_status(request)
            request.end_attempt(may_have_executed=status not in NOT_EXECUTED)
            reset = self.random.random() < 0.5
            self.engine.upstream_ended(request_id, attempt, status, (), reset, self.now_us)

    def check_unwritten_attempt(self, request: ExpectedRequest, command: OpenUpstream) -> None:
        """An attempt with an unwritten first line has been closed if its endpoint drains or restarted."""
        if not request.first_line_written and not request.resumed:
            assert self.accepts_requests(command.endpoint_id)
            assert request.endpoint_started_us == self.started_us(command.endpoint_id)

    def draw_status(self, request: ExpectedRequest) -> AttemptStatus:
        status = AttemptStatus.CONNECT_FAILED
        if request.first_line_written:
            status = self.random.choice(
                [AttemptStatus.ERROR, AttemptStatus.FULL, AttemptStatus.RESET, AttemptStatus.CANCELLED]
            )
        if request.answer:
            status = self.random.choice([AttemptStatus.OK, AttemptStatus.RESET, AttemptStatus.CANCELLED])
        return status

    def report_closed_attempt(self) -> None:
        if self.closed_attempts:
            request_id, attempt = self.random.choice(self.closed_attempts)
            before = len(self.engine.commands)
            assert not self.engine.upstream_established(request_id, attempt, self.now_us)
            self.engine.upstream_first_line_written(request_id, attempt, self.now_us)
            self.engine.upstream_ended(request_id, attempt, AttemptStatus.OK, (), False, self.now_us)
            assert len(self.engine.commands) == before

    def disconnect_client(self) -> None:
        if self.requests:
            request_id = self.random.choice(list(self.requests))
            request = self.requests[request_id]
            self.engine.client_disconnected(request_id, self.random.random() < 0.5, self.now_us)
            request.ended = request.ended or request_id not in self.engine.requests
            request.answer = request.answer or "disconnected"

    def end_probe(self) -> None:
        if self.probes:
            endpoint_id = self.probes.pop(self.random.randrange(len(self.probes)))
            status = self.random.choice(
                [AttemptStatus.OK] * 6
                + [
                    AttemptStatus.ERROR,
                    AttemptStatus.TIMEOUT,
                    AttemptStatus.CONNECT_FAILED,
                    AttemptStatus.NOT_STARTED,
                ]
            )
            load_report: tuple[float, ...] = ()
            if status == AttemptStatus.OK:
                load_report = (float(self.random.randrange(30)), self.random.random() * 1.2)
            self.engine.load_probe_ended(endpoint_id, status, load_report, self.now_us)

    def update_membership(self) -> None:
        self.version += 1
        changed = self.random.sample(sorted(self.entries), self.random.randrange(1, 4))
        for endpoint_id in changed:
            self.change_entry(endpoint_id)
        complete = self.random.random() < 0.3
        if complete:
            changed = [
                endpoint_id
                for endpoint_id, entry in self.entries.items()
                if entry.state != EndpointStatus.REMOVED
            ]
        update = MembershipUpdate(self.version, complete, [self.listed(changed_id) for changed_id in changed])
        self.engine.endpoint_update_received(update, self.now_us)
        if self.random.random() < 0.3:
            self.engine.endpoint_watch_failed("the watch ended", self.now_us)

    def change_entry(self, endpoint_id: str) -> None:
        before = self.entries[endpoint_id]
        state = self.random.choice(
            [EndpointStatus.READY, EndpointStatus.READY, EndpointStatus.DRAINING, EndpointStatus.REMOVED]
        )
        started_us = before.started_us
        if self.random.random() < 0.3:
            started_us = self.now_us - self.random.randrange(30_000_000)
        self.entries[endpoint_id] = replace(before, state=state, started_us=started_us)

    def override_endpoint(self) -> None:
        endpoint_id = self.random.choice(sorted(self.entries))
        offline = endpoint_id not in self.offline
        overrides = self.engine.endpoint_list.overrides.with_override(endpoint_id, offline, self.now_us)
        self.offline ^= {endpoint_id}
        self.engine.apply_operator_overrides(overrides, self.now_us)

    def reload(self) -> None:
        classes = self.random.sample(CLASSES, self.random.randrange(1, len(CLASSES) + 1))
        max_attempts = self.random.randrange(1, MAX_ATTEMPTS + 1)
        self.settings = replace(
            self.settings,
            classes=classes,
            max_attempts=max_attempts,
            polls_endpoint_list=self.random.random() < 0.5,
        )
        for request in self.requests.values():
            request.max_attempts = max(request.attempts, max_attempts)
        self.engine.reload(self.settings, self.limits, self.now_us)

    def wait(self) -> None:
        self.wait_us(self.random.choice([0, 1_000, 30_000, 300_000]))

    def wait_us(self, wait_us: int) -> None:
        until_us = self.now_us + wait_us
        while self.engine.next_due() <= until_us:
            self.now_us = max(self.now_us, self.engine.next_due())
            self.engine.advance(self.now_us)
            self.check_commands()
        self.now_us = until_us

    def step(self) -> None:
        self.random.choice(self.steps())()
        self.check_commands()
        self.steps_done += 1

    def steps(self) -> list[Callable[[], None]]:
        """The possible next steps, each repeated by its relative frequency."""
        return (
            [self.open_request] * 5
            + [self.advance_attempt] * 12
            + [self.disconnect_client] * 2
            + [self.end_probe] * 6
            + [self.update_membership] * 2
            + [self.wait] * 8
            + [self.report_closed_attempt, self.override_endpoint, self.reload]
        )

    def drain(self) -> None:
        self.engine.drain(self.now_us, replaced=self.random.random() < 0.3)

    def check_commands(self) -> None:
        self.events_of_call = 0
        while self.engine.commands:
            command = self.engine.commands.popleft()
            request = self.requests.get(getattr(command, "request_id", 0))
            if isinstance(command, StartLoadProbe):
                assert self.accepts_requests(command.endpoint_id)
                assert command.endpoint_id not in self.probes
                self.probes.append(command.endpoint_id)
            elif isinstance(command, Exit):
                self.exited = True
                assert not self.engine.requests
            elif request is not None:
                self.check_command(command, request)

    def check_command(self, command: Command, request: ExpectedRequest) -> None:
        match command:
            case OpenUpstream():
                self.check_attempt(command, request)
            case CloseUpstream():
                self.check_close(command, request)
            case StartForwarding():
                assert not request.answer
                assert request.in_flight is not None
                request.answer = "served"
            case RejectClient():
                assert not request.may_have_executed or request.request_class.is_idempotent_everywhere
                self.check_final_answer(request, "rejected")
            case FailClient():
                self.check_final_answer(request, "failed")
            case MigrateClient() | EndClient() | EndUpstream():
                self.check_end(command, request)
            case _:
                raise AssertionError(f"unexpected command of a request: {command}")

    def accepts_requests(self, endpoint_id: EndpointId) -> bool:
        is_ready = self.entries[str(endpoint_id)].state == EndpointStatus.READY
        return is_ready and endpoint_id not in self.offline

    def started_us(self, endpoint_id: EndpointId) -> int:
        return self.entries[str(endpoint_id)].started_us

    def check_attempt(self, command: OpenUpstream, request: ExpectedRequest) -> None:
        assert not request.answer
        assert request.in_flight is None
        assert not self.exited
        assert command.timeout_us > 0
        assert self.now_us + command.timeout_us <= request.deadline_us
        request.in_flight = command
        request.first_line_written = False
        request.attempts += 1
        request.endpoint_started_us = self.started_us(command.endpoint_id)
        if request.resumed:
            assert command.endpoint_id not in self.offline
            return
        assert request.attempts <= request.max_attempts
        assert self.accepts_requests(command.endpoint_id)
        if request.may_have_executed:
            self.check_retry(command, request)

    def check_retry(self, command: OpenUpstream, request: ExpectedRequest) -> None:
        request_class = request.request_class
        assert request_class.idempotency != "once"
        if request_class.idempotency == "by_key" and request_class.idempotency_scope != "all":
            retried = self.entries[str(command.endpoint_id)]
            executed = self.entries[str(request.executed_endpoint_id)]
            if request_class.idempotency_scope == "zone":
                assert retried.zone == executed.zone
            else:
                assert retried.cell == executed.cell

    def check_close(self, command: CloseUpstream, request: ExpectedRequest) -> None:
        assert request.in_flight is not None
        assert request.in_flight.attempt == command.attempt
        request.end_attempt(may_have_executed=request.first_line_written)
        self.closed_attempts.append((command.request_id, command.attempt))

    def check_final_answer(self, request: ExpectedRequest, answer: str) -> None:
        assert not request.answer
        assert request.in_flight is None
        assert request.resumed or self.now_us <= request.deadline_us + ANSWER_SLACK_US
        request.ended = True
        request.answer = answer

    def check_end(self, command: MigrateClient | EndClient | EndUpstream, request: ExpectedRequest) -> None:
        assert request.answer == "served"
        match command:
            case MigrateClient():
                assert not request.ended
            case EndClient():
                assert request.in_flight is None
            case EndUpstream():
                assert request.in_flight is not None
        request.ended = True
        request.in_flight = None


def play(run: RandomRun) -> None:
    for _ in range(STEPS_BEFORE_DRAIN):
        run.step()
    run.drain()
    for _ in range(STEPS_OF_DRAIN):
        run.step()
    for _ in range(40):
        run.wait_us(100_000)


def check_run(run: RandomRun) -> None:
    try:
        play(run)
    except AssertionError as error:
        raise AssertionError(f"after step {run.steps_done}") from error
    assert run.exited
    assert not run.engine.requests
    assert all(request.ended and request.in_flight is None for request in run.requests.values())
    counts = run.engine.counters.counts
    assert not counts["placement_faults"]
    assert not counts["overdue"]


@pytest.mark.parametrize("batch", range(4))
def test_the_invariants_hold_for_events_in_any_order(batch: int) -> None:
    for seed in range(100 * batch, 100 * batch + 100):
        run = RandomRun(seed)
        try:
            check_run(run)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}") from error


def test_the_invariants_hold_for_events_in_any_order_with_a_single_probe_slot() -> None:
    """Guards against calls into the engine that never return: a probe that may not start ends at once."""
    assert ONE_PROBE_LIMITS.max_load_probes == 1
    for seed in range(1_000, 1_100):
        run = RandomRun(seed, ONE_PROBE_LIMITS)
        try:
            check_run(run)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}") from error
