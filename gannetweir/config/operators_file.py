"""The operators' file: KDL in, `RoutingRules` out, and every mistake of types, units and names with its line.

Loaded only where a file is named. docs/operators-file.md describes the form, `route_checks` judges it.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Any

from gannetweir.addresses.address import FAMILIES
from gannetweir.addresses.rules import AddressRules, EndpointRule
from gannetweir.addresses.rules import check_address_rules as check_reach
from gannetweir.config.errors import ConfigError
from gannetweir.config.files import read_bytes
from gannetweir.config.kdl import KdlError, Node, parse_document
from gannetweir.limits import Limits
from gannetweir.placement.settings import Settings
from gannetweir.routing.route_checks import check_routing_rules
from gannetweir.routing.rules import (
    HEX_DIGITS,
    BackoffRule,
    ConnectionLimitRule,
    Mistake,
    RetryBudgetRule,
    Route,
    RouteMatch,
    RoutingRules,
)

VERSION = 1
_UNITS = {"us": 1, "ms": 1000, "s": 1_000_000, "m": 60_000_000}
_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(us|ms|s|m)")
_PERCENT = re.compile(r"([0-9]+(?:\.[0-9]+)?)%")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")
_LONGEST_US = 3_600_000_000


class OperatorsFileError(ConfigError):
    """All that is wrong with an operators' file, a line each."""

    def __init__(self, mistakes: list[Mistake], file: str) -> None:
        super().__init__("\n".join(mistake.text(file) for mistake in mistakes))
        self.mistakes = mistakes


# ---- values: each reader returns the value, or says what is allowed


class _WrongError(ValueError):
    """What would be allowed."""


def parse_duration_us(value: Any) -> int:
    """`"250ms"`, `"2s"`, `"1.5s"`, `"10m"`, `"900us"`: microseconds, over 0."""
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise _WrongError('a time with its unit, as "250ms" or "2s"')
    us = float(match[1]) * _UNITS[match[2]]
    if not 1 <= us <= _LONGEST_US:
        raise _WrongError('a time over 0, at most "60m"')
    return round(us)


def count(value: Any) -> int:
    """A whole number over 0."""
    if type(value) is not int or not 0 < value <= 1_000_000_000:
        raise _WrongError("a whole number over 0")
    return value


