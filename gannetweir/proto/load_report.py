"""Load reports such as `BYE inflight=7,queue=2`, parsed into the order of names in the settings."""

from __future__ import annotations

import math

from gannetweir.proto.lines import LineError, parse_fields

# Names of figures in the settings, by their names in a report.
SETTINGS_NAMES = {
    "qps": "tps",
    "eps": "err_ps",
    "inflight": "concurrent",
    "queue": "depth",
    "util": "load_share",
    "latency_ms": "mean_ms",
}

# A figure is a number of requests or a multiple of a capacity, and no endpoint reaches this. Sums over all
# endpoints are updated by differences, so one larger figure would permanently cost them their precision.
MAX_FIGURE = 1e9


def parse_load_report(text: str, field_names: list[str]) -> tuple[float, ...]:
    """Return the figures named in the settings.

    The result is empty if one of them is missing, is not a number or is over `MAX_FIGURE`.
    """
    try:
        figures = {SETTINGS_NAMES.get(name, name): float(value) for name, value in parse_fields(text).items()}
    except (LineError, ValueError):
        return ()
    report = tuple(figures.get(SETTINGS_NAMES.get(name, name), math.nan) for name in field_names)
    is_valid = all(abs(figure) <= MAX_FIGURE for figure in report)  # False for NaN, too
    return report if is_valid else ()
