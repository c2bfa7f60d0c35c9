"""The page of a skeleton fleet's results: the goals, the limitations of skeleton relays, and the tables."""

from __future__ import annotations

from dataclasses import asdict

from gannetweir.lab.experiments.report import markdown
from gannetweir.lab.scale import control_page
from gannetweir.lab.scale.fleet_experiment import Fault, FleetExperiment, Phase
from gannetweir.lab.scale.fleet_run import FleetRun, PhaseFigures

IN_FORCE_S = 12.0  # time within which a change has to be in force on every relay
# Budget of one relay for control: bandwidth, share of a core, and memory.
BUDGET_KB_S, BUDGET_SHARE, BUDGET_MB = 10.0, 0.038, 256.0

GOALS = f"""\
Wanted: a change in force everywhere within {IN_FORCE_S:g} s; for control, a relay has
{BUDGET_KB_S:g} KB a second ({BUDGET_KB_S * 10:g} KB in 10 s), {BUDGET_SHARE * 100:g}% of a core and
{BUDGET_MB:g} MB. The time of a change begins when the store of record has it, also while no server can tell
it. Changes come here several times a second or every second, at the target every 72 s: processor time and
bytes are those of that faster rate, without any scaling. "Up to date after the fault" is from the fault's end
until the last relay had what was the newest version then, or, where relays were restarted, from the start of
each to its first list. "Load" is the machine's in the minute before the phase, with whatever
else ran on it. Phases of one size may be of several runs.
"""

LIMITATIONS = """\
## What a hollow relay is, and what it is not

It runs the code that serves: the driver of the watch, the protocol's state machine, the engine, the decision
module, the settings and every timer, on a TCP connection of its own over loopback, with a list of its own.
Unlike a true relay

- it has no listener, no clients and no flows: what it does never waits behind deliveries; it sends no probes;
- it shares an event loop, an interpreter and a core with the other relays of its process: what all do at the
  same moment (whole lists after a fault) waits for its turn on this machine's cores, where each true relay
  has a core. Times after such faults are this machine's, not a fleet's;
- relays that wake in the same turn of the loop share the cost of that turn: the processor time of a hollow
  relay is less than a true one's (the tables beside true relays say by how much);
- it has no process start: a restart is instantaneous, and begins without a list;
- loopback has no loss, no distance and no limit of bandwidth;
- the code, the interpreter and a zone's settings are shared: its memory is that of engine, list and watch
  without what reading a whole list leaves free in a process. One hollow relay alone in a process took
  1,872 KB with 1,500 backends, 1,308 KB once the allocator had given free memory back.

What is from sharing a process and what is not: `experiments/hollow-alone.kdl` gives each hollow relay a
process. There hollow and true relays differed by at most 2.6% in bytes, processor time and memory (one run,
eight of each).

The stand-in discovery is one process in Python; it sends each watch a heartbeat every 2 s, whatever else it
sent. The same deciders on virtual time for days of faults are not part of this yet.
"""

PHASE_COLUMNS = (
    "relays",
    "changes",
    "in force p50, ms",
    "p99, ms",
    "last, s",
    "never",
    "up to date after the fault, s",
    "KB in 10 s, median relay",
    "most",
    "share of a core, hollow",
    "true",
    "servers",
    "whole lists",
    "load",
)


def phase_row(run: FleetRun, phase: PhaseFigures) -> list[str]:
    """Return the row of a run in the table of a phase."""
    fault = phase.fault != Fault.NONE
    timed = bool(phase.changes)
    return [
        str(run.relays),
        str(phase.changes),
        f"{phase.p50_ms:.1f}" if timed else "-",
        f"{phase.p99_ms:.0f}" if timed else "-",
        f"{phase.last_ms / 1000:.2f}" if timed else "-",
        str(phase.missing),
        ("never" if phase.recovered_s < 0 else f"{phase.recovered_s:.2f}") if fault else "-",
        f"{phase.window_p50_kb:.1f}",
        f"{phase.window_most_kb:.1f}",
        f"{phase.relay_cpu_share * 100:.2f}%",
        f"{phase.true_cpu_share * 100:.2f}%" if phase.true_cpu_share else "-",
        f"{phase.server_cpu_share * 100:.1f}%",
        str(phase.snapshots),
        f"{phase.load:.1f}",
    ]


