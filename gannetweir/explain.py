"""What `check` and `explain` print: an operators' file in people's words, with the whole schedule."""

from __future__ import annotations

from gannetweir.config import ConfigError, parse_settings
from gannetweir.config.operators_file import load_routing_rules
from gannetweir.config.platform import parse_limits, read_json_object
from gannetweir.config.settings import validate_settings
from gannetweir.limits import Limits
from gannetweir.placement.events import RequestArrived, RequestFlag
from gannetweir.placement.settings import RequestClass, Settings
from gannetweir.routing.route_admission import RouteAdmission, with_routed_classes
from gannetweir.routing.rules import HEX_DIGITS, Route, RoutingRules
from gannetweir.routing.schedule import Schedule, worst_case_schedule
from gannetweir.routing.units import format_ms

WIDTH = 48  # of the timeline, in characters


def read_platform(path: str) -> tuple[Settings, Limits]:
    """The settings and limits of the platform's JSON: a whole configuration, or the settings object alone."""
    data = read_json_object(path, "--platform")
    settings = parse_settings(data.get("settings", data))
    validate_settings(settings)
    return settings, parse_limits(data.get("limits") if "settings" in data else None, settings)


def check_file(file: str, platform: str = "") -> str:
    """What is to be said of a good file; `ConfigError` with every mistake of a bad one."""
    if not platform:
        rules = load_routing_rules(file)
        return f"{file}: {len(rules.routes)} routes; checked by itself: name --platform JSON for the rest"
    rules = load_routing_rules(file, *read_platform(platform))
    return f"{file}: {len(rules.routes)} routes, right together with {platform}"


def _hex(text: str | None, what: str) -> int:
    if not text:
        return 0
    if len(text) > HEX_DIGITS or any(c not in "0123456789abcdefABCDEF" for c in text):
        raise ConfigError(f"--{what}: {text[:40]!r} is not 1 to {HEX_DIGITS} hex digits")
    return int(text.ljust(HEX_DIGITS, "0"), 16)  # what is given is the beginning of it


def explain(
    file: str,
    platform: str,
    cls: str,
    group: str | None = None,
    key: str | None = None,
    again: bool = False,
    retry: bool = False,
) -> str:
    """The route taken and the schedule, as text of several lines."""
    if not platform:
        raise ConfigError("explain: the classes are the platform's: add --platform JSON, or set RELAY_CONFIG")
    settings, limits = read_platform(platform)
    rules = load_routing_rules(file, settings, limits, with_lines=True)
    names = [c.name for c in settings.classes]
    if cls not in names:
        raise ConfigError(f"--class: {cls!r} is none of {', '.join(names)}")
    routed = with_routed_classes(settings, rules)
    flags = (RequestFlag.RETURNED if again else 0) | (RequestFlag.CLIENT_RETRY if retry else 0)
    number = names.index(cls)
    wanted = RequestArrived(0, number, key=_hex(key, "key"), group=_hex(group, "group"), flags=flags)
    keeper = RouteAdmission(rules, routed)
    route, told = (
        rules.routes[keeper.route_table.find_route(wanted)],
        routed.classes[keeper.class_index_for(wanted)],
    )
    plan = worst_case_schedule(told, settings, limits)
    lines = [f"{cls}: route {route.name} ({file}:{route.line_of('name')})"]
    lines += _values(route, told, rules, settings)
    return "\n".join([*lines, "", *_timeline(plan)])


def _values(route: Route, told: RequestClass, rules: RoutingRules, settings: Settings) -> list[str]:
    own = "the module's: the aim, doubled each time, the last to the end"
    again = "may-have-run" if told.retries_executed_attempts and told.idempotency != "once" else "never-ran"
    give_up_us = told.request_timeout_us or told.deadline_us
    lines = [
        f"  give-up        {format_ms(give_up_us)} (the client's: {format_ms(told.deadline_us)})",
        f"  attempts       {told.max_attempts} (the platform's: {settings.max_attempts})",
        f"  connect        {format_ms(told.connect_timeout_us or settings.connect_timeout_us)}",
        f"  attempt        {format_ms(told.attempt_timeout_us) if told.attempt_timeout_us else own}",
        f"  tried again    {again} (the class is {told.idempotency})",
    ]
    for name, budget in (("retry-budget", route.retry_budget), ("of the relay", rules.retry_budget)):
        if budget is not None:
            share = f"{budget.retry_ratio:.3g} of the first tries of {format_ms(budget.window_us)}"
            lines.append(f"  {name:<14} {share}, {budget.min_retries} in any case")
    for name, limits in (("limits", route.limits), ("of the relay", rules.limits)):
        stated = [
            f"open {limits.max_open}" if limits.max_open else "",
            f"set-ups a second {limits.max_setups_per_s:g}" if limits.max_setups_per_s else "",
            f"at one moment {limits.setup_burst}" if limits.setup_burst else "",
            f"set-ups at a backend {limits.max_setups_per_endpoint}"
            if limits.max_setups_per_endpoint
            else "",
        ]
        if any(stated):
            lines.append(f"  {name:<14} {', '.join(filter(None, stated))}")
    return lines


def _timeline(plan: Schedule) -> list[str]:
    steps = [(step.name, step.start_us, step.end_us) for step in plan.steps]
    steps.append(("to spare", plan.total_us, plan.request_timeout_us))
    lines = ["  the worst case"]
    for what, start, end in steps:
        left, right = (round(at * WIDTH / plan.request_timeout_us) for at in (start, end))
        bar = " " * left + ("." if what == "to spare" else "#") * (right - left)
        lines.append(f"  {what:<15} {format_ms(start):>9} {format_ms(end):>9}  |{bar:<{WIDTH}}|")
    kind = "" if plan.has_fixed_timeouts else "; the module divides what there is"
    total = f"{format_ms(plan.total_us)} of {format_ms(plan.request_timeout_us)}"
    return [*lines, f"  {total}, {format_ms(plan.slack_us)} to spare{kind}"]
