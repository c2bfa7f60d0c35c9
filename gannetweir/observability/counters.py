"""What the relay took in, sent and answered, for the people on call."""

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
    AttemptStatus.NOT_STARTED: "moot",
}


class Counters:
    """Named counts. A name is `what` or `what.outcome`."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, status: int = 0) -> None:
        """Count one; a status is counted under its name."""
        self.counts[f"{name}.{OUTCOME_NAMES.get(status, status)}" if status else name] += 1

    def to_json(self, **figures: int) -> str:
        """One line of JSON: the counts so far, and figures of this moment."""
        return orjson.dumps({**self.counts, **figures}, option=orjson.OPT_SORT_KEYS).decode()
