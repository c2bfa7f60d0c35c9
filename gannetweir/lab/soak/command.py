"""`gannetweir lab soak`: runs a soak per seed, prints the findings, and keeps the records of runs that broke
a rule.
"""

from __future__ import annotations

import shutil
import tempfile
from collections import Counter
from collections.abc import Iterable
from pathlib import Path

import anyio

from gannetweir.lab.experiments.report import print_table
from gannetweir.lab.soak.findings import Verdict
from gannetweir.lab.soak.plan import SoakPlan
from gannetweir.lab.soak.run import Soak

COLUMNS = (
    "seed",
    "requests",
    "UP",
    "BUSY",
    "ERR",
    "attempts",
    "faults",
    "loop delay, ms",
    "broken rules",
)
MAX_SHOWN_FINDINGS = 20  # findings per seed


def table_row(seed: int, verdict: Verdict) -> tuple[str, ...]:
    """Return the row of a seed in the table."""
    counts = verdict.counts
    broken = Counter(str(finding.rule) for finding in verdict.findings)
    names = "requests", "UP", "BUSY", "ERR", "attempts", "troubles", "latest stand-in, ms"
    rules = ", ".join(f"{rule} {count}" for rule, count in sorted(broken.items())) or "none"
    return (str(seed), *(str(counts[name]) for name in names), rules)


def soak(seeds: Iterable[int], seconds: float, relays: int, keep: str | None) -> int:
    """Run a soak for each seed and keep the records of the runs that broke a rule. Returns the exit code: 1
    if any run broke a rule, else 0.

    Raises `SoakError` if the library that makes system calls fail can't be built.
    """
    root = Path(keep) if keep else Path(tempfile.mkdtemp(prefix="soak-"))
    rows, broken = [], False
    for seed in seeds:
        folder = root / f"seed{seed}"
        shutil.rmtree(folder, ignore_errors=True)
        verdict = anyio.run(Soak(SoakPlan(seed=seed, seconds=seconds, relays=relays), folder).run)
        rows.append(table_row(seed, verdict))
        print("  ".join(rows[-1]), flush=True)
        for finding in verdict.findings[:MAX_SHOWN_FINDINGS]:
            print(f"  {finding.rule}: n{finding.relay}: {finding.detail}")
        broken = broken or bool(verdict.findings)
        if not verdict.findings:
            shutil.rmtree(folder)
    print_table(f"{seconds:g} s of faults per seed, {relays} relays", COLUMNS, rows)
    if broken:
        print(f"records of the runs that broke a rule: {root}")
    return int(broken)
