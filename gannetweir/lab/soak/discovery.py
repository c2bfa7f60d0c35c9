"""A stand-in discovery with a port for each relay: python -m gannetweir.lab.soak.discovery FOLDER RELAYS

A relay's two ports are its old and its new address of discovery. All that is written to it is recorded.
"""

from __future__ import annotations

import sys
from functools import partial
from typing import Any

import anyio
import anyio.abc
import orjson

from gannetweir.lab.soak import standin
from gannetweir.lab.soak.records import Change, RecordFile, Told, now_us
from gannetweir.lab.soak.standin import Connection

BEAT_S = 2.0
ADDRESSES = 2  # of discovery, for each relay


class Discovery:
    """The list, its changes, and the faults: down, silent, slow, indented."""

    def __init__(self, records: RecordFile) -> None:
        self.records = records
        self.version = 1
        self.hosts: dict[str, dict[str, Any]] = {}
        self.history: list[tuple[int, dict[str, Any]]] = []
        self.changed = anyio.Event()
        self.down = self.indented = False
        self.silent_since = 0  # watches that were open then say nothing; 0: none is silent
        self.delay_s = 0.0

    async def command(self, told: dict[str, Any]) -> None:
        """Change an entry, or switch a fault."""
        if "host" in told:
            self._change(told)
        self.down, self.indented = told.get("down", self.down), told.get("indented", self.indented)
        self.delay_s = told.get("delay_s", self.delay_s)
        if "silent" in told:
            self.silent_since = now_us() if told["silent"] else 0
        self._wake()

    def _change(self, told: dict[str, Any]) -> None:
        self.version += 1
        blank: dict[str, Any] = {
            "site": "a",
            "class": "m",
            "health": "Ready",
            "share": 1.0,
            "born_ms": 0,
            "block": 0,
        }
        entry = blank | self.hosts.get(told["host"], {}) | told
        self.hosts[told["host"]] = entry
        self.history.append((self.version, entry))
        self.records.write(Change(entry["host"], entry["health"], entry["born_ms"], now_us()))

    def _wake(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    def _listed(self) -> list[dict[str, Any]]:
        return [entry for entry in self.hosts.values() if entry["health"] != "Gone"]

    async def handle(self, relay: int, connection: Connection) -> None:
        """One call of a relay's."""
        target = (await connection.line()).split(b" ")[1].decode()
        while (await connection.line()).strip():
            pass
        await anyio.sleep(self.delay_s)
        if self.down:
            await connection.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        elif "follow=1" in target:
            await self._follow(relay, connection, int(target.rpartition("since=")[2] or 0))
        else:
            body = self._body(self.version, True, self._listed())
            await connection.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            self._told(relay, self._listed())

    async def _follow(self, relay: int, connection: Connection, since: int) -> None:
        opened = now_us()
        await connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        told, first = self.version, True
        changes = [entry for version, entry in self.history if version > since]
        whole = not 0 < since <= told
        entries = self._listed() if whole else changes
        while True:
            if first or entries:
                await self._chunk(connection, self._body(told, whole and first, entries))
                self._told(relay, entries)
            else:
                await self._chunk(connection, b"")
            first = False
            with anyio.move_on_after(BEAT_S):
                await self.changed.wait()
            while self.silent_since > opened:
                await anyio.sleep(0.05)
            if self.down:
                connection.close(reset=True)
                return
            entries = [entry for version, entry in self.history if version > told]
            told = self.version

    def _body(self, version: int, whole: bool, entries: list[dict[str, Any]]) -> bytes:
        option = orjson.OPT_INDENT_2 if self.indented else 0
        return orjson.dumps({"seq": version, "whole": whole, "hosts": entries}, option=option)

    def _told(self, relay: int, entries: list[dict[str, Any]]) -> None:
        at = now_us()
        for entry in entries:
            self.records.write(Told(relay, entry["host"], entry["health"], entry["born_ms"], at))

    @staticmethod
    async def _chunk(connection: Connection, body: bytes) -> None:
        await connection.write(b"%x\r\n%s\n\r\n" % (len(body) + 1, body))


def main(folder: str, relays: str) -> None:
    """Run until standard input ends."""

    async def run(records: RecordFile, tasks: anyio.abc.TaskGroup) -> None:
        discovery, ports = Discovery(records), []
        for relay in range(int(relays)):
            socks = [standin.listener() for _ in range(ADDRESSES)]
            ports.append([sock.getsockname()[1] for sock in socks])
            for sock in socks:
                tasks.start_soon(standin.serve, sock, partial(discovery.handle, relay))
        standin.say(ports=ports)
        await standin.commands(discovery.command)

    standin.run_process("discovery", folder, run)


if __name__ == "__main__":
    main(*sys.argv[1:])
