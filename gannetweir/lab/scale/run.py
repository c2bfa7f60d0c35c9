"""The capacity run: measures groups of costs with a progress bar, and writes the record, the page and the
charts.
"""

from __future__ import annotations

import time
from collections.abc import Sequence
from pathlib import Path

from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

from gannetweir.lab.experiments.report import print_table
from gannetweir.lab.scale.page import write_page
from gannetweir.lab.scale.record import GROUPS, RECORD_FILE, Record, read_record
from gannetweir.lab.scale.tables import console_table

RECORD_FOLDER = Path("docs/measurements/capacity")
PAGE = Path("docs/CAPACITY.md")


def parse_groups(names: str) -> list[str]:
    """Return the groups named in a comma-separated list, or all groups for an empty list. Raises `ValueError`
    for an unknown name.
    """
    requested = [name.strip() for name in names.split(",") if name.strip()]
    unknown = [name for name in requested if name not in GROUPS]
    if unknown:
        raise ValueError(f"--only: {', '.join(unknown)}: not one of {', '.join(GROUPS)}")
    return requested or list(GROUPS)


def measure(groups: Sequence[str], record: Record) -> None:
    """Measure these groups and replace their costs in the record."""
    columns = TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeElapsedColumn()
    with Progress(*columns) as progress:
        for name in groups:
            task = progress.add_task(name, total=GROUPS[name].steps)
            started_s = time.monotonic()
            costs = GROUPS[name].measure(lambda task=task: progress.advance(task))  # type: ignore[misc]
            record.add(name, costs, time.monotonic() - started_s)


def capacity(only: str = "", page_only: bool = False, keep: str | None = None) -> int:
    """Measure the groups named in `only`, and write the record, the charts and the page; with `page_only`,
    write the charts and the page from the existing record. `keep` is the folder of the record, the charts and
    the page; without it they are in the committed places. The page is written only when every group has been
    measured. Returns the exit code 0. Raises `OSError` with `page_only` and no record, `ValueError` for an
    unknown group or a malformed record.
    """
    folder = Path(keep) if keep else RECORD_FOLDER
    page = folder / PAGE.name if keep else PAGE
    groups = parse_groups(only)
    record = read_record(folder) if page_only or (folder / RECORD_FILE).exists() else Record()
    if not page_only:
        measure(groups, record)
        record.save(folder)
    print_table("costs", *console_table(record))
    missing = [name for name in GROUPS if name not in record.groups]
    if missing:
        print(f"page not written, groups not measured: {', '.join(missing)}")
        return 0
    write_page(record, folder, page)
    print(f"written: {page}, {folder / RECORD_FILE} and its charts")
    return 0
