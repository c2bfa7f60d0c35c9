"""All relays together place at most N + 2 sqrt(N) + 2 set-ups on a warming endpoint with capacity for N."""

from typing import Any

import pytest

from gannetweir.lab.experiments.fleet_simulation import fleet_plan, simulate_scenario
from gannetweir.lab.model.checker import SlowStartBudget
from gannetweir.placement.events import EndpointEntry, EndpointListUpdate, EndpointStatus, UpdateKind
from tests.helpers import SECOND, BalancerDriver, number_of

SLOW, FAST = 0, 1
RELAYS = 20


def relay_with_warming_endpoints(
    seed: int, started_us_by_endpoint: dict[int, int], **changes: object
) -> BalancerDriver:
    """Return a relay of a fleet of twenty, with slow and fast endpoints of equal load, some just started."""
    settings: dict[str, Any] = {
        "slow_start_window_us": 2300 * SECOND,
        "slow_start_min_share": 0.3,
        "overload_multiple": 4.0,
    } | changes
    driver = BalancerDriver(
        8,
        seed=seed,
        started_us_by_endpoint=started_us_by_endpoint,
        relay_count=RELAYS,
        groups_enabled=True,
        **settings,
    )
    for endpoint in driver.balancer.state.endpoints.values():
        n = number_of(endpoint)
        endpoint.machine_type = FAST if n % 2 else SLOW
        if n not in started_us_by_endpoint:
            driver.balancer.state.reports.record(endpoint, 21.0 if n % 2 else 9.0, 0.5)
    return driver


def count_permits(driver: BalancerDriver, number: int, ticks: int) -> int:
    count = 0
    for _ in range(ticks):
        driver.balancer.slow_start.grant_permits(driver.now)
        count += sum(endpoint.endpoint_id == number for endpoint in driver.balancer.slow_start.permits)
    return count


def test_the_bound_follows_the_slow_start_rule() -> None:
    budget = SlowStartBudget(0, full_setups_per_s=20.0, min_share=0.1, window_us=10 * SECOND)
    assert budget.setups_allowed(0) == pytest.approx(3.0 + 2.0 * 3.0**0.5 + 2.0)
    assert budget.setups_allowed(10 * SECOND) == pytest.approx(30.0 + 2.0 * 30.0**0.5 + 2.0)


@pytest.mark.parametrize(
    ("scenario", "seed", "lifetime_s"),
    [
        # Fails if a slow endpoint gets the budget of an average one.
        ("roll", 3, 15.0),
        # Fails if relays without measurements assume a quarter of the lifetime.
        ("throng", 19, 40.0),
    ],
)
def test_no_warming_endpoint_is_overloaded(scenario: str, seed: int, lifetime_s: float) -> None:
    simulation = simulate_scenario(scenario, fleet_plan(seed, RELAYS, 24, lifetime_s * SECOND))
    assert not simulation.checker.violations, simulation.checker.violations[:3]
    assert 0 < simulation.checker.counts["cold_share"] <= 100


def test_a_warming_endpoint_gets_the_capacity_of_warm_ones_of_its_machine_type() -> None:
    starts = {0: 95 * SECOND, 1: 95 * SECOND}
    slow, fast = (
        count_permits(relay_with_warming_endpoints(1, starts), number, 4000) for number in (SLOW, FAST)
    )
    assert 0 < slow < fast * 9 / 21 * 1.3


def test_a_machine_type_without_a_warm_endpoint_counts_as_the_slowest() -> None:
    driver = relay_with_warming_endpoints(1, dict.fromkeys((0, 2, 4, 6), 95 * SECOND))
    # Endpoints 3, 5 and 7 each have a machine type of their own. By their load reports, 3 and 5 are full at
    # 42 connections, and 7 at 10.
    for n in (3, 5, 7):
        driver.balancer.state.endpoints[n].machine_type = n
    driver.balancer.state.reports.record(driver.balancer.state.endpoints[7], 5.0, 0.5)
    other = relay_with_warming_endpoints(1, dict.fromkeys((0, 2, 4, 6), 95 * SECOND))
    assert 0 < count_permits(driver, 0, 4000) < 0.5 * count_permits(other, 0, 4000)


def test_relays_that_have_measured_no_lifetime_grant_what_long_lifetimes_allow() -> None:
    capacity, lifetime_s, capacity_share = 18.0, 40.0, 0.3
    granted = (
        sum(
            count_permits(relay_with_warming_endpoints(seed, {0: 100 * SECOND}), 0, 40)
            for seed in range(RELAYS)
        )
        / 40
    )
    assert 0 < granted <= 4.0 * capacity_share * capacity / lifetime_s


def test_a_fill_ends_where_its_endpoint_restarts() -> None:
    driver = BalancerDriver(4, relay_count=1, slow_start_window_us=30 * SECOND)
    driver.arrive()
    packing = driver.balancer.packing
    target = packing.target = driver.balancer.state.endpoints[2]
    packing.remaining_fill, packing.sampled_us = 5, driver.now
    driver.handle(EndpointListUpdate(UpdateKind.DELTA, 2, [EndpointEntry(2, started_us=driver.now)]))
    packing.target, packing.remaining_fill = target, 5
    driver.arrive()
    assert driver.started_attempts[-1].endpoint_id != 2


def test_a_sample_from_before_a_restart_places_nothing_there() -> None:
    """Each of many relays may hold one such sample: together they would exceed the budget of the endpoint."""
    for seed in range(20):
        driver = BalancerDriver(
            4, seed=seed, load_probes_enabled=False, load_report_source="none", relay_count=50
        )
        target = driver.balancer.packing.target
        assert target is not None
        # The endpoint restarts without leaving the list.
        driver.change_status(number_of(target), EndpointStatus.READY, driver.now)
        for _ in range(8):
            driver.arrive()
        assert target.endpoint_id not in [started.endpoint_id for started in driver.started_attempts]
