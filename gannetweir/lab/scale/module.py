"""The costs of decisions (a placement, an update of one backend) and of periodic maintenance, by the number
of backends and by the number of open connections.
"""

from __future__ import annotations

import gc
import time

from gannetweir.core import Engine, OpenUpstream
from gannetweir.lab.scale.lists import NOW_US, host_entry, measured_relay_settings
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

# Arrivals of groups whose ranking of backends is cached, and of groups whose ranking is not.
CACHED_ARRIVALS, UNCACHED_ARRIVALS = 200, 12
UPDATE_COUNT = 40  # updates of one entry each
# Seconds of maintenance that are counted, after as many seconds in which the balancer settles.
MAINTENANCE_S = 40
FLEET_CONNECTIONS = 110_000_000
REPORTED_LOAD = 0.5  # the share of its capacity that every backend reports as used
ARRIVAL_INTERVAL_US = 1000

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
READY_UPDATE = CostDefinition(
    "news.plain",
    "news of one entry that stays ready",
    "µs",
    "backends",
    "Engine.endpoint_update_received, its share alone changes",
)
MAINTENANCE_PROBES = CostDefinition(
    "upkeep.probes",
    "upkeep's probes a second of one process that holds connections at every backend",
    "1/s",
    "backends",
    "Balancer on virtual time, 1,500 relays told, 110 million connections spread evenly",
)
MAINTENANCE = CostDefinition(
    "upkeep.backends",
    "upkeep a second in the module",
    "µs",
    "backends",
    "ticks and probes' answers, processor time",
)
ENGINE_MAINTENANCE = CostDefinition(
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
    """A `Balancer` whose load probes are answered at once; counts its probes and its processor time."""

    def __init__(self, backends: int) -> None:
        self.now, self.attempts_started, self.probes, self.spent_us = NOW_US, 0, 0, 0.0
        self.balancer = Balancer(measured_relay_settings(), 1, NOW_US)
        self.report = (1.0, FLEET_CONNECTIONS / backends, REPORTED_LOAD)
        entries = [EndpointEntry(n) for n in range(backends)]
        self.deliver(EndpointListUpdate(UpdateKind.CACHED, 1, entries))

    def deliver(self, event: Event) -> None:
        """Let the balancer handle an event, and the answers to the load probes that the event causes."""
        pending_events: list[Event] = [event]
        while pending_events:
            event = pending_events.pop()
            started_ns = time.process_time_ns()
            actions = self.balancer.handle(event, self.now)
            self.spent_us += (time.process_time_ns() - started_ns) / 1000.0
            for action in actions:
                if isinstance(action, ProbeLoad):
                    self.probes += 1
                    pending_events.append(
                        LoadProbeResult(action.endpoint_id, AttemptStatus.OK, 1000, self.report)
                    )
                self.attempts_started += isinstance(action, StartAttempt)

    def place(self, request: int, group: int) -> None:
        """Let one request arrive and its client disconnect; only the arrival adds to the processor time."""
        self.now += ARRIVAL_INTERVAL_US
        self.deliver(RequestArrived(request, time_budget_us=2_000_000, group=group))
        cpu_us = self.spent_us
        self.deliver(ClientDisconnected(request))
        self.spent_us = cpu_us


def placement_costs(backends: int) -> dict[str, float]:
    """Measure a placement with a cached ranking and one without, and an update of one entry, in
    microseconds.
    """
    gc.collect()
    probed = ProbedBalancer(backends)
    for group in range(1, 31):
        probed.place(group, group)
    probed.spent_us, probed.attempts_started = 0.0, 0
    for number in range(CACHED_ARRIVALS):
        probed.place(1000 + number, number % 30 + 1)
    cached_us = probed.spent_us / CACHED_ARRIVALS
    assert probed.attempts_started == CACHED_ARRIVALS, probed.attempts_started
    probed.spent_us = 0.0
    for number in range(UNCACHED_ARRIVALS):
        probed.place(5000 + number, 5000 + number)
    return {
        DECISION.key: cached_us,
        NEW_GROUP.key: probed.spent_us / UNCACHED_ARRIVALS,
        **update_costs(backends),
    }


def update_costs(backends: int) -> dict[str, float]:
    """Measure an engine's processor time for an entry that leaves or returns, and for one that stays
    ready.
    """
    engine = Engine(
        measured_relay_settings(), Limits(), 1, membership_update(0, True, list(range(backends))), NOW_US
    )
    return {
        UPDATE.key: update_cost_us(engine, backends),
        READY_UPDATE.key: update_cost_us(engine, backends, "Ready"),
    }


def membership_update(
    version: int, is_snapshot: bool, numbers: list[int], health: str = "Ready"
) -> MembershipUpdate:
    """Return an update of some entries, parsed as if discovery had sent it."""
    hosts = [host_entry(number) | {"health": health} for number in numbers]
    return read_membership({"seq": version, "whole": is_snapshot, "hosts": hosts}, measured_relay_settings())


def update_cost_us(engine: Engine, backends: int, other_health: str = "Terminating") -> float:
    """Return the mean processor time of one update, in microseconds. Every second update sets `other_health`:
    by default entries leave and return alternately, with "Ready" they stay.
    """
    cpu_us = 0.0
    for number in range(UPDATE_COUNT):
        changed = [(number // 2 * 37) % backends]
        update = membership_update(number + 1, False, changed, "Ready" if number % 2 else other_health)
        engine.commands.clear()
        cpu_us += processor_us(lambda n=update: engine.endpoint_update_received(n, NOW_US + 1))  # type: ignore[misc]
    return cpu_us / UPDATE_COUNT


def maintenance_cost(backends: int) -> dict[str, float]:
    """Measure the load probes and microseconds per second of a balancer with a connection at each backend."""
    gc.collect()
    probed = ProbedBalancer(backends)
    for number in range(backends):
        probed.deliver(ConnectionResumed(number + 1, 0, 3_600_000_000, number + 1, 1, 1, number))
    for second in range(2 * MAINTENANCE_S):
        if second == MAINTENANCE_S:
            probed.probes, probed.spent_us = 0, 0.0
        probed.now += TICK_INTERVAL_US
        probed.deliver(TimerExpired(TICK_TIMER))
    return {
        MAINTENANCE_PROBES.key: probed.probes / MAINTENANCE_S,
        MAINTENANCE.key: probed.spent_us / MAINTENANCE_S,
    }


def engine_with_connections(connections: int, backends: int = 64) -> Engine:
    """Return an engine with this number of open connections. All connections are resumed ones, because a
    resumed connection is placed without load probes.
    """
    limits = Limits(sockets=4 * connections)
    engine = Engine(
        measured_relay_settings(), limits, 1, membership_update(0, True, list(range(backends))), NOW_US
    )
    endpoint_ids = list(engine.endpoint_list.entries)
    for number in range(connections):
        arrival = RequestArrived(
            0, time_budget_us=2_000_000, group=number % 700 + 1, flags=RequestFlag.MID_FLOW
        )
        engine.request_opened(arrival, endpoint_ids[number % backends], NOW_US, f"{number:x}")
        (command,) = (c for c in engine.commands if isinstance(c, OpenUpstream))
        engine.upstream_first_line_written(command.request_id, command.attempt, NOW_US)
        engine.upstream_established(command.request_id, command.attempt, NOW_US)
        engine.commands.clear()
    return engine


def engine_maintenance_cost(connections: int) -> dict[str, float]:
    """Measure one second of maintenance, the longest turn of the event loop during maintenance, and one
    update, in an engine with open connections.
    """
    engine = engine_with_connections(connections)
    gc.collect()
    # The open connections are not garbage. A long-running relay's collector moves them to its oldest
    # generation.
    gc.freeze()
    try:
        now, cpu_us, longest_ms = NOW_US, 0.0, 0.0
        # Quarters of a second: in the first 24 s all timers of the set-up expire, the last 2 s are counted.
        for quarter in range(24 * 4 + 8):
            now += 250_000
            engine.commands.clear()
            is_counted = quarter >= 24 * 4

            def advance(now: int = now) -> None:
                engine.advance(now)

            if is_counted:
                turn_ms = 0.0

                def timed(advance: object = advance) -> None:
                    nonlocal turn_ms
                    turn_ms = elapsed_ms(advance)  # type: ignore[arg-type]

                cpu_us += processor_us(timed)
                longest_ms = max(longest_ms, turn_ms)
            else:
                advance()
        return {
            ENGINE_MAINTENANCE.key: cpu_us / 2,
            LONGEST_TURN.key: longest_ms,
            UPDATE_BY_CONNECTIONS.key: update_cost_us(engine, 64),
        }
    finally:
        gc.unfreeze()


BACKEND_SWEEP = Sweep((512, 1500, 5000, 8192), 15000, 3)
MAINTENANCE_SWEEP = Sweep((500, 1500, 5000, 8000), 15000, 1)
CONNECTION_SWEEP = Sweep((2000, 8000, 16000, 32000), 73300, 2)


def measure_decisions(on_progress: ProgressCallback) -> list[Cost]:
    """Measure placements and updates by the number of backends."""
    return measure_sizes(
        BACKEND_SWEEP, (DECISION, NEW_GROUP, UPDATE, READY_UPDATE), placement_costs, on_progress
    )


def measure_maintenance(on_progress: ProgressCallback) -> list[Cost]:
    """Measure maintenance by backends and by connections, and updates by connections."""
    costs = measure_sizes(MAINTENANCE_SWEEP, (MAINTENANCE_PROBES, MAINTENANCE), maintenance_cost, on_progress)
    return costs + measure_sizes(
        CONNECTION_SWEEP,
        (ENGINE_MAINTENANCE, LONGEST_TURN, UPDATE_BY_CONNECTIONS),
        engine_maintenance_cost,
        on_progress,
    )
