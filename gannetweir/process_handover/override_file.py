"""The operators' overrides on disk: one file for all processes of a relay, and for those to come.

The file is JSON: `{"out":[ID,...],"back":{ID:MICROSECONDS,...}}`, the endpoints that are offline, and when
others came back online by the machine's monotonic clock.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import time
from collections.abc import Iterator
from pathlib import Path

import orjson

from gannetweir.errors import GannetweirError
from gannetweir.membership.operator_overrides import OperatorOverrides

# The lock is held for the length of one small write. A stopped process may hold it for good, and must not
# stop this one: so it is waited for 20 ms at most.
LOCK_ATTEMPTS = 20
LOCK_RETRY_S = 0.001


class OverrideLockTimeoutError(GannetweirError, BlockingIOError):
    """Another process has held the lock of the overrides' file for longer than this one waits."""

    def __init__(self, lock_file: Path) -> None:
        super().__init__(errno.EAGAIN, os.strerror(errno.EAGAIN), str(lock_file))
        self.lock_file = lock_file


class MalformedOverrideFileError(GannetweirError, ValueError):
    """The overrides' file has a content that no process of this program writes."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"malformed file of overrides: {reason}")
        self.reason = reason


class OverrideFile:
    """Reads and writes the file. Owns the overrides as this process has last read them."""

    def __init__(self, folder: Path, stem: str) -> None:
        """`stem`: of the names of this relay's files."""
        self.overrides = OperatorOverrides()
        self._folder = folder
        self._file = folder / f"{stem}.out"
        self._part_file = folder / f"{stem}.out.part"
        self._lock_file = folder / f"{stem}.lock"
        self._last_read: tuple[int, int, int] | None = None  # inode, time and size of the file as last read
        self._is_sync_pending = False  # the file was replaced, but the folder could not be synced

    def refresh(self) -> bool:
        """Read the overrides if the file has changed. False if it can't be read at present. A missing or
        malformed file changes nothing; to read it again soon would not help, so that returns True.
        """
        try:
            status = self._file.stat()
            identity = (status.st_ino, status.st_mtime_ns, status.st_size)
            if identity != self._last_read:
                self.overrides = _decode(self._file.read_bytes())
                self._last_read = identity
        except (FileNotFoundError, MalformedOverrideFileError):
            return True
        except OSError:
            return False
        return True

    def set_override(self, endpoint_id: str, offline: bool, now_us: int) -> None:
        """Take an endpoint offline or bring it back online; on return that holds for every process.

        Raises `OverrideLockTimeoutError`, or another `OSError` if the file can't be written; the file is then
        what it was before.
        """
        with self._locked():
            self.refresh()
            overrides = self.overrides.with_override(endpoint_id, offline, now_us)
            if overrides != self.overrides:
                self._write(overrides)
            self.refresh()

    @contextlib.contextmanager
    def _locked(self) -> Iterator[None]:
        descriptor = os.open(self._lock_file, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            self._wait_for_lock(descriptor)
            yield
        finally:
            os.close(descriptor)

    def _wait_for_lock(self, descriptor: int) -> None:
        for retries_left in reversed(range(LOCK_ATTEMPTS)):
            try:
                fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError as error:
                if not retries_left:
                    raise OverrideLockTimeoutError(self._lock_file) from error
                time.sleep(LOCK_RETRY_S)
            else:
                return

    def _write(self, overrides: OperatorOverrides) -> None:
        """Replace the file as a whole and on disk, or not at all: a peer may read at any moment, this process
        may be killed, and the machine may go down. The lock is held, so no other process writes the part.
        """
        try:
            with self._part_file.open("wb") as file:
                file.write(_encode(overrides))
                file.flush()
                os.fsync(file.fileno())
            self._part_file.replace(self._file)
        except OSError:
            with contextlib.suppress(OSError):
                self._part_file.unlink(missing_ok=True)
            raise
        self._sync_folder()

    def retry_sync(self) -> None:
        """Sync the folder if that failed after the last write."""
        if self._is_sync_pending:
            self._sync_folder()

    def _sync_folder(self) -> None:
        """Make the replaced file last. It holds for all processes already, so a failure is retried later."""
        self._is_sync_pending = True
        with contextlib.suppress(OSError):
            descriptor = os.open(self._folder, os.O_RDONLY | os.O_CLOEXEC)
            try:
                os.fsync(descriptor)
                self._is_sync_pending = False
            finally:
                os.close(descriptor)


def _encode(overrides: OperatorOverrides) -> bytes:
    offline = sorted(map(str, overrides.offline))
    return orjson.dumps({"out": offline, "back": overrides.online_since})


def _decode(content: bytes) -> OperatorOverrides:
    """Raises `MalformedOverrideFileError` for anything but what `_encode` returns."""
    try:
        data: object = orjson.loads(content)
    except orjson.JSONDecodeError as error:
        raise MalformedOverrideFileError("not JSON") from error
    if not isinstance(data, dict):
        raise MalformedOverrideFileError("not an object")
    offline, online_since = data.get("out"), data.get("back")
    if not isinstance(offline, list) or not isinstance(online_since, dict):
        raise MalformedOverrideFileError("a part is missing or of another type")
    if not all(isinstance(endpoint_id, str) for endpoint_id in offline):
        raise MalformedOverrideFileError("an offline endpoint is not a string")
    if not all(type(online_us) is int for online_us in online_since.values()):
        raise MalformedOverrideFileError("a time is not an integer")
    return OperatorOverrides(frozenset(offline), online_since)
