"""What can go wrong with the files that processes of one relay share."""

from __future__ import annotations

import errno
import os
from pathlib import Path

from gannetweir.errors import GannetweirError


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
