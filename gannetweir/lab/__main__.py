"""Experiments on the project's own world: python -m gannetweir.lab, or gannetweir lab

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

run             Play an experiment (KDL) with real relays on loopback; tables, charts and a page are kept.
soak            Dozens of real processes under overlapping faults drawn from a seed, judged by the rules.
compare         Say which figures of two kept folders differ beyond noise.
fleets          Whole fleets of 3 to 230 relays on virtual time: killed, restarted, a zone lost or cut off.
skeleton-fleet  The control parts of up to 1,500 relays on loopback, beside whole ones: changes and faults.
capacity        Measure how each cost grows, and work out docs/CAPACITY.md from that.
address-faults  Every kind of broken address, alone and in pairs, on sockets and on virtual time.
budgets         A fleet whose backends fail 40 to 90% of requests for 30 s, with and without retry budgets.

The earlier names herd (fleets), ways (address-faults) and hollow (skeleton-fleet) still work, and say so.

Options:
  --seeds N     Runs of each row, seeds on virtual time, or runs of a soak [default: 5].
  --seed N      The first seed of a soak [default: 1].
  --seconds N   Faults of one run of a soak last so long [default: 20].
  --fleet N     Relays of a soak [default: 8].
  --requests N  For each kind of broken address [default: 500].
  --backends N  Size of the fleet [default: 300].
  --rate R      New connections a second [default: 25].
  --file FILE   The operators' file beside which it is measured [default: deploy/operators.kdl].
  --relays N    Only this size of the experiment's; runs of other sizes that were kept stay.
  --size N      Only this number of backends of the experiment's.
  --phases NAMES  Only these phases, with commas between.
  --only GROUPS Of the costs: lists, decisions, upkeep, connections, lines, starts, stalls, fanout, fleets.
  --page        Write the page again from the record; nothing is measured.
  --keep DIR    Write the table and the chart there, as Markdown.
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
    """Run an experiment, with a bar; 1 if a rule was violated in it."""
    from gannetweir.lab.experiments.experiment_run import ExperimentRun, parse_experiment, run_variant
    from gannetweir.lab.experiments.results import results_table, write_results

    experiment = parse_experiment(path.read_text(), path.parent)
    runs: list[ExperimentRun] = []
    with Progress() as bar:

        def run_one(variant: str, seed: int, task: TaskID) -> ExperimentRun:
            async def run() -> ExperimentRun:
                return await run_variant(
                    experiment, variant, seed, lambda share: bar.update(task, completed=share)
                )

            return anyio.run(run)

        for variant in experiment.variants:
            for seed in experiment.seeds:
                task = bar.add_task(f"{variant}, seed {seed}", total=1.0)
                runs.append(run_one(variant, seed, task))
                bar.update(task, completed=1.0)
    write_results(experiment, runs, folder)
    print_table(experiment.name, *results_table(runs))
    print(f"kept in {folder}: results.json, README.md, index.html and charts")
    return int(any(run.broken for run in runs))


def run_skeleton_fleet(
    path: Path, relays_option: str | None, backends_option: str | None, phases: str | None, folder: Path
) -> int:
    """Play the sizes of an experiment, a bar for each; 1 if a change never came in force on some relay."""
    from gannetweir.lab.scale.fleet_experiment import parse_fleet, select
    from gannetweir.lab.scale.fleet_page import RUN_COLUMNS, run_row
    from gannetweir.lab.scale.fleet_results import keep
    from gannetweir.lab.scale.fleet_run import FleetRun, play_fleet

    signal.signal(signal.SIGTERM, signal.default_int_handler)  # the relays' processes end with this one
    all_sizes = parse_fleet(path.read_text())
    experiment = select(all_sizes, relays_option, backends_option, phases)
    runs: list[FleetRun] = []
    with Progress() as bar:

        def play_size(relays: int, backends: int) -> FleetRun:
            phase_shares: dict[str, float] = {}
            total = len(experiment.phases) + 1.0
            task = bar.add_task(f"{relays} relays, {backends} backends", total=total)

            def show_progress(phase: str, share: float) -> None:
                phase_shares[phase] = share
                bar.update(task, completed=sum(phase_shares.values()))

            return anyio.run(play_fleet, experiment, relays, backends, show_progress)

        for backends in experiment.backends:
            for relays in experiment.relays:
                runs.append(play_size(relays, backends))
                keep(all_sizes, runs, folder)
    print_table(experiment.name, RUN_COLUMNS, [run_row(run) for run in runs])
    print(f"kept in {folder}: results.json, README.md and charts")
    return int(any(phase.missing for run in runs for phase in run.phases))


def run_address_faults(requests: int, seeds: int, folder: str | None) -> int:
    """Play broken addresses on sockets and on virtual time; 1 if a rule was violated."""
    rows = []
    with Progress() as bar:
        task = bar.add_task("on sockets", total=len(list(address_faults.cases())))
        for row in address_faults.emulate_cases(requests):
            rows.append(row)
            bar.advance(task)
    print_table(f"{requests} requests each", address_faults.COLUMNS, rows)
    total = address_faults.simulate_scenarios(seeds)
    days = ", ".join(f"{name} {count}" for name, count in total.items())
    print(f"on virtual time: {days}")
    if folder:
        text = (
            f"# Broken addresses\n\nOne relay, four nodes (a Unix socket, IPv6 and IPv4 each), {requests} "
            f"requests a row, ten at a time.\n\n{markdown(address_faults.COLUMNS, rows)}\n\n"
            f"On virtual time, three relays, six backends with three addresses, days of 15 s: {days}.\n"
        )
        (Path(folder) / "broken-addresses.md").write_text(text)
    return int(total["broken"] > 0 or any(row[-1] != "0" for row in rows))


def run_fleet_simulation(seeds: int, folder: str | None) -> int:
    """Simulate the days that hurt a whole fleet; 1 if a rule was violated."""
    rows = fleet_simulation.fleet_table(seeds)
    print_table(f"{seeds} seeds", fleet_simulation.COLUMNS, rows)
    if folder:
        table = markdown(fleet_simulation.COLUMNS, rows)
        text = fleet_simulation.PAGE.format(seeds=seeds, table=table, seconds=fleet_simulation.SCENARIO_S)
        (Path(folder) / "herd.md").write_text(text)  # by the name under which it was kept from the first
    return int(any(row[-1] != "0" for row in rows))


def run_budgets(args: dict[str, Any]) -> int:
    """Simulate failing backends with and without retry budgets."""
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
    """Soak so many runs, from a first seed on."""
    from gannetweir.lab.soak.command import soak

    first_seed = int(args["--seed"])
    seeds = range(first_seed, first_seed + int(args["--seeds"]))
    return soak(seeds, float(args["--seconds"]), int(args["--fleet"]), args["--keep"])


def show_comparison(one: str, other: str) -> int:
    """Print how the figures of two kept folders differ."""
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
    """The command line with a command's present name; a renamed one is reported on standard error."""
    if not argv or argv[0] not in RENAMED_COMMANDS:
        return argv
    present = RENAMED_COMMANDS[argv[0]]
    print(f"lab: {argv[0]} is now called {present}", file=sys.stderr)
    return [present, *argv[1:]]


def main(argv: list[str] | None = None) -> int:
    """Run what the command line asks for. 0 if all went well, 1 if a rule was violated, 2 for a bad call."""
    given = sys.argv[1:] if argv is None else argv
    try:
        args = docopt(__doc__ or "", argv=_with_present_command(given))
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return 2
    if args["budgets"]:
        return run_budgets(args)
    try:
        return _run_command(args)
    except (OSError, ValueError) as error:
        print(f"lab: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 130


if __name__ == "__main__":
    raise SystemExit(main())
