"""State that the processes of one relay share: their liveness, descriptor counts and the operators'
overrides.

During an upgrade two processes serve the same client address and share one folder. Neither process waits for
the other: a lock is held only for the duration of one small write.
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
from gannetweir.process_handover.executed_request_file import ExecutedRequestFile
from gannetweir.process_handover.override_file import OverrideFile
from gannetweir.process_handover.process_liveness import ProcessLiveness

# How long a start waits for overrides that cannot be read at present. Nothing is served before they are read,
# since no request may be sent to an endpoint that the operators have taken offline.
INITIAL_READ_TIMEOUT_S = 6.0
INITIAL_READ_RETRY_S = 0.001

# Errors that a retry does not resolve. The relay then serves without sharing anything.
_PERMANENT_ERRORS = frozenset({errno.ENOENT, errno.ENOTDIR, errno.EACCES, errno.EPERM, errno.EROFS})


class _SharedFiles:
    """The components that need a folder."""

    def __init__(self, folder: Path, relay_name: str) -> None:
        # The relay's name is part of the file names, because other relays may use the same folder if it is
        # not private.
        stem = "gannetweir-" + re.sub(r"[^0-9A-Za-z.-]", "_", relay_name)
        self.folder = folder
        self.liveness = ProcessLiveness(folder, f".{stem}.alive", ZERO_COUNT)
        self.descriptor_counts = DescriptorCounts(self.liveness)
        self.override_file = OverrideFile(folder, stem)
        self.executed_requests = ExecutedRequestFile(folder, stem)


class Handover:
    """The access of this process to the shared folder. Without a folder, or with one that can never be used
    (a missing one, for example), nothing is shared, and the process always counts as alone.
    """

    def __init__(self, folder: Path | None = None, relay_name: str = "") -> None:
        """Announce this process, find its peers and read the overrides. Blocks for at most
        `INITIAL_READ_TIMEOUT_S`, and raises no error if the folder fails.
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
        # After a temporary error the next refresh tries again. The overrides do not depend on it.
        with contextlib.suppress(OSError):
            self.refresh_peers()
        deadline_s = time.monotonic() + INITIAL_READ_TIMEOUT_S
        while not files.override_file.refresh() and time.monotonic() < deadline_s:
            time.sleep(INITIAL_READ_RETRY_S)

    @property
    def folder(self) -> Path | None:
        """The shared folder; None if nothing is shared."""
        return self._files.folder if self._files is not None else None

    @property
    def overrides(self) -> OperatorOverrides:
        """The operators' overrides, as last read by this process."""
        return self._files.override_file.overrides if self._files is not None else self._local_overrides

    @property
    def executed_requests(self) -> ExecutedRequestFile | None:
        """The requests that the processes of this relay have executed; None if nothing is shared."""
        return self._files.executed_requests if self._files is not None else None

    @property
    def peers(self) -> Sequence[Path]:
        """The liveness files of the other live processes, as of the last refresh."""
        return self._files.liveness.peers if self._files is not None else ()

    def refresh_peers(self) -> bool:
        """Find the other live processes, and return whether this process is alone. Also retries what failed
        before: the announcement of this process and the sync of the folder. Raises `OSError` if the folder
        cannot be used.
        """
        if self._files is None:
            return True
        self._files.liveness.announce()
        self._files.override_file.retry_sync()
        self._files.liveness.refresh_peers()
        return not self._files.liveness.peers

    def report_descriptor_count(self, count: int) -> None:
        """Publish how many descriptors this process has open, so that its peers can take them into
        account.
        """
        if self._files is not None:
            self._files.descriptor_counts.report(count)

    def count_peer_descriptors(self) -> int:
        """Return how many descriptors the peers have open at present."""
        return self._files.descriptor_counts.total_of_peers() if self._files is not None else 0

    def refresh_overrides(self) -> bool:
        """Read the overrides if the file has changed, and return whether they differ. Raises no error."""
        before = self.overrides
        if self._files is not None:
            self._files.override_file.refresh()
        return self.overrides != before

    def set_override(self, endpoint_id: str, offline: bool, now_us: int) -> None:
        """Take an endpoint offline or bring it back online. On return the override applies to every process
        here.

        Raises `OSError` if the override cannot be made to apply; nothing has changed then.
        """
        if self._files is not None:
            self._files.override_file.set_override(endpoint_id, offline, now_us)
        else:
            self._local_overrides = self._local_overrides.with_override(endpoint_id, offline, now_us)

    def close(self) -> None:
        """Withdraw this process, which then no longer counts as live."""
        if self._files is not None:
            self._files.liveness.withdraw()
