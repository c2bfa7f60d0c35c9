"""What the relay took in, sent and answered, for the people on call."""

from __future__ import annotations

from collections import Counter

import orjson

from gannetweir import interface as i

OUTCOMES = {
    i.OK: "ok",
    i.ERROR: "error",
    i.FULL: "full",
    i.TIMEOUT: "timeout",
    i.CONNECT_FAILED: "connect_failed",
    i.RESET: "reset",
    i.CANCELLED: "cancelled",
    i.MOOT: "moot",
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
