"""The checks of an operators' file that need the platform's settings.

A plan may fit one class and not another: each route is checked with each class whose requests can take it.
"""

from __future__ import annotations

from collections.abc import Iterator

from gannetweir.limits import Limits
from gannetweir.mistakes import Mistake
from gannetweir.placement.settings import Idempotency, RequestClass, Settings
from gannetweir.routing.reachability import NO_REQUESTS, RouteReachability, route_reachability
from gannetweir.routing.route_admission import platform_classes
from gannetweir.routing.rules import (
    MAX_ATTEMPTS,
    RetryOn,
    Route,
    RoutingRules,
    routed_class,
)
from gannetweir.routing.schedule import (
    Schedule,
    largest_attempt_timeout_us,
    largest_max_attempts,
    worst_case_schedule,
)
from gannetweir.routing.units import format_ms

_US_PER_MS = 1000


def check_with_settings(rules: RoutingRules, settings: Settings, limits: Limits) -> Iterator[Mistake]:
    """Return the mistakes of the rules under the settings: route by route, then the unreachable routes."""
    classes = platform_classes(settings)
    class_names = [request_class.name for request_class in classes]
    reachability = route_reachability(
        rules.routes, class_names, settings.groups_enabled, settings.clients_mark_retries
    )
    for number, route in enumerate(rules.routes):
        yield from _bound_mistakes(route, settings, class_names)
        for request_class in classes:
            # The plan for a class is never carried out if other routes take all requests of the class.
            if number in reachability.reachable_by_class[request_class.name]:
                yield from _class_mistakes(route, request_class, settings, limits)
    yield from _unreachable_mistakes(rules, settings, class_names, reachability)


def _bound_mistakes(route: Route, settings: Settings, class_names: list[str]) -> Iterator[Mistake]:
    where = route.title
    for name in route.match.classes:
        if name not in class_names:
            allowed = f"one of {', '.join(class_names)}"
            yield Mistake(route.line_of("class"), f"{where} match class", f"unknown class {name!r}", allowed)
    if settings.max_attempts < route.max_attempts <= MAX_ATTEMPTS:
        allowed = f"at most {settings.max_attempts} by the platform's limits.max-attempts"
        yield Mistake(route.line_of("attempts"), f"{where} attempts", f"{route.max_attempts}", allowed)
    if route.connect_timeout_us > settings.connect_timeout_us:
        most = format_ms(settings.connect_timeout_us)
        allowed = f"at most {most} by the platform's limits.connect-timeout-us"
        found = format_ms(route.connect_timeout_us)
        yield Mistake(route.line_of("connect"), f"{where} connect", found, allowed)


def _class_mistakes(
    route: Route, request_class: RequestClass, settings: Settings, limits: Limits
) -> Iterator[Mistake]:
    """Return the mistakes of one class on one route."""
    where = f"{route.title}, class {request_class.name}"
    if route.hedge_after_us:
        found = f"a second copy after {format_ms(route.hedge_after_us)}"
        yield Mistake(route.line_of("hedge"), f"{where}: hedge", found, f"none: {_hedge_reason(settings)}")
    if route.request_timeout_us > request_class.deadline_us:
        found = f"{format_ms(route.request_timeout_us)} outlasts the client"
        deadline = format_ms(request_class.deadline_us)
        allowed = f"at most {deadline}, after which {request_class.name} gives up"
        yield Mistake(route.line_of("give-up"), f"{where}: give-up", found, allowed)
    if _retries_non_idempotent_class(route, request_class):
        found = "may-have-run, though a repeat of this class may do harm (once)"
        allowed = "never-ran, or a route of its own"
        yield Mistake(route.line_of("retry-on"), f"{where}: retry-on", found, allowed)
    if route.max_attempts > min(MAX_ATTEMPTS, settings.max_attempts):
        # The number of attempts is reported already; the worst case would report it a second time.
        return
    routed = routed_class(request_class, route, settings)
    overlap = _overlap_mistake(route, routed, settings, where)
    if overlap is not None:
        yield overlap
        return
    schedule = worst_case_schedule(routed, settings, limits)
    if schedule.slack_us < 0:
        allowed = _describe_fitting_values(routed, settings, limits)
        yield Mistake(route.line_of("attempts"), where, _describe_overrun(schedule, routed), allowed)


