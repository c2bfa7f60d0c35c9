"""The deciders behind an operators' file: routes, budgets, limits, and the keeper that holds them."""

import random
from itertools import pairwise

import pytest

from gannetweir.placement.events import RequestArrived, RequestFlag
from gannetweir.placement.settings import RequestClass, Settings
from gannetweir.routing.rate_limit import Limit
from gannetweir.routing.retry_budget import Budget
from gannetweir.routing.route_admission import RouteAdmission, told_classes, with_routes
from gannetweir.routing.routes import RouteTable, reach
from gannetweir.routing.rules import BudgetRule, LimitRule, Match, Route, Rules, WaitRule

SECOND = 1_000_000
NAMES = ["a", "b"]


def fits(match: Match, wanted: RequestArrived) -> bool:
    """The meaning of a route, said as plainly as can be."""
    again, retry = wanted.flags & RequestFlag.RETURNED > 0, wanted.flags & RequestFlag.CLIENT_RETRY > 0
    group, key = f"{wanted.group:016x}", f"{wanted.key:016x}"
    return (
        (not match.classes or NAMES[wanted.class_index] in match.classes)
        and match.again in (None, again)
        and match.retry in (None, retry)
        and (not match.groups or (wanted.group > 0 and any(group.startswith(p) for p in match.groups)))
        and (not match.keys or any(key.startswith(p) for p in match.keys))
    )


def drawn(rng: random.Random) -> Match:
    def prefixes() -> tuple[str, ...]:
        count = rng.choice([0, 0, 1, 1, 2, 8])
        return tuple({"".join(rng.choice("01") for _ in range(rng.randint(1, 3))) for _ in range(count)})

    classes = rng.choice([(), (), ("a",), ("b",), ("a", "b")])
    flags = [rng.choice([None, None, None, True, False]) for _ in range(2)]
    return Match(classes, prefixes(), prefixes(), *flags)


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
        assert table.find(wanted) == next(n for n, r in enumerate(routes) if fits(r.match, wanted))


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
            taken |= {table.find(wanted) for wanted in all_of}
    found = reach(routes, NAMES, True, True)
    assert set(found.blame) == set(range(len(routes))) - taken
    assert set().union(*found.alive.values()) == taken
    assert all(-1 <= other < number for number, other in found.blame.items())


def test_sixteen_prefixes_together_cover_what_has_a_group() -> None:
    sixteen = [Route(d, Match(groups=(d,))) for d in "0123456789abcdef"]
    late, plain = Route("late", Match(groups=("5c",))), Route("plain", Match(classes=("a",)))
    assert set(reach([*sixteen, late, plain], NAMES, True, True).blame) == {16}
    keys = [Route(d, Match(keys=(d,))) for d in "0123456789abcdef"]
    assert set(reach([*keys, plain], NAMES, True, True).blame) == {16}
    assert set(reach([*keys[1:], plain], NAMES, True, True).blame) == set()
    assert set(reach([Route("g", Match(groups=("5",))), plain], NAMES, False, True).blame) == {0}


# ---- budgets


def test_further_attempts_are_a_share_of_recent_first_tries() -> None:
    budget = Budget(BudgetRule(0.2, 10 * SECOND, 3))
    assert budget.left(0) == 3
    for n in range(100):
        budget.tried(n * 1000)
    for n in range(20):
        assert budget.left(SECOND) >= 1, n
        budget.spend(SECOND)
    assert budget.left(SECOND) == 0
    assert budget.left(9 * SECOND) == 0  # still in the window
    assert budget.left(12 * SECOND) == 3  # all of it is past


@pytest.mark.parametrize("seed", range(20))
def test_no_window_holds_more_than_its_share(seed: int) -> None:
    """Whatever comes when: further attempts of one window never pass the share of the first tries of one and
    a tenth (parts end at once), or the floor.
    """
    rng = random.Random(seed)
    rule = BudgetRule(rng.choice([0.05, 0.2, 0.5]), rng.choice([1, 10]) * SECOND, rng.choice([1, 5]))
    budget, now = Budget(rule), 1_700_000_000 * SECOND
    first: list[int] = []
    again: list[int] = []
    for _ in range(3000):
        now += int(rng.expovariate(1 / rng.choice([1000, 100_000])))
        if rng.random() < 0.4:
            budget.tried(now)
            first.append(now)
        elif budget.left(now) >= 1:
            budget.spend(now)
            again.append(now)
    assert again
    tenth = rule.window_us // 10
    for at in again[::7]:
        spent = sum(at - rule.window_us + tenth < t <= at for t in again)
        earned = rule.share * sum(at - rule.window_us - tenth <= t <= at for t in first)
        assert spent <= max(rule.floor, earned) + 1e-9


