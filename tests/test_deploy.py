"""The deploy files: what `build` takes for built, and that the traced one differs in its trace alone."""

import importlib.util
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

DEPLOY = Path(__file__).parent.parent / "deploy"
PINS = "anyio==4\n"
CHECKED_HASH = b"\x03\0\0\0"  # flags of a compiled file that names its source by hash
PYTHON = """#!/bin/sh
mkdir -p "$3/bin" && printf '#!/bin/sh\\nexit %s' "$PIP_ENDS" > "$3/bin/pip"
cp "$3/bin/pip" "$3/bin/python"
chmod +x "$3/bin/pip" "$3/bin/python"
echo made >> made
"""


def build(root: Path, pip_ends: int = 0) -> bool:
    """Run `build` in a folder with a stand-in for Python: did it end well?"""
    (root / "bin").mkdir(exist_ok=True)
    (root / "bin/python3").write_text(PYTHON)
    (root / "bin/python3").chmod(0o755)
    (root / "requirements.txt").write_text(PINS)
    told = tomllib.loads((DEPLOY / "balancer.toml").read_text())["build"]
    env = {"PATH": f"{root / 'bin'}:/usr/bin:/bin", "PIP_ENDS": str(pip_ends)}
    return subprocess.run(["/bin/sh", "-c", told], cwd=root, env=env, capture_output=True).returncode == 0


@pytest.mark.parametrize("spoilt", ["", "no pins", "older pins", "no python"])
def test_only_a_whole_environment_of_these_pins_passes_as_built(tmp_path: Path, spoilt: str) -> None:
    assert build(tmp_path)
    env = tmp_path / ".venv"
    if spoilt == "no pins":
        (env / "pins").unlink()
    elif spoilt == "older pins":
        (env / "pins").write_text("anyio==3\n")
    elif spoilt:
        (env / "bin/python").unlink()
    assert build(tmp_path)
    assert (env / "pins").read_text() == PINS
    assert (tmp_path / "made").read_text().count("made") == (2 if spoilt else 1)


def test_an_installation_that_fails_is_made_anew(tmp_path: Path) -> None:
    assert not build(tmp_path, pip_ends=1)
    assert build(tmp_path)
    assert (tmp_path / "made").read_text().count("made") == 2


def test_the_traced_deployment_differs_in_its_trace_alone() -> None:
    plain, traced = (tomllib.loads((DEPLOY / f"{n}.toml").read_text()) for n in ("balancer", "trace"))
    assert traced == plain | {"run": plain["run"] + " --trace"}


def test_the_program_is_compiled_for_a_tree_that_is_read_only_later(tmp_path: Path) -> None:
    """By the sources' hashes: a copy of the tree has other times, and would be compiled at each start."""
    shutil.copytree(DEPLOY.parent / "gannetweir", tmp_path / "gannetweir", ignore=lambda *_: ["__pycache__"])
    (tmp_path / ".venv/bin").mkdir(parents=True)
    (tmp_path / ".venv/bin/python").symlink_to(sys.executable)
    (tmp_path / ".venv/pins").write_text(PINS)
    assert build(tmp_path)
    sources = list((tmp_path / "gannetweir").rglob("*.py"))
    assert len(sources) > 50
    for source in sources:
        compiled = Path(importlib.util.cache_from_source(source)).read_bytes()
        assert compiled[4:8] == CHECKED_HASH
