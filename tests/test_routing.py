"""The deciders behind an operators' file: routes, budgets, limits, and the keeper that holds them."""

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


def fits(match: RouteMatch, wanted: RequestArrived) -> bool:
    """The meaning of a route, said as plainly as can be."""
    again, retry = wanted.flags & RequestFlag.RETURNED > 0, wanted.flags & RequestFlag.CLIENT_RETRY > 0
    group, key = f"{wanted.group:016x}", f"{wanted.key:016x}"
    return (
        (not match.classes or NAMES[wanted.class_index] in match.classes)
        and match.client_returning in (None, again)
        and match.client_retry in (None, retry)
        and (
            not match.group_prefixes
            or (wanted.group > 0 and any(group.startswith(p) for p in match.group_prefixes))
        )
        and (not match.key_prefixes or any(key.startswith(p) for p in match.key_prefixes))
    )


def drawn(rng: random.Random) -> RouteMatch:
    def prefixes() -> tuple[str, ...]:
        count = rng.choice([0, 0, 1, 1, 2, 8])
        return tuple({"".join(rng.choice("01") for _ in range(rng.randint(1, 3))) for _ in range(count)})

    classes = rng.choice([(), (), ("a",), ("b",), ("a", "b")])
    flags = [rng.choice([None, None, None, True, False]) for _ in range(2)]
    return RouteMatch(classes, prefixes(), prefixes(), *flags)


def anyone(rng: random.Random) -> RequestArrived:
    def number() -> int:
        return int("".join(rng.choice("001") for _ in range(4)) + "0" * 12, 16)

    return RequestArrived(0, rng.randrange(2), key=number(), group=number(), flags=rng.choice([0, 2, 16, 18]))


@pytest.mark.parametrize("seed", range(60))
def test_the_table_finds_the_first_route_that_fits(seed: int) -> None:
    rng = random.Random(seed)
    routes = [Route(str(n), drawn(rng)) for n in range(rng.randint(0, 12))] + [Route("default")]
    table = RouteTable(routes, NAMES)
    for _ in range(200):
        wanted = anyone(rng)
        assert table.find_route(wanted) == next(n for n, r in enumerate(routes) if fits(r.match, wanted))


@pytest.mark.parametrize("seed", range(60))
def test_a_route_is_dead_where_no_request_takes_it(seed: int) -> None:
    """Against every request that can be told apart by prefixes of up to three binary digits."""
    rng = random.Random(1000 + seed)
    routes = [Route(str(n), drawn(rng)) for n in range(rng.randint(1, 9))] + [Route("default")]
    # digits other than 0 and 1 stand for all that no prefix names; 0000 in a group is no group
    digits = [a + b + c + "2" for a in "012" for b in "012" for c in "012"]
    groups = [0] + [int(d + "0" * 12, 16) for d in digits]
    keys = [int(d + "0" * 12, 16) for d in digits]
    taken: set[int] = set()
    table = RouteTable(routes, NAMES)
    for cls in range(2):
        for flags in (0, 2, 16, 18):
            all_of = (RequestArrived(0, cls, key=k, group=g, flags=flags) for g in groups for k in keys)
            taken |= {table.find_route(wanted) for wanted in all_of}
    found = route_reachability(routes, NAMES, True, True)
    assert set(found.shadowed_by) == set(range(len(routes))) - taken
    assert set().union(*found.reachable_by_class.values()) == taken
    assert all(-1 <= other < number for number, other in found.shadowed_by.items())


