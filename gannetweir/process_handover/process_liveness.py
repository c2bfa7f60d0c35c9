"""Liveness of the processes of one relay: each live process locks its own file in the shared folder.

The kernel releases a lock when its holder ends, for whatever reason. A process id would be less reliable,
since another process could have the same id by now.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import tempfile
from pathlib import Path

_STARTING_SUFFIX = ".starting"  # suffix of a liveness file that is not locked yet


class ProcessLiveness:
    """The liveness file of this process, and those of its live peers.

    Owns the file's lock and descriptor from `announce` to `withdraw`.
    """

    def __init__(self, folder: Path, suffix: str, initial_content: bytes) -> None:
        """`suffix` ends the names of this relay's liveness files; `initial_content` is that of this process's
        file.
        """
        self.peers: list[Path] = []  # liveness files of the other live processes, as of the last refresh
        self.descriptor: int | None = None  # the open liveness file of this process; None: not announced
        self._folder = folder
        self._suffix = suffix
        self._initial_content = initial_content
        self._file: Path | None = None

    def announce(self) -> None:
        """Publish that this process is live, unless that is already done.

        Raises `OSError` if the file cannot be written; the file is then removed. The file gets its final name
        only after it is locked: a peer would take an unlocked file for one that an ended process has left
        behind.
        """
        if self._file is not None:
            return
        descriptor, starting_name = tempfile.mkstemp(_STARTING_SUFFIX, dir=self._folder)
        starting_file = Path(starting_name)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.write(descriptor, self._initial_content)
            file = Path(starting_name.removesuffix(_STARTING_SUFFIX) + self._suffix)
            starting_file.rename(file)
        except OSError:
            os.close(descriptor)
            with contextlib.suppress(OSError):
                starting_file.unlink()
            raise
        self._file = file
        self.descriptor = descriptor

    def refresh_peers(self) -> None:
        """Find the other live processes, and remove the files that ended processes left behind. Raises
        `OSError`.
        """
        files = [path for path in self._folder.glob("*" + self._suffix) if path != self._file]
        self.peers = [path for path in files if not _remove_if_abandoned(path)]

    def withdraw(self) -> None:
        """Stop counting as a live process, even if the file cannot be removed: a peer will then remove it."""
        if self._file is None or self.descriptor is None:
            return
        with contextlib.suppress(OSError):
            self._file.unlink(missing_ok=True)
        os.close(self.descriptor)
        self._file = None
        self.descriptor = None


def _remove_if_abandoned(path: Path) -> bool:
    """Remove a liveness file that no process has locked. Return whether the file is gone."""
    try:
        descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC)
    except FileNotFoundError:
        return True
    except OSError:  # A local error is no evidence that the other process has ended.
        return False
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        return False
    else:
        path.unlink(missing_ok=True)
        return True
    finally:
        os.close(descriptor)
