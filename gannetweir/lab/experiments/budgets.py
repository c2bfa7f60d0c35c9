"""Experiments on the world. Each returns rows for a table and a chart; the same seeds give the same rows."""

from __future__ import annotations

import random
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from pathlib import Path

from gannetweir.lab.model.plan import SECOND_US, WorldPlan
from gannetweir.lab.model.world import World

FAILING_FROM_S, FAILING_UNTIL_S, LENGTH_S = 40, 70, 150  # seconds
STEP_S = 2

BUDGET_FILE = """gannetweir version=1
relay {
    retry-budget share="20%" window="10s" floor=10
}
default {
    retry-budget share="20%" window="10s" floor=5
}
"""


@dataclass(slots=True)
class BudgetOutcome:
    """What one run of the failing fleet showed."""

    attempts_per_request: float  # attempts for each request that was asked while it failed
    worst_second: float  # the same of the worst second
    attempts_per_first_try: float  # attempts for each first try, the clients' own retries included
    served_while_failing: float  # share of the requests
    served_after: float  # of those of the 30 s that follow
    recovered_after_s: float  # from the end of the failing until 95% are served, and stay so
    violations: int
    counts: dict[str, int]
    served_per_s: list[float]  # served a second, in steps of STEP_S


def run_failing_fleet(plan: WorldPlan, operators_file: str) -> BudgetOutcome:
    """Every backend fails a share of its own, 40 to 90%, for 30 s."""
    world = World(plan, operators_file)
    rng = random.Random(f"{plan.seed} faults")
    shares = {name: rng.uniform(0.4, 0.9) for name in world.backends}

    def fail(on: bool) -> None:
        for backend in world.backends.values():
            backend.failure_rate = shares[backend.name] if on else 0.0

    world.schedule(FAILING_FROM_S, lambda: fail(True))
    world.schedule(FAILING_UNTIL_S, lambda: fail(False))
    checker = world.run(LENGTH_S)
    start = world.clock.now_us - world.clock.elapsed_us
    by_second: dict[int, list[tuple[int, bool, bool]]] = {}
    for story in checker.traces.values():
        second = (story.sent_us - start) // SECOND_US
        by_second.setdefault(second, []).append((story.attempts, story.is_first_try, "up" in story.answers))

    def window(begin: int, end: int) -> list[tuple[int, bool, bool]]:
        return [one for second in range(begin, end) for one in by_second.get(second, [])]

    def served(begin: int, end: int) -> float:
        asked = window(begin, end)
        return sum(up for _, _, up in asked) / max(1, len(asked))

    failing = window(FAILING_FROM_S, FAILING_UNTIL_S)
    seconds = [by_second.get(s, []) for s in range(FAILING_FROM_S, FAILING_UNTIL_S)]
    bad = [s for s in range(FAILING_UNTIL_S, LENGTH_S - 5) if served(s, s + 5) < 0.95]
    back = bad[-1] + 1 if bad else FAILING_UNTIL_S
    line = [0.0] * (LENGTH_S // STEP_S)
    for at, answer in world.clients.final_answers:
        if answer == "up" and at // SECOND_US < LENGTH_S:
            line[at // SECOND_US // STEP_S] += 1.0 / STEP_S
    attempts = sum(n for n, _, _ in failing)
    return BudgetOutcome(
        attempts / max(1, len(failing)),
        max(sum(n for n, _, _ in one) / max(1, len(one)) for one in seconds),
        attempts / max(1, sum(first for _, first, _ in failing)),
        served(FAILING_FROM_S, FAILING_UNTIL_S),
        served(FAILING_UNTIL_S, FAILING_UNTIL_S + 30),
        float(back - FAILING_UNTIL_S),
        len(checker.violations),
        dict(checker.counts),
        line,
    )


COLUMNS = (
    "store, calls/s",
    "file",
    "attempts a request",
    "worst second",
    "attempts a first try",
    "served while failing",
    "served in 30 s after",
    "back after",
    "rules broken",
)


def compare_budgets(
    example: Path, seeds: int, backends: int = 300, arrivals_per_s: float = 25.0
) -> tuple[list[list[str]], list[tuple[str, list[float]]]]:
    """With and without budgets, where the session store binds and where it does not. Means over the seeds."""
    files = {"none": "", "budgets of 20%": BUDGET_FILE, "the example": example.read_text()}
    rows: list[list[str]] = []
    lines: list[tuple[str, list[float]]] = []
    base = WorldPlan(backends=backends, arrivals_per_s=arrivals_per_s, groups=400)
    for store in (2.0 * arrivals_per_s, 20.0 * arrivals_per_s):
        for name, file in files.items():
            plans = [replace(base, seed=seed, store_calls_per_s=store) for seed in range(1, seeds + 1)]
            with ProcessPoolExecutor() as pool:  # each seed is a world of its own
                runs = list(pool.map(run_failing_fleet, plans, [file] * seeds))
            count = len(runs)
            recoveries_s = [run.recovered_after_s for run in runs]
            rows.append(
                [
                    f"{store:g}",
                    name,
                    f"{sum(r.attempts_per_request for r in runs) / count:.2f}",
                    f"{max(r.worst_second for r in runs):.2f}",
                    f"{sum(r.attempts_per_first_try for r in runs) / count:.2f}",
                    f"{sum(r.served_while_failing for r in runs) / count:.2f}",
                    f"{sum(r.served_after for r in runs) / count:.2f}",
                    f"{sum(recoveries_s) / count:.1f} s (most {max(recoveries_s):.0f})",
                    f"{sum(r.violations for r in runs)}",
                ]
            )
            mean = [sum(values) / count for values in zip(*(r.served_per_s for r in runs), strict=True)]
            lines.append((f"{store:g}/s {name}", mean))
    return rows, lines
