"""Connections of one group share work at a server, so a group is kept together while it fits."""

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
    """Servers with room for a group more."""
    g = BalancerDriver(6, seed=seed, groups_enabled=True, **changes)  # type: ignore[arg-type]
    g.loads = dict.fromkeys(range(6), (10.0, 0.3))
    return g


def place_in_group(g: BalancerDriver, group: int) -> int:
    g.advance(2 * SECOND)  # no fill is left from the arrival before
    g.arrive(group=group)
    g.establish(g.started_attempts[-1])
    return number_of(g.started_attempts[-1])


def test_a_group_stays_together_and_every_relay_begins_at_the_same_endpoint() -> None:
    homes = list[int]()
    for group in range(1, 7):
        gateways = [relay_with_groups(seed) for seed in (1, 2)]
        found = {place_in_group(g, group) for g in gateways for _ in range(3)}
        assert len(found) == 1
        homes += found
    assert len(set(homes)) > 1  # groups do not all begin at the same one


def test_without_shared_work_a_group_says_nothing() -> None:
    told, untold = BalancerDriver(6), BalancerDriver(6)
    assert [place_in_group(told, n % 2) for n in range(12)] == [place_in_group(untold, 0) for _ in range(12)]


@pytest.mark.parametrize(("load", "stays"), [(0.3, True), (0.76, True), (0.85, False)])
def test_an_endpoint_of_a_group_is_passed_over_when_one_more_exceeds_the_limit(
    load: float, stays: bool
) -> None:
    g = relay_with_groups()
    home = place_in_group(g, 1)
    g.loads[home] = (40.0, load)
    other = place_in_group(g, 1)
    assert (other == home) is stays
    if not stays:  # from now on both hold it
        g.loads[home] = (10.0, 0.3)
        assert place_in_group(g, 1) in (home, other)


@pytest.mark.parametrize(("load", "zone"), [(0.3, 0), (0.75, 1)])
def test_a_group_gets_an_endpoint_in_the_own_zone_only_where_its_cost_fits(load: float, zone: int) -> None:
    g = relay_with_groups(**ZONES)
    g.handle(ConnectionResumed(77, 0, 0, 5, 0, 0, 3))
    g.loads = {n: (10.0, load if n % 2 == 0 else 0.3) for n in range(6)}
    assert place_in_group(g, 5) in ((0, 2, 4) if zone == 0 else (3,))


@pytest.mark.parametrize("load", [0.3, 0.6])
def test_a_group_belongs_to_the_same_two_endpoints_in_every_zone_once_capacity_is_short(load: float) -> None:
    """Each zone had its own place for every group: 26 places that were paid for became 150 in a release."""
    for group in range(1, 13):
        places = [
            number_of(node)
            for node in relay_with_groups().balancer.state.ready_endpoints.highest_ranked(group, 2, ())
        ]
        for zone in (0, 1):
            g = relay_with_groups(zone=zone, **ZONES)
            g.loads = dict.fromkeys(range(6), (10.0, load))
            found = place_in_group(g, group)
            own = [n for n in places if n % 2 == zone]
            if load > 0.5:  # a group more would be too much for any
                assert found in (own or places)
            else:
                assert found == next(
                    n.endpoint_id for n in g.balancer.state.ready_endpoints.ranking(group) if n.zone == zone
                )


def test_a_group_is_new_elsewhere_only_where_its_whole_cost_fits() -> None:
    g = relay_with_groups()
    order = [number_of(node) for node in g.balancer.state.ready_endpoints.ranking(5)]
    g.loads = {order[0]: (30.0, 0.85), order[1]: (30.0, 0.82), order[2]: (10.0, 0.7)}
    g.loads |= dict.fromkeys(order[3:], (10.0, 0.3))
    assert place_in_group(g, 5) == order[3]  # the third has room for a connection, not for a group more
    g = relay_with_groups()
    g.loads = {n: (30.0, 0.85 if n in order[:2] else 0.75) for n in range(6)}
    assert (
        place_in_group(g, 5) == order[2]
    )  # where there is no such server, the first with room for the connection


def test_groups_that_begin_at_one_endpoint_go_on_to_different_ones() -> None:
    """Their order was a crc, which is linear: from a full server all of its groups went to the same next."""
    order = relay_with_groups().balancer.state.ready_endpoints.ranking
    after: dict[object, set[object]] = {}
    for group in range(1, 60):
        first, second = order(group)[:2]
        after.setdefault(first.endpoint_id, set()).add(second.endpoint_id)
    assert len(after) == 6
    assert all(len(seconds) >= 3 for seconds in after.values())


