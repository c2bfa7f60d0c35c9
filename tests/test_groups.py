"""Connections of one group share work at an endpoint, so a group is kept together while it fits."""

from typing import Any

import pytest

from gannetweir.placement import ready_endpoints
from gannetweir.placement.actions import MigrateConnection, RejectRequest, StartAttempt
from gannetweir.placement.context import TICK_TIMER
from gannetweir.placement.events import (
    AttemptEnded,
    AttemptStatus,
    ClientDisconnected,
    ConnectionResumed,
    EndpointStatus,
    LoadProbeResult,
    RequestFlag,
    TimerExpired,
)
from gannetweir.placement.ready_endpoints import rendezvous_rank
from tests.helpers import SECOND, BalancerDriver, actions_of, number_of

ZONES: dict[str, Any] = {
    "zone_names": ["a", "b"],
    "cross_zone_cost": 0.1,
    "zones": {n: n % 2 for n in range(6)},
}


def relay_with_groups(seed: int = 1, **changes: object) -> BalancerDriver:
    """A relay whose endpoints have capacity for one more group."""
    driver = BalancerDriver(6, seed=seed, groups_enabled=True, **changes)  # type: ignore[arg-type]
    driver.loads = dict.fromkeys(range(6), (10.0, 0.3))
    return driver


def place_in_group(driver: BalancerDriver, group: int) -> int:
    driver.advance(2 * SECOND)  # the fill of the previous arrival has ended
    driver.arrive(group=group)
    driver.establish(driver.started_attempts[-1])
    return number_of(driver.started_attempts[-1])


def test_a_group_stays_together_and_every_relay_begins_at_the_same_endpoint() -> None:
    first_endpoints = list[int]()
    for group in range(1, 7):
        drivers = [relay_with_groups(seed) for seed in (1, 2)]
        found = {place_in_group(driver, group) for driver in drivers for _ in range(3)}
        assert len(found) == 1
        first_endpoints += found
    assert len(set(first_endpoints)) > 1  # groups have different first endpoints


def test_groups_are_ignored_where_they_are_disabled() -> None:
    grouped, ungrouped = BalancerDriver(6), BalancerDriver(6)
    assert [place_in_group(grouped, n % 2) for n in range(12)] == [
        place_in_group(ungrouped, 0) for _ in range(12)
    ]


@pytest.mark.parametrize(("load", "stays"), [(0.3, True), (0.76, True), (0.85, False)])
def test_an_endpoint_of_a_group_is_passed_over_when_one_more_exceeds_the_limit(
    load: float, stays: bool
) -> None:
    driver = relay_with_groups()
    first_endpoint = place_in_group(driver, 1)
    driver.loads[first_endpoint] = (40.0, load)
    other = place_in_group(driver, 1)
    assert (other == first_endpoint) is stays
    if not stays:  # both endpoints hold the group now
        driver.loads[first_endpoint] = (10.0, 0.3)
        assert place_in_group(driver, 1) in (first_endpoint, other)


@pytest.mark.parametrize(("load", "zone"), [(0.3, 0), (0.75, 1)])
def test_a_group_gets_an_endpoint_in_the_relays_zone_only_where_its_cost_fits(load: float, zone: int) -> None:
    driver = relay_with_groups(**ZONES)
    driver.handle(ConnectionResumed(77, 0, 0, 5, 0, 0, 3))
    driver.loads = {n: (10.0, load if n % 2 == 0 else 0.3) for n in range(6)}
    assert place_in_group(driver, 5) in ((0, 2, 4) if zone == 0 else (3,))


