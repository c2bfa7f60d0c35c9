"""The parts of a skeleton fleet's page on the control plane and its comparison with direct distribution."""

from __future__ import annotations

from gannetweir.lab.experiments.report import markdown
from gannetweir.lab.scale.fleet_run import FleetRun, PhaseFigures

NOTES = """\
## With the control plane

Each of the control machines is a process with the server that serves; faults of one machine befall the first.
The parent owns the store of record and hands each change to every machine over a link, where a true machine
would watch a replicated store: the machines have the same epoch, numbers and digests, each its own stand-in
of the store, and none competes for the store's lease. Settings are distributed as one version at a relay's
start, and do not change. Unlike today's way here

- the relays' settings say that lists are pushed: the module does not ask for one, the driver of the control
  plane brings it; the engine's own orders to watch only start that driver;
- a version is in force when all of it was applied, not with its first part;
- there is no true relay beside the hollow ones: `serve` has no setting for the control plane, so what a
  hollow relay leaves out is not checked in this distribution;
- bytes are those that a relay received, the answers to its ACKs included; what it sends is not counted;
- a machine that starts again asks the store for the changes since the version that a relay holds. In the runs
  that docs/hollow-fleet.md tells of it did not yet, and sent whole lists;
- a relay that has left its first choice goes back after 1 to 2 minutes: the phases after a machine's fault
  begin with its relays spread over the others;
- a relay restarted with its list serves at once with what it had; without, "up to date" waits for the list.
"""

MACHINE_COLUMNS = (
    "relays",
    "phase",
    "processor share",
    "most in a second",
    "MB",
    "KB sent a second",
    "most in a second, KB",
    "whole lists, all machines",
)


def machine_rows(run: FleetRun) -> list[list[str]]:
    """Return a row per phase on one control machine: means over all machines, and maxima of any machine."""
    return [
        [
            str(run.relays),
            phase.name,
            f"{phase.one_server_cpu * 100:.1f}%",
            f"{phase.one_server_cpu_most * 100:.0f}%",
            f"{phase.one_server_mb_most:.0f}",
            f"{phase.one_server_kb_s:.1f}",
            f"{phase.one_server_kb_most:.0f}",
            str(phase.snapshots),
        ]
        for phase in run.phases
    ]


def machine_section(runs: list[FleetRun]) -> str:
    """Return the section on control machines."""
    rows = [row for run in runs for row in machine_rows(run)]
    return f"\n### One control machine\n\n{markdown(MACHINE_COLUMNS, rows)}\n"


COMPARISON_COLUMNS = (
    "relays",
    "phase",
    "way",
    "in force p50, ms",
    "p99, ms",
    "last, s",
    "up to date after the fault, s",
    "most KB in 10 s",
    "processor share of a relay",
    "memory of a relay, KB",
    "load",
)


def _comparison_row(run: FleetRun, phase: PhaseFigures) -> list[str]:
    way = "control plane" if run.distribution == "control" else "today's way"
    timed = bool(phase.changes)
    recovered = "never" if phase.recovered_s < 0 else f"{phase.recovered_s:.2f}"
    return [
        str(run.relays),
        phase.name,
        way,
        f"{phase.p50_ms:.1f}" if timed else "-",
        f"{phase.p99_ms:.0f}" if timed else "-",
        f"{phase.last_ms / 1000:.2f}" if timed else "-",
        recovered if phase.fault != "none" else "-",
        f"{phase.window_most_kb:.1f}",
        f"{phase.relay_cpu_share * 100:.2f}%",
        f"{run.relay_kb:.0f}",
        f"{phase.load:.1f}",
    ]


def comparison(runs: list[FleetRun], direct_runs: list[FleetRun]) -> str:
    """Return the section that compares both distributions in the sizes and phases that both have.

    The section is empty if there are no such sizes and phases.
    """
    of_size = {(run.relays, run.backends): run for run in direct_runs}
    rows = []
    for run in runs:
        direct_run = of_size.get((run.relays, run.backends))
        direct_phases = {phase.name: phase for phase in direct_run.phases} if direct_run is not None else {}
        for phase in run.phases:
            if direct_run is not None and phase.name in direct_phases:
                rows += [_comparison_row(direct_run, direct_phases[phase.name]), _comparison_row(run, phase)]
    if not rows:
        return ""
    return (
        "## The control plane beside today's way\n\nThe same program on the same machine at different times: "
        f"a run each.\n\n{markdown(COMPARISON_COLUMNS, rows)}\n"
    )
