"""The charts of a capacity record. Equal records give byte-identical charts."""

from __future__ import annotations

import math
import re

import pygal

from gannetweir.lab.scale.model import CapacityLoad
from gannetweir.lab.scale.record import Record
from gannetweir.lab.scale.role_table import role_rows
from gannetweir.lab.scale.target import Assumptions

LISTS = "list.read", "list.apply", "list.repeat", "list.module"
DECISIONS = "decision", "decision.new_group", "news.backends", "upkeep.backends"
LINES = "line.push.relay", "line.push.proxy", "line.both.relay", "line.both.proxy"
CONNECTIONS = "connection.memory.relay", "connection.memory.proxy"


def _render_svg(chart: pygal.graph.graph.Graph, name: str) -> str:
    chart.uuid = name  # the default is random
    drawn: str = chart.render(is_unicode=True, disable_xml_declaration=True)
    return re.sub(r"<!--.*?-->", "", drawn, flags=re.S)  # drops the library's comments


def _chart_options(**overrides: object) -> dict[str, object]:
    style = pygal.style.CleanStyle(font_family="sans-serif")
    return {"style": style, "width": 900, "height": 420, "js": [], **overrides}


def _slopes(record: Record, name: str, title: str, keys: tuple[str, ...], log: bool) -> str:
    """Draw measured medians as dots, with the checks as the rightmost dots, and accepted fits as lines."""
    first = record[keys[0]]
    chart = pygal.XY(
        title=title,
        x_title=first.size_unit + (", powers of ten" if log else ""),
        y_title=first.unit + (", powers of ten" if log else ""),
        **_chart_options(),
    )

    def scale(value: float) -> float:
        return round(math.log10(max(value, 1e-9)), 4) if log else round(value, 3)

    for key in keys:
        cost = record[key]
        points = [(scale(s.size), scale(s.median)) for s in (*cost.samples, cost.check)]
        chart.add(cost.key, points, stroke=False, dots_size=4)
        if not cost.refusal:
            sizes = [sample.size for sample in (*cost.samples, cost.check)]
            fitted = [(scale(size), scale(cost.line.at(size))) for size in sizes if cost.line.at(size) > 0]
            chart.add(f"{cost.key}, fit", fitted, show_dots=False)
    return _render_svg(chart, name)


def _ratios(record: Record) -> str:
    budgeted_rows = [row for row in role_rows(CapacityLoad(record, Assumptions())) if row.ratio is not None]
    budgeted_rows.sort(key=lambda row: row.ratio or 0.0)
    chart = pygal.HorizontalBar(
        title="Load over budget at the target, powers of ten (over 0: over budget)",
        show_legend=False,
        **_chart_options(height=760),
    )
    chart.x_labels = [f"{row.role}: {row.label}" for row in budgeted_rows]
    chart.add("", [round(math.log10(max(row.ratio or 0.0, 1e-6)), 3) for row in budgeted_rows])
    return _render_svg(chart, "ratios")


def draw(record: Record) -> dict[str, str]:
    """Return every chart as SVG text by its file name."""
    return {
        "lists.svg": _slopes(record, "lists", "A whole list, processor time", LISTS, True),
        "decisions.svg": _slopes(record, "decisions", "Decisions and upkeep by backends", DECISIONS, True),
        "lines.svg": _slopes(record, "lines", "Plain lines, processor time a second", LINES, False),
        "connections.svg": _slopes(record, "connections", "Resident memory", CONNECTIONS, False),
        "ratios.svg": _ratios(record),
    }
