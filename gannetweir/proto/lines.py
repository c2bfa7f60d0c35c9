"""Lines of text out of chunks of bytes."""

from __future__ import annotations

from collections.abc import Iterator

LINE_END = b"\r\n"


class LineError(ValueError):
    """What is wrong with a line, in a few words."""


class LineBuffer:
    """Cuts a stream into whole lines, their ends kept, and holds no more than one line's worth."""

    def __init__(self, limit: int) -> None:
        self.max_line_bytes = limit
        self.partial_line = b""

    def feed(self, data: bytes) -> Iterator[bytes]:
        """The lines that are whole now. One over the limit is an error as soon as that is certain, and after
        the lines before it.
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
        """What came after the last whole line; a stream that ends hands it on unchanged."""
        rest, self.partial_line = self.partial_line, b""
        return rest


def printable_text(line: bytes) -> str:
    """A line's text without its end: CRLF and printable ASCII, or an error."""
    if not line.endswith(LINE_END):
        raise LineError("line does not end in CRLF")
    if not all(0x20 <= byte < 0x7F for byte in line[:-2]):
        raise LineError("line is not printable ASCII")
    return line[:-2].decode("ascii")


def parse_fields(text: str) -> dict[str, str]:
    """`a=1,b=2` as a dict. A name given twice is an error: the two ends could read it differently."""
    found: dict[str, str] = {}
    for part in text.split(","):
        name, equals, value = part.partition("=")
        if not name or not equals or name in found:
            raise LineError(f"bad field {part[:40]!r}")
        found[name] = value
    return found
