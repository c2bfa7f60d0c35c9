"""The error that every reader of configuration raises."""

from __future__ import annotations


class ConfigError(ValueError):
    """What is wrong with the configuration, in one line."""
