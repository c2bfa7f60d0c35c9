"""The protocol of a load probe: `STATS` is sent, `PONG` with a load report is the answer."""

from __future__ import annotations

from gannetweir.limits import Limits
from gannetweir.placement.events import AttemptStatus
from gannetweir.proto.lines import LINE_END, LineBuffer, LineError, printable_text
from gannetweir.proto.load_report import parse_load_report
from gannetweir.proto.upstream_connection import AttemptEnded


class LoadProbeExchange:
    """One load probe at one endpoint."""

    REQUEST_LINE = b"STATS" + LINE_END

    def __init__(self, load_report_fields: list[str], limits: Limits) -> None:
        self.lines = LineBuffer(limits.max_line_bytes)
        self.load_report_fields = load_report_fields

    def feed(self, data: bytes) -> AttemptEnded | None:
        """Return the result once the first line of the answer is complete, None before.

        Raises nothing: a malformed line is an `ERROR` of the endpoint.
        """
        try:
            line = next(self.lines.feed(data), None)
            return None if line is None else self._parse_answer(line)
        except LineError:
            return AttemptEnded(AttemptStatus.ERROR)

    def _parse_answer(self, line: bytes) -> AttemptEnded:
        word, _, report = printable_text(line).partition(" ")
        status = AttemptStatus.OK if word == "PONG" else AttemptStatus.ERROR
        return AttemptEnded(status, parse_load_report(report, self.load_report_fields))
