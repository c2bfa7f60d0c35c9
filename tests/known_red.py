"""Tests that are known to fail: KNOWN-RED.txt lists at most three, one a line: test, cause, issue.

A listed test is run like any other. While it fails it does not fail the run, and is printed with its line. A
listed test that passes fails the run, and so do a fourth line, a line that is not of this form, and a listed
test that a run of the whole suite does not find.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

MOST = 3
FILE = "KNOWN-RED.txt"


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """One line of the file."""

    test: str  # as pytest names it: tests/test_x.py::test_y
    cause: str
    issue: str


def read(path: Path) -> list[KnownFailure]:
    """The lines of the file, none where there is no file. Raises `pytest.UsageError` for a bad one."""
    if not path.exists():
        return []
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    if len(lines) > MOST:
        raise pytest.UsageError(f"{path.name}: {len(lines)} lines, {MOST} at most")
    found = []
    for line in lines:
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise pytest.UsageError(f"{path.name}: not 'test | cause | issue': {line}")
        found.append(KnownFailure(*parts))
    return found


class KnownRed:
    """Turns the failures of listed tests into expected ones, and reports them."""

    def __init__(self, listed: list[KnownFailure], whole: bool) -> None:
        self.listed = {known.test: known for known in listed}
        self.whole = whole
        self.failed: list[KnownFailure] = []

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        missing = set(self.listed) - {item.nodeid for item in items}
        if missing and self.whole:
            raise pytest.UsageError(f"{FILE}: no such test: {', '.join(sorted(missing))}")

    @pytest.hookimpl(wrapper=True)
    def pytest_runtest_makereport(self, item: pytest.Item, call: pytest.CallInfo) -> Iterator[None]:
        report = yield
        known = self.listed.get(item.nodeid)
        if known is not None and report.when == "call":
            if report.failed:
                self.failed.append(known)
                report.outcome, report.wasxfail = "skipped", f"known: {known.cause}"
            elif report.passed:
                report.outcome = "failed"
                report.longrepr = f"listed in {FILE}, but it passes: take its line off"
        return report

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        for known in self.failed:
            terminalreporter.write_line(f"KNOWN RED: {known.test} ({known.cause}; issue {known.issue})")


def pytest_configure(config: pytest.Config) -> None:
    listed = read(config.rootpath / FILE)
    whole = not config.args or config.args == config.getini("testpaths")
    if listed:
        config.pluginmanager.register(KnownRed(listed, whole))
