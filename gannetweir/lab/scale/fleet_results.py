"""Stores the results of skeleton fleets in a folder: figures as JSON, a page with tables, and SVG charts.

Runs are stored by distribution, relays and backends. A new run replaces the stored run of its size, except
for phases that the new run did not play, so that sizes and phases can be played one at a time.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import asdict, replace
from pathlib import Path

import orjson
import pygal

from gannetweir.lab.scale.fleet_experiment import FleetExperiment
from gannetweir.lab.scale.fleet_page import BUDGET_KB_S, BUDGET_SHARE, IN_FORCE_S, page
from gannetweir.lab.scale.fleet_run import FleetRun, PhaseFigures

# The folder with the results of the direct distribution, beside the folders of other distributions.
DIRECT_FOLDER = "hollow-fleet"


def load(folder: Path) -> list[FleetRun]:
    """Return the runs stored in a folder, or an empty list if there is no record.

    Raises `ValueError` if the record is not JSON, `KeyError` or `TypeError` if its keys are wrong.
    """
    path = folder / "results.json"
    if not path.exists():
        return []
    runs = []
    for saved_run in orjson.loads(path.read_bytes())["runs"]:
        phases = [PhaseFigures(**phase) for phase in saved_run.pop("phases")]
        runs.append(FleetRun(**saved_run, phases=phases))
    return runs


def merge(kept: list[FleetRun], new: list[FleetRun]) -> list[FleetRun]:
    """Return all runs, ordered by size. A new run replaces the phases that it has of the stored run."""
    by_size: dict[tuple[str, int, int], FleetRun] = {}
    for run in [*kept, *new]:
        size = run.distribution, run.backends, run.relays
        if size in by_size:
            played = {phase.name for phase in run.phases}
            older = [phase for phase in by_size[size].phases if phase.name not in played]
            run = replace(run, phases=[*older, *run.phases])
        by_size[size] = run
    return [by_size[size] for size in sorted(by_size)]


def _chart(title: str, unit: str, lines: dict[str, dict[str, float]], budget: float, path: Path) -> None:
    names = list(dict.fromkeys(name for line in lines.values() for name in line))
    chart = pygal.Bar(
        title=title,
        y_title=unit,
        style=pygal.style.CleanStyle(font_family="sans-serif"),
        width=900,
        height=420,
        js=[],
        x_label_rotation=20,
    )
    chart.x_labels = names
    for name, line in lines.items():
        chart.add(name, [line.get(label) for label in names])
    chart.add(f"wanted: {budget:g}", [budget] * len(names))
    drawn: str = chart.render(is_unicode=True, disable_xml_declaration=True)
    path.write_text(re.sub(r"<!--.*?-->", "", drawn, flags=re.S))


CHARTS: dict[str, tuple[str, str, float, Callable[[PhaseFigures], float]]] = {
    "last": ("Until a change is in force on the last relay", "s", IN_FORCE_S, lambda p: p.last_ms / 1000),
    "bytes": ("Most a relay received in 10 s", "KB", BUDGET_KB_S * 10, lambda p: p.window_most_kb),
    "cpu": (
        "Processor time of a hollow relay",
        "% of a core",
        BUDGET_SHARE * 100,
        lambda p: p.relay_cpu_share * 100,
    ),
}


def _draw(runs: list[FleetRun], folder: Path) -> list[str]:
    names = []
    for backends in dict.fromkeys(run.backends for run in runs):
        same_backends = [run for run in runs if run.backends == backends]
        for name, (title, unit, budget, value) in CHARTS.items():
            lines = {
                f"{run.relays} relays, {run.distribution}": {
                    phase.name: value(phase) for phase in run.phases if phase.changes or name != "last"
                }
                for run in same_backends
            }
            file = f"{name}-{backends}.svg"
            _chart(f"{title}, {backends:,} backends", unit, lines, budget, folder / file)
            names.append(file)
    return names


def keep(experiment: FleetExperiment, new: list[FleetRun], folder: Path) -> list[FleetRun]:
    """Write new runs, merged with the stored ones, to the folder; return all runs."""
    folder.mkdir(parents=True, exist_ok=True)
    runs = merge(load(folder), new)
    data = {"name": experiment.name, "runs": [asdict(run) for run in runs]}
    (folder / "results.json").write_bytes(orjson.dumps(data, option=orjson.OPT_INDENT_2))
    direct_runs = [] if experiment.distribution == "direct" else load(folder.parent / DIRECT_FOLDER)
    (folder / "README.md").write_text(page(experiment, runs, _draw(runs, folder), direct_runs))
    return runs
