"""Plugins of the whole suite."""

pytest_plugins = ["tests.known_red"]
