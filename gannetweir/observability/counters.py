"""Counters of what the relay has received, sent and answered, for the people on call."""

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
    """Counts since the start of the process. A name is `NAME`, or `NAME.OUTCOME` where outcomes differ.

    Every part of the relay may add to them; nothing is ever reset.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, status: int = 0) -> None:
        """Count one; with a status, under the name and that outcome."""
        if status:
            name = f"{name}.{OUTCOME_NAMES.get(status, status)}"
        self.counts[name] += 1

    def to_json(self, **gauges: int) -> str:
        """One line of JSON: the counts so far, and gauges of this moment, in the order of their names."""
        return orjson.dumps({**self.counts, **gauges}, option=orjson.OPT_SORT_KEYS).decode()
