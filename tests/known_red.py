"""Tests that are known to fail: KNOWN-RED.txt lists at most three, one a line.

A line is `test | command | seed | seen | issue`: the command that shows the failure, its seed or `-` where
the test draws nothing, and what was seen. A listed test runs like any other. Its failure does not fail the
run, but is printed with all of its line. The run does fail if a listed test passes, if the file has a fourth
line or a malformed one, or if a run of the complete suite does not find a listed test.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass
from pathlib import Path

import pytest

MAX_LINES = 3
FILE = "KNOWN-RED.txt"
LINE_FORMAT = "test | command | seed | seen | issue"


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """One line of KNOWN-RED.txt."""

    test: str  # pytest's node id, such as tests/test_x.py::test_y
    command: str
    seed: str
    seen: str
    issue: str

    def __str__(self) -> str:
        return f"{self.test} ({self.seen}; {self.command}; seed {self.seed}; issue {self.issue})"


def read(path: Path) -> list[KnownFailure]:
    """Return the lines of the file; none without a file. Raises `pytest.UsageError` for a malformed file."""
    if not path.exists():
        return []
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    if len(lines) > MAX_LINES:
        raise pytest.UsageError(f"{path.name}: {len(lines)} lines, {MAX_LINES} at most")
    known_failures = []
    for line in lines:
        match [part.strip() for part in line.split(" | ")]:
            case [test, command, seed, seen, issue] if "::" in test and command and seed and seen and issue:
                known_failures.append(KnownFailure(test, command, seed, seen, issue))
            case _:
                raise pytest.UsageError(f"{path.name}: not '{LINE_FORMAT}': {line}")
    return known_failures


class KnownFailuresPlugin:
    """Reports failures of listed tests as expected, and passes of listed tests as failures."""

    def __init__(self, listed: list[KnownFailure], covers_suite: bool) -> None:
        self.listed = {known.test: known for known in listed}
        self.covers_suite = covers_suite
        self.failed: list[KnownFailure] = []

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        missing = set(self.listed) - {item.nodeid for item in items}
        if missing and self.covers_suite:
            raise pytest.UsageError(f"{FILE}: no such test: {', '.join(sorted(missing))}")

    @pytest.hookimpl(wrapper=True)
    def pytest_runtest_makereport(
        self, item: pytest.Item, call: pytest.CallInfo[None]
    ) -> Generator[None, pytest.TestReport, pytest.TestReport]:
        report = yield
        known = self.listed.get(item.nodeid)
        if known is not None and report.when == "call":
            if report.failed:
                self.failed.append(known)
                report.outcome, report.wasxfail = "skipped", f"known: {known.seen}"
            elif report.passed:
                report.outcome = "failed"
                report.longrepr = f"listed in {FILE}, but it passes: remove its line"
        return report

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        for known in self.failed:
            terminalreporter.write_line(f"KNOWN RED: {known}")


def pytest_configure(config: pytest.Config) -> None:
    listed = read(config.rootpath / FILE)
    covers_suite = not config.args or config.args == config.getini("testpaths")
    if listed:
        config.pluginmanager.register(KnownFailuresPlugin(listed, covers_suite))
