"""The engine under events in any order, stale ones too: what it owes holds whatever crosses. A seed is a day
that can be played again.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

import pytest

from gannetweir import core as e
from gannetweir.limits import Limits
from gannetweir.membership.membership_update import ListedEndpoint, MembershipUpdate
from gannetweir.placement.events import (
    NOT_EXECUTED,
    AttemptStatus,
    EndpointEntry,
    EndpointId,
    EndpointStatus,
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
    RequestClass(f"{repeat}-{scope}", 300_000, 2_000_000, worth, repeat, scope, 1_000_000)
    for worth, (repeat, scope) in enumerate(IDEMPOTENCIES, 1)
]
LIMITS = Limits(connect_timeout_us=400_000).with_drain_before_kill(2_000_000)
ANSWER_SLACK_US = 45_000  # of an answer: the timer of last resort is 5 ms behind the module's deadline
MAX_ATTEMPTS = 4


@dataclass
class ExpectedRequest:
    """What the day knows of one request."""

    request_class: RequestClass
    deadline_us: int
    resumed: bool = False
    in_flight: e.OpenUpstream | None = None
    first_line_written: bool = False
    may_have_executed: bool = False
    attempts: int = 0
    max_attempts: int = MAX_ATTEMPTS
    answer: str = ""
    ended: bool = False
    executed_endpoint_id: EndpointId = None
    endpoint_started_us: int = 0  # of the backend, when its flow was opened


class RandomRun:
    """Draws what happens next, and checks each command against the rules."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
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
        self.entries = {f"b{n}": EndpointEntry(f"b{n}", n % 2, 0, n % 3) for n in range(6)}
        self.offline: set[str] = set()
        self.version = 1
        self.requests: dict[int, ExpectedRequest] = {}
        self.probes: list[EndpointId] = []
        self.closed_attempts: list[tuple[int, int]] = []  # flows that are over: news of them come too late
        self.exited = False
        known = MembershipUpdate(1, True, [self.listed(s) for s in self.entries])
        self.engine = e.Engine(self.settings, LIMITS, seed, known, self.now_us)
        self.check_commands()

    def listed(self, server: str) -> ListedEndpoint:
        return ListedEndpoint(self.entries[server], f"127.0.0.1:{server[1:]}")

    # ---- what may happen

    def open_request(self) -> None:
        number, rng = self.random.randrange(len(self.settings.classes)), self.random
        budget = rng.choice([5_000, 200_000, 700_000, 2_000_000])
        hint, flags = rng.choice([0, 50, 5000]), rng.choice([0, 1, 2, 16, 19])
        wanted = RequestArrived(
            0,
            number,
            key=rng.randrange(9),
            time_budget_us=budget,
            load_hint=hint,
            group=rng.randrange(4),
            flags=flags,
        )
        at = rng.choice([*self.entries, "nobody"]) if rng.random() < 0.1 else ""
        due_us = self.now_us + (60_000_000 if at else budget)
        client = ExpectedRequest(self.settings.classes[number], due_us, bool(at))
        self.requests[self.engine.last_request_id + 1] = client
        ident = f"{rng.randrange(40):x}" if rng.random() < 0.2 else ""
        if ident in self.engine.context.request_id_by_client_id and ident:
            assert not self.engine.request_opened(wanted, at, self.now_us, ident)
            del self.requests[self.engine.last_request_id + 1]
        else:
            assert self.engine.request_opened(wanted, at, self.now_us, ident)

    def advance_attempt(self) -> None:
        out = [(n, c) for n, c in self.requests.items() if c.in_flight is not None and not c.ended]
        if not out:
            return
        number, client = self.random.choice(out)
        assert client.in_flight is not None
        attempt, rng = client.in_flight.attempt, self.random
        # what is not written yet has left a backend that was told to leave, or that has started anew
        assert (
            client.first_line_written
            or client.resumed
            or (
                self.accepts_requests(client.in_flight.endpoint_id)
                and client.endpoint_started_us == self.started_us(client.in_flight.endpoint_id)
            )
        )
        if not client.first_line_written and rng.random() < 0.7:
            client.first_line_written = True
            self.engine.upstream_first_line_written(number, attempt, self.now_us)
        elif client.first_line_written and not client.answer and rng.random() < 0.5:
            assert self.engine.upstream_established(number, attempt, self.now_us)
        else:
            status = (
                rng.choice(
                    [AttemptStatus.ERROR, AttemptStatus.FULL, AttemptStatus.RESET, AttemptStatus.CANCELLED]
                )
                if client.first_line_written
                else AttemptStatus.CONNECT_FAILED
            )
            if client.answer:
                status = rng.choice([AttemptStatus.OK, AttemptStatus.RESET, AttemptStatus.CANCELLED])
            client.may_have_executed |= status not in NOT_EXECUTED
            client.executed_endpoint_id = (
                client.in_flight.endpoint_id
                if client.may_have_executed and client.executed_endpoint_id is None
                else client.executed_endpoint_id
            )
            client.in_flight, client.first_line_written = None, False
            self.engine.upstream_ended(number, attempt, status, (), rng.random() < 0.5, self.now_us)

    def report_closed_attempt(self) -> None:
        if self.closed_attempts:
            number, attempt = self.random.choice(self.closed_attempts)
            before = len(self.engine.commands)
            assert not self.engine.upstream_established(number, attempt, self.now_us)
            self.engine.upstream_first_line_written(number, attempt, self.now_us)
            self.engine.upstream_ended(number, attempt, AttemptStatus.OK, (), False, self.now_us)
            assert len(self.engine.commands) == before

    def disconnect_client(self) -> None:
        if self.requests:
            number = self.random.choice(list(self.requests))
            client = self.requests[number]
            self.engine.client_disconnected(number, self.random.random() < 0.5, self.now_us)
            client.ended = client.ended or number not in self.engine.requests
            client.answer = client.answer or "left"

    def end_probe(self) -> None:
        if self.probes:
            server = self.probes.pop(self.random.randrange(len(self.probes)))
            status = self.random.choice(
                [AttemptStatus.OK] * 6
                + [
                    AttemptStatus.ERROR,
                    AttemptStatus.TIMEOUT,
                    AttemptStatus.CONNECT_FAILED,
                    AttemptStatus.NOT_STARTED,
                ]
            )
            report = (
                (float(self.random.randrange(30)), self.random.random() * 1.2)
                if status == AttemptStatus.OK
                else ()
            )
            self.engine.load_probe_ended(server, status, report, self.now_us)

    def update_membership(self) -> None:
        self.version += 1
        some = self.random.sample(sorted(self.entries), self.random.randrange(1, 4))
        for server in some:
            was = self.entries[server]
            state = self.random.choice(
                [EndpointStatus.READY, EndpointStatus.READY, EndpointStatus.DRAINING, EndpointStatus.REMOVED]
            )
            start = (
                self.now_us - self.random.randrange(30_000_000)
                if self.random.random() < 0.3
                else was.started_us
            )
            self.entries[server] = replace(was, state=state, started_us=start)
        whole = self.random.random() < 0.3
        told = (
            [s for s in self.entries if whole and self.entries[s].state != EndpointStatus.REMOVED]
            if whole
            else some
        )
        self.engine.endpoint_update_received(
            MembershipUpdate(self.version, whole, [self.listed(s) for s in told]), self.now_us
        )
        if self.random.random() < 0.3:
            self.engine.endpoint_watch_failed("the watch ended", self.now_us)

    def override_endpoint(self) -> None:
        server = self.random.choice(sorted(self.entries))
        hand = self.engine.endpoint_list.overrides.with_override(
            server, server not in self.offline, self.now_us
        )
        self.offline ^= {server}
        self.engine.apply_operator_overrides(hand, self.now_us)

    def reload(self) -> None:
        classes = self.random.sample(CLASSES, self.random.randrange(1, len(CLASSES) + 1))
        most = self.random.randrange(1, MAX_ATTEMPTS + 1)
        self.settings = replace(
            self.settings, classes=classes, max_attempts=most, polls_endpoint_list=self.random.random() < 0.5
        )
        for client in self.requests.values():
            client.max_attempts = max(client.attempts, most)
        self.engine.reload(self.settings, LIMITS, self.now_us)

    def wait(self, wait_us: int = -1) -> None:
        until = self.now_us + (self.random.choice([0, 1_000, 30_000, 300_000]) if wait_us < 0 else wait_us)
        while self.engine.next_due() <= until:
            self.now_us = max(self.now_us, self.engine.next_due())
            self.engine.advance(self.now_us)
            self.check_commands()
        self.now_us = until

    # ---- what has to hold

    def check_commands(self) -> None:
        while self.engine.commands:
            command = self.engine.commands.popleft()
            client = self.requests.get(getattr(command, "request_id", 0))
            if isinstance(command, e.StartLoadProbe):
                assert self.accepts_requests(command.endpoint_id) and command.endpoint_id not in self.probes
                self.probes.append(command.endpoint_id)
            elif isinstance(command, e.Exit):
                self.exited = True
                assert not self.engine.requests
            elif client is not None:
                getattr(self, type(command).__name__)(command, client)

    def accepts_requests(self, server: EndpointId) -> bool:
        return self.entries[str(server)].state == EndpointStatus.READY and server not in self.offline

    def started_us(self, server: EndpointId) -> int:
        return self.entries[str(server)].started_us

    def OpenUpstream(self, command: e.OpenUpstream, client: ExpectedRequest) -> None:  # noqa: N802
        assert not client.answer and client.in_flight is None and not self.exited
        assert command.timeout_us > 0 and self.now_us + command.timeout_us <= client.deadline_us
        client.in_flight, client.first_line_written, client.attempts = command, False, client.attempts + 1
        client.endpoint_started_us = self.started_us(command.endpoint_id)
        if client.resumed:
            assert command.endpoint_id not in self.offline
            return
        assert client.attempts <= client.max_attempts and self.accepts_requests(command.endpoint_id)
        if client.may_have_executed:
            assert client.request_class.idempotency != "once"
            if (
                client.request_class.idempotency == "by_key"
                and client.request_class.idempotency_scope != "all"
            ):
                here, first = (
                    self.entries[str(s)] for s in (command.endpoint_id, client.executed_endpoint_id)
                )
                assert (here.zone if client.request_class.idempotency_scope == "zone" else here.cell) == (
                    first.zone if client.request_class.idempotency_scope == "zone" else first.cell
                )

    def CloseUpstream(self, command: e.CloseUpstream, client: ExpectedRequest) -> None:  # noqa: N802
        assert client.in_flight is not None and client.in_flight.attempt == command.attempt
        client.may_have_executed |= client.first_line_written
        client.executed_endpoint_id = (
            client.in_flight.endpoint_id
            if client.may_have_executed and client.executed_endpoint_id is None
            else client.executed_endpoint_id
        )
        client.in_flight, client.first_line_written = None, False
        self.closed_attempts.append((command.request_id, command.attempt))

    def StartForwarding(self, _: e.StartForwarding, client: ExpectedRequest) -> None:  # noqa: N802
        assert not client.answer and client.in_flight is not None
        client.answer = "served"

    def check_final_answer(self, client: ExpectedRequest) -> None:
        assert not client.answer and client.in_flight is None
        assert client.resumed or self.now_us <= client.deadline_us + ANSWER_SLACK_US
        client.ended = True

    def RejectClient(self, _: e.RejectClient, client: ExpectedRequest) -> None:  # noqa: N802
        assert not client.may_have_executed or client.request_class.is_idempotent_everywhere
        self.check_final_answer(client)
        client.answer = "rejected"

    def FailClient(self, _: e.FailClient, client: ExpectedRequest) -> None:  # noqa: N802
        self.check_final_answer(client)
        client.answer = "failed"

    def MigrateClient(self, _: e.MigrateClient, client: ExpectedRequest) -> None:  # noqa: N802
        assert client.answer == "served" and not client.ended
        client.ended, client.in_flight = True, None

    def EndClient(self, _: e.EndClient, client: ExpectedRequest) -> None:  # noqa: N802
        assert client.answer == "served" and client.in_flight is None
        client.ended = True

    def EndUpstream(self, command: e.EndUpstream, client: ExpectedRequest) -> None:  # noqa: N802
        assert client.answer == "served" and client.in_flight is not None
        client.ended, client.in_flight = True, None


@pytest.mark.parametrize("hundred", range(4))
def test_the_invariants_hold_for_events_in_any_order(hundred: int) -> None:
    for seed in range(100 * hundred, 100 * hundred + 100):
        day = RandomRun(seed)
        likely = (
            [day.open_request] * 5
            + [day.advance_attempt] * 12
            + [day.disconnect_client] * 2
            + [day.end_probe] * 6
        )
        likely += (
            [day.update_membership] * 2
            + [day.wait] * 8
            + [day.report_closed_attempt, day.override_endpoint, day.reload]
        )
        try:
            for step in range(300):
                day.random.choice(likely)()
                day.check_commands()
                if step == 250:
                    day.engine.drain(day.now_us, replaced=day.random.random() < 0.3)
            for _ in range(40):
                day.wait(100_000)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}, at step {step}") from error
        assert day.exited and not day.engine.requests
        assert all(c.ended and c.in_flight is None for c in day.requests.values())
        counts = day.engine.counters.counts
        assert not counts["module_faults"] and not counts["overdue"]
