"""The client's side: the first line in, one answer out, then lines both ways until an end."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from gannetweir.limits import Limits
from gannetweir.placement.events import RequestArrived, RequestFlag
from gannetweir.proto.lines import LINE_END, LineBuffer, LineError, parse_fields, printable_text


@dataclass(frozen=True, slots=True)
class FirstLine:
    """An `OPEN` line as it came, and what it says."""

    before_deadline: bytes  # up to the value of `d`
    after_deadline: bytes  # after it; all of the line where it names no `d`
    client_id: str  # the client's word for the request: two that are open at once must not share it
    request: RequestArrived  # the engine gives it its number
    current_endpoint: str  # the backend that holds this connection already

    def for_endpoint(self, wait_us: int) -> bytes:
        """The line for a backend: `d` says how long the relay waits, all else is as it came."""
        if not self.before_deadline:
            return self.after_deadline
        return self.before_deadline + str(max(1, wait_us // 1000)).encode() + self.after_deadline


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
    words = printable_text(raw).split(" ")
    if len(words) != 4 or words[0] != "OPEN":
        raise LineError("not an OPEN line")
    _number(words[1], 16, "id")
    fields = parse_fields(words[3])
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


def rejection_line(retry_us: int) -> bytes:
    """The line of a refusal, with the advice on when to come again where there is any."""
    return (f"BUSY {-(-retry_us // 1000)}" if retry_us > 0 else "BUSY").encode() + LINE_END


class ClientPhase(Enum):
    """How far a client has come."""

    AWAITING_FIRST_LINE = 1  # its first line is awaited
    AWAITING_ANSWER = 2  # it waits for its answer
    ESTABLISHED = 3
    ENDED = 4


@dataclass(frozen=True, slots=True)
class PingReceived:
    """The front asks whether this relay is ready."""


@dataclass(frozen=True, slots=True)
class RequestOpened:
    """A client wants a connection."""

    first_line: FirstLine


@dataclass(frozen=True, slots=True)
class MalformedInput:
    """The client sent what cannot be served."""

    reason: str
    answer_owed: bool  # it has had no answer so far


@dataclass(frozen=True, slots=True)
class LineReceived:
    """A whole line for the backend."""

    line: bytes


ClientEvent = PingReceived | RequestOpened | MalformedInput | LineReceived


class ClientConnection:
    """One client's connection."""

    def __init__(self, classes: dict[str, int], limits: Limits) -> None:
        self.class_index_by_name, self.limits = classes, limits
        self.lines = LineBuffer(limits.line_bytes)
        self.phase = ClientPhase.AWAITING_FIRST_LINE
        self.ping_count = 0
        self.early_lines: list[bytes] = []  # lines that came before the answer
        self.early_bytes = 0

    def feed(self, data: bytes) -> list[ClientEvent]:
        """Take what the client sent."""
        if self.phase is ClientPhase.ENDED:
            return []
        events: list[ClientEvent] = []
        try:
            for line in self.lines.feed(data):
                if event := self._line(line):
                    events.append(event)
        except LineError as error:
            owed, self.phase = self.phase is not ClientPhase.ESTABLISHED, ClientPhase.ENDED
            # whole lines of a connection that stands still pass; a request is not begun just to be given up
            events = [event for event in events if not isinstance(event, RequestOpened)]
            events.append(MalformedInput(str(error), owed))
        return events

    def _line(self, line: bytes) -> ClientEvent | None:
        if self.phase is ClientPhase.AWAITING_FIRST_LINE:
            if line == b"PING" + LINE_END:
                self.ping_count += 1
                if self.ping_count > self.limits.first_pings:
                    raise LineError("too many pings")
                return PingReceived()
            first = parse_first_line(line, self.class_index_by_name, self.limits)
            self.phase = ClientPhase.AWAITING_ANSWER
            return RequestOpened(first)
        if self.phase is ClientPhase.AWAITING_ANSWER:
            # The client should wait; what it sends all the same is kept for its backend, within bounds. A
            # second command is no line of a connection's: its backend would end both.
            if line.startswith((b"OPEN ", b"PING\r")):
                raise LineError("a second command before the answer")
            self.early_bytes += len(line)
            if self.early_bytes > self.limits.buffer_bytes:
                raise LineError("too much sent before the answer")
            self.early_lines.append(line)
            return None
        return LineReceived(line)

    def ping_answer(self, ready: bool) -> bytes:
        """The answer to a ping."""
        return (b"PONG" if ready else b"ERR") + LINE_END

    def establish(self) -> list[ClientEvent]:
        """The backend has answered; the lines that came early are now due."""
        self.phase = ClientPhase.ESTABLISHED
        early, self.early_lines = self.early_lines, []
        return [LineReceived(line) for line in early]

    def end_rejected(self, retry_us: int) -> bytes:
        """Refused: trying again is harmless, after that long."""
        self.phase = ClientPhase.ENDED
        return rejection_line(retry_us)

    def end_failed(self) -> bytes:
        """Failed: nothing is promised."""
        self.phase = ClientPhase.ENDED
        return b"ERR" + LINE_END

    def end_migrated(self) -> bytes:
        """Send the client away. Only whole lines go to it, so this falls between two of them."""
        self.phase = ClientPhase.ENDED
        return b"MOVE" + LINE_END
