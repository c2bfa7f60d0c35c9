"""A child process of a fleet of skeleton relays, and the resource usage of processes from /proc."""

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
    """Processor time of a process so far, and its resident memory at the moment."""

    cpu_ns: int
    rss_bytes: int


def usage(pid: int) -> Usage:
    """Read the usage of a process from /proc. Raises `OSError` if there is no such process. The processor
    time is that of the main thread, the only one in these processes. `schedstat` counts in nanoseconds,
    `stat` only in steps of 10 ms.
    """
    schedule = Path(f"/proc/{pid}/schedstat").read_text().split()
    pages = Path(f"/proc/{pid}/statm").read_text().split()
    return Usage(int(schedule[0]), int(pages[1]) * PAGE_BYTES)


class Child:
    """A Python process that answers commands on its standard input, which is a socket."""

    def __init__(self, module: str, args: Sequence[str] = ()) -> None:
        parent_end, child_end = socket.socketpair()
        with child_end:
            self.process: subprocess.Popen[bytes] = subprocess.Popen(
                [sys.executable, "-m", module, *args], stdin=child_end.fileno()
            )
        self.link = Link(parent_end)

    async def call(self, message: Message) -> Message:
        """Send a command and return the answer. Raises `LinkError` if the process has ended."""
        return await self.link.call(message)

    def usage(self) -> Usage:
        """Return the usage of the process. Raises `OSError` if the process has ended."""
        return usage(self.process.pid)

    def kill(self) -> None:
        """End the process immediately with SIGKILL."""
        self.process.kill()
        self.process.wait()
        self.link.close()

    def stop(self) -> None:
        """Close the link, upon which the process ends; send SIGKILL if it has not ended within
        `EXIT_TIMEOUT_S`.
        """
        self.link.close()
        end(self.process)


def end(process: subprocess.Popen[Any]) -> None:
    """Wait for a process that has been asked to end; send SIGKILL if it runs longer than `EXIT_TIMEOUT_S`."""
    try:
        process.wait(EXIT_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
