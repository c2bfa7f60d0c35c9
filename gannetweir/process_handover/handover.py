"""What the processes of one relay share: their liveness, their descriptor counts, the operators' overrides.

During an upgrade two processes serve the same clients' address and share one folder. Nothing here waits for
the other process: a lock is held for the length of one small write.
"""

from __future__ import annotations

import contextlib
import errno
import re
import time
from collections.abc import Sequence
from pathlib import Path

from gannetweir.membership.operator_overrides import OperatorOverrides
from gannetweir.process_handover.descriptor_counts import ZERO_COUNT, DescriptorCounts
from gannetweir.process_handover.override_file import OverrideFile
from gannetweir.process_handover.process_liveness import ProcessLiveness

# For how long a start waits for overrides that can't be read at present. Nothing is served before they are:
# no request may be sent to an endpoint that the operators have taken offline.
INITIAL_READ_TIMEOUT_S = 6.0
INITIAL_READ_RETRY_S = 0.001

# Errors that last: a relay that can share nothing still serves.
_PERMANENT_ERRORS = frozenset({errno.ENOENT, errno.ENOTDIR, errno.EACCES, errno.EPERM, errno.EROFS})


class _SharedFiles:
    """The parts that need a folder."""

    def __init__(self, folder: Path, relay_name: str) -> None:
        # The relay's name is part of the files' names: other relays may have the same folder where it is not
        # private.
        stem = "gannetweir-" + re.sub(r"[^0-9A-Za-z.-]", "_", relay_name)
        self.folder = folder
        self.liveness = ProcessLiveness(folder, f".{stem}.alive", ZERO_COUNT)
        self.descriptor_counts = DescriptorCounts(self.liveness)
        self.override_file = OverrideFile(folder, stem)


class Handover:
    """The part of this process in the shared folder. Without a folder nothing is shared, and the process is
    always alone; so it is with a folder that can never be used, such as a missing one.
    """

    def __init__(self, folder: Path | None = None, relay_name: str = "") -> None:
        """Announce this process, find its peers and read the overrides. Blocks for `INITIAL_READ_TIMEOUT_S`
        at most, and raises nothing for a folder that fails.
        """
        self._files = _SharedFiles(folder, relay_name) if folder is not None else None
        self._local_overrides = OperatorOverrides()
        if self._files is not None:
            self._begin(self._files)

    def _begin(self, files: _SharedFiles) -> None:
        try:
            files.liveness.announce()
        except OSError as error:
            if error.errno in _PERMANENT_ERRORS:
                self._files = None
                return
        # a folder that fails for a moment is tried again at the next refresh; the overrides hold already
        with contextlib.suppress(OSError):
            self.refresh_peers()
        deadline_s = time.monotonic() + INITIAL_READ_TIMEOUT_S
        while not files.override_file.refresh() and time.monotonic() < deadline_s:
            time.sleep(INITIAL_READ_RETRY_S)

    @property
    def folder(self) -> Path | None:
        """The shared folder; None: nothing is shared."""
        return self._files.folder if self._files is not None else None

    @property
    def overrides(self) -> OperatorOverrides:
        """The operators' overrides, as this process has last read them."""
        return self._files.override_file.overrides if self._files is not None else self._local_overrides

    @property
    def peers(self) -> Sequence[Path]:
        """The liveness files of the other living processes, as of the last refresh."""
        return self._files.liveness.peers if self._files is not None else ()

    def refresh_peers(self) -> bool:
        """Find the other living processes; whether this one is alone. Also makes good what has failed before:
        this process's announcement, the sync of the folder. Raises `OSError` if the folder can't be used.
        """
        if self._files is None:
            return True
        self._files.liveness.announce()
        self._files.override_file.retry_sync()
        self._files.liveness.refresh_peers()
        return not self._files.liveness.peers

    def report_descriptor_count(self, count: int) -> None:
        """Publish how many descriptors this process has open, for its peers to plan with."""
        if self._files is not None:
            self._files.descriptor_counts.report(count)

    def count_peer_descriptors(self) -> int:
        """How many descriptors the peers have open now."""
        return self._files.descriptor_counts.total_of_peers() if self._files is not None else 0

    def refresh_overrides(self) -> bool:
        """Read the overrides if they have changed on disk; whether they have. Raises nothing."""
        before = self.overrides
        if self._files is not None:
            self._files.override_file.refresh()
        return self.overrides != before

    def set_override(self, endpoint_id: str, offline: bool, now_us: int) -> None:
        """Take an endpoint offline or bring it back online; on return that holds for every process here.

        Raises `OSError` if it can't be made to hold; then nothing has changed.
        """
        if self._files is not None:
            self._files.override_file.set_override(endpoint_id, offline, now_us)
        else:
            self._local_overrides = self._local_overrides.with_override(endpoint_id, offline, now_us)

    def close(self) -> None:
        """Withdraw this process: it no longer counts as living."""
        if self._files is not None:
            self._files.liveness.withdraw()
