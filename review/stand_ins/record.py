"""The record of a case: what was sent, answered and run, with the seconds since the start of the case."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes one line for each event to a file."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.start_s = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.start_s

    def write(self, who: str, text: str) -> float:
        """Write a line and return its time."""
        now = self.now()
        self.file.write(f"{now:8.3f} {who:12} {text}\n")
        self.file.flush()
        return now
