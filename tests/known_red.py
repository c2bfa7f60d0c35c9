"""Tests that are known to fail: KNOWN-RED.txt lists at most three, one a line: test | cause | issue.

A listed test runs like any other. Its failure does not fail the run, but is printed with cause and issue. The
run does fail if a listed test passes, if the file has a fourth line or a malformed one, or if a run of the
complete suite does not find a listed test.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass
from pathlib import Path

import pytest

MAX_LINES = 3
FILE = "KNOWN-RED.txt"


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """One line of KNOWN-RED.txt."""

    test: str  # pytest's node id, such as tests/test_x.py::test_y
    cause: str
    issue: str


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
            case [test, cause, issue] if "::" in test and cause and issue:
                known_failures.append(KnownFailure(test, cause, issue))
            case _:
                raise pytest.UsageError(f"{path.name}: not 'test | cause | issue': {line}")
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
                report.outcome, report.wasxfail = "skipped", f"known: {known.cause}"
            elif report.passed:
                report.outcome = "failed"
                report.longrepr = f"listed in {FILE}, but it passes: remove its line"
        return report

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        for known in self.failed:
            terminalreporter.write_line(f"KNOWN RED: {known.test} ({known.cause}; issue {known.issue})")


def pytest_configure(config: pytest.Config) -> None:
    listed = read(config.rootpath / FILE)
    covers_suite = not config.args or config.args == config.getini("testpaths")
    if listed:
        config.pluginmanager.register(KnownFailuresPlugin(listed, covers_suite))
