"""The loads of each role, as formulas: what the capacity page tabulates."""

from __future__ import annotations

from gannetweir.lab.scale import target
from gannetweir.lab.scale.model import PROBE_BYTES, CapacityLoad
from gannetweir.lab.scale.roles import (
    BYTES,
    CORE,
    IN_FORCE,
    LATENCY,
    MACHINE_CORES,
    MEMORY,
    Budget,
    Carrier,
    RoleLoad,
)
from gannetweir.placement.group_placement import MAX_CANDIDATES

PRESENT, NEW = Carrier.PRESENT, Carrier.NEW
MISSING, UNMEASURED = Carrier.MISSING, Carrier.UNMEASURED
COUNT, A_SECOND, MEGABYTES = Budget(""), Budget("1/s"), Budget("MB")
CONTROL_RELAYS = target.RELAYS // target.CONTROL_MACHINES

PROCESSES = "a process a core on one listener"
ORDERS = "a group's first backends without a sort of all"
SLICES = "snapshots in slices, deltas"
ONE_PART = "one control part a machine"
SHARED = "one control part a machine, reports shared among relays"
VERSIONS = "versions as deltas, a snapshot where the base is gone"
DERIVED = "placement of shards derived from membership"
FANOUT = "two-level fan-out, serialised once"
PLACEMENT = "placement by filling"
PROBING = "upkeep.probes, probe, upkeep.backends"
TIMER_SCANS = "walks over all connections, five a second"
OTHERS = "not this project's"


def _a_window(byte_count: float) -> float:
    """KB a second if so many bytes are told within the time for a change."""
    return byte_count / target.IN_FORCE_S / 1e3


def _longest_turn_ms(load: CapacityLoad, processes: int) -> float:
    return load.record["upkeep.hold"].at(73300)


def _update_ms(load: CapacityLoad, processes: int) -> float:
    """One entry of news within the time for a change, in milliseconds a second over all processes."""
    by_backends = load.record["news.backends"].at(load.assumptions.backends)
    by_connections = load.record["news.connections"].mean_per_unit * target.RELAY_CONNECTIONS / processes
    return processes * (by_backends + by_connections) / 1e3 / target.IN_FORCE_S


def _shards_mb(load: CapacityLoad, processes: int) -> float:
    return load.record["list.memory"].accepted_line.at(target.SHARDS) / 1024


def _change_ms(key: str, load: CapacityLoad, watchers: int) -> float:
    """One change to so many watchers."""
    return load.record[key].at(watchers) / 1e3


def _restarts_kb(load: CapacityLoad, processes: int) -> float:
    """KB a second of whole lists for the relays that are restarted on an ordinary day."""
    return target.RESTARTS_A_DAY * processes * load.list_bytes() / 86400 / 1e3


def _lists_mb(load: CapacityLoad, processes: int) -> float:
    """MB a second if a control machine's relays all read the whole list within the time for a change."""
    return CONTROL_RELAYS * load.list_bytes() / target.IN_FORCE_S / 1e6


DATA_PATH = (
    RoleLoad(
        "connections", lambda load, processes: target.RELAY_CONNECTIONS, COUNT, PROCESSES, MISSING, "told"
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
        lambda load, processes: load.lines_core(processes),
        MACHINE_CORES,
        PROCESSES,
        MISSING,
        "line.push.relay",
    ),
    RoleLoad(
        "set-ups, sorting included",
        lambda load, processes: load.setups_core(),
        MACHINE_CORES,
        ORDERS,
        MISSING,
        "setup.relay, decision.new_group",
    ),
    RoleLoad(
        "set-ups, were no order sorted",
        lambda load, processes: load.setups_core(False),
        MACHINE_CORES,
        PROCESSES,
        MISSING,
        "setup.relay",
    ),
    RoleLoad(
        "a line waits for a whole list",
        lambda load, processes: load.stall_ms(),
        LATENCY,
        SLICES,
        NEW,
        "list.stall",
    ),
    RoleLoad(
        "longest turn for upkeep, one process", _longest_turn_ms, LATENCY, TIMER_SCANS, PRESENT, "upkeep.hold"
    ),
)

