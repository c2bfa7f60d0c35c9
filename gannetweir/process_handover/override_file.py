"""The operators' overrides on disk: one file for all current and future processes of a relay.

The file is JSON, `{"out":[ID,...],"back":{ID:MICROSECONDS,...}}`: the endpoints that are offline, and the
times on the machine's monotonic clock at which others were brought back online.
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

# The lock is held for the duration of one small write. A stopped process may hold it indefinitely and must
# not block this one, so this process waits for at most 20 ms.
LOCK_ATTEMPTS = 20
LOCK_RETRY_S = 0.001


class OverrideLockTimeoutError(GannetweirError, BlockingIOError):
    """Another process has held the lock of the override file for longer than this process waits."""

    def __init__(self, lock_file: Path) -> None:
        super().__init__(errno.EAGAIN, os.strerror(errno.EAGAIN), str(lock_file))
        self.lock_file = lock_file


class MalformedOverrideFileError(GannetweirError, ValueError):
    """The override file has a content that no process of this program writes."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"malformed override file: {reason}")
        self.reason = reason


class OverrideFile:
    """Reads and writes the file. Owns the overrides as last read by this process."""

    def __init__(self, folder: Path, stem: str) -> None:
        """`stem` is the common stem of this relay's file names."""
        self.overrides = OperatorOverrides()
        self._folder = folder
        self._file = folder / f"{stem}.out"
        self._part_file = folder / f"{stem}.out.part"
        self._lock_file = folder / f"{stem}.lock"
        self._last_read: tuple[int, int, int] | None = None  # inode, mtime and size at the last read
        self._is_sync_pending = False  # the file was replaced, but the sync of the folder failed

    def refresh(self) -> bool:
        """Read the overrides if the file has changed. Return false if it cannot be read at present. A missing
        or malformed file changes nothing and returns true, since another read soon after would not help.
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
        """Take an endpoint offline or bring it back online. On return the override applies to every process.

        Raises `OverrideLockTimeoutError`, or another `OSError` if the file cannot be written; the file is
        then unchanged.
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
        """Replace the file atomically and durably: a peer may read it at any moment, this process may be
        killed, and the machine may crash. The lock is held, so no other process writes the part file.
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
        """Sync the folder if the sync after the last write failed."""
        if self._is_sync_pending:
            self._sync_folder()

    def _sync_folder(self) -> None:
        """Make the replacement of the file durable. It already applies to all processes, so a failed sync is
        retried later.
        """
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
    """Decode the content of the file. Raises `MalformedOverrideFileError` for anything that `_encode` does
    not return.
    """
    try:
        data: object = orjson.loads(content)
    except orjson.JSONDecodeError as error:
        raise MalformedOverrideFileError(f"not JSON: {error}") from error
    if not isinstance(data, dict):
        raise MalformedOverrideFileError(f"expected a JSON object, found {type(data).__name__}")
    offline, online_since = data.get("out"), data.get("back")
    if not isinstance(offline, list) or not isinstance(online_since, dict):
        raise MalformedOverrideFileError("expected a list `out` and an object `back`")
    if not all(isinstance(endpoint_id, str) for endpoint_id in offline):
        raise MalformedOverrideFileError("expected only strings in `out`")
    if not all(type(online_us) is int for online_us in online_since.values()):
        raise MalformedOverrideFileError("expected only integers in `back`")
    return OperatorOverrides(frozenset(offline), online_since)
