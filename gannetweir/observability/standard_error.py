"""Standard error that never blocks the process: lines that the reader does not read in time are dropped.

A pipe fills up when its reader stops reading. A blocking write would then hold up the process, and with it
every client. A pipe is therefore reopened in non-blocking mode, which affects this process alone. Any other
kind of file (a regular file, a terminal, a socket) is polled before each write.
"""

from __future__ import annotations

import errno
import os
import select
import stat
import sys
from typing import Protocol, TextIO

ATOMIC_WRITE_BYTES = 4096  # Linux's PIPE_BUF: a write of at most this size to a pipe is atomic


class LineWriter(Protocol):
    """The interface of a file to which a log or a trace writes its lines."""

    def write(self, text: str) -> object:
        """Write text. Raises `OSError` if the text can't be written."""

    def flush(self) -> object:
        """Write buffered text."""


class StandardError:
    """Writes to a descriptor at once, or raises `OSError`. Does not own the descriptor."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = _reopen_non_blocking(descriptor)
        self._is_line_incomplete = False  # the last line was written only in part

    def write(self, text: str) -> int:
        """Write text, usually complete lines, without waiting. Raises `OSError` if it can't be written."""
        return self.write_bytes(text.encode())

    def write_bytes(self, data: bytes, timeout_ms: int = 0) -> int:
        """Write bytes; wait up to `timeout_ms` before each write until the descriptor is writable.

        A line that was written in part is ended first. Raises `OSError`, in particular `BlockingIOError` if
        the reader does not read in time.
        """
        if self._is_line_incomplete:
            data = b"\n" + data
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
                raise BlockingIOError(errno.EAGAIN, f"standard error not writable within {timeout_ms} ms")
            written_bytes = os.write(self._descriptor, chunk)
            chunk = chunk[written_bytes:]

    def _is_writable(self, timeout_ms: int) -> bool:
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        return bool(poll.poll(timeout_ms))

    def flush(self) -> None:
        """Do nothing: there is no buffer."""


def _reopen_non_blocking(descriptor: int) -> int:
    """Return a non-blocking descriptor of the same pipe; the descriptor itself if it is no pipe."""
    if not stat.S_ISFIFO(os.fstat(descriptor).st_mode):
        return descriptor
    try:
        return os.open(f"/proc/self/fd/{descriptor}", os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except OSError:
        return descriptor


def standard_error() -> LineWriter | TextIO:
    """Return the standard error of this process, or its replacement by a program that embeds the relay."""
    if sys.stderr is not sys.__stderr__ or sys.stderr is None:
        return sys.stderr
    try:
        return StandardError(sys.stderr.fileno())
    except OSError:
        return sys.stderr
