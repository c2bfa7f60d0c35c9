"""A server-side flow: the first line out, the backend's answer in, then lines until an end."""

from __future__ import annotations

from dataclasses import dataclass

from gannetweir.limits import Limits
from gannetweir.placement.events import NOT_EXECUTED, AttemptStatus
from gannetweir.proto.lines import LINE_END, LineBuffer, LineError, printable_text
from gannetweir.proto.load_report import parse_load_report


@dataclass(frozen=True, slots=True)
class UpstreamEstablished:
    """The backend serves the connection; the line is the client's answer."""

    line: bytes


@dataclass(frozen=True, slots=True)
class EndpointLine:
    """A whole line for the client."""

    line: bytes
    may_answer: bool  # it may answer a line of the client's


@dataclass(frozen=True, slots=True)
class LoadReported:
    """The connection's load has changed."""

    load: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The flow is over."""

    status: AttemptStatus
    report: tuple[float, ...] = ()


UpstreamEvent = UpstreamEstablished | EndpointLine | LoadReported | AttemptEnded


class UpstreamConnection:
    """One attempt at one backend."""

    def __init__(self, first_line: bytes, report_names: list[str], limits: Limits) -> None:
        self.lines = LineBuffer(limits.line_bytes)
        self.load_report_fields = report_names
        self.unsent_first_line = first_line
        self.established = False
        self.announced_status: AttemptStatus | None = None  # how the backend said that it ends
        self.is_over = False
        self.status: AttemptStatus | None = None  # the outcome, once it is over

    def first_line_sent(self, count: int) -> None:
        """So many bytes of the first line were written."""
        self.unsent_first_line = self.unsent_first_line[count:]

    @property
    def may_have_executed(self) -> bool:
        """Can the backend have carried out what was written so far?"""
        return not self.unsent_first_line and self.status not in NOT_EXECUTED

    def feed(self, data: bytes) -> list[UpstreamEvent]:
        """Take what the backend sent."""
        events: list[UpstreamEvent] = []
        if self.is_over:
            return events
        try:
            for line in self.lines.feed(data):
                events += self._up(line) if self.established else self._answer(line)
                if self.is_over:
                    break
        except LineError:
            # neither an answer that can be read nor lines that can be passed on whole
            events.append(self._end(AttemptStatus.ERROR))
        return events

    def _end(self, status: AttemptStatus, report: tuple[float, ...] = ()) -> AttemptEnded:
        self.is_over, self.status = True, status
        return AttemptEnded(status, report)

    def _answer(self, line: bytes) -> list[UpstreamEvent]:
        text = printable_text(line)
        word, _, rest = text.partition(" ")
        if word == "UP":
            self.established = True
            return [UpstreamEstablished(line)]
        if word == "BUSY":
            return [self._end(AttemptStatus.FULL, parse_load_report(rest, self.load_report_fields))]
        if word == "MOVE":
            return [self._end(AttemptStatus.CANCELLED)]
        # ERR, SYNTAX, and whatever else is not a service
        return [self._end(AttemptStatus.ERROR, parse_load_report(rest, self.load_report_fields))]

    def _up(self, line: bytes) -> list[UpstreamEvent]:
        word, _, rest = line.rstrip(LINE_END).partition(b" ")
        if word == b"LOAD":
            told: list[UpstreamEvent] = [EndpointLine(line, False)]
            try:
                load = float(rest)
            except ValueError:
                return told
            return [*told, LoadReported(load)] if abs(load) < 1e15 else told  # as a hint
        if word in (b"BYE", b"MOVE") and not (word == b"MOVE" and rest):
            self.announced_status = AttemptStatus.OK if word == b"BYE" else AttemptStatus.CANCELLED
            return [EndpointLine(line, False)]
        return [EndpointLine(line, True)]

    def connection_ended(self) -> AttemptEnded:
        """The connection ended, broke, or never came up."""
        if self.unsent_first_line:  # without its last byte the backend cannot have run it
            return self._end(AttemptStatus.CONNECT_FAILED)
        return self._end(self.announced_status or AttemptStatus.RESET)
