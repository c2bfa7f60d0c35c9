"""Log lines with fields, as plain text or JSON, written with `structlog` and limited in rate."""

from __future__ import annotations

import time
from collections.abc import Callable

import orjson
import structlog
from structlog.typing import EventDict, Processor

from gannetweir.observability.standard_error import LineWriter, standard_error

PLAIN, JSON = "plain", "json"
FORMS = PLAIN, JSON
MAX_VALUE_CHARACTERS = 400  # longer texts and values are cut: some of them come from peers


def _printable(value: object) -> object:
    """Return the value, or its text without characters that could forge a line or control a terminal."""
    if isinstance(value, bool | int | float) or value is None:
        return value
    text = str(value)[:MAX_VALUE_CHARACTERS].encode("ascii", "backslashreplace").decode()
    printable = "".join(character if " " <= character <= "~" else " " for character in text)
    return printable[:MAX_VALUE_CHARACTERS]


class Log:
    """Writes lines to standard error. Call the log with the text of an event and the fields of the line.

    Owns the number of lines left in the current second, and the number dropped since the last line written.
    """

    def __init__(
        self,
        relay: str,
        lines_per_s: int,
        form: str = PLAIN,
        file: LineWriter | None = None,
        clock: Callable[[], float] = time.monotonic,
        on_drop: Callable[[], None] = lambda: None,
    ) -> None:
        """Write lines for the relay of this name, in one of `FORMS`, to `file` or standard error.

        `on_drop` is called for each line that is dropped.
        """
        self.relay = relay
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._on_drop = on_drop
        self._current_second = -1
        self._remaining_lines = lines_per_s
        self._dropped_count = 0
        self._logger = structlog.wrap_logger(
            structlog.WriteLogger(file or standard_error()),  # type: ignore[arg-type]
            processors=self._processors(form),
            cache_logger_on_first_use=True,
        )

    def _processors(self, form: str) -> list[Processor]:
        if form == PLAIN:
            return [self._limit_rate, self._sanitize, self._render_plain]
        time_stamper = structlog.processors.TimeStamper(fmt="iso", utc=True)
        return [self._limit_rate, self._sanitize, time_stamper, self._render_json]

    def __call__(self, text: str, **fields: object) -> None:
        """Write one line. Raises nothing: a line that can't be written is dropped and counted.

        The field `cls` is written as `class`, which is a keyword in Python.
        """
        if "cls" in fields:
            fields["class"] = fields.pop("cls")
        try:
            self._logger.info(text, **fields)
        except OSError:  # a closed reader or a full disk must not end the relay
            self._dropped_count += 1
            self._on_drop()

    def _limit_rate(self, _logger: object, _method: str, event: EventDict) -> EventDict:
        """Drop lines over the rate: a burst of lines must not slow the relay down or fill the disk."""
        second = int(self._clock())
        if second != self._current_second:
            self._current_second = second
            self._remaining_lines = self._lines_per_s
            if self._dropped_count:
                event["dropped"] = self._dropped_count  # lines dropped since the previous line
                self._dropped_count = 0
        self._remaining_lines -= 1
        if self._remaining_lines < 0:
            self._dropped_count += 1
            self._on_drop()
            raise structlog.DropEvent
        return event

    @staticmethod
    def _sanitize(_logger: object, _method: str, event: EventDict) -> EventDict:
        """Leave out empty fields, and make the other fields safe to print."""
        return {key: _printable(value) for key, value in event.items() if value != ""}

    def _render_plain(self, _logger: object, _method: str, event: EventDict) -> str:
        text = event.pop("event")
        return " ".join([f"{self.relay}: {text}", *(f"{key}={value}" for key, value in event.items())])

    def _render_json(self, _logger: object, _method: str, event: EventDict) -> str:
        return orjson.dumps({"relay": self.relay, **event}).decode()
