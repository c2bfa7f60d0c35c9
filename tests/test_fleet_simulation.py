"""Fleet-wide fault scenarios on virtual time: the rules hold at any fleet size, and each check can fail."""

from typing import Any

import pytest

from gannetweir import core
from gannetweir.core.draining import Draining
from gannetweir.lab.experiments.fleet_simulation import SCENARIOS, fleet_plan, simulate_scenario
from gannetweir.lab.model.backends import SimulatedBackend
from gannetweir.lab.model.checker import RuleChecker
from gannetweir.lab.model.relay import SimulatedRelay
from gannetweir.lab.model.world import World
from gannetweir.membership.membership_update import MembershipUpdate
from gannetweir.placement import ready_endpoints
from gannetweir.placement.slow_start import SlowStart


@pytest.mark.parametrize("scenario", SCENARIOS)
@pytest.mark.parametrize(("relays", "backends", "seed"), [(3, 12, 1), (3, 12, 2), (40, 60, 4)])
def test_rules_hold_at_any_fleet_size(scenario: str, relays: int, backends: int, seed: int) -> None:
    world = simulate_scenario(scenario, fleet_plan(seed, relays, backends))
    counts = world.checker.counts
    assert not world.checker.violations, world.checker.violations[:3]
    # The scenario `throng` loads the fleet to its full capacity while half of the backends are in slow start.
    min_served_share = 0.75 if scenario == "throng" else 0.95
    assert counts["up"] >= min_served_share * len(world.checker.traces) > 100
    # Backends in slow start were used, within the set-ups that they are allowed.
    assert scenario == "kill" or 0 < counts["cold_share"] <= 100
    for relay in world.relays:
        faults = relay.engine.counters.counts
        assert not faults["placement_faults"] and not faults["overdue"]


def violations_of(scenario: str) -> str:
    return "\n".join(simulate_scenario(scenario, fleet_plan(1, 40, 60)).checker.violations)


def test_ignoring_slow_start_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SlowStart, "capacity_share", lambda *_: 1.0)
    # Load reports don't show the slow start either.
    monkeypatch.setattr(SimulatedBackend, "current_capacity", lambda backend: backend.capacity)
    # All groups start at the same backends.
    monkeypatch.setattr(ready_endpoints, "rendezvous_rank", lambda _group, place: place)
    assert ": cold: " in violations_of("join")


def test_ignoring_membership_updates_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    def report_without_applying(relay: SimulatedRelay, update: MembershipUpdate) -> None:
        for endpoint in update.endpoints:
            relay._report_known(endpoint)

    monkeypatch.setattr(SimulatedRelay, "membership_update_received", report_without_applying)
    assert ": drain: " in violations_of("roll")


def test_exit_without_migrations_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Draining, "spread_migrations", lambda *_: None)
    monkeypatch.setattr(Draining, "exit", lambda draining: draining.context.commands.append(core.Exit()))
    assert ": cut off: " in violations_of("roll")


def test_parallel_attempts_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SimulatedRelay, "_close_upstream", lambda *_: None)
    world = World(fleet_plan(1, 3, 12))
    for backend in list(world.backends.values())[:3]:
        backend.is_silent = True
    assert any(": overlap: " in line for line in world.run(10).violations)


def test_rules_of_single_requests_are_checked() -> None:
    checker = RuleChecker()
    for number in (1, 2, 3):
        checker.request_sent(number, "plain", 1_000_000, True, 0)
    for attempt in range(7):
        checker.attempt_arrived(1, attempt, "b1", 10)
        checker.attempt_ended(1, attempt)
    checker.answer_received(1, "up", 2_000_000)
    checker.answer_received(1, "busy", 2_000_000)
    checker.answer_received(2, "err", 900_000)
    rules = [line.split(": ")[2] for line in checker.finish(5_000_000)]
    assert rules == ["attempts", "late", "answers", "unanswered"]


def test_same_seed_gives_the_same_run() -> None:
    def observed(world: World) -> tuple[Any, ...]:
        return (
            world.checker.counts,
            world.clients.final_answers,
            [r.engine.counters.counts for r in world.relays],
        )

    assert observed(simulate_scenario("roll", fleet_plan(5, 3, 12))) == observed(
        simulate_scenario("roll", fleet_plan(5, 3, 12))
    )
