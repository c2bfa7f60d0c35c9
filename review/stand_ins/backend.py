"""A backend: answers first lines and load probes, echoes lines, and drains as the pages say."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from stand_ins.discovery import LOOPBACK
from stand_ins.record import Record

CAPACITY = 100  # connections that load a backend fully


@dataclass(frozen=True, slots=True)
class FirstLine:
    """A first line whose last byte has arrived."""

    when_s: float
    client_id: str


class Backend:
    """One backend. While it drains it turns new connections away and sends its clients away bit by bit."""

    def __init__(self, name: str, record: Record) -> None:
        self.name, self.record = name, record
        self.first_lines: list[FirstLine] = []
        self.probes: list[float] = []
        self.open: dict[asyncio.StreamWriter, str] = {}
        self.draining = False
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def drain(self, duration_s: float) -> None:
        """Turn new connections away from now on, and ask the clients to move, spread over the duration."""
        self.draining = True
        clients = list(self.open)
        for writer in clients:
            await asyncio.sleep(duration_s / len(clients))
            if writer in self.open:
                self.record.write(self.name, f"{self.open[writer]} is sent MOVE")
                writer.write(b"MOVE\r\n")
                writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                if not line.endswith(b"\r\n") or not await self._answer(line, writer):
                    break
        except (OSError, asyncio.CancelledError):  # cancelled at the end of the case
            pass
        finally:
            client_id = self.open.pop(writer, "")
            if client_id:
                self.record.write(self.name, f"{client_id} has ended")
            writer.close()

    async def _answer(self, line: bytes, writer: asyncio.StreamWriter) -> bool:
        """Answer a line, and return whether the connection goes on."""
        if writer in self.open:
            writer.write(line)
            return True
        words = line.decode("ascii").split()
        match words[0]:
            case "OPEN":
                return self._open(words[1], line, writer)
            case "STATS":
                self.probes.append(self.record.write(self.name, "STATS"))
                count = len(self.open)
                writer.write(f"PONG tps=1,concurrent={count},x0={count / CAPACITY:.3f}\r\n".encode())
                return True
            case "PING":
                writer.write(b"PONG\r\n")
                return True
        writer.write(b"SYNTAX\r\n")
        return False

    def _open(self, client_id: str, line: bytes, writer: asyncio.StreamWriter) -> bool:
        when = self.record.write(self.name, f"first line: {line.decode('ascii').strip()}")
        self.first_lines.append(FirstLine(when, client_id))
        if self.draining:
            writer.write(b"BUSY\r\n")
            return False
        self.open[writer] = client_id
        writer.write(f"UP {self.name}-{client_id}\r\n".encode())
        return True
