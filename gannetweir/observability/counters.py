"""Counters of what the relay has received, sent and answered, for operators."""

from __future__ import annotations

from collections import Counter

import orjson

from gannetweir.placement.events import AttemptStatus

OUTCOME_NAMES: dict[int, str] = {
    AttemptStatus.OK: "ok",
    AttemptStatus.ERROR: "error",
    AttemptStatus.FULL: "full",
    AttemptStatus.TIMEOUT: "timeout",
    AttemptStatus.CONNECT_FAILED: "connect_failed",
    AttemptStatus.RESET: "reset",
    AttemptStatus.CANCELLED: "cancelled",
    AttemptStatus.NOT_STARTED: "not_started",
}


class Counters:
    """Counts since the start of the process, by NAME, or by NAME.OUTCOME if each outcome has its own counter.

    Every part of the relay may add to the counters; they are never reset.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, status: int = 0) -> None:
        """Add one to a counter, or with a status to the counter of that outcome."""
        if status:
            name = f"{name}.{OUTCOME_NAMES.get(status, status)}"
        self.counts[name] += 1

    def to_json(self, **gauges: int) -> str:
        """Return one line of JSON: all counters and the current values in `gauges`, sorted by name."""
        return orjson.dumps({**self.counts, **gauges}, option=orjson.OPT_SORT_KEYS).decode()
