"""What the relay took in, sent and answered, for the people on call."""

from __future__ import annotations

from collections import Counter

import orjson

from gannetweir.placement.events import AttemptStatus

OUTCOMES: dict[int, str] = {
    AttemptStatus.OK: "ok",
    AttemptStatus.ERROR: "error",
    AttemptStatus.FULL: "full",
    AttemptStatus.TIMEOUT: "timeout",
    AttemptStatus.CONNECT_FAILED: "connect_failed",
    AttemptStatus.RESET: "reset",
    AttemptStatus.CANCELLED: "cancelled",
    AttemptStatus.NOT_STARTED: "moot",
}


class Counters:
    """Named counts. A name is `what` or `what.outcome`."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, what: str, status: int = 0) -> None:
        """Count one; a status is counted under its name."""
        self.counts[f"{what}.{OUTCOMES.get(status, status)}" if status else what] += 1

    def line(self, **present: int) -> str:
        """One line of JSON: the counts so far, and figures of this moment."""
        return orjson.dumps({**self.counts, **present}, option=orjson.OPT_SORT_KEYS).decode()
