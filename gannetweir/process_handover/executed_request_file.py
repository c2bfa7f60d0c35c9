"""The requests that the processes of one relay have executed: a file in the shared folder.

The file is a table of sets. A request's id selects its set, and each set holds the latest executions of its
requests, so the file does not grow and a lookup reads a few bytes. A record is the id as a 64-bit number, and
the time on the machine's monotonic clock in microseconds, both little-endian; the time 0 marks a free record.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import struct
import time
from collections.abc import Iterator
from pathlib import Path

_SET_COUNT = 1024
_RECORDS_PER_SET = 8
_RECORD = struct.Struct("<QQ")
_SET_BYTES = _RECORDS_PER_SET * _RECORD.size
_HEXADECIMAL = 16
# The lock is held for a few system calls. A stopped process may hold it indefinitely and must not block this
# one, which then records without the lock.
_LOCK_ATTEMPTS = 5
_LOCK_RETRY_S = 0.001


class ExecutedRequestFile:
    """Implements `core.executed_requests.SharedExecutions` for the processes that share a folder.

    The file is opened for each call, so it takes no descriptor between the calls.
    """

    def __init__(self, folder: Path, stem: str) -> None:
        """`stem` is the common stem of this relay's file names."""
        self.path = folder / f"{stem}.executed"

    def started_us(self, client_request_id: str) -> int | None:
        """Return when the execution of the request began, or None if none is recorded or can be read."""
        with contextlib.suppress(OSError), self._opened(os.O_RDONLY) as descriptor:
            return _RequestSet(descriptor, client_request_id).started_us()
        return None

    def record(self, client_request_id: str, now_us: int) -> int | None:
        """Record an execution that begins now, unless one is recorded; return when that one began."""
        with contextlib.suppress(OSError), self._opened(os.O_RDWR | os.O_CREAT) as descriptor:
            _lock(descriptor)
            request_set = _RequestSet(descriptor, client_request_id)
            started_us = request_set.started_us()
            if started_us is None:
                request_set.replace_oldest(now_us)
            return started_us
        return None

    def remove(self, client_request_id: str) -> None:
        """Remove the record of an execution that did not take place."""
        with contextlib.suppress(OSError), self._opened(os.O_RDWR) as descriptor:
            _lock(descriptor)
            _RequestSet(descriptor, client_request_id).remove()

    @contextlib.contextmanager
    def _opened(self, flags: int) -> Iterator[int]:
        descriptor = os.open(self.path, flags | os.O_CLOEXEC, 0o600)
        try:
            yield descriptor
        finally:
            os.close(descriptor)  # also releases the lock


class _RequestSet:
    """The records of one request's set, as they are in the file at the time of the creation."""

    def __init__(self, descriptor: int, client_request_id: str) -> None:
        self.descriptor = descriptor
        self.number = int(client_request_id, _HEXADECIMAL)
        self.offset = self.number % _SET_COUNT * _SET_BYTES
        content = os.pread(descriptor, _SET_BYTES, self.offset)
        # The file ends behind the last set that was written.
        self.records = list(_RECORD.iter_unpack(content.ljust(_SET_BYTES, b"\0")))

    def started_us(self) -> int | None:
        """Return the time of the request's record, or None if it has none."""
        times_us = [started_us for number, started_us in self.records if started_us and number == self.number]
        return times_us[0] if times_us else None

    def replace_oldest(self, now_us: int) -> None:
        """Write a record for the request in place of the set's oldest or a free one."""
        oldest = min(range(_RECORDS_PER_SET), key=lambda index: self.records[index][1])
        self._write(oldest, self.number, now_us)

    def remove(self) -> None:
        """Free the request's record, if it has one."""
        for index, (number, started_us) in enumerate(self.records):
            if started_us and number == self.number:
                self._write(index, 0, 0)

    def _write(self, index: int, number: int, started_us: int) -> None:
        os.pwrite(self.descriptor, _RECORD.pack(number, started_us), self.offset + index * _RECORD.size)


def _lock(descriptor: int) -> None:
    for _ in range(_LOCK_ATTEMPTS):
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            time.sleep(_LOCK_RETRY_S)
        else:
            return