@pytest.mark.parametrize("load", [0.3, 0.6])
def test_a_group_belongs_to_the_same_two_endpoints_in_every_zone_once_capacity_is_short(load: float) -> None:
    """With separate endpoints per zone for each group, 26 group costs became 150 in a release."""
    for group in range(1, 13):
        ranked = [
            number_of(endpoint)
            for endpoint in relay_with_groups().balancer.state.ready_endpoints.highest_ranked(group, 2, ())
        ]
        for zone in (0, 1):
            driver = relay_with_groups(zone=zone, **ZONES)
            driver.loads = dict.fromkeys(range(6), (10.0, load))
            found = place_in_group(driver, group)
            own = [n for n in ranked if n % 2 == zone]
            if load > 0.5:  # no endpoint has capacity for one more group
                assert found in (own or ranked)
            else:
                assert found == next(
                    n.endpoint_id
                    for n in driver.balancer.state.ready_endpoints.ranking(group)
                    if n.zone == zone
                )


def test_a_group_is_placed_on_a_further_endpoint_only_where_its_full_cost_fits() -> None:
    driver = relay_with_groups()
    order = [number_of(endpoint) for endpoint in driver.balancer.state.ready_endpoints.ranking(5)]
    driver.loads = {order[0]: (30.0, 0.85), order[1]: (30.0, 0.82), order[2]: (10.0, 0.7)}
    driver.loads |= dict.fromkeys(order[3:], (10.0, 0.3))
    assert place_in_group(driver, 5) == order[3]  # the third fits a connection only
    driver = relay_with_groups()
    driver.loads = {n: (30.0, 0.85 if n in order[:2] else 0.75) for n in range(6)}
    # Where no endpoint fits the full cost, the first one that fits the connection is used.
    assert place_in_group(driver, 5) == order[2]


def test_groups_with_the_same_first_endpoint_have_different_second_ones() -> None:
    """The ranking was a CRC, which is linear: all groups of a full endpoint moved on to the same next one."""
    order = relay_with_groups().balancer.state.ready_endpoints.ranking
    seconds_by_first: dict[object, set[object]] = {}
    for group in range(1, 60):
        first, second = order(group)[:2]
        seconds_by_first.setdefault(first.endpoint_id, set()).add(second.endpoint_id)
    assert len(seconds_by_first) == 6
    assert all(len(seconds) >= 3 for seconds in seconds_by_first.values())


