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
MOST_CHARACTERS = 400  # of a text or a value: some of them come from peers


def _printable(value: Any) -> Any:
    if isinstance(value, bool | int | float) or value is None:
        return value
    # a peer's control characters could forge a line, or speak to the terminal of who reads it
    text = str(value)[:MOST_CHARACTERS].encode("ascii", "backslashreplace").decode()
    return "".join(c if " " <= c <= "~" else " " for c in text)[:MOST_CHARACTERS]


class Log:
    """Writes to standard error. Call it with a text and the fields that it is about."""

    def __init__(
        self,
        relay: str,
        lines: int,
        form: str = PLAIN,
        file: LineWriter | None = None,
        clock: Callable[[], float] = time.monotonic,
        dropped: Callable[[], None] = lambda: None,
    ) -> None:
        self.relay, self.lines, self.clock, self.dropped = relay, lines, clock, dropped
        self.second, self.left, self.lost = -1, lines, 0
        form_of = self._plain if form == PLAIN else self._json
        stamp: list[Any] = [] if form == PLAIN else [structlog.processors.TimeStamper(fmt="iso", utc=True)]
        self.logger = structlog.wrap_logger(
            structlog.WriteLogger(file or standard_error()),  # type: ignore[arg-type]
            processors=[self._bound, self._clean, *stamp, form_of],
            cache_logger_on_first_use=True,
        )

    def __call__(self, text: str, **about: object) -> None:
        """One line. `cls` is written as `class`, which can't be a name here."""
        if "cls" in about:
            about["class"] = about.pop("cls")
        try:
            self.logger.info(text, **about)
        except OSError:  # its reader has gone, or the disk is full: that must not end the relay
            self.lost += 1
            self.dropped()

    def _bound(self, _: Any, __: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        """A rush of lines must not slow the relay down, nor fill what keeps them."""
        second = int(self.clock())
        if second != self.second:
            self.second, self.left = second, self.lines
            if self.lost:
                event["dropped"], self.lost = self.lost, 0  # in the lines before this one
        self.left -= 1
        if self.left < 0:
            self.lost += 1
            self.dropped()
            raise structlog.DropEvent
        return event

    @staticmethod
    def _clean(_: Any, __: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        return {key: _printable(value) for key, value in event.items() if value != ""}

    def _plain(self, _: Any, __: str, event: MutableMapping[str, Any]) -> str:
        text = event.pop("event")
        return " ".join([f"{self.relay}: {text}", *(f"{key}={value}" for key, value in event.items())])

    def _json(self, _: Any, __: str, event: MutableMapping[str, Any]) -> str:
        return orjson.dumps({"relay": self.relay, **event}).decode()
