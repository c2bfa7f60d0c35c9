"""What every measurement of a cost shares: sizes in turn, rounds, clocks, and who is told of the progress."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from gannetweir.lab.scale.slopes import Cost, Sample

Step = Callable[[], None]
# The figures of one round at one size, by the key of the cost that each belongs to.
Measured = Callable[[int], dict[str, float]]


@dataclass(frozen=True, slots=True)
class Named:
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


def sweep(plan: Sweep, named: Sequence[Named], one: Measured, step: Step) -> list[Cost]:
    """Measure every size once a round, the check's size last, after the sizes that predict it."""
    found: dict[str, dict[int, list[float]]] = {name.key: {} for name in named}
    for _ in range(plan.rounds):
        for size in (*plan.sizes, plan.check):
            for key, value in one(size).items():
                found[key].setdefault(size, []).append(value)
            step()
    return [
        Cost(
            name.key,
            name.title,
            name.unit,
            name.size_unit,
            [Sample(size, found[name.key][size]) for size in plan.sizes],
            Sample(plan.check, found[name.key][plan.check]),
            name.method,
            plan.facts.get(name.key, {}),
        )
        for name in named
    ]
