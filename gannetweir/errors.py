"""The root of the program's exceptions."""


class GannetweirError(Exception):
    """Every error that this program raises for its callers to handle derives from this one."""
