"""Messages between the parent of a skeleton fleet and one of its processes: lines over a socket pair."""

from __future__ import annotations

import socket
import sys
from collections.abc import Awaitable, Callable

import anyio

from gannetweir.lab.scale.messages import Message, decode, encode

READ_BYTES = 1 << 18


class LinkError(OSError):
    """The other process has ended, or its connection failed."""


class Link:
    """One end of a socket pair. Sending and receiving raise `LinkError` if the other process is gone."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.sock, self.buffer, self.lock = sock, bytearray(), anyio.Lock()

    async def send(self, message: Message) -> None:
        """Send one complete message."""
        left = memoryview(encode(message))
        while left:
            try:
                left = left[self.sock.send(left) :]
            except BlockingIOError:
                await anyio.wait_writable(self.sock)
            except OSError as error:
                raise LinkError(str(error)) from None

    async def receive(self) -> Message:
        """Wait for the next message and return it."""
        searched = 0
        while (end := self.buffer.find(b"\n", searched)) < 0:
            searched = len(self.buffer)
            await anyio.wait_readable(self.sock)
            try:
                data = self.sock.recv(READ_BYTES)
            except BlockingIOError:
                continue
            except OSError as error:
                raise LinkError(str(error)) from None
            if not data:
                raise LinkError("the other process has ended")
            self.buffer += data
        line = bytes(self.buffer[:end])
        del self.buffer[: end + 1]
        return decode(line)

    async def call(self, message: Message) -> Message:
        """Send a command and return its answer; concurrent calls wait for one another."""
        async with self.lock:
            await self.send(message)
            return await self.receive()

    def close(self) -> None:
        """Close the connection, upon which the other process ends."""
        self.sock.close()


async def answer_calls(handle: Callable[[Message], Awaitable[Message]]) -> None:
    """Answer the parent's commands until the parent is gone.

    Runs in a child process, whose standard input is its end of the link.
    """
    link = Link(socket.socket(fileno=sys.stdin.fileno()))
    try:
        while True:
            await link.send(await handle(await link.receive()))
    except LinkError:
        return
