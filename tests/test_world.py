"""The simulated world: rules under random faults, and computed worst cases against simulated answers."""

import random
from dataclasses import replace
from functools import partial

import pytest

from gannetweir.config.operators_file import OperatorsFileError, parse_routing_rules
from gannetweir.lab.experiments.address_faults import simulate_scenario
from gannetweir.lab.experiments.budgets import BUDGET_FILE, run_failing_fleet
from gannetweir.lab.model.backends import SimulatedBackend
from gannetweir.lab.model.checker import RuleChecker
from gannetweir.lab.model.plan import SECOND_US, Traffic, WorldPlan
from gannetweir.lab.model.world import World
from gannetweir.limits import Limits
from gannetweir.placement.events import RequestArrived
from gannetweir.routing.schedule import worst_case_schedule

HEAD = "gannetweir version=1\n"
TWO_TIMINGS = (
    HEAD
    + """
route "rider" {
    match {
        class "rider-area"
    }
    connect "200ms"
    attempt "600ms"
    attempts 3
    wait "exponential" first="50ms"
}
default {
    connect "150ms"
    attempt "300ms"
    attempts 3
    wait "fixed" first="100ms"
    retry-budget share="20%" window="5s" floor=5
    limits setups-per-second=30 burst=10 setups-at-backend=4
}
"""
)
SMALL = WorldPlan(backends=12, arrivals_per_s=8.0, groups=30, store_calls_per_s=100.0)


def test_same_seed_gives_the_same_run() -> None:
    def outcome(seed: int) -> tuple[object, ...]:
        world = World(replace(SMALL, seed=seed), TWO_TIMINGS)
        world.schedule(5, lambda: setattr(world.backends["b1"], "failure_rate", 0.7))
        checker = world.run(15)
        return checker.counts, world.clients.final_answers, [s.attempts for s in checker.traces.values()]

    assert outcome(4) == outcome(4)
    assert outcome(4) != outcome(5)


FAULTS = (
    "failure_rate",
    "refuses_connects",
    "is_silent",
    "ignores_probes",
    "slowdown",
    "is_draining",
    "is_removed",
    "store",
    "reload",
)


def reload_all(world: World, file: str) -> None:
    for relay in world.relays:
        relay.reload(file)


def schedule_random_faults(world: World, rng: random.Random) -> None:
    """Schedule random faults in a run of 30 s: failing, refusing, silent, slow, draining and removed
    backends, a slow session store and reloads.
    """
    names = sorted(world.backends)
    for _ in range(rng.randint(4, 10)):
        backend = world.backends[rng.choice(names)]
        fault = rng.choice(FAULTS)
        begin, end = sorted((rng.uniform(1, 28), rng.uniform(1, 28)))
        if fault == "store":
            world.schedule(begin, lambda: setattr(world.store, "slowdown", 7.5))
            world.schedule(end, lambda: setattr(world.store, "slowdown", 1.0))
        elif fault == "reload":
            file = rng.choice([TWO_TIMINGS, BUDGET_FILE, HEAD + "default {\n attempts 1\n}\n"])
            world.schedule(begin, partial(reload_all, world, file))
        elif fault in ("is_draining", "is_removed"):

            def make_unavailable(backend: SimulatedBackend = backend, fault: str = fault) -> None:
                setattr(backend, fault, True)
                world.announce([backend], rng.uniform(0, 2 * SECOND_US))

            def make_available(backend: SimulatedBackend = backend, fault: str = fault) -> None:
                setattr(backend, fault, False)
                backend.started_us = world.clock.now_us
                world.announce([backend], rng.uniform(0, 2 * SECOND_US))

            world.schedule(begin, make_unavailable)
            world.schedule(end + 3, make_available)
        else:
            fault_value = {"failure_rate": rng.uniform(0.4, 0.9), "slowdown": 40.0}.get(fault, True)
            normal_value = {"failure_rate": 0.0, "slowdown": 1.0}.get(fault, False)
            world.schedule(begin, partial(setattr, backend, fault, fault_value))
            world.schedule(end, partial(setattr, backend, fault, normal_value))


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("file", ["", TWO_TIMINGS], ids=["none", "two timings"])
def test_rules_hold_under_random_faults(seed: int, file: str) -> None:
    world = World(replace(SMALL, seed=seed), file)
    schedule_random_faults(world, random.Random(seed))
    checker = world.run(30)
    assert not checker.violations, "\n".join(checker.violations[:5])
    answers = checker.counts["up"] + checker.counts["busy"] + checker.counts["err"]
    disconnected = sum(trace.client_disconnected for trace in checker.traces.values())
    assert answers + disconnected >= len(checker.traces) > 150
    assert checker.counts["up"] > 50
    for relay in world.relays:
        assert (
            relay.engine.counters.counts["overdue"] == relay.engine.counters.counts["placement_faults"] == 0
        )
        if (relay_admission := relay.engine.route_admission) is not None:
            with_permit = [
                open_request
                for open_request in relay.engine.requests.values()
                if open_request.admission_permit is not None
            ]
            assert relay_admission.relay_permit.limiter.open_connections == len(with_permit)
            assert sum(relay_admission.setups_by_endpoint.values()) == sum(
                open_request.counts_as_setup for open_request in with_permit
            )


