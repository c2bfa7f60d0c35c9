"""Load reports stay accurate where arrivals are few: reports are discarded, corrected or requested again."""

import pytest

from gannetweir.placement.actions import MigrateConnection, ProbeLoad, RejectRequest, StartAttempt
from gannetweir.placement.events import (
    AttemptStatus,
    ConnectionMetric,
    ConnectionResumed,
    EndpointId,
    LoadProbeResult,
    MetricKind,
    TimerExpired,
)
from tests.helpers import SECOND, BalancerDriver, actions_of

TICK_TIMER = 1


def probed_in(driver: BalancerDriver, seconds: int) -> list[tuple[int, EndpointId]]:
    """Return the load probes of periodic maintenance in the next seconds, each with its second from now."""
    found = []
    for second in range(1, seconds + 1):
        driver.advance(SECOND)
        found += [
            (second, probe.endpoint_id)
            for probe in actions_of(driver.handle(TimerExpired(TICK_TIMER)), ProbeLoad)
        ]
    return found


def resume(driver: BalancerDriver, number: int, *request_ids: int) -> None:
    for request_id in request_ids:
        driver.handle(ConnectionResumed(request_id, 0, 0, 0, 0, 0, number))


def test_a_report_from_before_a_connection_resumed_is_discarded() -> None:
    driver = BalancerDriver(1)
    assert driver.balancer.state.endpoints[0].has_report
    resume(driver, 0, 77)
    assert not driver.balancer.state.endpoints[0].has_report
    assert driver.balancer.state.reports.total_connections == 0.0
    assert (1, 0) in probed_in(driver, 1)


