"""A discovery service: the whole list, and watches with changes and heartbeats."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TypedDict

from stand_ins.record import Record

HEARTBEAT_S = 2.0
CALL_S = 0.02  # the time that a call takes if nobody waits before it
LOOPBACK = "127.0.0.1"


class Entry(TypedDict):
    """A backend in the list."""

    host: str
    dial: str
    site: str
    block: int
    health: str
    share: float
    born_ms: int


class Discovery:
    """Keeps the list. `wait_s` is the time for which a call waits before it is answered."""

    def __init__(self, record: Record, name: str = "discovery") -> None:
        self.record, self.name = record, name
        self.seq = 1
        self.entries: dict[str, Entry] = {}
        self.history: list[tuple[int, Entry]] = []
        self.wait_s = CALL_S
        self.changed = asyncio.Event()
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def add(self, host: str, port: int, site: str, born_ms: int = 0) -> None:
        """List a backend from the start."""
        self.entries[host] = Entry(
            host=host,
            dial=f"{LOOPBACK}:{port}",
            site=site,
            block=0,
            health="Ready",
            share=1.0,
            born_ms=born_ms,
        )

    def change(self, host: str, health: str) -> float:
        """Change a backend's health, tell the watches, and return the time of the change."""
        self.seq += 1
        entry = self.entries[host].copy()
        entry["health"] = health
        self.entries[host] = entry
        self.history.append((self.seq, entry))
        when = self.record.write(self.name, f"list {self.seq}: {host} is {health}")
        self.changed.set()
        self.changed = asyncio.Event()
        return when

    @staticmethod
    def now_ms() -> int:
        """Return the time at which a backend that starts now was born."""
        return int(time.time() * 1000)

    def snapshot(self) -> dict[str, object]:
        """Return the whole list."""
        return {
            "seq": self.seq,
            "whole": True,
            "hosts": [entry for entry in self.entries.values() if entry["health"] != "Gone"],
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        caller = f"caller {writer.get_extra_info('peername')[1]}"
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("ascii")
            target = head.split(" ")[1]
            self.record.write(self.name, f"{caller} asks {target}")
            await asyncio.sleep(self.wait_s)
            if reader.at_eof():
                self.record.write(self.name, f"{caller} has gone before its turn")
            elif "follow=1" in target:
                await self._watch(caller, int(target.rpartition("since=")[2]), writer)
            else:
                body = json.dumps(self.snapshot()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):  # cancelled at the end
            pass
        finally:
            writer.close()

    async def _watch(self, caller: str, since: int, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        sent = self.seq
        if 0 < since <= sent:
            changes = [entry for seq, entry in self.history if seq > since]
            first: dict[str, object] = {"seq": sent, "whole": False, "hosts": changes}
        else:
            first = self.snapshot()
        await self._write(caller, first, writer)
        while True:
            try:
                await asyncio.wait_for(self.changed.wait(), HEARTBEAT_S)
            except TimeoutError:
                writer.write(b"1\r\n\n\r\n")
                await writer.drain()
                continue
            changes = [entry for seq, entry in self.history if seq > sent]
            sent = self.seq
            await self._write(caller, {"seq": sent, "whole": False, "hosts": changes}, writer)

    async def _write(self, caller: str, message: dict[str, object], writer: asyncio.StreamWriter) -> None:
        line = json.dumps(message).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))
        await writer.drain()
        self.record.write(self.name, f"{caller} is told list {message['seq']}, whole: {message['whole']}")
