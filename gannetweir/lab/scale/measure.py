"""Common parts of the cost measurements: sweeps over sizes, rounds, clocks and progress callbacks."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from gannetweir.lab.scale.slopes import Cost, Sample

ProgressCallback = Callable[[], None]
# A function that measures one size in one round and returns the values by the keys of their costs.
SizeMeasurement = Callable[[int], dict[str, float]]


@dataclass(frozen=True, slots=True)
class CostDefinition:
    """The key and title of a cost, its unit, what its sizes count, and how it is measured."""

    key: str
    title: str
    unit: str
    size_unit: str
    method: str = ""


@dataclass(frozen=True, slots=True)
class Sweep:
    """Sizes that a cost is fitted over, the larger size that checks the fit, and the number of rounds.
    `facts` are further values from the same run, by the key of the cost that they belong to.
    """

    sizes: Sequence[int]
    check: int
    rounds: int = 5
    facts: dict[str, dict[str, float]] = field(default_factory=dict)

    @property
    def steps(self) -> int:
        """Number of calls of the progress callback: one for each size in each round."""
        return (len(self.sizes) + 1) * self.rounds


def processor_us(call: Callable[[], object]) -> float:
    """Return the processor time of one call, in microseconds."""
    started_ns = time.process_time_ns()
    call()
    return (time.process_time_ns() - started_ns) / 1000.0


def elapsed_ms(call: Callable[[], object]) -> float:
    """Return the elapsed time of one call, in milliseconds."""
    started_ns = time.perf_counter_ns()
    call()
    return (time.perf_counter_ns() - started_ns) / 1e6


def measure_sizes(
    plan: Sweep,
    definitions: Sequence[CostDefinition],
    measure_size: SizeMeasurement,
    on_progress: ProgressCallback,
) -> list[Cost]:
    """Measure every size once per round and return the costs. In each round the size that checks the fit
    comes last, after the sizes that predict it.
    """
    values_by_size: dict[str, dict[int, list[float]]] = {definition.key: {} for definition in definitions}
    for _ in range(plan.rounds):
        for size in (*plan.sizes, plan.check):
            for key, value in measure_size(size).items():
                values_by_size[key].setdefault(size, []).append(value)
            on_progress()
    return [
        Cost(
            definition.key,
            definition.title,
            definition.unit,
            definition.size_unit,
            [Sample(size, values_by_size[definition.key][size]) for size in plan.sizes],
            Sample(plan.check, values_by_size[definition.key][plan.check]),
            definition.method,
            plan.facts.get(definition.key, {}),
        )
        for definition in definitions
    ]