def test_examining_a_candidate_does_not_sort_the_endpoints(monkeypatch: pytest.MonkeyPatch) -> None:
    """Every look sorted all servers; now a group's order is made once for each list of them."""
    g = relay_with_groups()
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
        place_in_group(g, 1)
    assert len(ranked_groups) == 6
    g.change_status(3, EndpointStatus.DRAINING)
    place_in_group(g, 1)
    assert len(ranked_groups) == 11


def test_a_failed_endpoint_of_a_group_is_passed_over_at_once() -> None:
    g = relay_with_groups()
    home = place_in_group(g, 1)
    g.arrive(group=1)
    assert g.started_attempts[-1].endpoint_id == home
    (again,) = actions_of(g.end(g.started_attempts[-1], AttemptStatus.FULL), StartAttempt)
    assert again.endpoint_id != home


@pytest.mark.parametrize("end", ["answer", "hold", "leave"])
def test_a_walk_ends_with_its_arrival(end: str) -> None:
    g = relay_with_groups()
    g.silent_endpoints = set(range(6))
    g.advance(2 * SECOND)
    for group in range(1, 4):
        g.arrive(group=group)
    assert len(g.balancer.group_placement.searches) == 3
    assert not g.started_attempts
    if end == "answer":
        for server in range(6):
            g.handle(LoadProbeResult(server, AttemptStatus.OK, 1000, (10.0, 0.2)))
    elif end == "hold":  # no answer in time: they go to what was drawn, unprobed
        g.advance(SECOND)
        g.handle(TimerExpired(3))
    else:
        for rid in range(1, 4):
            g.handle(ClientDisconnected(rid))
    assert not g.balancer.group_placement.searches
    assert len(g.started_attempts) == (0 if end == "leave" else 3)


def test_set_ups_that_come_together_are_spread_and_wait_a_little() -> None:
    """A relay's clients came back within half a second and were all set up at one server, in vain."""
    g = relay_with_groups()
    g.loads = dict.fromkeys(range(6), (10.0, 0.05))
    g.advance(2 * SECOND)
    for _ in range(32):
        g.arrive(group=3)
    counts = [sum(send.endpoint_id == n for send in g.started_attempts) for n in range(6)]
    assert counts == [5] * 6  # not one more at any, and two wait
    g.establish(g.started_attempts[0])
    g.advance(200_000)
    g.handle(TimerExpired(3))
    assert len(g.started_attempts) == 32


def test_a_search_goes_on_past_full_endpoints_and_rejects_where_all_are() -> None:
    g = relay_with_groups()
    for free in (*range(6), None):
        g.advance(2 * SECOND)
        g.loads = dict.fromkeys(range(6), (30.0, 0.9))
        if free is not None:
            g.loads[free] = (10.0, 0.3)
        actions = g.arrive(group=3)
        assert [send.endpoint_id for send in actions_of(actions, StartAttempt)] == (
            [] if free is None else [free]
        )
    assert actions_of(actions, RejectRequest)


def test_a_permit_of_a_warming_endpoint_waits_for_an_arrival() -> None:
    """Turns went to draws no arrival with a group uses: a server stood empty for 12 s after it started."""
    g = relay_with_groups(
        started_us_by_endpoint={5: 95 * SECOND},
        slow_start_window_us=230 * SECOND,
        slow_start_min_share=0.12,
        overload_multiple=4.0,
    )
    for n in range(20):
        g.advance(SECOND)
        g.balancer.slow_start.connection_time_us, g.balancer.slow_start.ended_connections = (
            0.0,
            0,
        )  # connections are short: a turn every few seconds
        g.handle(TimerExpired(1))
        assert len(g.balancer.slow_start.permits) < 2
        g.arrive(group=77 + n)
    assert 5 in [send.endpoint_id for send in g.started_attempts]


def test_the_budget_of_a_warming_endpoint_is_judged_by_warm_ones() -> None:
    """Its load is told over what it can do now: counted into the mean, it made its own budget smaller."""
    given = []
    for report in ((1.0, 0.05), (4.0, 1.2)):
        g = relay_with_groups(
            started_us_by_endpoint={4: 95 * SECOND, 5: 95 * SECOND},
            slow_start_window_us=2300 * SECOND,
            slow_start_min_share=0.3,
        )
        g.loads |= dict.fromkeys((4, 5), report)
        for n in range(6):
            g.handle(LoadProbeResult(n, AttemptStatus.OK, 1000, g.loads[n]))
        total = 0
        for _ in range(400):
            g.balancer.slow_start.connection_time_us, g.balancer.slow_start.ended_connections = 0.0, 0
            g.balancer.slow_start.grant_permits(g.now)
            total += len(g.balancer.slow_start.permits)
        given.append(total)
    assert given[0] == given[1] > 0


