"""Parses a KDL document into nodes with line numbers.

`ckdl` parses the document but reports no positions, so `kdl_lines` scans the text for the start of each node.
The results are compared node by node: where they disagree, nodes have no line rather than a wrong one.
Source: https://kdl.dev, version 2 of the language.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import ckdl

from gannetweir.config.kdl_lines import NodeStart, scan_node_starts
from gannetweir.errors import GannetweirError

if TYPE_CHECKING:
    from typing import Protocol

    class _ParsedNode(Protocol):
        """The attributes used of a `ckdl` node; ckdl has no type annotations."""

        name: str
        args: list[KdlValue]
        properties: dict[str, KdlValue]
        children: list[_ParsedNode]


KdlValue = str | int | float | bool | None

MAX_DOCUMENT_BYTES = 1 << 20  # far larger than files written by hand; bounds the memory for parsing
MAX_LINE_CHARACTERS = 2000  # ckdl's time grows with the square of the digits of a number
MAX_NODE_DEPTH = 16  # ckdl and `_build_node` recurse: a deep document would crash the process
_NO_LINE = -1  # marks a node for which parser and scan disagree


class KdlError(GannetweirError, ValueError):
    """The document is invalid. `line` is the line of the mistake, 0 if it is not known."""

    def __init__(self, text: str, line: int = 0) -> None:
        super().__init__(text)
        self.line = line


@dataclass(slots=True)
class Node:
    """A node of a document. `line` is the line where the node begins, 0 if it is not known."""

    name: str
    arguments: list[Any]  # `KdlValue`; the lab's readers of experiments check the types themselves
    properties: dict[str, Any]
    children: list[Node] = field(default_factory=list)
    line: int = 0


def parse_document(text: str, with_lines: bool = True) -> list[Node]:
    """Return the top-level nodes of a document.

    Size, line length and depth are checked first. Finding the lines takes as long as all other work: a start
    parses without them, and parses again with them only to report mistakes. Raises `KdlError`.
    """
    _check_size(text)
    starts: list[NodeStart] = []
    if with_lines or _max_brace_depth(text) > MAX_NODE_DEPTH:
        starts, depth = scan_node_starts(text)
        if depth > MAX_NODE_DEPTH:
            raise KdlError(f"nodes within nodes {depth} deep; at most {MAX_NODE_DEPTH}")
    try:
        document = ckdl.parse(text, version=2)
    except (ckdl.ParseError, ValueError, OverflowError) as error:
        raise KdlError(f"not KDL: {error}", _line_of_error(text)) from error
    remaining_starts = iter(starts)
    nodes = [_build_node(node, remaining_starts) for node in document.nodes]
    all_starts_used = next(remaining_starts, None) is None
    lines_agree = with_lines and all_starts_used and all(node.line != _NO_LINE for node in _all_nodes(nodes))
    if not lines_agree:
        for node in _all_nodes(nodes):
            node.line = 0
    return nodes


def _check_size(text: str) -> None:
    if len(text.encode("utf-8", "surrogatepass")) > MAX_DOCUMENT_BYTES:
        raise KdlError(f"over {MAX_DOCUMENT_BYTES} bytes")
    for number, line in enumerate(text.split("\n"), 1):
        if len(line) > MAX_LINE_CHARACTERS:
            raise KdlError(f"a line of {len(line)} characters; at most {MAX_LINE_CHARACTERS}", number)


def _max_brace_depth(text: str) -> int:
    """Return an upper bound of the nodes' depth: braces in strings and comments count, too."""
    depth = 0
    max_depth = 0
    for brace in re.findall("[{}]", text):
        depth += 1 if brace == "{" else -1
        max_depth = max(max_depth, depth)
    return max_depth


def _build_node(node: _ParsedNode, starts: Iterator[NodeStart]) -> Node:
    start = next(starts, None)
    line = start.line if start is not None and start.name == node.name else _NO_LINE
    arguments = [_plain_value(argument) for argument in node.args]
    properties = {key: _plain_value(value) for key, value in node.properties.items()}
    parsed = Node(node.name, arguments, properties, [], line)
    parsed.children = [_build_node(child, starts) for child in node.children]
    return parsed


def _plain_value(value: KdlValue) -> KdlValue:
    """Return a value without its type annotation, which no caller uses."""
    plain: KdlValue = value.value if isinstance(value, ckdl.Value) else value
    return plain


def _all_nodes(nodes: list[Node]) -> Iterator[Node]:
    for node in nodes:
        yield node
        yield from _all_nodes(node.children)


def _line_of_error(text: str) -> int:
    """Return the first line at which the text so far can no longer be continued to a valid document."""
    lines = text.split("\n")
    low = 0
    high = len(lines)
    while high - low > 1:
        middle = (low + high) // 2
        if _is_broken("\n".join(lines[:middle]) + "\n"):
            high = middle
        else:
            low = middle
    return high


def _is_broken(text: str) -> bool:
    """Return whether ckdl finds a mistake in the text other than an early end."""
    try:
        ckdl.parse(text, version=2)
    except ckdl.ParseError as error:
        return "end of data" not in str(error)
    return False
