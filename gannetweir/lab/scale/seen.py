"""Figures that were seen once before the record was made: does it confirm them?"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from gannetweir.lab.scale.record import Record

NEAR = 0.2  # of what was seen


@dataclass(frozen=True, slots=True)
class Seen:
    """One earlier figure, from its lowest to its highest, and the record's."""

    what: str
    low: float
    high: float
    unit: str
    now: Callable[[Record], float]

    def verdict(self, record: Record) -> str:
        """Confirmed if the record's figure is within a fifth of the range."""
        now = self.now(record)
        if self.low * (1 - NEAR) <= now <= self.high * (1 + NEAR):
            return "confirmed"
        return "refuted: higher" if now > self.high else "refuted: lower"


def _over(one: str, other: str) -> Callable[[Record], float]:
    return lambda record: record[one].line.per_unit / record[other].line.per_unit


def _each(key: str) -> Callable[[Record], float]:
    return lambda record: record[key].mean_per_unit


def _at(key: str, size: int) -> Callable[[Record], float]:
    return lambda record: record[key].at(size)


SEEN = (
    Seen("a decision, 512 backends", 20, 20, "µs", _at("decision", 512)),
    Seen("a decision, 15,000 backends", 20, 20, "µs", _at("decision", 15000)),
    Seen("one entry of news that stays ready, 15,000 backends", 5, 5, "µs", _at("news.plain", 15000)),
    Seen("reading an entry of a whole list", 10, 13, "µs", _each("list.read")),
    Seen("an entry of a first whole list in the engine", 7.5, 7.5, "µs", _each("list.apply")),
    Seen("longest turn, 1,500 entries", 26, 26, "ms", _at("list.hold", 1500)),
    Seen("longest turn, 5,000 entries", 91, 117, "ms", _at("list.hold", 5000)),
    Seen("longest turn, 15,000 entries", 295, 348, "ms", _at("list.hold", 15000)),
    Seen("an entry on the wire", 135, 135, "bytes", _each("list.wire")),
    Seen("an entry in memory", 0.74, 0.74, "KB", _each("list.memory")),
    Seen(
        "a plain line, there and back, 3,600 a second",
        170,
        170,
        "µs",
        lambda record: record["line.both.relay"].mean_per_unit,
    ),
    Seen(
        "the same, over a copying proxy's", 1.84, 1.84, "times", _over("line.both.relay", "line.both.proxy")
    ),
    Seen("a connection", 21, 21, "KB", lambda record: record["connection.memory.relay"].line.per_unit),
    Seen(
        "the same, over a copying proxy's",
        1.85,
        1.85,
        "times",
        _over("connection.memory.relay", "connection.memory.proxy"),
    ),
    Seen(
        "a set-up, over a copying proxy's",
        2.06,
        2.06,
        "times",
        lambda record: record["setup.relay"].mean_per_unit / record["setup.proxy"].mean_per_unit,
    ),
)
