"""Standard error that never blocks the process: what its reader does not read in time is dropped.

A pipe whose reader has stopped reading fills up. A plain write to it would then wait without end, and with it
every client. So a pipe is opened anew for this process, which makes it non-blocking for this process alone.
Whatever else standard error may be (a file, a terminal, a socket) is polled before each write.
"""

from __future__ import annotations

import errno
import os
import select
import stat
import sys
from typing import Protocol, TextIO

ATOMIC_WRITE_BYTES = (
    4096  # Linux's PIPE_BUF: a write of at most so much to a pipe is done whole or not at all
)


class LineWriter(Protocol):
    """What a log or a trace needs of the file that it writes lines to."""

    def write(self, text: str) -> object:
        """Write text; `OSError` if it can't be written."""

    def flush(self) -> object:
        """Write what is buffered."""


class StandardError:
    """Writes to a descriptor at once, or raises `OSError`. Owns nothing: the descriptor is the process's."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = _reopen_non_blocking(descriptor)
        self._is_line_incomplete = False  # the last line was written in part

    def write(self, text: str) -> int:
        """Write text, complete lines as a rule, without waiting. Raises `OSError` if it was not written."""
        return self.write_bytes(text.encode())

    def write_bytes(self, data: bytes, timeout_ms: int = 0) -> int:
        """Write bytes, and wait up to `timeout_ms` before each write until it is possible. A line that was
        written in part is ended first. Raises `OSError`: `BlockingIOError` if nobody reads.
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
                raise BlockingIOError(errno.EAGAIN, "nobody reads standard error")
            written_bytes = os.write(self._descriptor, chunk)
            chunk = chunk[written_bytes:]

    def _is_writable(self, timeout_ms: int) -> bool:
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        return bool(poll.poll(timeout_ms))

    def flush(self) -> None:
        """Do nothing: there is no buffer."""


def _reopen_non_blocking(descriptor: int) -> int:
    """Another descriptor of the same pipe, which never blocks; for any other kind the descriptor itself."""
    if not stat.S_ISFIFO(os.fstat(descriptor).st_mode):
        return descriptor
    try:
        return os.open(f"/proc/self/fd/{descriptor}", os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except OSError:
        return descriptor


def standard_error() -> LineWriter | TextIO:
    """The standard error of this process; or what the program that embeds the relay has replaced it by."""
    if sys.stderr is not sys.__stderr__ or sys.stderr is None:
        return sys.stderr
    try:
        return StandardError(sys.stderr.fileno())
    except OSError:
        return sys.stderr