def rate(value: Any) -> float:
    """A number over 0."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _WrongError("a number over 0")
    if not math.isfinite(value) or not 0 < value <= 1e9:
        raise _WrongError("a finite number over 0")
    return float(value)


def share(value: Any) -> float:
    """`"20%"`: over 0%, at most 100%."""
    match = _PERCENT.fullmatch(value) if isinstance(value, str) else None
    if match is None or not 0.0 < float(match[1]) <= 100.0:
        raise _WrongError('a share over "0%", at most "100%"')
    return float(match[1]) / 100.0


def flag(value: Any) -> bool:
    """`#true` or `#false`."""
    if not isinstance(value, bool):
        raise _WrongError("#true or #false")
    return value


def name(value: Any) -> str:
    """A name."""
    if not isinstance(value, str) or not _NAME.fullmatch(value):
        raise _WrongError("a name of letters, digits, - _ or .")
    return value


def prefix(value: Any) -> str:
    """The first hex digits of a group or a key."""
    text = value.lower() if isinstance(value, str) else ""
    if not re.fullmatch(f"[0-9a-f]{{1,{HEX_DIGITS}}}", text):
        raise _WrongError(f'1 to {HEX_DIGITS} hex digits in quotes, as "5c0f"')
    return text


def text(value: Any) -> str:
    """Text of some length."""
    if not isinstance(value, str) or not 0 < len(value) <= 200:
        raise _WrongError("a text of 1 to 200 characters")
    return value


def word(*words: str) -> Callable[[Any], str]:
    """One of these words."""

    def read_word(value: Any) -> str:
        if value not in words or not isinstance(value, str):
            raise _WrongError("one of " + ", ".join(f'"{w}"' for w in words))
        return value

    return read_word


# ---- nodes


@dataclass(frozen=True, slots=True)
class Form:
    """What a node may hold: values of one kind, named values, and which of those must be there."""

    value: Callable[[Any], Any] | None = None
    many: bool = False
    props: tuple[tuple[str, Callable[[Any], Any]], ...] = ()
    needed: tuple[str, ...] = ()


BUDGET = Form(
    props=(("share", share), ("window", parse_duration_us), ("floor", count)),
    needed=("share", "window", "floor"),
)
RELAY_LIMITS = Form(props=(("open", count), ("setups-per-second", rate), ("burst", count)))
LIMITS = Form(props=(*RELAY_LIMITS.props, ("setups-at-backend", count)))
MATCH = {
    "class": Form(name, many=True),
    "group-prefix": Form(prefix, many=True),
    "key-prefix": Form(prefix, many=True),
    "again": Form(flag),
    "retry": Form(flag),
}
WAIT = Form(
    word("fixed", "exponential", "every"),
    props=(("first", parse_duration_us), ("max", parse_duration_us), ("jitter", word("none", "full"))),
    needed=("first",),
)
TIMING = {
    "give-up": Form(parse_duration_us),
    "connect": Form(parse_duration_us),
    "attempt": Form(parse_duration_us),
    "attempts": Form(count),
    "wait": WAIT,
    "retry-on": Form(word("never-ran", "may-have-run")),
    "hedge": Form(props=(("after", parse_duration_us),), needed=("after",)),
    "retry-budget": BUDGET,
    "limits": LIMITS,
}
REACH = {
    "prefer": Form(word(*FAMILIES), many=True),
    "fallback": Form(parse_duration_us),
    "mend": Form(parse_duration_us),
}
SERVER = {"address": Form(text, many=True), "dial": Form(flag)}
TOP = ("gannetweir", "relay", "reach", "server", "route", "default")


def _shown(value: Any) -> str:
    if isinstance(value, bool) or value is None:
        return f"#{str(value).lower()}".replace("#none", "#null")
    return f'"{value[:60]}"' if isinstance(value, str) else f"{value!r}"[:60]


def _lines(nodes: Iterable[Node]) -> dict[str, int]:
    return {node.name: node.line for node in nodes}


class _Reader:
    """Reads one document; goes on after a mistake, so that all of them are found."""

    def __init__(self) -> None:
        self.mistakes: list[Mistake] = []
        self.reach: AddressRules | None = None

    def wrong(self, node: Node, where: str, found: str, allowed: str) -> None:
        """Note one mistake."""
        self.mistakes.append(Mistake(node.line, where, found, allowed))

    def value(self, node: Node, where: str, kind: Callable[[Any], Any], value: Any) -> Any:
        """A value that fits, or None."""
        try:
            return kind(value)
        except _WrongError as wrong:
            self.wrong(node, where, f"found {_shown(value)}", str(wrong))
        return None

    def node(self, node: Node, where: str, form: Form) -> tuple[list[Any], dict[str, Any]]:
        """The values and named values of a node that has no children."""
        if node.children:
            self.wrong(node, where, "found a block", "no block here")
        if form.value is None and node.arguments:
            self.wrong(node, where, f"found {_shown(node.arguments[0])}", "named values only, as name=value")
        elif form.value is not None and (not node.arguments or (len(node.arguments) > 1 and not form.many)):
            self.wrong(
                node, where, f"{len(node.arguments)} values", "one or more" if form.many else "one value"
            )
        values = []
        if form.value is not None:
            values = [
                v for arg in node.arguments if (v := self.value(node, where, form.value, arg)) is not None
            ]
        if form.many and len(set(map(str, values))) < len(values):
            self.wrong(node, where, "the same value twice", "each value once")
        kinds, props = dict(form.props), {}
        for key, given in node.properties.items():
            if key not in kinds:
                allowed = f"one of {', '.join(kinds)}" if kinds else "no named values here"
                self.wrong(node, where, f"unknown name {key!r}", allowed)
            elif (v := self.value(node, f"{where} {key}", kinds[key], given)) is not None:
                props[key] = v
        for key in form.needed:
            if key not in node.properties:
                self.wrong(node, where, f"{key} is missing", f"{', '.join(form.needed)}")
        return values, props

    def block(self, node: Node, where: str, forms: dict[str, Form]) -> dict[str, Node]:
        """The children by name: each known, and there once."""
        found: dict[str, Node] = {}
        for child in node.children:
            if child.name not in forms:
                self.wrong(child, f"{where} {child.name}", "unknown", f"one of {', '.join(forms)}")
            elif child.name in found:
                self.wrong(child, f"{where} {child.name}", "a second time", "once in a block")
            else:
                found[child.name] = child
        return found

    # ---- the document

    def rules(self, nodes: list[Node]) -> RoutingRules:
        """The whole of it; what has mistakes is left out."""
        routes: list[Route] = []
        default: Route | None = None
        budget, limits, lines = None, ConnectionLimitRule(), dict[str, int]()
        seen: set[str] = set()
        for node in nodes:
            if node.name not in TOP:
                self.wrong(node, node.name, "unknown", f"one of {', '.join(TOP)}")
                continue
            if node.name not in ("route", "server") and node.name in seen:
                self.wrong(node, node.name, "a second time", "once in a file")
                continue
            seen.add(node.name)
            if node.name == "gannetweir":
                form = Form(props=(("version", count),), needed=("version",))
                _, props = self.node(node, "gannetweir", form)
                if props.get("version", VERSION) != VERSION:
                    self.wrong(node, "gannetweir version", f"found {props['version']}", f"{VERSION}")
            elif node.name == "reach":
                self.ways(node)
            elif node.name == "server":
                self.server(node)
            elif node.name == "relay":
                budget, limits, lines = self.relay(node)
            elif node.name == "default":
                default = self.route(node, "default")
            else:
                if default is not None:
                    self.wrong(node, "route", "after the default, which takes all", "the default last")
                named = self.value(
                    node, "route", name, node.arguments[0] if len(node.arguments) == 1 else None
                )
                if named in ("default", "relay"):
                    self.wrong(node, "route", f"the name {named!r}", "a name of its own")
                routes.append(self.route(node, named or f"#{len(routes) + 1}"))
            if node.name in ("reach", "server"):
                self.reach = self.reach or AddressRules()
        if "gannetweir" not in seen:
            allowed = f"a first line `gannetweir version={VERSION}`"
            self.mistakes.append(Mistake(0, "gannetweir", "missing", allowed))
        if default is not None:
            routes.append(default)
        return RoutingRules(tuple(routes), budget, limits, lines)

    def ways(self, node: Node) -> None:
        """How servers with several addresses are reached."""
        if node.arguments or node.properties:
            self.wrong(node, "reach", "found values", "a block only")
        found = self.block(node, "reach", REACH)
        got = {key: self.node(child, f"reach {key}", REACH[key])[0] for key, child in found.items()}
        base = self.reach or AddressRules()
        self.reach = replace(
            base,
            family_preference=tuple(got.get("prefer") or base.family_preference),
            connection_attempt_delay_us=(got.get("fallback") or [base.connection_attempt_delay_us])[0],
            max_backoff_us=(got.get("mend") or [base.max_backoff_us])[0],
        )

    def server(self, node: Node) -> None:
        """The addresses of a server, or of all that a pattern means."""
        named = self.value(node, "server", text, node.arguments[0] if len(node.arguments) == 1 else None)
        where = f"server {named}" if named else "server"
        if node.properties:
            self.wrong(node, where, "found values", "its name only")
        found = self.block(node, where, SERVER)
        got = {key: self.node(child, f"{where} {key}", SERVER[key])[0] for key, child in found.items()}
        rule = EndpointRule(
            named or "", tuple(got.get("address") or ()), (got.get("dial") or [True])[0], node.line
        )
        base = self.reach or AddressRules()
        self.reach = replace(
            base, endpoint_rules=(*base.endpoint_rules, rule) if named else base.endpoint_rules
        )

    def relay(self, node: Node) -> tuple[RetryBudgetRule | None, ConnectionLimitRule, dict[str, int]]:
        """What holds for all routes together."""
        if node.arguments or node.properties:
            self.wrong(node, "relay", "found values", "a block only")
        found = self.block(node, "relay", {"retry-budget": BUDGET, "limits": RELAY_LIMITS})
        lines = {key: child.line for key, child in found.items()}
        return self.budget(found, "relay"), self.limits(found, "relay", RELAY_LIMITS), lines

    def route(self, node: Node, named: str) -> Route:
        """One route or the default."""
        where = named if named == "default" else f"route {named}"
        if node.properties or (named == "default" and node.arguments):
            self.wrong(node, where, "found values", "its name only" if named != "default" else "a block only")
        forms = TIMING if named == "default" else {"match": Form()} | TIMING
        found = self.block(node, where, forms)
        if named != "default" and "match" not in found:
            self.wrong(node, where, "match is missing", "a match block; what takes all is the default")
        one: dict[str, Any] = {}
        for key in ("give-up", "connect", "attempt", "attempts", "retry-on"):
            if key in found:
                values, _ = self.node(found[key], f"{where} {key}", TIMING[key])
                one[key] = values[0] if values else None
        hedge = self.node(found["hedge"], f"{where} hedge", TIMING["hedge"])[1] if "hedge" in found else {}
        match = self.match(found["match"], where) if "match" in found else RouteMatch()
        return Route(
            named,
            match,
            request_timeout_us=one.get("give-up") or 0,
            connect_timeout_us=one.get("connect") or 0,
            attempt_timeout_us=one.get("attempt") or 0,
            max_attempts=one.get("attempts") or 0,
            backoff=self.wait(found["wait"], f"{where} wait") if "wait" in found else None,
            retry_on=one.get("retry-on") or "",
            hedge_after_us=hedge.get("after", 0),
            retry_budget=self.budget(found, where),
            limits=self.limits(found, where, LIMITS),
            lines={"": node.line, "name": node.line}
            | _lines(found.values())
            | _lines(found["match"].children if "match" in found else ()),
        )

    def match(self, node: Node, where: str) -> RouteMatch:
        """What a route takes."""
        where = f"{where} match"
        if node.arguments or node.properties:
            self.wrong(node, where, "found values", "a block only")
        found = self.block(node, where, MATCH)
        if not node.children:
            self.wrong(node, where, "empty", "what the route takes; what takes all is the default")
        got = {key: self.node(child, f"{where} {key}", MATCH[key])[0] for key, child in found.items()}
        again, retry = ((got.get(key) or [None])[0] for key in ("again", "retry"))
        return RouteMatch(
            tuple(got.get("class", ())),
            tuple(got.get("group-prefix", ())),
            tuple(got.get("key-prefix", ())),
            again,
            retry,
        )

    def wait(self, node: Node, where: str) -> BackoffRule | None:
        """The waits between attempts."""
        values, props = self.node(node, where, WAIT)
        if not values or "first" not in props:
            return None
        if values[0] != "exponential" and "max" in props:
            self.wrong(node, where, "max", 'max only with "exponential"')
        if values[0] == "every" and props.get("jitter") == "full":
            self.wrong(node, where, 'jitter "full"', 'no jitter with "every": it would let attempts overlap')
            return None
        return BackoffRule(values[0], props["first"], props.get("max", 0), props.get("jitter") == "full")

    def budget(self, found: dict[str, Node], where: str) -> RetryBudgetRule | None:
        """A retry budget, if one is stated whole."""
        if "retry-budget" not in found:
            return None
        _, props = self.node(found["retry-budget"], f"{where} retry-budget", BUDGET)
        return RetryBudgetRule(props["share"], props["window"], props["floor"]) if len(props) == 3 else None

    def limits(self, found: dict[str, Node], where: str, form: Form) -> ConnectionLimitRule:
        """Limits, as far as they are stated."""
        if "limits" not in found:
            return ConnectionLimitRule()
        _, props = self.node(found["limits"], f"{where} limits", form)
        if not props and not found["limits"].properties:
            self.wrong(found["limits"], f"{where} limits", "empty", f"one of {', '.join(dict(form.props))}")
        return ConnectionLimitRule(
            props.get("open", 0),
            props.get("setups-per-second", 0.0),
            props.get("burst", 0),
            props.get("setups-at-backend", 0),
        )


def parse_routing_rules(
    text: str, settings: Settings | None = None, limits: Limits | None = None, with_lines: bool = False
) -> RoutingRules:
    """The timing of `read_file`."""
    return parse_operators_file(text, settings, limits, with_lines)[0]


def parse_operators_file(
    text: str,
    settings: Settings | None = None,
    limits: Limits | None = None,
    with_lines: bool = False,
    endpoint_names: Sequence[str] = (),
) -> tuple[RoutingRules, AddressRules | None]:
    """A file's rules, checked with the platform's settings where they are given; `OperatorsError` otherwise,
    with all mistakes and their lines. Without `lines` the rules of a good file do not know theirs. The file's
    name is put in by `load_operators_file`.
    """
    reader = _Reader()
    try:
        rules = reader.rules(parse_document(text, with_lines))
    except KdlError as error:
        raise OperatorsFileError([Mistake(error.line, "file", str(error), "a KDL document")], "") from None
    # what could not be read is left out of the rules: sums over it, and who is reached, would mislead
    lacking = tuple(
        f"{route.title}, "
        for route in rules.routes
        if any(m.where.startswith((f"{route.title} ", f"{route.title}:")) for m in reader.mistakes)
    )
    mistakes = reader.mistakes + [
        m
        for m in check_routing_rules(rules, settings, limits)
        if not lacking or not (m.where.startswith(lacking) or m.found.startswith("never reached"))
    ]
    if reader.reach is not None:
        connect_us = int(settings.connect_timeout_us) if settings is not None else 0
        mistakes += [Mistake(*problem) for problem in check_reach(reader.reach, endpoint_names, connect_us)]
    if mistakes and not with_lines:
        return parse_operators_file(
            text, settings, limits, True, endpoint_names
        )  # to complain with the lines
    if mistakes:
        raise OperatorsFileError(sorted(mistakes, key=lambda m: m.line), "")
    return rules, reader.reach


def load_routing_rules(
    path: str, settings: Settings | None = None, limits: Limits | None = None, with_lines: bool = False
) -> RoutingRules:
    """The timing of `load_operators_file`."""
    return load_operators_file(path, settings, limits, with_lines)[0]


def load_operators_file(
    path: str,
    settings: Settings | None = None,
    limits: Limits | None = None,
    with_lines: bool = False,
    endpoint_names: Sequence[str] = (),
) -> tuple[RoutingRules, AddressRules | None]:
    """`parse_operators_file` from a file."""
    try:
        text = read_bytes(path).decode("utf-8")
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise ConfigError(f"{path}: not UTF-8: {error.reason} at byte {error.start}") from None
    try:
        return parse_operators_file(text, settings, limits, with_lines, endpoint_names)
    except OperatorsFileError as error:
        raise OperatorsFileError(error.mistakes, path) from None
