"""The four rules, each outcome, and the departures that failures call for."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from gannetweir.placement.actions import (
    Action,
    FailRequest,
    MigrateConnection,
    ProbeLoad,
    RejectRequest,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
    WriteLog,
)
from gannetweir.placement.events import (
    AttemptEnded,
    AttemptStatus,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionMetric,
    ConnectionResumed,
    EndpointEntry,
    EndpointListUpdate,
    EndpointStatus,
    LoadProbeResult,
    MetricKind,
    PeerMessage,
    RequestFlag,
    TimerExpired,
    UpdateKind,
)
from gannetweir.placement.settings import RequestClass
from tests.helpers import SECOND, BalancerDriver, actions_of, number_of

REPEATABLE = RequestClass("r", idempotency="repeatable")
ONCE = RequestClass("o", idempotency="once")


def keyed(scope: str) -> RequestClass:
    return RequestClass("k", idempotency="by_key", idempotency_scope=scope, idempotency_window_us=SECOND)


RAN = (AttemptStatus.ERROR, AttemptStatus.TIMEOUT, AttemptStatus.RESET)


@pytest.mark.parametrize(
    "status",
    [
        AttemptStatus.ERROR,
        AttemptStatus.FULL,
        AttemptStatus.TIMEOUT,
        AttemptStatus.CONNECT_FAILED,
        AttemptStatus.RESET,
    ],
)
def test_repeatable_goes_elsewhere_after_any_failure(status: int) -> None:
    g = BalancerDriver(4)
    g.arrive()
    first = g.started_attempts[-1]
    actions = g.end(first, status)
    assert [s.endpoint_id == first.endpoint_id for s in actions_of(actions, StartAttempt)] == [False]


@pytest.mark.parametrize("status", RAN)
def test_once_is_failed_after_an_attempt_that_may_have_run(status: int) -> None:
    g = BalancerDriver(4, classes=[ONCE])
    g.arrive()
    actions = g.end(g.started_attempts[-1], status)
    assert actions_of(actions, FailRequest)
    assert not actions_of(actions, StartAttempt)
    assert not actions_of(actions, RejectRequest)


@pytest.mark.parametrize("status", [AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED])
def test_once_is_sent_again_after_an_attempt_that_never_ran(status: int) -> None:
    g = BalancerDriver(4, classes=[ONCE])
    g.arrive()
    assert actions_of(g.end(g.started_attempts[-1], status), StartAttempt)


@pytest.mark.parametrize("scope", ["zone", "cell"])
def test_keyed_repeats_stay_in_their_group_and_window(scope: str) -> None:
    groups = {n: n % 3 for n in range(12)}
    for seed in range(20):
        g = BalancerDriver(12, seed=seed, classes=[keyed(scope)], zones=groups, cells=groups)
        g.arrive()
        first = g.started_attempts[-1]
        g.advance(SECOND // 2)
        actions = g.end(first, AttemptStatus.TIMEOUT)
        assert [number_of(s) % 3 for s in actions_of(actions, StartAttempt)] == [number_of(first) % 3]
        g.advance(SECOND // 2)
        assert actions_of(g.end(g.started_attempts[-1], AttemptStatus.TIMEOUT), FailRequest)


def test_keyed_by_all_goes_anywhere_within_its_window_and_may_be_refused() -> None:
    g = BalancerDriver(4, classes=[keyed("all")])
    g.arrive()
    assert actions_of(g.end(g.started_attempts[-1], AttemptStatus.TIMEOUT), StartAttempt)
    g.advance(SECOND)
    assert actions_of(g.end(g.started_attempts[-1], AttemptStatus.TIMEOUT), RejectRequest)


@pytest.mark.parametrize(("after", "again"), [(740_000, True), (760_000, False)])
def test_a_keyed_repeat_that_could_arrive_after_its_window_is_not_sent(after: int, again: bool) -> None:
    g = BalancerDriver(
        4, classes=[keyed("all")]
    )  # remembered for a second; a connect may take a quarter of one
    g.arrive()
    g.advance(after)
    assert bool(actions_of(g.end(g.started_attempts[-1], AttemptStatus.RESET), StartAttempt)) is again


def test_moot_and_spent_budgets_end_the_request_at_once() -> None:
    g = BalancerDriver(4)
    g.arrive()
    assert actions_of(g.end(g.started_attempts[-1], AttemptStatus.NOT_STARTED), RejectRequest)
    g = BalancerDriver(4)
    g.arrive()
    g.advance(2 * SECOND)
    actions = g.end(g.started_attempts[-1], AttemptStatus.TIMEOUT)
    assert actions_of(actions, RejectRequest)
    assert not actions_of(actions, StartAttempt)


def test_attempts_are_counted() -> None:
    g = BalancerDriver(30, max_attempts=2)
    g.arrive()
    assert actions_of(g.end(g.started_attempts[-1], AttemptStatus.FULL), StartAttempt)
    assert actions_of(g.end(g.started_attempts[-1], AttemptStatus.FULL), RejectRequest)


def test_the_last_attempt_lasts_until_the_client_gives_up() -> None:
    g = BalancerDriver(4, max_attempts=1)
    g.arrive(time_budget_us=900_000)
    assert g.started_attempts[-1].timeout_us == 900_000


def test_a_set_up_is_given_more_time_after_time_outs_and_as_much_as_the_last_one_needed() -> None:
    g, given = BalancerDriver(servers=12, max_attempts=6), []
    g.balancer.throttle.recent_accepted = 10.0  # others stand: the throttle is not what is asked here

    aim = g.balancer.context.settings.classes[0].latency_objective_us

    def first() -> StartAttempt:
        (send,) = actions_of(g.arrive(time_budget_us=20 * SECOND), StartAttempt)
        given.append(send.timeout_us / aim)
        return send

    g.end(first(), AttemptStatus.TIMEOUT)
    g.end(first(), AttemptStatus.FULL)  # full tells no time
    g.establish(first())  # in 10 ms
    last = first()
    g.handle(
        ConnectionEstablished(last.request_id, g.attempts[last.request_id], last.endpoint_id, int(1.2 * aim))
    )
    first()
    assert given == [1, 2, 2, 1, 4]


def test_the_time_of_a_set_up_is_doubled_thrice_at_most() -> None:
    g = BalancerDriver(servers=16, max_attempts=6)
    g.arrive(time_budget_us=100 * SECOND)
    for _ in range(4):
        g.end(g.started_attempts[-1], AttemptStatus.TIMEOUT)
    g.balancer.retry_policy.failure_share = 0.0  # by which a set-up would have all the time that is left
    (send,) = actions_of(g.arrive(time_budget_us=100 * SECOND), StartAttempt)
    assert send.timeout_us == 8 * g.balancer.context.settings.classes[0].latency_objective_us


def test_empty_fleet_and_unfit_fleet_answer_at_once() -> None:
    g = BalancerDriver(0, load_probes_enabled=False)
    assert actions_of(g.arrive(), RejectRequest)
    g = BalancerDriver(1)
    assert actions_of(g.arrive(), StartAttempt)
    g.change_status(0, EndpointStatus.DRAINING)
    actions = g.arrive()
    timers = actions_of(actions, SetTimer)
    g.advance(timers[0].after_us if timers else 0)
    assert actions_of(actions + (g.handle(TimerExpired(timers[0].token)) if timers else []), RejectRequest)


@pytest.mark.parametrize("state", [EndpointStatus.DRAINING, EndpointStatus.REMOVED])
def test_nothing_goes_to_a_draining_or_removed_endpoint(state: int) -> None:
    g = BalancerDriver(3, seed=2)  # one with which the draws after the 50th send name all
    g.change_status(1, state)
    for _ in range(50):
        g.arrive()
        g.advance(100_000)
    assert {s.endpoint_id for s in g.started_attempts} == {0, 2}
    g.change_status(1, EndpointStatus.READY)
    for _ in range(50):
        g.arrive()
        g.advance(100_000)
    assert {s.endpoint_id for s in g.started_attempts[50:]} == {0, 1, 2}


def test_a_complete_list_removes_what_it_omits_and_a_failed_poll_clears_nothing() -> None:
    g = BalancerDriver(3, polls_endpoint_list=True)
    g.handle(EndpointListUpdate(UpdateKind.SNAPSHOT, 3, [EndpointEntry(0)]))
    assert [n.endpoint_id for n in g.balancer.state.ready_endpoints.all] == [0]
    g.handle(EndpointListUpdate(UpdateKind.FAILED, 3, []))
    assert [n.endpoint_id for n in g.balancer.state.ready_endpoints.all] == [0]


def test_the_list_is_asked_for_with_jitter_and_asked_again_later_after_each_failure() -> None:
    first = {
        actions_of(BalancerDriver(2, seed=seed, polls_endpoint_list=True).all_actions, SetTimer)[1].after_us
        for seed in range(20)
    }
    assert len(first) > 10
    g = BalancerDriver(2, polls_endpoint_list=True)
    waits = []
    for _ in range(6):
        assert actions_of(g.handle(TimerExpired(2)), WatchEndpoints)
        waits.append(actions_of(g.handle(EndpointListUpdate(UpdateKind.FAILED, 1, [])), SetTimer)[0].after_us)
        g.advance(waits[-1])
    assert waits[-1] > 4 * waits[0]
    g.handle(TimerExpired(2))
    g.handle(EndpointListUpdate(UpdateKind.DELTA, 2, []))
    assert not actions_of(g.handle(TimerExpired(2)), WatchEndpoints)  # subscribed: no call more


def test_a_pushed_list_is_not_asked_for() -> None:
    g = BalancerDriver(2)
    for _ in range(5):
        g.advance(SECOND)
        g.handle(TimerExpired(1))
    assert not actions_of(g.all_actions, WatchEndpoints)


def cold_sends(gateways: int, per_second: int, **request: int) -> int:
    """Sends in 5 s to one just-started, empty server among ten, whose connections live 10 s, by all gateways.

    Ten connections make half a load, so the server is full at 20: two a second at full warmth.
    """
    total = 0
    for seed in range(gateways):
        g = BalancerDriver(
            10,
            seed=seed,
            relay_count=gateways,
            started_us_by_endpoint={0: 100 * SECOND - 1},
            slow_start_min_share=0.2,
            slow_start_window_us=20 * SECOND,
            overload_multiple=3.0,
        )
        g.loads[0] = (0.0, 0.0)
        g.balancer.slow_start.connection_time_us, g.balancer.slow_start.ended_connections = 1e10, 1000
        for n in range(10):
            g.handle(LoadProbeResult(n, AttemptStatus.OK, 1000, g.loads[n]))
        for _ in range(5):
            g.advance(SECOND)
            g.handle(TimerExpired(1))
            for _ in range(per_second):
                g.arrive(**request)
        total += sum(s.endpoint_id == 0 for s in g.started_attempts)
    return total


def test_a_warming_endpoint_gets_what_its_budget_allows_whatever_the_rush() -> None:
    """It reads empty, and every gateway would fill it; clients cut off by a deploy pushed successors over."""
    budget = 5 * 3.0 * 0.4 * 2  # seconds, multiple, warmth reached, connections a second
    assert 0 < cold_sends(40, 2) < budget
    assert 0 < cold_sends(40, 40, flags=RequestFlag.RETURNED) < budget


def test_a_heavy_connection_does_not_go_to_a_warming_endpoint() -> None:
    g = BalancerDriver(2, started_us_by_endpoint={0: 100 * SECOND - 1}, slow_start_window_us=20 * SECOND)
    node = g.balancer.state.endpoints[0]
    g.balancer.load_model.mean_load_hint = 1000.0
    for hint, expected in ((500, 0), (5000, 1)):
        draw = g.balancer.packing
        draw.target, draw.remaining_fill, draw.sampled_us = node, 1, g.now
        g.arrive(load_hint=hint, flags=RequestFlag.LOAD_HINT_VALID)
        assert g.started_attempts[-1].endpoint_id == expected


def test_a_warm_endpoint_needs_no_permit() -> None:
    g = BalancerDriver(2, started_us_by_endpoint={0: 60 * SECOND}, slow_start_window_us=30 * SECOND)
    assert not g.balancer.slow_start.warming_up
    g.arrive()
    for _ in range(20):
        g.arrive()
    assert {s.endpoint_id for s in g.started_attempts} == {0, 1}


def test_a_fleet_that_is_warming_up_altogether_is_used() -> None:
    g = BalancerDriver(3, started_us_by_endpoint=dict.fromkeys(range(3), 100 * SECOND - 1))
    assert actions_of(g.arrive(), StartAttempt)


def test_a_silent_endpoint_is_ejected_with_growing_backoff_and_its_connections_migrate() -> None:
    g = BalancerDriver(6)
    node = g.balancer.state.endpoints[2]
    while not node.request_ids:
        g.arrive()
    for send in g.started_attempts:
        g.establish(send)
    waits = []
    for _ in range(3):
        actions = g.handle(LoadProbeResult(2, AttemptStatus.TIMEOUT, 500_000))
        waits.append(node.ejected_until_us - g.now)
        assert {m.request_id for m in actions_of(actions, MigrateConnection)} == set(node.request_ids)
        before = len(g.started_attempts)
        for _ in range(30):
            g.arrive()
        assert all(s.endpoint_id != 2 for s in g.started_attempts[before:])
        g.advance(waits[-1] + 1)
        g.handle(TimerExpired(1))
    assert waits[0] < waits[1] < waits[2]


@pytest.mark.parametrize("status", [AttemptStatus.ERROR, AttemptStatus.RESET])
def test_an_endpoint_is_at_fault_for_an_error_only_once_another_serves_that_request(status: int) -> None:
    """Lines of bad clients can pass for good ones here and be turned away there: no server is at fault."""
    g = BalancerDriver(6)
    g.arrive()
    while g.started_attempts[-1].request_id in g.balancer.state.requests:
        g.end(g.started_attempts[-1], status)
    assert not g.ejected_endpoints()
    assert g.balancer.retry_policy.failure_share == 0.0
    g.arrive()
    first = g.started_attempts[-1]
    g.end(first, status)
    assert not g.ejected_endpoints()
    g.establish(g.started_attempts[-1])
    assert g.ejected_endpoints() == [first.endpoint_id]


def test_a_probe_that_is_reset_migrates_nobody() -> None:
    """A connection was reset on its way: all that stood at that server was once moved for it."""
    g = BalancerDriver(6)
    for _ in range(20):
        g.arrive()
        g.establish(g.started_attempts[-1])
    for server in range(6):
        assert not actions_of(g.handle(LoadProbeResult(server, AttemptStatus.RESET, 900)), MigrateConnection)
    assert not g.ejected_endpoints()


def test_failures_everywhere_blame_no_more_than_a_third() -> None:
    g = BalancerDriver(9)
    for server in range(9):
        g.handle(LoadProbeResult(server, AttemptStatus.TIMEOUT, 500_000))
    assert len(g.ejected_endpoints()) == 3
    assert any("shared cause" in line.text for line in actions_of(g.all_actions, WriteLog))


def fail(g: BalancerDriver) -> None:
    """Every attempt for the last request times out."""
    while g.started_attempts[-1].request_id in g.balancer.state.requests:
        g.end(g.started_attempts[-1], AttemptStatus.TIMEOUT)


def test_most_set_ups_failing_means_one_long_attempt_and_throttling() -> None:
    """A slow store was kept slow by short time-outs and their retries."""
    g = BalancerDriver(30)
    for _ in range(12):
        g.arrive()
        send = g.started_attempts[-1]
        while send.request_id in g.balancer.state.requests:
            g.advance(50_000)
            g.end(send, AttemptStatus.TIMEOUT)
            send = g.started_attempts[-1]
    assert g.balancer.retry_policy.failure_share > 0.5
    before = len(g.started_attempts)
    refused = 0
    for _ in range(400):
        refused += bool(actions_of(g.arrive(), RejectRequest))
        g.advance(50_000)
        while g.started_attempts[-1].request_id in g.balancer.state.requests:
            assert g.started_attempts[-1].timeout_us == 2 * SECOND
            g.end(g.started_attempts[-1], AttemptStatus.TIMEOUT)
    assert refused > 350
    assert len(g.started_attempts) > before  # a few go on


@pytest.mark.parametrize(("marked", "most"), [(0, 100), (RequestFlag.CLIENT_RETRY, 60)])
def test_each_of_many_relays_adds_little_to_a_slow_store_though_it_sees_few_arrivals(
    marked: int, most: int
) -> None:
    """Three a memory passed at each of 200 relays, which kept a slow store at several times its rate."""
    sends = 0
    for seed in range(5):
        g = BalancerDriver(30, seed=seed, relay_count=200)
        for n in range(40):  # 1.25 a second, all in vain
            sends += bool(actions_of(g.arrive(flags=marked * (n % 10 < 7)), StartAttempt))
            fail(g)
            g.advance(800_000)
    assert 15 < sends < most  # of 200; it was 141


def test_the_throttle_lets_go_once_set_ups_stand() -> None:
    refused = 0
    for seed in range(20):
        g = BalancerDriver(30, seed=seed)
        for n in range(60):  # for 5 s none stands, then all do
            if actions_of(g.arrive(flags=RequestFlag.CLIENT_RETRY), StartAttempt):
                g.establish(g.started_attempts[-1]) if n >= 10 else fail(g)
            else:
                refused += n >= 10
            g.advance(SECOND // 2)
        assert not [r for _ in range(10) for r in actions_of(g.arrive(), RejectRequest)]
    assert refused < 20 * 20  # of 20 * 50: for less than 10 s on average


def test_the_first_arrival_passes_though_its_client_comes_again() -> None:
    assert all(
        actions_of(BalancerDriver(4, seed=seed).arrive(flags=RequestFlag.CLIENT_RETRY), StartAttempt)
        for seed in range(30)
    )


def test_a_rush_in_a_healthy_fleet_is_not_throttled() -> None:
    """Attempts that have no outcome yet once counted as failed."""
    g = BalancerDriver(6)
    g.loads = dict.fromkeys(range(6), (10.0, 0.2))  # what is placed in the rush still fits
    for n in range(6):
        g.handle(LoadProbeResult(n, AttemptStatus.OK, 1000, g.loads[n]))
    for _ in range(40):
        assert len(actions_of(g.arrive(), StartAttempt)) == 1


def test_the_first_arrivals_are_not_throttled_while_they_wait_for_a_sample() -> None:
    """Held arrivals count as asked but not yet as sent: the second of a relay's day was refused by chance."""
    for seed in range(20):
        g = BalancerDriver(6, seed=seed)
        g.silent_endpoints = set(range(6))
        g.advance(3 * SECOND)
        assert not [refusal for _ in range(3) for refusal in actions_of(g.arrive(), RejectRequest)]


