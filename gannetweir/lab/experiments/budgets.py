"""Experiments on the world. Each returns rows for a table and a chart; the same seeds give the same rows."""

from __future__ import annotations

import random
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from pathlib import Path

from gannetweir.lab.model.world import SECOND, Plan, World

FAIL_FROM, FAIL_TO, LENGTH = 40, 70, 150  # seconds
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
class Outcome:
    """What one run of the failing fleet showed."""

    per_request: float  # attempts for each request that was asked while it failed
    peak: float  # the same of the worst second
    per_first: float  # attempts for each first try, the clients' own retries included
    served_failing: float  # share of the requests
    served_after: float  # of those of the 30 s that follow
    back_s: float  # from the end of the failing until 95% are served, and stay so
    broken: int
    counts: dict[str, int]
    line: list[float]  # served a second, in steps of STEP_S


def failing_fleet(plan: Plan, file: str) -> Outcome:
    """Every backend fails a share of its own, 40 to 90%, for 30 s."""
    world = World(plan, file)
    rng = random.Random(f"{plan.seed} faults")
    shares = {name: rng.uniform(0.4, 0.9) for name in world.backends}

    def fail(on: bool) -> None:
        for backend in world.backends.values():
            backend.fails = shares[backend.name] if on else 0.0

    world.at(FAIL_FROM, lambda: fail(True))
    world.at(FAIL_TO, lambda: fail(False))
    checker = world.run(LENGTH)
    start = world.clock.now - world.clock.passed_us
    by_second: dict[int, list[tuple[int, bool, bool]]] = {}
    for story in checker.stories.values():
        second = (story.sent_us - start) // SECOND
        by_second.setdefault(second, []).append((story.attempts, story.first, "up" in story.answers))

    def window(begin: int, end: int) -> list[tuple[int, bool, bool]]:
        return [one for second in range(begin, end) for one in by_second.get(second, [])]

    def served(begin: int, end: int) -> float:
        asked = window(begin, end)
        return sum(up for _, _, up in asked) / max(1, len(asked))

    failing = window(FAIL_FROM, FAIL_TO)
    seconds = [by_second.get(s, []) for s in range(FAIL_FROM, FAIL_TO)]
    bad = [s for s in range(FAIL_TO, LENGTH - 5) if served(s, s + 5) < 0.95]
    back = bad[-1] + 1 if bad else FAIL_TO
    line = [0.0] * (LENGTH // STEP_S)
    for at, answer in world.served:
        if answer == "up" and at // SECOND < LENGTH:
            line[at // SECOND // STEP_S] += 1.0 / STEP_S
    attempts = sum(n for n, _, _ in failing)
    return Outcome(
        attempts / max(1, len(failing)),
        max(sum(n for n, _, _ in one) / max(1, len(one)) for one in seconds),
        attempts / max(1, sum(first for _, first, _ in failing)),
        served(FAIL_FROM, FAIL_TO),
        served(FAIL_TO, FAIL_TO + 30),
        float(back - FAIL_TO),
        len(checker.broken),
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


def budgets(
    example: Path, seeds: int, backends: int = 300, per_s: float = 25.0
) -> tuple[list[list[str]], list[tuple[str, list[float]]]]:
    """With and without budgets, where the session store binds and where it does not. Means over the seeds."""
    files = {"none": "", "budgets of 20%": BUDGET_FILE, "the example": example.read_text()}
    rows: list[list[str]] = []
    lines: list[tuple[str, list[float]]] = []
    base = Plan(backends=backends, per_s=per_s, groups=400)
    for store in (2.0 * per_s, 20.0 * per_s):
        for name, file in files.items():
            plans = [replace(base, seed=seed, store_per_s=store) for seed in range(1, seeds + 1)]
            with ProcessPoolExecutor() as pool:  # each seed is a world of its own
                runs = list(pool.map(failing_fleet, plans, [file] * seeds))
            count = len(runs)
            rows.append(
                [
                    f"{store:g}",
                    name,
                    f"{sum(r.per_request for r in runs) / count:.2f}",
                    f"{max(r.peak for r in runs):.2f}",
                    f"{sum(r.per_first for r in runs) / count:.2f}",
                    f"{sum(r.served_failing for r in runs) / count:.2f}",
                    f"{sum(r.served_after for r in runs) / count:.2f}",
                    f"{sum(r.back_s for r in runs) / count:.1f} s (most {max(r.back_s for r in runs):.0f})",
                    f"{sum(r.broken for r in runs)}",
                ]
            )
            mean = [sum(values) / count for values in zip(*(r.line for r in runs), strict=True)]
            lines.append((f"{store:g}/s {name}", mean))
    return rows, lines