@pytest.mark.parametrize(
    ("flags", "age", "same"),
    [(0, 2, False), (RequestFlag.RETURNED, 2, True), (RequestFlag.RETURNED, 9, False)],
)
def test_a_returned_connection_is_not_counted_twice_at_its_previous_endpoint(
    flags: int, age: int, same: bool
) -> None:
    """After a restart the report at its server still holds the connection that it comes back for."""
    g = relay_with_groups()
    first = place_in_group(relay_with_groups(), 7)
    g.loads = dict.fromkeys(range(6), (20.0, 0.6)) | {first: (20.0, 0.72)}  # a group more is much there
    g.advance(age * SECOND)
    g.arrive(group=7, flags=flags)
    assert ([send.endpoint_id for send in g.started_attempts] == [first]) == same
    if same:  # nor does it make the server look fuller to the next of its group
        assert g.balancer.state.endpoints[first].load < 0.77


def relay_with_crossing_connections(load: float, seed: int, **changes: object) -> BalancerDriver:
    """Ten connections that cross zones, and the servers of the own zone at this load."""
    g = relay_with_groups(seed, **{**ZONES, **changes})
    g.loads = dict.fromkeys(range(6), (10.0, load))
    for rid in range(70, 80):
        g.handle(ConnectionResumed(rid, 0, 0, 5, 0, 0, 1))
    g.advance(3 * SECOND)  # what was heard before is too old to move by
    return g


def migrations_by_second(g: BalancerDriver, seconds: int) -> list[int]:
    """How many moves each second brought."""
    found = []
    for _ in range(seconds):
        g.advance(SECOND)
        found.append(len(actions_of(g.handle(TimerExpired(TICK_TIMER)), MigrateConnection)))
    return found


@pytest.mark.parametrize(("load", "moved"), [(0.3, True), (0.79, False)])
def test_crossing_connections_migrate_to_the_own_zone_one_by_one_within_capacity(
    load: float, moved: bool
) -> None:
    for seed in range(10):
        found = migrations_by_second(relay_with_crossing_connections(load, seed), 4)
        assert (max(found) == 1) if moved else not any(found)


def test_nothing_migrates_where_crossing_is_free_or_the_own_zone_is_warming_up_or_unreported() -> None:
    free = relay_with_crossing_connections(0.3, 1, cross_zone_cost=0.0)
    cold = relay_with_crossing_connections(
        0.3, 1, started_us_by_endpoint=dict.fromkeys((0, 2, 4), 99 * SECOND)
    )
    unheard = relay_with_groups(**ZONES)
    unheard.silent_endpoints = set(range(6))
    for rid in range(70, 80):
        unheard.handle(ConnectionResumed(rid, 0, 0, 5, 0, 0, 1))
    for g in (free, cold, unheard):
        assert not any(migrations_by_second(g, 3))


def test_connections_in_the_own_zone_do_not_migrate() -> None:
    g = relay_with_groups(**ZONES)
    for rid in range(70, 80):
        g.handle(ConnectionResumed(rid, 0, 0, 5, 0, 0, 2))
    assert not any(migrations_by_second(g, 10))


@pytest.mark.parametrize("load", [0.45, 0.56, 0.6])
def test_a_connection_migrated_to_the_own_zone_is_placed_there_when_it_returns(load: float) -> None:
    """Between the load for a new group and the limit it moved home, was sent back across, and moved again."""
    for seed in range(10):
        g = relay_with_crossing_connections(load, seed)
        g.loads |= {1: (30.0, 0.3), 3: (10.0, 0.3), 5: (10.0, 0.3)}  # where it stands there is room
        for _ in range(6):
            g.advance(SECOND)
            if moved := actions_of(g.handle(TimerExpired(TICK_TIMER)), MigrateConnection):
                g.handle(AttemptEnded(moved[0].request_id, 0, AttemptStatus.CANCELLED, 1, 1, 0))
                g.advance(200_000)
                g.arrive(group=5, flags=RequestFlag.RETURNED)
                assert g.started_attempts[-1].endpoint_id in (0, 2, 4)
                break


def test_a_return_to_the_own_zone_without_a_group_pays_for_none() -> None:
    g = BalancerDriver(6, **ZONES)
    g.loads = dict.fromkeys(range(6), (10.0, 0.62))
    for rid in range(70, 80):
        g.handle(ConnectionResumed(rid, 0, 0, 0, 0, 0, 1))
    assert any(migrations_by_second(g, 6))
