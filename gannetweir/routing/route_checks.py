"""The check of an operators' file against the platform's settings: all that is wrong with both together.

Knows no syntax: the reader has dealt with types and units. Without settings (None) only what the file says by
itself is checked. Each mistake names the line, what was found and what is allowed.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from gannetweir.limits import Limits
from gannetweir.placement.settings import RequestClass, Settings
from gannetweir.routing.route_admission import platform_classes
from gannetweir.routing.route_table import RouteReachability, route_reachability
from gannetweir.routing.rules import (
    MAX_ATTEMPTS,
    ConnectionLimitRule,
    Mistake,
    RetryBudgetRule,
    Route,
    RouteMatch,
    RoutingRules,
    routed_class,
)
from gannetweir.routing.schedule import largest_attempt_timeout_us, largest_max_attempts, worst_case_schedule

MAX_ROUTES = 1000
MAX_BUDGET_WINDOW_US = 600_000_000
MIN_BUDGET_WINDOW_US = 100_000


def format_ms(us: float) -> str:
    """A time as people write it."""
    return f"{us / 1000:g}ms"


def check_routing_rules(
    rules: RoutingRules, settings: Settings | None, limits: Limits | None
) -> list[Mistake]:
    """Every mistake, in the order of the file's lines."""
    found = list(_names(rules))
    for route in rules.routes:
        found += _alone(route)
    found += _budget("relay retry-budget", rules.retry_budget, rules.lines.get("retry-budget", 0))
    found += _limits("relay limits", rules.limits, limits, rules.lines.get("limits", 0))
    for route in rules.routes:
        where = route.title
        found += _limits(f"{where} limits", route.limits, limits, route.line_of("limits"))
    if settings is not None:
        known = [c.name for c in platform_classes(settings)]
        reached = route_reachability(
            rules.routes, known, settings.groups_enabled, settings.clients_mark_retries
        )
        for number, route in enumerate(rules.routes):
            found += _with_settings(route, settings, known)
            for cls in platform_classes(settings):
                if (
                    number in reached.reachable_by_class[cls.name]
                ):  # a plan for what others take is never carried out
                    found += _class(route, cls, settings, limits or Limits())
        found += _dead(rules, settings, known, reached)
    return sorted(found, key=lambda mistake: mistake.line)


def _names(rules: RoutingRules) -> Iterator[Mistake]:
    counts = Counter(route.name for route in rules.routes)
    seen: set[str] = set()
    for route in rules.routes:
        if counts[route.name] > 1 and route.name in seen:
            line = route.line_of("name")
            yield Mistake(line, route.title, "a second route of this name", "one of each")
        seen.add(route.name)
    if len(rules.routes) > MAX_ROUTES:
        yield Mistake(0, "routes", f"{len(rules.routes)}", f"at most {MAX_ROUTES}")
    last = rules.routes[-1] if rules.routes else None
    if last is None or last.match != RouteMatch():
        yield Mistake(0, "default", "missing", "one `default` after all routes takes what no route takes")


def _alone(route: Route) -> Iterator[Mistake]:
    """What can be said without the settings."""
    where = route.title
    if route.max_attempts > MAX_ATTEMPTS:
        yield Mistake(
            route.line_of("attempts"), f"{where} attempts", f"{route.max_attempts}", f"at most {MAX_ATTEMPTS}"
        )
    if route.max_attempts == 1 and route.backoff is not None:
        yield Mistake(
            route.line_of("wait"), f"{where} wait", "a wait, though attempts is 1", "no wait, or 2 attempts"
        )
    if route.backoff is not None and 0 < route.backoff.max_us < route.backoff.initial_us:
        found = f"max {format_ms(route.backoff.max_us)} is under first {format_ms(route.backoff.initial_us)}"
        yield Mistake(route.line_of("wait"), f"{where} wait", found, "max of first or more")
    if route.request_timeout_us and route.attempt_timeout_us > route.request_timeout_us:
        give_up = format_ms(route.request_timeout_us)
        found = f"{format_ms(route.attempt_timeout_us)} is over the give-up time {give_up}"
        yield Mistake(route.line_of("attempt"), f"{where} attempt", found, "less than the give-up time")
    yield from _budget(f"{where} retry-budget", route.retry_budget, route.line_of("retry-budget"))


def _budget(where: str, rule: RetryBudgetRule | None, line: int) -> Iterator[Mistake]:
    if rule is not None and not MIN_BUDGET_WINDOW_US <= rule.window_us <= MAX_BUDGET_WINDOW_US:
        allowed = f"{format_ms(MIN_BUDGET_WINDOW_US)} to {format_ms(MAX_BUDGET_WINDOW_US)}"
        yield Mistake(line, where, f"window {format_ms(rule.window_us)}", allowed)


def _limits(where: str, rule: ConnectionLimitRule, limits: Limits | None, line: int) -> Iterator[Mistake]:
    if limits is not None:
        for name, value in (("open", rule.max_open), ("setups-at-backend", rule.max_setups_per_endpoint)):
            if value > limits.max_clients:
                allowed = f"at most {limits.max_clients}, which is what {limits.sockets} descriptors hold"
                yield Mistake(line, where, f"{name} {value}", allowed)
    if rule.max_open and rule.max_setups_per_endpoint > rule.max_open:
        found = f"setups-at-backend {rule.max_setups_per_endpoint} is over open {rule.max_open}"
        yield Mistake(line, where, found, "at most the open connections")
    if rule.setup_burst and not rule.max_setups_per_s:
        yield Mistake(line, where, f"burst {rule.setup_burst} without setups-per-second", "both, or no burst")
    if rule.max_open and rule.setup_burst > rule.max_open:
        found = f"burst {rule.setup_burst} is over open {rule.max_open}"
        yield Mistake(line, where, found, "at most the open connections")


