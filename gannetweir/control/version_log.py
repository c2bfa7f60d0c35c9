"""The recent versions of a resource, from which deltas are cut."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from gannetweir.control.versions import Version

MOST_VERSIONS = 4_000  # three days at 1,200 changes a day
MOST_CHANGES = 200_000  # entries in all of them together


@dataclass(frozen=True, slots=True)
class Change:
    """What leads to a version from the one before it."""

    version: Version
    entries: Mapping[str, bytes | None]


class VersionLog:
    """Changes in their order, the oldest forgotten first."""

    def __init__(
        self, oldest: Version, most_versions: int = MOST_VERSIONS, most_changes: int = MOST_CHANGES
    ) -> None:
        """Begins at a version whose content is known elsewhere."""
        self.most_versions, self.most_changes = most_versions, most_changes
        self.oldest = self.newest = oldest
        self.changes: deque[Change] = deque()
        self.digests = {oldest.number: oldest.digest}
        self.size = 0

    def add(self, change: Change) -> None:
        """The next version; a number at or under the newest is a `ValueError`."""
        if change.version.number <= self.newest.number:
            raise ValueError(f"version {change.version.number} after {self.newest.number}")
        self.changes.append(change)
        self.newest = change.version
        self.digests[change.version.number] = change.version.digest
        self.size += len(change.entries)
        while len(self.changes) > self.most_versions or (
            self.size > self.most_changes and len(self.changes) > 1
        ):
            self._forget()

    def _forget(self) -> None:
        gone = self.changes.popleft()
        self.size -= len(gone.entries)
        del self.digests[self.oldest.number]
        self.oldest = gone.version

    def prepend(self, base: Version, changes: Iterable[Change]) -> bool:
        """Reach back to `base` by the changes that lead from it to the oldest version here. False, and all is
        as it was, if they do not lead there or are more than a log may keep.
        """
        earlier = [change for change in changes if change.version.number <= self.oldest.number]
        size = self.size + sum(len(change.entries) for change in earlier)
        if not earlier or earlier[-1].version != self.oldest or base.number >= earlier[0].version.number:
            return False
        if len(self.changes) + len(earlier) > self.most_versions or size > self.most_changes:
            return False
        self.changes.extendleft(reversed(earlier))
        self.digests |= {change.version.number: change.version.digest for change in earlier}
        self.digests[base.number] = base.digest
        self.oldest, self.size = base, size
        return True

    def holds(self, version: Version) -> bool:
        """Can a delta start from this version? An unknown epoch (0) is told by its digest."""
        same_epoch = version.epoch in (0, self.newest.epoch)
        return same_epoch and self.digests.get(version.number) == version.digest

    def between(self, base: int, to: int) -> dict[str, bytes | None]:
        """All that changed after `base` up to `to`, each entry as it is at `to`: one coalesced delta."""
        merged: dict[str, bytes | None] = {}
        for change in reversed(self.changes):
            if change.version.number <= base:
                break
            if change.version.number <= to:
                for key, body in change.entries.items():
                    merged.setdefault(key, body)
        return merged