def test_examining_a_candidate_does_not_sort_the_endpoints(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each examination sorted all endpoints; now a group's ranking is sorted once per list of endpoints."""
    driver = relay_with_groups()
    ranked_groups: list[int] = []

    def count_rank(group: int, ranking_key: int) -> int:
        ranked_groups.append(group)
        return rendezvous_rank(group, ranking_key)

    monkeypatch.setattr(
        ready_endpoints,
        "rendezvous_rank",
        count_rank,
    )
    for _ in range(5):
        place_in_group(driver, 1)
    assert len(ranked_groups) == 6
    driver.change_status(3, EndpointStatus.DRAINING)
    place_in_group(driver, 1)
    assert len(ranked_groups) == 11


def test_a_failed_endpoint_of_a_group_is_passed_over_at_once() -> None:
    driver = relay_with_groups()
    first_endpoint = place_in_group(driver, 1)
    driver.arrive(group=1)
    assert driver.started_attempts[-1].endpoint_id == first_endpoint
    (retried,) = actions_of(driver.end(driver.started_attempts[-1], AttemptStatus.FULL), StartAttempt)
    assert retried.endpoint_id != first_endpoint


@pytest.mark.parametrize("end", ["answer", "wait_expired", "disconnect"])
def test_a_search_ends_with_its_request(end: str) -> None:
    driver = relay_with_groups()
    driver.silent_endpoints = set(range(6))
    driver.advance(2 * SECOND)
    for group in range(1, 4):
        driver.arrive(group=group)
    assert len(driver.balancer.group_placement.searches) == 3
    assert not driver.started_attempts
    if end == "answer":
        for number in range(6):
            driver.handle(LoadProbeResult(number, AttemptStatus.OK, 1000, (10.0, 0.2)))
    elif end == "wait_expired":  # the requests are placed without a report
        driver.advance(SECOND)
        driver.handle(TimerExpired(3))
    else:
        for request_id in range(1, 4):
            driver.handle(ClientDisconnected(request_id))
    assert not driver.balancer.group_placement.searches
    assert len(driver.started_attempts) == (0 if end == "disconnect" else 3)


def test_simultaneous_set_ups_are_spread_and_wait_briefly() -> None:
    """A relay's clients returned within half a second; all set-ups at a single endpoint failed."""
    driver = relay_with_groups()
    driver.loads = dict.fromkeys(range(6), (10.0, 0.05))
    driver.advance(2 * SECOND)
    for _ in range(32):
        driver.arrive(group=3)
    counts = [sum(started.endpoint_id == n for started in driver.started_attempts) for n in range(6)]
    assert counts == [5] * 6  # five set-ups per endpoint; two requests wait
    driver.establish(driver.started_attempts[0])
    driver.advance(200_000)
    driver.handle(TimerExpired(3))
    assert len(driver.started_attempts) == 32


def test_a_search_skips_full_endpoints_and_rejects_where_all_are_full() -> None:
    driver = relay_with_groups()
    for free in (*range(6), None):
        driver.advance(2 * SECOND)
        driver.loads = dict.fromkeys(range(6), (30.0, 0.9))
        if free is not None:
            driver.loads[free] = (10.0, 0.3)
        actions = driver.arrive(group=3)
        assert [started.endpoint_id for started in actions_of(actions, StartAttempt)] == (
            [] if free is None else [free]
        )
    assert actions_of(actions, RejectRequest)


def test_a_permit_of_a_warming_endpoint_waits_for_an_arrival() -> None:
    """Permits were used for draws that no arrival with a group uses: an endpoint stayed empty for 12 s."""
    driver = relay_with_groups(
        started_us_by_endpoint={5: 95 * SECOND},
        slow_start_window_us=230 * SECOND,
        slow_start_min_share=0.12,
        overload_multiple=4.0,
    )
    for n in range(20):
        driver.advance(SECOND)
        # Connections are short: one permit every few seconds.
        driver.balancer.slow_start.connection_time_us, driver.balancer.slow_start.ended_connections = 0.0, 0
        driver.handle(TimerExpired(1))
        assert len(driver.balancer.slow_start.permits) < 2
        driver.arrive(group=77 + n)
    assert 5 in [started.endpoint_id for started in driver.started_attempts]


def test_the_budget_of_a_warming_endpoint_derives_from_warm_ones() -> None:
    """A warming endpoint reports its load relative to its present capacity, which reduced its own budget."""
    granted = []
    for report in ((1.0, 0.05), (4.0, 1.2)):
        driver = relay_with_groups(
            started_us_by_endpoint={4: 95 * SECOND, 5: 95 * SECOND},
            slow_start_window_us=2300 * SECOND,
            slow_start_min_share=0.3,
        )
        driver.loads |= dict.fromkeys((4, 5), report)
        for n in range(6):
            driver.handle(LoadProbeResult(n, AttemptStatus.OK, 1000, driver.loads[n]))
        total = 0
        for _ in range(400):
            driver.balancer.slow_start.connection_time_us, driver.balancer.slow_start.ended_connections = (
                0.0,
                0,
            )
            driver.balancer.slow_start.grant_permits(driver.now)
            total += len(driver.balancer.slow_start.permits)
        granted.append(total)
    assert granted[0] == granted[1] > 0


@pytest.mark.parametrize(
    ("flags", "age", "same"),
    [(0, 2, False), (RequestFlag.RETURNED, 2, True), (RequestFlag.RETURNED, 9, False)],
)
def test_a_returned_connection_is_not_counted_twice_at_its_previous_endpoint(
    flags: int, age: int, same: bool
) -> None:
    """After a relay restarts, an endpoint's report still counts the connections that return."""
    driver = relay_with_groups()
    first = place_in_group(relay_with_groups(), 7)
    driver.loads = dict.fromkeys(range(6), (20.0, 0.6)) | {first: (20.0, 0.72)}  # no capacity for a new group
    driver.advance(age * SECOND)
    driver.arrive(group=7, flags=flags)
    assert ([started.endpoint_id for started in driver.started_attempts] == [first]) == same
    if same:  # the connection does not add to the endpoint's load either
        assert driver.balancer.state.endpoints[first].load < 0.77


def relay_with_cross_zone_connections(load: float, seed: int, **changes: object) -> BalancerDriver:
    """A relay with ten cross-zone connections, whose zone has endpoints with this load."""
    driver = relay_with_groups(seed, **{**ZONES, **changes})
    driver.loads = dict.fromkeys(range(6), (10.0, load))
    for request_id in range(70, 80):
        driver.handle(ConnectionResumed(request_id, 0, 0, 5, 0, 0, 1))
    driver.advance(3 * SECOND)  # earlier reports are too old to migrate by
    return driver


def migrations_by_second(driver: BalancerDriver, seconds: int) -> list[int]:
    """The number of migrations in each second."""
    found = []
    for _ in range(seconds):
        driver.advance(SECOND)
        found.append(len(actions_of(driver.handle(TimerExpired(TICK_TIMER)), MigrateConnection)))
    return found


@pytest.mark.parametrize(("load", "moved"), [(0.3, True), (0.79, False)])
def test_cross_zone_connections_migrate_to_the_relays_zone_one_by_one_within_capacity(
    load: float, moved: bool
) -> None:
    for seed in range(10):
        found = migrations_by_second(relay_with_cross_zone_connections(load, seed), 4)
        assert (max(found) == 1) if moved else not any(found)


def test_nothing_migrates_where_crossing_is_free_or_the_relays_zone_is_warming_up_or_unreported() -> None:
    free = relay_with_cross_zone_connections(0.3, 1, cross_zone_cost=0.0)
    warming_up = relay_with_cross_zone_connections(
        0.3, 1, started_us_by_endpoint=dict.fromkeys((0, 2, 4), 99 * SECOND)
    )
    unreported = relay_with_groups(**ZONES)
    unreported.silent_endpoints = set(range(6))
    for request_id in range(70, 80):
        unreported.handle(ConnectionResumed(request_id, 0, 0, 5, 0, 0, 1))
    for driver in (free, warming_up, unreported):
        assert not any(migrations_by_second(driver, 3))


def test_connections_in_the_relays_zone_do_not_migrate() -> None:
    driver = relay_with_groups(**ZONES)
    for request_id in range(70, 80):
        driver.handle(ConnectionResumed(request_id, 0, 0, 5, 0, 0, 2))
    assert not any(migrations_by_second(driver, 10))


@pytest.mark.parametrize("load", [0.45, 0.56, 0.6])
def test_a_connection_migrated_to_the_relays_zone_is_placed_there_when_it_returns(load: float) -> None:
    """Between the load limit for a new group and the load limit, connections migrated back and forth."""
    for seed in range(10):
        driver = relay_with_cross_zone_connections(load, seed)
        # The present endpoints of the connections have capacity.
        driver.loads |= {1: (30.0, 0.3), 3: (10.0, 0.3), 5: (10.0, 0.3)}
        for _ in range(6):
            driver.advance(SECOND)
            if moved := actions_of(driver.handle(TimerExpired(TICK_TIMER)), MigrateConnection):
                driver.handle(AttemptEnded(moved[0].request_id, 0, AttemptStatus.CANCELLED, 1, 1, 0))
                driver.advance(200_000)
                driver.arrive(group=5, flags=RequestFlag.RETURNED)
                assert driver.started_attempts[-1].endpoint_id in (0, 2, 4)
                break


def test_a_return_to_the_relays_zone_without_a_group_adds_no_group_cost() -> None:
    driver = BalancerDriver(6, **ZONES)
    driver.loads = dict.fromkeys(range(6), (10.0, 0.62))
    for request_id in range(70, 80):
        driver.handle(ConnectionResumed(request_id, 0, 0, 0, 0, 0, 1))
    assert any(migrations_by_second(driver, 6))