def test_past_the_limit_the_lowest_priority_is_rejected_first() -> None:
    classes = [
        RequestClass(n, idempotency="repeatable", priority_weight=w) for n, w in (("low", 1.0), ("high", 5.0))
    ]
    g = BalancerDriver(4, classes=classes)
    for load, cls, kind in (
        (-0.05, 0, RejectRequest),
        (-0.05, 1, StartAttempt),
        (0.5, 1, RejectRequest),
    ):
        g.loads = dict.fromkeys(range(4), (20.0, g.balancer.load_limit.value + load))
        g.advance(30 * SECOND)
        answer = actions_of(g.arrive(class_index=cls), kind)
        assert answer
        if isinstance(answer[0], RejectRequest):
            assert 500_000 <= answer[0].retry_after_us <= 1_000_000


def test_an_overloaded_endpoint_is_relieved_and_an_ordinary_one_is_not() -> None:
    g = BalancerDriver(4)
    for _ in range(60):
        g.arrive()
    for send in g.started_attempts:
        g.establish(send)
    g.loads = dict.fromkeys(range(4), (15.0, 0.5))
    assert not actions_of(g.handle(LoadProbeResult(1, AttemptStatus.OK, 900, (15.0, 0.5))), MigrateConnection)
    moved = actions_of(g.handle(LoadProbeResult(1, AttemptStatus.OK, 900, (15.0, 1.8))), MigrateConnection)
    assert moved
    assert {m.request_id for m in moved} <= set(g.balancer.state.endpoints[1].request_ids)
    assert not actions_of(
        g.handle(LoadProbeResult(1, AttemptStatus.OK, 900, (15.0, 1.8))), MigrateConnection
    )  # paced


