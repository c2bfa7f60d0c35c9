"""Each role at the target: what it holds, hears, spends; its budget, the ratio, and what carries it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from gannetweir.brain import LOOKS
from gannetweir.lab.scale import target as t
from gannetweir.lab.scale.model import PROBE_BYTES, Load
from gannetweir.lab.scale.slopes import FitRefusedError


class Carrier(Enum):
    """Is the mechanism there that carries a load?"""

    PRESENT = "present"
    NEW = "new"
    MISSING = "missing"
    UNMEASURED = "not measured"


@dataclass(frozen=True, slots=True)
class Row:
    """One load of one role. A value of None needs a fit that was refused; a budget of None is not told."""

    role: str
    what: str
    value: float | None
    unit: str
    budget: float | None
    mechanism: str
    carrier: Carrier
    source: str  # keys of the record

    @property
    def ratio(self) -> float | None:
        """The load over its budget."""
        return None if self.value is None or not self.budget else self.value / self.budget


DATA, CONTROL, MACHINE, DISCOVERY, BACKEND, STORE = (
    "relay, data path",
    "relay, control part",
    "control machine",
    "discovery",
    "backend",
    "session store",
)


def _tried(value: Callable[[], float]) -> float | None:
    try:
        return value()
    except FitRefusedError:
        return None


def rows(load: Load) -> list[Row]:
    """Every load of every role, under the load's assumptions."""
    processes = load.processes() or 0
    return [
        *_data_path(load, processes),
        *_control_part(load, processes),
        *_control_machine(load, processes),
        *_discovery(load, processes),
        *_behind(load, processes),
    ]


def _data_path(load: Load, processes: int) -> list[Row]:
    record, count = load.record, max(1, processes)
    cores, present = load.a.cores, Carrier.PRESENT

    def row(what: str, value: float | None, unit: str, budget: float | None, how: str, *rest: object) -> Row:
        carrier, source = rest
        assert isinstance(carrier, Carrier) and isinstance(source, str)
        return Row(DATA, what, value, unit, budget, how, carrier, source)

    many = "one process a core, one shared listener"
    orders = "a group's first few backends without sorting all of them"
    return [
        row("connections", t.RELAY_CONNECTIONS, "", None, many, Carrier.NEW, "told"),
        row(
            "resident memory",
            load.connections_mb(count),
            "MB",
            None,
            many,
            present,
            "connection.memory.relay",
        ),
        row(
            "deliveries, processor",
            _tried(lambda: load.lines_core(count)),
            "cores",
            cores * load.a.busy,
            many,
            Carrier.NEW,
            "line.push.relay",
        ),
        row(
            "set-ups, processor, sorting included",
            _tried(load.setups_core),
            "cores",
            cores * load.a.busy,
            orders,
            Carrier.MISSING,
            "setup.relay, decision.new_group",
        ),
        row(
            "set-ups, processor, were no order sorted",
            _tried(lambda: load.setups_core(False)),
            "cores",
            cores * load.a.busy,
            many,
            Carrier.NEW,
            "setup.relay",
        ),
        row(
            "longest turn for one whole list",
            _tried(load.stall_ms),
            "ms",
            t.DELIVERY_MS,
            "snapshots in slices, deltas",
            Carrier.MISSING,
            "list.stall",
        ),
        row(
            "longest turn for upkeep, one process",
            record["upkeep.hold"].at(73300) / count,
            "ms",
            t.DELIVERY_MS,
            "connections spread over processes",
            Carrier.NEW,
            "upkeep.hold",
        ),
    ]


def _control_part(load: Load, processes: int) -> list[Row]:
    record, count = load.record, max(1, processes)
    core, second = t.CONTROL_CORE * 1000, t.CONTROL_BYTES_S

    def row(
        what: str, value: float | None, unit: str, budget: float, how: str, new: Carrier, src: str
    ) -> Row:
        return Row(CONTROL, what, value, unit, budget, how, new, src)

    present, missing = Carrier.PRESENT, Carrier.MISSING
    shared = "one control part a machine, probes shared among its processes and relays"
    probing = "upkeep.probes, probe, upkeep.backends"
    versions = "versions as deltas; a snapshot only where the base is gone"
    shards = "placement of shards derived from membership"
    return [
        row(
            "upkeep by backends, one process",
            load.probing_core(count) * 1e3,
            "ms/s",
            core,
            shared,
            missing,
            probing,
        ),
        row(
            "the same, all processes",
            count * load.probing_core(count) * 1e3,
            "ms/s",
            core,
            shared,
            missing,
            probing,
        ),
        row(
            "upkeep by connections, all processes",
            load.standing_core() * 1e3,
            "ms/s",
            core,
            "walked once a tick and four times a second",
            present,
            "upkeep.connections",
        ),
        row(
            "probes' lines, all processes",
            count * load.probes_s(count) * PROBE_BYTES / 1e3,
            "KB/s",
            second / 1e3,
            shared,
            missing,
            "upkeep.probes",
        ),
        row(
            "one entry of news, all processes",
            count
            * (record["news.backends"].at(load.a.backends) + _standing_news(load, count))
            / 1e3
            / t.IN_FORCE_S,
            "ms/s",
            core,
            "deltas of the watch",
            present,
            "news.backends, news.connections",
        ),
        row(
            "a whole list, one process, in 12 s",
            load.list_bytes() / t.IN_FORCE_S / 1e3,
            "KB/s",
            second / 1e3,
            versions,
            missing,
            "list.wire",
        ),
        row(
            "a whole list, all processes, in 12 s",
            count * load.list_bytes() / t.IN_FORCE_S / 1e3,
            "KB/s",
            second / 1e3,
            versions,
            missing,
            "list.wire",
        ),
        row(
            "a zone's 58,000 shards listed, in 12 s",
            t.ENTRIES[-1] * load.entry_bytes() / t.IN_FORCE_S / 1e3,
            "KB/s",
            second / 1e3,
            shards,
            missing,
            "list.wire",
        ),
        row(
            "memory, all processes, no connections",
            load.control_mb(count),
            "MB",
            t.CONTROL_MB,
            "one control part a machine",
            missing,
            "start.memory",
        ),
        row(
            "memory, 750,000 shards listed, one process",
            record["list.memory"].fitted.at(t.SHARDS) / 1024,
            "MB",
            t.CONTROL_MB,
            shards,
            missing,
            "list.memory",
        ),
    ]


