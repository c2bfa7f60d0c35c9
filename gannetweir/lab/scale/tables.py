"""The tables of docs/CAPACITY.md, from a record and the model over it."""

from __future__ import annotations

from gannetweir.lab.scale import target
from gannetweir.lab.scale.events import events
from gannetweir.lab.scale.flips import Finding
from gannetweir.lab.scale.model import CapacityLoad
from gannetweir.lab.scale.record import Record
from gannetweir.lab.scale.role_table import Row
from gannetweir.lab.scale.seen import SEEN
from gannetweir.lab.scale.slopes import Cost
from gannetweir.lab.scale.target import Assumptions, life, swept_assumptions

Table = tuple[list[str], list[list[str]]]


def number(value: float | None) -> str:
    """Three figures that count, thousands parted."""
    if value is None:
        return "-"
    if value == 0 or abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def slope_table(record: Record) -> Table:
    """Every cost: its fit, its check, and whether the fit is used."""
    columns = [
        "cost",
        "unit",
        "by",
        "fixed",
        "for each",
        "measured",
        "check",
        "predicted",
        "error",
        "rounds",
        "fit",
    ]
    return columns, [_slope_row(cost) for cost in record.costs.values()]


def brief_table(record: Record) -> Table:
    """What a console has room for."""
    found = [
        [cost.key, number(cost.line.per_unit), f"{cost.unit}, {cost.size_unit}", f"{100 * cost.error:+.0f}%"]
        for cost in record.costs.values()
    ]
    return ["cost", "for each", "unit, by", "error"], found


def _slope_row(cost: Cost) -> list[str]:
    measured = ", ".join(f"{s.size:,}: {number(s.median)}" for s in cost.samples)
    errors = cost.errors
    return [
        cost.key,
        cost.unit,
        cost.size_unit,
        number(cost.line.fixed),
        number(cost.line.per_unit),
        measured,
        f"{cost.check.size:,}: {number(cost.check.median)}",
        number(cost.line.at(cost.check.size)),
        f"{100 * cost.error:+.1f}%",
        f"{100 * min(errors):+.0f} to {100 * max(errors):+.0f}%" if len(errors) > 1 else "one",
        f"refused: {cost.refusal}" if cost.refusal else "used",
    ]


def title_table(record: Record) -> Table:
    """What each cost is."""
    found = [[c.key, c.title, c.method or "-"] for c in record.costs.values()]
    return ["cost", "what it is", "how it was measured"], found


def group_table(record: Record) -> Table:
    """How each group was measured."""
    columns = ["group", "seconds", "Python", "processors", "load average at its end"]
    names = "seconds", "python", "processors", "load_average"
    return columns, [[name, *(str(about[key]) for key in names)] for name, about in record.groups.items()]


def role_table(found: list[Row]) -> Table:
    """Every load of every role."""
    columns = ["role", "load", "at the target", "budget", "ratio", "mechanism", "state", "slope's source"]
    return columns, [
        [
            row.role,
            row.what,
            f"{number(row.value)} {row.unit}".strip() if row.value is not None else "-",
            f"{number(row.budget)} {row.unit}".strip() if row.budget is not None else "not told",
            number(row.ratio),
            row.mechanism,
            row.carrier.value,
            row.source,
        ]
        for row in found
    ]


def worst_table(found: list[Row]) -> Table:
    """What is over its budget, the largest ratio first."""
    over = sorted((r for r in found if r.ratio is not None and r.ratio > 1), key=lambda r: -(r.ratio or 0))
    columns = ["ratio", "role", "load", "mechanism", "state"]
    return columns, [[number(r.ratio), r.role, r.what, r.mechanism, r.carrier.value] for r in over]


