"""The number of open descriptors of each process of one relay, stored in the process's liveness file.

During an upgrade the machine's limit applies to both processes together, so each one takes the other's count
into account.
"""

from __future__ import annotations

import contextlib
import os
import struct
from pathlib import Path

from gannetweir.process_handover.process_liveness import ProcessLiveness

_COUNT = struct.Struct("<I")
ZERO_COUNT = _COUNT.pack(0)  # content of a liveness file before the first report


class DescriptorCounts:
    """Reports this process's count and reads those of its peers. `ProcessLiveness` owns the files."""

    def __init__(self, liveness: ProcessLiveness) -> None:
        self._liveness = liveness

    def report(self, count: int) -> None:
        """Publish how many descriptors this process has open. A failed write is ignored, since it must not
        cost any client its connection.
        """
        if self._liveness.descriptor is not None:
            with contextlib.suppress(OSError):
                os.pwrite(self._liveness.descriptor, _COUNT.pack(count), 0)

    def total_of_peers(self) -> int:
        """Return how many descriptors the live peers have open at present, in total."""
        return sum(map(_read_count, self._liveness.peers))


def _read_count(path: Path) -> int:
    """Return the count in a liveness file; 0 if the file is truncated or has just been removed."""
    with contextlib.suppress(OSError, struct.error):
        return int(_COUNT.unpack(path.read_bytes()[: _COUNT.size])[0])
    return 0