def _standing_news(load: Load, processes: int) -> float:
    """News of one entry at one process's connections, in microseconds over what it costs without any."""
    return load.record["news.connections"].each * t.RELAY_CONNECTIONS / processes


def _control_machine(load: Load, processes: int) -> list[Row]:
    record, relays = load.record, t.RELAYS // t.CONTROL_MACHINES
    fanout, budget = "two-level fan-out, serialised once", t.IN_FORCE_S * 1000
    once, today = record["fanout.once"].at(relays) / 1e3, record["fanout.stand_in"].at(relays) / 1e3
    sent = relays * load.list_bytes() / t.IN_FORCE_S / 1e6
    what = "whole lists for 100 relays in 12 s"
    return [
        Row(
            MACHINE,
            "one change to 100 relays, serialised once",
            once,
            "ms",
            budget,
            fanout,
            Carrier.MISSING,
            "fanout.once",
        ),
        Row(
            MACHINE,
            "the same as the stand-in does it",
            today,
            "ms",
            budget,
            fanout,
            Carrier.MISSING,
            "fanout.stand_in",
        ),
        Row(
            MACHINE,
            what,
            sent,
            "MB/s",
            None,
            "snapshots at each relay's 10 KB/s",
            Carrier.MISSING,
            "list.wire",
        ),
        Row(
            MACHINE, "memory, state of 100 relays", None, "MB", None, "none is there", Carrier.UNMEASURED, "-"
        ),
    ]


def _discovery(load: Load, processes: int) -> list[Row]:
    record, watchers = load.record, t.RELAYS * max(1, processes)
    lists = t.RESTARTS_A_DAY * max(1, processes) * load.list_bytes() / 86400 / 1e3
    change = _tried(lambda: record["fanout.stand_in"].at(watchers) / 1e3)
    relayed = "control machines between"
    return [
        Row(
            DISCOVERY,
            "watches, one a process",
            float(watchers),
            "",
            None,
            relayed,
            Carrier.MISSING,
            "processes",
        ),
        Row(
            DISCOVERY,
            "one change to all of them, the stand-in",
            change,
            "ms",
            t.IN_FORCE_S * 1000,
            relayed,
            Carrier.MISSING,
            "fanout.stand_in",
        ),
        Row(
            DISCOVERY,
            "whole lists for 340 restarts a day",
            lists,
            "KB/s",
            None,
            "deltas from the known version",
            Carrier.PRESENT,
            "list.wire",
        ),
        Row(
            DISCOVERY,
            "the true discovery's costs",
            None,
            "",
            None,
            "not this project's",
            Carrier.UNMEASURED,
            "-",
        ),
    ]


def _behind(load: Load, processes: int) -> list[Row]:
    a, count = load.a, max(1, processes)
    place, probes = "placement by filling", "probes shared among relays, or reports pushed"
    return [
        Row(BACKEND, "connections", t.CONNECTIONS / a.backends, "", None, place, Carrier.PRESENT, "told"),
        Row(
            BACKEND,
            "probes",
            load.backend_probes_s(count),
            "1/s",
            None,
            probes,
            Carrier.MISSING,
            "upkeep.probes",
        ),
        Row(
            BACKEND, "set-ups", load.store_calls_s() / a.backends, "1/s", None, place, Carrier.PRESENT, "told"
        ),
        Row(BACKEND, "deliveries", t.DELIVERIES_S / a.backends, "1/s", None, place, Carrier.PRESENT, "told"),
        Row(
            BACKEND,
            "backends that the largest topic fills",
            load.topic_backends(),
            "",
            float(LOOKS),
            "a group's order, eight looked at",
            Carrier.PRESENT if load.topic_backends() <= LOOKS else Carrier.MISSING,
            "told; loads of 0.5 and 0.8",
        ),
        Row(BACKEND, "processor, memory", None, "", None, "not this project's", Carrier.UNMEASURED, "-"),
        Row(
            STORE,
            "calls, one a set-up",
            load.store_calls_s(),
            "1/s",
            None,
            "retry budgets",
            Carrier.PRESENT,
            "told",
        ),
        Row(STORE, "its own costs", None, "", None, "not this project's", Carrier.UNMEASURED, "-"),
    ]
