"""Measures how the number of load probes grows with the number of relays, in fleets on virtual time.

Every fleet has the same backends and clients.
"""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor

from gannetweir.lab.experiments.fleet_simulation import fleet_plan
from gannetweir.lab.model.world import World
from gannetweir.lab.scale.measure import Named, Step
from gannetweir.lab.scale.slopes import Cost, Sample

BACKENDS = 60
LENGTH_S = 24.0
SIZES, CHECK = (2, 12, 40, 200), 300
SEEDS = 1, 2

PROBES_A_TRY = Named(
    "fleet.probes_a_try", "probes a client's try", "", "relays", "whole fleets on virtual time, no faults"
)
BACKEND = Named("fleet.probes_a_backend", "probes a second at a backend", "1/s", "relays", "the same fleets")


def play(relays: int, seed: int) -> dict[str, float]:
    """Simulate a fleet of this many relays without faults, and return its figures by cost.

    Raises `ValueError` if a rule was violated.
    """
    world = World(fleet_plan(seed, relays, BACKENDS))
    checker = world.run(LENGTH_S)
    if checker.violations:
        raise ValueError(f"{relays} relays: {checker.violations[0]}")
    probes = sum(relay.engine.counters.counts["load_probes_sent"] for relay in world.relays)
    a_second = probes / LENGTH_S
    return {
        PROBES_A_TRY.key: probes / max(1, len(checker.traces)),
        BACKEND.key: a_second / BACKENDS,
    }


def measure(step: Step) -> list[Cost]:
    """Simulate all fleets, a few at a time, and return the costs. `step` is called after each fleet."""
    todo = [(size, seed) for size in (CHECK, *SIZES) for seed in SEEDS]
    found: dict[tuple[int, int], dict[str, float]] = {}
    with ProcessPoolExecutor(max_workers=4) as workers:
        for case, figures in zip(todo, workers.map(play, *zip(*todo, strict=True)), strict=True):
            found[case] = figures
            step()

    def sample(key: str, size: int) -> Sample:
        return Sample(size, [found[size, seed][key] for seed in SEEDS])

    return [
        Cost(
            name.key,
            name.title,
            name.unit,
            name.size_unit,
            [sample(name.key, size) for size in SIZES],
            sample(name.key, CHECK),
            name.method,
        )
        for name in (PROBES_A_TRY, BACKEND)
    ]
