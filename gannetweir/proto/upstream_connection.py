"""The protocol of an upstream connection: a first line, the endpoint's answer, then lines until the end."""

from __future__ import annotations

from typing import NamedTuple

from gannetweir.limits import Limits
from gannetweir.placement.events import NOT_EXECUTED, AttemptStatus
from gannetweir.proto.lines import LINE_END, LineBuffer, LineError, LineTooLongError, printable_text
from gannetweir.proto.load_report import parse_load_report

# The load is only a hint for placement, but placement sums loads: larger values would lose precision.
MAX_CONNECTION_LOAD = 1e15
_ANNOUNCEMENTS = b"LOAD", b"BYE", b"MOVE"  # the beginnings of lines that the relay reads as well


class UpstreamEstablished(NamedTuple):
    """The endpoint accepted the connection; `line` is the answer for the client."""

    line: bytes


class EndpointLines(NamedTuple):
    """The endpoint sent complete lines for the client. They are one value, since a stream of short lines must
    not cost a call for each.
    """

    lines: bytes
    answer_count: int  # how many of the lines may be answers to lines of the client


class LoadReported(NamedTuple):
    """The endpoint reported a new load of the connection."""

    load: float


class AttemptEnded(NamedTuple):
    """The attempt or load probe has ended. `report` holds the load figures of the answer, if any."""

    status: AttemptStatus
    report: tuple[float, ...] = ()


UpstreamEvent = UpstreamEstablished | EndpointLines | LoadReported | AttemptEnded


class UpstreamConnection:
    """The protocol of one attempt at one endpoint.

    `UP` establishes the connection. Any other answer, or the end of the connection, ends the attempt.
    """

    def __init__(self, first_line: bytes, load_report_fields: list[str], limits: Limits) -> None:
        self.lines = LineBuffer(limits.max_line_bytes)
        self.load_report_fields = load_report_fields
        self.unsent_first_line = first_line
        self.established = False
        self.announced_status: AttemptStatus | None = None  # the outcome that BYE or MOVE announced
        self.is_over = False
        self.status: AttemptStatus | None = None  # the outcome, once `is_over`

    def first_line_sent(self, byte_count: int) -> None:
        """Note that `byte_count` further bytes of the first line were written."""
        self.unsent_first_line = self.unsent_first_line[byte_count:]

    @property
    def may_have_executed(self) -> bool:
        """Whether the endpoint may have executed the request, given the bytes written so far."""
        return not self.unsent_first_line and self.status not in NOT_EXECUTED

    def feed(self, data: bytes) -> list[UpstreamEvent]:
        """Return the events in the endpoint's bytes. Raises nothing: a malformed line ends the attempt."""
        events: list[UpstreamEvent] = []
        if self.is_over:
            return events
        try:
            if self.established:
                self._feed_established(data, events)
            else:
                self._feed_answer(data, events)
        except LineError:
            # A malformed line can be neither read as an answer nor forwarded complete.
            events.append(self._end(AttemptStatus.ERROR))
        return events

    def _feed_answer(self, data: bytes, events: list[UpstreamEvent]) -> None:
        """Read the answer, and the lines behind it if it establishes the connection."""
        answer_end = data.find(b"\n") + 1 or len(data)
        for line in self.lines.feed(data[:answer_end]):
            events.append(self._parse_answer(line))
        if self.established:
            self._feed_established(data[answer_end:], events)

    def _feed_established(self, data: bytes, events: list[UpstreamEvent]) -> None:
        try:
            lines = self.lines.take_lines(data)
        except LineTooLongError as error:
            events += self._parse_established(error.complete_lines)
            raise
        events += self._parse_established(lines)

    def _end(self, status: AttemptStatus, report: tuple[float, ...] = ()) -> AttemptEnded:
        self.is_over = True
        self.status = status
        return AttemptEnded(status, report)

    def _parse_answer(self, line: bytes) -> UpstreamEvent:
        word, _, rest = printable_text(line).partition(" ")
        if word == "UP":
            self.established = True
            return UpstreamEstablished(line)
        if word == "BUSY":
            return self._end(AttemptStatus.FULL, parse_load_report(rest, self.load_report_fields))
        if word == "MOVE":
            return self._end(AttemptStatus.CANCELLED)
        # ERR, SYNTAX and any other word that does not accept the connection
        return self._end(AttemptStatus.ERROR, parse_load_report(rest, self.load_report_fields))

    def _parse_established(self, lines: bytes) -> list[UpstreamEvent]:
        """Return the lines for the client, and the load that the last of them reports."""
        if not lines:
            return []
        answer_count = lines.count(b"\n")
        load: list[LoadReported] = []
        if any(word in lines for word in _ANNOUNCEMENTS):
            for line in lines.split(b"\n")[:-1]:
                if line.startswith(_ANNOUNCEMENTS) and self._parse_announcement(line, load):
                    answer_count -= 1
        return [EndpointLines(lines, answer_count), *load[-1:]]

    def _parse_announcement(self, line: bytes, load: list[LoadReported]) -> bool:
        """Note the load or the end that a line announces. Return whether it announces one."""
        word, _, rest = line.rstrip(LINE_END).partition(b" ")
        if word == b"LOAD":
            load += _parse_connection_load(rest)
        elif word == b"BYE":
            self.announced_status = AttemptStatus.OK
        elif word == b"MOVE" and not rest:
            self.announced_status = AttemptStatus.CANCELLED
        else:
            return False
        return True

    def connection_ended(self) -> AttemptEnded:
        """Note that the connection was closed, reset or never established, and return the outcome."""
        # Without the last byte of the first line the endpoint cannot have executed the request.
        if self.unsent_first_line:
            return self._end(AttemptStatus.CONNECT_FAILED)
        return self._end(self.announced_status or AttemptStatus.RESET)


def _parse_connection_load(text: bytes) -> list[LoadReported]:
    try:
        load = float(text)
    except ValueError:
        return []
    return [LoadReported(load)] if abs(load) < MAX_CONNECTION_LOAD else []
