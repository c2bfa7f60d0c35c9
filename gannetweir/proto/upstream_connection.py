"""A server-side flow: the first line out, the backend's answer in, then lines until an end."""

from __future__ import annotations

from dataclasses import dataclass

from gannetweir.limits import Limits
from gannetweir.placement.events import NOT_EXECUTED, AttemptStatus
from gannetweir.proto.lines import END, LineError, Lines, text_of
from gannetweir.proto.load_report import read_report


@dataclass(frozen=True, slots=True)
class CameUp:
    """The backend serves the connection; the line is the client's answer."""

    line: bytes


@dataclass(frozen=True, slots=True)
class ServerLine:
    """A whole line for the client."""

    line: bytes
    answer: bool  # it may answer a line of the client's


@dataclass(frozen=True, slots=True)
class LoadTold:
    """The connection's load has changed."""

    load: float


@dataclass(frozen=True, slots=True)
class Ended:
    """The flow is over."""

    status: int
    report: tuple[float, ...] = ()


FlowEvent = CameUp | ServerLine | LoadTold | Ended


class UpstreamConnection:
    """One attempt at one backend."""

    def __init__(self, first_line: bytes, report_names: list[str], limits: Limits) -> None:
        self.lines = Lines(limits.line_bytes)
        self.names = report_names
        self.unsent = first_line
        self.up = False
        self.last = 0  # how the backend said that it ends
        self.over = False
        self.status = 0  # the outcome, once it is over

    def sent(self, count: int) -> None:
        """So many bytes of the first line were written."""
        self.unsent = self.unsent[count:]

    @property
    def may_have_run(self) -> bool:
        """Can the backend have carried out what was written so far?"""
        return not self.unsent and self.status not in NOT_EXECUTED

    def feed(self, data: bytes) -> list[FlowEvent]:
        """Take what the backend sent."""
        events: list[FlowEvent] = []
        if self.over:
            return events
        try:
            for line in self.lines.feed(data):
                events += self._up(line) if self.up else self._answer(line)
                if self.over:
                    break
        except LineError:
            # neither an answer that can be read nor lines that can be passed on whole
            events.append(self._end(AttemptStatus.ERROR))
        return events

    def _end(self, status: int, report: tuple[float, ...] = ()) -> Ended:
        self.over, self.status = True, status
        return Ended(status, report)

    def _answer(self, line: bytes) -> list[FlowEvent]:
        text = text_of(line)
        word, _, rest = text.partition(" ")
        if word == "UP":
            self.up = True
            return [CameUp(line)]
        if word == "BUSY":
            return [self._end(AttemptStatus.FULL, read_report(rest, self.names))]
        if word == "MOVE":
            return [self._end(AttemptStatus.CANCELLED)]
        # ERR, SYNTAX, and whatever else is not a service
        return [self._end(AttemptStatus.ERROR, read_report(rest, self.names))]

    def _up(self, line: bytes) -> list[FlowEvent]:
        word, _, rest = line.rstrip(END).partition(b" ")
        if word == b"LOAD":
            told: list[FlowEvent] = [ServerLine(line, False)]
            try:
                load = float(rest)
            except ValueError:
                return told
            return [*told, LoadTold(load)] if abs(load) < 1e15 else told  # as a hint
        if word in (b"BYE", b"MOVE") and not (word == b"MOVE" and rest):
            self.last = AttemptStatus.OK if word == b"BYE" else AttemptStatus.CANCELLED
            return [ServerLine(line, False)]
        return [ServerLine(line, True)]

    def ended(self) -> Ended:
        """The connection ended, broke, or never came up."""
        if self.unsent:  # without its last byte the backend cannot have run it
            return self._end(AttemptStatus.CONNECT_FAILED)
        return self._end(self.last or AttemptStatus.RESET)