@pytest.mark.parametrize("first_seed", range(0, 60, 10))
def test_rules_hold_while_addresses_fail_and_recover(first_seed: int) -> None:
    """Backends have three addresses with random faults, single or combined, over ten seeds."""
    served = sent_requests = 0
    for seed in range(first_seed, first_seed + 10):
        world = simulate_scenario(seed)
        checker = world.checker
        assert not checker.violations, checker.violations[:3]
        served, sent_requests = served + checker.counts["up"], sent_requests + len(checker.traces)
        for relay in world.relays:
            assert relay.engine.address_selector is not None
            assert relay.engine.counters.counts["addresses.unix"] > 0
    assert served >= 0.97 * sent_requests > 500


def test_silent_unix_sockets_do_not_eject_backends() -> None:
    """Every Unix socket is silent for 5 s. Attempts time out, but no backend is ejected as an outlier: a
    faulty address is not a faulty backend.
    """
    world = World(
        WorldPlan(
            seed=2, backends=6, arrivals_per_s=6, groups=20, store_calls_per_s=100, addresses_per_backend=3
        )
    )
    for backend in world.backends.values():
        faults, unix_address = (
            backend.address_faults,
            next(a for a in backend.address_faults if a.startswith("unix:")),
        )
        world.schedule(5, partial(faults.__setitem__, unix_address, "stall"))
        world.schedule(10, partial(faults.__setitem__, unix_address, ""))
    checker = world.run(20)
    assert not checker.violations
    engines = [relay.engine for relay in world.relays]
    assert sum(engine.counters.counts["address_faults"] for engine in engines) > 0
    assert not any("set aside" in text for relay in world.relays for text in relay.log_lines)
    assert checker.counts["up"] >= 0.97 * len(checker.traces)
    late_unix_connections = [engine.counters.counts["addresses.unix"] for engine in engines]
    assert min(late_unix_connections) > 20  # the Unix sockets carry traffic again


def test_reload_replaces_addresses_and_keeps_open_connections() -> None:
    """Two reloads name IPv4 addresses for b0, then its Unix socket instead of one of them. Open connections
    stay, and new connections use the new addresses.
    """

    def file_with_address(family: int) -> str:
        addresses = list(world.backends["b0"].address_faults)
        address_line = f'address "{addresses[family]}" "{addresses[1]}"'
        return HEAD + f'server "b0" {{\n {address_line}\n dial #false\n}}\ndefault {{\n}}\n'

    world = World(
        WorldPlan(
            seed=1,
            relays=1,
            backends=2,
            arrivals_per_s=8,
            groups=20,
            store_calls_per_s=100,
            addresses_per_backend=3,
        )
    )
    engine = world.relays[0].engine
    world.schedule(4, lambda: world.relays[0].reload(file_with_address(0)))
    addresses_seen: list[set[str]] = []

    def record_addresses() -> None:
        assert engine.address_selector is not None
        addresses_seen.append({str(a) for a in engine.address_selector.states_by_endpoint["b0"]})

    world.schedule(5, record_addresses)
    world.schedule(6, lambda: world.relays[0].reload(file_with_address(2)))
    world.schedule(7, record_addresses)
    open_counts: list[int] = []
    world.schedule(5.9, lambda: open_counts.append(engine.current_figures()["open"]))
    world.schedule(6.1, lambda: open_counts.append(engine.current_figures()["open"]))
    checker = world.run(12)
    addresses = list(world.backends["b0"].address_faults)
    assert addresses_seen == [{addresses[0], addresses[1]}, {addresses[2], addresses[1]}]
    assert not checker.violations and checker.counts["up"] > 60
    assert abs(open_counts[0] - open_counts[1]) <= 6  # a few clients come and go; the reload ends none


