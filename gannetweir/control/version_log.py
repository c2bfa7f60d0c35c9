"""A log of the recent versions of a resource, from which deltas are made.

The log works like the one behind etcd's watch: it covers every version from `oldest` to `newest`, and
compacts the oldest versions when it is full. A relay on a covered version can be sent a delta; a relay on a
compacted version needs a snapshot. The log belongs to its creator; only `add` and `extend_back` change it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from gannetweir.control.versions import Version

MAX_VERSIONS = 4_000  # three days at 1,200 changes a day
# Bounds the memory of a log; counts the entries of all its changes together.
MAX_CHANGED_ENTRIES = 200_000


@dataclass(frozen=True, slots=True)
class Change:
    """The difference between a version and its predecessor; a body of None removes its key."""

    version: Version
    entries: Mapping[str, bytes | None]


class VersionLog:
    """Changes in ascending order of their versions; the oldest are compacted first.

    Invariants: `changes` holds the changes after `oldest` up to `newest`; `digest_by_number` has an item for
    every covered version; `changed_entries` counts the entries of all changes.
    """

    def __init__(
        self,
        oldest: Version,
        max_versions: int = MAX_VERSIONS,
        max_changed_entries: int = MAX_CHANGED_ENTRIES,
    ) -> None:
        """Create a log that covers only `oldest`; the owner of the log has that version's content."""
        self.max_versions = max_versions
        self.max_changed_entries = max_changed_entries
        self.oldest = oldest
        self.newest = oldest
        self.changes: deque[Change] = deque()
        self.digest_by_number = {oldest.number: oldest.digest}
        self.changed_entries = 0

    def add(self, change: Change) -> None:
        """Append the next version, and compact the oldest versions if the log exceeds its limits.

        Raises `ValueError` unless the number is above the newest.
        """
        if change.version.number <= self.newest.number:
            raise ValueError(f"version {change.version.number} is not above the newest, {self.newest.number}")
        self.changes.append(change)
        self.newest = change.version
        self.digest_by_number[change.version.number] = change.version.digest
        self.changed_entries += len(change.entries)
        while self._is_too_large():
            self._compact_oldest()

    def _is_too_large(self) -> bool:
        if len(self.changes) > self.max_versions:
            return True
        # A single change that exceeds the limit is kept: otherwise no delta could be made at all.
        return self.changed_entries > self.max_changed_entries and len(self.changes) > 1

    def _compact_oldest(self) -> None:
        compacted = self.changes.popleft()
        self.changed_entries -= len(compacted.entries)
        del self.digest_by_number[self.oldest.number]
        self.oldest = compacted.version

    def extend_back(self, base: Version, changes: Iterable[Change]) -> bool:
        """Extend the log back to `base` with the changes from `base` to the log's oldest version.

        Returns False, and changes nothing, if the changes do not lead to the oldest version or would exceed
        the log's limits.
        """
        earlier = [change for change in changes if change.version.number <= self.oldest.number]
        if not earlier or earlier[-1].version != self.oldest or base.number >= earlier[0].version.number:
            return False
        changed_entries = self.changed_entries + sum(len(change.entries) for change in earlier)
        versions = len(self.changes) + len(earlier)
        if versions > self.max_versions or changed_entries > self.max_changed_entries:
            return False
        self.changes.extendleft(reversed(earlier))
        self.digest_by_number |= {change.version.number: change.version.digest for change in earlier}
        self.digest_by_number[base.number] = base.digest
        self.oldest = base
        self.changed_entries = changed_entries
        return True

    def contains(self, version: Version) -> bool:
        """Whether a delta can start from this version. If its epoch is unknown (0), the digest decides."""
        same_epoch = version.epoch in (0, self.newest.epoch)
        return same_epoch and self.digest_by_number.get(version.number) == version.digest

    def changes_between(self, base_number: int, target_number: int) -> dict[str, bytes | None]:
        """Return the changes after the base up to the target as one coalesced delta.

        Each changed entry has its body at the target version.
        """
        merged: dict[str, bytes | None] = {}
        for change in reversed(self.changes):
            if change.version.number <= base_number:
                break
            if change.version.number <= target_number:
                for key, body in change.entries.items():
                    merged.setdefault(key, body)
        return merged
