"""Reads the operators' file: from KDL to `RoutingRules` and `AddressRules`, reporting mistakes with lines.

Imported only if a file is named. docs/operators-file.md describes the format. `operators_routes` and
`operators_addresses` read its sections; `routing.route_checks` and `addresses.rules` check their values.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from gannetweir.addresses.rules import AddressRules, check_address_rules
from gannetweir.config.errors import ConfigError
from gannetweir.config.files import read_bytes
from gannetweir.config.kdl import KdlError, Node, parse_document
from gannetweir.config.kdl_forms import NodeForm, NodeReader, Property
from gannetweir.config.kdl_values import parse_count
from gannetweir.config.operators_addresses import AddressReader
from gannetweir.config.operators_routes import DEFAULT_ROUTE, RelaySection, RouteReader
from gannetweir.limits import Limits
from gannetweir.mistakes import Mistake
from gannetweir.placement.settings import Settings
from gannetweir.routing.route_checks import check_routing_rules
from gannetweir.routing.rules import Route, RoutingRules

VERSION = 1  # version of the file format
_TOP_NODES = ("gannetweir", "relay", "reach", "server", "route", DEFAULT_ROUTE)
_REPEATABLE_NODES = ("route", "server")
_VERSION = Property("version", parse_count)
_HEADER: NodeForm[object] = NodeForm(properties=(_VERSION,), required=(_VERSION,))


class OperatorsFileError(ConfigError):
    """An operators' file is invalid. The message has a line for each of the `mistakes`, in order of lines."""

    def __init__(self, mistakes: list[Mistake], file: str) -> None:
        super().__init__("\n".join(mistake.text(file) for mistake in mistakes))
        self.mistakes = mistakes


class OperatorsFile(NamedTuple):
    """The rules of a file. `address_rules` is None if the file has no section about addresses."""

    routing_rules: RoutingRules
    address_rules: AddressRules | None


class _DocumentReader:
    """Reads one document, section by section. Values with mistakes are left out of the rules."""

    def __init__(self) -> None:
        self._node_reader = NodeReader()
        self._address_reader = AddressReader(self._node_reader)
        self._route_reader = RouteReader(self._node_reader)
        self._relay = RelaySection()
        self._routes: list[Route] = []
        self._default: Route | None = None
        self._seen_names: set[str] = set()

    @property
    def mistakes(self) -> list[Mistake]:
        """All mistakes found so far, in the order of reading."""
        return self._node_reader.mistakes

    def read(self, nodes: list[Node]) -> OperatorsFile:
        """Read the top-level nodes of a document."""
        for node in nodes:
            if node.name not in _TOP_NODES:
                self._node_reader.report(node, node.name, "unknown", f"one of {', '.join(_TOP_NODES)}")
            elif node.name in self._seen_names and node.name not in _REPEATABLE_NODES:
                self._node_reader.report(node, node.name, "a second time", "once in a file")
            else:
                self._seen_names.add(node.name)
                self._read_section(node)
        if "gannetweir" not in self._seen_names:
            allowed = f"a first line `gannetweir version={VERSION}`"
            self.mistakes.append(Mistake(0, "gannetweir", "missing", allowed))
        routes = (*self._routes, self._default) if self._default is not None else tuple(self._routes)
        relay = self._relay
        rules = RoutingRules(routes, relay.retry_budget, relay.limits, relay.lines)
        return OperatorsFile(rules, self._address_reader.rules)

    def _read_section(self, node: Node) -> None:
        match node.name:
            case "gannetweir":
                self._read_header(node)
            case "reach":
                self._address_reader.read_connection_rules(node)
            case "server":
                self._address_reader.read_server(node)
            case "relay":
                self._relay = self._route_reader.read_relay(node)
            case "default":
                self._default = self._route_reader.read_default(node)
            case "route":
                self._read_route(node)

    def _read_header(self, node: Node) -> None:
        version = self._node_reader.read_values(node, "gannetweir", _HEADER).get(_VERSION)
        if version not in (None, VERSION):
            self._node_reader.report(node, "gannetweir version", f"found {version}", f"{VERSION}")

    def _read_route(self, node: Node) -> None:
        if self._default is not None:
            self._node_reader.report(node, "route", "after the default, which takes all", "the default last")
        self._routes.append(self._route_reader.read_route(node, len(self._routes) + 1))


