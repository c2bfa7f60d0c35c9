"""How a cost grows with a size: medians of the measured values, a least-squares line, and the check of the
line's prediction.

A round measures every size once. A line fitted over all sizes but the largest predicts the cost at the
largest, which is measured last. A machine that is slower for some seconds therefore slows both the sizes
that predict and the size that is predicted. If the median error of the predictions exceeds
`MAX_PREDICTION_ERROR`, the fit is refused, and the cost has no value beyond the measured sizes.
"""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import pairwise

MAX_PREDICTION_ERROR = 0.15  # relative to the measured value
MIN_SIZES = 4
MIN_SIZE_RATIO = 16.0  # the largest fitted size over the smallest


class FitRefusedError(ValueError):
    """A value was requested that only extrapolation could give, and the fit is refused."""


@dataclass(frozen=True, slots=True)
class Line:
    """The line `fixed + per_unit * size`."""

    fixed: float
    per_unit: float

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.fixed + self.per_unit * size


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Return the least-squares line for (size, value) points. Raises `ValueError` for fewer than two
    sizes.
    """
    if len({size for size, _ in points}) < 2:
        raise ValueError("a fit needs at least two sizes")
    mean_size = statistics.fmean(size for size, _ in points)
    mean_value = statistics.fmean(value for _, value in points)
    spread = sum((size - mean_size) ** 2 for size, _ in points)
    slope = sum((size - mean_size) * (value - mean_value) for size, value in points) / spread
    return Line(mean_value - slope * mean_size, slope)


@dataclass(frozen=True, slots=True)
class Sample:
    """The measured values at one size, one for each round."""

    size: int
    values: list[float]

    @property
    def median(self) -> float:
        """The median of the rounds, which one slow round does not move."""
        return statistics.median(self.values)


@dataclass(frozen=True, slots=True)
class Cost:
    """A measured cost: the samples that the line is fitted over, and the larger sample that checks the
    fit.
    """

    key: str
    title: str
    unit: str  # the unit of the values
    size_unit: str  # what a size counts
    samples: list[Sample]
    check: Sample
    method: str = ""  # the method of measurement, in a sentence
    facts: dict[str, float] = field(default_factory=dict)  # other values from the same run

    @property
    def line(self) -> Line:
        """The line fitted over the samples, without the check."""
        return fit([(sample.size, sample.median) for sample in self.samples])

    @property
    def errors(self) -> list[float]:
        """The signed error of each round's prediction, relative to the value that the round measured."""
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
        """Why the fit is refused; empty if the fit is accepted."""
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
        """The fitted line. Raises `FitRefusedError` if the fit is refused."""
        if self.refusal:
            raise FitRefusedError(f"{self.key}: {self.refusal}")
        return self.line

    def at(self, size: float) -> float:
        """Return the measured median at a measured size, and the line's value at any other. If the fit is
        refused, interpolates between measured sizes, and raises `FitRefusedError` beyond them.
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
        """The mean cost per unit of size, at the largest measured size."""
        return self.check.median / self.check.size