@pytest.mark.parametrize(("count", "recorded"), [(0.0, 4.0), (1.0, 4.0), (4.0, 4.0), (9.0, 9.0)])
def test_a_report_that_counts_too_few_connections_is_corrected(count: float, recorded: float) -> None:
    driver = BalancerDriver(1)
    resume(driver, 0, 71, 72, 73, 74)
    driver.balancer.state.endpoints[0].probed_us = driver.now
    driver.handle(LoadProbeResult(0, AttemptStatus.OK, 1000, (count, 0.1)))
    assert driver.balancer.state.endpoints[0].connections == recorded
    assert (driver.balancer.state.endpoints[0].load > 0.1) is (count < 4.0)
    driver.loads[0] = (count, 0.1)
    driver.advance(SECOND // 4)
    # The next probe does not wait for the tick of the next second.
    assert bool(actions_of(driver.handle(TimerExpired(3)), ProbeLoad)) is (count < 4.0)


def test_placements_since_a_report_are_added_to_it() -> None:
    """A report can be a second old when it is used. If the placements since then were not added, clients
    that return together would all go to the same empty endpoint.
    """
    driver = BalancerDriver(2, load_report_fields=["concurrent", "x0"])
    driver.loads = {0: (0.0, 0.0), 1: (0.0, 0.0)}
    for _ in range(12):
        driver.arrive()
    assert 3 <= sum(started.endpoint_id == 0 for started in driver.started_attempts) <= 9
    driver.advance(2 * SECOND)  # a report counts the placements by then
    driver.handle(LoadProbeResult(0, AttemptStatus.OK, 1000, (6.0, 0.3)))
    assert (driver.balancer.state.endpoints[0].connections, driver.balancer.state.endpoints[0].load) == (
        6.0,
        0.3,
    )


def test_an_endpoint_without_a_report_gets_one_arrival_a_sample() -> None:
    driver = BalancerDriver(2)
    driver.silent_endpoints = {0, 1}
    resume(driver, 0, 71, 72)
    assert driver.balancer.packing.fill_size(driver.balancer.state.endpoints[0]) == 1


@pytest.mark.parametrize(("load", "seconds"), [(0.4, [5, 10]), (0.8, [2, 4, 6, 8, 10])])
def test_endpoints_with_own_connections_are_probed_sooner_near_the_limit(
    load: float, seconds: list[int]
) -> None:
    driver = BalancerDriver(2, relay_count=1)
    driver.loads = {0: (10.0, load), 1: (10.0, 0.5)}
    resume(driver, 0, 77)
    driver.handle(LoadProbeResult(0, AttemptStatus.OK, 1000, driver.loads[0]))
    packing = driver.balancer.packing
    # A large fill prevents samples during the test.
    packing.target, packing.remaining_fill = driver.balancer.state.endpoints[1], 99
    driver.balancer.state.endpoints[0].probed_us = driver.now
    assert [second for second, number in probed_in(driver, 10) if number == 0] == seconds


def test_loads_known_from_metrics_alone_let_a_full_endpoint_be_relieved() -> None:
    migrated = 0
    for seed in range(20):
        driver = BalancerDriver(4, seed=seed)
        resume(driver, 0, 71, 72, 73)
        for request_id in (71, 72, 73):
            driver.handle(ConnectionMetric(request_id, 0, 0, MetricKind.LOAD, 400_000.0))
        for number in range(1, 4):
            driver.handle(LoadProbeResult(number, AttemptStatus.OK, 1000, (10.0, 0.2)))
        driver.advance(3 * SECOND)
        migrated += len(
            actions_of(
                driver.handle(LoadProbeResult(0, AttemptStatus.OK, 1000, (10.0, 1.3))), MigrateConnection
            )
        )
    assert migrated > 10


def test_the_heaviest_connections_that_fit_elsewhere_migrate_up_to_the_excess() -> None:
    migrated: list[int] = []
    for seed in range(20):
        driver = BalancerDriver(4, seed=seed)
        resume(driver, 0, *range(70, 80))
        # Connection 79 would overload any other endpoint as well; 78 is most of the load that can migrate.
        for request_id in range(70, 80):
            load = {79: 3_000_000.0, 78: 300_000.0}.get(request_id, 10_000.0)
            driver.handle(ConnectionMetric(request_id, 0, 0, MetricKind.LOAD, load))
        driver.advance(SECOND)
        driver.handle(TimerExpired(TICK_TIMER))
        for number in range(1, 4):
            driver.handle(LoadProbeResult(number, AttemptStatus.OK, 1000, (10.0, 0.3)))
        driver.advance(2 * SECOND)
        driver.handle(LoadProbeResult(0, AttemptStatus.OK, 1000, (10.0, 0.97)))
        migrated += [migration.request_id for migration in actions_of(driver.all_actions, MigrateConnection)]
    assert 79 not in migrated
    assert migrated.count(78) == 20


def test_a_request_attempted_at_every_endpoint_is_rejected_at_once() -> None:
    driver = BalancerDriver(2, max_attempts=6)
    actions = driver.arrive()
    for _ in range(2):
        (started,) = actions_of(actions, StartAttempt)
        actions = driver.end(started, AttemptStatus.FULL)
    assert actions_of(actions, RejectRequest)
    assert not actions_of(actions, ProbeLoad)


@pytest.mark.parametrize(("relays", "count"), [(3, 2), (40, 1)])
def test_relays_with_connections_at_one_endpoint_share_the_probing(relays: int, count: int) -> None:
    driver = BalancerDriver(2, relay_count=relays)
    driver.loads = {0: (10.0, 0.4), 1: (10.0, 0.5)}
    resume(driver, 0, 77)
    driver.handle(LoadProbeResult(0, AttemptStatus.OK, 1000, driver.loads[0]))
    driver.balancer.packing.target, driver.balancer.packing.remaining_fill = (
        driver.balancer.state.endpoints[1],
        99,
    )
    driver.balancer.state.endpoints[0].probed_us = driver.now
    assert sum(number == 0 for _, number in probed_in(driver, 10)) == count
    driver.loads[0] = (10.0, 0.9)  # above the limit, each relay needs reports to migrate its share
    driver.handle(LoadProbeResult(0, AttemptStatus.OK, 1000, driver.loads[0]))
    assert sum(number == 0 for _, number in probed_in(driver, 10)) >= 4
