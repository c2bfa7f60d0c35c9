"""The routing rules of an operators' file: routes, retry budgets, limits, and admission."""

import random
from itertools import pairwise

import pytest

from gannetweir.placement.events import RequestArrived, RequestFlag
from gannetweir.placement.settings import RequestClass, Settings
from gannetweir.routing.connection_limiter import ConnectionLimiter
from gannetweir.routing.reachability import route_reachability
from gannetweir.routing.retry_budget import RetryBudget
from gannetweir.routing.route_admission import RouteAdmission, platform_classes, with_routed_classes
from gannetweir.routing.route_table import RouteTable
from gannetweir.routing.rules import (
    BackoffKind,
    BackoffRule,
    ConnectionLimitRule,
    RetryBudgetRule,
    Route,
    RouteMatch,
    RoutingRules,
)

SECOND = 1_000_000
NAMES = ["a", "b"]


def matches(match: RouteMatch, request: RequestArrived) -> bool:
    """Return whether a route matches a request: a direct reference implementation."""
    returning, retry = request.flags & RequestFlag.RETURNED > 0, request.flags & RequestFlag.CLIENT_RETRY > 0
    group, key = f"{request.group:016x}", f"{request.key:016x}"
    return (
        (not match.classes or NAMES[request.class_index] in match.classes)
        and match.client_returning in (None, returning)
        and match.client_retry in (None, retry)
        and (
            not match.group_prefixes
            or (request.group > 0 and any(group.startswith(p) for p in match.group_prefixes))
        )
        and (not match.key_prefixes or any(key.startswith(p) for p in match.key_prefixes))
    )


def random_match(rng: random.Random) -> RouteMatch:
    def prefixes() -> tuple[str, ...]:
        count = rng.choice([0, 0, 1, 1, 2, 8])
        return tuple({"".join(rng.choice("01") for _ in range(rng.randint(1, 3))) for _ in range(count)})

    classes = rng.choice([(), (), ("a",), ("b",), ("a", "b")])
    flags = [rng.choice([None, None, None, True, False]) for _ in range(2)]
    return RouteMatch(classes, prefixes(), prefixes(), *flags)


def random_request(rng: random.Random) -> RequestArrived:
    def number() -> int:
        return int("".join(rng.choice("001") for _ in range(4)) + "0" * 12, 16)

    return RequestArrived(0, rng.randrange(2), key=number(), group=number(), flags=rng.choice([0, 2, 16, 18]))


@pytest.mark.parametrize("seed", range(60))
def test_the_table_finds_the_first_route_that_matches(seed: int) -> None:
    rng = random.Random(seed)
    routes = [Route(str(n), random_match(rng)) for n in range(rng.randint(0, 12))] + [Route("default")]
    table = RouteTable(routes, NAMES)
    for _ in range(200):
        request = random_request(rng)
        assert table.find_route(request) == next(n for n, r in enumerate(routes) if matches(r.match, request))


@pytest.mark.parametrize("seed", range(60))
def test_exactly_the_routes_that_no_request_takes_are_unreachable(seed: int) -> None:
    """Compare with all requests that prefixes of up to three binary digits distinguish."""
    rng = random.Random(1000 + seed)
    routes = [Route(str(n), random_match(rng)) for n in range(rng.randint(1, 9))] + [Route("default")]
    # The digit 2 represents all digits that no prefix contains. The group 0 means no group.
    digits = [a + b + c + "2" for a in "012" for b in "012" for c in "012"]
    groups = [0] + [int(d + "0" * 12, 16) for d in digits]
    keys = [int(d + "0" * 12, 16) for d in digits]
    reached: set[int] = set()
    table = RouteTable(routes, NAMES)
    for class_index in range(2):
        for flags in (0, 2, 16, 18):
            all_requests = (
                RequestArrived(0, class_index, key=k, group=g, flags=flags) for g in groups for k in keys
            )
            reached |= {table.find_route(request) for request in all_requests}
    found = route_reachability(routes, NAMES, True, True)
    assert set(found.shadowed_by) == set(range(len(routes))) - reached
    assert set().union(*found.reachable_by_class.values()) == reached
    assert all(-1 <= other < number for number, other in found.shadowed_by.items())


