"""A real relay of the emulated fleet in a separate process, started as in an installation."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from collections import Counter
from contextlib import suppress
from pathlib import Path
from typing import Any

import anyio
import orjson

from gannetweir.lab.emulator.discovery import EmulatedDiscovery
from gannetweir.lab.emulator.plan import EmulatorPlan, platform_settings

START_TIMEOUT_S = 15.0  # a relay that does not answer within this time has failed to start
EXIT_TIMEOUT_S = 5.0  # a relay that has not exited this long after its signal is killed
COUNTERS_TIMEOUT_S = 5.0  # the wait for the counters that a relay prints after SIGUSR1
POLL_INTERVAL_S = 0.02
MEMORY_MB = 192


class RelayProcess:
    """A relay on the same port at every start. Owns the process, and its log in the fleet's folder."""

    def __init__(self, plan: EmulatorPlan, discovery: EmulatedDiscovery, folder: Path, number: int) -> None:
        self.plan = plan
        self.discovery = discovery
        self.folder = folder
        self.number = number
        self.log_path = folder / f"relay{number}.log"
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.port = int(free.getsockname()[1])
        self.process: subprocess.Popen[bytes] | None = None
        self.dead_since_s = -1.0  # -1 means running or not started yet

    def start(self) -> None:
        """Start the process; `wait_ready` waits until it serves."""
        config_path = self.folder / f"relay{self.number}.json"
        config_path.write_bytes(orjson.dumps(self._config()))
        env = {"RELAY_CONFIG": str(config_path), "PATH": os.environ.get("PATH", "")}
        if self.plan.operators_file:
            operators_path = self.folder / "operators.kdl"
            operators_path.write_text(self.plan.operators_file)
            env["RELAY_OPERATORS"] = str(operators_path)
        with self.log_path.open("ab") as log:
            command = [sys.executable, "-m", "gannetweir", "serve"]
            self.process = subprocess.Popen(
                command, env=env, stderr=log, stdout=log, stdin=subprocess.DEVNULL
            )
        self.dead_since_s = -1.0

    def _config(self) -> dict[str, Any]:
        return {
            "name": f"n{self.number}",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": f"{self.plan.seed + self.number:x}",
            "limits": {"sockets": self.plan.sockets, "memory_mb": MEMORY_MB},
            "known": self.discovery.snapshot(),
            "settings": platform_settings(self.plan.relays),
        }

    async def wait_ready(self, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until the relay answers a ping. Raises `TimeoutError` if it does not in time."""
        with anyio.fail_after(timeout_s):
            while True:
                with suppress(OSError, anyio.EndOfStream):
                    async with await anyio.connect_tcp("127.0.0.1", self.port) as stream:
                        await stream.send(b"PING\r\n")
                        if (await stream.receive(100)).startswith(b"PONG"):
                            return
                await anyio.sleep(POLL_INTERVAL_S)

    async def stop(
        self, signal_number: signal.Signals = signal.SIGTERM, timeout_s: float = EXIT_TIMEOUT_S
    ) -> None:
        """Send the relay a signal, and kill the process if it has not exited in time."""
        if self.process is None:
            return
        self.dead_since_s = anyio.current_time()
        self.process.send_signal(signal_number)
        with anyio.move_on_after(timeout_s):
            while self.process.poll() is None:
                await anyio.sleep(POLL_INTERVAL_S)
        self.kill()

    def kill(self) -> None:
        """Kill the process. Does nothing if it is not running."""
        if self.process is not None:
            with suppress(ProcessLookupError):
                self.process.kill()
            self.process.wait()
            self.process = None

    def _printed_counters(self) -> list[bytes]:
        lines = self.log_path.read_bytes().splitlines()
        return [line for line in lines if line[:1] == b"{"]

    async def counters(self) -> Counter[str]:
        """Return a running relay's current counters, or the last ones that a stopped relay printed.

        Raises `TimeoutError` if a running relay prints none in time.
        """
        before = len(self._printed_counters())
        if self.process is not None:
            self.process.send_signal(signal.SIGUSR1)
            with anyio.fail_after(COUNTERS_TIMEOUT_S):
                while len(self._printed_counters()) == before:
                    await anyio.sleep(POLL_INTERVAL_S / 2)
        return Counter(orjson.loads(self._printed_counters()[-1]))