def test_a_late_message_leads_to_a_probe_of_its_endpoint() -> None:
    g = BalancerDriver(4)
    g.arrive()
    send = g.started_attempts[-1]
    g.establish(send)
    g.advance(3 * SECOND)
    late = g.handle(ConnectionMetric(send.request_id, 0, send.endpoint_id, MetricKind.MESSAGE_DELAY, 500.0))
    assert [probe.endpoint_id for probe in actions_of(late, ProbeLoad)] == [send.endpoint_id]
    g.advance(3 * SECOND)
    assert not actions_of(
        g.handle(ConnectionMetric(send.request_id, 0, send.endpoint_id, MetricKind.MESSAGE_DELAY, 20.0)),
        ProbeLoad,
    )
    assert not g.handle(
        ConnectionMetric(send.request_id, 0, send.endpoint_id, MetricKind.MESSAGE_DELAY, math.nan)
    )


def test_handed_over_connections_count_and_late_or_unknown_ids_do_not() -> None:
    g = BalancerDriver(2)
    g.handle(ConnectionResumed(77, 0, 0, 0, 0, 0, 1))
    assert 77 in g.balancer.state.endpoints[1].request_ids
    g.handle(AttemptEnded(77, 0, AttemptStatus.OK, 1, 1, 10))
    assert not g.balancer.state.endpoints[1].request_ids
    for event in (
        AttemptEnded(77, 0, AttemptStatus.OK, 1, 1, 10),
        ClientDisconnected(5),
        ConnectionEstablished(5, 0, 1, 10),
        TimerExpired(99),
        AttemptEnded(5, 3, AttemptStatus.TIMEOUT, 0, 9, 10),
        ConnectionMetric(5, 0, 1, 1, 2.0),
        PeerMessage(1, b"x"),
    ):
        assert g.handle(event) == []


