"""The parts shared by all stand-in processes of a soak: line connections, commands on standard input, and a
measurement of event loop delays.

The stand-ins use none of the relay's drivers, so that a fault in a driver can't hide itself on both sides.
"""

from __future__ import annotations

import os
import socket
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import orjson

from gannetweir.lab.soak.records import LoopDelay, RecordFile, now_us

LOOP_INTERVAL_S = 0.01  # the event loop's delay is measured once in this interval
LOOP_DELAY_THRESHOLD_US = 20_000  # shorter delays are not recorded
MAX_READING_SPAN_US = 1_000  # two clock readings that are at most this far apart count as simultaneous
# Fields of Linux's struct tcp_info. For a listener tcpi_unacked is the length of the accept queue.
_TCPI_UNACKED = slice(24, 28)  # segments
_TCPI_LAST_DATA_RECV = slice(52, 56)  # milliseconds since the last data arrived
_LINGER_RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"  # struct linger: l_onoff 1, l_linger 0 s


class ConnectionEndedError(Exception):
    """The peer has closed the connection, or reset the connection if `reset`."""

    def __init__(self, reset: bool) -> None:
        super().__init__()
        self.reset = reset


class Connection:
    """A non-blocking socket that is read by lines or in pieces."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock, self.buffer, self.closed = sock, b"", False

    async def read(self) -> bytes:
        """Return the next data. Raises `ConnectionEndedError` at the end of the connection."""
        while True:
            if self.closed:
                raise ConnectionEndedError(True)
            try:
                data = self.sock.recv(65536)
            except BlockingIOError:
                await self._wait_readable()
                continue
            except OSError:
                raise ConnectionEndedError(True) from None
            if not data:
                raise ConnectionEndedError(False)
            return data

    def received_us(self) -> int:
        """Return when the kernel received the last data, which may have been read much later. The kernel
        counts in ticks of 4 ms, so the time is accurate to two ticks (8 ms).
        """
        while True:
            asked_us = now_us()
            age_ms = self._tcp_info(_TCPI_LAST_DATA_RECV)
            # A longer span means that this process had no processor between the two readings.
            if now_us() - asked_us < MAX_READING_SPAN_US:
                return asked_us - age_ms * 1000

    def has_unacknowledged_data(self) -> bool:
        """Return whether sent data is not acknowledged by the peer's kernel, as with a full accept queue."""
        return not self.closed and self._tcp_info(_TCPI_UNACKED) > 0

    def _tcp_info(self, part: slice) -> int:
        return _tcp_info(self.sock, part)

    async def _wait_readable(self) -> None:
        try:
            await anyio.wait_readable(self.sock)
        except (OSError, ValueError, anyio.ClosedResourceError):
            raise ConnectionEndedError(True) from None

    async def read_line(self) -> bytes:
        """Return the next line with its line end. Raises `ConnectionEndedError` if there is none."""
        while b"\n" not in self.buffer:
            self.buffer += await self.read()
        line, end, self.buffer = self.buffer.partition(b"\n")
        return line + end

    async def write(self, data: bytes) -> None:
        """Write all data. Raises `ConnectionEndedError` if the connection was reset or is closed."""
        while data:
            if self.closed:
                raise ConnectionEndedError(True)
            try:
                data = data[self.sock.send(data) :]
            except BlockingIOError:
                try:
                    await anyio.wait_writable(self.sock)
                except (OSError, ValueError, anyio.ClosedResourceError):
                    raise ConnectionEndedError(True) from None
            except OSError:
                raise ConnectionEndedError(True) from None

    def finish_writing(self) -> None:
        """Shut down the sending direction."""
        if self.closed:
            return
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            return

    def close(self, reset: bool = False) -> None:
        """Close the connection, with a reset if `reset`."""
        if self.closed:
            return
        self.closed = True
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        anyio.notify_closing(self.sock)
        self.sock.close()


def _tcp_info(sock: socket.socket, part: slice) -> int:
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, part.stop)
    return int.from_bytes(info[part], sys.byteorder)


def accept_queue_length(listening: socket.socket) -> int:
    """Return the number of connections in the accept queue of a listener."""
    return _tcp_info(listening, _TCPI_UNACKED)


def listener(port: int = 0) -> socket.socket:
    """Return a listener on loopback; port 0 lets the kernel choose."""
    sock = socket.create_server(("127.0.0.1", port), backlog=512)
    sock.setblocking(False)
    return sock


def _raise_if_failed(sock: socket.socket) -> None:
    if code := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        raise OSError(code, os.strerror(code))


async def connect(port: int, timeout_s: float = 2.0) -> Connection:
    """Connect to a port on loopback. Raises `OSError`, and `TimeoutError` after `timeout_s`."""
    sock = socket.socket()
    sock.setblocking(False)
    try:
        with anyio.fail_after(timeout_s):
            if sock.connect_ex(("127.0.0.1", port)):
                await anyio.wait_writable(sock)
                _raise_if_failed(sock)
    except BaseException:
        sock.close()
        raise
    return Connection(sock)


async def serve(sock: socket.socket, handle: Callable[[Connection], Awaitable[None]]) -> None:
    """Accept connections until cancelled. Each gets a task with `handle`, and is closed afterwards."""

    async def handle_and_close(connection: Connection) -> None:
        try:
            await handle(connection)
        except ConnectionEndedError:
            pass
        finally:
            connection.close()

    try:
        async with anyio.create_task_group() as tasks:
            while True:
                try:
                    accepted, _ = sock.accept()
                except BlockingIOError:
                    await anyio.wait_readable(sock)
                    continue
                except OSError:
                    await anyio.sleep(0.001)
                    continue
                tasks.start_soon(handle_and_close, Connection(accepted))
    finally:
        sock.close()


async def serve_commands(handle_command: Callable[[dict[str, Any]], Awaitable[None]]) -> None:
    """Read commands from standard input, one JSON line each, until end of file."""
    number, buffer = sys.stdin.fileno(), b""
    os.set_blocking(number, False)
    while True:
        try:
            data = os.read(number, 65536)
        except BlockingIOError:
            await anyio.wait_readable(number)
            continue
        if not data:
            return
        *lines, buffer = (buffer + data).split(b"\n")
        for line in lines:
            await handle_command(orjson.loads(line))


async def record_loop_delays(name: str, records: RecordFile) -> None:
    """Record the delays of this process's event loop that exceed the threshold."""
    while True:
        started_us = now_us()
        await anyio.sleep(LOOP_INTERVAL_S)
        delay_us = now_us() - started_us - int(LOOP_INTERVAL_S * 1e6)
        if delay_us > LOOP_DELAY_THRESHOLD_US:
            records.write(LoopDelay(name, now_us(), delay_us))


def run_process(
    name: str, folder: str, main: Callable[[RecordFile, anyio.abc.TaskGroup], Awaitable[None]]
) -> None:
    """Run a stand-in until `main` returns, which is at the end of standard input."""

    async def run() -> None:
        records = RecordFile(Path(folder) / f"{name}.jsonl")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(record_loop_delays, name, records)
            await main(records, tasks)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def report_started(**values: object) -> None:
    """Report to the soak, once, on standard output that the process has started, with its ports."""
    print(orjson.dumps(values).decode(), flush=True)
