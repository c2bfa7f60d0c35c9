"""KNOWN-RED.txt tolerates failures of the tests that it lists, and of no more than three."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
TESTS = """
def test_red():
    assert 1 == 2

def test_green():
    assert True
"""
RED = "tests/test_a.py::test_red | pytest -q | 7 | a failure | 35"
GREEN = "tests/test_a.py::test_green | pytest -q | - | a failure | 35"
FORMAT = "not 'test | command | seed | seen | issue'"
CASES = {
    "unlisted failure": ("", 1, "1 failed, 1 passed"),
    "listed failure": (
        RED,
        0,
        "KNOWN RED: tests/test_a.py::test_red (a failure; pytest -q; seed 7; issue 35)",
    ),
    "listed test that passes": (f"{RED}\n{GREEN}", 1, "listed in KNOWN-RED.txt, but it passes"),
    "a fourth line": ("\n".join([RED] * 4), 4, "4 lines, 3 at most"),
    "a line with the test alone": ("tests/test_a.py::test_red", 4, FORMAT),
    "a line without command and seed": ("tests/test_a.py::test_red | a failure | 35", 4, FORMAT),
    "a line with an empty seed": ("tests/test_a.py::test_red | pytest -q |  | a failure | 35", 4, FORMAT),
    "a test that is not there": (RED.replace("test_red", "test_gone"), 4, "no such test"),
}


@pytest.mark.parametrize("case", CASES)
def test_the_list_of_known_failures(case: str, tmp_path: Path) -> None:
    text, code, printed = CASES[case]
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests/test_a.py").write_text(TESTS)
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    if text:
        (tmp_path / "KNOWN-RED.txt").write_text(text + "\n")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "tests.known_red"]
    env = {**os.environ, "PYTHONPATH": str(ROOT)}
    run = subprocess.run(command, cwd=tmp_path, env=env, capture_output=True, text=True)
    assert run.returncode == code, run.stdout + run.stderr
    assert printed in run.stdout + run.stderr