def test_prefixes_of_every_digit_together_cover_a_longer_prefix() -> None:
    group_routes = [Route(d, RouteMatch(group_prefixes=(d,))) for d in "0123456789abcdef"]
    longer, plain = (
        Route("longer", RouteMatch(group_prefixes=("5c",))),
        Route("plain", RouteMatch(classes=("a",))),
    )
    assert set(route_reachability([*group_routes, longer, plain], NAMES, True, True).shadowed_by) == {16}
    key_routes = [Route(d, RouteMatch(key_prefixes=(d,))) for d in "0123456789abcdef"]
    assert set(route_reachability([*key_routes, plain], NAMES, True, True).shadowed_by) == {16}
    assert set(route_reachability([*key_routes[1:], plain], NAMES, True, True).shadowed_by) == set()
    assert set(
        route_reachability(
            [Route("g", RouteMatch(group_prefixes=("5",))), plain], NAMES, False, True
        ).shadowed_by
    ) == {0}


def test_retries_are_a_ratio_of_recent_first_attempts() -> None:
    budget = RetryBudget(RetryBudgetRule(0.2, 10 * SECOND, 3))
    assert budget.remaining_retries(0) == 3
    for n in range(100):
        budget.record_first_attempt(n * 1000)
    for n in range(20):
        assert budget.remaining_retries(SECOND) >= 1, n
        budget.record_retry(SECOND)
    assert budget.remaining_retries(SECOND) == 0
    assert budget.remaining_retries(9 * SECOND) == 0  # still in the window
    assert budget.remaining_retries(12 * SECOND) == 3  # the window has passed


@pytest.mark.parametrize("seed", range(20))
def test_no_window_has_more_retries_than_its_ratio(seed: int) -> None:
    """Random sequences: the retries in one window exceed neither the rule's minimum nor, where that is more,
    the ratio of the first attempts in a window longer by a tenth (counts expire a tenth at a time).
    """
    rng = random.Random(seed)
    rule = RetryBudgetRule(rng.choice([0.05, 0.2, 0.5]), rng.choice([1, 10]) * SECOND, rng.choice([1, 5]))
    budget, now = RetryBudget(rule), 1_700_000_000 * SECOND
    first: list[int] = []
    retries: list[int] = []
    for _ in range(3000):
        now += int(rng.expovariate(1 / rng.choice([1000, 100_000])))
        if rng.random() < 0.4:
            budget.record_first_attempt(now)
            first.append(now)
        elif budget.remaining_retries(now) >= 1:
            budget.record_retry(now)
            retries.append(now)
    assert retries
    tenth = rule.window_us // 10
    for at in retries[::7]:
        spent = sum(at - rule.window_us + tenth < t <= at for t in retries)
        earned = rule.retry_ratio * sum(at - rule.window_us - tenth <= t <= at for t in first)
        assert spent <= max(rule.min_retries, earned) + 1e-9


def test_a_clock_that_steps_back_and_a_reload_grant_no_new_retries() -> None:
    budget = RetryBudget(RetryBudgetRule(0.5, 10 * SECOND, 2))
    budget.record_retry(50 * SECOND)
    budget.record_retry(50 * SECOND)
    assert budget.remaining_retries(20 * SECOND) == 0
    assert budget.remaining_retries(50 * SECOND) == 0
    assert budget.with_rule(RetryBudgetRule(0.5, 10 * SECOND, 3)).remaining_retries(50 * SECOND) == 1
    other = budget.with_rule(RetryBudgetRule(0.5, 4 * SECOND, 3))
    assert other.remaining_retries(50 * SECOND) == 1
    assert other.remaining_retries(60 * SECOND) == 3


def test_setups_are_limited_to_a_burst_and_a_rate() -> None:
    limiter = ConnectionLimiter(ConnectionLimitRule(max_setups_per_s=10, setup_burst=3), SECOND)
    admitted = []
    for ms in range(0, 2000, 10):
        if not limiter.exceeded_limit(ms * 1000):
            limiter.acquire(ms * 1000)
            admitted.append(ms)
    assert admitted[:3] == [0, 10, 20]
    assert len(admitted) == 22  # three at once and ten a second for the rest
    assert all(b - a >= 90 for a, b in pairwise(admitted[3:]))


