"""Figures measured once before the record, and whether the record confirms them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from gannetweir.lab.scale.record import Record

TOLERANCE = 0.2  # relative to the earlier figure


@dataclass(frozen=True, slots=True)
class EarlierFigure:
    """The lowest and highest value of an earlier figure, and a function that reads the value of the
    record.
    """

    label: str
    low: float
    high: float
    unit: str
    current: Callable[[Record], float]

    def verdict(self, record: Record) -> str:
        """Return "confirmed" if the record's value lies in the range widened by `TOLERANCE`, else how it
        differs.
        """
        current = self.current(record)
        if self.low * (1 - TOLERANCE) <= current <= self.high * (1 + TOLERANCE):
            return "confirmed"
        return "refuted: higher" if current > self.high else "refuted: lower"


def _slope_ratio(numerator: str, denominator: str) -> Callable[[Record], float]:
    return lambda record: record[numerator].line.per_unit / record[denominator].line.per_unit


def _mean_per_unit(key: str) -> Callable[[Record], float]:
    return lambda record: record[key].mean_per_unit


def _at(key: str, size: int) -> Callable[[Record], float]:
    return lambda record: record[key].at(size)


EARLIER_FIGURES = (
    EarlierFigure("a decision, 512 backends", 20, 20, "µs", _at("decision", 512)),
    EarlierFigure("a decision, 15,000 backends", 20, 20, "µs", _at("decision", 15000)),
    EarlierFigure(
        "one entry of news that stays ready, 15,000 backends", 5, 5, "µs", _at("news.plain", 15000)
    ),
    EarlierFigure("reading an entry of a whole list", 10, 13, "µs", _mean_per_unit("list.read")),
    EarlierFigure(
        "an entry of a first whole list in the engine", 7.5, 7.5, "µs", _mean_per_unit("list.apply")
    ),
    EarlierFigure("longest turn, 1,500 entries", 26, 26, "ms", _at("list.hold", 1500)),
    EarlierFigure("longest turn, 5,000 entries", 91, 117, "ms", _at("list.hold", 5000)),
    EarlierFigure("longest turn, 15,000 entries", 295, 348, "ms", _at("list.hold", 15000)),
    EarlierFigure("an entry on the wire", 135, 135, "bytes", _mean_per_unit("list.wire")),
    EarlierFigure("an entry in memory", 0.74, 0.74, "KB", _mean_per_unit("list.memory")),
    EarlierFigure(
        "a plain line, there and back, 3,600 a second",
        170,
        170,
        "µs",
        lambda record: record["line.both.relay"].mean_per_unit,
    ),
    EarlierFigure(
        "the same, over a copying proxy's",
        1.84,
        1.84,
        "times",
        _slope_ratio("line.both.relay", "line.both.proxy"),
    ),
    EarlierFigure(
        "a connection", 21, 21, "KB", lambda record: record["connection.memory.relay"].line.per_unit
    ),
    EarlierFigure(
        "the same, over a copying proxy's",
        1.85,
        1.85,
        "times",
        _slope_ratio("connection.memory.relay", "connection.memory.proxy"),
    ),
    EarlierFigure(
        "a set-up, over a copying proxy's",
        2.06,
        2.06,
        "times",
        lambda record: record["setup.relay"].mean_per_unit / record["setup.proxy"].mean_per_unit,
    ),
)
