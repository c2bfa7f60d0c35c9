"""How many descriptors each process of one relay has open: a number in the process's liveness file.

During an upgrade the machine's limit holds for both processes together, so each plans with the other's count.
"""

from __future__ import annotations

import contextlib
import os
import struct
from pathlib import Path

from gannetweir.process_handover.process_liveness import ProcessLiveness

_COUNT = struct.Struct("<I")
ZERO_COUNT = _COUNT.pack(0)  # the content of a liveness file before the first report


class DescriptorCounts:
    """Reports this process's count and reads its peers'. Owns nothing: the files belong to the liveness."""

    def __init__(self, liveness: ProcessLiveness) -> None:
        self._liveness = liveness

    def report(self, count: int) -> None:
        """Publish how many descriptors this process has open. A count that can't be written is skipped: no
        client may be lost because of that.
        """
        if self._liveness.descriptor is not None:
            with contextlib.suppress(OSError):
                os.pwrite(self._liveness.descriptor, _COUNT.pack(count), 0)

    def total_of_peers(self) -> int:
        """How many descriptors the living peers have open now, together."""
        return sum(map(_read_count, self._liveness.peers))


def _read_count(path: Path) -> int:
    """The count in a liveness file; 0 for a file that is cut short or has just been removed."""
    with contextlib.suppress(OSError, struct.error):
        return int(_COUNT.unpack(path.read_bytes()[: _COUNT.size])[0])
    return 0
