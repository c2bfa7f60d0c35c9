"""Measured processes on loopback: a real relay, a backend, a copying proxy; their processor time and
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

START_TIMEOUT_S = 20.0  # a process that does not answer by then has failed
SOCKET_LIMIT = 18_000


def free_port() -> int:
    """A port that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        return int(probe.getsockname()[1])


class MeasuredProcess:
    """One process, and what the kernel counts of it."""

    def __init__(self, command: Sequence[str], env: dict[str, str], port: int) -> None:
        self.port = port
        env = {"PATH": os.environ.get("PATH", ""), "PYTHONPATH": os.pathsep.join(sys.path), **env}
        self.process = subprocess.Popen(
            [sys.executable, *command], env=env, stdin=subprocess.DEVNULL, stderr=subprocess.DEVNULL
        )

    def processor_us(self) -> float:
        """Processor time so far, in microseconds."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1000.0

    def memory_kb(self, field: str = "VmRSS") -> float:
        """Resident memory now, or the most so far (`VmHWM`), in kilobytes."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return float(status.split(f"{field}:")[1].split()[0])

    def wait_until_answered(self, request: bytes, expected: bytes) -> None:
        """Until the process answers a question as expected; `OSError` if it does not."""
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end and self.process.poll() is None:
            try:
                with socket.create_connection(("127.0.0.1", self.port), timeout=2) as sock:
                    sock.sendall(request)
                    if sock.recv(200).startswith(expected):
                        return
            except OSError:
                time.sleep(0.002)
        raise OSError(f"no answer {expected!r} at port {self.port}")

    def end(self) -> None:
        """Kill it, and wait for its end."""
        self.process.kill()
        self.process.wait()


@contextmanager
def backend() -> Iterator[int]:
    """A backend process; its port."""
    port = free_port()
    process = MeasuredProcess(["-m", "gannetweir.lab.scale.comparison_peers", "backend", str(port)], {}, port)
    try:
        process.wait_until_answered(b"STATS\r\n", b"PONG")
        yield port
    finally:
        process.end()


@contextmanager
def proxy(backend_port: int) -> Iterator[MeasuredProcess]:
    """A copying proxy before that backend."""
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
    """A real relay that knows these backends, once it answers a ping."""
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
    """Backends that are all the one process."""
    common = {"dial": f"127.0.0.1:{port}", "site": "a", "class": "m", "health": "Ready", "share": 1.0}
    return [{"host": f"b{n}", "born_ms": 0, **common} for n in range(count)]
