"""The exceptions that the readers of configuration raise."""

from __future__ import annotations

from gannetweir.errors import GannetweirError


class ConfigError(GannetweirError, ValueError):
    """The configuration is invalid; the message says why in one line."""


class SettingError(ConfigError):
    """A setting is missing, of a wrong type or out of bounds.

    `setting` is the path of the setting in the JSON; `problem` says what is wrong.
    """

    def __init__(self, setting: str, problem: str) -> None:
        super().__init__(f"setting {setting}: {problem}")
        self.setting = setting
        self.problem = problem
