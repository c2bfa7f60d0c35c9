"""The base class of the program's exceptions."""


class GannetweirError(Exception):
    """Base class of every error that this program raises for its callers to handle."""
