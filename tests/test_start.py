"""Tests of the relay process: signals before their handlers are set, and a log whose reader has gone."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import pytest

from tests.relay_harness import RelayHarness

ROOT = Path(__file__).parent.parent
# Sends a signal to the process when a module is imported, so that it arrives at that point of the start.
SIGNAL_AT_IMPORT = """
import importlib.abc, os, runpy, sys
class SignalOnImport(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name == {module!r}:
            os.kill(os.getpid(), {number})
sys.meta_path.insert(0, SignalOnImport())
sys.argv = ["gannetweir", "serve"]
runpy.run_module("gannetweir", run_name="__main__")
"""


def start_relay(tmp_path: Path, code: str, stderr: int = subprocess.PIPE) -> subprocess.Popen[str]:
    listen, discovery = (f"127.0.0.1:{RelayHarness.free_port()}" for _ in range(2))
    config = {
        "name": "n0",
        "listen": listen,
        "discovery": discovery,
        "settings": {"categories": [{"name": "plain", "hard-limit-us": 100_000}]},
    }
    (tmp_path / "config.json").write_text(json.dumps(config))
    env = {**os.environ, "RELAY_CONFIG": str(tmp_path / "config.json")}
    return subprocess.Popen([sys.executable, "-c", code], cwd=ROOT, env=env, stderr=stderr, text=True)


@pytest.mark.parametrize("module", ["gannetweir.cli", "gannetweir.net.relay"])
@pytest.mark.parametrize(
    ("number", "expected_output"),
    [
        (signal.SIGHUP, "reload: done"),
        (signal.SIGUSR1, '"membership_version"'),
        (signal.SIGTERM, ""),  # the relay drains and exits
    ],
)
def test_a_signal_before_its_handler_is_handled(
    tmp_path: Path, module: str, number: int, expected_output: str
) -> None:
    relay = start_relay(tmp_path, SIGNAL_AT_IMPORT.format(module=module, number=int(number)))
    assert relay.stderr is not None
    if expected_output:
        for line in relay.stderr:
            if expected_output in line:
                break
        relay.send_signal(signal.SIGTERM)
    output = relay.communicate(timeout=20)[1]
    assert relay.returncode == 0
    assert '"membership_version"' in output


def test_a_log_that_nobody_reads_ends_no_relay(tmp_path: Path) -> None:
    reader, writer = os.pipe()
    os.close(reader)
    code = 'import runpy, sys; sys.argv = ["g", "serve"]; runpy.run_module("gannetweir", run_name="__main__")'
    relay = start_relay(tmp_path, code, writer)
    os.close(writer)
    listen_address = json.loads((tmp_path / "config.json").read_text())["listen"].split(":")
    for number in (0, signal.SIGHUP, signal.SIGUSR1):  # both signals make the relay write to the log
        relay.send_signal(number)
        for _ in range(400):
            with contextlib.suppress(ConnectionRefusedError):
                client = socket.create_connection((listen_address[0], int(listen_address[1])))
                client.sendall(b"PING\r\n")
                assert client.recv(100) == b"ERR\r\n"  # the relay has no backend
                client.close()
                break
            time.sleep(0.05)
        assert relay.poll() is None
    relay.send_signal(signal.SIGTERM)
    # Exit code 120: the interpreter's final flush of standard error failed.
    assert relay.wait(timeout=20) in (0, 120)


@pytest.mark.parametrize("name", ["balancer", "trace"])
def test_the_run_command_is_one_process_that_ignores_early_signals(tmp_path: Path, name: str) -> None:
    python = tmp_path / ".venv/bin/python"
    python.parent.mkdir(parents=True)
    python.write_text("#!/bin/sh\necho $$\nexec grep SigIgn /proc/self/status\n")
    python.chmod(0o755)
    command = tomllib.loads((ROOT / f"deploy/{name}.toml").read_text())["run"]
    run = subprocess.Popen(["/bin/sh", "-c", command], cwd=tmp_path, stdout=subprocess.PIPE, text=True)
    number, ignored = run.communicate(timeout=10)[0].splitlines()
    assert int(number) == run.pid  # the shell has replaced itself with the relay
    mask = int(ignored.split()[1], 16)
    assert mask >> (signal.SIGHUP - 1) & 1
    assert mask >> (signal.SIGUSR1 - 1) & 1
    assert not mask >> (signal.SIGTERM - 1) & 1
