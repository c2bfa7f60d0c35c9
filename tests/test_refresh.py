"""What keeps the table true where arrivals are few: reports forgotten, passed over, or asked for again."""

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

TICK = 1


def probed_in(g: BalancerDriver, seconds: int) -> list[tuple[int, EndpointId]]:
    """The probes that upkeep leads to, by second."""
    found = []
    for second in range(1, seconds + 1):
        g.advance(SECOND)
        found += [
            (second, probe.endpoint_id) for probe in actions_of(g.handle(TimerExpired(TICK)), ProbeLoad)
        ]
    return found


def resume(g: BalancerDriver, server: int, *rids: int) -> None:
    for rid in rids:
        g.handle(ConnectionResumed(rid, 0, 0, 0, 0, 0, server))


def test_a_report_from_before_a_connection_resumed_is_forgotten() -> None:
    g = BalancerDriver(1)
    assert g.balancer.state.endpoints[0].has_report
    resume(g, 0, 77)
    assert not g.balancer.state.endpoints[0].has_report
    assert g.balancer.state.reports.total_connections == 0.0
    assert (1, 0) in probed_in(g, 1)


@pytest.mark.parametrize(("count", "believed"), [(0.0, 4.0), (1.0, 4.0), (4.0, 4.0), (9.0, 9.0)])
def test_a_report_that_counts_too_few_is_older_than_its_connections(count: float, believed: float) -> None:
    g = BalancerDriver(1)
    resume(g, 0, 71, 72, 73, 74)
    g.balancer.state.endpoints[0].probed_us = g.now
    g.handle(LoadProbeResult(0, AttemptStatus.OK, 1000, (count, 0.1)))
    assert g.balancer.state.endpoints[0].connections == believed
    assert (g.balancer.state.endpoints[0].load > 0.1) is (count < 4.0)
    g.loads[0] = (count, 0.1)
    g.advance(SECOND // 4)
    assert bool(actions_of(g.handle(TimerExpired(3)), ProbeLoad)) is (count < 4.0)  # not only once a second


def test_what_was_placed_since_a_report_is_put_on_top_of_it() -> None:
    """Reports are a second old when read: clients that came back together all went to one empty server."""
    g = BalancerDriver(2, load_report_fields=["concurrent", "x0"])
    g.loads = {0: (0.0, 0.0), 1: (0.0, 0.0)}
    for _ in range(12):
        g.arrive()
    assert 3 <= sum(send.endpoint_id == 0 for send in g.started_attempts) <= 9
    g.advance(2 * SECOND)  # by now a report counts them
    g.handle(LoadProbeResult(0, AttemptStatus.OK, 1000, (6.0, 0.3)))
    assert (g.balancer.state.endpoints[0].connections, g.balancer.state.endpoints[0].load) == (6.0, 0.3)


def test_an_endpoint_without_a_report_gets_one_arrival_a_sample() -> None:
    g = BalancerDriver(2)
    g.silent_endpoints = {0, 1}
    resume(g, 0, 71, 72)
    assert g.balancer.packing.fill_size(g.balancer.state.endpoints[0]) == 1


@pytest.mark.parametrize(("load", "seconds"), [(0.4, [5, 10]), (0.8, [2, 4, 6, 8, 10])])
def test_endpoints_with_own_connections_are_probed_sooner_near_the_limit(
    load: float, seconds: list[int]
) -> None:
    g = BalancerDriver(2, relay_count=1)
    g.loads = {0: (10.0, load), 1: (10.0, 0.5)}
    resume(g, 0, 77)
    g.handle(LoadProbeResult(0, AttemptStatus.OK, 1000, g.loads[0]))
    draw = g.balancer.packing
    draw.target, draw.remaining_fill = g.balancer.state.endpoints[1], 99  # no draw of its own meanwhile
    g.balancer.state.endpoints[0].probed_us = g.now
    assert [second for second, server in probed_in(g, 10) if server == 0] == seconds


def test_loads_known_from_metrics_alone_let_a_full_endpoint_be_relieved() -> None:
    moved = 0
    for seed in range(20):
        g = BalancerDriver(4, seed=seed)
        resume(g, 0, 71, 72, 73)
        for rid in (71, 72, 73):
            g.handle(ConnectionMetric(rid, 0, 0, MetricKind.LOAD, 400_000.0))
        for server in range(1, 4):
            g.handle(LoadProbeResult(server, AttemptStatus.OK, 1000, (10.0, 0.2)))
        g.advance(3 * SECOND)
        moved += len(
            actions_of(g.handle(LoadProbeResult(0, AttemptStatus.OK, 1000, (10.0, 1.3))), MigrateConnection)
        )
    assert moved > 10


def test_the_heaviest_that_fit_elsewhere_migrate_and_no_more_than_the_excess() -> None:
    moved: list[int] = []
    for seed in range(20):
        g = BalancerDriver(4, seed=seed)
        resume(g, 0, *range(70, 80))
        for rid in range(70, 80):  # 79 would overload any other server as well, 78 is most of what can go
            load = {79: 3_000_000.0, 78: 300_000.0}.get(rid, 10_000.0)
            g.handle(ConnectionMetric(rid, 0, 0, MetricKind.LOAD, load))
        g.advance(SECOND)
        g.handle(TimerExpired(TICK))
        for server in range(1, 4):
            g.handle(LoadProbeResult(server, AttemptStatus.OK, 1000, (10.0, 0.3)))
        g.advance(2 * SECOND)
        g.handle(LoadProbeResult(0, AttemptStatus.OK, 1000, (10.0, 0.97)))
        moved += [move.request_id for move in actions_of(g.all_actions, MigrateConnection)]
    assert 79 not in moved
    assert moved.count(78) == 20


def test_a_request_attempted_at_every_endpoint_is_answered_at_once() -> None:
    g = BalancerDriver(2, max_attempts=6)
    actions = g.arrive()
    for _ in range(2):
        (send,) = actions_of(actions, StartAttempt)
        actions = g.end(send, AttemptStatus.FULL)
    assert actions_of(actions, RejectRequest)
    assert not actions_of(actions, ProbeLoad)


@pytest.mark.parametrize(("gateways", "count"), [(3, 2), (40, 1)])
def test_relays_with_connections_at_one_endpoint_share_the_probing(gateways: int, count: int) -> None:
    g = BalancerDriver(2, relay_count=gateways)
    g.loads = {0: (10.0, 0.4), 1: (10.0, 0.5)}
    resume(g, 0, 77)
    g.handle(LoadProbeResult(0, AttemptStatus.OK, 1000, g.loads[0]))
    g.balancer.packing.target, g.balancer.packing.remaining_fill = g.balancer.state.endpoints[1], 99
    g.balancer.state.endpoints[0].probed_us = g.now
    assert sum(server == 0 for _, server in probed_in(g, 10)) == count
    g.loads[0] = (10.0, 0.9)  # past the limit each must know, to move its share
    g.handle(LoadProbeResult(0, AttemptStatus.OK, 1000, g.loads[0]))
    assert sum(server == 0 for _, server in probed_in(g, 10)) >= 4
