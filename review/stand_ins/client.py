"""Clients: one line to open a connection, the answer, and from then on a line every two seconds."""

from __future__ import annotations

import asyncio
import os
from dataclasses import dataclass, field

from stand_ins.discovery import LOOPBACK
from stand_ins.record import Record

LINE_INTERVAL_S = 2.0
ANSWER_GRACE_S = 0.55  # an answer that is later than this counts as lost


@dataclass(slots=True)
class Client:
    """One client, its answer and how its connection ended."""

    request_class: str = "zone-view"
    deadline_ms: int = 2000
    group: int = 1
    stay_s: float = 1e9
    at: str = ""  # the backend at which the connection is open already
    client_id: str = field(default_factory=lambda: os.urandom(8).hex())
    answer: str = ""
    moved: bool = False
    ended: str = ""

    def first_line(self) -> bytes:
        """Return the line that opens the connection."""
        fields = f"c={self.request_class},d={self.deadline_ms}"
        if self.group:
            fields += f",g={self.group:016x}"
        if self.at:
            fields = f"c={self.request_class},at={self.at}"
        return f"OPEN {self.client_id} {os.urandom(8).hex()} {fields}\r\n".encode()

    async def run(self, port: int, record: Record) -> None:
        """Open a connection, and use it for `stay_s` or until the relay ends it."""
        name = f"c-{self.client_id[:8]}"
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
        except OSError as error:
            self.ended = f"not connected: {error}"
            return
        try:
            line = self.first_line()
            record.write(name, f"sends {line.decode('ascii').strip()}")
            writer.write(line)
            async with asyncio.timeout(self.deadline_ms / 1000 + ANSWER_GRACE_S):
                self.answer = (await reader.readline()).decode("ascii").strip()
            record.write(name, f"reads {self.answer or 'the end'}")
            if self.answer.startswith("UP"):
                await asyncio.wait_for(self._use(reader, writer), self.stay_s)
        except TimeoutError:
            self.ended = "left" if self.answer else "no answer"
        except OSError as error:
            self.ended = f"broken: {error}"
        finally:
            record.write(name, f"ends: {self.ended or self.answer}")
            writer.close()

    async def _use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            writer.write(b"tick\r\n")
            try:
                async with asyncio.timeout(LINE_INTERVAL_S):
                    while line := await reader.readline():
                        self.moved = self.moved or line == b"MOVE\r\n"
            except TimeoutError:
                continue
            self.ended = "moved" if self.moved else "cut off"
            return
