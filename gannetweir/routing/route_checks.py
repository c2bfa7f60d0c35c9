"""The check of an operators' file against the platform's settings: all that is wrong with both together.

Knows no syntax: the reader has dealt with types and units. Without settings (None) only what the file says by
itself is checked. Each mistake names the line, what was found and what is allowed.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from gannetweir.limits import Limits
from gannetweir.placement.settings import RequestClass, Settings
from gannetweir.routing.route_admission import told_classes
from gannetweir.routing.routes import Reach, reach
from gannetweir.routing.rules import (
    MOST_ATTEMPTS,
    BudgetRule,
    LimitRule,
    Match,
    Mistake,
    Route,
    Rules,
    timed,
)
from gannetweir.routing.schedule import largest_attempt_us, largest_attempts, schedule

MOST_ROUTES = 1000
MOST_WINDOW_US = 600_000_000
LEAST_WINDOW_US = 100_000


def ms(us: float) -> str:
    """A time as people write it."""
    return f"{us / 1000:g}ms"


def check(rules: Rules, settings: Settings | None, limits: Limits | None) -> list[Mistake]:
    """Every mistake, in the order of the file's lines."""
    found = list(_names(rules))
    for route in rules.routes:
        found += _alone(route)
    found += _budget("relay retry-budget", rules.budget, rules.lines.get("retry-budget", 0))
    found += _limits("relay limits", rules.limits, limits, rules.lines.get("limits", 0))
    for route in rules.routes:
        where = route.title
        found += _limits(f"{where} limits", route.limits, limits, route.line("limits"))
    if settings is not None:
        known = [c.name for c in told_classes(settings)]
        reached = reach(rules.routes, known, settings.groups_enabled, settings.clients_mark_retries)
        for number, route in enumerate(rules.routes):
            found += _with_settings(route, settings, known)
            for cls in told_classes(settings):
                if number in reached.alive[cls.name]:  # a plan for what others take is never carried out
                    found += _class(route, cls, settings, limits or Limits())
        found += _dead(rules, settings, known, reached)
    return sorted(found, key=lambda mistake: mistake.line)


def _names(rules: Rules) -> Iterator[Mistake]:
    counts = Counter(route.name for route in rules.routes)
    seen: set[str] = set()
    for route in rules.routes:
        if counts[route.name] > 1 and route.name in seen:
            line = route.line("name")
            yield Mistake(line, route.title, "a second route of this name", "one of each")
        seen.add(route.name)
    if len(rules.routes) > MOST_ROUTES:
        yield Mistake(0, "routes", f"{len(rules.routes)}", f"at most {MOST_ROUTES}")
    last = rules.routes[-1] if rules.routes else None
    if last is None or last.match != Match():
        yield Mistake(0, "default", "missing", "one `default` after all routes takes what no route takes")


def _alone(route: Route) -> Iterator[Mistake]:
    """What can be said without the settings."""
    where = route.title
    if route.attempts > MOST_ATTEMPTS:
        yield Mistake(
            route.line("attempts"), f"{where} attempts", f"{route.attempts}", f"at most {MOST_ATTEMPTS}"
        )
    if route.attempts == 1 and route.wait is not None:
        yield Mistake(
            route.line("wait"), f"{where} wait", "a wait, though attempts is 1", "no wait, or 2 attempts"
        )
    if route.wait is not None and 0 < route.wait.max_us < route.wait.first_us:
        found = f"max {ms(route.wait.max_us)} is under first {ms(route.wait.first_us)}"
        yield Mistake(route.line("wait"), f"{where} wait", found, "max of first or more")
    if route.give_up_us and route.attempt_us > route.give_up_us:
        found = f"{ms(route.attempt_us)} is over the give-up time {ms(route.give_up_us)}"
        yield Mistake(route.line("attempt"), f"{where} attempt", found, "less than the give-up time")
    yield from _budget(f"{where} retry-budget", route.budget, route.line("retry-budget"))


def _budget(where: str, rule: BudgetRule | None, line: int) -> Iterator[Mistake]:
    if rule is not None and not LEAST_WINDOW_US <= rule.window_us <= MOST_WINDOW_US:
        allowed = f"{ms(LEAST_WINDOW_US)} to {ms(MOST_WINDOW_US)}"
        yield Mistake(line, where, f"window {ms(rule.window_us)}", allowed)


def _limits(where: str, rule: LimitRule, limits: Limits | None, line: int) -> Iterator[Mistake]:
    if limits is not None:
        for name, value in (("open", rule.open), ("setups-at-backend", rule.at_backend)):
            if value > limits.clients:
                allowed = f"at most {limits.clients}, which is what {limits.sockets} descriptors hold"
                yield Mistake(line, where, f"{name} {value}", allowed)
    if rule.open and rule.at_backend > rule.open:
        found = f"setups-at-backend {rule.at_backend} is over open {rule.open}"
        yield Mistake(line, where, found, "at most the open connections")
    if rule.burst and not rule.setups_per_s:
        yield Mistake(line, where, f"burst {rule.burst} without setups-per-second", "both, or no burst")
    if rule.open and rule.burst > rule.open:
        found = f"burst {rule.burst} is over open {rule.open}"
        yield Mistake(line, where, found, "at most the open connections")


