"""Measured processes on loopback: a real relay, a backend and a copying proxy, with their processor time and
memory.
"""

from __future__ import annotations

import os
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import orjson

from gannetweir.lab.emulator.plan import platform_settings

START_TIMEOUT_S = 20.0
SOCKET_LIMIT = 18_000


def free_port() -> int:
    """Return a TCP port that is free at the moment."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        return int(probe.getsockname()[1])


class MeasuredProcess:
    """A child process that listens on a port, with its processor time and memory from /proc."""

    def __init__(self, command: Sequence[str], env: dict[str, str], port: int) -> None:
        self.port = port
        env = {"PATH": os.environ.get("PATH", ""), "PYTHONPATH": os.pathsep.join(sys.path), **env}
        self.process = subprocess.Popen(
            [sys.executable, *command], env=env, stdin=subprocess.DEVNULL, stderr=subprocess.DEVNULL
        )

    def processor_us(self) -> float:
        """Return the processor time of the main thread so far, in microseconds."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1000.0

    def memory_kb(self, field: str = "VmRSS") -> float:
        """Return the resident memory now, or its peak (`VmHWM`), in kilobytes."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return float(status.split(f"{field}:")[1].split()[0])

    def wait_until_answered(self, request: bytes, expected: bytes) -> None:
        """Wait until the process answers a request as expected. Raises `OSError` if it ends or does not
        answer within `START_TIMEOUT_S`.
        """
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end and self.process.poll() is None:
            try:
                with socket.create_connection(("127.0.0.1", self.port), timeout=2) as sock:
                    sock.sendall(request)
                    if sock.recv(200).startswith(expected):
                        return
            except OSError:
                time.sleep(0.002)
        raise OSError(
            f"port {self.port}: no answer {expected!r} in {START_TIMEOUT_S:.0f} s, or the process has ended"
        )

    def end(self) -> None:
        """Kill the process and wait until it has ended."""
        self.process.kill()
        self.process.wait()


@contextmanager
def backend() -> Iterator[int]:
    """Run a backend process; yield its port once the backend answers."""
    port = free_port()
    process = MeasuredProcess(["-m", "gannetweir.lab.scale.comparison_peers", "backend", str(port)], {}, port)
    try:
        process.wait_until_answered(b"STATS\r\n", b"PONG")
        yield port
    finally:
        process.end()


@contextmanager
def proxy(backend_port: int) -> Iterator[MeasuredProcess]:
    """Run a copying proxy in front of a backend; yield the process once the proxy answers."""
    port = free_port()
    command = ["-m", "gannetweir.lab.scale.comparison_peers", "proxy", str(port), str(backend_port)]
    process = MeasuredProcess(command, {}, port)
    try:
        process.wait_until_answered(b"STATS\r\n", b"PONG")
        yield process
    finally:
        process.end()


@contextmanager
def relay(hosts: list[dict[str, Any]], discovery: int = 1, pushed: bool = False) -> Iterator[MeasuredProcess]:
    """Run a real relay whose initial endpoint list has these backends; yield the process once it answers a
    ping. `discovery` is the port of discovery. `pushed` selects the registry mode "pushed" instead of
    "on_request".
    """
    with tempfile.TemporaryDirectory() as name:
        port, path = free_port(), Path(name) / "config.json"
        settings = platform_settings(1) | {"registry-mode": "pushed" if pushed else "on_request"}
        data = {
            "name": "n1",
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{discovery}",
            "seed": "1",
            "limits": {"sockets": SOCKET_LIMIT, "memory_mb": 2048},
            "known": {"seq": 1, "whole": True, "hosts": hosts},
            "settings": settings,
        }
        path.write_bytes(orjson.dumps(data))
        process = MeasuredProcess(["-m", "gannetweir", "serve"], {"RELAY_CONFIG": str(path)}, port)
        try:
            process.wait_until_answered(b"PING\r\n", b"PONG")
            yield process
        finally:
            process.end()


def hosts_at(port: int, count: int) -> list[dict[str, Any]]:
    """Return entries of `count` backends that all have the address of the process at this port."""
    common = {"dial": f"127.0.0.1:{port}", "site": "a", "class": "m", "health": "Ready", "share": 1.0}
    return [{"host": f"b{n}", "born_ms": 0, **common} for n in range(count)]
