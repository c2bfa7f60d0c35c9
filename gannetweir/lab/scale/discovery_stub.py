"""A stand-in discovery for many watches, in its own process: snapshots, deltas and heartbeats.

It serves the chunked HTTP watch of relays. Data for all watches is encoded once, and data that is pending for
slow watches is kept as references: a snapshot of 200 KB for 1,500 relays must not be copied 1,500 times.

python -m gannetweir.lab.scale.discovery_stub HOST:PORT [HOST:PORT ...]
"""

from __future__ import annotations

import re
import socket
import sys
from collections import Counter, deque
from contextlib import suppress
from typing import Any

import anyio
import anyio.abc
import orjson

from gannetweir.config import SocketAddress, parse_socket_address
from gannetweir.lab.scale.link import answer_calls
from gannetweir.lab.scale.messages import (
    AskServed,
    Done,
    Message,
    Publish,
    Served,
    ServerMode,
    SetMembership,
    SetMode,
)
from gannetweir.net.sockets import accept_connection, set_nonblocking_nodelay
from gannetweir.proto.control_calls import chunk

HEARTBEAT_S = 2.0
# Heartbeats are spread over the interval: each slot has the watches that connected during its turn.
HEARTBEAT_SLOTS = 20
TRICKLE_S = 1.0  # interval between two bytes
SLOW_S, SLOW_BYTES = 0.1, 1000  # 10 KB per second
BACKLOG = 4096
MAX_REQUEST_BYTES = 16384
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
_SINCE = re.compile(rb"[?&]since=(\d+)")


HEARTBEAT = chunk(b"\n")  # an empty line


class Membership:
    """The current list, its version, and the changes since this process got the list."""

    def __init__(self) -> None:
        self.version = self.oldest = 0
        self.members: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self._snapshot = (0, b"")

    def replace(self, version: int, members: list[dict[str, Any]]) -> None:
        """Replace the list; earlier versions are unknown from then on."""
        self.version = self.oldest = version
        self.members = {member["host"]: member for member in members}
        self.changes = []

    def publish(self, version: int, member: dict[str, Any]) -> bytes:
        """Apply a change and return the chunk for watches."""
        self.version = version
        self.members[member["host"]] = member
        self.changes.append((version, member))
        return self._chunk(False, [member])

    def since(self, version: int) -> tuple[bytes, bool]:
        """Return the first chunk for a watch that has this version, and whether the chunk is a snapshot."""
        if 0 < self.oldest <= version <= self.version:
            latest = {member["host"]: member for at, member in self.changes if at > version}
            return self._chunk(False, list(latest.values())), False
        if self._snapshot[0] != self.version:
            self._snapshot = self.version, self._chunk(True, list(self.members.values()))
        return self._snapshot[1], True

    def _chunk(self, is_snapshot: bool, members: list[dict[str, Any]]) -> bytes:
        update = {"seq": self.version, "whole": is_snapshot, "hosts": members}
        return chunk(orjson.dumps(update, option=orjson.OPT_APPEND_NEWLINE))


class Watch:
    """The connection of one watch, and the data that is pending on it."""

    def __init__(self, sock: socket.socket, local: str = "") -> None:
        self.sock, self.local = sock, local  # `local` is the server's address on this connection
        self.pending: deque[memoryview] = deque()
        self.awaits_writable = self.closed = False

    def send_pending(self, limit: int | None = None) -> int:
        """Send what the kernel accepts, at most `limit` bytes, and return the number of bytes sent."""
        total = 0
        while self.pending and not self.closed and limit != total:
            part = self.pending[0] if limit is None else self.pending[0][: limit - total]
            try:
                sent = self.sock.send(part)
            except BlockingIOError:
                break
            except OSError:
                self.closed = True
                break
            total += sent
            if sent == len(self.pending[0]):
                self.pending.popleft()
            else:
                self.pending[0] = self.pending[0][sent:]
        return total


