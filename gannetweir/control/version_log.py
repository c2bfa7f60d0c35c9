"""The recent versions of a resource, from which deltas are cut."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from gannetweir.control.versions import Version

MAX_VERSIONS = 4_000  # three days at 1,200 changes a day
MAX_CHANGED_ENTRIES = 200_000  # entries in all of them together


@dataclass(frozen=True, slots=True)
class Change:
    """What leads to a version from the one before it."""

    version: Version
    entries: Mapping[str, bytes | None]


class VersionLog:
    """Changes in their order, the oldest forgotten first."""

    def __init__(
        self,
        oldest: Version,
        max_versions: int = MAX_VERSIONS,
        max_changed_entries: int = MAX_CHANGED_ENTRIES,
    ) -> None:
        """Begins at a version whose content is known elsewhere."""
        self.max_versions, self.max_changed_entries = max_versions, max_changed_entries
        self.oldest = self.newest = oldest
        self.changes: deque[Change] = deque()
        self.digest_by_number = {oldest.number: oldest.digest}
        self.changed_entries = 0

    def add(self, change: Change) -> None:
        """The next version; a number at or under the newest is a `ValueError`."""
        if change.version.number <= self.newest.number:
            raise ValueError(f"version {change.version.number} after {self.newest.number}")
        self.changes.append(change)
        self.newest = change.version
        self.digest_by_number[change.version.number] = change.version.digest
        self.changed_entries += len(change.entries)
        while len(self.changes) > self.max_versions or (
            self.changed_entries > self.max_changed_entries and len(self.changes) > 1
        ):
            self._compact_oldest()

    def _compact_oldest(self) -> None:
        compacted = self.changes.popleft()
        self.changed_entries -= len(compacted.entries)
        del self.digest_by_number[self.oldest.number]
        self.oldest = compacted.version

    def extend_back(self, base: Version, changes: Iterable[Change]) -> bool:
        """Reach back to `base` by the changes that lead from it to the oldest version here. False, and all is
        as it was, if they do not lead there or are more than a log may keep.
        """
        earlier = [change for change in changes if change.version.number <= self.oldest.number]
        size = self.changed_entries + sum(len(change.entries) for change in earlier)
        if not earlier or earlier[-1].version != self.oldest or base.number >= earlier[0].version.number:
            return False
        if len(self.changes) + len(earlier) > self.max_versions or size > self.max_changed_entries:
            return False
        self.changes.extendleft(reversed(earlier))
        self.digest_by_number |= {change.version.number: change.version.digest for change in earlier}
        self.digest_by_number[base.number] = base.digest
        self.oldest, self.changed_entries = base, size
        return True

    def contains(self, version: Version) -> bool:
        """Can a delta start from this version? An unknown epoch (0) is told by its digest."""
        same_epoch = version.epoch in (0, self.newest.epoch)
        return same_epoch and self.digest_by_number.get(version.number) == version.digest

    def changes_between(self, base_number: int, target_number: int) -> dict[str, bytes | None]:
        """All that changed after `base` up to `to`, each entry as it is at `to`: one coalesced delta."""
        merged: dict[str, bytes | None] = {}
        for change in reversed(self.changes):
            if change.version.number <= base_number:
                break
            if change.version.number <= target_number:
                for key, body in change.entries.items():
                    merged.setdefault(key, body)
        return merged
