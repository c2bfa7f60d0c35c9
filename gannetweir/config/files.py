"""Reading a file of configuration, though the machine may be short of something for a moment."""

from __future__ import annotations

import errno
import time
from pathlib import Path

READ_ATTEMPTS = 10
READ_RETRY_DELAY_S = 0.005  # with the attempts: 45 ms in all, which a reload can wait
_TRANSIENT_ERRNOS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS, errno.EIO, errno.EAGAIN}
)


def read_bytes(path: str | Path) -> bytes:
    """Return the content of a file. A transient error is retried after a delay.

    Raises `OSError`: the last one of a transient kind, any other at once.
    """
    for _ in range(READ_ATTEMPTS - 1):
        try:
            return Path(path).read_bytes()
        except OSError as error:
            if error.errno not in _TRANSIENT_ERRNOS:
                raise
        time.sleep(READ_RETRY_DELAY_S)
    return Path(path).read_bytes()
