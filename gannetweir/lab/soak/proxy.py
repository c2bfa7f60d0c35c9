"""A stand-in network proxy between relays and backends.

Run as: python -m gannetweir.lab.soak.proxy NAME FOLDER BACKEND=PORT ...

The proxy observes every attempt where it leaves the relay, and injects network faults into the connections.
"""

from __future__ import annotations

import math
import random
import sys
from contextlib import suppress
from functools import partial
from typing import Any

import anyio
import anyio.abc
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from gannetweir.lab.soak import stand_in
from gannetweir.lab.soak.records import AttemptObservation, RecordFile, now_us
from gannetweir.lab.soak.stand_in import Connection, ConnectionEndedError

FORWARD_DELAY_S = 0.3, 1.0  # minimum and maximum delay of a new connection, during the fault "late"
PIECE_BYTES = 7  # size of the pieces, during the fault "pieces"
RESET_PROBABILITY = 0.2  # per piece of data, during the fault "reset"


class Proxy:
    """Forwards connections to several backends. Each backend has a listener and a current fault."""

    def __init__(self, name: str, records: RecordFile) -> None:
        self.records, self.rng = records, random.Random(name)
        self.ports: dict[str, int] = {}
        self.faults: dict[str, str] = {}

    async def handle_command(self, command: dict[str, Any]) -> None:
        """Set the fault of a backend, or its new port after a restart."""
        backend = str(command["backend"])
        self.ports[backend] = command.get("port", self.ports.get(backend, 0))
        self.faults[backend] = command.get("fault", self.faults.get(backend, ""))

    def fault(self, backend: str) -> str:
        """Return the current fault of the connections to a backend; empty if there is none."""
        return self.faults.get(backend, "")

    async def handle(self, backend: str, relay_side: Connection) -> None:
        """Connect to the backend and forward between the relay and the backend."""
        try:
            backend_side = await stand_in.connect(self.ports[backend])
        except (OSError, TimeoutError):
            relay_side.close(reset=True)
            return
        connection = ProxiedConnection(self, backend, relay_side, backend_side)
        try:
            await connection.run()
        finally:
            backend_side.close()


class ProxiedConnection:
    """A connection through the proxy, with the attempt that it may carry. Data from a relay is read at once,
    even during a fault, so that its recorded times don't include the delays of faults.
    """

    def __init__(self, proxy: Proxy, backend: str, relay_side: Connection, backend_side: Connection) -> None:
        self.proxy, self.backend = proxy, backend
        self.relay_side, self.backend_side = relay_side, backend_side
        self.attempt: AttemptObservation | None = None
        self.first_line_bytes = b""
        is_delayed = proxy.fault(backend) == "late"
        self.forward_at = anyio.current_time() + (proxy.rng.uniform(*FORWARD_DELAY_S) if is_delayed else 0.0)

    async def run(self) -> None:
        """Forward until both sides have ended or one was reset."""
        try:
            async with anyio.create_task_group() as tasks:
                for source, sink in (
                    (self.relay_side, self.backend_side),
                    (self.backend_side, self.relay_side),
                ):
                    send, receive = anyio.create_memory_object_stream[bytes | ConnectionEndedError](math.inf)
                    tasks.start_soon(self._read, source, send)
                    tasks.start_soon(self._forward_all, receive, sink)
        finally:
            if self.attempt is not None:
                self.proxy.records.write(self.attempt)

    async def _read(
        self, source: Connection, send: MemoryObjectSendStream[bytes | ConnectionEndedError]
    ) -> None:
        with send, suppress(anyio.BrokenResourceError):  # forwarding has ended
            try:
                while True:
                    data = await source.read()
                    if source is self.relay_side:
                        self._observe_first_line(data)
                    send.send_nowait(data)
            except ConnectionEndedError as end:
                if source is self.relay_side and self.attempt is not None:
                    self.attempt.relay_ended_us = self.attempt.relay_ended_us or now_us()
                send.send_nowait(end)

    async def _forward_all(
        self, receive: MemoryObjectReceiveStream[bytes | ConnectionEndedError], sink: Connection
    ) -> None:
        with receive:
            await anyio.sleep_until(self.forward_at)
            try:
                async for data in receive:
                    await self._apply_fault()
                    if isinstance(data, ConnectionEndedError):
                        if data.reset:
                            sink.close(reset=True)
                        sink.finish_writing()
                        return
                    await self._forward(sink, data)
            except ConnectionEndedError:
                sink.close(reset=True)

    async def _forward(self, sink: Connection, data: bytes) -> None:
        if self.proxy.fault(self.backend) != "pieces":
            await sink.write(data)
            return
        for start in range(0, len(data), PIECE_BYTES):
            await sink.write(data[start : start + PIECE_BYTES])
            await anyio.sleep(0.001)

    async def _apply_fault(self) -> None:
        """Wait while the fault "silent" lasts. Raises `ConnectionEndedError` if the fault "reset" resets the
        connection.
        """
        while self.proxy.fault(self.backend) == "silent":
            await anyio.sleep(0.02)
        if self.proxy.fault(self.backend) == "reset" and self.proxy.rng.random() < RESET_PROBABILITY:
            if self.attempt is not None:
                self.attempt.cut_us = now_us()
            self.relay_side.close(reset=True)
            self.backend_side.close(reset=True)
            raise ConnectionEndedError(True)

    def _observe_first_line(self, data: bytes) -> None:
        """Record the arrival of the first line that a relay writes."""
        if self.attempt is None and data[:1] == b"O":
            self.attempt = AttemptObservation("", self.backend, "", self.relay_side.received_us())
        if self.attempt is None or self.attempt.whole_us:
            return
        self.first_line_bytes += data
        line, end, _ = self.first_line_bytes.partition(b"\r\n")
        if end:
            self.attempt.whole_us, self.attempt.line = now_us(), line.decode("latin1")
            self.attempt.request = self.attempt.line.split(" ")[1]


def main(name: str, folder: str, *backends: str) -> None:
    """Run the proxy until standard input ends."""

    async def run(records: RecordFile, tasks: anyio.abc.TaskGroup) -> None:
        proxy, listening_ports = Proxy(name, records), {}
        for text in backends:
            backend, _, port = text.partition("=")
            proxy.ports[backend] = int(port)
            sock = stand_in.listener()
            listening_ports[backend] = sock.getsockname()[1]
            tasks.start_soon(stand_in.serve, sock, partial(proxy.handle, backend))
        stand_in.report_started(ports=listening_ports)
        await stand_in.serve_commands(proxy.handle_command)

    stand_in.run_process(name, folder, run)


if __name__ == "__main__":
    main(*sys.argv[1:])