def parse_routing_rules(
    text: str, settings: Settings | None = None, limits: Limits | None = None, with_lines: bool = False
) -> RoutingRules:
    """Return the routing rules of `parse_operators_file`."""
    return parse_operators_file(text, settings, limits, with_lines).routing_rules


def parse_operators_file(
    text: str,
    settings: Settings | None = None,
    limits: Limits | None = None,
    with_lines: bool = False,
    endpoint_names: Sequence[str] = (),
) -> OperatorsFile:
    """Return the rules in a file's text, checked against the platform's settings and limits if given.

    Patterns are tested on `endpoint_names`. Without `with_lines` the rules of a valid file have no line
    numbers. Raises `OperatorsFileError` with all mistakes and their lines; `load_operators_file` adds the
    name of the file.
    """
    reader = _DocumentReader()
    try:
        operators_file = reader.read(parse_document(text, with_lines))
    except KdlError as error:
        mistake = Mistake(error.line, "file", str(error), "a KDL document")
        raise OperatorsFileError([mistake], "") from error
    mistakes = [
        *reader.mistakes,
        *_route_mistakes(operators_file.routing_rules, settings, limits, reader.mistakes),
        *_address_mistakes(operators_file.address_rules, settings, endpoint_names),
    ]
    if mistakes and not with_lines:  # parse again to report the lines of the mistakes
        return parse_operators_file(text, settings, limits, True, endpoint_names)
    if mistakes:
        raise OperatorsFileError(sorted(mistakes, key=lambda mistake: mistake.line), "")
    return operators_file


def _route_mistakes(
    rules: RoutingRules, settings: Settings | None, limits: Limits | None, read_mistakes: list[Mistake]
) -> list[Mistake]:
    """Return the mistakes in the combination of all rules.

    A value that could not be read is missing from its route. The schedule of such a route would be
    misleading, as would every statement that a route is never reached, so neither is reported.
    """
    incomplete_routes = tuple(
        f"{route.title}, " for route in rules.routes if _concerns_route(read_mistakes, route)
    )
    mistakes = check_routing_rules(rules, settings, limits)
    if not incomplete_routes:
        return mistakes
    return [
        mistake
        for mistake in mistakes
        if not mistake.where.startswith(incomplete_routes) and not mistake.found.startswith("never reached")
    ]


def _concerns_route(mistakes: list[Mistake], route: Route) -> bool:
    return any(mistake.where.startswith((f"{route.title} ", f"{route.title}:")) for mistake in mistakes)


def _address_mistakes(
    rules: AddressRules | None, settings: Settings | None, endpoint_names: Sequence[str]
) -> list[Mistake]:
    if rules is None:
        return []
    connect_timeout_us = int(settings.connect_timeout_us) if settings is not None else 0
    return list(check_address_rules(rules, endpoint_names, connect_timeout_us))


def load_routing_rules(
    path: str, settings: Settings | None = None, limits: Limits | None = None, with_lines: bool = False
) -> RoutingRules:
    """Return the routing rules of `load_operators_file`."""
    return load_operators_file(path, settings, limits, with_lines).routing_rules


def load_operators_file(
    path: str,
    settings: Settings | None = None,
    limits: Limits | None = None,
    with_lines: bool = False,
    endpoint_names: Sequence[str] = (),
) -> OperatorsFile:
    """Return the rules of a file, as `parse_operators_file` does for a text.

    Raises `ConfigError` for a file that cannot be read, `OperatorsFileError` for an invalid one.
    """
    try:
        text = read_bytes(path).decode("utf-8")
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise ConfigError(f"{path}: not UTF-8: {error.reason} at byte {error.start}") from error
    try:
        return parse_operators_file(text, settings, limits, with_lines, endpoint_names)
    except OperatorsFileError as error:
        raise OperatorsFileError(error.mistakes, path) from error