CONTROL_PART = (
    RoleLoad(
        "upkeep by backends, a process",
        lambda load, processes: load.probing_core(processes) * 1e3,
        CORE,
        SHARED,
        MISSING,
        PROBING,
    ),
    RoleLoad(
        "upkeep by backends, all processes",
        lambda load, processes: processes * load.probing_core(processes) * 1e3,
        CORE,
        SHARED,
        MISSING,
        PROBING,
    ),
    RoleLoad(
        "upkeep by connections, all processes",
        lambda load, processes: load.standing_core() * 1e3,
        CORE,
        TIMER_SCANS,
        PRESENT,
        "upkeep.connections",
    ),
    RoleLoad(
        "probes' lines, all processes",
        lambda load, processes: processes * load.probes_s(processes) * PROBE_BYTES / 1e3,
        BYTES,
        SHARED,
        MISSING,
        "upkeep.probes",
    ),
    RoleLoad(
        "one entry of news, all processes",
        _update_ms,
        CORE,
        "the watch's deltas",
        PRESENT,
        "news.backends, news.connections",
    ),
    RoleLoad(
        "a whole list in 12 s, a process",
        lambda load, processes: _a_window(load.list_bytes()),
        BYTES,
        VERSIONS,
        NEW,
        "list.wire",
    ),
    RoleLoad(
        "a whole list in 12 s, all processes",
        lambda load, processes: processes * _a_window(load.list_bytes()),
        BYTES,
        ONE_PART,
        MISSING,
        "list.wire",
    ),
    RoleLoad(
        "a zone's 58,000 shards listed in 12 s",
        lambda load, processes: _a_window(target.ENTRIES[-1] * load.entry_bytes()),
        BYTES,
        DERIVED,
        MISSING,
        "list.wire",
    ),
    RoleLoad(
        "memory without connections, all processes",
        lambda load, processes: load.control_mb(processes),
        MEMORY,
        ONE_PART,
        MISSING,
        "start.memory",
    ),
    RoleLoad("memory, 750,000 shards listed, a process", _shards_mb, MEMORY, DERIVED, MISSING, "list.memory"),
)

CONTROL_MACHINE = (
    RoleLoad(
        "one change to 100 relays, serialised once",
        lambda load, processes: _change_ms("fanout.once", load, CONTROL_RELAYS),
        IN_FORCE,
        FANOUT,
        NEW,
        "fanout.once",
    ),
    RoleLoad(
        "one change to 100 relays, as the stand-in",
        lambda load, processes: _change_ms("fanout.stand_in", load, CONTROL_RELAYS),
        IN_FORCE,
        FANOUT,
        NEW,
        "fanout.stand_in",
    ),
    RoleLoad("whole lists to 100 relays in 12 s", _lists_mb, Budget("MB/s"), VERSIONS, NEW, "list.wire"),
    RoleLoad("memory, state of its relays", None, MEGABYTES, "none is there", UNMEASURED, "-"),
)

DISCOVERY = (
    RoleLoad(
        "watches, one a process",
        lambda load, processes: target.RELAYS * processes,
        COUNT,
        FANOUT,
        NEW,
        "processes",
    ),
    RoleLoad(
        "one change to all of them, the stand-in",
        lambda load, processes: _change_ms("fanout.stand_in", load, target.RELAYS * processes),
        IN_FORCE,
        FANOUT,
        NEW,
        "fanout.stand_in",
    ),
    RoleLoad("whole lists for 340 restarts a day", _restarts_kb, Budget("KB/s"), VERSIONS, NEW, "list.wire"),
    RoleLoad("the true one's processor time, memory", None, COUNT, OTHERS, UNMEASURED, "-"),
)

BACKEND = (
    RoleLoad(
        "connections",
        lambda load, processes: target.CONNECTIONS / load.assumptions.backends,
        COUNT,
        PLACEMENT,
        PRESENT,
        "told",
    ),
    RoleLoad(
        "probes",
        lambda load, processes: load.backend_probes_s(processes),
        A_SECOND,
        SHARED,
        MISSING,
        "upkeep.probes",
    ),
    RoleLoad(
        "set-ups",
        lambda load, processes: load.store_calls_s() / load.assumptions.backends,
        A_SECOND,
        PLACEMENT,
        PRESENT,
        "told",
    ),
    RoleLoad(
        "deliveries",
        lambda load, processes: target.DELIVERIES_S / load.assumptions.backends,
        A_SECOND,
        PLACEMENT,
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
    RoleLoad("processor time, memory", None, COUNT, OTHERS, UNMEASURED, "-"),
)

SESSION_STORE = (
    RoleLoad(
        "calls, one a set-up",
        lambda load, processes: load.store_calls_s(),
        A_SECOND,
        "retry budgets",
        PRESENT,
        "told",
    ),
    RoleLoad("processor time, memory", None, COUNT, OTHERS, UNMEASURED, "-"),
)

ROLES = {
    "relay, data path": DATA_PATH,
    "relay, control part": CONTROL_PART,
    "control machine": CONTROL_MACHINE,
    "discovery": DISCOVERY,
    "backend": BACKEND,
    "session store": SESSION_STORE,
}
