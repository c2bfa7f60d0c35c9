"""Writes results to a folder (JSON, a Markdown table, SVG charts, an HTML page) and compares two folders."""

from __future__ import annotations

import html
import math
import re
import statistics
from dataclasses import asdict
from pathlib import Path
from typing import Any

import orjson
import pygal

from gannetweir.lab.experiments.experiment_run import Experiment, ExperimentRun
from gannetweir.lab.experiments.report import markdown


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def results_table(runs: list[ExperimentRun]) -> tuple[list[str], list[list[str]]]:
    """Return columns and rows with means over the seeds, and standard deviations if there are several."""
    names = list(runs[0].figures) if runs else []
    rows = []
    for variant in dict.fromkeys(run.variant for run in runs):
        variant_runs = [run for run in runs if run.variant == variant]
        cells = []
        for name in names:
            values = [run.figures[name] for run in variant_runs]
            spread = f" ±{statistics.stdev(values):.2f}" if len(values) > 1 else ""
            cells.append(f"{_mean(values):.2f}{spread}")
        rows.append([variant, *cells])
    return ["variant", *names], rows


def _chart(title: str, unit: str, lines: dict[str, list[float | None]], path: Path) -> str:
    style = pygal.style.CleanStyle(font_family="sans-serif")
    chart = pygal.Line(
        title=title,
        x_title="s",
        y_title=unit,
        style=style,
        show_dots=False,
        width=900,
        height=360,
        js=[],
        x_labels_major_every=5,
        show_minor_x_labels=False,
    )
    longest = max((len(values) for values in lines.values()), default=0)
    chart.x_labels = [str(n) for n in range(longest)]
    for name, values in lines.items():
        chart.add(name, values)
    rendered: str = chart.render(is_unicode=True, disable_xml_declaration=True)
    svg = re.sub(r"<!--.*?-->", "", rendered, flags=re.S)  # removes the comments that pygal adds
    path.write_text(svg)
    return svg


def write_results(experiment: Experiment, runs: list[ExperimentRun], folder: Path) -> None:
    """Write the results to a folder. Existing files of the same names are replaced."""
    folder.mkdir(parents=True, exist_ok=True)
    data = {"name": experiment.name, "runs": [asdict(run) for run in runs]}
    (folder / "results.json").write_bytes(orjson.dumps(data, option=orjson.OPT_INDENT_2))
    columns, rows = results_table(runs)
    families = ", ".join(experiment.plan.families)
    summary = (
        f"{experiment.plan.relays} relays, {experiment.plan.backends} nodes ({families}), "
        f"{experiment.arrivals_per_s:g} new connections a second for {experiment.seconds:g} s, "
        f"seeds {', '.join(map(str, experiment.seeds))}"
    )
    (folder / "README.md").write_text(f"# {experiment.name}\n\n{summary}.\n\n{markdown(columns, rows)}\n")
    served: dict[str, list[float | None]] = {}
    p99_ms: dict[str, list[float | None]] = {}
    svgs: list[str] = []
    for variant in dict.fromkeys(run.variant for run in runs):
        variant_runs = [run for run in runs if run.variant == variant]
        length = int(experiment.seconds)
        for field_index, lines in ((1, served), (2, p99_ms)):
            lines[variant] = [
                _mean(
                    [
                        point[field_index]
                        for run in variant_runs
                        for point in run.line
                        if int(point[0]) == second
                    ]
                )
                or None
                for second in range(length)
            ]
        if len(experiment.plan.families) > 1:
            by_path: dict[str, list[float | None]] = {
                family: [
                    _mean(
                        [
                            float(run.paths[family][s])
                            for run in variant_runs
                            if s < len(run.paths.get(family, ()))
                        ]
                    )
                    for s in range(length)
                ]
                for family in experiment.plan.families
            }
            name = f"paths-{len(svgs)}.svg"
            title = f"First lines a second by path: {variant}"
            svgs.append(_chart(title, "a second", by_path, folder / name))
    svgs.insert(0, _chart("Set-up time, 99 of 100", "ms", p99_ms, folder / "setup.svg"))
    svgs.insert(1, _chart("Served a second", "a second", served, folder / "served.svg"))
    head = "".join(f"<th>{html.escape(c)}</th>" for c in columns)
    body = "".join("<tr>" + "".join(f"<td>{html.escape(c)}</td>" for c in row) + "</tr>" for row in rows)
    broken = "".join(f"<li>{html.escape(line)}</li>" for run in runs for line in run.broken)
    page = (
        f"<!doctype html><meta charset=utf-8><title>{html.escape(experiment.name)}</title>"
        "<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}"
        "td,th{padding:.2em .8em;text-align:right}</style>"
        f"<h1>{html.escape(experiment.name)}</h1><p>{html.escape(summary)}</p>"
        f"<table><tr>{head}</tr>{body}</table>{''.join(svgs)}"
        f"<h2>Rules broken</h2><ul>{broken or '<li>none</li>'}</ul>"
    )
    (folder / "index.html").write_text(page)


def read_figures(folder: Path) -> dict[str, dict[str, list[float]]]:
    """Return the figures of a results folder: a value for each seed, by variant and figure name."""
    data: dict[str, Any] = orjson.loads((folder / "results.json").read_bytes())
    figures_by_variant: dict[str, dict[str, list[float]]] = {}
    for run in data["runs"]:
        for name, value in run["figures"].items():
            figures_by_variant.setdefault(run["variant"], {}).setdefault(name, []).append(float(value))
    return figures_by_variant


def compare(one: Path, other: Path) -> list[list[str]]:
    """Compare the figures that two results folders share. Two figures differ beyond noise if their means
    differ by more than twice the standard error of the difference (Welch). With a single seed in a folder,
    noise is unknown.
    """
    first, second = read_figures(one), read_figures(other)
    rows = []
    for variant in [v for v in first if v in second]:
        for name in [n for n in first[variant] if n in second[variant]]:
            first_values, other_values = first[variant][name], second[variant][name]
            verdict = "a single run: cannot tell"
            if len(first_values) > 1 and len(other_values) > 1:
                error = math.sqrt(
                    statistics.variance(first_values) / len(first_values)
                    + statistics.variance(other_values) / len(other_values)
                )
                difference = abs(_mean(first_values) - _mean(other_values))
                verdict = "differs" if difference > 2 * error and difference > 1e-9 else "within noise"
            rows.append([variant, name, f"{_mean(first_values):.2f}", f"{_mean(other_values):.2f}", verdict])
    return rows
