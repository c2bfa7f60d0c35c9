"""Forms that state which values a node of an operators' file may have, and the reader that checks nodes.

The reader continues after a mistake, so that one run reports all of them. It owns the list of mistakes.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar, cast

from gannetweir.config.kdl import KdlValue, Node
from gannetweir.config.kdl_values import ValueFormatError, format_value
from gannetweir.mistakes import Mistake

T = TypeVar("T")
T_co = TypeVar("T_co", covariant=True)


@dataclass(frozen=True, slots=True)
class Property(Generic[T_co]):
    """A property that a node may have, such as `share="20%"`, and the parser of its value."""

    name: str
    parse: Callable[[KdlValue], T_co]


@dataclass(frozen=True, slots=True)
class NodeForm(Generic[T_co]):
    """The values that a node without children may have: arguments of one kind, and properties."""

    argument: Callable[[KdlValue], T_co] | None = None
    allows_many: bool = False
    properties: tuple[Property[object], ...] = ()
    required: tuple[Property[object], ...] = ()


class NodeValues(NamedTuple, Generic[T_co]):
    """The parsed values of a node. Invalid values have been reported and are left out."""

    arguments: tuple[T_co, ...]
    properties: Mapping[str, object]

    @property
    def single(self) -> T_co | None:
        """The first valid argument; None if there is none."""
        return self.arguments[0] if self.arguments else None

    def get(self, wanted: Property[T]) -> T | None:
        """Return the value of a property; None if it is missing or invalid."""
        return cast("T | None", self.properties.get(wanted.name))


class NodeReader:
    """Reads nodes by their forms and collects the mistakes of one document."""

    def __init__(self) -> None:
        self.mistakes: list[Mistake] = []

    def report(self, node: Node, where: str, found: str, allowed: str) -> None:
        """Record a mistake."""
        self.mistakes.append(Mistake(node.line, where, found, allowed))

    def parse(self, node: Node, where: str, parse: Callable[[KdlValue], T], value: KdlValue) -> T | None:
        """Return a parsed value; record a mistake and return None if the value is invalid."""
        try:
            return parse(value)
        except ValueFormatError as error:
            self.report(node, where, f"found {format_value(value)}", str(error))
        return None

    def parse_only_argument(self, node: Node, where: str, parse: Callable[[KdlValue], T]) -> T | None:
        """Return the only argument of a node that may also have a block, such as the name of a route."""
        return self.parse(node, where, parse, node.arguments[0] if len(node.arguments) == 1 else None)

    def read_values(self, node: Node, where: str, form: NodeForm[T]) -> NodeValues[T]:
        """Return the values of a node that may not have children."""
        if node.children:
            self.report(node, where, "found a block", "no block here")
        arguments = self._read_arguments(node, where, form)
        properties = self._read_properties(node, where, form)
        for required in form.required:
            if required.name not in node.properties:
                allowed = ", ".join(other.name for other in form.required)
                self.report(node, where, f"{required.name} is missing", allowed)
        return NodeValues(arguments, properties)

    def read_block(self, node: Node, where: str, names: Collection[str]) -> dict[str, Node]:
        """Return the children of a node by name; record a mistake for an unknown or repeated name."""
        children: dict[str, Node] = {}
        for child in node.children:
            if child.name not in names:
                self.report(child, f"{where} {child.name}", "unknown", f"one of {', '.join(names)}")
            elif child.name in children:
                self.report(child, f"{where} {child.name}", "a second time", "once in a block")
            else:
                children[child.name] = child
        return children

    def check_block_only(self, node: Node, where: str) -> None:
        """Record a mistake if a node has values beside its block."""
        if node.arguments or node.properties:
            self.report(node, where, "found values", "a block only")

    def _read_arguments(self, node: Node, where: str, form: NodeForm[T]) -> tuple[T, ...]:
        if form.argument is None:
            if node.arguments:
                found = f"found {format_value(node.arguments[0])}"
                self.report(node, where, found, "named values only, as name=value")
            return ()
        if not node.arguments or (len(node.arguments) > 1 and not form.allows_many):
            allowed = "one or more" if form.allows_many else "one value"
            self.report(node, where, f"{len(node.arguments)} values", allowed)
        parsed = [self.parse(node, where, form.argument, argument) for argument in node.arguments]
        arguments = tuple(argument for argument in parsed if argument is not None)
        if form.allows_many and len(set(map(str, arguments))) < len(arguments):
            self.report(node, where, "the same value twice", "each value once")
        return arguments

    def _read_properties(self, node: Node, where: str, form: NodeForm[T]) -> dict[str, object]:
        if not node.properties:
            return {}
        known = {known.name: known for known in form.properties}
        properties: dict[str, object] = {}
        for name, value in node.properties.items():
            if name not in known:
                allowed = f"one of {', '.join(known)}" if known else "no named values here"
                self.report(node, where, f"unknown name {name!r}", allowed)
                continue
            parsed = self.parse(node, f"{where} {name}", known[name].parse, value)
            if parsed is not None:
                properties[name] = parsed
        return properties
