"""The recent versions of a resource, from which deltas are made.

A log of changes with compaction, as behind etcd's watch: it covers every version from `oldest` to `newest`,
and drops the oldest ones when it is full. Whoever stands on a covered version can be sent a delta; whoever
stands on a compacted one needs a snapshot. The log belongs to its creator; `add` and `extend_back` are the
only changes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from gannetweir.control.versions import Version

MAX_VERSIONS = 4_000  # in a log: three days at 1,200 changes a day
MAX_CHANGED_ENTRIES = 200_000  # in all changes of a log together: bounds its memory


@dataclass(frozen=True, slots=True)
class Change:
    """What leads to a version from the one before it; a body of None removes its key."""

    version: Version
    entries: Mapping[str, bytes | None]


class VersionLog:
    """Changes in their order, the oldest compacted first.

    Invariants: `changes` are those after `oldest` up to `newest`; `digest_by_number` has every covered
    version; `changed_entries` counts the entries of all changes.
    """

    def __init__(
        self,
        oldest: Version,
        max_versions: int = MAX_VERSIONS,
        max_changed_entries: int = MAX_CHANGED_ENTRIES,
    ) -> None:
        """A log that covers one version, whose content its owner has."""
        self.max_versions = max_versions
        self.max_changed_entries = max_changed_entries
        self.oldest = oldest
        self.newest = oldest
        self.changes: deque[Change] = deque()
        self.digest_by_number = {oldest.number: oldest.digest}
        self.changed_entries = 0

    def add(self, change: Change) -> None:
        """Append the next version, and compact what is too much.

        Raises `ValueError` for a number at or below the newest.
        """
        if change.version.number <= self.newest.number:
            raise ValueError(f"version {change.version.number} after {self.newest.number}")
        self.changes.append(change)
        self.newest = change.version
        self.digest_by_number[change.version.number] = change.version.digest
        self.changed_entries += len(change.entries)
        while self._is_too_large():
            self._compact_oldest()

    def _is_too_large(self) -> bool:
        if len(self.changes) > self.max_versions:
            return True
        # one change that is too large by itself stays: without it there would be no delta at all
        return self.changed_entries > self.max_changed_entries and len(self.changes) > 1

    def _compact_oldest(self) -> None:
        compacted = self.changes.popleft()
        self.changed_entries -= len(compacted.entries)
        del self.digest_by_number[self.oldest.number]
        self.oldest = compacted.version

    def extend_back(self, base: Version, changes: Iterable[Change]) -> bool:
        """Cover earlier versions from `base` on, by the changes that lead from it to the oldest version here.

        False, and nothing changes, if they do not lead there or exceed the log's limits.
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
        """Whether a delta can start from this version. The digest decides where its epoch is unknown (0)."""
        same_epoch = version.epoch in (0, self.newest.epoch)
        return same_epoch and self.digest_by_number.get(version.number) == version.digest

    def changes_between(self, base_number: int, target_number: int) -> dict[str, bytes | None]:
        """One coalesced delta: what changed after the base up to the target.

        Each entry is as it is at the target.
        """
        merged: dict[str, bytes | None] = {}
        for change in reversed(self.changes):
            if change.version.number <= base_number:
                break
            if change.version.number <= target_number:
                for key, body in change.entries.items():
                    merged.setdefault(key, body)
        return merged
