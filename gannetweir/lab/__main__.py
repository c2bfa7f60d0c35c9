"""Simulations and experiments on loopback: python -m gannetweir.lab, or gannetweir lab

Usage:
  lab budgets [--seeds N] [--backends N] [--rate R] [--file FILE] [--keep DIR]
  lab run EXPERIMENT [--keep DIR]
  lab address-faults [--requests N] [--seeds N] [--keep DIR]
  lab fleets [--seeds N] [--keep DIR]
  lab skeleton-fleet EXPERIMENT [--relays N] [--size N] [--phases NAMES] [--keep DIR]
  lab capacity [--only GROUPS] [--page] [--keep DIR]
  lab soak [--seed N] [--seeds N] [--seconds N] [--fleet N] [--keep DIR]
  lab compare ONE OTHER
  lab (-h | --help)

run             Run an experiment (KDL) with real relays on loopback, and write tables, charts and a page.
soak            Run dozens of real processes under random overlapping faults, and check the rules.
compare         Show which figures of two results folders differ beyond noise.
fleets          Simulate fleets of 3 to 230 relays with kills, restarts, and a zone lost or cut off.
skeleton-fleet  Run the control parts of up to 1,500 relays on loopback beside complete relays, with faults.
capacity        Measure how each cost grows, and generate docs/CAPACITY.md.
address-faults  Test each kind of address fault, alone and in pairs, on sockets and on virtual time.
budgets         Simulate backends that fail 40 to 90% of requests for 30 s, with and without retry budgets.

The deprecated names herd (fleets), ways (address-faults) and hollow (skeleton-fleet) print a notice.

Options:
  --seeds N     Number of seeds for each row, or runs of a soak [default: 5].
  --seed N      The first seed of a soak [default: 1].
  --seconds N   Duration of the faults in each run of a soak [default: 20].
  --fleet N     Number of relays in a soak [default: 8].
  --requests N  Requests for each case of address faults [default: 500].
  --backends N  Number of backends [default: 300].
  --rate R      New connections per second [default: 25].
  --file FILE   An operators' file to compare with the budgets [default: deploy/operators.kdl].
  --relays N    Run only this number of relays of the experiment; kept runs of other sizes stay.
  --size N      Run only this number of backends of the experiment.
  --phases NAMES  Run only these phases, separated by commas.
  --only GROUPS  Measure only these costs, separated by commas: lists, decisions, upkeep, connections, lines,
                starts, stalls, fanout, fleets.
  --page        Write the page again from the record, without measuring.
  --keep DIR    Write the results to this folder.
"""

from __future__ import annotations

import signal
import sys
from pathlib import Path
from typing import Any

import anyio
from docopt import DocoptExit, docopt
from rich.progress import Progress, TaskID

from gannetweir.lab.experiments import address_faults, fleet_simulation
from gannetweir.lab.experiments.budgets import CHART_STEP_S, COLUMNS, compare_budgets
from gannetweir.lab.experiments.report import bar_chart, markdown, print_table
from gannetweir.lab.experiments.results import compare

RENAMED_COMMANDS = {"herd": "fleets", "ways": "address-faults", "hollow": "skeleton-fleet"}


def run_experiment(path: Path, folder: Path) -> int:
    """Run an experiment with a progress bar. Returns 1 if a rule was violated, otherwise 0."""
    from gannetweir.lab.experiments.experiment_run import ExperimentRun, parse_experiment, run_variant
    from gannetweir.lab.experiments.results import results_table, write_results

    experiment = parse_experiment(path.read_text(), path.parent)
    runs: list[ExperimentRun] = []
    with Progress() as progress:

        def run_one(variant: str, seed: int, task: TaskID) -> ExperimentRun:
            async def run() -> ExperimentRun:
                return await run_variant(
                    experiment, variant, seed, lambda share: progress.update(task, completed=share)
                )

            return anyio.run(run)

        for variant in experiment.variants:
            for seed in experiment.seeds:
                task = progress.add_task(f"{variant}, seed {seed}", total=1.0)
                runs.append(run_one(variant, seed, task))
                progress.update(task, completed=1.0)
    write_results(experiment, runs, folder)
    print_table(experiment.name, *results_table(runs))
    print(f"written to {folder}: results.json, README.md, index.html and charts")
    return int(any(run.broken for run in runs))


def run_skeleton_fleet(
    path: Path, relays_option: str | None, backends_option: str | None, phases: str | None, folder: Path
) -> int:
    """Run all sizes of an experiment, each with a progress bar.

    Returns 1 if a change did not come into force on every relay, otherwise 0.
    """
    from gannetweir.lab.scale.fleet_experiment import parse_fleet, select
    from gannetweir.lab.scale.fleet_page import RUN_COLUMNS, run_row
    from gannetweir.lab.scale.fleet_results import keep
    from gannetweir.lab.scale.fleet_run import FleetRun, play_fleet

    # SIGTERM raises KeyboardInterrupt, so that the relay processes are ended on the way out.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    all_sizes = parse_fleet(path.read_text())
    experiment = select(all_sizes, relays_option, backends_option, phases)
    runs: list[FleetRun] = []
    with Progress() as progress:

        def run_size(relays: int, backends: int) -> FleetRun:
            phase_shares: dict[str, float] = {}
            total = len(experiment.phases) + 1.0
            task = progress.add_task(f"{relays} relays, {backends} backends", total=total)

            def show_progress(phase: str, share: float) -> None:
                phase_shares[phase] = share
                progress.update(task, completed=sum(phase_shares.values()))

            return anyio.run(play_fleet, experiment, relays, backends, show_progress)

        for backends in experiment.backends:
            for relays in experiment.relays:
                runs.append(run_size(relays, backends))
                keep(all_sizes, runs, folder)
    print_table(experiment.name, RUN_COLUMNS, [run_row(run) for run in runs])
    print(f"written to {folder}: results.json, README.md and charts")
    return int(any(phase.missing for run in runs for phase in run.phases))


