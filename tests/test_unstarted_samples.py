"""Samples whose load probe the engine may not start: a request that waits for one must not keep it busy."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from gannetweir.core import Engine, EngineOptions, OpenUpstream, RejectClient, StartLoadProbe
from gannetweir.limits import Limits
from gannetweir.membership.membership_update import ListedEndpoint, MembershipUpdate
from gannetweir.placement.actions import Action
from gannetweir.placement.events import (
    AttemptStatus,
    EndpointEntry,
    EndpointId,
    Event,
    RequestArrived,
    RequestFlag,
)
from tests.helpers import SECOND, settings
from tests.scenario import CLASSES

LIMITS = Limits(sockets=200)
OWN = "own"  # the only endpoint of the relay's zone
OWN_LOAD_REPORT = 10.0, 0.1
OTHER_LOAD_REPORT = 65.0, 0.65
# A call into the engine handles a few events for each of the eight endpoints or fewer.
MAX_EVENTS_PER_CALL = 30


def listed(name: str, zone: int = 0, started_us: int = 0) -> ListedEndpoint:
    return ListedEndpoint(EndpointEntry(name, zone=zone, started_us=started_us), "127.0.0.1:1")


class EventLimit:
    """A placement trace that fails the test once a call into the engine handles too many events."""

    def __init__(self) -> None:
        self.events = 0

    def record(self, _now_us: int, _event: Event, _actions: Sequence[Action]) -> None:
        self.events += 1
        assert self.events < MAX_EVENTS_PER_CALL, "the engine handles events without end"


class BusyProbesRelay:
    """An engine with one endpoint in its own zone. Probes of the other endpoints are in flight and occupy all
    probe slots.
    """

    def __init__(self, seed: int, groups_enabled: bool) -> None:
        self.now_us = 100 * SECOND
        self.event_limit = EventLimit()
        others = [f"other-{number}" for number in range(LIMITS.max_load_probes)]
        membership = MembershipUpdate(1, True, [listed(OWN), *(listed(name, zone=1) for name in others)])
        self.engine = Engine(
            settings(
                classes=CLASSES,
                zone_names=["a", "b"],
                cross_zone_cost=0.16,
                relay_count=5,
                groups_enabled=groups_enabled,
            ),
            LIMITS,
            seed,
            membership,
            self.now_us,
            EngineOptions(placement_trace=self.event_limit.record, wall_clock_offset_us=0),
        )
        self.opened: list[OpenUpstream] = []
        self.rejected: list[RejectClient] = []
        self.take_commands(answers_probes=True)
        self.probe(others)
        self.take_commands(answers_probes=True)  # the relay knows every load: the own endpoint has the least
        self.probe(others)
        self.take_commands()

    def probe(self, names: list[str]) -> None:
        """Start load probes, as the balancer does at endpoints with connections of this relay."""
        for name in names:
            self.engine.load_probes.start(name)

    def take_commands(self, answers_probes: bool = False) -> None:
        """Take the engine's commands, and answer the probes or leave them in flight."""
        self.event_limit.events = 0
        commands = self.engine.commands
        while commands:
            match commands.popleft():
                case OpenUpstream() as command:
                    self.opened.append(command)
                case RejectClient() as command:
                    self.rejected.append(command)
                case StartLoadProbe(endpoint_id=endpoint_id) if answers_probes:
                    report = OWN_LOAD_REPORT if endpoint_id == OWN else OTHER_LOAD_REPORT
                    self.engine.load_probe_ended(endpoint_id, AttemptStatus.OK, report, self.now_us)

    def arrive(self, load_hint: int = 0, flags: int = 0) -> None:
        """Receive a request without a group."""
        request = RequestArrived(0, time_budget_us=2 * SECOND, load_hint=load_hint, flags=flags)
        self.engine.request_opened(request, "", self.now_us, "")
        self.take_commands()

    def replace_endpoints(self, names: list[str]) -> None:
        """Replace all endpoints by new ones, which are warming up."""
        new = [listed(name, started_us=self.now_us) for name in names]
        self.engine.endpoint_update_received(MembershipUpdate(2, True, new), self.now_us)
        self.take_commands()

    def reject_attempt(self) -> None:
        """Let the endpoint of the latest attempt answer that it drains."""
        attempt = self.opened[-1]
        self.engine.upstream_first_line_written(attempt.request_id, attempt.attempt, self.now_us)
        self.engine.upstream_ended(
            attempt.request_id, attempt.attempt, AttemptStatus.FULL, (), False, self.now_us
        )
        self.take_commands()

    def wait(self, wait_us: int) -> None:
        """Let time pass and the timers that become due expire."""
        until_us = self.now_us + wait_us
        while self.engine.next_due() <= until_us:
            self.now_us = max(self.now_us, self.engine.next_due())
            self.engine.advance(self.now_us)
            self.take_commands()
        self.now_us = until_us

    def endpoints_of_attempts(self) -> list[EndpointId]:
        return [command.endpoint_id for command in self.opened]


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("groups_enabled", [False, True])
def test_a_retry_is_placed_although_no_probe_may_start(seed: int, groups_enabled: bool) -> None:
    """Guards against relays that hang for good in one call into the engine (review case 1)."""
    relay = BusyProbesRelay(seed, groups_enabled)
    relay.arrive()
    assert relay.endpoints_of_attempts() == [OWN]
    relay.reject_attempt()
    relay.wait(CLASSES[0].latency_objective_us // 2)
    assert len(relay.opened) == 2
    assert relay.opened[-1].endpoint_id != OWN
    assert not relay.rejected


@pytest.mark.parametrize("seed", range(10))
def test_a_heavy_request_is_placed_although_no_probe_may_start(seed: int) -> None:
    """Guards against the same hang without a retry: an endpoint that is warming up is no target for it."""
    relay = BusyProbesRelay(seed, groups_enabled=False)
    relay.replace_endpoints(["new-1", "new-2"])
    assert relay.engine.balancer.slow_start.all_are_warming_up
    relay.arrive(load_hint=5_000, flags=RequestFlag.LOAD_HINT_VALID)
    relay.wait(CLASSES[0].latency_objective_us // 2)
    assert len(relay.opened) == 1
    assert not relay.rejected


def test_an_endpoint_without_an_address_is_not_ready() -> None:
    """Guards against the same hang where discovery lists an endpoint without an address: its probe fails at
    once, and as the only endpoint it can't be ejected.
    """
    now_us, event_limit = 100 * SECOND, EventLimit()
    entry = EndpointEntry("a", started_us=now_us)
    engine = Engine(
        settings(classes=CLASSES, relay_count=5),
        LIMITS,
        1,
        MembershipUpdate(1, True, [ListedEndpoint(entry, "")]),
        now_us,
        EngineOptions(placement_trace=event_limit.record, wall_clock_offset_us=0),
    )
    heavy = RequestArrived(0, time_budget_us=2 * SECOND, load_hint=5_000, flags=RequestFlag.LOAD_HINT_VALID)
    engine.request_opened(heavy, "", now_us, "")
    assert not engine.is_ready()
    engine.advance(now_us + CLASSES[0].latency_objective_us // 2)
    assert any(isinstance(command, RejectClient) for command in engine.commands)
    with_address = MembershipUpdate(2, False, [ListedEndpoint(entry, "127.0.0.1:1")])
    engine.endpoint_update_received(with_address, now_us)
    assert engine.is_ready()
    assert engine.balancer.state.endpoints["a"].is_ready