class DiscoveryStub:
    """Serves watches, with faults that the parent switches on."""

    def __init__(self, tasks: anyio.abc.TaskGroup, listen: list[SocketAddress]) -> None:
        self.tasks, self.membership, self.mode = tasks, Membership(), ServerMode.NORMAL
        self.slots: list[dict[Watch, None]] = [{} for _ in range(HEARTBEAT_SLOTS)]
        self.slot = 0
        self.sent: Counter[str] = Counter()
        self.snapshots = 0
        self.listeners = [self._listen(at) for at in listen]

    @staticmethod
    def _listen(at: SocketAddress) -> socket.socket:
        listener = socket.create_server((at.host, at.port), backlog=BACKLOG)
        listener.setblocking(False)
        return listener

    async def handle(self, message: Message) -> Message:
        """Execute a command and return its answer. Raises `ValueError` for an unknown command."""
        if isinstance(message, SetMembership):
            self.membership.replace(message.version, message.members)
            for listener in self.listeners:
                self.tasks.start_soon(self._accept, listener)
        elif isinstance(message, Publish):
            update = self.membership.publish(message.version, message.member)
            for watch in self._watches():
                self._send(watch, update)
        elif isinstance(message, SetMode):
            self.mode = ServerMode(message.mode)
            for watch in self._watches():
                self._send_pending(watch)
        elif isinstance(message, AskServed):
            return Served(len(self._watches()), self.snapshots, dict(self.sent))
        else:
            raise ValueError(f"discovery got an unknown command: {type(message).__name__}")
        return Done()

    def _watches(self) -> list[Watch]:
        return [watch for slot in self.slots for watch in slot]

    async def _accept(self, listener: socket.socket) -> None:
        while True:
            sock = await accept_connection(listener)
            set_nonblocking_nodelay(sock)
            self.tasks.start_soon(self._serve, sock)

    async def _serve(self, sock: socket.socket) -> None:
        slot = self.slots[self.slot]
        watch = Watch(sock, str(sock.getsockname()[0]))
        try:
            with suppress(OSError):
                request = await self._request(sock)
                if request is None:
                    return
                since = _SINCE.search(request)
                first, is_snapshot = self.membership.since(int(since[1]) if since else 0)
                self.snapshots += is_snapshot
                slot[watch] = None
                self._send(watch, HEAD)
                self._send(watch, first)
                await self._until_closed(sock)
        finally:
            slot.pop(watch, None)
            watch.closed = True
            anyio.notify_closing(sock)
            sock.close()

    @staticmethod
    async def _request(sock: socket.socket) -> bytes | None:
        data = b""
        while b"\r\n\r\n" not in data:
            await anyio.wait_readable(sock)
            more = sock.recv(4096)
            data += more
            if not more or len(data) > MAX_REQUEST_BYTES:
                return None
        return data

    @staticmethod
    async def _until_closed(sock: socket.socket) -> None:
        while True:
            await anyio.wait_readable(sock)
            if not sock.recv(4096):
                return

    def _send(self, watch: Watch, data: bytes) -> None:
        watch.pending.append(memoryview(data))
        self._send_pending(watch)

    def _send_pending(self, watch: Watch) -> None:
        if self.mode is not ServerMode.NORMAL or watch.awaits_writable:
            return
        self.sent[watch.local] += watch.send_pending()
        if watch.pending and not watch.closed:
            watch.awaits_writable = True
            self.tasks.start_soon(self._send_rest, watch)

    async def _send_rest(self, watch: Watch) -> None:
        with suppress(OSError, anyio.ClosedResourceError):
            await anyio.wait_writable(watch.sock)
        watch.awaits_writable = False
        self._send_pending(watch)

    async def send_heartbeats(self) -> None:
        """Send each watch a heartbeat every `HEARTBEAT_S`, regardless of other data."""
        while True:
            await anyio.sleep(HEARTBEAT_S / HEARTBEAT_SLOTS)
            self.slot = (self.slot + 1) % HEARTBEAT_SLOTS
            for watch in list(self.slots[self.slot]):
                self._send(watch, HEARTBEAT)

    async def send_limited(self, mode: ServerMode, interval_s: float, limit: int) -> None:
        """While the server is in `mode`, send each watch up to `limit` bytes per `interval_s`."""
        while True:
            await anyio.sleep(interval_s)
            if self.mode is mode:
                for watch in self._watches():
                    self.sent[watch.local] += watch.send_pending(limit)


async def run(listen: list[SocketAddress]) -> None:
    """Serve until the parent is gone."""
    async with anyio.create_task_group() as tasks:
        stub = DiscoveryStub(tasks, listen)
        tasks.start_soon(stub.send_heartbeats)
        tasks.start_soon(stub.send_limited, ServerMode.TRICKLE, TRICKLE_S, 1)
        tasks.start_soon(stub.send_limited, ServerMode.SLOW, SLOW_S, SLOW_BYTES)
        await answer_calls(stub.handle)
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(run, [parse_socket_address(text, "listen") for text in sys.argv[1:]])
