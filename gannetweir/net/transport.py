"""One TCP connection: what was read goes to its owner, what can't be written yet waits, within bounds."""

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

# Starts a task of the relay; a fault in it ends that task alone.
Spawn = Callable[[Callable[[], Awaitable[object]]], None]
# Of what a close that can't wait still has to send: a shortage of buffers passes within a few calls.
FINAL_SEND_ATTEMPTS = 8
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class DescriptorCount:
    """Counts the descriptors that clients and attempts hold. `on_change` is called with each new count."""

    def __init__(self, on_change: Callable[[int], None] | None = None) -> None:
        self.open, self.on_change = 0, on_change
        self.peak = 0  # the most at once, so far

    def add(self, count: int) -> None:
        """So many more, or fewer."""
        self.open += count
        self.peak = max(self.peak, self.open)
        if self.on_change is not None:
            self.on_change(self.open)


class Transport:
    """One connected or connecting socket: reads, buffered writes, and the ways to end.

    Owns the socket: its descriptor is counted from here until `close`, `close_now` or `abort`. One task
    reads; writes never wait, and what the kernel does not accept at once is sent by a task of the transport's
    own.
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
        self.flushing = False  # a task sends `unsent`
        self.finishing = False  # nothing more is written; the write side is shut down once `unsent` is sent
        self.closed = False
        self.hit_shortage = False  # the last read failed for want of memory or buffers
        self.reads_without_waiting = 0  # in a row
        self.yields_before_read = False  # the next read lets every other task run before it
        self.unsent_shrank = anyio.Event()

    async def read(self) -> bytes:
        """What came next; empty at its end. Raises `OSError` if the connection broke or was closed here.
        Cancelling loses no bytes.
        """
        if self.yields_before_read:
            # before the read, not after it: bytes read before a pause could be overtaken by `read_nowait`
            self.yields_before_read = False
            await anyio.lowlevel.checkpoint()
        while (data := self.read_nowait()) is None:
            self.reads_without_waiting = 0
            await self._wait_readable()
        self.reads_without_waiting += 1
        is_full_read = len(data) == self.limits.max_read_bytes
        if is_full_read or self.reads_without_waiting > self.limits.max_consecutive_reads:
            # a peer that sends without a pause always has more: the others get their turn all the same
            self.reads_without_waiting = 0
            self.yields_before_read = True
        return data

    def read_nowait(self) -> bytes | None:
        """What has come by now, at most `Limits.max_read_bytes`: None if nothing, empty at its end. Raises
        `OSError` if the connection broke or was closed here.
        """
        if self.closed:
            raise OSError(errno.EBADF, "closed here")
        try:
            return self.sock.recv(self.limits.max_read_bytes)
        except (BlockingIOError, InterruptedError):
            return None
        except OSError as error:
            if not is_shortage(error):
                raise
            self.hit_shortage = True  # the connection stands: the read is made again
            return None

    async def discard(self, discard_buffer: bytearray) -> int:
        """Read what came next into a buffer that nobody reads; 0 at the end. A close over unread bytes would
        be a reset, which can cost the peer the answer that was written before. Raises as `read`.
        """
        while True:
            if self.closed:
                raise OSError(errno.EBADF, "closed here")
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
            raise OSError(errno.EBADF, "closed here") from None

    def close_now(self, discard_buffer: bytearray) -> None:
        """End in good order and give the descriptor back at once. What has come by now is read: a close over
        unread bytes is a reset. A last answer that could not be sent is tried some times more.
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
        """What has come by now, if anything; a connection that broke has nothing."""
        with contextlib.suppress(OSError):
            return self.read_nowait() or b""
        return b""

    def has_unread_input(self) -> bool:
        """Whether the peer has sent something that was not read yet, or has ended."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True

    def write(self, data: bytes) -> None:
        """Send at once what the kernel accepts, and buffer the rest. A broken connection shows in `read`."""
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
        """Send what is buffered, until all is sent or the connection breaks or is closed."""
        try:
            while self.unsent and not self.closed:
                await wait_writable(self.sock)
                if self.closed:
                    break
                try:
                    del self.unsent[: self.sock.send(self.unsent)]
                except BlockingIOError:
                    continue  # woken for nothing: the rest waits on
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
        self.unsent_shrank.set()
        self.unsent_shrank = anyio.Event()

    async def wait_drained(self) -> None:
        """Back-pressure: returns once at most `Limits.max_buffered_bytes` are unsent, or it was closed."""
        while len(self.unsent) > self.limits.max_buffered_bytes and not self.closed:
            await self.unsent_shrank.wait()

    def finish(self) -> None:
        """Write nothing more; the peer sees the end once all is sent."""
        self.finishing = True
        if not self.unsent:
            self._shutdown_writes()

    def _shutdown_writes(self) -> None:
        if not self.closed:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)

    def abort(self) -> None:
        """Break the connection, so that the peer sees a reset."""
        if not self.closed:
            with contextlib.suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.close()

    def close(self) -> None:
        """Give the descriptor back now; whoever waits on it is woken first. A second call does nothing."""
        if not self.closed:
            self.closed = True
            if self.descriptor_count is not None:
                self.descriptor_count.add(-1)
            anyio.notify_closing(self.sock)
            with contextlib.suppress(OSError):  # the descriptor is given back whatever close(2) says
                self.sock.close()
            self._wake_writers()