def _with_settings(route: Route, settings: Settings, known: list[str]) -> Iterator[Mistake]:
    where = route.title
    for name in route.match.classes:
        if name not in known:
            allowed = f"one of {', '.join(known)}"
            yield Mistake(route.line_of("class"), f"{where} match class", f"unknown class {name!r}", allowed)
    if settings.max_attempts < route.max_attempts <= MAX_ATTEMPTS:
        yield Mistake(
            route.line_of("attempts"),
            f"{where} attempts",
            f"{route.max_attempts}",
            f"at most {settings.max_attempts} by the platform's limits.max-attempts",
        )
    if route.connect_timeout_us > settings.connect_timeout_us:
        yield Mistake(
            route.line_of("connect"),
            f"{where} connect",
            format_ms(route.connect_timeout_us),
            f"at most {format_ms(settings.connect_timeout_us)} by the platform's limits.connect-timeout-us",
        )


def _class(route: Route, cls: RequestClass, settings: Settings, limits: Limits) -> Iterator[Mistake]:
    """One class on one route: the hard case is a plan that fits one class and not the next."""
    where = f"{route.title}, class {cls.name}"
    if route.hedge_after_us:
        why = (
            "the platform's limits.may-duplicate is false"
            if not settings.allows_hedged_requests
            else ("this relay sends one flow at a time, also where the platform would allow two")
        )
        found = f"a second copy after {format_ms(route.hedge_after_us)}"
        yield Mistake(route.line_of("hedge"), f"{where}: hedge", found, f"none: {why}")
    if route.request_timeout_us > cls.deadline_us:
        found = f"{format_ms(route.request_timeout_us)} outlasts the client"
        allowed = f"at most {format_ms(cls.deadline_us)}, after which {cls.name} gives up"
        yield Mistake(route.line_of("give-up"), f"{where}: give-up", found, allowed)
    if route.retry_on == "may-have-run" and cls.idempotency == "once" and route.max_attempts != 1:
        found = "may-have-run, though a repeat of this class may do harm (once)"
        yield Mistake(
            route.line_of("retry-on"), f"{where}: retry-on", found, "never-ran, or a route of its own"
        )
    if route.max_attempts > min(MAX_ATTEMPTS, settings.max_attempts):
        return  # said already; a sum over them would say it again
    told = routed_class(cls, route, settings)
    if told.backoff_from_attempt_start and told.retry_backoff_us and told.attempt_timeout_us:
        takes = int(told.connect_timeout_us or settings.connect_timeout_us) + told.attempt_timeout_us
        if told.retry_backoff_us[0] < takes:
            every = format_ms(told.retry_backoff_us[0])
            found = f"every {every}, though an attempt may take {format_ms(takes)}: two would overlap"
            yield Mistake(route.line_of("wait"), f"{where}: wait", found, f"every {format_ms(takes)} or more")
            return
    if told.backoff_from_attempt_start and not told.attempt_timeout_us:
        found = "every, without an attempt time-out that ends the one before: two could overlap"
        yield Mistake(route.line_of("wait"), f"{where}: wait", found, "an attempt time-out beside it")
        return
    plan = worst_case_schedule(told, settings, limits)
    if plan.slack_us >= 0:
        return
    fit_count = largest_max_attempts(told, settings, limits)
    fit_attempt = largest_attempt_timeout_us(told, settings, limits)
    if fit_attempt > 1000:  # a value that is copied into the file has to fit as it is printed
        fit_attempt -= fit_attempt % 1000
    fits = [
        f"an attempt time-out of at most {format_ms(fit_attempt)}" if fit_attempt > 0 else "",
        f"at most {fit_count} attempts" if fit_count > 0 else "",
    ]
    allowed = " or ".join(filter(None, fits)) or "shorter connects and waits: no attempt time-out fits"
    found = (
        f"the worst case of {told.max_attempts} attempts takes {format_ms(plan.total_us)}, "
        f"{format_ms(-plan.slack_us)} more than the give-up time {format_ms(plan.request_timeout_us)}"
    )
    yield Mistake(route.line_of("attempts"), where, found, allowed)


def _dead(
    rules: RoutingRules, settings: Settings, known: list[str], reached: RouteReachability
) -> Iterator[Mistake]:
    for number, other in sorted(reached.shadowed_by.items()):
        route = rules.routes[number]
        if set(route.match.classes) - set(known):
            continue  # a class that is not known has been named already
        if other >= 0:
            found = f"never reached: what it matches is taken before, by route {rules.routes[other].name}"
        elif not settings.groups_enabled and route.match.group_prefixes:
            found = "never reached: the platform's settings have no groups"
        elif not settings.clients_mark_retries and route.match.client_retry:
            found = "never reached: by the platform's settings clients do not mark retries"
        else:
            found = "never reached: no request is like this"
        yield Mistake(route.line_of("match"), route.title, found, "a route that some request takes")