def _hedge_reason(settings: Settings) -> str:
    if settings.allows_hedged_requests:
        return "this relay sends one flow at a time, also where the platform would allow two"
    return "the platform's limits.may-duplicate is false"


def _retries_non_idempotent_class(route: Route, request_class: RequestClass) -> bool:
    return (
        route.retry_on is RetryOn.MAY_HAVE_RUN
        and request_class.idempotency == Idempotency.ONCE
        and route.max_attempts != 1
    )


def _overlap_mistake(route: Route, routed: RequestClass, settings: Settings, where: str) -> Mistake | None:
    """Return the mistake of a cadence (`wait "every"`) with which two attempts could overlap, or None."""
    if not routed.backoff_from_attempt_start:
        return None
    line = route.line_of("wait")
    if not routed.attempt_timeout_us:
        found = "every, without an attempt time-out that ends the one before: two could overlap"
        return Mistake(line, f"{where}: wait", found, "an attempt time-out beside it")
    connect_timeout_us = int(routed.connect_timeout_us or settings.connect_timeout_us)
    max_attempt_us = connect_timeout_us + routed.attempt_timeout_us
    if not routed.retry_backoff_us or routed.retry_backoff_us[0] >= max_attempt_us:
        return None
    longest = format_ms(max_attempt_us)
    every = format_ms(routed.retry_backoff_us[0])
    found = f"every {every}, though an attempt may take {longest}: two would overlap"
    return Mistake(line, f"{where}: wait", found, f"every {longest} or more")


def _describe_overrun(schedule: Schedule, routed: RequestClass) -> str:
    total = format_ms(schedule.total_us)
    excess = format_ms(-schedule.slack_us)
    give_up = format_ms(schedule.request_timeout_us)
    worst_case = f"the worst case of {routed.max_attempts} attempts takes {total}"
    return f"{worst_case}, {excess} more than the give-up time {give_up}"


def _describe_fitting_values(routed: RequestClass, settings: Settings, limits: Limits) -> str:
    max_attempts = largest_max_attempts(routed, settings, limits)
    attempt_timeout_us = largest_attempt_timeout_us(routed, settings, limits)
    if attempt_timeout_us > _US_PER_MS:
        # Whole milliseconds, rounded down: the printed value must fit when it is copied into the file.
        attempt_timeout_us -= attempt_timeout_us % _US_PER_MS
    fitting: list[str] = []
    if attempt_timeout_us > 0:
        fitting.append(f"an attempt time-out of at most {format_ms(attempt_timeout_us)}")
    if max_attempts > 0:
        fitting.append(f"at most {max_attempts} attempts")
    return " or ".join(fitting) or "shorter connects and waits: no attempt time-out fits"


def _unreachable_mistakes(
    rules: RoutingRules, settings: Settings, class_names: list[str], reachability: RouteReachability
) -> Iterator[Mistake]:
    for number, shadowing in sorted(reachability.shadowed_by.items()):
        route = rules.routes[number]
        if set(route.match.classes) - set(class_names):
            continue  # the unknown class is reported already
        if shadowing != NO_REQUESTS:
            reason = f"what it matches is taken before, by route {rules.routes[shadowing].name}"
        elif not settings.groups_enabled and route.match.group_prefixes:
            reason = "the platform's settings have no groups"
        elif not settings.clients_mark_retries and route.match.client_retry:
            reason = "by the platform's settings clients do not mark retries"
        else:
            reason = "no request is like this"
        allowed = "a route that some request takes"
        yield Mistake(route.line_of("match"), route.title, f"never reached: {reason}", allowed)