def test_rejected_clients_get_distinct_retry_after_and_are_admitted_then() -> None:
    limiter = ConnectionLimiter(ConnectionLimitRule(max_setups_per_s=20, setup_burst=1), 1_500_000)
    rng = random.Random(3)
    limiter.acquire(0)
    retry_after_us = sorted(limiter.retry_after_us(0, rng.random()) for _ in range(25))
    assert retry_after_us[0] >= 50_000
    assert retry_after_us[-1] <= 1_500_000 + 50_000
    assert all(b - a == 50_000 for a, b in pairwise(retry_after_us))  # a separate set-up slot for each client
    for at in retry_after_us:  # if all retried together, 24 of 25 would exceed the limit again
        assert not limiter.exceeded_limit(at)
        limiter.acquire(at)
    # No set-up slot is left within the longest Retry-After.
    without_slot_us = [limiter.retry_after_us(0, rng.random()) for _ in range(200)]
    assert min(without_slot_us) >= 700_000
    assert max(without_slot_us) <= 1_500_000
    assert len(set(without_slot_us)) > 150


def test_after_a_release_the_limit_admits_another_connection() -> None:
    limiter = ConnectionLimiter(ConnectionLimitRule(max_open=2), SECOND)
    limiter.acquire(0)
    limiter.acquire_resumed()
    assert limiter.exceeded_limit(0) == "open"
    limiter.release()
    assert not limiter.exceeded_limit(0)
    for _ in range(5):
        limiter.release()
    assert limiter.open_connections == 0


def admission_of(
    *routes: Route, relay: ConnectionLimitRule | None = None, budget: RetryBudgetRule | None = None
) -> RouteAdmission:
    rules = RoutingRules(routes, budget, relay or ConnectionLimitRule())
    return RouteAdmission(rules, with_routed_classes(SETTINGS, rules))


CLASSES = [RequestClass("a", idempotency="repeatable"), RequestClass("b", idempotency="once")]
SETTINGS = Settings(classes=CLASSES, max_attempts=4)


def test_settings_have_each_class_once_for_each_route() -> None:
    rules = RoutingRules(
        (
            Route("r", RouteMatch(classes=("b",)), attempt_timeout_us=7, max_attempts=2),
            Route("default", max_attempts=3),
        )
    )
    settings = with_routed_classes(SETTINGS, rules)
    assert [(c.name, c.route, c.max_attempts) for c in settings.classes] == [
        ("a", "", 0),
        ("b", "", 0),
        ("a", "r", 2),
        ("b", "r", 2),
        ("a", "default", 3),
        ("b", "default", 3),
    ]
    admission = RouteAdmission(rules, settings)
    assert [settings.classes[admission.class_index_for(RequestArrived(0, n))].route for n in range(2)] == [
        "default",
        "r",
    ]
    assert with_routed_classes(settings, rules) == settings
    assert platform_classes(settings) == CLASSES


def test_a_rejected_request_is_not_counted() -> None:
    admission = admission_of(
        Route("default", limits=ConnectionLimitRule(max_open=5)), relay=ConnectionLimitRule(max_open=2)
    )
    permit = admission.permits["default"]
    assert [admission.admit(permit, True, 0, 0.5) is None for _ in range(3)] == [True, True, False]
    assert permit.limiter.open_connections == admission.relay_permit.limiter.open_connections == 2
    rejection = admission.admit(permit, True, 0, 0.5)
    assert rejection is not None
    assert rejection.reason == "open of the relay"
    assert rejection.retry_after_us > 0
    admission.release(permit)
    assert admission.admit(permit, True, 0, 0.5) is None


def test_a_clients_own_retry_earns_no_retries() -> None:
    admission = admission_of(Route("default", retry_budget=RetryBudgetRule(1.0, SECOND, 1)))
    permit, request_class = admission.permits["default"], RequestClass("a", route="default")
    for _ in range(5):
        admission.admit(permit, False, 0, 0.5)
    assert [admission.admit_attempt(permit, request_class, "s", 1, 0) for _ in range(2)] == [
        "",
        "retry-budget",
    ]
    for _ in range(5):
        admission.admit(permit, True, 0, 0.5)
    assert [admission.admit_attempt(permit, request_class, "s", 1, 0) for _ in range(5)] == [
        "",
        "",
        "",
        "",
        "retry-budget",
    ]


