"""Which processes of one relay live: each holds the lock of a file of its own in the shared folder.

The kernel releases a lock when its holder ends, however it ends. A process id would say less: it could belong
to another process by now.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import tempfile
from pathlib import Path

_STARTING_SUFFIX = ".starting"  # of a liveness file that is not locked yet


class ProcessLiveness:
    """The liveness file of this process, and those of its living peers.

    Owns the file's lock and descriptor from `announce` to `withdraw`.
    """

    def __init__(self, folder: Path, suffix: str, initial_content: bytes) -> None:
        """`suffix`: of the names of this relay's liveness files. `initial_content`: of this process's."""
        self.peers: list[Path] = []  # the liveness files of the other living processes, when last looked for
        self.descriptor: int | None = None  # of this process's liveness file; None: not announced
        self._folder = folder
        self._suffix = suffix
        self._initial_content = initial_content
        self._file: Path | None = None

    def announce(self) -> None:
        """Publish that this process lives, unless that is done already.

        Raises `OSError` if the file can't be written; it is removed then. The file gets its final name only
        once it is locked: a peer would take it for one that an ended process has left behind.
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
        """Find the other processes that live, and remove what ended ones left behind. Raises `OSError`."""
        files = [path for path in self._folder.glob("*" + self._suffix) if path != self._file]
        self.peers = [path for path in files if not _remove_if_abandoned(path)]

    def withdraw(self) -> None:
        """Stop being one of the living processes; also if the file can't be removed: a peer will do it."""
        if self._file is None or self.descriptor is None:
            return
        with contextlib.suppress(OSError):
            self._file.unlink(missing_ok=True)
        os.close(self.descriptor)
        self._file = None
        self.descriptor = None


def _remove_if_abandoned(path: Path) -> bool:
    """Remove a liveness file that no process locks; whether there was none, or it has been removed."""
    try:
        descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC)
    except FileNotFoundError:
        return True
    except OSError:  # a fault of this machine's is no evidence that the other process has ended
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
