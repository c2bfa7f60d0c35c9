"""Lines of text out of chunks of bytes."""

from __future__ import annotations

from collections.abc import Iterator

from gannetweir.errors import GannetweirError

LINE_END = b"\r\n"
_FIRST_PRINTABLE, _LAST_PRINTABLE = 0x20, 0x7E  # of ASCII


class LineError(GannetweirError, ValueError):
    """What is wrong with a line, in a few words."""


class LineBuffer:
    """Cuts a stream into lines, each with its end, and buffers no more than one line's worth."""

    def __init__(self, max_line_bytes: int) -> None:
        self.max_line_bytes = max_line_bytes
        self.partial_line = b""

    def feed(self, data: bytes) -> Iterator[bytes]:
        """The lines that are complete now. Raises `LineError` for one over the limit as soon as that is
        certain, and after the lines before it.
        """
        if b"\n" not in data:
            self.partial_line += data
        else:
            *lines, self.partial_line = (self.partial_line + data).split(b"\n")
            for line in lines:
                if len(line) >= self.max_line_bytes:
                    raise LineError("line too long")
                yield line + b"\n"
        # a line without an end must not grow without bound
        if len(self.partial_line) > self.max_line_bytes:
            raise LineError("line too long")

    def pop_partial_line(self) -> bytes:
        """What came after the last complete line; a stream that ends forwards it unchanged."""
        partial_line, self.partial_line = self.partial_line, b""
        return partial_line


def printable_text(line: bytes) -> str:
    """A line's text without its end. Raises `LineError` unless it is printable ASCII that ends in CRLF."""
    if not line.endswith(LINE_END):
        raise LineError("line does not end in CRLF")
    if not all(_FIRST_PRINTABLE <= byte <= _LAST_PRINTABLE for byte in line[:-2]):
        raise LineError("line is not printable ASCII")
    return line[:-2].decode("ascii")


def parse_fields(text: str) -> dict[str, str]:
    """`a=1,b=2` as a dict. Raises `LineError` for a name without a value, and for one given twice: the two
    ends could read it differently.
    """
    fields: dict[str, str] = {}
    for part in text.split(","):
        name, equals, value = part.partition("=")
        if not name or not equals or name in fields:
            raise LineError(f"bad field {part[:40]!r}")
        fields[name] = value
    return fields
