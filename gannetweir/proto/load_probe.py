"""A probe: `STATS` out, `PONG` and a load report in."""

from __future__ import annotations

from gannetweir.limits import Limits
from gannetweir.placement.events import AttemptStatus
from gannetweir.proto.lines import LINE_END, LineBuffer, LineError, printable_text
from gannetweir.proto.load_report import parse_load_report
from gannetweir.proto.upstream_connection import AttemptEnded


class LoadProbeExchange:
    """One question to one backend."""

    REQUEST_LINE = b"STATS" + LINE_END

    def __init__(self, report_names: list[str], limits: Limits) -> None:
        self.lines = LineBuffer(limits.line_bytes)
        self.names = report_names

    def feed(self, data: bytes) -> AttemptEnded | None:
        """The answer, once it is whole."""
        try:
            for line in self.lines.feed(data):
                word, _, rest = printable_text(line).partition(" ")
                return AttemptEnded(
                    AttemptStatus.OK if word == "PONG" else AttemptStatus.ERROR,
                    parse_load_report(rest, self.names),
                )
        except LineError:
            return AttemptEnded(AttemptStatus.ERROR)
        return None
