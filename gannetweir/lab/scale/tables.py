"""The tables of docs/CAPACITY.md, from a record and the capacity model."""

from __future__ import annotations

from gannetweir.lab.scale import target
from gannetweir.lab.scale.events import events
from gannetweir.lab.scale.flips import ConclusionResult
from gannetweir.lab.scale.model import CapacityLoad
from gannetweir.lab.scale.record import Record
from gannetweir.lab.scale.role_table import Row
from gannetweir.lab.scale.seen import EARLIER_FIGURES
from gannetweir.lab.scale.slopes import Cost
from gannetweir.lab.scale.target import Assumptions, format_lifetime, swept_assumptions

Table = tuple[list[str], list[list[str]]]


def format_number(value: float | None) -> str:
    """Format a number with three significant digits, or as an integer with thousands separators from
    100 on.
    """
    if value is None:
        return "-"
    if value == 0 or abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def slope_table(record: Record) -> Table:
    """Return every cost with its fit, its check, and whether the fit is used."""
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


def console_table(record: Record) -> Table:
    """Return the columns of the cost table that fit on a console."""
    table_rows = [
        [
            cost.key,
            format_number(cost.line.per_unit),
            f"{cost.unit}, {cost.size_unit}",
            f"{100 * cost.error:+.0f}%",
        ]
        for cost in record.costs.values()
    ]
    return ["cost", "for each", "unit, by", "error"], table_rows


def _slope_row(cost: Cost) -> list[str]:
    measured = ", ".join(f"{s.size:,}: {format_number(s.median)}" for s in cost.samples)
    errors = cost.errors
    return [
        cost.key,
        cost.unit,
        cost.size_unit,
        format_number(cost.line.fixed),
        format_number(cost.line.per_unit),
        measured,
        f"{cost.check.size:,}: {format_number(cost.check.median)}",
        format_number(cost.line.at(cost.check.size)),
        f"{100 * cost.error:+.1f}%",
        f"{100 * min(errors):+.0f} to {100 * max(errors):+.0f}%" if len(errors) > 1 else "one",
        f"refused: {cost.refusal}" if cost.refusal else "used",
    ]


def description_table(record: Record) -> Table:
    """Return the title and method of each cost."""
    table_rows = [[c.key, c.title, c.method or "-"] for c in record.costs.values()]
    return ["cost", "what it is", "how it was measured"], table_rows


def group_table(record: Record) -> Table:
    """Return the conditions under which each group was measured."""
    columns = ["group", "seconds", "Python", "processors", "load average at its end"]
    names = "seconds", "python", "processors", "load_average"
    return columns, [[name, *(str(about[key]) for key in names)] for name, about in record.groups.items()]


def role_table(table_rows: list[Row]) -> Table:
    """Return every load of every role."""
    columns = ["role", "load", "at the target", "budget", "ratio", "mechanism", "state", "slope's source"]
    return columns, [
        [
            row.role,
            row.label,
            f"{format_number(row.value)} {row.unit}".strip() if row.value is not None else "-",
            f"{format_number(row.budget)} {row.unit}".strip() if row.budget is not None else "not told",
            format_number(row.ratio),
            row.mechanism,
            row.state.value,
            row.source,
        ]
        for row in table_rows
    ]


def over_budget_table(table_rows: list[Row]) -> Table:
    """Return the loads over their budget, the largest ratio first."""
    over_budget = sorted(
        (r for r in table_rows if r.ratio is not None and r.ratio > 1), key=lambda r: -(r.ratio or 0)
    )
    columns = ["ratio", "role", "load", "mechanism", "state"]
    return columns, [
        [format_number(r.ratio), r.role, r.label, r.mechanism, r.state.value] for r in over_budget
    ]


def process_table(record: Record) -> Table:
    """Return the processes of a relay machine for all swept assumptions."""
    columns = [
        "assumption",
        "processes",
        "were no order sorted",
        "set-ups, cores",
        "of that the sort",
        "upkeep, cores a process",
    ]
    table_rows = []
    for case in swept_assumptions():
        load = CapacityLoad(record, case)
        sort = load.setup_cores() - load.setup_cores(False)
        table_rows.append(
            [
                case.name,
                format_process_count(load.processes()),
                format_process_count(load.processes(False)),
                format_number(load.setup_cores()),
                format_number(sort),
                format_number(load.backend_maintenance_cores(load.processes() or 1)),
            ]
        )
    return columns, table_rows


