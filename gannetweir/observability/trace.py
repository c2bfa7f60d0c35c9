"""What the decision module heard and answered, a JSON line an event, to be counted over many relays.

Off unless `serve --trace` asks for it. Nothing here decides anything.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import orjson

from gannetweir.core.request_log import RequestEvent
from gannetweir.observability.standard_error import LineWriter, StandardError
from gannetweir.placement.actions import Action, SetTimer
from gannetweir.placement.events import Event, TimerExpired
from gannetweir.placement.settings import Settings

WRITE_TIMEOUT_MS = 20  # a reader that has no room for so long ends the trace


class Trace:
    """Writes each line to `file` at once. What can't be written ends the trace, not the relay."""

    def __init__(self, relay: str, settings: Settings, file: LineWriter) -> None:
        self._relay, self._file = relay, file
        self.is_enabled = True
        self._write(
            {
                "relay": relay,
                "zone": settings.zone,
                "zones": settings.zone_names,
                "gateways": settings.relay_count,
                "classes": settings.classes,
            }
        )

    def __call__(self, now_us: int, event: Event, actions: Sequence[Action]) -> None:
        """One event and its actions. A timer that led to nothing but the next timer is left out."""
        if isinstance(event, TimerExpired) and all(isinstance(a, SetTimer) for a in actions):
            return
        outcome = [[type(a).__name__, a] for a in actions if not isinstance(a, SetTimer)]
        self._write({"t": now_us, "n": self._relay, "on": type(event).__name__, "is": event, "do": outcome})

    def record_request(self, event: RequestEvent) -> None:
        """One step of a request, as the engine records it."""
        self._write({"n": self._relay, **event._asdict()})

    def _write(self, line: dict[str, Any]) -> None:
        if not self.is_enabled:
            return
        try:
            text = orjson.dumps(line, default=str) + b"\n"
            if isinstance(self._file, StandardError):
                self._file.write_bytes(text, WRITE_TIMEOUT_MS)
            else:
                self._file.write(text.decode())
                self._file.flush()
        except (OSError, TypeError):  # a full disk, a reader that left; a value that JSON has no form for
            self.is_enabled = False
