"""A probe: `STATS` out, `PONG` and a load report in."""

from __future__ import annotations

from gannetweir.limits import Limits
from gannetweir.placement.events import AttemptStatus
from gannetweir.proto.lines import END, LineError, Lines, text_of
from gannetweir.proto.load_report import read_report
from gannetweir.proto.upstream_connection import Ended


class ProbeCall:
    """One question to one backend."""

    QUESTION = b"STATS" + END

    def __init__(self, report_names: list[str], limits: Limits) -> None:
        self.lines = Lines(limits.line_bytes)
        self.names = report_names

    def feed(self, data: bytes) -> Ended | None:
        """The answer, once it is whole."""
        try:
            for line in self.lines.feed(data):
                word, _, rest = text_of(line).partition(" ")
                return Ended(
                    AttemptStatus.OK if word == "PONG" else AttemptStatus.ERROR, read_report(rest, self.names)
                )
        except LineError:
            return Ended(AttemptStatus.ERROR)
        return None
