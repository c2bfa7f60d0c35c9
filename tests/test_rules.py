"""The idempotency rules, each outcome of an attempt, and the responses to failures."""

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


def by_key_class(scope: str) -> RequestClass:
    return RequestClass("k", idempotency="by_key", idempotency_scope=scope, idempotency_window_us=SECOND)


MAY_HAVE_EXECUTED = (AttemptStatus.ERROR, AttemptStatus.TIMEOUT, AttemptStatus.RESET)


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
def test_a_repeatable_request_is_retried_elsewhere_after_any_failure(status: int) -> None:
    driver = BalancerDriver(4)
    driver.arrive()
    first = driver.started_attempts[-1]
    actions = driver.end(first, status)
    assert [s.endpoint_id == first.endpoint_id for s in actions_of(actions, StartAttempt)] == [False]


@pytest.mark.parametrize("status", MAY_HAVE_EXECUTED)
def test_a_once_request_fails_after_an_attempt_that_may_have_executed(status: int) -> None:
    driver = BalancerDriver(4, classes=[ONCE])
    driver.arrive()
    actions = driver.end(driver.started_attempts[-1], status)
    assert actions_of(actions, FailRequest)
    assert not actions_of(actions, StartAttempt)
    assert not actions_of(actions, RejectRequest)


@pytest.mark.parametrize("status", [AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED])
def test_a_once_request_is_retried_after_an_attempt_that_was_not_executed(status: int) -> None:
    driver = BalancerDriver(4, classes=[ONCE])
    driver.arrive()
    assert actions_of(driver.end(driver.started_attempts[-1], status), StartAttempt)


