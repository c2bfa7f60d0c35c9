"""What every measurement of a cost shares: sizes in turn, rounds, clocks, and who is told of the progress."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from gannetweir.lab.scale.slopes import Cost, Sample

ProgressCallback = Callable[[], None]
# The figures of one round at one size, by the key of the cost that each belongs to.
SizeMeasurement = Callable[[int], dict[str, float]]


@dataclass(frozen=True, slots=True)
class CostDefinition:
    """What a cost is called, and in which unit it is counted."""

    key: str
    title: str
    unit: str
    size_unit: str
    method: str = ""


@dataclass(frozen=True, slots=True)
class Sweep:
    """Sizes that a cost is fitted over, the larger one that checks the fit, and the rounds."""

    sizes: Sequence[int]
    check: int
    rounds: int = 5
    facts: dict[str, dict[str, float]] = field(default_factory=dict)

    @property
    def steps(self) -> int:
        """How often the caller is told that a repetition is done."""
        return (len(self.sizes) + 1) * self.rounds


def processor_us(call: Callable[[], object]) -> float:
    """Processor time of one call, in microseconds."""
    began = time.process_time_ns()
    call()
    return (time.process_time_ns() - began) / 1000.0


def elapsed_ms(call: Callable[[], object]) -> float:
    """Time that one call holds its thread, in milliseconds."""
    began = time.perf_counter_ns()
    call()
    return (time.perf_counter_ns() - began) / 1e6


def measure_sizes(
    plan: Sweep,
    definitions: Sequence[CostDefinition],
    measure_size: SizeMeasurement,
    on_progress: ProgressCallback,
) -> list[Cost]:
    """Measure every size once a round, the check's size last, after the sizes that predict it."""
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
