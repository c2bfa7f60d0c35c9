"""The client's side: the first line in, one answer out, then lines both ways until an end."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from gannetweir.limits import Limits
from gannetweir.placement.events import RequestArrived, RequestFlag
from gannetweir.proto.lines import END, LineError, Lines, fields_of, text_of


@dataclass(frozen=True, slots=True)
class FirstLine:
    """An `OPEN` line as it came, and what it says."""

    head: bytes  # up to the value of `d`
    tail: bytes  # after it; all of the line where it names no `d`
    ident: str  # the client's word for the request: two that are open at once must not share it
    wanted: RequestArrived  # the engine gives it its number
    at: str  # the backend that holds this connection already

    def line(self, wait_us: int) -> bytes:
        """The line for a backend: `d` says how long the relay waits, all else is as it came."""
        if not self.head:
            return self.tail
        return self.head + str(max(1, wait_us // 1000)).encode() + self.tail


_DECIMAL, _HEX = frozenset("0123456789"), frozenset("0123456789abcdefABCDEF")


def _number(text: str, base: int, what: str) -> int:
    # int() also takes signs, blanks, underscores and prefixes, which no peer sends
    if not 0 < len(text) <= 16 or not set(text) <= (_HEX if base == 16 else _DECIMAL):
        raise LineError(f"bad {what} {text[:40]!r}")
    return int(text, base)


def _hint(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        return math.nan
    return value if 0.0 <= value < 1e15 else math.nan


def parse_first_line(raw: bytes, classes: dict[str, int], limits: Limits) -> FirstLine:
    """Read an `OPEN` line strictly: a backend calls anything odd a line that no client sent."""
    words = text_of(raw).split(" ")
    if len(words) != 4 or words[0] != "OPEN":
        raise LineError("not an OPEN line")
    _number(words[1], 16, "id")
    fields = fields_of(words[3])
    if fields.get("c") not in classes:
        raise LineError(f"unknown class {fields.get('c', '')[:40]!r}")
    at = fields.get("at", "")
    if "d" not in fields and not at:
        raise LineError("no deadline")
    wait_us = _number(fields["d"], 10, "deadline") * 1000 if "d" in fields else limits.resume_us
    head, tail = b"", raw
    if "d" in fields:
        start = len(words[0]) + len(words[1]) + len(words[2]) + 3
        for part in words[3].split(","):
            if part.startswith("d="):
                break
            start += len(part) + 1
        head, tail = raw[: start + 2], raw[start + 2 + len(fields["d"]) :]
    hint = _hint(fields.get("h", ""))
    flags = 0 if math.isnan(hint) else RequestFlag.LOAD_HINT_VALID
    flags |= RequestFlag.CLIENT_RETRY if fields.get("r") == "1" else 0
    flags |= RequestFlag.RETURNED if fields.get("again") == "1" else 0
    wanted = RequestArrived(
        0,
        classes[fields["c"]],
        key=_number(words[2], 16, "key"),
        time_budget_us=min(wait_us, limits.longest_deadline_us),
        load_hint=0 if math.isnan(hint) else int(hint),
        group=_number(fields["g"], 16, "group") if "g" in fields else 0,
        flags=flags,
    )
    return FirstLine(head, tail, words[1], wanted, at)


def rejection(retry_us: int) -> bytes:
    """The line of a refusal, with the advice on when to come again where there is any."""
    return (f"BUSY {-(-retry_us // 1000)}" if retry_us > 0 else "BUSY").encode() + END


class Phase(Enum):
    """How far a client has come."""

    FIRST = 1  # its first line is awaited
    HELD = 2  # it waits for its answer
    UP = 3
    ENDED = 4


@dataclass(frozen=True, slots=True)
class PingAsked:
    """The front asks whether this relay is ready."""


@dataclass(frozen=True, slots=True)
class Opened:
    """A client wants a connection."""

    first: FirstLine


@dataclass(frozen=True, slots=True)
class Malformed:
    """The client sent what cannot be served."""

    reason: str
    owed: bool  # it has had no answer so far


@dataclass(frozen=True, slots=True)
class LinePassed:
    """A whole line for the backend."""

    line: bytes


ClientEvent = PingAsked | Opened | Malformed | LinePassed


class ClientConnection:
    """One client's connection."""

    def __init__(self, classes: dict[str, int], limits: Limits) -> None:
        self.classes, self.limits = classes, limits
        self.lines = Lines(limits.line_bytes)
        self.phase = Phase.FIRST
        self.pings = 0
        self.early: list[bytes] = []  # lines that came before the answer
        self.early_bytes = 0

    def feed(self, data: bytes) -> list[ClientEvent]:
        """Take what the client sent."""
        if self.phase is Phase.ENDED:
            return []
        events: list[ClientEvent] = []
        try:
            for line in self.lines.feed(data):
                if event := self._line(line):
                    events.append(event)
        except LineError as error:
            owed, self.phase = self.phase is not Phase.UP, Phase.ENDED
            # whole lines of a connection that stands still pass; a request is not begun just to be given up
            events = [event for event in events if not isinstance(event, Opened)]
            events.append(Malformed(str(error), owed))
        return events

    def _line(self, line: bytes) -> ClientEvent | None:
        if self.phase is Phase.FIRST:
            if line == b"PING" + END:
                self.pings += 1
                if self.pings > self.limits.first_pings:
                    raise LineError("too many pings")
                return PingAsked()
            first = parse_first_line(line, self.classes, self.limits)
            self.phase = Phase.HELD
            return Opened(first)
        if self.phase is Phase.HELD:
            # The client should wait; what it sends all the same is kept for its backend, within bounds. A
            # second command is no line of a connection's: its backend would end both.
            if line.startswith((b"OPEN ", b"PING\r")):
                raise LineError("a second command before the answer")
            self.early_bytes += len(line)
            if self.early_bytes > self.limits.buffer_bytes:
                raise LineError("too much sent before the answer")
            self.early.append(line)
            return None
        return LinePassed(line)

    def pong(self, ready: bool) -> bytes:
        """The answer to a ping."""
        return (b"PONG" if ready else b"ERR") + END

    def served(self) -> list[ClientEvent]:
        """The backend has answered; the lines that came early are now due."""
        self.phase = Phase.UP
        early, self.early = self.early, []
        return [LinePassed(line) for line in early]

    def reject(self, retry_us: int) -> bytes:
        """Refused: trying again is harmless, after that long."""
        self.phase = Phase.ENDED
        return rejection(retry_us)

    def fail(self) -> bytes:
        """Failed: nothing is promised."""
        self.phase = Phase.ENDED
        return b"ERR" + END

    def move(self) -> bytes:
        """Send the client away. Only whole lines go to it, so this falls between two of them."""
        self.phase = Phase.ENDED
        return b"MOVE" + END
