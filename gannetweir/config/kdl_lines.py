"""Scans the text of a KDL document for the lines where its nodes begin, which the parser does not report.

The scan recognises strings, comments, slashdashes (`/-`, which leave out what follows) and blocks, and takes
the first value of each statement as a node's name. It does not validate the document.
"""

from __future__ import annotations

import re
from typing import NamedTuple

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


class NodeStart(NamedTuple):
    """A node's name and the line where it begins; the first line is 1."""

    name: str
    line: int


def scan_node_starts(text: str) -> tuple[list[NodeStart], int]:
    """Return the starts of all nodes in order, and the greatest depth. Slashdashed nodes are left out."""
    scanner = _Scanner()
    position = 0
    while position < len(text):
        match = _TOKEN.match(text, position)
        assert match is not None  # the last alternative matches any character
        kind = match.lastgroup
        token = _block_comment(text, position) if kind == "block" else match.group()
        scanner.add_token(kind, token)
        position += len(token)
    return scanner.starts, scanner.max_depth


class _Scanner:
    """Collects the starts of nodes from the tokens of a document, which are added in their order."""

    def __init__(self) -> None:
        self.starts: list[NodeStart] = []
        self.max_depth = 0
        self._line = 1
        self._expects_node = True
        self._after_slashdash = False
        self._node_is_slashdashed = False
        self._slashdashed_blocks = [False]  # for the document and each open block: whether it is left out

    def add_token(self, kind: str | None, token: str) -> None:
        """Process the next token; `kind` is its group in `_TOKEN`."""
        match kind:
            case "dash":
                self._after_slashdash = True
            case "end":
                self._expects_node = self._expects_node or not self._after_slashdash
            case "open":
                self._open_block()
            case "close":
                self._close_block()
            case "raw" | "multi" | "string":
                self._add_value(token.strip("#").strip('"'))
            case "word" | "other":
                self._add_value(token)
        self._line += token.count("\n")

    def _open_block(self) -> None:
        is_slashdashed = self._slashdashed_blocks[-1] or self._node_is_slashdashed or self._after_slashdash
        self._slashdashed_blocks.append(is_slashdashed)
        self.max_depth = max(self.max_depth, len(self._slashdashed_blocks) - 1)
        self._expects_node = True
        self._after_slashdash = False
        self._node_is_slashdashed = False

    def _close_block(self) -> None:
        if len(self._slashdashed_blocks) > 1:
            self._slashdashed_blocks.pop()
        self._expects_node = False
        self._after_slashdash = False
        self._node_is_slashdashed = False

    def _add_value(self, name: str) -> None:
        if self._expects_node:
            self._node_is_slashdashed = self._after_slashdash
            if not self._node_is_slashdashed and not self._slashdashed_blocks[-1]:
                self.starts.append(NodeStart(name, self._line))
            self._expects_node = False
        self._after_slashdash = False


def _block_comment(text: str, start: int) -> str:
    """Return the block comment that begins at `start`; block comments may be nested."""
    depth = 0
    for match in re.finditer(r"/\*|\*/", text[start:]):
        depth += 1 if match.group() == "/*" else -1
        if depth == 0:
            return text[start : start + match.end()]
    return text[start:]