def run_address_faults(requests: int, seeds: int, folder: str | None) -> int:
    """Test address faults on sockets and on virtual time. Returns 1 if a rule was violated, otherwise 0."""
    rows = []
    with Progress() as progress:
        task = progress.add_task("on sockets", total=len(list(address_faults.cases())))
        for row in address_faults.emulate_cases(requests):
            rows.append(row)
            progress.advance(task)
    print_table(f"{requests} requests each", address_faults.COLUMNS, rows)
    total = address_faults.simulate_scenarios(seeds)
    totals = ", ".join(f"{name} {count}" for name, count in total.items())
    print(f"on virtual time: {totals}")
    if folder:
        text = (
            f"# Address faults\n\nOne relay, four backends (Unix socket, IPv6 and IPv4 each), {requests} "
            f"requests a row, ten at a time.\n\n{markdown(address_faults.COLUMNS, rows)}\n\n"
            f"On virtual time, three relays, six backends with three addresses, runs of 15 s: {totals}.\n"
        )
        (Path(folder) / "broken-addresses.md").write_text(text)
    return int(total["broken"] > 0 or any(row[-1] != "0" for row in rows))


def run_fleet_simulation(seeds: int, folder: str | None) -> int:
    """Simulate the fault scenarios of whole fleets. Returns 1 if a rule was violated, otherwise 0."""
    rows = fleet_simulation.fleet_table(seeds)
    print_table(f"{seeds} seeds", fleet_simulation.COLUMNS, rows)
    if folder:
        table = markdown(fleet_simulation.COLUMNS, rows)
        text = fleet_simulation.PAGE.format(seeds=seeds, table=table, seconds=fleet_simulation.SCENARIO_S)
        (Path(folder) / "herd.md").write_text(text)  # stored results have this file name
    return int(any(row[-1] != "0" for row in rows))


def run_budgets(args: dict[str, Any]) -> int:
    """Simulate failing backends with and without retry budgets. Returns 0."""
    seeds, backends, rate = int(args["--seeds"]), int(args["--backends"]), float(args["--rate"])
    rows, lines = compare_budgets(Path(args["--file"]), seeds, backends, rate)
    title = f"{backends} backends, {rate:g} new connections a second, failing 40 to 90% from 40 to 70 s"
    print_table(title, COLUMNS, rows)
    chart = bar_chart(lines, "connections served a second", CHART_STEP_S)
    print(chart)
    if args["--keep"]:
        table = markdown(COLUMNS, rows)
        text = f"# Retry budgets\n\n{title}; {seeds} seeds.\n\n{table}\n\n```text\n{chart}\n```\n"
        path = Path(args["--keep"]) / "retry-budgets.md"
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
    return 0


def run_soak(args: dict[str, Any]) -> int:
    """Run a soak for each seed, from the first one. Returns the soak's exit code."""
    from gannetweir.lab.soak.command import soak

    first_seed = int(args["--seed"])
    seeds = range(first_seed, first_seed + int(args["--seeds"]))
    return soak(seeds, float(args["--seconds"]), int(args["--fleet"]), args["--keep"])


def show_comparison(one: str, other: str) -> int:
    """Print how the figures of two results folders differ. Returns 0."""
    rows = compare(Path(one), Path(other))
    print_table("compared", ("variant", "figure", one, other, ""), rows)
    return 0


def _run_on_file(args: dict[str, Any]) -> int:
    path = Path(args["EXPERIMENT"])
    folder = Path(args["--keep"] or f"results/{path.stem}")
    if args["run"]:
        return run_experiment(path, folder)
    return run_skeleton_fleet(path, args["--relays"], args["--size"], args["--phases"], folder)


def _run_command(args: dict[str, Any]) -> int:
    if args["budgets"]:
        return run_budgets(args)
    if args["EXPERIMENT"]:
        return _run_on_file(args)
    if args["address-faults"]:
        return run_address_faults(int(args["--requests"]), int(args["--seeds"]), args["--keep"])
    if args["fleets"]:
        return run_fleet_simulation(int(args["--seeds"]), args["--keep"])
    if args["capacity"]:
        from gannetweir.lab.scale.run import capacity

        return capacity(args["--only"] or "", bool(args["--page"]), args["--keep"])
    if args["soak"]:
        return run_soak(args)
    return show_comparison(args["ONE"], args["OTHER"])


def _with_present_command(argv: list[str]) -> list[str]:
    """Return the command line with a renamed command's current name, after a notice on standard error."""
    if not argv or argv[0] not in RENAMED_COMMANDS:
        return argv
    present = RENAMED_COMMANDS[argv[0]]
    print(f"lab: {argv[0]} is now called {present}", file=sys.stderr)
    return [present, *argv[1:]]


def main(argv: list[str] | None = None) -> int:
    """Run the command. Returns 0 on success, 1 if a rule was violated, 2 for a usage error or bad input."""
    given = sys.argv[1:] if argv is None else argv
    try:
        args = docopt(__doc__ or "", argv=_with_present_command(given))
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return 2
    try:
        return _run_command(args)
    except (OSError, ValueError) as error:
        print(f"lab: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 130


if __name__ == "__main__":
    raise SystemExit(main())
