"""Reads configuration files and retries while the machine is briefly short of a resource."""

from __future__ import annotations

import errno
import time
from pathlib import Path

READ_ATTEMPTS = 10
READ_RETRY_DELAY_S = 0.005  # all delays together are 45 ms, which a reload can afford
_TRANSIENT_ERRNOS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS, errno.EIO, errno.EAGAIN}
)


def read_bytes(path: str | Path) -> bytes:
    """Return the content of a file. Retries after transient errors, with a delay.

    Raises `OSError`: a transient error after the last attempt, any other error at once.
    """
    for _ in range(READ_ATTEMPTS - 1):
        try:
            return Path(path).read_bytes()
        except OSError as error:
            if error.errno not in _TRANSIENT_ERRNOS:
                raise
        time.sleep(READ_RETRY_DELAY_S)
    return Path(path).read_bytes()
