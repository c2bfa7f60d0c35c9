"""Address faults, on real sockets with many requests for each kind, and on virtual time with many seeds."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from itertools import combinations, permutations

import anyio

from gannetweir.lab.emulator.emulator import Emulator
from gannetweir.lab.emulator.plan import EmulatorPlan
from gannetweir.lab.model.plan import WorldPlan
from gannetweir.lab.model.world import World

FAMILIES = ("unix", "ipv6", "ipv4")
FAULT_KINDS = ("refuse", "hole", "stall", "reset", "slow")
COLUMNS = (
    "broken",
    "served",
    "rejected",
    "p50, ms",
    "p99, ms",
    "lines in",
    "attempts, most",
    "overlap not judged",
    "rules broken",
)
BrokenAddresses = tuple[tuple[str, str], ...]  # pairs of address family and fault kind


def cases() -> Iterator[BrokenAddresses]:
    """Yield the broken addresses of each case: none, each fault kind at each family that can have it, and
    each pair of fault kinds at two families.
    """
    yield ()
    for kind in FAULT_KINDS:
        for family in FAMILIES:
            if (family, kind) != ("unix", "hole"):  # a Unix socket with a full queue refuses connects
                yield ((family, kind),)
    for first_kind, second_kind in combinations(FAULT_KINDS, 2):
        for first_family, second_family in permutations(FAMILIES, 2):
            if ("unix", "hole") not in ((first_family, first_kind), (second_family, second_kind)):
                yield (first_family, first_kind), (second_family, second_kind)
                break


async def run_case(broken: BrokenAddresses, requests: int, concurrency: int = 10) -> list[str]:
    """Send requests to a relay with four backends, each with three addresses, some of them faulty.

    Returns a row of the table, with `COLUMNS`.
    """
    plan = EmulatorPlan(
        backends=4, families=FAMILIES, capacity=4000, other_connections=400, store_calls_per_s=5000
    )
    async with Emulator(plan) as emulator:
        for emulated_backend in emulator.backends.values():
            for text, listener in emulated_backend.listeners.items():
                if fault := dict(broken).get(listener.address.family):
                    emulated_backend.set_fault(text, fault)
        answers = await emulator.clients.request_many(requests, concurrency)
        found_violations = emulator.violations()
        durations_ms = sorted(
            request.duration_s * 1000 for request in emulator.clients.answered if request.answer == "up"
        )
        attempts = [trace.attempts for trace in emulator.checker.traces.values()]
        arrived, written = await emulator.count_first_lines()
        if arrived != written:
            found_violations.append(
                f"{arrived} first lines arrived at backends, {written} were written by relays"
            )
        name = ", ".join(f"{family} {fault}" for family, fault in broken) or "nothing"
        return [
            name,
            f"{answers['up']}",
            f"{answers['busy'] + answers['err']}",
            f"{durations_ms[len(durations_ms) // 2]:.1f}",
            f"{durations_ms[len(durations_ms) * 99 // 100]:.1f}",
            f"{arrived}",
            f"{max(attempts)}",
            f"{emulator.undecided_overlaps()}",
            f"{len(found_violations)}",
        ]


def _run_case(broken: BrokenAddresses, requests: int) -> list[str]:
    return anyio.run(run_case, broken, requests)


def emulate_cases(requests: int, workers: int = 3) -> Iterator[list[str]]:
    """Yield a table row for each case."""
    with ProcessPoolExecutor(workers) as pool:
        all_cases = list(cases())
        yield from pool.map(_run_case, all_cases, [requests] * len(all_cases))


def simulate_scenario(seed: int) -> World:
    """Simulate a run of 15 s with random address faults, and return its world."""
    rng = random.Random(seed)
    world = World(
        WorldPlan(
            seed=seed, backends=6, arrivals_per_s=6, groups=20, store_calls_per_s=100, addresses_per_backend=3
        )
    )
    for backend in world.backends.values():
        for address in backend.address_faults:
            if rng.random() < 0.4:
                fault, begin, faults = rng.choice(FAULT_KINDS), rng.uniform(0, 8), backend.address_faults
                world.schedule(begin, lambda d=faults, a=address, f=fault: d.__setitem__(a, f))  # type: ignore[misc]
                end = begin + rng.uniform(1, 6)
                world.schedule(end, lambda d=faults, a=address: d.__setitem__(a, ""))  # type: ignore[misc]
    world.run(15)
    return world


def count_scenario(seed: int) -> Counter[str]:
    """Simulate a run and return its counts. `broken` is the number of violations."""
    world = simulate_scenario(seed)
    checker = world.checker
    counts = Counter({"days": 1, "broken": len(checker.violations), "asked": len(checker.traces)})
    counts["served"], counts["lines in"] = checker.counts["up"], checker.counts["sent"]
    counts["most attempts"] = max((trace.attempts for trace in checker.traces.values()), default=0)
    for relay in world.relays:
        counts["path faults"] += relay.engine.counters.counts["address_faults"]
    return counts


def simulate_scenarios(seeds: int) -> Counter[str]:
    """Simulate many runs and return the sums of their counts; `most attempts` is the maximum of all runs."""
    total: Counter[str] = Counter()
    with ProcessPoolExecutor() as pool:
        for counts in pool.map(count_scenario, range(seeds), chunksize=20):
            max_attempts = max(total["most attempts"], counts["most attempts"])
            total.update(counts)  # keeps a count of 0, which `+=` drops
            total["most attempts"] = max_attempts
    return total
