"""Starts, commands and ends a stand-in process of a soak."""

from __future__ import annotations

import subprocess
import sys
from contextlib import suppress
from typing import Any

import anyio.to_thread
import orjson

END_TIMEOUT_S = 5.0  # time to write the last records and exit


class StandInProcess:
    """A stand-in process that takes commands on standard input."""

    def __init__(self, module: str, *arguments: str) -> None:
        command = [sys.executable, "-m", f"gannetweir.lab.soak.{module}", *arguments]
        self.process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)

    async def wait_started(self) -> dict[str, Any]:
        """Wait for the report of the started process and return its values."""
        assert self.process.stdout is not None
        line = await anyio.to_thread.run_sync(self.process.stdout.readline)
        return dict(orjson.loads(line))

    def send_command(self, **values: object) -> None:
        """Send a command; does nothing if the process has ended."""
        assert self.process.stdin is not None
        with suppress(OSError):
            self.process.stdin.write(orjson.dumps(values) + b"\n")
            self.process.stdin.flush()

    def end(self) -> None:
        """Close standard input, upon which the process writes its last records, and wait for the exit. Kills
        the process after a timeout.
        """
        assert self.process.stdin is not None
        with suppress(OSError):
            self.process.stdin.close()
        try:
            self.process.wait(END_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.process.kill()
        self.process.wait()
