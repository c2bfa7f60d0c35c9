"""Splitting a stream of bytes into lines, and parsing them."""

from __future__ import annotations

from collections.abc import Iterator

from gannetweir.errors import GannetweirError

LINE_END = b"\r\n"
_FIRST_PRINTABLE, _LAST_PRINTABLE = 0x20, 0x7E  # in ASCII: space and tilde


class LineError(GannetweirError, ValueError):
    """A line is malformed; the message says how, in a few words."""


class LineTooLongError(LineError):
    """A line exceeds the limit; `complete_lines` are the lines before it that were not returned."""

    def __init__(self, complete_lines: bytes = b"") -> None:
        super().__init__("line too long")
        self.complete_lines = complete_lines


class LineBuffer:
    """Splits a stream into lines, including their ends, and buffers at most one line.

    A stream of short lines must not cost an object and a call for each, so they can be taken as one value.
    """

    def __init__(self, max_line_bytes: int) -> None:
        self.max_line_bytes = max_line_bytes
        self.partial_line = b""

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the lines that are now complete.

        Raises `LineTooLongError` for a line that exceeds the limit, after yielding the lines before it. The
        error is raised as soon as the limit is exceeded, even if the line has not ended.
        """
        if b"\n" not in data:
            self.partial_line += data
        else:
            *lines, self.partial_line = (self.partial_line + data).split(b"\n")
            for line in lines:
                if len(line) >= self.max_line_bytes:
                    raise LineTooLongError
                yield line + b"\n"
        # A line without an end must not grow without limit.
        if len(self.partial_line) > self.max_line_bytes:
            raise LineTooLongError

    def take_lines(self, data: bytes) -> bytes:
        """Return all lines that are now complete as one value.

        Raises `LineTooLongError`, with the lines before it, for a line that exceeds the limit.
        """
        stream = self.partial_line + data
        end = stream.rfind(b"\n") + 1
        lines, self.partial_line = stream[:end], stream[end:]
        self._check_lengths(lines)
        if len(self.partial_line) > self.max_line_bytes:
            raise LineTooLongError(lines)
        return lines

    def _check_lengths(self, lines: bytes) -> None:
        start = 0
        while start < len(lines):
            # Finds the last line that ends within the limit, so the lines before it need no check.
            end = lines.rfind(b"\n", start, start + self.max_line_bytes) + 1
            if not end:
                raise LineTooLongError(lines[:start])
            start = end

    def pop_partial_line(self) -> bytes:
        """Remove and return the bytes after the last complete line, to be forwarded when the stream ends."""
        partial_line, self.partial_line = self.partial_line, b""
        return partial_line


def printable_text(line: bytes) -> str:
    """Return a line's text without CRLF. Raises `LineError` unless it is printable ASCII and ends in CRLF."""
    if not line.endswith(LINE_END):
        raise LineError("line does not end in CRLF")
    if not all(_FIRST_PRINTABLE <= byte <= _LAST_PRINTABLE for byte in line[:-2]):
        raise LineError("line is not printable ASCII")
    return line[:-2].decode("ascii")


def parse_fields(text: str) -> dict[str, str]:
    """Return the fields of `a=1,b=2` as a dict.

    Raises `LineError` for a name without a value, and for a name given twice, which the two ends of the
    connection could read differently.
    """
    fields: dict[str, str] = {}
    for part in text.split(","):
        name, equals, value = part.partition("=")
        if not name or not equals or name in fields:
            raise LineError(f"bad field {part[:40]!r}")
        fields[name] = value
    return fields
