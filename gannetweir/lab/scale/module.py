"""What the decisions cost: a placement, news of one backend, upkeep, by backends and by standing
connections.
"""

from __future__ import annotations

import gc
import time

from gannetweir.core import Engine, OpenUpstream
from gannetweir.lab.scale.lists import NOW_US, host, relay_settings
from gannetweir.lab.scale.measure import (
    CostDefinition,
    ProgressCallback,
    Sweep,
    elapsed_ms,
    measure_sizes,
    processor_us,
)
from gannetweir.lab.scale.slopes import Cost
from gannetweir.limits import Limits
from gannetweir.membership.membership_update import MembershipUpdate
from gannetweir.placement.actions import ProbeLoad, StartAttempt
from gannetweir.placement.balancer import Balancer
from gannetweir.placement.context import TICK_INTERVAL_US, TICK_TIMER
from gannetweir.placement.events import (
    AttemptStatus,
    ClientDisconnected,
    ConnectionResumed,
    EndpointEntry,
    EndpointListUpdate,
    Event,
    LoadProbeResult,
    RequestArrived,
    RequestFlag,
    TimerExpired,
    UpdateKind,
)
from gannetweir.proto.endpoint_watch import read_membership

REMEMBERED, NEW = 200, 12  # arrivals of groups whose order of backends is remembered, and is not
CHANGES = 40  # news of one entry
UPKEEP_S = 40  # seconds of upkeep that are counted, after as many to settle
CONNECTIONS = 110_000_000
LOAD = 0.5  # of its capacity, that every backend reports
ARRIVES_US = 1000  # between two arrivals

DECISION = CostDefinition(
    "decision",
    "a placement, its group's order remembered",
    "µs",
    "backends",
    "all Balancer.handle of an arrival",
)
NEW_GROUP = CostDefinition(
    "decision.new_group",
    "a placement, its group's order not remembered",
    "µs",
    "backends",
    "the same; each sorts all backends, and 256 groups' orders are kept until a backend comes or goes",
)
UPDATE = CostDefinition(
    "news.backends",
    "news of one entry",
    "µs",
    "backends",
    "Engine.endpoint_update_received, an entry leaves or returns",
)
PLAIN = CostDefinition(
    "news.plain",
    "news of one entry that stays ready",
    "µs",
    "backends",
    "Engine.endpoint_update_received, its share alone changes",
)
PROBES = CostDefinition(
    "upkeep.probes",
    "upkeep's probes a second of one process that holds connections at every backend",
    "1/s",
    "backends",
    "Balancer on virtual time, 1,500 relays told, 110 million connections spread evenly",
)
UPKEEP = CostDefinition(
    "upkeep.backends",
    "upkeep a second in the module",
    "µs",
    "backends",
    "ticks and probes' answers, processor time",
)
TICKS = CostDefinition(
    "upkeep.connections",
    "upkeep a second in the engine",
    "µs",
    "connections",
    "Engine.advance over one second, processor time",
)
LONGEST_TURN = CostDefinition(
    "upkeep.hold",
    "longest turn of the event loop for upkeep",
    "ms",
    "connections",
    "one Engine.advance, elapsed",
)
UPDATE_BY_CONNECTIONS = CostDefinition(
    "news.connections",
    "news of one entry",
    "µs",
    "connections",
    "Engine.endpoint_update_received, processor time",
)


class ProbedBalancer:
    """One `Balancer` whose probes are answered at once."""

    def __init__(self, backends: int) -> None:
        self.now, self.sent, self.probes, self.spent_us = NOW_US, 0, 0, 0.0
        self.balancer = Balancer(relay_settings(), 1, NOW_US)
        self.report = (1.0, CONNECTIONS / backends, LOAD)
        entries = [EndpointEntry(n) for n in range(backends)]
        self.give(EndpointListUpdate(UpdateKind.CACHED, 1, entries))

    def give(self, event: Event) -> None:
        """One event, and the answers to the probes that it leads to."""
        waiting: list[Event] = [event]
        while waiting:
            event = waiting.pop()
            began = time.process_time_ns()
            actions = self.balancer.handle(event, self.now)
            self.spent_us += (time.process_time_ns() - began) / 1000.0
            for action in actions:
                if isinstance(action, ProbeLoad):
                    self.probes += 1
                    waiting.append(LoadProbeResult(action.endpoint_id, AttemptStatus.OK, 1000, self.report))
                self.sent += isinstance(action, StartAttempt)

    def place(self, request: int, group: int) -> None:
        """One arrival, from its request until it is sent and has left again."""
        self.now += ARRIVES_US
        self.give(RequestArrived(request, time_budget_us=2_000_000, group=group))
        spent = self.spent_us
        self.give(ClientDisconnected(request))
        self.spent_us = spent


def placement_costs(backends: int) -> dict[str, float]:
    """Microseconds a placement, with an order that is remembered and with one that is not."""
    gc.collect()
    module = ProbedBalancer(backends)
    for group in range(1, 31):
        module.place(group, group)
    module.spent_us, module.sent = 0.0, 0
    for number in range(REMEMBERED):
        module.place(1000 + number, number % 30 + 1)
    remembered = module.spent_us / REMEMBERED
    assert module.sent == REMEMBERED, module.sent
    module.spent_us = 0.0
    for number in range(NEW):
        module.place(5000 + number, 5000 + number)
    return {DECISION.key: remembered, NEW_GROUP.key: module.spent_us / NEW, **update_costs(backends)}


