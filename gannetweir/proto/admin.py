"""The protocol of admin calls: a call is one line, its answer one line that starts with `ok` or `fail`."""

from __future__ import annotations

from typing import Protocol

from gannetweir.errors import GannetweirError
from gannetweir.limits import Limits
from gannetweir.proto.lines import LINE_END, LineBuffer, LineError

_USAGE = "the calls are HEALTH, OFFLINE ID, ONLINE ID"


class AdminCallError(GannetweirError, ValueError):
    """A call failed; the message is the text after `fail`."""


class AdminOperations(Protocol):
    """The operations behind the calls. Each returns the text after `ok` or raises `AdminCallError`."""

    def health(self) -> str:
        """Report whether this process can serve."""

    def offline(self, endpoint: str) -> str:
        """Take an endpoint offline."""

    def online(self, endpoint: str) -> str:
        """Take an endpoint that is offline back into use."""


class AdminCall:
    """The protocol of one connection to the admin listener, which carries one call."""

    def __init__(self, limits: Limits) -> None:
        self.lines = LineBuffer(limits.max_line_bytes)

    def feed(self, data: bytes, operations: AdminOperations) -> bytes:
        """Return the answer once the line is complete, nothing before.

        Lets through every exception of `operations` except `AdminCallError`, which becomes the answer.
        """
        try:
            line = next(self.lines.feed(data), b"")
        except LineError as error:
            return _answer("fail", str(error))
        return _carry_out(line, operations) if line else b""


def _carry_out(line: bytes, operations: AdminOperations) -> bytes:
    words = line.decode("ascii", "replace").split()  # a bare LF is accepted: people type these calls
    try:
        match words:
            case ["HEALTH"]:
                return _answer("ok", operations.health())
            case ["OFFLINE", endpoint]:
                return _answer("ok", operations.offline(endpoint))
            case ["ONLINE", endpoint]:
                return _answer("ok", operations.online(endpoint))
            case _:
                return _answer("fail", _USAGE)
    except AdminCallError as error:
        return _answer("fail", str(error))


def _answer(outcome: str, text: str) -> bytes:
    return f"{outcome} {text}".encode("ascii", "replace") + LINE_END
