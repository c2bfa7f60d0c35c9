"""Load reports: `BYE inflight=7,queue=2`, in the settings' order of names."""

from __future__ import annotations

import math

from gannetweir.proto.lines import LineError, parse_fields

# What the sockets call a figure, and what the settings call it.
SETTINGS_NAMES = {
    "qps": "tps",
    "eps": "err_ps",
    "inflight": "concurrent",
    "queue": "depth",
    "util": "load_share",
    "latency_ms": "mean_ms",
}

MAX_FIGURE = 1e9  # requests held, or times a capacity


def parse_load_report(text: str, names: list[str]) -> tuple[float, ...]:
    """The figures named in the settings, or nothing where one is missing, is no number or is past all that a
    backend can hold: sums over all backends are kept, and one such figure would drown the others for good.
    """
    try:
        found = {SETTINGS_NAMES.get(name, name): float(value) for name, value in parse_fields(text).items()}
    except (LineError, ValueError):
        return ()
    report = tuple(found.get(SETTINGS_NAMES.get(name, name), math.nan) for name in names)
    return report if all(abs(value) <= MAX_FIGURE for value in report) else ()  # no number is not either