def update_costs(backends: int) -> dict[str, float]:
    """Microseconds an engine spends on one entry that leaves or comes back."""
    engine = Engine(relay_settings(), Limits(), 1, membership_update(0, True, list(range(backends))), NOW_US)
    return {
        UPDATE.key: update_cost_us(engine, backends),
        PLAIN.key: update_cost_us(engine, backends, "Ready"),
    }


def membership_update(
    version: int, whole: bool, numbers: list[int], health: str = "Ready"
) -> MembershipUpdate:
    """News of some entries, as discovery would tell them."""
    hosts = [host(number) | {"health": health} for number in numbers]
    return read_membership({"seq": version, "whole": whole, "hosts": hosts}, relay_settings())


def update_cost_us(engine: Engine, backends: int, odd: str = "Terminating") -> float:
    """Microseconds of one piece of news, the mean over entries that leave and return in turn, or stay."""
    spent = 0.0
    for number in range(CHANGES):
        chosen = [(number // 2 * 37) % backends]
        news = membership_update(number + 1, False, chosen, "Ready" if number % 2 else odd)
        engine.commands.clear()
        spent += processor_us(lambda n=news: engine.endpoint_update_received(n, NOW_US + 1))  # type: ignore[misc]
    return spent / CHANGES


def upkeep_cost(backends: int) -> dict[str, float]:
    """Probes and microseconds a second of a module that holds a connection at each backend."""
    gc.collect()
    module = ProbedBalancer(backends)
    for number in range(backends):
        module.give(ConnectionResumed(number + 1, 0, 3_600_000_000, number + 1, 1, 1, number))
    for second in range(2 * UPKEEP_S):
        if second == UPKEEP_S:
            module.probes, module.spent_us = 0, 0.0
        module.now += TICK_INTERVAL_US
        module.give(TimerExpired(TICK_TIMER))
    return {PROBES.key: module.probes / UPKEEP_S, UPKEEP.key: module.spent_us / UPKEEP_S}


def engine_with_connections(connections: int, backends: int = 64) -> Engine:
    """An engine through which so many connections stand, resumed ones, for they need no probes to place."""
    limits = Limits(sockets=4 * connections)
    engine = Engine(relay_settings(), limits, 1, membership_update(0, True, list(range(backends))), NOW_US)
    names = list(engine.endpoint_list.entries)
    for number in range(connections):
        wanted = RequestArrived(
            0, time_budget_us=2_000_000, group=number % 700 + 1, flags=RequestFlag.MID_FLOW
        )
        engine.request_opened(wanted, names[number % backends], NOW_US, f"{number:x}")
        (order,) = (c for c in engine.commands if isinstance(c, OpenUpstream))
        engine.upstream_first_line_written(order.request_id, order.attempt, NOW_US)
        engine.upstream_established(order.request_id, order.attempt, NOW_US)
        engine.commands.clear()
    return engine


def engine_upkeep_cost(connections: int) -> dict[str, float]:
    """What one second of upkeep and one piece of news cost an engine through which connections stand."""
    engine = engine_with_connections(connections)
    gc.collect()
    gc.freeze()  # what stands is no garbage; a relay's collector would come to know that as well
    try:
        now, spent, held = NOW_US, 0.0, 0.0
        for quarter in range(24 * 4 + 8):  # until nothing of the set-up is due any more, then two seconds
            now += 250_000
            engine.commands.clear()
            counted = quarter >= 24 * 4

            def advance(now: int = now) -> None:
                engine.advance(now)

            if counted:
                one = 0.0

                def timed(advance: object = advance) -> None:
                    nonlocal one
                    one = elapsed_ms(advance)  # type: ignore[arg-type]

                spent += processor_us(timed)
                held = max(held, one)
            else:
                advance()
        return {
            TICKS.key: spent / 2,
            LONGEST_TURN.key: held,
            UPDATE_BY_CONNECTIONS.key: update_cost_us(engine, 64),
        }
    finally:
        gc.unfreeze()


BACKENDS = Sweep((512, 1500, 5000, 8192), 15000, 3)
UPKEEPS = Sweep((500, 1500, 5000, 8000), 15000, 1)
STANDING = Sweep((2000, 8000, 16000, 32000), 73300, 2)


def measure_decisions(on_progress: ProgressCallback) -> list[Cost]:
    """Placements and news by backends."""
    return measure_sizes(BACKENDS, (DECISION, NEW_GROUP, UPDATE, PLAIN), placement_costs, on_progress)


def measure_upkeep(on_progress: ProgressCallback) -> list[Cost]:
    """Upkeep by backends and by connections, and news by connections."""
    found = measure_sizes(UPKEEPS, (PROBES, UPKEEP), upkeep_cost, on_progress)
    return found + measure_sizes(
        STANDING, (TICKS, LONGEST_TURN, UPDATE_BY_CONNECTIONS), engine_upkeep_cost, on_progress
    )