def test_a_clock_set_back_and_a_reload_hand_out_nothing_anew() -> None:
    budget = Budget(BudgetRule(0.5, 10 * SECOND, 2))
    budget.spend(50 * SECOND)
    budget.spend(50 * SECOND)
    assert budget.left(20 * SECOND) == 0 and budget.left(50 * SECOND) == 0
    assert budget.under(BudgetRule(0.5, 10 * SECOND, 3)).left(50 * SECOND) == 1
    other = budget.under(BudgetRule(0.5, 4 * SECOND, 3))
    assert other.left(50 * SECOND) == 1 and other.left(60 * SECOND) == 3


# ---- limits


def test_set_ups_a_second_and_their_burst() -> None:
    limit = Limit(LimitRule(setups_per_s=10, burst=3), SECOND)
    taken = []
    for ms in range(0, 2000, 10):
        if not limit.refuses(ms * 1000):
            limit.take(ms * 1000)
            taken.append(ms)
    assert taken[:3] == [0, 10, 20]
    assert len(taken) == 22  # three at once and ten a second for the rest
    assert all(b - a >= 90 for a, b in pairwise(taken[3:]))


def test_those_who_are_over_are_told_times_of_their_own_and_are_taken_then() -> None:
    limit = Limit(LimitRule(setups_per_s=20, burst=1), 1_500_000)
    rng = random.Random(3)
    limit.take(0)
    told = sorted(limit.advice_us(0, rng.random()) for _ in range(25))
    assert told[0] >= 50_000 and told[-1] <= 1_500_000 + 50_000
    assert all(b - a == 50_000 for a, b in pairwise(told))  # a place for each
    for at in told:  # together, 24 of 25 would be over again
        assert not limit.refuses(at)
        limit.take(at)
    far = [limit.advice_us(0, rng.random()) for _ in range(200)]  # no place left within the longest advice
    assert min(far) >= 700_000 and max(far) <= 1_500_000 and len(set(far)) > 150


def test_open_connections_come_back_when_they_end() -> None:
    limit = Limit(LimitRule(open=2), SECOND)
    limit.take(0)
    limit.resume()
    assert limit.refuses(0) == "open"
    limit.give_back()
    assert not limit.refuses(0)
    for _ in range(5):
        limit.give_back()
    assert limit.open == 0


# ---- the keeper


def keeper_of(
    *routes: Route, relay: LimitRule | None = None, budget: BudgetRule | None = None
) -> RouteAdmission:
    rules = Rules(routes, budget, relay or LimitRule())
    return RouteAdmission(rules, with_routes(SETTINGS, rules))


CLASSES = [RequestClass("a", idempotency="repeatable"), RequestClass("b", idempotency="once")]
SETTINGS = Settings(classes=CLASSES, max_attempts=4)


def test_a_class_on_a_route_is_a_class_of_its_own() -> None:
    rules = Rules((Route("r", Match(classes=("b",)), attempt_us=7, attempts=2), Route("default", attempts=3)))
    settings = with_routes(SETTINGS, rules)
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
    assert with_routes(settings, rules) == settings and told_classes(settings) == CLASSES


def test_nothing_is_counted_of_what_is_refused() -> None:
    keeper = keeper_of(Route("default", limits=LimitRule(open=5)), relay=LimitRule(open=2))
    share = keeper.shares["default"]
    assert [keeper.admit(share, True, 0, 0.5) is None for _ in range(3)] == [True, True, False]
    assert share.limit.open == keeper.whole.limit.open == 2
    refusal = keeper.admit(share, True, 0, 0.5)
    assert refusal is not None and refusal.reason == "open of the relay" and refusal.retry_us > 0
    keeper.ended(share)
    assert keeper.admit(share, True, 0, 0.5) is None


