"""A KDL document as nodes that know their lines.

`ckdl` reads the document; it tells no positions, so a scan of the text finds where each node begins. The two
are held against each other node by node: where they do not agree, nodes have no line rather than a wrong one.
Source: https://kdl.dev, version 2 of the language.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import ckdl

MAX_DOCUMENT_BYTES = 1 << 20
MAX_LINE_CHARACTERS = 2000  # characters; ckdl takes time that grows with the square of a number's digits
MAX_NODE_DEPTH = 16


class KdlError(ValueError):
    """What is wrong with the document, and the line; 0 where it is not known."""

    def __init__(self, text: str, line: int = 0) -> None:
        super().__init__(text)
        self.line = line


@dataclass(slots=True)
class Node:
    """One node: its name, its values, and where it begins."""

    name: str
    arguments: list[Any]
    properties: dict[str, Any]
    children: list[Node] = field(default_factory=list)
    line: int = 0


def parse_document(text: str, with_lines: bool = True) -> list[Node]:
    """The top nodes of a document, or `KdlError`. Bounded: size, line length and depth are checked first. The
    lines cost as much as all the rest, so a start reads without them, and once more with them to complain.
    """
    if len(text.encode("utf-8", "surrogatepass")) > MAX_DOCUMENT_BYTES:
        raise KdlError(f"over {MAX_DOCUMENT_BYTES} bytes")
    for number, line in enumerate(text.split("\n"), 1):
        if len(line) > MAX_LINE_CHARACTERS:
            raise KdlError(f"a line of {len(line)} characters; at most {MAX_LINE_CHARACTERS}", number)
    starts: list[tuple[str, int]] = []
    if with_lines or _braces(text) > MAX_NODE_DEPTH:
        starts, deepest = _scan(text)
        if deepest > MAX_NODE_DEPTH:
            raise KdlError(f"nodes within nodes {deepest} deep; at most {MAX_NODE_DEPTH}")
    try:
        document = ckdl.parse(text, version=2)
    except (ckdl.ParseError, ValueError, OverflowError) as error:
        raise KdlError(f"not KDL: {error}", _line_of_error(text)) from None
    found = iter(starts)
    nodes = [_node(node, found) for node in document.nodes]
    if not with_lines or next(found, None) is not None or any(node.line < 0 for node in _all(nodes)):
        for node in _all(nodes):
            node.line = 0
    return nodes


def _braces(text: str) -> int:
    """No fewer than the nodes are deep: those in strings and comments count as well."""
    depth = deepest = 0
    for brace in re.findall("[{}]", text):
        depth += 1 if brace == "{" else -1
        deepest = max(deepest, depth)
    return deepest


def _node(node: Any, lines: Iterator[tuple[str, int]]) -> Node:
    name, line = next(lines, ("", -1))
    if name != node.name:
        line = -1
    values = [arg.value if isinstance(arg, ckdl.Value) else arg for arg in node.args]
    props = {
        key: value.value if isinstance(value, ckdl.Value) else value for key, value in node.properties.items()
    }
    made = Node(node.name, values, props, [], line)
    made.children = [_node(child, lines) for child in node.children]
    return made


def _all(nodes: list[Node]) -> Iterator[Node]:
    for node in nodes:
        yield node
        yield from _all(node.children)


def _line_of_error(text: str) -> int:
    """The first line with which the text before it can't be continued."""
    lines = text.split("\n")
    low, high = 0, len(lines)
    while high - low > 1:
        middle = (low + high) // 2
        try:
            ckdl.parse("\n".join(lines[:middle]) + "\n", version=2)
            broken = False
        except ckdl.ParseError as error:
            broken = "end of data" not in str(error)
        low, high = (low, middle) if broken else (middle, high)
    return high


_TOKEN = re.compile(
    r'(?P<raw>#+"{3}[\s\S]*?"{3}#+|#+"[^\n]*?"#+)'
    r'|(?P<multi>"{3}[\s\S]*?"{3})'
    r'|(?P<string>"(?:\\[\s\S]|[^"\\])*")'
    r"|(?P<comment>//[^\n]*)"
    r"|(?P<block>/\*)"
    r"|(?P<dash>/-)"
    r"|(?P<escape>\\[^\S\n]*(?://[^\n]*)?\n)"
    r"|(?P<end>[\n;\r\f\x85\u2028\u2029])"
    r"|(?P<open>\{)"
    r"|(?P<close>\})"
    r"|(?P<space>[^\S\n]+|\ufeff|=)"
    r"|(?P<type>\([^)\n]*\))"
    r'|(?P<word>[^\s{}();"=]+)'
    r"|(?P<other>[\s\S])"
)


def _scan(text: str) -> tuple[list[tuple[str, int]], int]:
    """The name and line of every node, in their order, and how deep they go. Slashed ones are left out."""
    found: list[tuple[str, int]] = []
    at, line, deepest = 0, 1, 0
    slashed = [False]  # for each open block: is all in it left out?
    fresh, dash = True, False  # is a node to begin; does a slash stand before what comes
    gone = False  # the node that is being read is slashed
    while at < len(text):
        match = _TOKEN.match(text, at)
        assert match is not None
        kind, token = match.lastgroup, match.group()
        if kind == "block":
            token = _block(text, at)
        if kind == "dash":
            dash = True
        elif kind == "end":
            fresh = True if not dash else fresh
        elif kind == "open":
            slashed.append(slashed[-1] or gone or dash)
            deepest = max(deepest, len(slashed) - 1)
            fresh, dash, gone = True, False, False
        elif kind == "close":
            if len(slashed) > 1:
                slashed.pop()
            fresh, dash, gone = False, False, False
        elif kind in ("raw", "multi", "string", "word", "other"):
            if fresh:
                gone = dash
                if not gone and not slashed[-1]:
                    found.append((_text(kind, token), line))
                fresh = False
            dash = False
        line += token.count("\n")
        at += len(token)
    return found, deepest


def _block(text: str, at: int) -> str:
    """A comment over several lines; they may stand within one another."""
    depth, end = 0, at
    for match in re.finditer(r"/\*|\*/", text[at:]):
        depth += 1 if match.group() == "/*" else -1
        end = at + match.end()
        if not depth:
            return text[at:end]
    return text[at:]


def _text(kind: str, token: str) -> str:
    return token.strip("#").strip('"') if kind in ("raw", "multi", "string") else token
