"""A relay, started by the command `run` of the deploy file."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import tomllib
from pathlib import Path

from stand_ins.discovery import LOOPBACK
from stand_ins.record import Record

ROOT = Path(__file__).resolve().parent.parent.parent
READY_TIMEOUT_S = 10.0
POLL_S = 0.02


def free_port() -> int:
    """Return a port on which nobody listens."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return int(sock.getsockname()[1])


class Relay:
    """One relay: its configuration file, its process and its log, in the case's temporary folder."""

    def __init__(self, name: str, folder: Path, record: Record, sockets: int = 1024) -> None:
        self.name, self.folder, self.record = name, folder, record
        self.sockets = sockets
        self.port = free_port()
        self.config_file = folder / f"{name}.json"
        self.log_file = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def configure(self, discovery: int, known: dict[str, object], settings: dict[str, object]) -> None:
        """Write the configuration file as a whole."""
        config = {
            "name": self.name,
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": f"{LOOPBACK}:{discovery}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "known": known,
            "settings": settings,
        }
        new_file = self.config_file.with_suffix(".new")
        new_file.write_text(json.dumps(config), encoding="utf-8")
        new_file.replace(self.config_file)

    def start(self) -> None:
        """Start the process. Its private folder is empty, as after every start on the platform."""
        config = json.loads(self.config_file.read_text(encoding="utf-8"))
        private = Path(self.folder / f"{self.name}.tmp{len(list(self.folder.iterdir()))}")
        private.mkdir()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": config["listen"],
            "RELAY_DISCOVERY": config["discovery"],
            "RELAY_CONFIG": str(self.config_file),
            "TMPDIR": str(private),
        }
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        with self.log_file.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                shell=True,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.write(self.name, "started")

    async def wait_ready(self) -> None:
        """Wait until the relay answers a PING with PONG. Raises `TimeoutError`."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError):
                    reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
                    writer.write(b"PING\r\n")
                    answer = await reader.readline()
                    writer.close()
                    if answer == b"PONG\r\n":
                        self.record.write(self.name, "is ready")
                        return
                await asyncio.sleep(POLL_S)

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        assert self.process is not None
        self.record.write(self.name, f"gets {number.name}")
        self.process.send_signal(number)

    def processor_s(self) -> float:
        """Return the processor time that the process has used."""
        assert self.process is not None
        fields = Path(f"/proc/{self.process.pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def kill(self) -> None:
        """End the process, and add its log to the record."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None
        for line in self.log_file.read_text(encoding="utf-8").splitlines():
            self.record.write(self.name, f"log: {line}")
