"""Clients of a measured relay or proxy, on the event loop of this process: open connections and lines."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

FIRST_LINE = "OPEN {n:x} {n:x} c=zone-view,d=2000,g={g:x}\r\n"
GROUPS = 200
CONCURRENT_SETUPS = 8
SETUP_TIMEOUT_S = 20.0


class Client(asyncio.Protocol):
    """A client connection; counts the lines that it receives and records the slowest answer."""

    transport: asyncio.Transport

    def __init__(self, number: int) -> None:
        self.number, self.lines, self.sent_at_s, self.slowest_s = number, 0, 0.0, 0.0
        self.established: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.on_line: Callable[[], None] = lambda: None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first line."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.write(FIRST_LINE.format(n=self.number, g=self.number % GROUPS + 1).encode())

    def data_received(self, data: bytes) -> None:
        """Take the first line received as the answer to the first line sent, and count all later lines."""
        count = data.count(b"\n")
        if not self.established.done():
            if not data.startswith(b"UP"):
                self.established.set_exception(
                    OSError(f"connection {self.number}: expected UP, got {data[:60]!r}")
                )
                return
            self.established.set_result(None)
            count -= 1
        self.lines += count
        if self.sent_at_s and count:
            self.slowest_s = max(self.slowest_s, time.monotonic() - self.sent_at_s)
            self.sent_at_s = 0.0
            self.on_line()

    def send_line(self, line: bytes = b"a line of a client's, as long as a short one\r\n") -> None:
        """Send a line that the backend returns."""
        self.sent_at_s = self.sent_at_s or time.monotonic()
        self.transport.write(line)


class ClientConnections:
    """Open client connections, set up a few at a time."""

    def __init__(self, port: int) -> None:
        self.port, self.clients = port, list[Client]()

    async def grow_to(self, count: int) -> None:
        """Open connections until `count` are open. Raises `OSError` if a connection is not served."""
        setup_slots = asyncio.Semaphore(CONCURRENT_SETUPS)

        async def open_one(number: int) -> Client:
            async with setup_slots:
                loop = asyncio.get_running_loop()
                _, client = await loop.create_connection(lambda: Client(number), "127.0.0.1", self.port)
                await asyncio.wait_for(client.established, SETUP_TIMEOUT_S)
                return client

        numbers = range(len(self.clients) + 1, count + 1)
        self.clients += await asyncio.gather(*(open_one(number) for number in numbers))

    @property
    def lines(self) -> int:
        """Number of lines received on all connections."""
        return sum(client.lines for client in self.clients)

    def close(self) -> None:
        """Abort all connections."""
        for client in self.clients:
            client.transport.abort()

    async def echo(self, per_s: float, seconds: float) -> None:
        """Send lines that the backend returns, at a constant rate, spread evenly over the connections."""
        started_s, count = time.monotonic(), int(per_s * seconds)
        for number in range(count):
            if (delay_s := started_s + number / per_s - time.monotonic()) > 0.001:
                await asyncio.sleep(delay_s)
            self.clients[number % len(self.clients)].send_line()

    async def pushed(self, per_s: float, seconds: float) -> None:
        """Let the backend send lines on its own: each connection receives an equal share of the rate."""
        interval_s = len(self.clients) / per_s
        count = max(1, int(seconds / interval_s))
        for client in self.clients:
            client.transport.write(b"PUSH %d %d\r\n" % (count, int(interval_s * 1e6)))
            await asyncio.sleep(interval_s / len(self.clients))
        await asyncio.sleep(seconds)
