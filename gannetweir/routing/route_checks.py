"""The check of an operators' file for consistency, and against the platform's settings.

Syntax, types and units have been checked by the parser. Without settings (None), the file is checked only for
its own consistency. Each mistake names the line, what was found and what is allowed.
"""

from __future__ import annotations

from collections.abc import Iterator

from gannetweir.limits import Limits
from gannetweir.mistakes import Mistake
from gannetweir.placement.settings import Settings
from gannetweir.routing.platform_checks import check_with_settings
from gannetweir.routing.rules import (
    MAX_ATTEMPTS,
    ConnectionLimitRule,
    RetryBudgetRule,
    Route,
    RouteMatch,
    RoutingRules,
)
from gannetweir.routing.units import format_ms

MAX_ROUTES = 1000  # the check for unreachable routes compares each pair of routes
MAX_BUDGET_WINDOW_US = 600_000_000  # requests of ten minutes ago say nothing about the present load
MIN_BUDGET_WINDOW_US = 100_000  # a shorter window has too few requests to take a share of


def check_routing_rules(
    rules: RoutingRules, settings: Settings | None, limits: Limits | None
) -> list[Mistake]:
    """Return every mistake, in the order of the file's lines."""
    mistakes = list(_route_list_mistakes(rules))
    for route in rules.routes:
        mistakes += _route_mistakes(route)
    mistakes += _budget_mistakes("relay retry-budget", rules.retry_budget, rules.lines.get("retry-budget", 0))
    mistakes += _limit_mistakes("relay limits", rules.limits, limits, rules.lines.get("limits", 0))
    for route in rules.routes:
        mistakes += _limit_mistakes(f"{route.title} limits", route.limits, limits, route.line_of("limits"))
    if settings is not None:
        mistakes += check_with_settings(rules, settings, limits or Limits())
    return sorted(mistakes, key=lambda mistake: mistake.line)


def _route_list_mistakes(rules: RoutingRules) -> Iterator[Mistake]:
    seen: set[str] = set()
    for route in rules.routes:
        if route.name in seen:
            line = route.line_of("name")
            yield Mistake(line, route.title, "a second route of this name", "each name once")
        seen.add(route.name)
    if len(rules.routes) > MAX_ROUTES:
        yield Mistake(0, "routes", f"{len(rules.routes)}", f"at most {MAX_ROUTES}")
    if not rules.routes or rules.routes[-1].match != RouteMatch():
        yield Mistake(0, "default", "missing", "one `default` after all routes takes what no route takes")


def _route_mistakes(route: Route) -> Iterator[Mistake]:
    """Return the mistakes of a route that can be found without the settings."""
    where = route.title
    if route.max_attempts > MAX_ATTEMPTS:
        line = route.line_of("attempts")
        yield Mistake(line, f"{where} attempts", f"{route.max_attempts}", f"at most {MAX_ATTEMPTS}")
    if route.backoff is not None:
        line = route.line_of("wait")
        if route.max_attempts == 1:
            yield Mistake(line, f"{where} wait", "a wait, though attempts is 1", "no wait, or 2 attempts")
        if 0 < route.backoff.max_us < route.backoff.initial_us:
            found = (
                f"max {format_ms(route.backoff.max_us)} is under first {format_ms(route.backoff.initial_us)}"
            )
            yield Mistake(line, f"{where} wait", found, "max of first or more")
    if route.request_timeout_us and route.attempt_timeout_us > route.request_timeout_us:
        give_up = format_ms(route.request_timeout_us)
        found = f"{format_ms(route.attempt_timeout_us)} is over the give-up time {give_up}"
        yield Mistake(route.line_of("attempt"), f"{where} attempt", found, "less than the give-up time")
    yield from _budget_mistakes(f"{where} retry-budget", route.retry_budget, route.line_of("retry-budget"))


def _budget_mistakes(where: str, rule: RetryBudgetRule | None, line: int) -> Iterator[Mistake]:
    if rule is not None and not MIN_BUDGET_WINDOW_US <= rule.window_us <= MAX_BUDGET_WINDOW_US:
        allowed = f"{format_ms(MIN_BUDGET_WINDOW_US)} to {format_ms(MAX_BUDGET_WINDOW_US)}"
        yield Mistake(line, where, f"window {format_ms(rule.window_us)}", allowed)


def _limit_mistakes(
    where: str, rule: ConnectionLimitRule, limits: Limits | None, line: int
) -> Iterator[Mistake]:
    if limits is not None:
        for name, value in (("open", rule.max_open), ("setups-at-backend", rule.max_setups_per_endpoint)):
            if value > limits.max_clients:
                allowed = f"at most {limits.max_clients}, which is what {limits.sockets} descriptors hold"
                yield Mistake(line, where, f"{name} {value}", allowed)
    if rule.max_open and rule.max_setups_per_endpoint > rule.max_open:
        found = f"setups-at-backend {rule.max_setups_per_endpoint} is over open {rule.max_open}"
        yield Mistake(line, where, found, "at most the open connections")
    if rule.setup_burst and not rule.max_setups_per_s:
        found = f"burst {rule.setup_burst} without setups-per-second"
        yield Mistake(line, where, found, "both, or no burst")
    if rule.max_open and rule.setup_burst > rule.max_open:
        found = f"burst {rule.setup_burst} is over open {rule.max_open}"
        yield Mistake(line, where, found, "at most the open connections")