def test_each_class_keeps_its_worst_case_over_a_reload_under_load() -> None:
    """All backends fall silent under high load, and halfway a reload shortens the timeouts. No request takes
    longer than the worst-case schedule of its class.
    """
    plan = replace(SMALL, arrivals_per_s=20.0, traffic=tuple(replace(t, retries=0) for t in SMALL.traffic))
    world = World(plan, TWO_TIMINGS)
    for backend in world.backends.values():
        world.schedule(4, partial(setattr, backend, "is_silent", True))
        world.schedule(12, partial(setattr, backend, "is_silent", False))
    shorter = TWO_TIMINGS.replace('"600ms"', '"200ms"').replace('"300ms"', '"100ms"')
    world.schedule(8, partial(reload_all, world, shorter))
    checker = world.run(20)
    assert not checker.violations
    platform_settings = plan.settings()
    start = world.clock.now_us - world.clock.elapsed_us

    def slowest_us(traffic_class: str, begin: float, end: float) -> int:
        sent_requests = [
            s for s in checker.traces.values() if s.request_class == traffic_class and s.answered_us >= 0
        ]
        return max(
            s.answered_us - s.sent_us for s in sent_requests if begin <= (s.sent_us - start) / 1e6 < end
        )

    for file, begin, end in ((TWO_TIMINGS, 0, 8), (shorter, 8.0, 20)):
        rules = parse_routing_rules(file, platform_settings, Limits())
        relay = World(replace(plan, arrivals_per_s=0.001), file).relays[0]
        for class_number, traffic_class in enumerate(plan.classes):
            admission = relay.engine.route_admission
            assert admission is not None
            timed_class = relay.settings.classes[admission.class_index_for(RequestArrived(0, class_number))]
            worst_case_total_us = worst_case_schedule(timed_class, platform_settings, Limits()).total_us
            assert slowest_us(traffic_class.name, begin, end) <= worst_case_total_us, (
                traffic_class.name,
                rules,
            )
    assert slowest_us("rider-area", 3, 8) > slowest_us("zone-view", 3, 8) > slowest_us("zone-view", 8, 12)


def random_operators_file(rng: random.Random) -> str:
    kind = rng.choice(["fixed", "exponential", "every"])
    attempt, connect, attempts = rng.randint(50, 700), rng.randint(20, 250), rng.randint(1, 6)
    first_wait_ms = rng.randint(10, 300) if kind != "every" else attempt + connect + rng.randint(0, 200)
    wait = f'wait "{kind}" first="{first_wait_ms}ms"' if attempts > 1 else ""
    timing = f'connect "{connect}ms"\nattempt "{attempt}ms"\nattempts {attempts}\n{wait}'
    return f"{HEAD}default {{\n{timing}\n}}\n"


