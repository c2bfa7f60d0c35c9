"""Reads the sections of an operators' file that route requests: `route`, `default` and `relay`.

docs/operators-file.md describes them. Values are checked one by one here, and in combination by
`gannetweir.routing.route_checks`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import TypeVar

from gannetweir.config.kdl import Node
from gannetweir.config.kdl_forms import NodeForm, NodeReader, NodeValues, Property
from gannetweir.config.kdl_values import (
    member_of,
    one_of,
    parse_count,
    parse_duration_us,
    parse_flag,
    parse_hex_prefix,
    parse_name,
    parse_percent,
    parse_rate,
)
from gannetweir.routing.rules import (
    BackoffKind,
    BackoffRule,
    ConnectionLimitRule,
    RetryBudgetRule,
    RetryOn,
    Route,
    RouteMatch,
)

T = TypeVar("T")

DEFAULT_ROUTE = "default"
# Messages and counters name these sections beside routes, so no route may have such a name.
_RESERVED_NAMES = (DEFAULT_ROUTE, "relay")

_DURATION = NodeForm(parse_duration_us)
_COUNT = NodeForm(parse_count)
_RETRY_ON = NodeForm(member_of(RetryOn))

_RATIO = Property("share", parse_percent)
_WINDOW = Property("window", parse_duration_us)
_FLOOR = Property("floor", parse_count)
_RETRY_BUDGET: NodeForm[object] = NodeForm(
    properties=(_RATIO, _WINDOW, _FLOOR), required=(_RATIO, _WINDOW, _FLOOR)
)

_OPEN = Property("open", parse_count)
_SETUPS_PER_SECOND = Property("setups-per-second", parse_rate)
_BURST = Property("burst", parse_count)
_SETUPS_AT_BACKEND = Property("setups-at-backend", parse_count)
_RELAY_LIMITS: NodeForm[object] = NodeForm(properties=(_OPEN, _SETUPS_PER_SECOND, _BURST))
_ROUTE_LIMITS: NodeForm[object] = NodeForm(properties=(*_RELAY_LIMITS.properties, _SETUPS_AT_BACKEND))

_INITIAL = Property("first", parse_duration_us)
_MAX = Property("max", parse_duration_us)
_JITTER = Property("jitter", one_of("none", "full"))
_WAIT = NodeForm(member_of(BackoffKind), properties=(_INITIAL, _MAX, _JITTER), required=(_INITIAL,))

_AFTER = Property("after", parse_duration_us)
_HEDGE: NodeForm[object] = NodeForm(properties=(_AFTER,), required=(_AFTER,))

_MATCH_FORMS: dict[str, NodeForm[str | bool]] = {
    "class": NodeForm(parse_name, allows_many=True),
    "group-prefix": NodeForm(parse_hex_prefix, allows_many=True),
    "key-prefix": NodeForm(parse_hex_prefix, allows_many=True),
    "again": NodeForm(parse_flag),
    "retry": NodeForm(parse_flag),
}
_DEFAULT_NODES = (
    "give-up",
    "connect",
    "attempt",
    "attempts",
    "wait",
    "retry-on",
    "hedge",
    "retry-budget",
    "limits",
)
_ROUTE_NODES = ("match", *_DEFAULT_NODES)


@dataclass(frozen=True, slots=True)
class RelaySection:
    """The limits of all routes together, and the line of each part."""

    retry_budget: RetryBudgetRule | None = None
    limits: ConnectionLimitRule = field(default_factory=ConnectionLimitRule)
    lines: Mapping[str, int] = field(default_factory=dict)


class RouteReader:
    """Reads routes and reports mistakes to the node reader."""

    def __init__(self, node_reader: NodeReader) -> None:
        self._node_reader = node_reader

    def read_relay(self, node: Node) -> RelaySection:
        """Read the limits of all routes together."""
        self._node_reader.check_block_only(node, "relay")
        children = self._node_reader.read_block(node, "relay", ("retry-budget", "limits"))
        return RelaySection(
            self._read_retry_budget(children, "relay"),
            self._read_limits(children, "relay", _RELAY_LIMITS),
            _lines_by_name(children.values()),
        )

    def read_route(self, node: Node, number: int) -> Route:
        """Read a route; `number` replaces a missing or invalid name in messages."""
        name = self._node_reader.parse_only_argument(node, "route", parse_name)
        if name in _RESERVED_NAMES:
            self._node_reader.report(node, "route", f"the name {name!r}", "a name that is not reserved")
        if name == DEFAULT_ROUTE:
            return self.read_default(node)
        name = name or f"#{number}"
        where = f"route {name}"
        if node.properties:
            self._node_reader.report(node, where, "found values", "its name only")
        children = self._node_reader.read_block(node, where, _ROUTE_NODES)
        if "match" not in children:
            allowed = "a match block; what takes all is the default"
            self._node_reader.report(node, where, "match is missing", allowed)
        return self._read_body(node, name, where, children)

    def read_default(self, node: Node) -> Route:
        """Read the default route, which takes the requests that no other route takes."""
        self._node_reader.check_block_only(node, DEFAULT_ROUTE)
        children = self._node_reader.read_block(node, DEFAULT_ROUTE, _DEFAULT_NODES)
        return self._read_body(node, DEFAULT_ROUTE, DEFAULT_ROUTE, children)

    def _read_body(self, node: Node, name: str, where: str, children: Mapping[str, Node]) -> Route:
        # Mistakes in the same line are reported in the order in which the parts are read here.
        request_timeout_us = self._read_single(children, "give-up", where, _DURATION)
        connect_timeout_us = self._read_single(children, "connect", where, _DURATION)
        attempt_timeout_us = self._read_single(children, "attempt", where, _DURATION)
        max_attempts = self._read_single(children, "attempts", where, _COUNT)
        retry_on = self._read_single(children, "retry-on", where, _RETRY_ON)
        lines = {"": node.line, "name": node.line} | _lines_by_name(children.values())
        if "match" in children:
            lines |= _lines_by_name(children["match"].children)
        return Route(
            name,
            hedge_after_us=self._read_hedge(children, where),
            match=self._read_match(children, where),
            request_timeout_us=request_timeout_us or 0,
            connect_timeout_us=connect_timeout_us or 0,
            attempt_timeout_us=attempt_timeout_us or 0,
            max_attempts=max_attempts or 0,
            backoff=self._read_backoff(children, where),
            retry_on=retry_on,
            retry_budget=self._read_retry_budget(children, where),
            limits=self._read_limits(children, where, _ROUTE_LIMITS),
            lines=lines,
        )

    def _read_single(
        self, children: Mapping[str, Node], name: str, where: str, form: NodeForm[T]
    ) -> T | None:
        """Return the only value of a child; None if the child is missing or its value invalid."""
        if name not in children:
            return None
        return self._node_reader.read_values(children[name], f"{where} {name}", form).single

    def _read_hedge(self, children: Mapping[str, Node], where: str) -> int:
        if "hedge" not in children:
            return 0
        return self._node_reader.read_values(children["hedge"], f"{where} hedge", _HEDGE).get(_AFTER) or 0

    def _read_match(self, route_children: Mapping[str, Node], route_where: str) -> RouteMatch:
        if "match" not in route_children:
            return RouteMatch()
        node = route_children["match"]
        where = f"{route_where} match"
        self._node_reader.check_block_only(node, where)
        children = self._node_reader.read_block(node, where, _MATCH_FORMS)
        if not node.children:
            self._node_reader.report(
                node, where, "empty", "what the route takes; what takes all is the default"
            )
        conditions: dict[str, NodeValues[str | bool]] = {
            name: self._node_reader.read_values(child, f"{where} {name}", _MATCH_FORMS[name])
            for name, child in children.items()
        }
        return RouteMatch(
            classes=_texts(conditions, "class"),
            group_prefixes=_texts(conditions, "group-prefix"),
            key_prefixes=_texts(conditions, "key-prefix"),
            client_returning=_flag(conditions, "again"),
            client_retry=_flag(conditions, "retry"),
        )

    def _read_backoff(self, children: Mapping[str, Node], route_where: str) -> BackoffRule | None:
        if "wait" not in children:
            return None
        node = children["wait"]
        where = f"{route_where} wait"
        values = self._node_reader.read_values(node, where, _WAIT)
        kind = values.single
        initial_us = values.get(_INITIAL)
        if kind is None or initial_us is None:
            return None
        max_us = values.get(_MAX)
        if kind is not BackoffKind.EXPONENTIAL and max_us is not None:
            self._node_reader.report(node, where, "max", 'max only with "exponential"')
        full_jitter = values.get(_JITTER) == "full"
        if kind is BackoffKind.EVERY and full_jitter:
            allowed = 'no jitter with "every": it would let attempts overlap'
            self._node_reader.report(node, where, 'jitter "full"', allowed)
            return None
        return BackoffRule(kind, initial_us, max_us or 0, full_jitter)

    def _read_retry_budget(self, children: Mapping[str, Node], where: str) -> RetryBudgetRule | None:
        """Return the retry budget; None if it is missing or incomplete."""
        if "retry-budget" not in children:
            return None
        values = self._node_reader.read_values(
            children["retry-budget"], f"{where} retry-budget", _RETRY_BUDGET
        )
        retry_ratio = values.get(_RATIO)
        window_us = values.get(_WINDOW)
        min_retries = values.get(_FLOOR)
        if retry_ratio is None or window_us is None or min_retries is None:
            return None
        return RetryBudgetRule(retry_ratio, window_us, min_retries)

    def _read_limits(
        self, children: Mapping[str, Node], where: str, form: NodeForm[object]
    ) -> ConnectionLimitRule:
        """Return the connection limits; a limit that is not stated is 0."""
        if "limits" not in children:
            return ConnectionLimitRule()
        node = children["limits"]
        values = self._node_reader.read_values(node, f"{where} limits", form)
        if not node.properties:
            names = ", ".join(known.name for known in form.properties)
            self._node_reader.report(node, f"{where} limits", "empty", f"one of {names}")
        return ConnectionLimitRule(
            max_open=values.get(_OPEN) or 0,
            max_setups_per_s=values.get(_SETUPS_PER_SECOND) or 0.0,
            setup_burst=values.get(_BURST) or 0,
            max_setups_per_endpoint=values.get(_SETUPS_AT_BACKEND) or 0,
        )


def _texts(conditions: Mapping[str, NodeValues[str | bool]], name: str) -> tuple[str, ...]:
    if name not in conditions:
        return ()
    return tuple(text for text in conditions[name].arguments if isinstance(text, str))


def _flag(conditions: Mapping[str, NodeValues[str | bool]], name: str) -> bool | None:
    flag = conditions[name].single if name in conditions else None
    return flag if isinstance(flag, bool) else None


def _lines_by_name(nodes: Iterable[Node]) -> dict[str, int]:
    return {node.name: node.line for node in nodes}
