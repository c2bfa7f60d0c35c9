"""Measures retry budgets on a simulated fleet with failing backends. Equal seeds give equal rows."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from pathlib import Path

from gannetweir.lab.model.checker import RequestTrace
from gannetweir.lab.model.plan import SECOND_US, WorldPlan
from gannetweir.lab.model.world import World

FAILING_FROM_S, FAILING_UNTIL_S, DURATION_S = 40, 70, 150
RECOVERY_PERIOD_S = 30  # the period after the failures over which `served_after` is measured
# The fleet has recovered once every window of this length has at least this share of its requests served.
RECOVERY_WINDOW_S, RECOVERED_SHARE = 5, 0.95
MIN_FAILURE_RATE, MAX_FAILURE_RATE = 0.4, 0.9
CHART_STEP_S = 2

BUDGET_FILE = """gannetweir version=1
relay {
    retry-budget share="20%" window="10s" floor=10
}
default {
    retry-budget share="20%" window="10s" floor=5
}
"""


@dataclass(frozen=True, slots=True)
class BudgetOutcome:
    """The figures of a run of the failing fleet. Shares are shares of the requests."""

    attempts_per_request: float  # measured while the backends fail
    worst_second: float  # attempts per request in the worst second of the failures
    attempts_per_first_try: float  # counts the attempts for the clients' own retries as well
    served_while_failing: float
    served_after: float  # measured over the recovery period
    recovered_after_s: float  # the time between the end of the failures and a lasting recovery
    violations: int
    counts: dict[str, int]  # the counts of the rule checker
    served_per_s: list[float]  # a mean for each step of `CHART_STEP_S`


class RequestTimeline:
    """The requests of a run, grouped by the second since its start in which they were sent."""

    def __init__(self, traces: Iterable[RequestTrace], start_us: int) -> None:
        self._by_second: dict[int, list[RequestTrace]] = {}
        for trace in traces:
            second = (trace.sent_us - start_us) // SECOND_US
            self._by_second.setdefault(second, []).append(trace)

    def between(self, begin_s: int, end_s: int) -> list[RequestTrace]:
        """Return the requests sent from `begin_s` up to, but not in, `end_s`."""
        return [trace for second in range(begin_s, end_s) for trace in self._by_second.get(second, [])]

    def served_share(self, begin_s: int, end_s: int) -> float:
        """The share of the requests between two seconds that was served; 0 if there were none."""
        traces = self.between(begin_s, end_s)
        return sum("up" in trace.answers for trace in traces) / max(1, len(traces))

    def attempts_per_request(self, begin_s: int, end_s: int) -> float:
        """The mean attempts of the requests between two seconds; 0 if there were none."""
        traces = self.between(begin_s, end_s)
        return sum(trace.attempts for trace in traces) / max(1, len(traces))

    def recovered_after_s(self) -> float:
        """Seconds from the end of the failures until nearly all requests are served in every later window."""
        last_window_s = DURATION_S - RECOVERY_WINDOW_S
        unserved = [
            second
            for second in range(FAILING_UNTIL_S, last_window_s)
            if self.served_share(second, second + RECOVERY_WINDOW_S) < RECOVERED_SHARE
        ]
        return float(unserved[-1] + 1 - FAILING_UNTIL_S) if unserved else 0.0


def _schedule_failures(world: World, rng: random.Random) -> None:
    """Let every backend fail requests for a while, at a random failure rate for each backend."""
    rates = {name: rng.uniform(MIN_FAILURE_RATE, MAX_FAILURE_RATE) for name in world.backends}

    def begin() -> None:
        for name, backend in world.backends.items():
            backend.failure_rate = rates[name]

    def end() -> None:
        for backend in world.backends.values():
            backend.failure_rate = 0.0

    world.schedule(FAILING_FROM_S, begin)
    world.schedule(FAILING_UNTIL_S, end)


def _served_per_s(final_answers: Iterable[tuple[int, str]]) -> list[float]:
    served = [0.0] * (DURATION_S // CHART_STEP_S)
    for answered_us, answer in final_answers:
        second = answered_us // SECOND_US
        if answer == "up" and second < DURATION_S:
            served[second // CHART_STEP_S] += 1.0 / CHART_STEP_S
    return served


def run_failing_fleet(plan: WorldPlan, operators_file: str) -> BudgetOutcome:
    """Simulate a fleet whose backends fail requests between 40 and 70 s."""
    world = World(plan, operators_file)
    _schedule_failures(world, random.Random(f"{plan.seed} faults"))
    checker = world.run(DURATION_S)
    start_us = world.clock.now_us - world.clock.elapsed_us
    timeline = RequestTimeline(checker.traces.values(), start_us)
    while_failing = timeline.between(FAILING_FROM_S, FAILING_UNTIL_S)
    attempts = sum(trace.attempts for trace in while_failing)
    first_tries = sum(trace.is_first_try for trace in while_failing)
    worst_second = max(
        timeline.attempts_per_request(second, second + 1) for second in range(FAILING_FROM_S, FAILING_UNTIL_S)
    )
    return BudgetOutcome(
        attempts_per_request=attempts / max(1, len(while_failing)),
        worst_second=worst_second,
        attempts_per_first_try=attempts / max(1, first_tries),
        served_while_failing=timeline.served_share(FAILING_FROM_S, FAILING_UNTIL_S),
        served_after=timeline.served_share(FAILING_UNTIL_S, FAILING_UNTIL_S + RECOVERY_PERIOD_S),
        recovered_after_s=timeline.recovered_after_s(),
        violations=len(checker.violations),
        counts=dict(checker.counts),
        served_per_s=_served_per_s(world.clients.final_answers),
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


def _outcome_row(store_calls_per_s: float, file_name: str, runs: Sequence[BudgetOutcome]) -> list[str]:
    """Return a table row: means over the runs, the worst second of all runs, and the sum of violations."""
    count = len(runs)
    recoveries_s = [run.recovered_after_s for run in runs]
    return [
        f"{store_calls_per_s:g}",
        file_name,
        f"{sum(run.attempts_per_request for run in runs) / count:.2f}",
        f"{max(run.worst_second for run in runs):.2f}",
        f"{sum(run.attempts_per_first_try for run in runs) / count:.2f}",
        f"{sum(run.served_while_failing for run in runs) / count:.2f}",
        f"{sum(run.served_after for run in runs) / count:.2f}",
        f"{sum(recoveries_s) / count:.1f} s (most {max(recoveries_s):.0f})",
        f"{sum(run.violations for run in runs)}",
    ]


def compare_budgets(
    example: Path, seeds: int, backends: int = 300, arrivals_per_s: float = 25.0
) -> tuple[list[list[str]], list[tuple[str, list[float]]]]:
    """Compare runs without budgets, with budgets and with the example file, each with a session store that is
    a bottleneck and one that is not. Returns the table rows and the chart lines.

    Raises `OSError` if the example file cannot be read.
    """
    files = {"none": "", "budgets of 20%": BUDGET_FILE, "the example": example.read_text()}
    rows: list[list[str]] = []
    lines: list[tuple[str, list[float]]] = []
    base = WorldPlan(backends=backends, arrivals_per_s=arrivals_per_s, groups=400)
    for store_calls_per_s in (2.0 * arrivals_per_s, 20.0 * arrivals_per_s):
        for name, file in files.items():
            plans = [
                replace(base, seed=seed, store_calls_per_s=store_calls_per_s) for seed in range(1, seeds + 1)
            ]
            with ProcessPoolExecutor() as pool:  # the seeds are simulated in parallel
                runs = list(pool.map(run_failing_fleet, plans, [file] * seeds))
            rows.append(_outcome_row(store_calls_per_s, name, runs))
            means = [
                sum(values) / len(runs) for values in zip(*(run.served_per_s for run in runs), strict=True)
            ]
            lines.append((f"{store_calls_per_s:g}/s {name}", means))
    return rows, lines