def test_computed_worst_case_bounds_simulated_answers() -> None:
    """Random operators' files that are accepted, in a world where each connect takes its timeout less 1 ms
    and no first line or load probe is answered. No request takes longer than the computed worst case, and
    some requests come close to it.
    """
    rng, platform_settings = random.Random(11), SMALL.settings()
    shares_of_worst_case = []
    accepted = 0
    while accepted < 40:
        file = random_operators_file(rng)
        try:
            parse_routing_rules(file, platform_settings, Limits())
        except OperatorsFileError:
            continue
        accepted += 1
        plan = replace(
            SMALL,
            seed=accepted,
            relays=1,
            arrivals_per_s=1.0,
            backends=40,
            traffic=(Traffic(1.0, retries=0),) * 4,
        )
        world = World(plan, file)
        relay_admission = world.relays[0].engine.route_admission
        assert relay_admission is not None
        timed_class = world.relays[0].settings.classes[relay_admission.class_index_for(RequestArrived(0, 0))]
        for backend in world.backends.values():
            backend.is_silent, backend.connect_delay_us = True, timed_class.connect_timeout_us - 1_000
        checker = world.run(6)
        assert not checker.violations
        for class_number, traffic_class in enumerate(plan.classes):
            class_settings = world.relays[0].settings.classes[
                relay_admission.class_index_for(RequestArrived(0, class_number))
            ]
            # The last step of the schedule is the margin reserved for sending the answer.
            worst_case_us = worst_case_schedule(
                class_settings, platform_settings, Limits()
            ).total_us - Limits().answer_margin_for(int(traffic_class.deadline_us))
            slowest_us = checker.longest_answer_us(traffic_class.name)
            assert slowest_us <= worst_case_us
            shares_of_worst_case.append(slowest_us / worst_case_us)
    assert (
        max(shares_of_worst_case) > 0.98
        and sorted(shares_of_worst_case)[len(shares_of_worst_case) // 2] > 0.6
    )


def test_budgets_limit_retries_to_a_fifth_of_requests() -> None:
    plan = WorldPlan(seed=3, backends=60, arrivals_per_s=10.0, groups=100, store_calls_per_s=200.0)
    without_budgets, with_budgets = run_failing_fleet(plan, ""), run_failing_fleet(plan, BUDGET_FILE)
    assert without_budgets.violations == with_budgets.violations == 0
    assert without_budgets.attempts_per_request > 2.0 and with_budgets.attempts_per_request <= 1.35
    assert with_budgets.served_after >= 0.95


# ---- The rule checker


def run_checker(*calls: tuple[object, ...]) -> RuleChecker:
    checker = RuleChecker()
    checker.request_sent(1, "zone-view", 2 * SECOND_US, True, 0)
    for name, *args in calls:
        getattr(checker, str(name))(*args)
    checker.finish(9 * SECOND_US)
    return checker


@pytest.mark.parametrize(
    ("rule", "calls"),
    [
        ("answers", [("answer_received", 1, "up", 5), ("answer_received", 1, "err", 6)]),
        ("late", [("answer_received", 1, "busy", 2 * SECOND_US + 20_001)]),
        ("unanswered", []),
        (
            "overlap",
            [
                ("attempt_arrived", 1, 0, "b1", 5),
                ("attempt_arrived", 1, 1, "b2", 6),
                ("answer_received", 1, "up", 7),
            ],
        ),
        (
            "attempts",
            [c for n in range(7) for c in (("attempt_arrived", 1, n, "b", n), ("attempt_ended", 1, n))]
            + [("answer_received", 1, "err", 9)],
        ),
        (
            "drain",
            [
                ("relay_notified", "b1", True, 0),
                ("attempt_arrived", 1, 0, "b1", 500_001),
                ("answer_received", 1, "up", 600_000),
            ],
        ),
    ],
)
def test_checker_reports_each_broken_rule(rule: str, calls: list[tuple[object, ...]]) -> None:
    checker = run_checker(*calls)
    assert checker.counts[rule] == 1 and len(checker.violations) == 1 and rule in checker.violations[0]


def test_checker_accepts_correct_behaviour() -> None:
    assert not run_checker(
        ("relay_notified", "b1", True, 0),
        ("attempt_arrived", 1, 0, "b1", 400_000),
        ("attempt_ended", 1, 0),
        ("relay_notified", "b1", False, 500_000),
        ("attempt_arrived", 1, 1, "b1", 900_000),
        ("attempt_ended", 1, 1),
        ("answer_received", 1, "up", 2 * SECOND_US + 20_000),
    ).violations
    assert not run_checker(("client_disconnected", 1)).violations