@pytest.mark.parametrize("scope", ["zone", "cell"])
def test_by_key_retries_stay_in_their_scope_and_window(scope: str) -> None:
    locations = {n: n % 3 for n in range(12)}
    for seed in range(20):
        driver = BalancerDriver(
            12, seed=seed, classes=[by_key_class(scope)], zones=locations, cells=locations
        )
        driver.arrive()
        first = driver.started_attempts[-1]
        driver.advance(SECOND // 2)
        actions = driver.end(first, AttemptStatus.TIMEOUT)
        assert [number_of(s) % 3 for s in actions_of(actions, StartAttempt)] == [number_of(first) % 3]
        driver.advance(SECOND // 2)
        assert actions_of(driver.end(driver.started_attempts[-1], AttemptStatus.TIMEOUT), FailRequest)


def test_by_key_retries_of_scope_all_go_anywhere_in_their_window_and_are_rejected_after_it() -> None:
    driver = BalancerDriver(4, classes=[by_key_class("all")])
    driver.arrive()
    assert actions_of(driver.end(driver.started_attempts[-1], AttemptStatus.TIMEOUT), StartAttempt)
    driver.advance(SECOND)
    assert actions_of(driver.end(driver.started_attempts[-1], AttemptStatus.TIMEOUT), RejectRequest)


@pytest.mark.parametrize(("after", "retried"), [(740_000, True), (760_000, False)])
def test_a_by_key_retry_that_could_arrive_after_its_window_is_not_started(after: int, retried: bool) -> None:
    # A key is remembered for one second; a connect may take a quarter of a second.
    driver = BalancerDriver(4, classes=[by_key_class("all")])
    driver.arrive()
    driver.advance(after)
    assert (
        bool(actions_of(driver.end(driver.started_attempts[-1], AttemptStatus.RESET), StartAttempt))
        is retried
    )


def test_an_unstarted_attempt_or_a_spent_time_budget_ends_the_request_at_once() -> None:
    driver = BalancerDriver(4)
    driver.arrive()
    assert actions_of(driver.end(driver.started_attempts[-1], AttemptStatus.NOT_STARTED), RejectRequest)
    driver = BalancerDriver(4)
    driver.arrive()
    driver.advance(2 * SECOND)
    actions = driver.end(driver.started_attempts[-1], AttemptStatus.TIMEOUT)
    assert actions_of(actions, RejectRequest)
    assert not actions_of(actions, StartAttempt)


def test_attempts_are_limited() -> None:
    driver = BalancerDriver(30, max_attempts=2)
    driver.arrive()
    assert actions_of(driver.end(driver.started_attempts[-1], AttemptStatus.FULL), StartAttempt)
    assert actions_of(driver.end(driver.started_attempts[-1], AttemptStatus.FULL), RejectRequest)


def test_the_last_attempt_lasts_until_the_deadline() -> None:
    driver = BalancerDriver(4, max_attempts=1)
    driver.arrive(time_budget_us=900_000)
    assert driver.started_attempts[-1].timeout_us == 900_000


def test_timeouts_grow_after_a_timeout_and_follow_the_duration_of_the_last_set_up() -> None:
    driver, timeouts = BalancerDriver(servers=12, max_attempts=6), []
    driver.balancer.throttle.recent_accepted = 10.0  # keeps the throttle from rejecting

    objective_us = driver.balancer.context.settings.classes[0].latency_objective_us

    def first() -> StartAttempt:
        (started,) = actions_of(driver.arrive(time_budget_us=20 * SECOND), StartAttempt)
        timeouts.append(started.timeout_us / objective_us)
        return started

    driver.end(first(), AttemptStatus.TIMEOUT)
    driver.end(first(), AttemptStatus.FULL)  # a full endpoint says nothing about the duration of a set-up
    driver.establish(first())  # 10 ms
    last = first()
    driver.handle(
        ConnectionEstablished(
            last.request_id, driver.attempts[last.request_id], last.endpoint_id, int(1.2 * objective_us)
        )
    )
    first()
    assert timeouts == [1, 2, 2, 1, 4]


def test_the_timeout_of_a_set_up_doubles_three_times_at_most() -> None:
    driver = BalancerDriver(servers=16, max_attempts=6)
    driver.arrive(time_budget_us=100 * SECOND)
    for _ in range(4):
        driver.end(driver.started_attempts[-1], AttemptStatus.TIMEOUT)
    # A high failure share would give the set-up all the remaining time.
    driver.balancer.retry_policy.failure_share = 0.0
    (started,) = actions_of(driver.arrive(time_budget_us=100 * SECOND), StartAttempt)
    assert started.timeout_us == 8 * driver.balancer.context.settings.classes[0].latency_objective_us


def test_requests_are_rejected_at_once_where_no_endpoint_is_ready() -> None:
    driver = BalancerDriver(0, load_probes_enabled=False)
    assert actions_of(driver.arrive(), RejectRequest)
    driver = BalancerDriver(1)
    assert actions_of(driver.arrive(), StartAttempt)
    driver.change_status(0, EndpointStatus.DRAINING)
    actions = driver.arrive()
    timers = actions_of(actions, SetTimer)
    driver.advance(timers[0].after_us if timers else 0)
    assert actions_of(
        actions + (driver.handle(TimerExpired(timers[0].token)) if timers else []), RejectRequest
    )


@pytest.mark.parametrize("state", [EndpointStatus.DRAINING, EndpointStatus.REMOVED])
def test_nothing_goes_to_a_draining_or_removed_endpoint(state: int) -> None:
    # With this seed, the draws after the 50th attempt select every endpoint.
    driver = BalancerDriver(3, seed=2)
    driver.change_status(1, state)
    for _ in range(50):
        driver.arrive()
        driver.advance(100_000)
    assert {s.endpoint_id for s in driver.started_attempts} == {0, 2}
    driver.change_status(1, EndpointStatus.READY)
    for _ in range(50):
        driver.arrive()
        driver.advance(100_000)
    assert {s.endpoint_id for s in driver.started_attempts[50:]} == {0, 1, 2}


def test_a_complete_list_removes_what_it_omits_and_a_failed_poll_clears_nothing() -> None:
    driver = BalancerDriver(3, polls_endpoint_list=True)
    driver.handle(EndpointListUpdate(UpdateKind.SNAPSHOT, 3, [EndpointEntry(0)]))
    assert [n.endpoint_id for n in driver.balancer.state.ready_endpoints.all] == [0]
    driver.handle(EndpointListUpdate(UpdateKind.FAILED, 3, []))
    assert [n.endpoint_id for n in driver.balancer.state.ready_endpoints.all] == [0]


def test_the_list_is_polled_with_jitter_and_with_backoff_after_failures() -> None:
    first = {
        actions_of(BalancerDriver(2, seed=seed, polls_endpoint_list=True).all_actions, SetTimer)[1].after_us
        for seed in range(20)
    }
    assert len(first) > 10
    driver = BalancerDriver(2, polls_endpoint_list=True)
    waits = []
    for _ in range(6):
        assert actions_of(driver.handle(TimerExpired(2)), WatchEndpoints)
        waits.append(
            actions_of(driver.handle(EndpointListUpdate(UpdateKind.FAILED, 1, [])), SetTimer)[0].after_us
        )
        driver.advance(waits[-1])
    assert waits[-1] > 4 * waits[0]
    driver.handle(TimerExpired(2))
    driver.handle(EndpointListUpdate(UpdateKind.DELTA, 2, []))
    assert not actions_of(driver.handle(TimerExpired(2)), WatchEndpoints)  # subscribed: no further poll


def test_a_pushed_list_is_not_polled() -> None:
    driver = BalancerDriver(2)
    for _ in range(5):
        driver.advance(SECOND)
        driver.handle(TimerExpired(1))
    assert not actions_of(driver.all_actions, WatchEndpoints)


def attempts_at_warming_endpoint(relays: int, per_second: int, **request: int) -> int:
    """Attempts of all relays in 5 s at one just started, empty endpoint of ten; connections last 10 s.

    Ten connections are half a load, so the endpoint is full at 20: two a second at full capacity.
    """
    total = 0
    for seed in range(relays):
        driver = BalancerDriver(
            10,
            seed=seed,
            relay_count=relays,
            started_us_by_endpoint={0: 100 * SECOND - 1},
            slow_start_min_share=0.2,
            slow_start_window_us=20 * SECOND,
            overload_multiple=3.0,
        )
        driver.loads[0] = (0.0, 0.0)
        driver.balancer.slow_start.connection_time_us, driver.balancer.slow_start.ended_connections = (
            1e10,
            1000,
        )
        for n in range(10):
            driver.handle(LoadProbeResult(n, AttemptStatus.OK, 1000, driver.loads[n]))
        for _ in range(5):
            driver.advance(SECOND)
            driver.handle(TimerExpired(1))
            for _ in range(per_second):
                driver.arrive(**request)
        total += sum(s.endpoint_id == 0 for s in driver.started_attempts)
    return total


def test_a_warming_endpoint_stays_within_its_budget_at_any_arrival_rate() -> None:
    """Every relay would fill a new, empty endpoint: clients that returned in a deploy overloaded one."""
    budget = 5 * 3.0 * 0.4 * 2  # seconds, multiple, capacity share, connections per second
    assert 0 < attempts_at_warming_endpoint(40, 2) < budget
    assert 0 < attempts_at_warming_endpoint(40, 40, flags=RequestFlag.RETURNED) < budget


def test_a_heavy_connection_does_not_go_to_a_warming_endpoint() -> None:
    driver = BalancerDriver(2, started_us_by_endpoint={0: 100 * SECOND - 1}, slow_start_window_us=20 * SECOND)
    endpoint = driver.balancer.state.endpoints[0]
    driver.balancer.load_model.mean_load_hint = 1000.0
    for hint, expected in ((500, 0), (5000, 1)):
        packing = driver.balancer.packing
        packing.target, packing.remaining_fill, packing.sampled_us = endpoint, 1, driver.now
        driver.arrive(load_hint=hint, flags=RequestFlag.LOAD_HINT_VALID)
        assert driver.started_attempts[-1].endpoint_id == expected


def test_a_warm_endpoint_needs_no_permit() -> None:
    driver = BalancerDriver(2, started_us_by_endpoint={0: 60 * SECOND}, slow_start_window_us=30 * SECOND)
    assert not driver.balancer.slow_start.warming_up
    driver.arrive()
    for _ in range(20):
        driver.arrive()
    assert {s.endpoint_id for s in driver.started_attempts} == {0, 1}


def test_a_fleet_that_is_entirely_warming_up_is_used() -> None:
    driver = BalancerDriver(3, started_us_by_endpoint=dict.fromkeys(range(3), 100 * SECOND - 1))
    assert actions_of(driver.arrive(), StartAttempt)


def test_a_silent_endpoint_is_ejected_with_growing_backoff_and_its_connections_migrate() -> None:
    driver = BalancerDriver(6)
    endpoint = driver.balancer.state.endpoints[2]
    while not endpoint.request_ids:
        driver.arrive()
    for started in driver.started_attempts:
        driver.establish(started)
    waits = []
    for _ in range(3):
        actions = driver.handle(LoadProbeResult(2, AttemptStatus.TIMEOUT, 500_000))
        waits.append(endpoint.ejected_until_us - driver.now)
        assert {migration.request_id for migration in actions_of(actions, MigrateConnection)} == set(
            endpoint.request_ids
        )
        before = len(driver.started_attempts)
        for _ in range(30):
            driver.arrive()
        assert all(s.endpoint_id != 2 for s in driver.started_attempts[before:])
        driver.advance(waits[-1] + 1)
        driver.handle(TimerExpired(1))
    assert waits[0] < waits[1] < waits[2]


@pytest.mark.parametrize("status", [AttemptStatus.ERROR, AttemptStatus.RESET])
def test_an_endpoint_is_at_fault_for_an_error_only_once_another_serves_that_request(status: int) -> None:
    """A relay may accept a malformed first line that endpoints reject: then no endpoint is at fault."""
    driver = BalancerDriver(6)
    driver.arrive()
    while driver.started_attempts[-1].request_id in driver.balancer.state.requests:
        driver.end(driver.started_attempts[-1], status)
    assert not driver.ejected_endpoints()
    assert driver.balancer.retry_policy.failure_share == 0.0
    driver.arrive()
    first = driver.started_attempts[-1]
    driver.end(first, status)
    assert not driver.ejected_endpoints()
    driver.establish(driver.started_attempts[-1])
    assert driver.ejected_endpoints() == [first.endpoint_id]


def test_a_probe_that_is_reset_migrates_no_connection() -> None:
    """A reset on the path to an endpoint caused the migration of all connections there."""
    driver = BalancerDriver(6)
    for _ in range(20):
        driver.arrive()
        driver.establish(driver.started_attempts[-1])
    for number in range(6):
        assert not actions_of(
            driver.handle(LoadProbeResult(number, AttemptStatus.RESET, 900)), MigrateConnection
        )
    assert not driver.ejected_endpoints()


def test_failures_everywhere_eject_no_more_than_a_third() -> None:
    driver = BalancerDriver(9)
    for number in range(9):
        driver.handle(LoadProbeResult(number, AttemptStatus.TIMEOUT, 500_000))
    assert len(driver.ejected_endpoints()) == 3
    assert any("shared cause" in line.text for line in actions_of(driver.all_actions, WriteLog))


def time_out_attempts(driver: BalancerDriver) -> None:
    """Let every attempt of the last request time out."""
    while driver.started_attempts[-1].request_id in driver.balancer.state.requests:
        driver.end(driver.started_attempts[-1], AttemptStatus.TIMEOUT)


def test_most_set_ups_failing_means_one_long_attempt_and_throttling() -> None:
    """Short timeouts and the retries after them kept a slow store slow."""
    driver = BalancerDriver(30)
    for _ in range(12):
        driver.arrive()
        started = driver.started_attempts[-1]
        while started.request_id in driver.balancer.state.requests:
            driver.advance(50_000)
            driver.end(started, AttemptStatus.TIMEOUT)
            started = driver.started_attempts[-1]
    assert driver.balancer.retry_policy.failure_share > 0.5
    before = len(driver.started_attempts)
    rejected = 0
    for _ in range(400):
        rejected += bool(actions_of(driver.arrive(), RejectRequest))
        driver.advance(50_000)
        while driver.started_attempts[-1].request_id in driver.balancer.state.requests:
            assert driver.started_attempts[-1].timeout_us == 2 * SECOND
            driver.end(driver.started_attempts[-1], AttemptStatus.TIMEOUT)
    assert rejected > 350
    assert len(driver.started_attempts) > before  # a few requests are admitted


@pytest.mark.parametrize(("flags", "max_started"), [(0, 100), (RequestFlag.CLIENT_RETRY, 60)])
def test_each_of_many_relays_adds_little_to_a_slow_store_though_it_sees_few_arrivals(
    flags: int, max_started: int
) -> None:
    """Each of 200 relays admitted three arrivals per time constant: several times the rate of the store."""
    started_count = 0
    for seed in range(5):
        driver = BalancerDriver(30, seed=seed, relay_count=200)
        for n in range(40):  # 1.25 arrivals per second, all of which fail
            started_count += bool(actions_of(driver.arrive(flags=flags * (n % 10 < 7)), StartAttempt))
            time_out_attempts(driver)
            driver.advance(800_000)
    assert 15 < started_count < max_started  # 200 arrivals, of which a relay with the fault started 141


def test_the_throttle_ends_once_set_ups_succeed() -> None:
    rejected = 0
    for seed in range(20):
        driver = BalancerDriver(30, seed=seed)
        for n in range(60):  # set-ups fail for 5 s, then all succeed
            if actions_of(driver.arrive(flags=RequestFlag.CLIENT_RETRY), StartAttempt):
                driver.establish(driver.started_attempts[-1]) if n >= 10 else time_out_attempts(driver)
            else:
                rejected += n >= 10
            driver.advance(SECOND // 2)
        assert not [r for _ in range(10) for r in actions_of(driver.arrive(), RejectRequest)]
    assert rejected < 20 * 20  # 20 * 50 arrivals: the throttle lasts less than 10 s on average


def test_the_first_arrival_is_admitted_even_as_a_retry() -> None:
    assert all(
        actions_of(BalancerDriver(4, seed=seed).arrive(flags=RequestFlag.CLIENT_RETRY), StartAttempt)
        for seed in range(30)
    )


def test_a_surge_in_a_healthy_fleet_is_not_throttled() -> None:
    """Attempts without an outcome were counted as failed."""
    driver = BalancerDriver(6)
    driver.loads = dict.fromkeys(range(6), (10.0, 0.2))  # the endpoints have capacity for the surge
    for n in range(6):
        driver.handle(LoadProbeResult(n, AttemptStatus.OK, 1000, driver.loads[n]))
    for _ in range(40):
        assert len(actions_of(driver.arrive(), StartAttempt)) == 1


def test_the_first_arrivals_are_not_throttled_while_they_wait_for_a_sample() -> None:
    """Waiting requests counted as arrivals but not as accepted: the second could be rejected by chance."""
    for seed in range(20):
        driver = BalancerDriver(6, seed=seed)
        driver.silent_endpoints = set(range(6))
        driver.advance(3 * SECOND)
        assert not [rejection for _ in range(3) for rejection in actions_of(driver.arrive(), RejectRequest)]


def test_past_the_limit_the_lowest_priority_is_rejected_first() -> None:
    classes = [
        RequestClass(n, idempotency="repeatable", priority_weight=w) for n, w in (("low", 1.0), ("high", 5.0))
    ]
    driver = BalancerDriver(4, classes=classes)
    for load, class_index, kind in (
        (-0.05, 0, RejectRequest),
        (-0.05, 1, StartAttempt),
        (0.5, 1, RejectRequest),
    ):
        driver.loads = dict.fromkeys(range(4), (20.0, driver.balancer.load_limit.value + load))
        driver.advance(30 * SECOND)
        answer = actions_of(driver.arrive(class_index=class_index), kind)
        assert answer
        if isinstance(answer[0], RejectRequest):
            assert 500_000 <= answer[0].retry_after_us <= 1_000_000


def test_an_overloaded_endpoint_is_relieved_and_an_ordinary_one_is_not() -> None:
    driver = BalancerDriver(4)
    for _ in range(60):
        driver.arrive()
    for started in driver.started_attempts:
        driver.establish(started)
    driver.loads = dict.fromkeys(range(4), (15.0, 0.5))
    assert not actions_of(
        driver.handle(LoadProbeResult(1, AttemptStatus.OK, 900, (15.0, 0.5))), MigrateConnection
    )
    migrated = actions_of(
        driver.handle(LoadProbeResult(1, AttemptStatus.OK, 900, (15.0, 1.8))), MigrateConnection
    )
    assert migrated
    assert {migration.request_id for migration in migrated} <= set(
        driver.balancer.state.endpoints[1].request_ids
    )
    # The second report follows within the interval between two reliefs.
    assert not actions_of(
        driver.handle(LoadProbeResult(1, AttemptStatus.OK, 900, (15.0, 1.8))), MigrateConnection
    )


def test_a_late_message_leads_to_a_probe_of_its_endpoint() -> None:
    driver = BalancerDriver(4)
    driver.arrive()
    started = driver.started_attempts[-1]
    driver.establish(started)
    driver.advance(3 * SECOND)
    after_delay = driver.handle(
        ConnectionMetric(started.request_id, 0, started.endpoint_id, MetricKind.MESSAGE_DELAY, 500.0)
    )
    assert [probe.endpoint_id for probe in actions_of(after_delay, ProbeLoad)] == [started.endpoint_id]
    driver.advance(3 * SECOND)
    assert not actions_of(
        driver.handle(
            ConnectionMetric(started.request_id, 0, started.endpoint_id, MetricKind.MESSAGE_DELAY, 20.0)
        ),
        ProbeLoad,
    )
    assert not driver.handle(
        ConnectionMetric(started.request_id, 0, started.endpoint_id, MetricKind.MESSAGE_DELAY, math.nan)
    )


def test_resumed_connections_count_and_outdated_or_unknown_ids_are_ignored() -> None:
    driver = BalancerDriver(2)
    driver.handle(ConnectionResumed(77, 0, 0, 0, 0, 0, 1))
    assert 77 in driver.balancer.state.endpoints[1].request_ids
    driver.handle(AttemptEnded(77, 0, AttemptStatus.OK, 1, 1, 10))
    assert not driver.balancer.state.endpoints[1].request_ids
    for event in (
        AttemptEnded(77, 0, AttemptStatus.OK, 1, 1, 10),
        ClientDisconnected(5),
        ConnectionEstablished(5, 0, 1, 10),
        TimerExpired(99),
        AttemptEnded(5, 3, AttemptStatus.TIMEOUT, 0, 9, 10),
        ConnectionMetric(5, 0, 1, 1, 2.0),
        PeerMessage(1, b"x"),
    ):
        assert driver.handle(event) == []


def test_equal_events_give_equal_actions() -> None:
    def run() -> list[Action]:
        driver = BalancerDriver(8, seed=5, relay_count=9)
        for _ in range(100):
            driver.arrive()
            driver.advance(40_000)
        return driver.all_actions

    assert run() == run()


STEP = st.tuples(st.integers(0, 8), st.integers(0, 1 << 30), st.integers(0, 400_000))
EVENTS = st.lists(STEP, max_size=120)


@profile(max_examples=150, deadline=None, derandomize=True)
@given(EVENTS, st.sampled_from(["repeatable", "once", "all", "zone", "cell"]), st.booleans())
def test_random_legal_events_break_no_rule(
    steps: list[tuple[int, int, int]], kind: str, probes: bool
) -> None:
    """A single final answer in time, no double execution, no overlap, no attempt at a draining endpoint."""
    request_class = {"repeatable": REPEATABLE, "once": ONCE}.get(kind) or by_key_class(kind)
    locations = {n: n % 2 for n in range(6)}
    driver = BalancerDriver(
        6, classes=[request_class], zones=locations, cells=locations, load_probes_enabled=probes
    )
    state = dict.fromkeys(range(6), EndpointStatus.READY)
    deadlines: dict[int, int] = {}  # requests without an answer
    in_flight: dict[int, StartAttempt] = {}
    # By request: the endpoint and the start of the first attempt that may have been executed.
    executed: dict[int, tuple[int, int]] = {}
    started_us: dict[int, int] = {}
    timers: list[tuple[int, int]] = []

    def check(actions: list[Action]) -> None:
        for a in actions:
            if isinstance(a, SetTimer):
                timers.append((driver.now + a.after_us, a.token))
            if isinstance(a, StartAttempt):
                assert a.request_id in deadlines
                assert a.request_id not in in_flight
                assert state[number_of(a)] == EndpointStatus.READY
                assert a.timeout_us > 0
                if a.request_id in executed and kind != "repeatable":
                    number, at = executed[a.request_id]
                    # The attempt may arrive after a full connect timeout.
                    assert kind != "once"
                    assert (
                        driver.now + driver.balancer.context.settings.connect_timeout_us - at
                        < request_class.idempotency_window_us
                    )
                    assert kind == "all" or locations[number] == locations[number_of(a)]
                in_flight[a.request_id], started_us[a.request_id] = a, driver.now
            if isinstance(a, RejectRequest | FailRequest):
                assert a.request_id in deadlines
                assert a.request_id not in in_flight
                if isinstance(a, RejectRequest) and a.request_id in executed:
                    assert kind in ("repeatable", "all")
                del deadlines[a.request_id]

    def advance_to(when: int) -> None:
        while timers and min(timers)[0] <= when:
            at, token = min(timers)
            timers.remove((at, token))
            if token == 1 and at > driver.now + 5 * SECOND:
                continue
            driver.now = max(driver.now, at)
            check(driver.handle(TimerExpired(token)))
        driver.now = max(driver.now, when)

    check(driver.all_actions[:])
    rng = random.Random(3)
    for step, selector, wait_us in steps:
        advance_to(driver.now + wait_us)
        for request_id in [
            r for r, started in in_flight.items() if driver.now >= started_us[r] + started.timeout_us
        ]:
            started = in_flight.pop(request_id)
            executed.setdefault(request_id, (number_of(started), started_us[request_id]))
            check(driver.end(started, AttemptStatus.TIMEOUT))
        if step <= 3:
            deadlines[driver.next_id] = driver.now + 2 * SECOND
            check(driver.arrive())
        elif step == 4 and in_flight:
            request_id = sorted(in_flight)[selector % len(in_flight)]
            started = in_flight.pop(request_id)
            status = rng.choice(
                [AttemptStatus.ERROR, AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED, AttemptStatus.RESET]
            )
            if status in MAY_HAVE_EXECUTED:
                executed.setdefault(request_id, (number_of(started), started_us[request_id]))
            check(driver.end(started, status))
        elif step == 5 and in_flight:
            request_id = sorted(in_flight)[selector % len(in_flight)]
            started = in_flight.pop(request_id)
            driver.establish(started)
            check(driver.end(started, AttemptStatus.OK, closed=1))
            del deadlines[request_id]
        elif step == 6:
            number = selector % 6
            state[number] = EndpointStatus.DRAINING if selector % 4 else EndpointStatus.REMOVED
            check(driver.change_status(number, state[number]))
        elif step == 7:
            number = selector % 6
            state[number] = EndpointStatus.READY
            check(driver.change_status(number, EndpointStatus.READY))
        elif step == 8 and deadlines:
            request_id = sorted(deadlines)[selector % len(deadlines)]
            if request_id not in in_flight:
                check(driver.handle(ClientDisconnected(request_id)))
                del deadlines[request_id]
    for _ in range(60):  # all timeouts expire, after which every request has its answer
        advance_to(driver.now + SECOND // 10)
        for request_id in [
            r for r, started in in_flight.items() if driver.now >= started_us[r] + started.timeout_us
        ]:
            started = in_flight.pop(request_id)
            executed.setdefault(request_id, (number_of(started), started_us[request_id]))
            check(driver.end(started, AttemptStatus.TIMEOUT))
    assert not deadlines


def end_with_address_fault(driver: BalancerDriver, started: StartAttempt, status: int) -> list[Action]:
    """End an attempt by a fault of the address, not of the endpoint."""
    attempt = driver.attempts[started.request_id]
    return driver.handle(
        AttemptEnded(started.request_id, attempt, status, 0, started.endpoint_id, 10_000, (), True)
    )


def test_an_address_fault_changes_neither_timeouts_nor_the_endpoint() -> None:
    driver = BalancerDriver(1, max_attempts=6, classes=[RequestClass("r", 500_000, idempotency="repeatable")])
    driver.arrive()
    for status in (AttemptStatus.RESET, AttemptStatus.TIMEOUT, AttemptStatus.RESET):
        actions = end_with_address_fault(driver, driver.started_attempts[-1], status)
        (retried,) = actions_of(actions, StartAttempt)
        # The same endpoint at another address, with the timeout of a first attempt: others may follow.
        assert retried.endpoint_id == driver.started_attempts[0].endpoint_id
        assert retried.timeout_us == driver.started_attempts[0].timeout_us == 500_000
    # A fault of the only endpoint ends the request.
    assert actions_of(driver.end(driver.started_attempts[-1], AttemptStatus.TIMEOUT), RejectRequest)


def test_failed_addresses_are_no_sign_of_overload() -> None:
    driver = BalancerDriver(8, max_attempts=6)
    for _ in range(8):
        driver.arrive()
        end_with_address_fault(driver, driver.started_attempts[-1], AttemptStatus.TIMEOUT)
        assert driver.balancer.retry_policy.failure_share == 0.0
        assert not driver.ejected_endpoints()
        driver.establish(driver.started_attempts[-1])
    assert driver.balancer.throttle.recent_accepted > 7.9
    # Every set-up succeeded, so nothing is throttled.
    assert not actions_of(driver.all_actions, RejectRequest)
