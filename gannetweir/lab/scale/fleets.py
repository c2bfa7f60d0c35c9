"""Load probes by the number of relays: fleet simulations on virtual time, with the same backends and clients
for every number of relays.
"""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor

from gannetweir.lab.experiments.fleet_simulation import fleet_plan
from gannetweir.lab.model.world import World
from gannetweir.lab.scale.measure import CostDefinition, ProgressCallback
from gannetweir.lab.scale.slopes import Cost, Sample

BACKENDS = 60
DURATION_S = 24.0
SIZES, CHECK_SIZE = (2, 12, 40, 200), 300
SEEDS = 1, 2

PROBES_PER_ATTEMPT = CostDefinition(
    "fleet.probes_a_try", "probes a client's try", "", "relays", "whole fleets on virtual time, no faults"
)
PROBES_PER_BACKEND = CostDefinition(
    "fleet.probes_a_backend", "probes a second at a backend", "1/s", "relays", "the same fleets"
)


def simulate(relays: int, seed: int) -> dict[str, float]:
    """Simulate a fleet with this number of relays and without faults; return its load probes by the keys of
    the costs. Raises `ValueError` if an invariant is violated.
    """
    world = World(fleet_plan(seed, relays, BACKENDS))
    checker = world.run(DURATION_S)
    if checker.violations:
        raise ValueError(f"invariant violated with {relays} relays: {checker.violations[0]}")
    probes = sum(relay.engine.counters.counts["load_probes_sent"] for relay in world.relays)
    probes_per_s = probes / DURATION_S
    return {
        PROBES_PER_ATTEMPT.key: probes / max(1, len(checker.traces)),
        PROBES_PER_BACKEND.key: probes_per_s / BACKENDS,
    }


def measure(on_progress: ProgressCallback) -> list[Cost]:
    """Measure all fleets, in four processes, beginning with the largest."""
    cases = [(size, seed) for size in (CHECK_SIZE, *SIZES) for seed in SEEDS]
    results: dict[tuple[int, int], dict[str, float]] = {}
    with ProcessPoolExecutor(max_workers=4) as workers:
        for case, figures in zip(cases, workers.map(simulate, *zip(*cases, strict=True)), strict=True):
            results[case] = figures
            on_progress()

    def sample(key: str, size: int) -> Sample:
        return Sample(size, [results[size, seed][key] for seed in SEEDS])

    return [
        Cost(
            definition.key,
            definition.title,
            definition.unit,
            definition.size_unit,
            [sample(definition.key, size) for size in SIZES],
            sample(definition.key, CHECK_SIZE),
            definition.method,
        )
        for definition in (PROBES_PER_ATTEMPT, PROBES_PER_BACKEND)
    ]
