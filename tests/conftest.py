"""Plugins of the test suite."""

pytest_plugins = ["tests.known_red"]
