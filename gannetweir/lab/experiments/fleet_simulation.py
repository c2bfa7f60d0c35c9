"""Fleet-wide fault scenarios: behaviour that is harmless in one relay can be harmful in a whole fleet.

Every relay runs the real engine and placement; all random draws come from the seed. The checker's rules
include the load on backends in their slow start, which no single relay can observe.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor

from gannetweir.lab.model.backends import SimulatedBackend
from gannetweir.lab.model.plan import SECOND_US, Traffic, WorldPlan
from gannetweir.lab.model.world import World

INCIDENT_S, SCENARIO_S = 12.0, 36.0  # start of the faults, and length of a scenario
MEAN_DURATION_US = 15.0 * SECOND_US
BURST_FACTOR = 3.0  # the arrival rate of a burst, relative to the normal rate
SIZES = (3, 12), (20, 24), (30, 8), (30, 40), (40, 60), (200, 90), (230, 400)  # relays, backends


def fleet_plan(
    seed: int, relays: int, backends: int, mean_duration_us: float = MEAN_DURATION_US
) -> WorldPlan:
    """Return the plan of a fleet in three zones, loaded with a third of its capacity. The shorter the
    connections, the more set-ups make up this load.
    """
    rate = backends * 30.0 / (mean_duration_us / SECOND_US) / 3.0
    shares = 0.36, 0.34, 0.15, 0.15
    return WorldPlan(
        seed=seed,
        relays=relays,
        backends=backends,
        arrivals_per_s=rate,
        store_calls_per_s=20.0 * rate,
        groups=2 * backends,
        zones=3,
        traffic=tuple(Traffic(share, mean_duration_us) for share in shares),
    )


def schedule_replacement(
    world: World, backends: Iterable[SimulatedBackend], begin_s: float, seconds: float
) -> None:
    """Replace backends one after another: each is drained, and restarted 2 s later."""
    chosen = list(backends)
    for n, backend in enumerate(chosen):
        drain_s, update_delay_us = (
            begin_s + seconds * n / len(chosen),
            world.rng.uniform(0.2, 1.0) * SECOND_US,
        )

        def drain(backend: SimulatedBackend = backend, update_delay_us: float = update_delay_us) -> None:
            backend.is_draining = True
            world.announce([backend], update_delay_us)

        def replace(backend: SimulatedBackend = backend, update_delay_us: float = update_delay_us) -> None:
            world.replace_backend(backend)
            world.announce([backend], update_delay_us)

        world.schedule(drain_s, drain)
        world.schedule(drain_s + 2.0, replace)


def relays_killed(world: World) -> None:
    """Seven in ten relays are killed at once, and restarted half a second later."""
    chosen = world.rng.sample(world.relays, max(1, 7 * len(world.relays) // 10))
    for relay in chosen:
        world.schedule(INCIDENT_S, lambda r=relay: world.kill_relay(r))  # type: ignore[misc]
        world.schedule(INCIDENT_S + 0.5, lambda r=relay: world.start_relay(r))  # type: ignore[misc]


def rolling_restart(world: World) -> None:
    """Half of the backends are replaced one after another, while all relays restart, a tenth at a time."""
    schedule_replacement(world, list(world.backends.values())[::2], INCIDENT_S, 8.0)
    relays = list(world.relays)
    for n, relay in enumerate(relays):
        world.schedule(INCIDENT_S + 0.8 * (10 * n // len(relays)), lambda r=relay: world.restart_relay(r))  # type: ignore[misc]


def zone_lost(world: World) -> None:
    """A zone is lost with its relays and backends. Both are back 5 s later, the backends in slow start."""
    lost_backends = [backend for backend in world.backends.values() if backend.zone == 0]
    relays = [relay for relay in world.relays if relay.zone == 0]

    def lose_zone() -> None:
        for backend in lost_backends:
            backend.is_removed = True
        for relay in relays:
            world.kill_relay(relay)
        world.announce(lost_backends, 2.0 * SECOND_US)

    def restore_zone() -> None:
        for backend in lost_backends:
            world.replace_backend(backend)
        world.announce(lost_backends, 0.5 * SECOND_US)
        for relay in relays:
            world.start_relay(relay)

    world.schedule(INCIDENT_S, lose_zone)
    world.schedule(INCIDENT_S + 5.0, restore_zone)


def zone_partitioned(world: World) -> None:
    """A zone is cut off for 5 s, also from membership updates, while backends on both sides are replaced."""
    world.schedule(INCIDENT_S, lambda: world.partition_zone(1))
    schedule_replacement(world, list(world.backends.values())[::6], INCIDENT_S + 1.0, 2.0)
    world.schedule(INCIDENT_S + 5.0, lambda: world.partition_zone(-1))


def backends_replaced(world: World) -> None:
    """Six in ten backends are replaced within 7 s."""
    backends = list(world.backends.values())
    schedule_replacement(world, world.rng.sample(backends, 6 * len(backends) // 10), INCIDENT_S, 5.0)


def arrival_burst(world: World) -> None:
    """Backends join or restart within a few seconds, all in slow start, during a burst of arrivals."""
    backends = list(world.backends.values())
    joining, crashing = backends[::4], backends[1::4]
    for backend in backends[2::8]:
        backend.failure_rate = 0.1

    def remove(lost_backends: list[SimulatedBackend]) -> None:
        for backend in lost_backends:
            backend.is_removed = True
        world.announce(lost_backends, 0.5 * SECOND_US)

    def replace(backend: SimulatedBackend) -> None:
        world.replace_backend(backend)
        world.announce([backend], world.rng.uniform(0.1, 0.5) * SECOND_US)

    def set_rate_factor(rate_factor: float) -> None:
        world.clients.arrival_rate_factor = rate_factor

    world.schedule(1.0, lambda: remove(joining))  # these backends join later
    world.schedule(INCIDENT_S - 2.0, lambda: remove(crashing))
    for backend in joining + crashing:
        world.schedule(INCIDENT_S + world.rng.uniform(0.0, 3.0), lambda b=backend: replace(b))  # type: ignore[misc]
    world.schedule(INCIDENT_S, lambda: set_rate_factor(BURST_FACTOR))
    world.schedule(INCIDENT_S + 12.0, lambda: set_rate_factor(1.0))


SCENARIOS: dict[str, Callable[[World], None]] = {
    "kill": relays_killed,
    "roll": rolling_restart,
    "zone": zone_lost,
    "cut": zone_partitioned,
    "join": backends_replaced,
    "throng": arrival_burst,
}
"""The scenarios by the names used in the result tables."""


def simulate_scenario(name: str, plan: WorldPlan) -> World:
    """Simulate a scenario. Returns its world, whose checker has the violations."""
    world = World(plan)
    SCENARIOS[name](world)
    world.run(SCENARIO_S)
    return world


COLUMNS = (
    "day",
    "relays",
    "backends",
    "requests",
    "served",
    "attempts a request",
    "probes a request",
    "most at a cold backend, of what it bears",
    "rules broken",
)

PAGE = """# Whole fleets on virtual time

