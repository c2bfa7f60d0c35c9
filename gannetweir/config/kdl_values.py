"""Parsers of the values in an operators' file. A parser raises `ValueFormatError` for an invalid value."""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from enum import Enum
from typing import TypeVar

from gannetweir.config.kdl import KdlValue
from gannetweir.errors import GannetweirError
from gannetweir.routing.rules import HEX_DIGITS

E = TypeVar("E", bound=Enum)

MAX_DURATION_US = 3_600_000_000  # one hour; no timeout of a request is longer
MAX_COUNT = 1_000_000_000
MAX_TEXT_CHARACTERS = 200  # longest address or server name
MAX_PERCENT = 100.0
_UNITS_US = {"us": 1, "ms": 1000, "s": 1_000_000, "m": 60_000_000}
_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(us|ms|s|m)")
_PERCENT = re.compile(r"([0-9]+(?:\.[0-9]+)?)%")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")


class ValueFormatError(GannetweirError, ValueError):
    """A value is invalid; the message says what is allowed instead."""


def parse_duration_us(value: KdlValue) -> int:
    """Return `"250ms"`, `"2s"`, `"1.5s"`, `"10m"` or `"900us"` in microseconds; at least 1."""
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueFormatError('a time with its unit, as "250ms" or "2s"')
    duration_us = float(match[1]) * _UNITS_US[match[2]]
    if not 1 <= duration_us <= MAX_DURATION_US:
        raise ValueFormatError('a time over 0, at most "60m"')
    return round(duration_us)


def parse_count(value: KdlValue) -> int:
    """Return an integer over 0."""
    if type(value) is not int or not 0 < value <= MAX_COUNT:
        raise ValueFormatError("a whole number over 0")
    return value


def parse_rate(value: KdlValue) -> float:
    """Return a finite number over 0."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueFormatError("a number over 0")
    if not math.isfinite(value) or not 0 < value <= MAX_COUNT:
        raise ValueFormatError("a finite number over 0")
    return float(value)


def parse_percent(value: KdlValue) -> float:
    """Return a percentage as a share, such as 0.2 for `"20%"`; over 0 and at most 1."""
    match = _PERCENT.fullmatch(value) if isinstance(value, str) else None
    if match is None or not 0.0 < float(match[1]) <= MAX_PERCENT:
        raise ValueFormatError('a share over "0%", at most "100%"')
    return float(match[1]) / MAX_PERCENT


def parse_flag(value: KdlValue) -> bool:
    """Return the boolean that `#true` or `#false` states."""
    if not isinstance(value, bool):
        raise ValueFormatError("#true or #false")
    return value


def parse_name(value: KdlValue) -> str:
    """Return the name of a route or a class."""
    if not isinstance(value, str) or not _NAME.fullmatch(value):
        raise ValueFormatError("a name of letters, digits, - _ or .")
    return value


def parse_hex_prefix(value: KdlValue) -> str:
    """Return the leading hex digits of a group or a key, in lower case."""
    digits = value.lower() if isinstance(value, str) else ""
    if not re.fullmatch(f"[0-9a-f]{{1,{HEX_DIGITS}}}", digits):
        raise ValueFormatError(f'1 to {HEX_DIGITS} hex digits in quotes, as "5c0f"')
    return digits


def parse_text(value: KdlValue) -> str:
    """Return a text of 1 to `MAX_TEXT_CHARACTERS` characters."""
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_CHARACTERS:
        raise ValueFormatError("a text of 1 to 200 characters")
    return value


def one_of(*choices: str) -> Callable[[KdlValue], str]:
    """Return a parser that accepts only the texts in `choices`."""

    def parse_choice(value: KdlValue) -> str:
        if not isinstance(value, str) or value not in choices:
            raise ValueFormatError("one of " + ", ".join(f'"{choice}"' for choice in choices))
        return value

    return parse_choice


def member_of(kind: type[E]) -> Callable[[KdlValue], E]:
    """Return a parser that returns the member of an enum whose value is stated."""
    parse_choice = one_of(*(member.value for member in kind))

    def parse_member(value: KdlValue) -> E:
        return kind(parse_choice(value))

    return parse_member


def format_value(value: KdlValue) -> str:
    """Return a value in KDL notation, cut to a length that fits a message."""
    if value is None:
        return "#null"
    if isinstance(value, bool):
        return f"#{str(value).lower()}"
    max_characters = 60
    return f'"{value[:max_characters]}"' if isinstance(value, str) else f"{value!r}"[:max_characters]
