"""The errors that every reader of configuration raises."""

from __future__ import annotations

from gannetweir.errors import GannetweirError


class ConfigError(GannetweirError, ValueError):
    """What is wrong with the configuration, in one line."""


class SettingError(ConfigError):
    """One setting that is missing, of a wrong type or out of bounds.

    `setting` is its path in the JSON, `problem` what is wrong with it.
    """

    def __init__(self, setting: str, problem: str) -> None:
        super().__init__(f"setting {setting}: {problem}")
        self.setting = setting
        self.problem = problem
