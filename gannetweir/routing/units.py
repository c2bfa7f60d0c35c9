"""Durations as text for operators."""

from __future__ import annotations


def format_ms(duration_us: float) -> str:
    """Return a duration in milliseconds with its unit, such as `250ms`."""
    return f"{duration_us / 1000:g}ms"
