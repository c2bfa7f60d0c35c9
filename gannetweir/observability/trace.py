"""The trace of placement: the events that the balancer received and its actions, one JSON line per event.

`serve --trace` turns the trace on; it only records. The first line describes the relay. The keys of the other
lines are `t`, the time in microseconds; `n`, the relay; `on`, the type of the event; `is`, the event; and
`do`, the actions. The line of a step of a request has `n` and the fields of `RequestEvent` instead.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import orjson

from gannetweir.core.request_log import RequestEvent
from gannetweir.observability.standard_error import LineWriter, StandardError
from gannetweir.placement.actions import Action, SetTimer
from gannetweir.placement.events import Event, TimerExpired
from gannetweir.placement.settings import Settings

WRITE_TIMEOUT_MS = 20  # a write blocks the relay for so long at most; a slower reader ends the trace


class Trace:
    """Writes each line to `file` at once. A line that can't be written ends the trace, not the relay."""

    def __init__(self, relay: str, settings: Settings, file: LineWriter) -> None:
        self.is_enabled = True
        self._relay = relay
        self._file = file
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
        """Record one event and its actions. A timer event that only sets the next timer is left out."""
        if isinstance(event, TimerExpired) and all(isinstance(action, SetTimer) for action in actions):
            return
        decided = [[type(action).__name__, action] for action in actions if not isinstance(action, SetTimer)]
        self._write({"t": now_us, "n": self._relay, "on": type(event).__name__, "is": event, "do": decided})

    def record_request(self, event: RequestEvent) -> None:
        """Record one step of a request."""
        self._write({"n": self._relay, **event._asdict()})

    def _write(self, line: Mapping[str, object]) -> None:
        if not self.is_enabled:
            return
        try:
            text = orjson.dumps(line, default=str) + b"\n"
            if isinstance(self._file, StandardError):
                self._file.write_bytes(text, WRITE_TIMEOUT_MS)
            else:
                self._file.write(text.decode())
                self._file.flush()
        except (OSError, TypeError):  # a full disk, a closed reader, or a value that JSON can't represent
            self.is_enabled = False
