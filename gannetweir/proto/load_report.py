"""Load reports: `BYE inflight=7,queue=2`, in the settings' order of names."""

from __future__ import annotations

import math

from gannetweir.proto.lines import LineError, fields_of

# What the sockets call a figure, and what the settings call it.
NAMES = {
    "qps": "tps",
    "eps": "err_ps",
    "inflight": "concurrent",
    "queue": "depth",
    "util": "load_share",
    "latency_ms": "mean_ms",
}

MOST = 1e9  # requests held, or times a capacity


def read_report(text: str, names: list[str]) -> tuple[float, ...]:
    """The figures named in the settings, or nothing where one is missing, is no number or is past all that a
    backend can hold: sums over all backends are kept, and one such figure would drown the others for good.
    """
    try:
        found = {NAMES.get(name, name): float(value) for name, value in fields_of(text).items()}
    except (LineError, ValueError):
        return ()
    report = tuple(found.get(NAMES.get(name, name), math.nan) for name in names)
    return report if all(abs(value) <= MOST for value in report) else ()  # no number is not either
