"""The loads of each role, as formulas: what the capacity page tabulates."""

from __future__ import annotations

from gannetweir.lab.scale import target
from gannetweir.lab.scale.model import PROBE_BYTES, CapacityLoad
from gannetweir.lab.scale.roles import (
    BANDWIDTH,
    CHANGE_TIME,
    CORE_TIME,
    LATENCY,
    MACHINE_CORES,
    MEMORY,
    Budget,
    MechanismState,
    RoleLoad,
)
from gannetweir.placement.group_placement import MAX_CANDIDATES

PRESENT, NEW = MechanismState.PRESENT, MechanismState.NEW
MISSING, UNMEASURED = MechanismState.MISSING, MechanismState.UNMEASURED
COUNT, PER_SECOND, MEGABYTES = Budget(""), Budget("1/s"), Budget("MB")
RELAYS_PER_CONTROL_MACHINE = target.RELAYS // target.CONTROL_MACHINES

SHARED_LISTENER = "a process a core on one listener"
UNSORTED_RANKING = "a group's first backends without a sort of all"
SLICED_SNAPSHOTS = "snapshots in slices, deltas"
ONE_CONTROL_PROCESS = "one control part a machine"
SHARED_REPORTS = "one control part a machine, reports shared among relays"
VERSIONED_DELTAS = "versions as deltas, a snapshot where the base is gone"
DERIVED_SHARD_PLACEMENT = "placement of shards derived from membership"
TWO_LEVEL_FANOUT = "two-level fan-out, serialised once"
FILL_PLACEMENT = "placement by filling"
PROBE_COSTS = "upkeep.probes, probe, upkeep.backends"
CONNECTION_SCANS = "walks over all connections, five a second"
EXTERNAL_PROGRAM = "not this project's"


def _kb_per_s_for_change(byte_count: float) -> float:
    """Return the KB per second to send a number of bytes within the time for a change."""
    return byte_count / target.IN_FORCE_S / 1e3


def _longest_turn_ms(load: CapacityLoad, processes: int) -> float:
    return load.record["upkeep.hold"].at(73300)


def _update_ms_per_s(load: CapacityLoad, processes: int) -> float:
    """Return the milliseconds per second, over all processes, to apply an update of one entry within the time
    for a change.
    """
    by_backends = load.record["news.backends"].at(load.assumptions.backends)
    by_connections = load.record["news.connections"].mean_per_unit * target.RELAY_CONNECTIONS / processes
    return processes * (by_backends + by_connections) / 1e3 / target.IN_FORCE_S


def _shards_mb(load: CapacityLoad, processes: int) -> float:
    return load.record["list.memory"].accepted_line.at(target.SHARDS) / 1024


def _change_ms(key: str, load: CapacityLoad, watchers: int) -> float:
    """Return the milliseconds to send one change to a number of watchers."""
    return load.record[key].at(watchers) / 1e3


def _restarts_kb_per_s(load: CapacityLoad, processes: int) -> float:
    """Return the KB per second of snapshots for the relays that restart on an ordinary day."""
    return target.RESTARTS_PER_DAY * processes * load.snapshot_bytes() / 86400 / 1e3


def _snapshots_mb_per_s(load: CapacityLoad, processes: int) -> float:
    """Return the MB per second if all relays of a control machine read a snapshot within the time for a
    change.
    """
    return RELAYS_PER_CONTROL_MACHINE * load.snapshot_bytes() / target.IN_FORCE_S / 1e6


DATA_PATH = (
    RoleLoad(
        "connections",
        lambda load, processes: target.RELAY_CONNECTIONS,
        COUNT,
        SHARED_LISTENER,
        MISSING,
        "told",
    ),
    RoleLoad(
        "resident memory",
        lambda load, processes: load.connections_mb(processes),
        MEGABYTES,
        "bounded buffers of each connection",
        PRESENT,
        "connection.memory.relay",
    ),
    RoleLoad(
        "deliveries",
        lambda load, processes: load.delivery_cores(processes),
        MACHINE_CORES,
        SHARED_LISTENER,
        MISSING,
        "line.push.relay",
    ),
    RoleLoad(
        "set-ups, sorting included",
        lambda load, processes: load.setup_cores(),
        MACHINE_CORES,
        UNSORTED_RANKING,
        MISSING,
        "setup.relay, decision.new_group",
    ),
    RoleLoad(
        "set-ups, were no order sorted",
        lambda load, processes: load.setup_cores(False),
        MACHINE_CORES,
        SHARED_LISTENER,
        MISSING,
        "setup.relay",
    ),
    RoleLoad(
        "a line waits for a whole list",
        lambda load, processes: load.stall_ms(),
        LATENCY,
        SLICED_SNAPSHOTS,
        NEW,
        "list.stall",
    ),
    RoleLoad(
        "longest turn for upkeep, one process",
        _longest_turn_ms,
        LATENCY,
        CONNECTION_SCANS,
        PRESENT,
        "upkeep.hold",
    ),
)

