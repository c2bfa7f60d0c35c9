"""How times are written for people."""

from __future__ import annotations


def format_ms(duration_us: float) -> str:
    """Return microseconds as milliseconds with their unit, as `250ms`."""
    return f"{duration_us / 1000:g}ms"
