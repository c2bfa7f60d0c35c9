"""The deploy files: when `build` installs, what it compiles, and how the traced deployment differs."""

import importlib.util
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

DEPLOY = Path(__file__).parent.parent / "deploy"
PINS = "anyio==4\n"
CHECKED_HASH = b"\x03\0\0\0"  # flags of a compiled file that is validated by the hash of its source
PYTHON = """#!/bin/sh
mkdir -p "$3/bin" && printf '#!/bin/sh\\nexit %s' "$PIP_EXIT_CODE" > "$3/bin/pip"
cp "$3/bin/pip" "$3/bin/python"
chmod +x "$3/bin/pip" "$3/bin/python"
echo installed >> installed
"""


def run_build(root: Path, pip_exit_code: int = 0) -> bool:
    """Run the `build` command in a folder with a stand-in for Python; return whether it succeeded."""
    (root / "bin").mkdir(exist_ok=True)
    (root / "bin/python3").write_text(PYTHON)
    (root / "bin/python3").chmod(0o755)
    (root / "requirements.txt").write_text(PINS)
    command = tomllib.loads((DEPLOY / "balancer.toml").read_text())["build"]
    env = {"PATH": f"{root / 'bin'}:/usr/bin:/bin", "PIP_EXIT_CODE": str(pip_exit_code)}
    return subprocess.run(["/bin/sh", "-c", command], cwd=root, env=env, capture_output=True).returncode == 0


@pytest.mark.parametrize("fault", ["", "no pins", "older pins", "no python"])
def test_only_a_complete_environment_of_these_pins_is_not_installed_again(tmp_path: Path, fault: str) -> None:
    assert run_build(tmp_path)
    env = tmp_path / ".venv"
    if fault == "no pins":
        (env / "pins").unlink()
    elif fault == "older pins":
        (env / "pins").write_text("anyio==3\n")
    elif fault:
        (env / "bin/python").unlink()
    assert run_build(tmp_path)
    assert (env / "pins").read_text() == PINS
    assert (tmp_path / "installed").read_text().count("installed") == (2 if fault else 1)


def test_an_installation_that_failed_is_repeated(tmp_path: Path) -> None:
    assert not run_build(tmp_path, pip_exit_code=1)
    assert run_build(tmp_path)
    assert (tmp_path / "installed").read_text().count("installed") == 2


def test_the_traced_deployment_differs_only_in_its_trace() -> None:
    plain, traced = (tomllib.loads((DEPLOY / f"{n}.toml").read_text()) for n in ("balancer", "trace"))
    assert traced == plain | {"run": plain["run"] + " --trace"}


def test_the_program_is_compiled_with_hashes_of_its_sources(tmp_path: Path) -> None:
    """A copied tree has other modification times than its compiled files record.

    Without hashes, a copy that is read-only would be compiled again at each start.
    """
    shutil.copytree(DEPLOY.parent / "gannetweir", tmp_path / "gannetweir", ignore=lambda *_: ["__pycache__"])
    (tmp_path / ".venv/bin").mkdir(parents=True)
    (tmp_path / ".venv/bin/python").symlink_to(sys.executable)
    (tmp_path / ".venv/pins").write_text(PINS)
    assert run_build(tmp_path)
    sources = list((tmp_path / "gannetweir").rglob("*.py"))
    assert len(sources) > 50
    for source in sources:
        compiled = Path(importlib.util.cache_from_source(source)).read_bytes()
        assert compiled[4:8] == CHECKED_HASH