def test_a_clients_own_retry_earns_no_further_attempts() -> None:
    keeper = keeper_of(Route("default", budget=BudgetRule(1.0, SECOND, 1)))
    share, cls = keeper.shares["default"], RequestClass("a", route="default")
    for _ in range(5):
        keeper.admit(share, False, 0, 0.5)
    assert [keeper.attempt_refusal(share, cls, "s", 1, 0) for _ in range(2)] == ["", "retry-budget"]
    for _ in range(5):
        keeper.admit(share, True, 0, 0.5)
    assert [keeper.attempt_refusal(share, cls, "s", 1, 0) for _ in range(5)] == [
        "",
        "",
        "",
        "",
        "retry-budget",
    ]


def test_the_relays_budget_holds_over_all_routes() -> None:
    one = Route("one", Match(classes=("a",)), budget=BudgetRule(1.0, SECOND, 9))
    keeper = keeper_of(one, Route("default"), budget=BudgetRule(0.5, SECOND, 2))
    cls = RequestClass("a", route="one")
    assert not keeper.attempt_refusal(keeper.shares["one"], cls, "s", 1, 0)
    assert not keeper.attempt_refusal(keeper.shares["default"], cls, "s", 1, 0)
    assert keeper.attempt_refusal(keeper.shares["one"], cls, "s", 1, 0) == "retry-budget"
    assert not keeper.attempt_refusal(keeper.shares["one"], cls, "s", 0, 0)  # a first try asks no budget


def test_set_ups_at_one_backend_are_those_of_all_routes() -> None:
    keeper = keeper_of(Route("one", Match(classes=("a",)), limits=LimitRule(at_backend=2)), Route("default"))
    tight, loose = (
        RequestClass("a", route="one", max_setups_per_endpoint=2),
        RequestClass("b", route="default"),
    )
    assert not keeper.attempt_refusal(keeper.shares["default"], loose, "s", 0, 0)
    assert not keeper.attempt_refusal(keeper.shares["one"], tight, "s", 0, 0)
    assert keeper.attempt_refusal(keeper.shares["one"], tight, "s", 0, 0) == "setups-at-backend"
    assert not keeper.attempt_refusal(keeper.shares["one"], tight, "t", 0, 0)
    keeper.setup_finished("s")
    assert not keeper.attempt_refusal(keeper.shares["one"], tight, "s", 0, 0)
    for _ in range(9):
        keeper.setup_finished("s")
    assert keeper.pending == {"t": 1}


def test_a_reload_keeps_what_is_held_and_lowers_the_cap() -> None:
    named = Route("r", Match(classes=("a",)), attempts=4, limits=LimitRule(open=3))
    keeper = keeper_of(named, Route("default"))
    old = keeper.shares["r"]
    plan = RequestClass("a", route="r", max_attempts=4)
    keeper.admit(old, True, 0, 0.5)
    rules = Rules((Route("r", Match(classes=("a",)), attempts=2, limits=LimitRule(open=1)), Route("default")))
    keeper.apply(rules, with_routes(SETTINGS, rules))
    assert (
        keeper.shares["r"] is old and keeper.max_attempts(plan, 4) == 2 and keeper.max_attempts(plan, 1) == 1
    )
    refusal = keeper.admit(old, True, 0, 0.5)
    assert refusal is not None and refusal.reason == "open of route r"
    rules = Rules((Route("default"),))
    keeper.apply(rules, with_routes(SETTINGS, rules))
    assert keeper.max_attempts(plan, 4) == 4  # its route is gone: its own plan holds
    keeper.ended(old)  # what a route that is gone held is given back all the same
    assert keeper.whole.limit.open == 0


# ---- waits


def test_the_waits_of_each_kind() -> None:
    assert WaitRule("fixed", 5).waits(4) == (5, 5, 5)
    assert WaitRule("exponential", 5, 12).waits(5) == (5, 10, 12, 12)
    assert WaitRule("exponential", 5).waits(4) == (5, 10, 20)
    assert WaitRule("fixed", 5).waits(1) == ()
    cls = RequestClass(retry_backoff_us=(1000, 2000), full_jitter=True)
    assert [cls.backoff_us(n, 0, 0, lambda: 0.5) for n in range(4)] == [0, 500, 1000, 0]
    every = RequestClass(retry_backoff_us=(1000, 1000), backoff_from_attempt_start=True)
    assert [every.backoff_us(1, 100, now, random.random) for now in (100, 600, 1100, 5000)] == [
        1000,
        500,
        0,
        0,
    ]
