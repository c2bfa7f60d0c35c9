"""The protocol of a client connection: a first line, one answer, then lines in both directions."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from gannetweir.limits import Limits
from gannetweir.placement.events import RequestArrived, RequestFlag
from gannetweir.proto.lines import (
    LINE_END,
    LineBuffer,
    LineError,
    LineTooLongError,
    parse_fields,
    printable_text,
)

_DECIMAL_DIGITS = frozenset("0123456789")
_HEXADECIMAL_DIGITS = frozenset("0123456789abcdefABCDEF")
_DECIMAL, _HEXADECIMAL = 10, 16  # number bases
_MAX_DIGITS = 16  # 64 bits in hexadecimal, the size of ids and keys in placement
_MAX_LOAD_HINT = 1e15  # sums of larger hints would lose precision
_OPEN_WORDS = 4  # OPEN, id, key, fields
_DEADLINE_FIELD = "d="
_COMMANDS = b"OPEN ", b"PING\r"  # the beginnings of lines that only start a connection


class FirstLine(NamedTuple):
    """An `OPEN` line as received, and its parsed content."""

    before_deadline: bytes  # the line up to the value of `d`; empty if the line has no `d`
    after_deadline: bytes  # the line after the value of `d`; the complete line if it has no `d`
    client_id: str  # the client's id for the request; requests open at the same time must differ in it
    request: RequestArrived  # the engine assigns the `request_id`
    current_endpoint: str  # the endpoint that already serves this connection; empty if none

    def for_endpoint(self, timeout_us: int) -> bytes:
        """Return the line for an endpoint, with the relay's timeout in milliseconds as the value of `d`."""
        if not self.before_deadline:
            return self.after_deadline
        timeout_ms = max(1, timeout_us // 1000)
        return self.before_deadline + str(timeout_ms).encode() + self.after_deadline


def _parse_number(text: str, base: int, what: str) -> int:
    # `int` also accepts signs, whitespace, underscores and prefixes, which no peer sends.
    digits = _HEXADECIMAL_DIGITS if base == _HEXADECIMAL else _DECIMAL_DIGITS
    if not 0 < len(text) <= _MAX_DIGITS or not set(text) <= digits:
        raise LineError(f"bad {what} {text[:40]!r}")
    return int(text, base)


def _parse_load_hint(text: str) -> int | None:
    try:
        hint = float(text)
    except ValueError:
        return None
    return int(hint) if 0.0 <= hint < _MAX_LOAD_HINT else None  # NaN fails both comparisons


def parse_first_line(raw: bytes, class_index_by_name: dict[str, int], limits: Limits) -> FirstLine:
    """Parse an `OPEN` line strictly: an endpoint treats any deviation as a line that no client sent.

    Raises `LineError` for the first fault in the line.
    """
    words = printable_text(raw).split(" ")
    if len(words) != _OPEN_WORDS or words[0] != "OPEN":
        raise LineError("not an OPEN line")
    _, client_id, key, field_text = words
    _parse_number(client_id, _HEXADECIMAL, "id")
    fields = parse_fields(field_text)
    if fields.get("c") not in class_index_by_name:
        raise LineError(f"unknown class {fields.get('c', '')[:40]!r}")
    current_endpoint = fields.get("at", "")
    deadline_ms = fields.get("d")
    if deadline_ms is not None:
        time_budget_us = _parse_number(deadline_ms, _DECIMAL, "deadline") * 1000
    elif current_endpoint:
        time_budget_us = limits.resumption_timeout_us
    else:
        raise LineError("no deadline")
    before, after = _split_at_deadline(raw, field_text, deadline_ms)
    class_index = class_index_by_name[fields["c"]]
    time_budget_us = min(time_budget_us, limits.max_deadline_us)
    request = _parse_request(class_index, key, time_budget_us, fields)
    return FirstLine(before, after, client_id, request, current_endpoint)


def _split_at_deadline(raw: bytes, field_text: str, deadline_ms: str | None) -> tuple[bytes, bytes]:
    """Return the line before and after the value of `d`, so that the value can be replaced."""
    if deadline_ms is None:
        return b"", raw
    start = len(raw) - len(LINE_END) - len(field_text)
    for field in field_text.split(","):
        if field.startswith(_DEADLINE_FIELD):
            break
        start += len(field) + 1  # the field and its comma
    start += len(_DEADLINE_FIELD)
    return raw[:start], raw[start + len(deadline_ms) :]


def _parse_request(class_index: int, key: str, time_budget_us: int, fields: dict[str, str]) -> RequestArrived:
    hint = _parse_load_hint(fields.get("h", ""))
    flags = 0
    if hint is not None:
        flags |= RequestFlag.LOAD_HINT_VALID
    if fields.get("r") == "1":
        flags |= RequestFlag.CLIENT_RETRY
    if fields.get("again") == "1":
        flags |= RequestFlag.RETURNED
    return RequestArrived(
        0,
        class_index,
        key=_parse_number(key, _HEXADECIMAL, "key"),
        time_budget_us=time_budget_us,
        load_hint=hint or 0,
        group=_parse_number(fields["g"], _HEXADECIMAL, "group") if "g" in fields else 0,
        flags=flags,
    )


def rejection_line(retry_after_us: int) -> bytes:
    """Return the `BUSY` line; it states Retry-After in milliseconds if `retry_after_us` is over 0."""
    if retry_after_us <= 0:
        return b"BUSY" + LINE_END
    retry_after_ms = -(-retry_after_us // 1000)  # rounded up: the client must not retry too early
    return f"BUSY {retry_after_ms}".encode() + LINE_END


class ClientPhase(Enum):
    """The phases of a client connection."""

    AWAITING_FIRST_LINE = 1
    AWAITING_ANSWER = 2  # the request is open, the client waits for the answer
    ESTABLISHED = 3
    ENDED = 4  # further data from the client is discarded


class PingReceived:
    """The front, which sends clients to the relays, asks whether this relay is ready."""


class RequestOpened(NamedTuple):
    """The client sent a valid first line."""

    first_line: FirstLine


class MalformedInput(NamedTuple):
    """The client sent data that cannot be served."""

    reason: str
    answer_pending: bool  # the client has had no answer so far


class LinesReceived(NamedTuple):
    """The client sent complete lines for the endpoint. They are one value, since a stream of short lines must
    not cost a call for each.
    """

    lines: bytes
    line_count: int


ClientEvent = PingReceived | RequestOpened | MalformedInput | LinesReceived


def _received(lines: bytes) -> list[ClientEvent]:
    return [LinesReceived(lines, lines.count(b"\n"))] if lines else []


class ClientConnection:
    """The protocol of one client connection. Takes bytes, returns events and answers to be written."""

    def __init__(self, class_index_by_name: dict[str, int], limits: Limits) -> None:
        self.class_index_by_name, self.limits = class_index_by_name, limits
        self.lines = LineBuffer(limits.max_line_bytes)
        self.phase = ClientPhase.AWAITING_FIRST_LINE
        self.ping_count = 0
        # Lines received before the answer, as one value: an object for each would take many times their size.
        self.early_lines = bytearray()

    def feed(self, data: bytes) -> list[ClientEvent]:
        """Return the events in the client's bytes. Raises nothing: a malformed line ends the connection."""
        if self.phase is ClientPhase.ENDED:
            return []
        events: list[ClientEvent] = []
        try:
            if self.phase is ClientPhase.AWAITING_FIRST_LINE:
                self._feed_commands(data, events)
            elif self.phase is ClientPhase.AWAITING_ANSWER:
                self._buffer_early_lines(self.lines.take_lines(data))
            else:
                self._feed_established(data, events)
        except LineError as error:
            answer_pending = self.phase is not ClientPhase.ESTABLISHED
            self.phase = ClientPhase.ENDED
            # Complete lines of an established connection are kept. A request is left out, since it would be
            # started only to fail.
            events = [event for event in events if not isinstance(event, RequestOpened)]
            events.append(MalformedInput(str(error), answer_pending))
        return events

    def _feed_commands(self, data: bytes, events: list[ClientEvent]) -> None:
        lines = self.lines.feed(data)
        for line in lines:
            events.append(self._parse_command(line))
            if self.phase is ClientPhase.AWAITING_ANSWER:
                self._buffer_early_lines(b"".join(lines))

    def _feed_established(self, data: bytes, events: list[ClientEvent]) -> None:
        try:
            lines = self.lines.take_lines(data)
        except LineTooLongError as error:
            events += _received(error.complete_lines)
            raise
        events += _received(lines)

    def _parse_command(self, line: bytes) -> PingReceived | RequestOpened:
        if line == b"PING" + LINE_END:
            self.ping_count += 1
            if self.ping_count > self.limits.max_pings_before_request:
                raise LineError("too many pings")
            return PingReceived()
        first_line = parse_first_line(line, self.class_index_by_name, self.limits)
        self.phase = ClientPhase.AWAITING_ANSWER
        return RequestOpened(first_line)

    def _buffer_early_lines(self, lines: bytes) -> None:
        """Buffer, for the endpoint, lines that the client sent without waiting for the answer.

        Raises `LineError` past the bound on buffered bytes, and for a second command: an endpoint that
        received one would end the upstream connection, and the client's connection would end with it.
        """
        if any(lines.startswith(command) or b"\n" + command in lines for command in _COMMANDS):
            raise LineError("a second command before the answer")
        if len(self.early_lines) + len(lines) > self.limits.max_buffered_bytes:
            raise LineError("too much sent before the answer")
        self.early_lines += lines

    def ping_answer(self, is_ready: bool) -> bytes:
        """Return the answer to a ping."""
        return (b"PONG" if is_ready else b"ERR") + LINE_END

    def establish(self) -> list[ClientEvent]:
        """Note that the endpoint has answered, and return the lines received before its answer."""
        self.phase = ClientPhase.ESTABLISHED
        early_lines, self.early_lines = bytes(self.early_lines), bytearray()
        return _received(early_lines)

    def end_rejected(self, retry_after_us: int) -> bytes:
        """End as rejected and return the answer: a retry after `retry_after_us` is harmless."""
        self.phase = ClientPhase.ENDED
        return rejection_line(retry_after_us)

    def end_failed(self) -> bytes:
        """End as failed and return the answer, which promises nothing about a retry."""
        self.phase = ClientPhase.ENDED
        return b"ERR" + LINE_END

    def end_migrated(self) -> bytes:
        """End as migrated and return the line that makes the client reconnect elsewhere.

        Only complete lines are written to a client, so `MOVE` never splits a line.
        """
        self.phase = ClientPhase.ENDED
        return b"MOVE" + LINE_END
