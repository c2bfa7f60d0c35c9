"""A stand-in backend process.

Run as: python -m gannetweir.lab.soak.backend NAME FOLDER CAPACITY
"""

from __future__ import annotations

import random
import sys
from typing import Any

import anyio
import anyio.abc

from gannetweir.lab.soak import stand_in
from gannetweir.lab.soak.records import BackendObservation, RecordFile, now_us
from gannetweir.lab.soak.stand_in import Connection, ConnectionEndedError

SETUP_S = 0.002, 0.006  # minimum and maximum time to the answer
SLOW_S = 0.4  # time to the answer during the fault "slow"
MEAN_DRAIN_MIGRATION_S = 1.5  # mean time until a draining backend sends MOVE on a connection
ERROR_PROBABILITY = 0.5  # per request, during the fault "error"
RESET_PROBABILITY = 0.05  # per connection and tenth of a second, during the fault "reset"


class Backend:
    """Answers first lines and probes, and echoes each later line. Commands switch faults on and off."""

    def __init__(self, name: str, capacity: float, records: RecordFile) -> None:
        self.name, self.capacity, self.records = name, capacity, records
        self.rng = random.Random(name)
        # The current fault: "hang" sends nothing, "slow" answers late, "reset" resets connections, "error"
        # answers some requests with ERR. Empty without a fault.
        self.fault = ""
        self.is_draining = False
        self.capacity_factor = 1.0
        self.established: dict[Connection, None] = {}
        self.served_count = 0

    async def handle_command(self, command: dict[str, Any]) -> None:
        """Set the fault, the drain, or the fraction of the capacity during the slow start."""
        self.fault = command.get("fault", self.fault)
        self.is_draining = command.get("draining", self.is_draining)
        self.capacity_factor = command.get("warmth", self.capacity_factor)

    async def handle(self, connection: Connection) -> None:
        """Serve a connection: load probes, or one request."""
        while True:
            line = await connection.read_line()
            if line.startswith(b"OPEN "):
                await self._serve_request(connection, line)
                return
            while self.fault == "hang":
                await anyio.sleep(0.05)
            if line.startswith(b"STATS"):
                established_count = len(self.established)
                load = established_count / (self.capacity * self.capacity_factor)
                await connection.write(b"PONG tps=1,concurrent=%d,x0=%.4f\r\n" % (established_count, load))
            else:
                await connection.write(b"PONG\r\n" if line.startswith(b"PING") else b"SYNTAX\r\n")

    async def _serve_request(self, connection: Connection, line: bytes) -> None:
        observation = BackendObservation(line.split(b" ")[1].decode(), self.name, now_us())
        try:
            await self._answer(connection, observation)
        except ConnectionEndedError:
            pass
        finally:
            self.established.pop(connection, None)
            self.records.write(observation)

    async def _answer(self, connection: Connection, observation: BackendObservation) -> None:
        await anyio.sleep(SLOW_S if self.fault == "slow" else self.rng.uniform(*SETUP_S))
        if self.fault == "hang":
            await self._discard_while_hanging(connection)
        if self.fault == "reset":
            observation.ended_us = now_us()
            connection.close(reset=True)
            return
        if self.is_draining or len(self.established) >= 1.6 * self.capacity:
            observation.answer = "BUSY"
        elif self.fault == "error" and self.rng.random() < ERROR_PROBABILITY:
            observation.answer = "ERR"
        if observation.answer:
            observation.ended_us = now_us()
            await connection.write(observation.answer.encode() + b"\r\n")
            return
        self.served_count += 1
        observation.answer = "UP"
        observation.receipt = f"{self.name}.{self.served_count}.{observation.request}"
        self.established[connection] = None
        await connection.write(f"UP {observation.receipt}\r\n".encode())
        await self._echo_lines(connection, observation)

    async def _discard_while_hanging(self, connection: Connection) -> None:
        while self.fault == "hang":
            with anyio.move_on_after(0.1):
                await connection.read()

    async def _echo_lines(self, connection: Connection, observation: BackendObservation) -> None:
        while not observation.ended_us:
            with anyio.move_on_after(0.1):
                line = await connection.read_line()
                while self.fault == "hang":
                    await anyio.sleep(0.05)
                await connection.write(line)
            if self.fault == "reset" and self.rng.random() < RESET_PROBABILITY:
                observation.ended_us = now_us()
                connection.close(reset=True)
            elif self.is_draining and self.rng.random() < 0.1 / MEAN_DRAIN_MIGRATION_S:
                observation.ended_us = now_us()
                await connection.write(b"MOVE\r\n")


def main(name: str, folder: str, capacity: str) -> None:
    """Run the backend until standard input ends."""

    async def run(records: RecordFile, tasks: anyio.abc.TaskGroup) -> None:
        backend, sock = Backend(name, float(capacity), records), stand_in.listener()
        stand_in.report_started(port=sock.getsockname()[1])
        tasks.start_soon(stand_in.serve, sock, backend.handle)
        await stand_in.serve_commands(backend.handle_command)

    stand_in.run_process(name, folder, run)


if __name__ == "__main__":
    main(*sys.argv[1:])
