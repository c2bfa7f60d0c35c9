"""A stream connection with non-blocking reads, buffered writes and back-pressure."""

from __future__ import annotations

import contextlib
import errno
import socket
import struct
from collections.abc import Awaitable, Callable

import anyio
import anyio.lowlevel

from gannetweir.limits import Limits
from gannetweir.net.errors import (
    SHORTAGE_RETRY_S,
    is_shortage,
    wait_readable,
    wait_writable,
)

# Starts a task of the relay. An exception in the task ends only that task.
Spawn = Callable[[Callable[[], Awaitable[object]]], None]
# `Transport.close_now` can't wait until the socket is writable, so it calls send(2) up to this many times for
# the unsent bytes. A shortage of buffers is over within a few calls.
FINAL_SEND_ATTEMPTS = 8
# SO_LINGER enabled with a timeout of 0: close(2) then sends a reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class DescriptorCount:
    """Counts the descriptors of clients and attempts. `on_change` is called with each new count."""

    def __init__(self, on_change: Callable[[int], None] | None = None) -> None:
        self.open, self.on_change = 0, on_change
        self.peak = 0  # maximum of `open` so far

    def add(self, count: int) -> None:
        """Add to the count; a negative number subtracts."""
        self.open += count
        self.peak = max(self.peak, self.open)
        if self.on_change is not None:
            self.on_change(self.open)