def test_sixteen_prefixes_together_cover_what_has_a_group() -> None:
    sixteen = [Route(d, RouteMatch(group_prefixes=(d,))) for d in "0123456789abcdef"]
    late, plain = (
        Route("late", RouteMatch(group_prefixes=("5c",))),
        Route("plain", RouteMatch(classes=("a",))),
    )
    assert set(route_reachability([*sixteen, late, plain], NAMES, True, True).shadowed_by) == {16}
    keys = [Route(d, RouteMatch(key_prefixes=(d,))) for d in "0123456789abcdef"]
    assert set(route_reachability([*keys, plain], NAMES, True, True).shadowed_by) == {16}
    assert set(route_reachability([*keys[1:], plain], NAMES, True, True).shadowed_by) == set()
    assert set(
        route_reachability(
            [Route("g", RouteMatch(group_prefixes=("5",))), plain], NAMES, False, True
        ).shadowed_by
    ) == {0}


# ---- budgets


def test_further_attempts_are_a_share_of_recent_first_tries() -> None:
    budget = RetryBudget(RetryBudgetRule(0.2, 10 * SECOND, 3))
    assert budget.remaining_retries(0) == 3
    for n in range(100):
        budget.record_first_attempt(n * 1000)
    for n in range(20):
        assert budget.remaining_retries(SECOND) >= 1, n
        budget.record_retry(SECOND)
    assert budget.remaining_retries(SECOND) == 0
    assert budget.remaining_retries(9 * SECOND) == 0  # still in the window
    assert budget.remaining_retries(12 * SECOND) == 3  # all of it is past


@pytest.mark.parametrize("seed", range(20))
def test_no_window_holds_more_than_its_share(seed: int) -> None:
    """Whatever comes when: further attempts of one window never pass the share of the first tries of one and
    a tenth (parts end at once), or the floor.
    """
    rng = random.Random(seed)
    rule = RetryBudgetRule(rng.choice([0.05, 0.2, 0.5]), rng.choice([1, 10]) * SECOND, rng.choice([1, 5]))
    budget, now = RetryBudget(rule), 1_700_000_000 * SECOND
    first: list[int] = []
    again: list[int] = []
    for _ in range(3000):
        now += int(rng.expovariate(1 / rng.choice([1000, 100_000])))
        if rng.random() < 0.4:
            budget.record_first_attempt(now)
            first.append(now)
        elif budget.remaining_retries(now) >= 1:
            budget.record_retry(now)
            again.append(now)
    assert again
    tenth = rule.window_us // 10
    for at in again[::7]:
        spent = sum(at - rule.window_us + tenth < t <= at for t in again)
        earned = rule.retry_ratio * sum(at - rule.window_us - tenth <= t <= at for t in first)
        assert spent <= max(rule.min_retries, earned) + 1e-9


def test_a_clock_set_back_and_a_reload_hand_out_nothing_anew() -> None:
    budget = RetryBudget(RetryBudgetRule(0.5, 10 * SECOND, 2))
    budget.record_retry(50 * SECOND)
    budget.record_retry(50 * SECOND)
    assert budget.remaining_retries(20 * SECOND) == 0
    assert budget.remaining_retries(50 * SECOND) == 0
    assert budget.with_rule(RetryBudgetRule(0.5, 10 * SECOND, 3)).remaining_retries(50 * SECOND) == 1
    other = budget.with_rule(RetryBudgetRule(0.5, 4 * SECOND, 3))
    assert other.remaining_retries(50 * SECOND) == 1
    assert other.remaining_retries(60 * SECOND) == 3


# ---- limits


def test_set_ups_a_second_and_their_burst() -> None:
    limit = ConnectionLimiter(ConnectionLimitRule(max_setups_per_s=10, setup_burst=3), SECOND)
    taken = []
    for ms in range(0, 2000, 10):
        if not limit.exceeded_limit(ms * 1000):
            limit.acquire(ms * 1000)
            taken.append(ms)
    assert taken[:3] == [0, 10, 20]
    assert len(taken) == 22  # three at once and ten a second for the rest
    assert all(b - a >= 90 for a, b in pairwise(taken[3:]))


