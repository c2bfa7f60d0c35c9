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

EFFECTS = [
    ("once", "cell"),
    ("by_key", "all"),
    ("by_key", "zone"),
    ("by_key", "cell"),
    ("repeatable", "cell"),
]
CLASSES = [
    RequestClass(f"{repeat}-{scope}", 300_000, 2_000_000, worth, repeat, scope, 1_000_000)
    for worth, (repeat, scope) in enumerate(EFFECTS, 1)
]
LIMITS = Limits(connect_timeout_us=400_000).with_drain_before_kill(2_000_000)
SLACK_US = 45_000  # of an answer: the timer of last resort is 5 ms behind the module's deadline
MOST = 4


@dataclass
class Client:
    """What the day knows of one request."""

    cls: RequestClass
    due_us: int
    resumed: bool = False
    flow: e.OpenUpstream | None = None
    sent: bool = False
    ran: bool = False
    tries: int = 0
    most: int = MOST
    answer: str = ""
    over: bool = False
    ran_at: EndpointId = None
    start_us: int = 0  # of the backend, when its flow was opened


class Day:
    """Draws what happens next, and checks each command against the rules."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 1_700_000_000_000_000
        self.settings = settings(
            classes=CLASSES,
            polls_endpoint_list=self.rng.random() < 0.5,
            reports_message_delay=True,
            reports_connection_load=True,
            zone_names=["a", "b"],
            max_attempts=MOST,
            groups_enabled=True,
            relay_count=3,
            cross_zone_cost=0.1,
        )
        self.entries = {f"b{n}": EndpointEntry(f"b{n}", n % 2, 0, n % 3) for n in range(6)}
        self.hand: set[str] = set()
        self.version = 1
        self.clients: dict[int, Client] = {}
        self.probes: list[EndpointId] = []
        self.old: list[tuple[int, int]] = []  # flows that are over: news of them come too late
        self.exited = False
        known = MembershipUpdate(1, True, [self.member(s) for s in self.entries])
        self.engine = e.Engine(self.settings, LIMITS, seed, known, self.now)
        self.obey()

    def member(self, server: str) -> ListedEndpoint:
        return ListedEndpoint(self.entries[server], f"127.0.0.1:{server[1:]}")

    # ---- what may happen

    def opens(self) -> None:
        number, rng = self.rng.randrange(len(self.settings.classes)), self.rng
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
        due_us = self.now + (60_000_000 if at else budget)
        client = Client(self.settings.classes[number], due_us, bool(at))
        self.clients[self.engine.last_request_id + 1] = client
        ident = f"{rng.randrange(40):x}" if rng.random() < 0.2 else ""
        if ident in self.engine.context.request_id_by_client_id and ident:
            assert not self.engine.request_opened(wanted, at, self.now, ident)
            del self.clients[self.engine.last_request_id + 1]
        else:
            assert self.engine.request_opened(wanted, at, self.now, ident)

    def flow_goes_on(self) -> None:
        out = [(n, c) for n, c in self.clients.items() if c.flow is not None and not c.over]
        if not out:
            return
        number, client = self.rng.choice(out)
        assert client.flow is not None
        attempt, rng = client.flow.attempt, self.rng
        # what is not written yet has left a backend that was told to leave, or that has started anew
        assert (
            client.sent
            or client.resumed
            or (
                self.may_send(client.flow.endpoint_id)
                and client.start_us == self.start(client.flow.endpoint_id)
            )
        )
        if not client.sent and rng.random() < 0.7:
            client.sent = True
            self.engine.upstream_first_line_written(number, attempt, self.now)
        elif client.sent and not client.answer and rng.random() < 0.5:
            assert self.engine.upstream_established(number, attempt, self.now)
        else:
            status = (
                rng.choice(
                    [AttemptStatus.ERROR, AttemptStatus.FULL, AttemptStatus.RESET, AttemptStatus.CANCELLED]
                )
                if client.sent
                else AttemptStatus.CONNECT_FAILED
            )
            if client.answer:
                status = rng.choice([AttemptStatus.OK, AttemptStatus.RESET, AttemptStatus.CANCELLED])
            client.ran |= status not in NOT_EXECUTED
            client.ran_at = client.flow.endpoint_id if client.ran and client.ran_at is None else client.ran_at
            client.flow, client.sent = None, False
            self.engine.upstream_ended(number, attempt, status, (), rng.random() < 0.5, self.now)

    def stale(self) -> None:
        if self.old:
            number, attempt = self.rng.choice(self.old)
            before = len(self.engine.commands)
            assert not self.engine.upstream_established(number, attempt, self.now)
            self.engine.upstream_first_line_written(number, attempt, self.now)
            self.engine.upstream_ended(number, attempt, AttemptStatus.OK, (), False, self.now)
            assert len(self.engine.commands) == before

    def leaves(self) -> None:
        if self.clients:
            number = self.rng.choice(list(self.clients))
            client = self.clients[number]
            self.engine.client_disconnected(number, self.rng.random() < 0.5, self.now)
            client.over = client.over or number not in self.engine.requests
            client.answer = client.answer or "left"

    def probed(self) -> None:
        if self.probes:
            server = self.probes.pop(self.rng.randrange(len(self.probes)))
            status = self.rng.choice(
                [AttemptStatus.OK] * 6
                + [
                    AttemptStatus.ERROR,
                    AttemptStatus.TIMEOUT,
                    AttemptStatus.CONNECT_FAILED,
                    AttemptStatus.NOT_STARTED,
                ]
            )
            report = (
                (float(self.rng.randrange(30)), self.rng.random() * 1.2) if status == AttemptStatus.OK else ()
            )
            self.engine.load_probe_ended(server, status, report, self.now)

    def news(self) -> None:
        self.version += 1
        some = self.rng.sample(sorted(self.entries), self.rng.randrange(1, 4))
        for server in some:
            was = self.entries[server]
            state = self.rng.choice(
                [EndpointStatus.READY, EndpointStatus.READY, EndpointStatus.DRAINING, EndpointStatus.REMOVED]
            )
            start = self.now - self.rng.randrange(30_000_000) if self.rng.random() < 0.3 else was.started_us
            self.entries[server] = replace(was, state=state, started_us=start)
        whole = self.rng.random() < 0.3
        told = (
            [s for s in self.entries if whole and self.entries[s].state != EndpointStatus.REMOVED]
            if whole
            else some
        )
        self.engine.endpoint_update_received(
            MembershipUpdate(self.version, whole, [self.member(s) for s in told]), self.now
        )
        if self.rng.random() < 0.3:
            self.engine.endpoint_watch_failed("the watch ended", self.now)

    def by_hand(self) -> None:
        server = self.rng.choice(sorted(self.entries))
        hand = self.engine.endpoint_list.overrides.with_override(server, server not in self.hand, self.now)
        self.hand ^= {server}
        self.engine.apply_operator_overrides(hand, self.now)

    def reload(self) -> None:
        classes = self.rng.sample(CLASSES, self.rng.randrange(1, len(CLASSES) + 1))
        most = self.rng.randrange(1, MOST + 1)
        self.settings = replace(
            self.settings, classes=classes, max_attempts=most, polls_endpoint_list=self.rng.random() < 0.5
        )
        for client in self.clients.values():
            client.most = max(client.tries, most)
        self.engine.reload(self.settings, LIMITS, self.now)

    def time_passes(self, wait_us: int = -1) -> None:
        until = self.now + (self.rng.choice([0, 1_000, 30_000, 300_000]) if wait_us < 0 else wait_us)
        while self.engine.next_due() <= until:
            self.now = max(self.now, self.engine.next_due())
            self.engine.advance(self.now)
            self.obey()
        self.now = until

    # ---- what has to hold

    def obey(self) -> None:
        while self.engine.commands:
            command = self.engine.commands.popleft()
            client = self.clients.get(getattr(command, "request_id", 0))
            if isinstance(command, e.StartLoadProbe):
                assert self.may_send(command.endpoint_id) and command.endpoint_id not in self.probes
                self.probes.append(command.endpoint_id)
            elif isinstance(command, e.Exit):
                self.exited = True
                assert not self.engine.requests
            elif client is not None:
                getattr(self, type(command).__name__)(command, client)

    def may_send(self, server: EndpointId) -> bool:
        return self.entries[str(server)].state == EndpointStatus.READY and server not in self.hand

    def start(self, server: EndpointId) -> int:
        return self.entries[str(server)].started_us

    def OpenUpstream(self, command: e.OpenUpstream, client: Client) -> None:  # noqa: N802
        assert not client.answer and client.flow is None and not self.exited
        assert command.timeout_us > 0 and self.now + command.timeout_us <= client.due_us
        client.flow, client.sent, client.tries = command, False, client.tries + 1
        client.start_us = self.start(command.endpoint_id)
        if client.resumed:
            assert command.endpoint_id not in self.hand
            return
        assert client.tries <= client.most and self.may_send(command.endpoint_id)
        if client.ran:
            assert client.cls.idempotency != "once"
            if client.cls.idempotency == "by_key" and client.cls.idempotency_scope != "all":
                here, first = (self.entries[str(s)] for s in (command.endpoint_id, client.ran_at))
                assert (here.zone if client.cls.idempotency_scope == "zone" else here.cell) == (
                    first.zone if client.cls.idempotency_scope == "zone" else first.cell
                )

    def CloseUpstream(self, command: e.CloseUpstream, client: Client) -> None:  # noqa: N802
        assert client.flow is not None and client.flow.attempt == command.attempt
        client.ran |= client.sent
        client.ran_at = client.flow.endpoint_id if client.ran and client.ran_at is None else client.ran_at
        client.flow, client.sent = None, False
        self.old.append((command.request_id, command.attempt))

    def StartForwarding(self, _: e.StartForwarding, client: Client) -> None:  # noqa: N802
        assert not client.answer and client.flow is not None
        client.answer = "served"

    def final(self, client: Client) -> None:
        assert not client.answer and client.flow is None
        assert client.resumed or self.now <= client.due_us + SLACK_US
        client.over = True

    def RejectClient(self, _: e.RejectClient, client: Client) -> None:  # noqa: N802
        assert not client.ran or client.cls.is_idempotent_everywhere
        self.final(client)
        client.answer = "rejected"

    def FailClient(self, _: e.FailClient, client: Client) -> None:  # noqa: N802
        self.final(client)
        client.answer = "failed"

    def MigrateClient(self, _: e.MigrateClient, client: Client) -> None:  # noqa: N802
        assert client.answer == "served" and not client.over
        client.over, client.flow = True, None

    def EndClient(self, _: e.EndClient, client: Client) -> None:  # noqa: N802
        assert client.answer == "served" and client.flow is None
        client.over = True

    def EndUpstream(self, command: e.EndUpstream, client: Client) -> None:  # noqa: N802
        assert client.answer == "served" and client.flow is not None
        client.over, client.flow = True, None


@pytest.mark.parametrize("hundred", range(4))
def test_the_rules_hold_in_any_order(hundred: int) -> None:
    for seed in range(100 * hundred, 100 * hundred + 100):
        day = Day(seed)
        likely = [day.opens] * 5 + [day.flow_goes_on] * 12 + [day.leaves] * 2 + [day.probed] * 6
        likely += [day.news] * 2 + [day.time_passes] * 8 + [day.stale, day.by_hand, day.reload]
        try:
            for step in range(300):
                day.rng.choice(likely)()
                day.obey()
                if step == 250:
                    day.engine.drain(day.now, replaced=day.rng.random() < 0.3)
            for _ in range(40):
                day.time_passes(100_000)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}, at step {step}") from error
        assert day.exited and not day.engine.requests
        assert all(c.over and c.flow is None for c in day.clients.values())
        counts = day.engine.counters.counts
        assert not counts["module_faults"] and not counts["overdue"]
