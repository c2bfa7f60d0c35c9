"""A stand-in discovery service with ports for each relay.

Run as: python -m gannetweir.lab.soak.discovery FOLDER RELAYS

Each relay has two ports, so that a reload can change its address of discovery. All states that are sent to a
relay are recorded.
"""

from __future__ import annotations

import sys
from functools import partial
from typing import Any

import anyio
import anyio.abc
import orjson

from gannetweir.lab.soak import stand_in
from gannetweir.lab.soak.records import MembershipChange, RecordFile, WatchEventSent, now_us
from gannetweir.lab.soak.stand_in import Connection

HEARTBEAT_INTERVAL_S = 2.0
ADDRESSES_PER_RELAY = 2


class Discovery:
    """Serves the endpoint list and its changes, with the faults down, silent, slow and indented."""

    def __init__(self, records: RecordFile) -> None:
        self.records = records
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.history: list[tuple[int, dict[str, Any]]] = []
        self.changed = anyio.Event()
        self.is_down = self.is_indented = False
        # Watches that were opened before this time send nothing; 0 if no watch is silent.
        self.silent_since = 0
        self.delay_s = 0.0

    async def handle_command(self, command: dict[str, Any]) -> None:
        """Change an entry, or switch a fault on or off."""
        if "host" in command:
            self._change_entry(command)
        self.is_down = command.get("down", self.is_down)
        self.is_indented = command.get("indented", self.is_indented)
        self.delay_s = command.get("delay_s", self.delay_s)
        if "silent" in command:
            self.silent_since = now_us() if command["silent"] else 0
        self._wake_watches()

    def _change_entry(self, command: dict[str, Any]) -> None:
        self.version += 1
        defaults: dict[str, Any] = {
            "site": "a",
            "class": "m",
            "health": "Ready",
            "share": 1.0,
            "born_ms": 0,
            "block": 0,
        }
        entry = defaults | self.entries.get(command["host"], {}) | command
        self.entries[command["host"]] = entry
        self.history.append((self.version, entry))
        self.records.write(MembershipChange(entry["host"], entry["health"], entry["born_ms"], now_us()))

    def _wake_watches(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    def _listed_entries(self) -> list[dict[str, Any]]:
        return [entry for entry in self.entries.values() if entry["health"] != "Gone"]

    async def handle(self, relay: int, connection: Connection) -> None:
        """Serve an HTTP request of a relay: a poll or a watch."""
        target = (await connection.read_line()).split(b" ")[1].decode()
        while (await connection.read_line()).strip():
            pass
        await anyio.sleep(self.delay_s)
        if self.is_down:
            await connection.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        elif "follow=1" in target:
            await self._serve_watch(relay, connection, int(target.rpartition("since=")[2] or 0))
        else:
            body = self._encode(self.version, True, self._listed_entries())
            await connection.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            self._record_sent(relay, self._listed_entries())

    async def _serve_watch(self, relay: int, connection: Connection, since: int) -> None:
        opened_us = now_us()
        await connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        sent_version, is_first = self.version, True
        changes = [entry for version, entry in self.history if version > since]
        is_complete = not 0 < since <= sent_version
        entries = self._listed_entries() if is_complete else changes
        while True:
            if is_first or entries:
                body = self._encode(sent_version, is_complete and is_first, entries)
                await self._write_chunk(connection, body)
                self._record_sent(relay, entries)
            else:
                await self._write_chunk(connection, b"")
            is_first = False
            with anyio.move_on_after(HEARTBEAT_INTERVAL_S):
                await self.changed.wait()
            while self.silent_since > opened_us:
                await anyio.sleep(0.05)
            if self.is_down:
                connection.close(reset=True)
                return
            entries = [entry for version, entry in self.history if version > sent_version]
            sent_version = self.version

    def _encode(self, version: int, is_complete: bool, entries: list[dict[str, Any]]) -> bytes:
        option = orjson.OPT_INDENT_2 if self.is_indented else 0
        return orjson.dumps({"seq": version, "whole": is_complete, "hosts": entries}, option=option)

    def _record_sent(self, relay: int, entries: list[dict[str, Any]]) -> None:
        sent_us = now_us()
        for entry in entries:
            self.records.write(
                WatchEventSent(relay, entry["host"], entry["health"], entry["born_ms"], sent_us)
            )

    @staticmethod
    async def _write_chunk(connection: Connection, body: bytes) -> None:
        await connection.write(b"%x\r\n%s\n\r\n" % (len(body) + 1, body))


def main(folder: str, relays: str) -> None:
    """Run discovery until standard input ends."""

    async def run(records: RecordFile, tasks: anyio.abc.TaskGroup) -> None:
        discovery, ports = Discovery(records), []
        for relay in range(int(relays)):
            socks = [stand_in.listener() for _ in range(ADDRESSES_PER_RELAY)]
            ports.append([sock.getsockname()[1] for sock in socks])
            for sock in socks:
                tasks.start_soon(stand_in.serve, sock, partial(discovery.handle, relay))
        stand_in.report_started(ports=ports)
        await stand_in.serve_commands(discovery.handle_command)

    stand_in.run_process("discovery", folder, run)


if __name__ == "__main__":
    main(*sys.argv[1:])