def test_those_who_are_over_are_told_times_of_their_own_and_are_taken_then() -> None:
    limit = ConnectionLimiter(ConnectionLimitRule(max_setups_per_s=20, setup_burst=1), 1_500_000)
    rng = random.Random(3)
    limit.acquire(0)
    told = sorted(limit.retry_after_us(0, rng.random()) for _ in range(25))
    assert told[0] >= 50_000
    assert told[-1] <= 1_500_000 + 50_000
    assert all(b - a == 50_000 for a, b in pairwise(told))  # a place for each
    for at in told:  # together, 24 of 25 would be over again
        assert not limit.exceeded_limit(at)
        limit.acquire(at)
    far = [
        limit.retry_after_us(0, rng.random()) for _ in range(200)
    ]  # no place left within the longest advice
    assert min(far) >= 700_000
    assert max(far) <= 1_500_000
    assert len(set(far)) > 150


def test_open_connections_come_back_when_they_end() -> None:
    limit = ConnectionLimiter(ConnectionLimitRule(max_open=2), SECOND)
    limit.acquire(0)
    limit.acquire_resumed()
    assert limit.exceeded_limit(0) == "open"
    limit.release()
    assert not limit.exceeded_limit(0)
    for _ in range(5):
        limit.release()
    assert limit.open_connections == 0


# ---- the keeper


def keeper_of(
    *routes: Route, relay: ConnectionLimitRule | None = None, budget: RetryBudgetRule | None = None
) -> RouteAdmission:
    rules = RoutingRules(routes, budget, relay or ConnectionLimitRule())
    return RouteAdmission(rules, with_routed_classes(SETTINGS, rules))


CLASSES = [RequestClass("a", idempotency="repeatable"), RequestClass("b", idempotency="once")]
SETTINGS = Settings(classes=CLASSES, max_attempts=4)


def test_a_class_on_a_route_is_a_class_of_its_own() -> None:
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
    keeper = RouteAdmission(rules, settings)
    assert [settings.classes[keeper.class_index_for(RequestArrived(0, n))].route for n in range(2)] == [
        "default",
        "r",
    ]
    assert with_routed_classes(settings, rules) == settings
    assert platform_classes(settings) == CLASSES


def test_nothing_is_counted_of_what_is_refused() -> None:
    keeper = keeper_of(
        Route("default", limits=ConnectionLimitRule(max_open=5)), relay=ConnectionLimitRule(max_open=2)
    )
    share = keeper.permits["default"]
    assert [keeper.admit(share, True, 0, 0.5) is None for _ in range(3)] == [True, True, False]
    assert share.limiter.open_connections == keeper.relay_permit.limiter.open_connections == 2
    refusal = keeper.admit(share, True, 0, 0.5)
    assert refusal is not None
    assert refusal.reason == "open of the relay"
    assert refusal.retry_after_us > 0
    keeper.release(share)
    assert keeper.admit(share, True, 0, 0.5) is None


def test_a_clients_own_retry_earns_no_further_attempts() -> None:
    keeper = keeper_of(Route("default", retry_budget=RetryBudgetRule(1.0, SECOND, 1)))
    share, cls = keeper.permits["default"], RequestClass("a", route="default")
    for _ in range(5):
        keeper.admit(share, False, 0, 0.5)
    assert [keeper.admit_attempt(share, cls, "s", 1, 0) for _ in range(2)] == ["", "retry-budget"]
    for _ in range(5):
        keeper.admit(share, True, 0, 0.5)
    assert [keeper.admit_attempt(share, cls, "s", 1, 0) for _ in range(5)] == [
        "",
        "",
        "",
        "",
        "retry-budget",
    ]