def test_same_events_same_actions() -> None:
    def day() -> list[Action]:
        g = BalancerDriver(8, seed=5, relay_count=9)
        for _ in range(100):
            g.arrive()
            g.advance(40_000)
        return g.all_actions

    assert day() == day()


STEP = st.tuples(st.integers(0, 8), st.integers(0, 1 << 30), st.integers(0, 400_000))
EVENTS = st.lists(STEP, max_size=120)


@profile(max_examples=150, deadline=None, derandomize=True)
@given(EVENTS, st.sampled_from(["repeatable", "once", "all", "zone", "cell"]), st.booleans())
def test_random_legal_days_break_no_rule(steps: list[tuple[int, int, int]], kind: str, probes: bool) -> None:
    """One final answer in time, no double effect, nothing to draining servers, one attempt at a time."""
    cls = {"repeatable": REPEATABLE, "once": ONCE}.get(kind) or keyed(kind)
    part = {n: n % 2 for n in range(6)}
    g = BalancerDriver(6, classes=[cls], zones=part, cells=part, load_probes_enabled=probes)
    state = dict.fromkeys(range(6), EndpointStatus.READY)
    owed: dict[int, int] = {}  # request: deadline
    out: dict[int, StartAttempt] = {}
    ran: dict[int, tuple[int, int]] = {}  # request: server and time of the first attempt that may have run
    sent_at: dict[int, int] = {}
    timers: list[tuple[int, int]] = []

    def check(actions: list[Action]) -> None:
        for a in actions:
            if isinstance(a, SetTimer):
                timers.append((g.now + a.after_us, a.token))
            if isinstance(a, StartAttempt):
                assert a.request_id in owed
                assert a.request_id not in out
                assert state[number_of(a)] == EndpointStatus.READY
                assert a.timeout_us > 0
                if a.request_id in ran and kind != "repeatable":
                    server, at = ran[a.request_id]
                    # it may take a connect's time to get there
                    assert kind != "once"
                    assert (
                        g.now + g.balancer.context.settings.connect_timeout_us - at
                        < cls.idempotency_window_us
                    )
                    assert kind == "all" or part[server] == part[number_of(a)]
                out[a.request_id], sent_at[a.request_id] = a, g.now
            if isinstance(a, RejectRequest | FailRequest):
                assert a.request_id in owed
                assert a.request_id not in out
                if isinstance(a, RejectRequest) and a.request_id in ran:
                    assert kind in ("repeatable", "all")
                del owed[a.request_id]

    def until(when: int) -> None:
        while timers and min(timers)[0] <= when:
            at, token = min(timers)
            timers.remove((at, token))
            if token == 1 and at > g.now + 5 * SECOND:
                continue
            g.now = max(g.now, at)
            check(g.handle(TimerExpired(token)))
        g.now = max(g.now, when)

    check(g.all_actions[:])
    rng = random.Random(3)
    for what, pick, gap in steps:
        until(g.now + gap)
        for rid in [r for r, send in out.items() if g.now >= sent_at[r] + send.timeout_us]:
            send = out.pop(rid)
            ran.setdefault(rid, (number_of(send), sent_at[rid]))
            check(g.end(send, AttemptStatus.TIMEOUT))
        if what <= 3:
            owed[g.next_id] = g.now + 2 * SECOND
            check(g.arrive())
        elif what == 4 and out:
            rid = sorted(out)[pick % len(out)]
            send = out.pop(rid)
            status = rng.choice(
                [AttemptStatus.ERROR, AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED, AttemptStatus.RESET]
            )
            if status in RAN:
                ran.setdefault(rid, (number_of(send), sent_at[rid]))
            check(g.end(send, status))
        elif what == 5 and out:
            rid = sorted(out)[pick % len(out)]
            send = out.pop(rid)
            g.establish(send)
            check(g.end(send, AttemptStatus.OK, closed=1))
            del owed[rid]
        elif what == 6:
            server = pick % 6
            state[server] = EndpointStatus.DRAINING if pick % 4 else EndpointStatus.REMOVED
            check(g.change_status(server, state[server]))
        elif what == 7:
            server = pick % 6
            state[server] = EndpointStatus.READY
            check(g.change_status(server, EndpointStatus.READY))
        elif what == 8 and owed:
            rid = sorted(owed)[pick % len(owed)]
            if rid not in out:
                check(g.handle(ClientDisconnected(rid)))
                del owed[rid]
    for _ in range(60):  # every time-out runs out: all that was owed has been answered by then
        until(g.now + SECOND // 10)
        for rid in [r for r, send in out.items() if g.now >= sent_at[r] + send.timeout_us]:
            send = out.pop(rid)
            ran.setdefault(rid, (number_of(send), sent_at[rid]))
            check(g.end(send, AttemptStatus.TIMEOUT))
    assert not owed


def fault(g: BalancerDriver, send: StartAttempt, status: int) -> list[Action]:
    """The attempt failed by the way there, not by the server."""
    attempt = g.attempts[send.request_id]
    return g.handle(AttemptEnded(send.request_id, attempt, status, 0, send.endpoint_id, 10_000, (), True))


def test_an_address_fault_changes_neither_time_outs_nor_the_endpoint() -> None:
    g = BalancerDriver(1, max_attempts=6, classes=[RequestClass("r", 500_000, idempotency="repeatable")])
    g.arrive()
    for status in (AttemptStatus.RESET, AttemptStatus.TIMEOUT, AttemptStatus.RESET):
        actions = fault(g, g.started_attempts[-1], status)
        (again,) = actions_of(actions, StartAttempt)
        # the same server by another way, and no longer than a first attempt: the next may be needed as well
        assert again.endpoint_id == g.started_attempts[0].endpoint_id
        assert again.timeout_us == g.started_attempts[0].timeout_us == 500_000
    assert actions_of(
        g.end(g.started_attempts[-1], AttemptStatus.TIMEOUT), RejectRequest
    )  # a fault of its own ends it, with no other server


def test_ways_that_fail_are_no_sign_of_overload() -> None:
    g = BalancerDriver(8, max_attempts=6)
    for _ in range(8):
        g.arrive()
        fault(g, g.started_attempts[-1], AttemptStatus.TIMEOUT)
        assert g.balancer.retry_policy.failure_share == 0.0
        assert not g.ejected_endpoints()
        g.establish(g.started_attempts[-1])
    assert g.balancer.throttle.recent_accepted > 7.9
    assert not actions_of(g.all_actions, RejectRequest)  # all were set up: nothing is throttled
