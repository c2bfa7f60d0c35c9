"""A control machine of a skeleton fleet, in its own process, with faults that can be switched on.

The server, the publishers and the token buckets are those of production; the changes of the store of record
come over the link from the parent, which owns the store.

python -m gannetweir.lab.scale.control_machine NAME HOST:PORT
"""

from __future__ import annotations

import os
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable

import anyio
import anyio.abc

from gannetweir.config import SocketAddress, parse_socket_address
from gannetweir.control.machine import ControlMachine
from gannetweir.control.versions import Resource, Slice
from gannetweir.lab.scale.link import answer_calls
from gannetweir.lab.scale.messages import (
    AskServed,
    Done,
    Message,
    Publish,
    Served,
    ServerMode,
    SetMode,
    StartMachine,
)
from gannetweir.lab.scale.store import MemoryStore
from gannetweir.limits import Limits
from gannetweir.net.control_server import ControlServer
from gannetweir.net.transport import Transport
from gannetweir.proto.control_messages import canonical_json

TRICKLE_S = 1.0  # interval between two bytes


class FaultyServer(ControlServer):
    """A control server that counts what it sends, and withholds data during a fault."""

    def __init__(self, name: str, store: MemoryStore, at: SocketAddress) -> None:
        super().__init__(name, store, at, Limits())
        self.mode, self.snapshots = ServerMode.NORMAL, 0
        self.withheld: dict[Transport, bytearray] = {}
        self.by_second: Counter[int] = Counter()
        self.slices_before_kill = 0  # slices of membership still to be sent in mode DIES

    def set_mode(self, mode: ServerMode) -> None:
        """Switch to a mode; `NORMAL` sends all withheld data."""
        self.mode = mode
        self.slices_before_kill = len(self.watches) // 2
        if mode is ServerMode.NORMAL:
            withheld, self.withheld = self.withheld, {}
            for transport, data in withheld.items():
                self._write(transport, bytes(data))

    def _write(self, transport: Transport, data: bytes) -> None:
        if self.mode in (ServerMode.SILENT, ServerMode.TRICKLE):
            self.withheld.setdefault(transport, bytearray()).extend(data)
            return
        self._send(transport, data)

    def _send(self, transport: Transport, data: bytes) -> None:
        self.by_second[int(time.monotonic())] += len(data)
        super()._write(transport, data)

    async def trickle(self) -> None:
        """In mode TRICKLE, send one withheld byte per `TRICKLE_S` on each connection."""
        while True:
            await anyio.sleep(TRICKLE_S)
            if self.mode is ServerMode.TRICKLE:
                for transport, data in self.withheld.items():
                    self._send(transport, bytes(data[:1]))
                    del data[:1]

    async def _send_slices(
        self,
        transport: Transport,
        relay: str,
        machine: ControlMachine,
        write: Callable[[Slice], bytes],
        heartbeat: bytes,
    ) -> None:
        def counted(part: Slice) -> bytes:
            if part.resource is Resource.MEMBERSHIP:
                self.snapshots += part.base is None and part.index == 0
                self._kill_self_halfway()
            return write(part)

        await super()._send_slices(transport, relay, machine, counted, heartbeat)

    def _kill_self_halfway(self) -> None:
        if self.mode is ServerMode.DIES:
            if not self.slices_before_kill:
                os.kill(os.getpid(), signal.SIGKILL)
            self.slices_before_kill -= 1


class MachineProcess:
    """Executes the commands of the parent."""

    def __init__(self, tasks: anyio.abc.TaskGroup, name: str, at: SocketAddress) -> None:
        self.tasks, self.name, self.at = tasks, name, at
        self.store = MemoryStore()
        self.server: FaultyServer | None = None

    async def handle(self, message: Message) -> Message:
        """Execute a command and return its answer. Raises `ValueError` for an unknown command."""
        if isinstance(message, StartMachine):
            self._start(message)
        elif isinstance(message, Publish):
            self._publish(message)
        elif isinstance(message, SetMode) and self.server is not None:
            self.server.set_mode(ServerMode(message.mode))
        elif isinstance(message, AskServed) and self.server is not None:
            server = self.server
            sent = {self.name: server.bytes_written}
            return Served(len(server.watches), server.snapshots, sent, dict(server.by_second))
        else:
            raise ValueError(f"a control machine got an unknown command: {type(message).__name__}")
        return Done()

    def _start(self, message: StartMachine) -> None:
        members = {str(member["host"]): canonical_json(member) for member in message.members}
        self.store.load(Resource.MEMBERSHIP, message.version, members)
        for change in message.history:
            self._publish(change)
        self.store.load(
            Resource.SETTINGS, 1, {key: canonical_json(value) for key, value in message.settings.items()}
        )
        self.server = FaultyServer(self.name, self.store, self.at)
        self.tasks.start_soon(self.server.run)
        self.tasks.start_soon(self.server.trickle)

    def _publish(self, message: Publish) -> None:
        if message.version <= self.store.logs[Resource.MEMBERSHIP].newest.number:
            return  # the history that this machine started from had the change
        version = self.store.put(
            Resource.MEMBERSHIP, {str(message.member["host"]): canonical_json(message.member)}
        )
        if version.number != message.version:
            raise ValueError(f"expected version {message.version} of the store, made {version.number}")


async def run(name: str, at: SocketAddress) -> None:
    """Serve until the parent is gone."""
    async with anyio.create_task_group() as tasks:
        await answer_calls(MachineProcess(tasks, name, at).handle)
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(run, sys.argv[1], parse_socket_address(sys.argv[2], "listen"))
