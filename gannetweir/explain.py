"""The output of `check` and `explain`: an operators' file as readable text, with the worst-case schedule."""

from __future__ import annotations

import string
from collections.abc import Iterator

from gannetweir.config import ConfigError, parse_settings
from gannetweir.config.operators_file import load_routing_rules
from gannetweir.config.platform import parse_limits, read_json_object
from gannetweir.config.settings import validate_settings
from gannetweir.limits import Limits
from gannetweir.placement.events import RequestArrived, RequestFlag
from gannetweir.placement.settings import Idempotency, RequestClass, Settings
from gannetweir.routing.route_admission import RouteAdmission, with_routed_classes
from gannetweir.routing.rules import (
    HEX_DIGITS,
    ConnectionLimitRule,
    RetryBudgetRule,
    RetryOn,
    Route,
    RoutingRules,
)
from gannetweir.routing.schedule import Schedule, worst_case_schedule
from gannetweir.routing.units import format_ms

TIMELINE_CHARACTERS = 48  # width of the bar; a line fits a terminal of 100 columns
_MAX_SHOWN_CHARACTERS = 40  # length to which messages cut an invalid value
_SLACK = "to spare"


def read_platform(path: str) -> tuple[Settings, Limits]:
    """Return the settings and limits of the platform's JSON, checked.

    The file holds a complete configuration or only the settings object. Raises `ConfigError`.
    """
    data = read_json_object(path, "--platform")
    settings = parse_settings(data.get("settings", data))
    validate_settings(settings)
    return settings, parse_limits(data.get("limits") if "settings" in data else None, settings)


def check_file(file: str, platform: str = "") -> str:
    """Return the text that confirms a valid file. Raises `ConfigError` with every mistake of an invalid one.

    Without a `platform` file the operators' file is checked on its own.
    """
    if not platform:
        rules = load_routing_rules(file)
        return (
            f"{file}: {len(rules.routes)} routes, checked on its own; "
            "add --platform JSON to check them against the platform"
        )
    rules = load_routing_rules(file, *read_platform(platform))
    return f"{file}: {len(rules.routes)} routes, valid together with {platform}"


def explain(
    file: str,
    platform: str,
    class_name: str,
    group: str | None = None,
    key: str | None = None,
    returning: bool = False,
    retry: bool = False,
) -> str:
    """Return the route that a request takes and its schedule, as text of several lines.

    Raises `ConfigError` for invalid files, a class that the platform does not have, and invalid hex digits.
    """
    if not platform:
        raise ConfigError(
            "explain: the platform's file is needed for its classes: add --platform JSON or set RELAY_CONFIG"
        )
    settings, limits = read_platform(platform)
    rules = load_routing_rules(file, settings, limits, with_lines=True)
    request = _parse_request(settings, class_name, group, key, _request_flags(returning, retry))
    routed_settings = with_routed_classes(settings, rules)
    admission = RouteAdmission(rules, routed_settings)
    route = rules.routes[admission.route_table.find_route(request)]
    routed = routed_settings.classes[admission.class_index_for(request)]
    route_lines = [*_plan_lines(routed, settings), *_budget_lines(route, rules), *_limit_lines(route, rules)]
    timeline = _timeline_lines(worst_case_schedule(routed, settings, limits))
    title = f"{class_name}: route {route.name} ({file}:{route.line_of('name')})"
    return "\n".join([title, *route_lines, "", *timeline])


def _parse_request(
    settings: Settings, class_name: str, group: str | None, key: str | None, flags: int
) -> RequestArrived:
    class_names = [request_class.name for request_class in settings.classes]
    if class_name not in class_names:
        raise ConfigError(f"--class: {class_name!r} is none of {', '.join(class_names)}")
    return RequestArrived(
        0,
        class_names.index(class_name),
        key=_parse_hex_prefix(key, "key"),
        group=_parse_hex_prefix(group, "group"),
        flags=flags,
    )


