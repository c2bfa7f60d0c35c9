"""Load reports: `BYE inflight=7,queue=2`, in the settings' order of names."""

from __future__ import annotations

import math

from gannetweir.proto.lines import LineError, parse_fields

# What a report calls a figure on the wire, and what the settings call it.
SETTINGS_NAMES = {
    "qps": "tps",
    "eps": "err_ps",
    "inflight": "concurrent",
    "queue": "depth",
    "util": "load_share",
    "latency_ms": "mean_ms",
}

# Requests in flight, or times a capacity: past all that an endpoint can have. Sums over all endpoints are
# kept up to date by differences, and one larger figure would drown the others for good.
MAX_FIGURE = 1e9


def parse_load_report(text: str, field_names: list[str]) -> tuple[float, ...]:
    """The figures named in the settings; empty where one is missing, is no number or is over `MAX_FIGURE`."""
    try:
        figures = {SETTINGS_NAMES.get(name, name): float(value) for name, value in parse_fields(text).items()}
    except (LineError, ValueError):
        return ()
    report = tuple(figures.get(SETTINGS_NAMES.get(name, name), math.nan) for name in field_names)
    is_valid = all(abs(figure) <= MAX_FIGURE for figure in report)  # False for a NaN, too
    return report if is_valid else ()
