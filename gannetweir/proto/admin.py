"""The operators' door: one line in, one line out that starts with `ok` or `fail`."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from gannetweir.limits import Limits
from gannetweir.proto.lines import LINE_END, LineBuffer, LineError


class AdminCallError(ValueError):
    """Why a call is answered `fail`, in a few words."""


class AdminOperations(Protocol):
    """What the calls do. Each returns what to say after `ok`, or raises `RefusedError`."""

    def health(self) -> str:
        """Can this process serve?"""

    def offline(self, server: str) -> str:
        """Leave a backend out."""

    def online(self, server: str) -> str:
        """Use it again."""


# Every call: how many words follow its name, and what it does with them.
CALLS: dict[str, tuple[int, Callable[..., str]]] = {
    "HEALTH": (0, lambda operations: operations.health()),
    "OFFLINE": (1, lambda operations, server: operations.offline(server)),
    "ONLINE": (1, lambda operations, server: operations.online(server)),
}


class AdminCall:
    """One caller's connection."""

    def __init__(self, limits: Limits) -> None:
        self.lines = LineBuffer(limits.line_bytes)

    def feed(self, data: bytes, operations: AdminOperations) -> bytes:
        """The answer, once the line is whole; nothing before."""
        try:
            line = next(self.lines.feed(data), b"")
        except LineError as error:
            return _answer(False, str(error))
        return self._carry_out(line, operations) if line else b""

    @staticmethod
    def _carry_out(line: bytes, operations: AdminOperations) -> bytes:
        # a bare LF will do here: people type these calls
        name, *words = line.decode("ascii", "replace").split() or [""]
        count, call = CALLS.get(name, (-1, str))
        if count != len(words):
            return _answer(False, f"the calls are {', '.join(n + ' ID' * c for n, (c, _) in CALLS.items())}")
        try:
            return _answer(True, call(operations, *words))
        except AdminCallError as refused:
            return _answer(False, str(refused))


def _answer(done: bool, text: str) -> bytes:
    return f"{'ok' if done else 'fail'} {text}".encode("ascii", "replace") + LINE_END