def test_the_relays_budget_holds_over_all_routes() -> None:
    one = Route("one", RouteMatch(classes=("a",)), retry_budget=RetryBudgetRule(1.0, SECOND, 9))
    keeper = keeper_of(one, Route("default"), budget=RetryBudgetRule(0.5, SECOND, 2))
    cls = RequestClass("a", route="one")
    assert not keeper.admit_attempt(keeper.permits["one"], cls, "s", 1, 0)
    assert not keeper.admit_attempt(keeper.permits["default"], cls, "s", 1, 0)
    assert keeper.admit_attempt(keeper.permits["one"], cls, "s", 1, 0) == "retry-budget"
    assert not keeper.admit_attempt(keeper.permits["one"], cls, "s", 0, 0)  # a first try asks no budget


def test_set_ups_at_one_backend_are_those_of_all_routes() -> None:
    keeper = keeper_of(
        Route("one", RouteMatch(classes=("a",)), limits=ConnectionLimitRule(max_setups_per_endpoint=2)),
        Route("default"),
    )
    tight, loose = (
        RequestClass("a", route="one", max_setups_per_endpoint=2),
        RequestClass("b", route="default"),
    )
    assert not keeper.admit_attempt(keeper.permits["default"], loose, "s", 0, 0)
    assert not keeper.admit_attempt(keeper.permits["one"], tight, "s", 0, 0)
    assert keeper.admit_attempt(keeper.permits["one"], tight, "s", 0, 0) == "setups-at-backend"
    assert not keeper.admit_attempt(keeper.permits["one"], tight, "t", 0, 0)
    keeper.setup_finished("s")
    assert not keeper.admit_attempt(keeper.permits["one"], tight, "s", 0, 0)
    for _ in range(9):
        keeper.setup_finished("s")
    assert keeper.setups_by_endpoint == {"t": 1}


def test_a_reload_keeps_what_is_held_and_lowers_the_cap() -> None:
    named = Route("r", RouteMatch(classes=("a",)), max_attempts=4, limits=ConnectionLimitRule(max_open=3))
    keeper = keeper_of(named, Route("default"))
    old = keeper.permits["r"]
    plan = RequestClass("a", route="r", max_attempts=4)
    keeper.admit(old, True, 0, 0.5)
    rules = RoutingRules(
        (
            Route("r", RouteMatch(classes=("a",)), max_attempts=2, limits=ConnectionLimitRule(max_open=1)),
            Route("default"),
        )
    )
    keeper.apply(rules, with_routed_classes(SETTINGS, rules))
    assert keeper.permits["r"] is old
    assert keeper.max_attempts_for(plan, 4) == 2
    assert keeper.max_attempts_for(plan, 1) == 1
    refusal = keeper.admit(old, True, 0, 0.5)
    assert refusal is not None
    assert refusal.reason == "open of route r"
    rules = RoutingRules((Route("default"),))
    keeper.apply(rules, with_routed_classes(SETTINGS, rules))
    assert keeper.max_attempts_for(plan, 4) == 4  # its route is gone: its own plan holds
    keeper.release(old)  # what a route that is gone held is given back all the same
    assert keeper.relay_permit.limiter.open_connections == 0


# ---- waits


def test_the_waits_of_each_kind() -> None:
    assert BackoffRule(BackoffKind.FIXED, 5).backoffs_us(4) == (5, 5, 5)
    assert BackoffRule(BackoffKind.EXPONENTIAL, 5, 12).backoffs_us(5) == (5, 10, 12, 12)
    assert BackoffRule(BackoffKind.EXPONENTIAL, 5).backoffs_us(4) == (5, 10, 20)
    assert BackoffRule(BackoffKind.FIXED, 5).backoffs_us(1) == ()
    cls = RequestClass(retry_backoff_us=(1000, 2000), full_jitter=True)
    assert [cls.backoff_us(n, 0, 0, lambda: 0.5) for n in range(4)] == [0, 500, 1000, 0]
    every = RequestClass(retry_backoff_us=(1000, 1000), backoff_from_attempt_start=True)
    assert [every.backoff_us(1, 100, now, random.random) for now in (100, 600, 1100, 5000)] == [
        1000,
        500,
        0,
        0,
    ]
