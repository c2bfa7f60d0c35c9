"""Experiments on the project's own world: python -m gannetweir.lab, or gannetweir lab

Usage:
  lab budgets [--seeds N] [--backends N] [--rate R] [--file FILE] [--keep DIR]
  lab run EXPERIMENT [--keep DIR]
  lab ways [--requests N] [--seeds N] [--keep DIR]
  lab herd [--seeds N] [--keep DIR]
  lab hollow EXPERIMENT [--relays N] [--size N] [--phases NAMES] [--keep DIR]
  lab capacity [--only GROUPS] [--page] [--keep DIR]
  lab soak [--seed N] [--seeds N] [--seconds N] [--fleet N] [--keep DIR]
  lab compare ONE OTHER
  lab (-h | --help)

run      Play an experiment (KDL) with real relays on loopback; tables, charts and a page are kept.
soak     Dozens of real processes under overlapping troubles drawn from a seed, judged by the rules.
compare  Say which figures of two kept folders differ beyond noise.
herd     Whole fleets of 3 to 230 relays on virtual time: killed, rolled, a zone lost or cut, replaced.
hollow   The control parts of up to 1,500 relays on loopback, beside true ones: changes, faults, their cost.
capacity Measure how each cost grows, and work out docs/CAPACITY.md from that.
ways     Every kind of broken address, alone and in pairs, on sockets and on virtual time.
budgets  A fleet whose backends fail 40 to 90% of their requests for 30 s, with and without retry budgets.

Options:
  --seeds N     Runs of each row, seeds on virtual time, or runs of a soak [default: 5].
  --seed N      The first seed of a soak [default: 1].
  --seconds N   Troubles of one run of a soak last so long [default: 20].
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

import anyio
from docopt import DocoptExit, docopt
from rich.progress import Progress, TaskID

from gannetweir.lab.experiments import address_faults as ways
from gannetweir.lab.experiments import fleet_simulation as herd
from gannetweir.lab.experiments.budgets import COLUMNS, STEP_S, compare_budgets
from gannetweir.lab.experiments.report import bar_chart, markdown, print_table
from gannetweir.lab.experiments.results import compare


def run_experiment(path: Path, folder: Path) -> int:
    """Run an experiment, with a bar; 1 if a rule was broken in it."""
    from gannetweir.lab.experiments.experiment_run import ExperimentRun, parse_experiment, run_variant
    from gannetweir.lab.experiments.results import results_table, write_results

    trial = parse_experiment(path.read_text(), path.parent)
    runs: list[ExperimentRun] = []
    todo = [(variant, seed) for variant in trial.variants for seed in trial.seeds]
    with Progress() as bar:
        for variant, seed in todo:
            task = bar.add_task(f"{variant}, seed {seed}", total=1.0)

            async def one(v: str = variant, s: int = seed, t: TaskID = task) -> ExperimentRun:
                return await run_variant(trial, v, s, lambda share: bar.update(t, completed=share))

            runs.append(anyio.run(one))
            bar.update(task, completed=1.0)
    write_results(trial, runs, folder)
    print_table(trial.name, *results_table(runs))
    print(f"kept in {folder}: results.json, README.md, index.html and charts")
    return int(any(run.broken for run in runs))


def run_skeleton_fleet(
    path: Path, relays_told: str | None, backends_told: str | None, phases: str | None, folder: Path
) -> int:
    """Play the sizes of an experiment, a bar for each; 1 if a change never came in force on some relay."""
    from gannetweir.lab.scale.fleet_experiment import parse_fleet, select
    from gannetweir.lab.scale.fleet_page import RUN_COLUMNS, run_row
    from gannetweir.lab.scale.fleet_results import keep
    from gannetweir.lab.scale.fleet_run import FleetRun, play_fleet

    signal.signal(signal.SIGTERM, signal.default_int_handler)  # the relays' processes end with this one
    whole = parse_fleet(path.read_text())
    experiment = select(whole, relays_told, backends_told, phases)
    new: list[FleetRun] = []
    with Progress() as bar:
        for backends in experiment.backends:
            for relays in experiment.relays:
                task = bar.add_task(
                    f"{relays} relays, {backends} backends", total=len(experiment.phases) + 1.0
                )
                told: dict[str, float] = {}

                def tell(phase: str, share: float, t: TaskID = task, told: dict[str, float] = told) -> None:
                    told[phase] = share
                    bar.update(t, completed=sum(told.values()))

                new.append(anyio.run(play_fleet, experiment, relays, backends, tell))
                keep(whole, new, folder)
    print_table(experiment.name, RUN_COLUMNS, [run_row(run) for run in new])
    print(f"kept in {folder}: results.json, README.md and charts")
    return int(any(phase.missing for run in new for phase in run.phases))


def run_address_faults(requests: int, seeds: int, keep_in: str | None) -> int:
    """Broken addresses on sockets and on virtual time; 1 if a rule was broken."""
    rows = []
    with Progress() as bar:
        task = bar.add_task("on sockets", total=len(list(ways.cases())))
        for row in ways.emulate_cases(requests):
            rows.append(row)
            bar.advance(task)
    print_table(f"{requests} requests each", ways.COLUMNS, rows)
    total = ways.simulate_days(seeds)
    days = ", ".join(f"{name} {count}" for name, count in total.items())
    print(f"on virtual time: {days}")
    if keep_in:
        text = (
            f"# Broken addresses\n\nOne relay, four nodes (a Unix socket, IPv6 and IPv4 each), {requests} "
            f"requests a row, ten at a time.\n\n{markdown(ways.COLUMNS, rows)}\n\n"
            f"On virtual time, three relays, six backends with three addresses, days of 15 s: {days}.\n"
        )
        (Path(keep_in) / "broken-addresses.md").write_text(text)
    return int(total["broken"] > 0 or any(row[-1] != "0" for row in rows))


def run_fleet_simulation(seeds: int, keep_in: str | None) -> int:
    """The days that hurt a whole fleet; 1 if a rule was broken."""
    rows = herd.fleet_table(seeds)
    print_table(f"{seeds} seeds", herd.COLUMNS, rows)
    if keep_in:
        text = herd.PAGE.format(seeds=seeds, table=markdown(herd.COLUMNS, rows), seconds=herd.DAY_S)
        (Path(keep_in) / "herd.md").write_text(text)
    return int(any(row[-1] != "0" for row in rows))


def main(argv: list[str] | None = None) -> int:
    """Run what the command line asks for. 0 if all went well, 1 if a rule was broken, 2 for a bad call."""
    try:
        args = docopt(__doc__ or "", argv=argv)
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return 2
    try:
        if args["run"]:
            path = Path(args["EXPERIMENT"])
            return run_experiment(path, Path(args["--keep"] or f"results/{path.stem}"))
        if args["ways"]:
            return run_address_faults(int(args["--requests"]), int(args["--seeds"]), args["--keep"])
        if args["herd"]:
            return run_fleet_simulation(int(args["--seeds"]), args["--keep"])
        if args["hollow"]:
            path = Path(args["EXPERIMENT"])
            folder = Path(args["--keep"] or f"results/{path.stem}")
            return run_skeleton_fleet(path, args["--relays"], args["--size"], args["--phases"], folder)
        if args["capacity"]:
            from gannetweir.lab.scale.run import capacity

            return capacity(args["--only"] or "", bool(args["--page"]), args["--keep"])
        if args["soak"]:
            from gannetweir.lab.soak.command import soak

            first = int(args["--seed"])
            played = range(first, first + int(args["--seeds"]))
            return soak(played, float(args["--seconds"]), int(args["--fleet"]), args["--keep"])
        if args["compare"]:
            rows = compare(Path(args["ONE"]), Path(args["OTHER"]))
            print_table("compared", ("variant", "figure", args["ONE"], args["OTHER"], ""), rows)
            return 0
    except (OSError, ValueError) as error:
        print(f"lab: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 130
    seeds, backends, rate = int(args["--seeds"]), int(args["--backends"]), float(args["--rate"])
    rows, lines = compare_budgets(Path(args["--file"]), seeds, backends, rate)
    title = f"{backends} backends, {rate:g} new connections a second, failing 40 to 90% from 40 to 70 s"
    print_table(title, COLUMNS, rows)
    drawn = bar_chart(lines, "connections served a second", STEP_S)
    print(drawn)
    if args["--keep"]:
        table = markdown(COLUMNS, rows)
        text = f"# Retry budgets\n\n{title}; {seeds} seeds.\n\n{table}\n\n```text\n{drawn}\n```\n"
        path = Path(args["--keep"]) / "retry-budgets.md"
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