`gannetweir lab fleets --seeds {seeds}`. Every relay runs the real engine and placement; clients, backends,
endpoint lists, zones and the session store are simulated. Each scenario lasts {seconds:g} s, with a load of a
third of the fleet's capacity.

{table}

In any 1.5 s, a backend in its slow start may get N + 2 √N + 2 set-ups, where N is what the settings allow it
at that time. The simulation has no changing loads and no cost of a group, so its served shares are not those
of the bench.
"""


def scenario_row(name: str, relays: int, backends: int, seeds: int) -> list[str]:
    """Return a table row: means over the seeds, the highest slow-start load, and the sum of violations."""
    requests = served = sent = probes = worst_share = violation_sum = 0
    for seed in range(1, seeds + 1):
        world = simulate_scenario(name, fleet_plan(seed, relays, backends))
        counts = world.checker.counts
        requests, served, sent = (
            requests + len(world.checker.traces),
            served + counts["up"],
            sent + counts["sent"],
        )
        probes += sum(relay.engine.counters.counts["load_probes_sent"] for relay in world.relays)
        worst_share, violation_sum = (
            max(worst_share, counts["cold_share"]),
            violation_sum + len(world.checker.violations),
        )
    share = f"{worst_share / 100:.2f}" if worst_share else "-"
    return [
        name,
        str(relays),
        str(backends),
        str(requests),
        f"{served / requests:.3f}",
        f"{sent / requests:.2f}",
        f"{probes / requests:.1f}",
        share,
        str(violation_sum),
    ]


def fleet_table(seeds: int, sizes: Iterable[tuple[int, int]] = SIZES) -> list[list[str]]:
    """Return the rows of every scenario at every fleet size."""
    rows = [(name, *size, seeds) for size in sizes for name in SCENARIOS]
    with ProcessPoolExecutor() as pool:
        return list(pool.map(scenario_row, *zip(*rows, strict=True)))
