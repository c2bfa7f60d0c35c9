"""Reading a file of configuration, though the machine may be short of something for a moment."""

from __future__ import annotations

import errno
import time
from pathlib import Path

READ_ATTEMPTS, READ_RETRY_DELAY_S = 10, 0.005
_TRANSIENT_ERRNOS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS, errno.EIO, errno.EAGAIN}
)


def read_bytes(path: str | Path) -> bytes:
    """The whole file. What may pass is tried again, for 50 ms in all. Raises `OSError`."""
    for _ in range(READ_ATTEMPTS - 1):
        try:
            return Path(path).read_bytes()
        except OSError as error:
            if error.errno not in _TRANSIENT_ERRNOS:
                raise
        time.sleep(READ_RETRY_DELAY_S)
    return Path(path).read_bytes()