CONTROL_PART = (
    RoleLoad(
        "upkeep by backends, a process",
        lambda load, processes: load.backend_maintenance_cores(processes) * 1e3,
        CORE_TIME,
        SHARED_REPORTS,
        MISSING,
        PROBE_COSTS,
    ),
    RoleLoad(
        "upkeep by backends, all processes",
        lambda load, processes: processes * load.backend_maintenance_cores(processes) * 1e3,
        CORE_TIME,
        SHARED_REPORTS,
        MISSING,
        PROBE_COSTS,
    ),
    RoleLoad(
        "upkeep by connections, all processes",
        lambda load, processes: load.connection_maintenance_cores() * 1e3,
        CORE_TIME,
        CONNECTION_SCANS,
        PRESENT,
        "upkeep.connections",
    ),
    RoleLoad(
        "probes' lines, all processes",
        lambda load, processes: processes * load.probes_per_s(processes) * PROBE_BYTES / 1e3,
        BANDWIDTH,
        SHARED_REPORTS,
        MISSING,
        "upkeep.probes",
    ),
    RoleLoad(
        "one entry of news, all processes",
        _update_ms_per_s,
        CORE_TIME,
        "the watch's deltas",
        PRESENT,
        "news.backends, news.connections",
    ),
    RoleLoad(
        "a whole list in 12 s, a process",
        lambda load, processes: _kb_per_s_for_change(load.snapshot_bytes()),
        BANDWIDTH,
        VERSIONED_DELTAS,
        NEW,
        "list.wire",
    ),
    RoleLoad(
        "a whole list in 12 s, all processes",
        lambda load, processes: processes * _kb_per_s_for_change(load.snapshot_bytes()),
        BANDWIDTH,
        ONE_CONTROL_PROCESS,
        MISSING,
        "list.wire",
    ),
    RoleLoad(
        "a zone's 58,000 shards listed in 12 s",
        lambda load, processes: _kb_per_s_for_change(target.CHANGE_ENTRIES[-1] * load.entry_bytes()),
        BANDWIDTH,
        DERIVED_SHARD_PLACEMENT,
        MISSING,
        "list.wire",
    ),
    RoleLoad(
        "memory without connections, all processes",
        lambda load, processes: load.control_mb(processes),
        MEMORY,
        ONE_CONTROL_PROCESS,
        MISSING,
        "start.memory",
    ),
    RoleLoad(
        "memory, 750,000 shards listed, a process",
        _shards_mb,
        MEMORY,
        DERIVED_SHARD_PLACEMENT,
        MISSING,
        "list.memory",
    ),
)

CONTROL_MACHINE = (
    RoleLoad(
        "one change to 100 relays, serialised once",
        lambda load, processes: _change_ms("fanout.once", load, RELAYS_PER_CONTROL_MACHINE),
        CHANGE_TIME,
        TWO_LEVEL_FANOUT,
        NEW,
        "fanout.once",
    ),
    RoleLoad(
        "one change to 100 relays, as the stand-in",
        lambda load, processes: _change_ms("fanout.stand_in", load, RELAYS_PER_CONTROL_MACHINE),
        CHANGE_TIME,
        TWO_LEVEL_FANOUT,
        NEW,
        "fanout.stand_in",
    ),
    RoleLoad(
        "whole lists to 100 relays in 12 s",
        _snapshots_mb_per_s,
        Budget("MB/s"),
        VERSIONED_DELTAS,
        NEW,
        "list.wire",
    ),
    RoleLoad("memory, state of its relays", None, MEGABYTES, "none is there", UNMEASURED, "-"),
)

DISCOVERY = (
    RoleLoad(
        "watches, one a process",
        lambda load, processes: target.RELAYS * processes,
        COUNT,
        TWO_LEVEL_FANOUT,
        NEW,
        "processes",
    ),
    RoleLoad(
        "one change to all of them, the stand-in",
        lambda load, processes: _change_ms("fanout.stand_in", load, target.RELAYS * processes),
        CHANGE_TIME,
        TWO_LEVEL_FANOUT,
        NEW,
        "fanout.stand_in",
    ),
    RoleLoad(
        "whole lists for 340 restarts a day",
        _restarts_kb_per_s,
        Budget("KB/s"),
        VERSIONED_DELTAS,
        NEW,
        "list.wire",
    ),
    RoleLoad("the true one's processor time, memory", None, COUNT, EXTERNAL_PROGRAM, UNMEASURED, "-"),
)

BACKEND = (
    RoleLoad(
        "connections",
        lambda load, processes: target.CONNECTIONS / load.assumptions.backends,
        COUNT,
        FILL_PLACEMENT,
        PRESENT,
        "told",
    ),
    RoleLoad(
        "probes",
        lambda load, processes: load.backend_probes_per_s(processes),
        PER_SECOND,
        SHARED_REPORTS,
        MISSING,
        "upkeep.probes",
    ),
    RoleLoad(
        "set-ups",
        lambda load, processes: load.store_calls_per_s() / load.assumptions.backends,
        PER_SECOND,
        FILL_PLACEMENT,
        PRESENT,
        "told",
    ),
    RoleLoad(
        "deliveries",
        lambda load, processes: target.DELIVERIES_PER_S / load.assumptions.backends,
        PER_SECOND,
        FILL_PLACEMENT,
        PRESENT,
        "told",
    ),
    RoleLoad(
        "backends that the largest topic fills",
        lambda load, processes: load.topic_backends(),
        Budget("", float(MAX_CANDIDATES)),
        "a group's order, eight looked at",
        PRESENT,
        "told",
    ),
    RoleLoad("processor time, memory", None, COUNT, EXTERNAL_PROGRAM, UNMEASURED, "-"),
)

SESSION_STORE = (
    RoleLoad(
        "calls, one a set-up",
        lambda load, processes: load.store_calls_per_s(),
        PER_SECOND,
        "retry budgets",
        PRESENT,
        "told",
    ),
    RoleLoad("processor time, memory", None, COUNT, EXTERNAL_PROGRAM, UNMEASURED, "-"),
)

ROLES = {
    "relay, data path": DATA_PATH,
    "relay, control part": CONTROL_PART,
    "control machine": CONTROL_MACHINE,
    "discovery": DISCOVERY,
    "backend": BACKEND,
    "session store": SESSION_STORE,
}
