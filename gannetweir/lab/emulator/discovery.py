"""An emulated discovery service on real sockets: snapshots, and watches with updates and heartbeats."""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import Any

import anyio
import anyio.abc
import orjson

from gannetweir.lab.emulator.backend import spawn_in
from gannetweir.limits import Limits
from gannetweir.net.sockets import accept_connection, set_nonblocking_nodelay
from gannetweir.net.transport import Transport

MAX_REQUEST_BYTES = 16_384


class EmulatedDiscovery:
    """Owns the endpoint list. `change` updates every watch. Each request is answered after a delay."""

    def __init__(self, delay_s: float = 0.02, heartbeat_s: float = 2.0) -> None:
        self.version, self.hosts = 1, dict[str, dict[str, Any]]()
        self.delay_s, self.heartbeat_s = delay_s, heartbeat_s
        self.is_down = False
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.port = int(self.listener.getsockname()[1])
        self.watches: set[anyio.Event] = set()
        self.history: list[tuple[int, dict[str, Any]]] = []

    def change(self, host: str, **fields: Any) -> None:
        """Add an entry or change some of its fields, and update the watches."""
        self.version += 1
        entry = {"host": host, "site": "a", "class": "m", "health": "Ready", "share": 1.0, "born_ms": 0}
        self.hosts[host] = entry | self.hosts.get(host, {}) | fields
        self.history.append((self.version, self.hosts[host]))
        for event in list(self.watches):
            event.set()

    def snapshot(self) -> dict[str, Any]:
        """Return the endpoint list as sent to a caller, and as given to a relay at its start."""
        return {"seq": self.version, "whole": True, "hosts": list(self.hosts.values())}

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            try:
                while True:
                    sock = await accept_connection(self.listener)
                    set_nonblocking_nodelay(sock)
                    caller = Transport(sock, Limits(), spawn_in(tasks))
                    tasks.start_soon(self._serve, caller)
            finally:
                self.listener.close()

    async def _serve(self, caller: Transport) -> None:
        try:
            with suppress(OSError):
                await self._answer(caller)
        finally:
            caller.close()

    async def _answer(self, caller: Transport) -> None:
        data = b""
        while b"\r\n\r\n" not in data:
            received = await caller.read()
            if not received or len(data) > MAX_REQUEST_BYTES:
                return
            data += received
        target = data.split(b" ", 2)[1].decode("ascii", "replace")
        await anyio.sleep(self.delay_s)
        if self.is_down:
            caller.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            return
        if "follow=1" in target:
            await self._serve_watch(caller, target)
            return
        body = orjson.dumps(self.snapshot())
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        caller.write(head.encode() + body)
        await caller.wait_drained()

    async def _serve_watch(self, caller: Transport, target: str) -> None:
        since = int(target.rpartition("since=")[2] or 0)
        caller.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        event = anyio.Event()
        self.watches.add(event)
        try:
            sent_version = self.version
            newer = [entry for version, entry in self.history if version > since]
            initial = (
                {"seq": sent_version, "whole": False, "hosts": newer}
                if 0 < since <= sent_version
                else self.snapshot()
            )
            await self._write_chunk(caller, orjson.dumps(initial))
            while not self.is_down:
                with anyio.move_on_after(self.heartbeat_s) as heartbeat:
                    await event.wait()
                self.watches.discard(event)
                event = anyio.Event()
                self.watches.add(event)
                if heartbeat.cancelled_caught and sent_version == self.version:
                    await self._write_chunk(caller, b"")
                    continue
                changed = [entry for version, entry in self.history if version > sent_version]
                sent_version = self.version
                await self._write_chunk(
                    caller, orjson.dumps({"seq": sent_version, "whole": False, "hosts": changed})
                )
        finally:
            self.watches.discard(event)

    @staticmethod
    async def _write_chunk(caller: Transport, line: bytes) -> None:
        caller.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
        await caller.wait_drained()
