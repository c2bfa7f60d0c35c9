"""The relay processes of a soak: configuration, start, shutdown and descriptors."""

from __future__ import annotations

import itertools
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import anyio
import orjson

from gannetweir.lab.soak import stand_in
from gannetweir.lab.soak.plan import SoakPlan, relay_settings, shares_listener
from gannetweir.lab.soak.records import ProcessLifetime, RecordFile, WatchEventSent, now_us
from gannetweir.lab.soak.run_queue import waited_us
from gannetweir.lab.soak.shim import Shim
from gannetweir.lab.soak.stand_in import ConnectionEndedError

START_TIMEOUT_S = 30.0  # a relay that is not ready after this time has failed to start
# The standard error of the last relay of every group of this size is a pipe that is never read.
UNREAD_STDERR_INTERVAL = 4
_PORT_NUMBERS = itertools.count()
# All ports lie below the range from which Linux assigns local ports to outgoing connections.
FIRST_PORT, PORTS_PER_BLOCK, PORT_BLOCKS = 18_000, 100, 140


class RelayProcess:
    """A relay with its name, address and folder, and the process that currently serves."""

    def __init__(
        self,
        number: int,
        plan: SoakPlan,
        folder: Path,
        shim: Shim,
        discovery: list[int],
        records: RecordFile,
        command: list[str],
    ) -> None:
        self.number, self.plan, self.folder, self.shim = number, plan, folder, shim
        self.discovery_ports, self.records, self.command = discovery, records, command
        self.listener: socket.socket | None = None
        if shares_listener(number):
            # The kernel doesn't choose the port: the shim treats every connection whose local port is 32768
            # or higher as a connection to a backend.
            self.listener = stand_in.listener(_free_port())
            self.port = int(self.listener.getsockname()[1])
        else:
            self.port = _free_port()
        # The current process has the first port; the process of an upgrade gets the second.
        self.admin_ports = [_free_port(), _free_port()]
        self.replaced: subprocess.Popen[bytes] | None = None  # the draining process during an upgrade
        self.discovery_index = 0  # index into `discovery_ports` of the configured address
        self.process: subprocess.Popen[bytes] | None = None
        self.lifetime = ProcessLifetime(number, 0)
        self.is_restarting = False
        self.unread_stderr: int | None = None  # read end of the pipe for a standard error that is never read
        (folder / f"shared{number}").mkdir(exist_ok=True)

    @property
    def log_path(self) -> Path:
        """The file for standard output and, unless standard error is a pipe, for standard error."""
        return self.folder / f"relay{self.number}.log"

    @property
    def config_path(self) -> Path:
        """The configuration file that the platform writes for the relay."""
        return self.folder / f"relay{self.number}.json"

    def write_config(self, membership: dict[str, Any]) -> None:
        """Write a complete configuration file."""
        data = {
            "name": f"n{self.number}",
            "listen": f"127.0.0.1:{self.port}",
            "admin_addr": f"127.0.0.1:{self.admin_ports[0]}",
            "discovery": f"127.0.0.1:{self.discovery_ports[self.discovery_index]}",
            "seed": f"{self.plan.seed + self.number:x}",
            "limits": {"sockets": self.plan.sockets, "memory_mb": 96},
            "known": membership,
            "settings": relay_settings(self.plan),
        }
        self.config_path.write_bytes(orjson.dumps(data))

    def start(self, membership: dict[str, Any]) -> None:
        """Start a process. `wait_ready` waits until the process answers."""
        self.write_config(membership)
        env = {
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": os.environ.get("PYTHONPATH", ""),
            "RELAY_CONFIG": str(self.config_path),
            "TMPDIR": str(self.folder / f"shared{self.number}"),
            "RELAY_LOG": "json" if self.number % 2 else "plain",
            **self.shim.environment,
        }
        inherited = () if self.listener is None else (self.listener.fileno(),)
        if inherited:
            env["RELAY_INHERITED_FD"] = str(inherited[0])
        with self.log_path.open("ab") as log:
            error: Any = log
            if self.number % UNREAD_STDERR_INTERVAL == UNREAD_STDERR_INTERVAL - 1:
                self.close_unread_stderr()
                self.unread_stderr, error = os.pipe()
            self.process = subprocess.Popen(
                self.command,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=error,
                pass_fds=inherited,
            )
            if isinstance(error, int):
                os.close(error)
        self.lifetime = ProcessLifetime(self.number, now_us())
        for host in membership["hosts"]:  # the process knows these states from its configuration
            state = host["host"], host["health"], host["born_ms"]
            self.records.write(WatchEventSent(self.number, *state, self.lifetime.started_us))

    def close_unread_stderr(self) -> None:
        """Close the read end of the pipe that is never read."""
        if self.unread_stderr is not None:
            os.close(self.unread_stderr)
            self.unread_stderr = None

    async def wait_ready(self) -> bool:
        """Wait for the first PONG. Returns False if the process ends or the timeout passes first."""
        with anyio.move_on_after(START_TIMEOUT_S):
            while self.process is not None and self.process.poll() is None:
                if await self._answers_ping():
                    self.lifetime.ready_us = now_us()
                    return True
                await anyio.sleep(0.02)
        return False

    async def _answers_ping(self) -> bool:
        try:
            connection = await stand_in.connect(self.port, 0.5)
        except (OSError, TimeoutError):
            return False
        try:
            with anyio.fail_after(1.0):
                await connection.write(b"PING\r\n")
                return (await connection.read_line()).startswith(b"PONG")
        except (ConnectionEndedError, TimeoutError):
            return False
        finally:
            connection.close()

    async def call_admin(self, line: str) -> str:
        """Send a call to the admin listener and return its answer; empty if there is none."""
        try:
            with anyio.fail_after(1.0):
                connection = await stand_in.connect(self.admin_ports[0], 0.5)
                try:
                    await connection.write(f"{line}\r\n".encode())
                    return (await connection.read_line()).decode().strip()
                finally:
                    connection.close()
        except (OSError, ConnectionEndedError, TimeoutError):
            return ""

    async def upgrade(self, membership: dict[str, Any]) -> None:
        """Start a second process on the shared listener. Send SIGTERM to the first one once the second is
        healthy or `START_TIMEOUT_S` has passed, and kill the first one if it does not exit in time.
        """
        replaced, lifetime = self.process, self.lifetime
        assert replaced is not None
        self.admin_ports.reverse()
        self.replaced = replaced
        self.start(membership)
        with anyio.move_on_after(START_TIMEOUT_S):
            while not (await self.call_admin("HEALTH")).startswith("ok"):
                await anyio.sleep(0.02)
            self.lifetime.ready_us = now_us()
        lifetime.asked_to_end_us = now_us()
        replaced.send_signal(signal.SIGTERM)
        await self._wait_for_exit(replaced)
        lifetime.how = "term" if replaced.poll() is not None else "late"
        replaced.kill()
        lifetime.code, self.replaced = replaced.wait(), None
        lifetime.ended_us = now_us()
        self.records.write(lifetime)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def terminate(self) -> None:
        """Send SIGTERM, wait for the exit of the process, and kill a process that does not exit in time."""
        self.lifetime.asked_to_end_us = now_us()
        self.signal(signal.SIGTERM)
        if self.process is not None:
            await self._wait_for_exit(self.process)
        late = self.process is not None and self.process.poll() is None
        self.kill("late" if late else "term")

    async def _wait_for_exit(self, process: subprocess.Popen[bytes]) -> None:
        """Wait until a process exits or the grace period has passed. The time for which the process had no
        processor does not count.
        """
        requested_us, waited_before_us = now_us(), waited_us(process.pid)
        while process.poll() is None:
            excluded_us = waited_us(process.pid) - waited_before_us
            if now_us() - requested_us - excluded_us > self.plan.termination_grace_s * 1e6:
                return
            await anyio.sleep(0.01)

    def kill(self, how: str) -> None:
        """Kill the process if it still runs, and record its lifetime. `how` says how the process ended."""
        if self.process is None:
            return
        self.process.kill()
        self.lifetime.code = self.process.wait()
        self.lifetime.ended_us = now_us()  # taken after the exit: the process did nothing later
        self.lifetime.how = how
        self.records.write(self.lifetime)
        self.process = None

    def check(self) -> None:
        """Count the descriptors of the relay, and record a process that has exited without SIGTERM."""
        if self.process is None:
            return
        if self.process.poll() is not None and not self.lifetime.asked_to_end_us:
            self.kill("crash" if self.lifetime.ready_us else "no start")
            return
        processes = [process for process in (self.process, self.replaced) if process is not None]
        try:
            descriptor_count = sum(_count_descriptors(process.pid) for process in processes)
        except OSError:
            return
        self.lifetime.descriptors = max(self.lifetime.descriptors, descriptor_count)


def _count_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process. Raises `OSError` if the process has ended."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


def _free_port() -> int:
    """Return a port that is free now, and that neither the kernel nor a concurrent soak is likely to take."""
    while True:
        port = (
            FIRST_PORT + os.getpid() % PORT_BLOCKS * PORTS_PER_BLOCK + next(_PORT_NUMBERS) % PORTS_PER_BLOCK
        )
        try:
            with socket.create_server(("127.0.0.1", port)):
                return port
        except OSError:
            continue


def relay_command() -> list[str]:
    """Return the command that starts a relay."""
    return [sys.executable, "-m", "gannetweir", "serve"]