def process_table(record: Record) -> Table:
    """Processes of a relay machine over the sweep."""
    columns = [
        "assumption",
        "processes",
        "were no order sorted",
        "set-ups, cores",
        "of that the sort",
        "upkeep, cores a process",
    ]
    found = []
    for a in swept_assumptions():
        load = CapacityLoad(record, a)
        sort = load.setups_core() - load.setups_core(False)
        found.append(
            [
                a.name,
                count_of(load.processes()),
                count_of(load.processes(False)),
                number(load.setups_core()),
                number(sort),
                number(load.probing_core(load.processes() or 1)),
            ]
        )
    return columns, found


def count_of(processes: int | None) -> str:
    """A number of processes, or that none is enough."""
    return "none do" if processes is None else str(processes)


def list_table(record: Record) -> Table:
    """A whole list at the swept numbers of backends."""
    columns = [
        "entries",
        "wire, KB",
        "at 10 KB/s, s",
        "read, ms",
        "engine, ms",
        "longest turn, ms",
        "a line waits, ms",
        "held, MB",
    ]
    found = []
    for entries in target.BACKENDS:
        load = CapacityLoad(record, Assumptions(backends=entries))
        cells = [
            load.list_bytes() / 1e3,
            load.list_s(),
            record["list.read"].at(entries) / 1e3,
            record["list.apply"].at(entries) / 1e3,
            record["list.hold"].at(entries),
            load.stall_ms(),
            record["list.memory"].at(entries) / 1024,
        ]
        found.append([f"{entries:,}", *map(number, cells)])
    return columns, found


def probe_table(record: Record) -> Table:
    """Probes as a fleet on virtual time grows."""
    columns = [
        "relays",
        "probes a client's try",
        "probes a second of a relay",
        "probes a second at a backend",
    ]
    tries, at_backend = record["fleet.probes_a_try"], record["fleet.probes_a_backend"]
    found = []
    for one, other in zip(
        (*tries.samples, tries.check), (*at_backend.samples, at_backend.check), strict=True
    ):
        a_relay = other.median * 60 / one.size
        found.append([str(one.size), f"{one.median:.2f}", number(a_relay), number(other.median)])
    return columns, found


def upkeep_table(record: Record) -> Table:
    """Upkeep's probes over the sweep."""
    columns = ["assumption", "processes", "probes a second of a relay", "probes a second at a backend"]
    found = []
    for a in swept_assumptions():
        load = CapacityLoad(record, a)
        count = load.processes()
        cells = (
            [None, None] if count is None else [count * load.probes_s(count), load.backend_probes_s(count)]
        )
        found.append([a.name, count_of(count), *map(number, cells)])
    return columns, found


def event_table(load: CapacityLoad) -> Table:
    """Every event under one pair of assumptions."""
    columns = [
        "event",
        "clients that come again",
        "set-ups at each relay left",
        "seconds of set-ups",
        "session-store calls",
        "KB told to a relay",
        "seconds until in force",
        "what is told",
    ]
    found = []
    for event in events(load, load.processes() or 1):
        cells = (
            event.clients,
            event.setups_each,
            event.setups_s,
            event.store_calls,
            event.sent_kb,
            event.in_force_s,
        )
        found.append([event.name, *map(number, cells), event.why])
    return columns, found


def flip_table(found: list[Finding]) -> Table:
    """Every conclusion over the sweep, and where it flips."""
    columns = ["conclusion", *(a.name for a in swept_assumptions()), "flips", "at backends", "at a life of"]
    return columns, [
        [
            finding.text,
            *(number(ratio) if ratio != float("inf") else "none do" for ratio in finding.ratios.values()),
            "yes" if finding.flips else "no",
            number(finding.edge_backends),
            life(finding.edge_life_s) if finding.edge_life_s is not None else "-",
        ]
        for finding in found
    ]


def seen_table(record: Record) -> Table:
    """Figures that were seen before, beside the record's."""
    columns = ["figure", "seen once", "in the record", "unit", ""]
    found = []
    for one in SEEN:
        before = number(one.low) if one.low == one.high else f"{number(one.low)} to {number(one.high)}"
        found.append([one.what, before, number(one.now(record)), one.unit, one.verdict(record)])
    return columns, found