RUN_COLUMNS = (
    "relays",
    "hosts",
    "start, s",
    "KB a hollow relay",
    "KB of a true relay's list",
    "hosts at the most, MB",
    "servers, MB",
    "watches that failed",
    "driver faults",
)


def run_row(run: FleetRun) -> list[str]:
    """Return the row of a run in the table of sizes."""
    true = ", ".join(f"{size:.0f}" for size in run.true_list_kb) or "-"
    return [
        str(run.relays),
        str(run.hosts),
        f"{run.start_s:.1f}",
        f"{run.relay_kb:.0f}",
        true,
        f"{run.host_rss_mb:.0f}",
        f"{run.server_rss_mb:.0f}",
        str(run.watch_failures),
        str(len(run.driver_faults)),
    ]


TRUE_RELAY_COLUMNS = ("relays", "phase", "figure", "hollow", "true", "hollow less true")


def true_relay_rows(run: FleetRun) -> list[list[str]]:
    """Return rows that compare skeleton relays with true relays, for the phases without a fault."""
    rows = []

    def add(phase: str, figure: str, hollow: float, true: float) -> None:
        difference = f"{(hollow / true - 1) * 100:+.1f}%" if true else "-"
        rows.append([str(run.relays), phase, figure, f"{hollow:.3g}", f"{true:.3g}", difference])

    if run.true_list_kb:
        add("start", "memory, KB", run.relay_kb, sum(run.true_list_kb) / len(run.true_list_kb))
    for phase in run.phases:
        if phase.fault == Fault.NONE and phase.true_cpu_share:
            add(phase.name, "bytes, KB", phase.kb_mean, phase.true_kb_mean)
            add(
                phase.name,
                "processor, ms a second",
                phase.relay_cpu_share * 1000,
                phase.true_cpu_share * 1000,
            )
    return rows


def _section(distribution: str, backends: int, runs: list[FleetRun]) -> str:
    parts = [f"## {distribution}, {backends:,} backends\n", markdown(RUN_COLUMNS, [run_row(r) for r in runs])]
    for name in dict.fromkeys(phase.name for run in runs for phase in run.phases):
        rows = [phase_row(run, phase) for run in runs for phase in run.phases if phase.name == name]
        parts.append(f"\n### {name}\n\n{markdown(PHASE_COLUMNS, rows)}")
    rows = [row for run in runs for row in true_relay_rows(run)]
    if rows:
        parts.append(f"\n### Hollow and true relays side by side\n\n{markdown(TRUE_RELAY_COLUMNS, rows)}\n")
    if distribution == "control":
        parts.append(control_page.machine_section(runs))
    return "\n".join(parts)


def page(
    experiment: FleetExperiment,
    runs: list[FleetRun],
    charts: list[str],
    direct_runs: list[FleetRun] | None = None,
) -> str:
    """Return the page of results in Markdown.

    `direct_runs` are stored runs of the direct distribution; the page compares `runs` with `direct_runs`.
    """
    groups = dict.fromkeys((run.distribution, run.backends) for run in runs)
    sections = [
        _section(d, b, [run for run in runs if (run.distribution, run.backends) == (d, b)]) for d, b in groups
    ]
    phases = "\n".join(f"- {_phase_text(phase)}" for phase in experiment.phases)
    head = (
        f"# {experiment.name}\n\nHollow relays in {experiment.hosts} processes at most, "
        f"{experiment.true_relays} true relays beside them, {experiment.zones} zones, the list asked for "
        f"within {experiment.ask_within_s:g} s. Each figure is of one run.\n\n{GOALS}\nPhases:\n\n{phases}\n"
    )
    images = "\n".join(f"![{name}]({name})" for name in charts)
    notes = [control_page.NOTES] if experiment.distribution == "control" else []
    if direct_runs and (comparison := control_page.comparison(runs, direct_runs)):
        notes.append(comparison)
    return "\n".join([head, LIMITATIONS, *notes, images, "", *sections, ""])


def _phase_text(phase: Phase) -> str:
    values = {key: value for key, value in asdict(phase).items() if value}
    name = values.pop("name")
    return f"{name}: " + ", ".join(
        f"{key} {value:g}" if key != "fault" else value for key, value in values.items()
    )
