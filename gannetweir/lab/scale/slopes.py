"""How a cost grows with a size: medians of raw figures, a least-squares line, and the check of its
prediction.

A round measures every size once; a line over all but the largest predicts that one, which is measured last.
So a machine that is slower for some seconds slows both sides of a comparison. A median prediction that is
off by more than `MAX_PREDICTION_ERROR` refuses the fit, and then nothing beyond the measured sizes has a
value.
"""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import pairwise

MAX_PREDICTION_ERROR = 0.15  # of the measured value
MIN_SIZES = 4
MIN_SIZE_RATIO = 16.0  # from the smallest to the largest size that the line is fitted over


class FitRefusedError(ValueError):
    """A value was asked for that only an extrapolation could give, and the fit does not hold."""


@dataclass(frozen=True, slots=True)
class Line:
    """`fixed + per_unit * size`."""

    fixed: float
    per_unit: float

    def at(self, size: float) -> float:
        """The line's value at a size."""
        return self.fixed + self.per_unit * size


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """The least-squares line through (size, value) points; `ValueError` for fewer than two sizes."""
    if len({size for size, _ in points}) < 2:
        raise ValueError("a line needs two sizes")
    mean_size = statistics.fmean(size for size, _ in points)
    mean_value = statistics.fmean(value for _, value in points)
    spread = sum((size - mean_size) ** 2 for size, _ in points)
    slope = sum((size - mean_size) * (value - mean_value) for size, value in points) / spread
    return Line(mean_value - slope * mean_size, slope)


@dataclass(frozen=True, slots=True)
class Sample:
    """The raw figures at one size, one a round."""

    size: int
    values: list[float]

    @property
    def median(self) -> float:
        """What the rounds say together; one slow turn of the machine does not move it."""
        return statistics.median(self.values)


@dataclass(frozen=True, slots=True)
class Cost:
    """One measured cost: the samples that the line is fitted over, and the larger one that checks it."""

    key: str
    title: str
    unit: str  # of a value
    size_unit: str  # what a size counts
    samples: list[Sample]
    check: Sample
    method: str = ""  # how it was measured, in a sentence
    facts: dict[str, float] = field(default_factory=dict)  # other figures of the same run

    @property
    def line(self) -> Line:
        """The fit over the samples, the check left out."""
        return fit([(sample.size, sample.median) for sample in self.samples])

    @property
    def errors(self) -> list[float]:
        """Of each round's prediction, as a signed share of what the round then measured."""
        by_round = []
        for round_index, measured in enumerate(self.check.values):
            line = fit([(sample.size, sample.values[round_index]) for sample in self.samples])
            by_round.append((line.at(self.check.size) - measured) / measured if measured else float("inf"))
        return by_round

    @property
    def error(self) -> float:
        """The median of the rounds' errors."""
        return statistics.median(self.errors)

    @property
    def refusal(self) -> str:
        """Why the fit may not be used; empty if it may."""
        sizes = sorted({sample.size for sample in self.samples})
        if len(sizes) < MIN_SIZES or sizes[-1] < MIN_SIZE_RATIO * sizes[0]:
            return f"{len(sizes)} sizes over a factor of {sizes[-1] / sizes[0]:.0f}"
        if self.check.size <= sizes[-1]:
            return "the check is no larger size"
        if not abs(self.error) <= MAX_PREDICTION_ERROR:
            return f"off by {100 * self.error:+.0f}%"
        return ""

    @property
    def accepted_line(self) -> Line:
        """The line, where it may be used; `FitRefusedError` where it may not."""
        if self.refusal:
            raise FitRefusedError(f"{self.key}: {self.refusal}")
        return self.line

    def at(self, size: float) -> float:
        """The measured median at a measured size, else the line's value. Where the fit is refused, between
        measured sizes; beyond them `FitRefusedError`.
        """
        points = sorted((sample.size, sample.median) for sample in (*self.samples, self.check))
        for measured, value in points:
            if measured == size:
                return value
        if not self.refusal:
            return self.line.at(size)
        for (below, low), (above, high) in pairwise(points):
            if below < size < above:
                return low + (high - low) * (size - below) / (above - below)
        return self.accepted_line.at(size)

    @property
    def mean_per_unit(self) -> float:
        """The mean cost of one, over the largest size that was measured."""
        return self.check.median / self.check.size