def test_the_relays_retry_budget_covers_all_routes() -> None:
    one = Route("one", RouteMatch(classes=("a",)), retry_budget=RetryBudgetRule(1.0, SECOND, 9))
    admission = admission_of(one, Route("default"), budget=RetryBudgetRule(0.5, SECOND, 2))
    request_class = RequestClass("a", route="one")
    assert not admission.admit_attempt(admission.permits["one"], request_class, "s", 1, 0)
    assert not admission.admit_attempt(admission.permits["default"], request_class, "s", 1, 0)
    assert admission.admit_attempt(admission.permits["one"], request_class, "s", 1, 0) == "retry-budget"
    # No retry budget limits a first attempt.
    assert not admission.admit_attempt(admission.permits["one"], request_class, "s", 0, 0)


def test_setups_at_an_endpoint_are_counted_over_all_routes() -> None:
    admission = admission_of(
        Route("one", RouteMatch(classes=("a",)), limits=ConnectionLimitRule(max_setups_per_endpoint=2)),
        Route("default"),
    )
    limited, unlimited = (
        RequestClass("a", route="one", max_setups_per_endpoint=2),
        RequestClass("b", route="default"),
    )
    assert not admission.admit_attempt(admission.permits["default"], unlimited, "s", 0, 0)
    assert not admission.admit_attempt(admission.permits["one"], limited, "s", 0, 0)
    assert admission.admit_attempt(admission.permits["one"], limited, "s", 0, 0) == "setups-at-backend"
    assert not admission.admit_attempt(admission.permits["one"], limited, "t", 0, 0)
    admission.setup_finished("s")
    assert not admission.admit_attempt(admission.permits["one"], limited, "s", 0, 0)
    for _ in range(9):
        admission.setup_finished("s")
    assert admission.setups_by_endpoint == {"t": 1}


def test_a_reload_keeps_counts_and_lowers_max_attempts() -> None:
    named = Route("r", RouteMatch(classes=("a",)), max_attempts=4, limits=ConnectionLimitRule(max_open=3))
    admission = admission_of(named, Route("default"))
    old = admission.permits["r"]
    plan = RequestClass("a", route="r", max_attempts=4)
    admission.admit(old, True, 0, 0.5)
    rules = RoutingRules(
        (
            Route("r", RouteMatch(classes=("a",)), max_attempts=2, limits=ConnectionLimitRule(max_open=1)),
            Route("default"),
        )
    )
    admission.apply(rules, with_routed_classes(SETTINGS, rules))
    assert admission.permits["r"] is old
    assert admission.max_attempts_for(plan, 4) == 2
    assert admission.max_attempts_for(plan, 1) == 1
    rejection = admission.admit(old, True, 0, 0.5)
    assert rejection is not None
    assert rejection.reason == "open of route r"
    rules = RoutingRules((Route("default"),))
    admission.apply(rules, with_routed_classes(SETTINGS, rules))
    assert admission.max_attempts_for(plan, 4) == 4  # the route is removed: the request's own plan applies
    admission.release(old)  # requests of a removed route still release their permit
    assert admission.relay_permit.limiter.open_connections == 0


def test_the_backoffs_of_each_kind() -> None:
    assert BackoffRule(BackoffKind.FIXED, 5).backoffs_us(4) == (5, 5, 5)
    assert BackoffRule(BackoffKind.EXPONENTIAL, 5, 12).backoffs_us(5) == (5, 10, 12, 12)
    assert BackoffRule(BackoffKind.EXPONENTIAL, 5).backoffs_us(4) == (5, 10, 20)
    assert BackoffRule(BackoffKind.FIXED, 5).backoffs_us(1) == ()
    request_class = RequestClass(retry_backoff_us=(1000, 2000), full_jitter=True)
    assert [request_class.backoff_us(n, 0, 0, lambda: 0.5) for n in range(4)] == [0, 500, 1000, 0]
    every = RequestClass(retry_backoff_us=(1000, 1000), backoff_from_attempt_start=True)
    assert [every.backoff_us(1, 100, now, random.random) for now in (100, 600, 1100, 5000)] == [
        1000,
        500,
        0,
        0,
    ]
