"""A standard error whose reader does not read must not block requests, signals or the exit."""

from __future__ import annotations

import fcntl
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import orjson

from tests.relay_harness import RelayHarness

SMALLEST_PIPE_BYTES = 4096
COUNTER_LINES = 150  # several times the capacity of the pipe


def test_a_relay_serves_and_exits_while_its_standard_error_is_not_read(tmp_path: Path) -> None:
    port = RelayHarness.free_port()
    config = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{RelayHarness.free_port()}",
        "known": {"seq": 1, "hosts": [{"host": "b1", "dial": "127.0.0.1:1", "health": "Ready"}]},
        "settings": {"categories": [{"name": "plain", "hard-limit-us": 200_000}]},
    }
    (tmp_path / "config.json").write_bytes(orjson.dumps(config))
    read, write = os.pipe()
    fcntl.fcntl(write, fcntl.F_SETPIPE_SZ, SMALLEST_PIPE_BYTES)
    env = {**os.environ, "RELAY_CONFIG": str(tmp_path / "config.json")}
    command = [sys.executable, "-m", "gannetweir", "serve", "--trace"]
    process = subprocess.Popen(command, env=env, stderr=write)
    os.close(write)
    try:
        assert answer_of(port, b"PING\r\n", 10.0) == b"PONG\r\n"
        for _ in range(COUNTER_LINES):
            process.send_signal(signal.SIGUSR1)
            time.sleep(0.002)  # pending signals of one kind are merged
        assert answer_of(port, b"PING\r\n", 2.0) == b"PONG\r\n"
        assert answer_of(port, b"OPEN 0a 0b c=plain,d=200\r\n", 2.0).startswith(b"BUSY")
        process.send_signal(signal.SIGTERM)
        assert process.wait(3.7) == 0
    finally:
        process.kill()
        process.wait()
        os.close(read)


def answer_of(port: int, line: bytes, within_s: float) -> bytes:
    """Return a relay's answer to a line; retry the connect until the relay listens."""
    deadline_s = time.monotonic() + within_s
    while True:
        try:
            with socket.create_connection(("127.0.0.1", port), 1.0) as sock:
                sock.settimeout(max(0.1, deadline_s - time.monotonic()))
                sock.sendall(line)
                return sock.recv(100)
        except ConnectionError:
            assert time.monotonic() < deadline_s
            time.sleep(0.02)
