"""Standard error that never holds the process up: what its reader has no room for is dropped.

A pipe whose reader has stopped reading fills up, and a plain write to it would then wait without end, and
with it every client. A pipe is opened anew for this process, so that it can be non-blocking for it alone.
What else standard error may be (a file, a terminal, a socket) is asked for room before each write.
"""

from __future__ import annotations

import errno
import os
import select
import stat
import sys
from typing import Protocol, TextIO

ATOMIC_WRITE_BYTES = 4096  # PIPE_BUF: a pipe takes so much whole or not at all


class LineWriter(Protocol):
    """What a log line is written to."""

    def write(self, text: str) -> object: ...

    def flush(self) -> object: ...


class StandardError:
    """Writes to a descriptor. Raises `OSError` for what could not be written, at once."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = _reopen_non_blocking(descriptor)
        self._is_line_incomplete = False  # the last line went out in part

    def write(self, text: str) -> int:
        """Write text, whole lines as a rule."""
        return self.write_bytes(text.encode())

    def write_bytes(self, data: bytes, timeout_ms: int = 0) -> int:
        """Write bytes. `wait_ms`: how long to wait for room, in all."""
        data = b"\n" + data if self._is_line_incomplete else data
        for offset in range(0, len(data), ATOMIC_WRITE_BYTES):
            try:
                self._write_chunk(data[offset : offset + ATOMIC_WRITE_BYTES], timeout_ms)
            except OSError:
                self._is_line_incomplete = self._is_line_incomplete or offset > 0
                raise
        self._is_line_incomplete = False
        return len(data)

    def _write_chunk(self, chunk: bytes, timeout_ms: int) -> None:
        while chunk:
            if not self._is_writable(timeout_ms):
                raise BlockingIOError(errno.EAGAIN, "nobody reads standard error")
            chunk = chunk[os.write(self._descriptor, chunk) :]

    def _is_writable(self, timeout_ms: int) -> bool:
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        return bool(poll.poll(timeout_ms))

    def flush(self) -> None:
        """Nothing is kept back."""


def _reopen_non_blocking(descriptor: int) -> int:
    """The same pipe by a descriptor of its own that never waits; any other kind as it is."""
    if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
        try:
            return os.open(f"/proc/self/fd/{descriptor}", os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)
        except OSError:
            return descriptor
    return descriptor


def standard_error() -> LineWriter | TextIO:
    """This process's standard error; where the program that embeds the relay has put something else in its
    place, that.
    """
    if sys.stderr is not sys.__stderr__ or sys.stderr is None:
        return sys.stderr
    try:
        return StandardError(sys.stderr.fileno())
    except OSError:
        return sys.stderr
