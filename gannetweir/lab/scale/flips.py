"""Which conclusions depend on the assumptions, and the sizes at which they change."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from gannetweir.lab.scale import target
from gannetweir.lab.scale.model import CapacityLoad
from gannetweir.lab.scale.record import Record
from gannetweir.lab.scale.slopes import FitRefusedError
from gannetweir.lab.scale.target import Assumptions, swept_assumptions
from gannetweir.placement.group_placement import MAX_CANDIDATES

BISECTION_STEPS = 60


@dataclass(frozen=True, slots=True)
class Conclusion:
    """A statement that holds if a load is within its budget. `ratio` is load over budget, or raises
    `FitRefusedError`.
    """

    text: str
    ratio: Callable[[CapacityLoad], float]


@dataclass(frozen=True, slots=True)
class ConclusionResult:
    """A conclusion for all swept assumptions. A ratio of None needs a refused fit."""

    text: str
    ratios: dict[str, float | None]  # by the name of the assumptions
    crossover_backends: float | None  # backends at which the ratio crosses 1, with a lifetime of 10 min
    crossover_lifetime_s: float | None  # lifetime at which the ratio crosses 1, with 5,000 backends

    @property
    def depends_on_assumptions(self) -> bool:
        """Whether the conclusion holds for some of the swept assumptions and not for others."""
        verdicts = {ratio <= 1.0 for ratio in self.ratios.values() if ratio is not None}
        return len(verdicts) > 1


def _process_ratio(load: CapacityLoad, sorted_order: bool = True) -> float:
    """Return the number of processes that carry the load, divided by the cores of a machine; infinite if no
    number of processes carries the load.
    """
    count = load.processes(sorted_order)
    return float("inf") if count is None else count / load.assumptions.cores


CONCLUSIONS = (
    Conclusion(
        "a whole list is told within 12 s at 10 KB/s",
        lambda load: load.snapshot_transfer_s() / target.IN_FORCE_S,
    ),
    Conclusion("a whole list stalls no line for 240 ms", lambda load: load.stall_ms() / target.DELIVERY_MS),
    Conclusion(
        "upkeep fits in 3.8% of a core, were a machine one process",
        lambda load: load.control_cores(1) / target.CONTROL_CORES,
    ),
    Conclusion("a relay machine of 8 cores carries the load", _process_ratio),
    Conclusion(
        "it does if no group's order has to be sorted", lambda load: _process_ratio(load, sorted_order=False)
    ),
    Conclusion(
        "the largest topic fits in the eight backends that are looked at",
        lambda load: load.topic_backends() / MAX_CANDIDATES,
    ),
    Conclusion(
        "a zone's backends are told within 12 s at 10 KB/s",
        lambda load: load.assumptions.backends / target.ZONES * load.entry_bytes() / target.CHANGE_BYTES,
    ),
)


def crossover(ratio: Callable[[float], float], low: float, high: float) -> float | None:
    """Return the size at which a ratio crosses 1 between two sizes, by bisection on a logarithmic scale.
    Returns None if the ratio does not cross 1, or needs a refused fit.
    """
    try:
        within = ratio(low) <= 1.0
        if within == (ratio(high) <= 1.0):
            return None
        for _ in range(BISECTION_STEPS):
            middle = (low * high) ** 0.5
            low, high = (middle, high) if (ratio(middle) <= 1.0) == within else (low, middle)
    except FitRefusedError:
        return None
    return high


def evaluate(conclusion: Conclusion, record: Record) -> ConclusionResult:
    """Evaluate a conclusion for every pair of assumptions, and find the sizes at which it changes."""

    def ratio(case: Assumptions) -> float:
        return conclusion.ratio(CapacityLoad(record, case))

    def ratio_or_none(case: Assumptions) -> float | None:
        try:
            return ratio(case)
        except FitRefusedError:
            return None

    middle = Assumptions()
    return ConclusionResult(
        conclusion.text,
        {case.name: ratio_or_none(case) for case in swept_assumptions()},
        crossover(
            lambda n: ratio(replace(middle, backends=round(n))), target.BACKENDS[0], target.BACKENDS[-1]
        ),
        crossover(
            lambda s: ratio(replace(middle, lifetime_s=s)),
            target.CONNECTION_LIFETIMES_S[0],
            target.CONNECTION_LIFETIMES_S[-1],
        ),
    )


def evaluate_all(record: Record) -> list[ConclusionResult]:
    """Evaluate all conclusions."""
    return [evaluate(conclusion, record) for conclusion in CONCLUSIONS]
