"""Formats results as tables and charts, for the console (with `rich`) and as Markdown."""

from __future__ import annotations

from collections.abc import Sequence

from rich.console import Console
from rich.table import Table

BAR_LEVELS = " ▁▂▃▄▅▆▇█"


def print_table(title: str, columns: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    """Print a table on the console. All columns but the first are right-aligned."""
    table = Table(title=title)
    for position, column in enumerate(columns):
        table.add_column(column, justify="right" if position else "left")
    for row in rows:
        table.add_row(*row)
    Console().print(table)


def markdown(columns: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a table as Markdown."""
    lines = ["| " + " | ".join(row) + " |" for row in (columns, *rows)]
    return "\n".join([lines[0], "| " + " | ".join(["---"] * len(columns)) + " |", *lines[1:]])


def bar_row(values: Sequence[float], maximum: float) -> str:
    """Return a row of bar characters, one for each value; a full bar stands for `maximum`."""
    top = len(BAR_LEVELS) - 1
    return "".join(BAR_LEVELS[max(0, min(top, round(value / maximum * top)))] for value in values)


def bar_chart(rows: Sequence[tuple[str, Sequence[float]]], unit: str, step_s: float) -> str:
    """Return rows of bars on a common scale, with a time axis below."""
    maximum = max((max(values, default=0.0) for _, values in rows), default=0.0) or 1.0
    width = max(len(name) for name, _ in rows)
    length = max(len(values) for _, values in rows)
    lines = [f"{name:<{width}} |{bar_row(values, maximum)}|" for name, values in rows]
    marks = "".join(f"{int(position * step_s):<10}" for position in range(0, length, 10))
    return "\n".join([f"a full bar is {maximum:.1f} {unit}", *lines, f"{'s':<{width}}  {marks}".rstrip()])
