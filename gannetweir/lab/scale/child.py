"""A child process of a hollow fleet, and what the kernel tells of any process."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from gannetweir.lab.scale.link import Link
from gannetweir.lab.scale.messages import Message

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
EXIT_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class Usage:
    """Of one process so far: processor time, and resident memory now."""

    cpu_ns: int
    rss_bytes: int


def usage(pid: int) -> Usage:
    """Read from /proc; `OSError` if the process is gone. The processor time is its main thread's, and the
    processes here have no other; it is exact, where `stat` counts in steps of 10 ms.
    """
    schedule = Path(f"/proc/{pid}/schedstat").read_text().split()
    pages = Path(f"/proc/{pid}/statm").read_text().split()
    return Usage(int(schedule[0]), int(pages[1]) * PAGE_BYTES)


class Child:
    """One process that answers commands on its standard input, which is a socket."""

    def __init__(self, module: str, args: Sequence[str] = ()) -> None:
        parent_end, child_end = socket.socketpair()
        with child_end:
            self.process: subprocess.Popen[bytes] = subprocess.Popen(
                [sys.executable, "-m", module, *args], stdin=child_end.fileno()
            )
        self.link = Link(parent_end)

    async def call(self, message: Message) -> Message:
        """Send a command, return its answer. `LinkError` if the process has ended."""
        return await self.link.call(message)

    def usage(self) -> Usage:
        """What it has used; `OSError` if it is gone."""
        return usage(self.process.pid)

    def kill(self) -> None:
        """End it with SIGKILL, at once."""
        self.process.kill()
        self.process.wait()
        self.link.close()

    def stop(self) -> None:
        """End it in good order, or with SIGKILL if that takes too long."""
        self.link.close()
        end(self.process)


def end(process: subprocess.Popen[Any]) -> None:
    """Wait until a process that was told to end has ended; SIGKILL if that takes too long."""
    try:
        process.wait(EXIT_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
