"""Log lines on `structlog`: plain text or JSON, with fields, bounded a second, what was dropped counted."""

from __future__ import annotations

import time
from collections.abc import Callable, MutableMapping
from typing import Any

import orjson
import structlog

from gannetweir.observability.standard_error import LineWriter, standard_error

PLAIN, JSON = "plain", "json"
FORMS = PLAIN, JSON
MAX_CHARACTERS = 400  # of a text or a value: some of them come from peers


def _printable(value: Any) -> Any:
    if isinstance(value, bool | int | float) or value is None:
        return value
    # a peer's control characters could forge a line, or speak to the terminal of who reads it
    text = str(value)[:MAX_CHARACTERS].encode("ascii", "backslashreplace").decode()
    return "".join(c if " " <= c <= "~" else " " for c in text)[:MAX_CHARACTERS]


class Log:
    """Writes to standard error. Call it with a text and the fields that it is about."""

    def __init__(
        self,
        relay: str,
        lines_per_s: int,
        form: str = PLAIN,
        file: LineWriter | None = None,
        clock: Callable[[], float] = time.monotonic,
        on_drop: Callable[[], None] = lambda: None,
    ) -> None:
        self.relay, self._lines_per_s, self._clock, self._on_drop = relay, lines_per_s, clock, on_drop
        self._current_second, self._lines_left, self._dropped_count = -1, lines_per_s, 0
        form_of = self._render_plain if form == PLAIN else self._render_json
        stamp: list[Any] = [] if form == PLAIN else [structlog.processors.TimeStamper(fmt="iso", utc=True)]
        self._logger = structlog.wrap_logger(
            structlog.WriteLogger(file or standard_error()),  # type: ignore[arg-type]
            processors=[self._limit_rate, self._sanitize, *stamp, form_of],
            cache_logger_on_first_use=True,
        )

    def __call__(self, text: str, **about: object) -> None:
        """One line. `cls` is written as `class`, which can't be a name here."""
        if "cls" in about:
            about["class"] = about.pop("cls")
        try:
            self._logger.info(text, **about)
        except OSError:  # its reader has gone, or the disk is full: that must not end the relay
            self._dropped_count += 1
            self._on_drop()

    def _limit_rate(self, _: Any, __: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        """A rush of lines must not slow the relay down, nor fill what keeps them."""
        second = int(self._clock())
        if second != self._current_second:
            self._current_second, self._lines_left = second, self._lines_per_s
            if self._dropped_count:
                event["dropped"], self._dropped_count = self._dropped_count, 0  # in the lines before this one
        self._lines_left -= 1
        if self._lines_left < 0:
            self._dropped_count += 1
            self._on_drop()
            raise structlog.DropEvent
        return event

    @staticmethod
    def _sanitize(_: Any, __: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        return {key: _printable(value) for key, value in event.items() if value != ""}

    def _render_plain(self, _: Any, __: str, event: MutableMapping[str, Any]) -> str:
        text = event.pop("event")
        return " ".join([f"{self.relay}: {text}", *(f"{key}={value}" for key, value in event.items())])

    def _render_json(self, _: Any, __: str, event: MutableMapping[str, Any]) -> str:
        return orjson.dumps({"relay": self.relay, **event}).decode()