class Transport:
    """A connected or connecting socket with reads, buffered writes and several ways to close.

    Owns the socket, whose descriptor is counted until `close`, `close_now` or `abort`. Only one task may
    read. Writes never wait: a separate task sends the bytes that the kernel does not accept at once.
    """

    def __init__(
        self,
        sock: socket.socket,
        limits: Limits,
        spawn: Spawn,
        descriptor_count: DescriptorCount | None = None,
    ) -> None:
        self.sock, self.limits, self.spawn = sock, limits, spawn
        self.descriptor_count = descriptor_count
        if descriptor_count is not None:
            descriptor_count.add(1)
        self.unsent = bytearray()
        self.flushing = False  # a task is sending `unsent`
        # After `finish` writes are ignored, and the write side is shut down once `unsent` is sent.
        self.finishing = False
        self.closed = False
        self.hit_shortage = False  # the last read failed for lack of memory or buffers
        self.reads_without_waiting = 0  # consecutive reads
        self.yields_before_read = False  # the next read first lets the other tasks run
        self._unsent_shrank: anyio.Event | None = None  # exists only while a task waits for it

    async def read(self) -> bytes:
        """Wait for input and return it; empty at the end of the input.

        Raises `OSError` if the connection broke or was closed locally. Cancellation loses no bytes.
        """
        if self.yields_before_read:
            # The task yields before the read, because a `read_nowait` of another task during a yield after
            # the read would return later bytes first.
            self.yields_before_read = False
            await anyio.lowlevel.checkpoint()
        while (data := self.read_nowait()) is None:
            self.reads_without_waiting = 0
            await self._wait_readable()
        self.reads_without_waiting += 1
        is_full_read = len(data) == self.limits.max_read_bytes
        if is_full_read or self.reads_without_waiting > self.limits.max_consecutive_reads:
            # A peer that sends continuously always has more input, so the next read lets the other tasks run.
            self.reads_without_waiting = 0
            self.yields_before_read = True
        return data

    def read_nowait(self) -> bytes | None:
        """Return up to `Limits.max_read_bytes` of available input: None if there is none, empty at the end.

        Raises `OSError` if the connection broke or was closed locally.
        """
        if self.closed:
            raise OSError(errno.EBADF, "connection closed locally")
        try:
            return self.sock.recv(self.limits.max_read_bytes)
        except (BlockingIOError, InterruptedError):
            return None
        except OSError as error:
            if not is_shortage(error):
                raise
            self.hit_shortage = True  # the connection is intact, so the read is retried
            return None

    async def discard(self, discard_buffer: bytearray) -> int:
        """Wait for input, discard it and return the number of bytes; 0 at the end of the input.

        Closing a socket with unread bytes sends a reset, which can make the peer lose the answer that was
        written before. Raises `OSError` like `read`.
        """
        while True:
            if self.closed:
                raise OSError(errno.EBADF, "connection closed locally")
            try:
                count = self.sock.recv_into(discard_buffer)
            except (BlockingIOError, InterruptedError):
                await self._wait_readable()
                continue
            except OSError as error:
                if not is_shortage(error):
                    raise
                await anyio.sleep(SHORTAGE_RETRY_S)
                continue
            await anyio.lowlevel.checkpoint()
            return count

    async def _wait_readable(self) -> None:
        if self.hit_shortage:
            self.hit_shortage = False
            await anyio.sleep(SHORTAGE_RETRY_S)
            return
        try:
            await wait_readable(self.sock)
        except (anyio.ClosedResourceError, ValueError):
            raise OSError(errno.EBADF, "connection closed locally") from None

    def close_now(self, discard_buffer: bytearray) -> None:
        """Shut down the write side and close the descriptor without waiting.

        Input that has arrived is read first, because closing with unread bytes sends a reset. Unsent bytes of
        a last answer are sent with a few more calls.
        """
        for _ in range(FINAL_SEND_ATTEMPTS):
            if not self.unsent:
                break
            with contextlib.suppress(OSError):
                del self.unsent[: self.sock.send(self.unsent)]
        self.finishing = True
        self._shutdown_writes()
        with contextlib.suppress(OSError):
            self.sock.recv_into(discard_buffer)
        self.close()

    def read_available(self) -> bytes:
        """Return the available input; empty if there is none or the connection is broken."""
        with contextlib.suppress(OSError):
            return self.read_nowait() or b""
        return b""

    def has_unread_input(self) -> bool:
        """Return whether input is unread, or the peer has ended or broken the connection."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True

    def write(self, data: bytes) -> None:
        """Send the bytes that the kernel accepts and buffer the rest. Errors are raised by `read` instead."""
        if self.closed or self.finishing:
            return
        if not self.unsent:
            try:
                data = data[self.sock.send(data) :]
            except (BlockingIOError, InterruptedError):
                pass
            except OSError as error:
                if not is_shortage(error):
                    return
        self.unsent += data
        if self.unsent and not self.flushing:
            self.flushing = True
            self.spawn(self._flush)

    async def _flush(self) -> None:
        """Send the buffered bytes until all are sent or the connection breaks or is closed."""
        try:
            while self.unsent and not self.closed:
                await wait_writable(self.sock)
                if self.closed:
                    break
                try:
                    del self.unsent[: self.sock.send(self.unsent)]
                except BlockingIOError:
                    continue  # spurious wake-up
                except OSError as error:
                    if not is_shortage(error):
                        raise
                    await anyio.sleep(SHORTAGE_RETRY_S)
                if len(self.unsent) <= self.limits.max_buffered_bytes:
                    self._wake_writers()
        except (OSError, anyio.ClosedResourceError):
            self.unsent.clear()
        finally:
            self.flushing = False
            self._wake_writers()
        if self.finishing:
            self._shutdown_writes()

    def _wake_writers(self) -> None:
        if self._unsent_shrank is not None:
            self._unsent_shrank.set()
            self._unsent_shrank = None

    async def wait_drained(self) -> None:
        """Wait until at most `Limits.max_buffered_bytes` are unsent or this is closed, for back-pressure."""
        while len(self.unsent) > self.limits.max_buffered_bytes and not self.closed:
            if self._unsent_shrank is None:
                self._unsent_shrank = anyio.Event()
            await self._unsent_shrank.wait()

    def finish(self) -> None:
        """Half-close the connection once all buffered bytes are sent. Further writes are ignored."""
        self.finishing = True
        if not self.unsent:
            self._shutdown_writes()

    def _shutdown_writes(self) -> None:
        if not self.closed:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)

    def abort(self) -> None:
        """Close the connection with a reset."""
        if not self.closed:
            with contextlib.suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.close()

    def close(self) -> None:
        """Close the descriptor after waking the tasks that wait on it. A second call does nothing."""
        if not self.closed:
            self.closed = True
            if self.descriptor_count is not None:
                self.descriptor_count.add(-1)
            anyio.notify_closing(self.sock)
            with contextlib.suppress(OSError):  # close(2) releases the descriptor even if it reports an error
                self.sock.close()
            self._wake_writers()
