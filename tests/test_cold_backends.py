"""What cold backends are sent by a whole fleet: N + 2 roots of N + 2 set-ups, N being what they bear then."""

from typing import Any

import pytest

from gannetweir.lab.experiments.fleet_simulation import fleet_plan, simulate_scenario
from gannetweir.lab.model.checker import SlowStartBudget
from gannetweir.placement.events import EndpointEntry, EndpointListUpdate, EndpointStatus, UpdateKind
from tests.helpers import SECOND, BalancerDriver, number_of

SLOW, FAST = 0, 1
RELAYS = 20


def relay_with_warming_endpoints(seed: int, starts: dict[int, int], **changes: object) -> BalancerDriver:
    """One relay of twenty: slow and fast servers that are loaded alike, some of them just started."""
    settings: dict[str, Any] = {
        "slow_start_window_us": 2300 * SECOND,
        "slow_start_min_share": 0.3,
        "overload_multiple": 4.0,
    } | changes
    g = BalancerDriver(8, seed=seed, starts=starts, relay_count=RELAYS, groups_enabled=True, **settings)
    for node in g.balancer.state.endpoints.values():
        n = number_of(node)
        node.machine_type = FAST if n % 2 else SLOW
        if n not in starts:
            g.balancer.state.reports.record(node, 21.0 if n % 2 else 9.0, 0.5)
    return g


def count_permits(g: BalancerDriver, server: int, ticks: int) -> int:
    count = 0
    for _ in range(ticks):
        g.balancer.slow_start.grant_permits(g.now)
        count += sum(node.endpoint_id == server for node in g.balancer.slow_start.permits)
    return count


def test_the_bound_is_that_of_the_rule() -> None:
    cold = SlowStartBudget(0, full_setups_per_s=20.0, min_share=0.1, window_us=10 * SECOND)
    assert cold.setups_allowed(0) == pytest.approx(3.0 + 2.0 * 3.0**0.5 + 2.0)
    assert cold.setups_allowed(10 * SECOND) == pytest.approx(30.0 + 2.0 * 30.0**0.5 + 2.0)


@pytest.mark.parametrize(
    ("day", "seed", "life_s"),
    [
        ("roll", 3, 15.0),  # a slow backend was sent what the mean one bears
        ("throng", 19, 40.0),  # relays that had measured no life yet took it for a quarter of what it was
    ],
)
def test_no_warming_endpoint_is_overloaded(day: str, seed: int, life_s: float) -> None:
    world = simulate_scenario(day, fleet_plan(seed, RELAYS, 24, life_s * SECOND))
    assert not world.checker.violations, world.checker.violations[:3]
    assert 0 < world.checker.counts["cold_share"] <= 100


def test_a_warming_endpoint_is_judged_by_the_warm_ones_of_its_machine_type() -> None:
    fresh = {0: 95 * SECOND, 1: 95 * SECOND}
    slow, fast = (
        count_permits(relay_with_warming_endpoints(1, fresh), server, 4000) for server in (SLOW, FAST)
    )
    assert 0 < slow < fast * 9 / 21 * 1.3


def test_a_machine_type_without_a_warm_endpoint_is_taken_for_the_slowest() -> None:
    g = relay_with_warming_endpoints(1, dict.fromkeys((0, 2, 4, 6), 95 * SECOND))
    for n in (3, 5, 7):
        g.balancer.state.endpoints[n].machine_type = n  # 42 connections each at full load, but one
    g.balancer.state.reports.record(g.balancer.state.endpoints[7], 5.0, 0.5)
    other = relay_with_warming_endpoints(1, dict.fromkeys((0, 2, 4, 6), 95 * SECOND))
    assert 0 < count_permits(g, 0, 4000) < 0.5 * count_permits(other, 0, 4000)


def test_relays_that_have_measured_no_lifetime_grant_what_long_lifetimes_allow() -> None:
    capacity, life_s, warmth = 18.0, 40.0, 0.3
    given = (
        sum(
            count_permits(relay_with_warming_endpoints(seed, {0: 100 * SECOND}), 0, 40)
            for seed in range(RELAYS)
        )
        / 40
    )
    assert 0 < given <= 4.0 * warmth * capacity / life_s


def test_a_fill_ends_where_its_endpoint_restarts() -> None:
    g = BalancerDriver(4, relay_count=1, slow_start_window_us=30 * SECOND)
    g.arrive()
    draw = g.balancer.packing
    target = draw.target = g.balancer.state.endpoints[2]
    draw.remaining_fill, draw.sampled_us = 5, g.now
    g.handle(EndpointListUpdate(UpdateKind.DELTA, 2, [EndpointEntry(2, started_us=g.now)]))
    draw.target, draw.remaining_fill = target, 5
    g.arrive()
    assert g.started_attempts[-1].endpoint_id != 2


def test_a_sample_from_before_a_restart_places_nothing_there() -> None:
    """Each of many relays may hold one such draw: together they would spend the cold one's budget."""
    for seed in range(20):
        g = BalancerDriver(4, seed=seed, load_probes_enabled=False, load_report_source="none", relay_count=50)
        target = g.balancer.packing.target
        assert target is not None
        g.change_status(
            number_of(target), EndpointStatus.READY, g.now
        )  # it starts anew without having left the list
        for _ in range(8):
            g.arrive()
        assert target.endpoint_id not in [send.endpoint_id for send in g.started_attempts]