def format_process_count(processes: int | None) -> str:
    """Format a number of processes, or that no number is enough."""
    return "none do" if processes is None else str(processes)


def list_table(record: Record) -> Table:
    """Return the costs of a snapshot at the swept numbers of backends."""
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
    table_rows = []
    for entries in target.BACKENDS:
        load = CapacityLoad(record, Assumptions(backends=entries))
        cells = [
            load.snapshot_bytes() / 1e3,
            load.snapshot_transfer_s(),
            record["list.read"].at(entries) / 1e3,
            record["list.apply"].at(entries) / 1e3,
            record["list.hold"].at(entries),
            load.stall_ms(),
            record["list.memory"].at(entries) / 1024,
        ]
        table_rows.append([f"{entries:,}", *map(format_number, cells)])
    return columns, table_rows


def probe_table(record: Record) -> Table:
    """Return the load probes of fleets on virtual time, by the number of relays."""
    columns = [
        "relays",
        "probes a client's try",
        "probes a second of a relay",
        "probes a second at a backend",
    ]
    attempt_probes, backend_probes = record["fleet.probes_a_try"], record["fleet.probes_a_backend"]
    table_rows = []
    for entry, backend_sample in zip(
        (*attempt_probes.samples, attempt_probes.check),
        (*backend_probes.samples, backend_probes.check),
        strict=True,
    ):
        per_relay = backend_sample.median * 60 / entry.size
        table_rows.append(
            [
                str(entry.size),
                f"{entry.median:.2f}",
                format_number(per_relay),
                format_number(backend_sample.median),
            ]
        )
    return columns, table_rows


def maintenance_table(record: Record) -> Table:
    """Return the load probes of maintenance for all swept assumptions."""
    columns = ["assumption", "processes", "probes a second of a relay", "probes a second at a backend"]
    table_rows = []
    for case in swept_assumptions():
        load = CapacityLoad(record, case)
        count = load.processes()
        cells = (
            [None, None]
            if count is None
            else [count * load.probes_per_s(count), load.backend_probes_per_s(count)]
        )
        table_rows.append([case.name, format_process_count(count), *map(format_number, cells)])
    return columns, table_rows


def event_table(load: CapacityLoad) -> Table:
    """Return every event under the assumptions of `load`."""
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
    table_rows = []
    for event in events(load, load.processes() or 1):
        cells = (
            event.clients,
            event.setups_per_relay,
            event.setup_duration_s,
            event.store_calls,
            event.update_kb,
            event.in_force_s,
        )
        table_rows.append([event.name, *map(format_number, cells), event.explanation])
    return columns, table_rows


def crossover_table(results: list[ConclusionResult]) -> Table:
    """Return every conclusion for all swept assumptions, and the sizes at which the conclusion changes."""
    columns = [
        "conclusion",
        *(case.name for case in swept_assumptions()),
        "flips",
        "at backends",
        "at a life of",
    ]
    return columns, [
        [
            result.text,
            *(
                format_number(ratio) if ratio != float("inf") else "none do"
                for ratio in result.ratios.values()
            ),
            "yes" if result.depends_on_assumptions else "no",
            format_number(result.crossover_backends),
            format_lifetime(result.crossover_lifetime_s) if result.crossover_lifetime_s is not None else "-",
        ]
        for result in results
    ]


def earlier_figures_table(record: Record) -> Table:
    """Return the earlier figures beside the record's figures."""
    columns = ["figure", "seen once", "in the record", "unit", ""]
    table_rows = []
    for entry in EARLIER_FIGURES:
        before = (
            format_number(entry.low)
            if entry.low == entry.high
            else f"{format_number(entry.low)} to {format_number(entry.high)}"
        )
        table_rows.append(
            [entry.label, before, format_number(entry.current(record)), entry.unit, entry.verdict(record)]
        )
    return columns, table_rows