def _parse_hex_prefix(digits: str | None, option: str) -> int:
    """Return the smallest number that begins with these hex digits; 0 if there are none."""
    if not digits:
        return 0
    if len(digits) > HEX_DIGITS or not set(digits) <= set(string.hexdigits):
        raise ConfigError(
            f"--{option}: {digits[:_MAX_SHOWN_CHARACTERS]!r} is not 1 to {HEX_DIGITS} hex digits"
        )
    return int(digits.ljust(HEX_DIGITS, "0"), 16)


def _request_flags(returning: bool, retry: bool) -> int:
    flags = 0
    if returning:
        flags |= RequestFlag.RETURNED
    if retry:
        flags |= RequestFlag.CLIENT_RETRY
    return flags


def _plan_lines(routed: RequestClass, settings: Settings) -> Iterator[str]:
    request_timeout_us = routed.request_timeout_us or routed.deadline_us
    connect_timeout_us = routed.connect_timeout_us or settings.connect_timeout_us
    attempt_timeout = "the latency objective, doubled for each attempt; the last one lasts until give-up"
    if routed.attempt_timeout_us:
        attempt_timeout = format_ms(routed.attempt_timeout_us)
    retries_executed = routed.retries_executed_attempts and routed.idempotency != Idempotency.ONCE
    retry_on = RetryOn.MAY_HAVE_RUN if retries_executed else RetryOn.NEVER_RAN
    yield f"  give-up        {format_ms(request_timeout_us)} (the client's: {format_ms(routed.deadline_us)})"
    yield f"  attempts       {routed.max_attempts} (the platform's: {settings.max_attempts})"
    yield f"  connect        {format_ms(connect_timeout_us)}"
    yield f"  attempt        {attempt_timeout}"
    yield f"  retry-on       {retry_on.value} (the class is {routed.idempotency})"


def _budget_lines(route: Route, rules: RoutingRules) -> Iterator[str]:
    for name, budget in (("retry-budget", route.retry_budget), ("of the relay", rules.retry_budget)):
        if budget is not None:
            yield f"  {name:<14} {_budget_text(budget)}"


def _budget_text(budget: RetryBudgetRule) -> str:
    first_attempts = f"the first attempts of the last {format_ms(budget.window_us)}"
    return f"{budget.retry_ratio:.3g} of {first_attempts}, {budget.min_retries} always allowed"


def _limit_lines(route: Route, rules: RoutingRules) -> Iterator[str]:
    for name, limits in (("limits", route.limits), ("of the relay", rules.limits)):
        if stated := _limit_text(limits):
            yield f"  {name:<14} {stated}"


def _limit_text(limits: ConnectionLimitRule) -> str:
    stated: list[str] = []
    if limits.max_open:
        stated.append(f"open {limits.max_open}")
    if limits.max_setups_per_s:
        stated.append(f"set-ups per second {limits.max_setups_per_s:g}")
    if limits.setup_burst:
        stated.append(f"burst {limits.setup_burst}")
    if limits.max_setups_per_endpoint:
        stated.append(f"set-ups per backend {limits.max_setups_per_endpoint}")
    return ", ".join(stated)


def _timeline_lines(plan: Schedule) -> Iterator[str]:
    yield "  the worst case"
    for step in plan.steps:
        yield _timeline_line(plan, step.name, step.start_us, step.end_us, "#")
    yield _timeline_line(plan, _SLACK, plan.total_us, plan.request_timeout_us, ".")
    total = f"{format_ms(plan.total_us)} of {format_ms(plan.request_timeout_us)}"
    remark = "" if plan.has_fixed_timeouts else "; the attempts divide the time left"
    yield f"  {total}, {format_ms(plan.slack_us)} {_SLACK}{remark}"


def _timeline_line(plan: Schedule, name: str, start_us: int, end_us: int, sign: str) -> str:
    bar_start = round(start_us * TIMELINE_CHARACTERS / plan.request_timeout_us)
    bar_end = round(end_us * TIMELINE_CHARACTERS / plan.request_timeout_us)
    bar = " " * bar_start + sign * (bar_end - bar_start)
    return f"  {name:<15} {format_ms(start_us):>9} {format_ms(end_us):>9}  |{bar:<{TIMELINE_CHARACTERS}}|"