def _with_settings(route: Route, settings: Settings, known: list[str]) -> Iterator[Mistake]:
    where = route.title
    for name in route.match.classes:
        if name not in known:
            allowed = f"one of {', '.join(known)}"
            yield Mistake(route.line("class"), f"{where} match class", f"unknown class {name!r}", allowed)
    if settings.max_attempts < route.attempts <= MOST_ATTEMPTS:
        yield Mistake(
            route.line("attempts"),
            f"{where} attempts",
            f"{route.attempts}",
            f"at most {settings.max_attempts} by the platform's limits.max-attempts",
        )
    if route.connect_us > settings.connect_timeout_us:
        yield Mistake(
            route.line("connect"),
            f"{where} connect",
            ms(route.connect_us),
            f"at most {ms(settings.connect_timeout_us)} by the platform's limits.connect-timeout-us",
        )


def _class(route: Route, cls: RequestClass, settings: Settings, limits: Limits) -> Iterator[Mistake]:
    """One class on one route: the hard case is a plan that fits one class and not the next."""
    where = f"{route.title}, class {cls.name}"
    if route.hedge_us:
        why = (
            "the platform's limits.may-duplicate is false"
            if not settings.allows_hedged_requests
            else ("this relay sends one flow at a time, also where the platform would allow two")
        )
        found = f"a second copy after {ms(route.hedge_us)}"
        yield Mistake(route.line("hedge"), f"{where}: hedge", found, f"none: {why}")
    if route.give_up_us > cls.deadline_us:
        found = f"{ms(route.give_up_us)} outlasts the client"
        allowed = f"at most {ms(cls.deadline_us)}, after which {cls.name} gives up"
        yield Mistake(route.line("give-up"), f"{where}: give-up", found, allowed)
    if route.again == "may-have-run" and cls.idempotency == "once" and route.attempts != 1:
        found = "may-have-run, though a repeat of this class may do harm (once)"
        yield Mistake(route.line("retry-on"), f"{where}: retry-on", found, "never-ran, or a route of its own")
    if route.attempts > min(MOST_ATTEMPTS, settings.max_attempts):
        return  # said already; a sum over them would say it again
    told = timed(cls, route, settings)
    if told.backoff_from_attempt_start and told.retry_backoff_us and told.attempt_timeout_us:
        takes = int(told.connect_timeout_us or settings.connect_timeout_us) + told.attempt_timeout_us
        if told.retry_backoff_us[0] < takes:
            every = ms(told.retry_backoff_us[0])
            found = f"every {every}, though an attempt may take {ms(takes)}: two would overlap"
            yield Mistake(route.line("wait"), f"{where}: wait", found, f"every {ms(takes)} or more")
            return
    if told.backoff_from_attempt_start and not told.attempt_timeout_us:
        found = "every, without an attempt time-out that ends the one before: two could overlap"
        yield Mistake(route.line("wait"), f"{where}: wait", found, "an attempt time-out beside it")
        return
    plan = schedule(told, settings, limits)
    if plan.slack_us >= 0:
        return
    fit_count = largest_attempts(told, settings, limits)
    fit_attempt = largest_attempt_us(told, settings, limits)
    if fit_attempt > 1000:  # a value that is copied into the file has to fit as it is printed
        fit_attempt -= fit_attempt % 1000
    fits = [
        f"an attempt time-out of at most {ms(fit_attempt)}" if fit_attempt > 0 else "",
        f"at most {fit_count} attempts" if fit_count > 0 else "",
    ]
    allowed = " or ".join(filter(None, fits)) or "shorter connects and waits: no attempt time-out fits"
    found = (
        f"the worst case of {told.max_attempts} attempts takes {ms(plan.total_us)}, "
        f"{ms(-plan.slack_us)} more than the give-up time {ms(plan.give_up_us)}"
    )
    yield Mistake(route.line("attempts"), where, found, allowed)


def _dead(rules: Rules, settings: Settings, known: list[str], reached: Reach) -> Iterator[Mistake]:
    for number, other in sorted(reached.blame.items()):
        route = rules.routes[number]
        if set(route.match.classes) - set(known):
            continue  # a class that is not known has been named already
        if other >= 0:
            found = f"never reached: what it matches is taken before, by route {rules.routes[other].name}"
        elif not settings.groups_enabled and route.match.groups:
            found = "never reached: the platform's settings have no groups"
        elif not settings.clients_mark_retries and route.match.retry:
            found = "never reached: by the platform's settings clients do not mark retries"
        else:
            found = "never reached: no request is like this"
        yield Mistake(route.line("match"), route.title, found, "a route that some request takes")
