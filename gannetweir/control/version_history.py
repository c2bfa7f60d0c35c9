"""A control machine's copy of a resource: its released and staged versions, and their slices.

The content is that of the newest *released* version; `staged_changes` lead from that content to the newest
version, which may be staged, that is, not yet released to all relays. A compacted log of recent versions
determines from which versions a delta can be made. A `VersionHistory` belongs to the resource's `Publisher`,
which replaces the history when the store starts a new epoch. Only `append`, `release` and `extend_back`
change the history.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from gannetweir.control.version_log import Change, VersionLog
from gannetweir.control.versions import Content, Entry, Reason, RejectedError, Resource, Slice, Version

# Bounds the entries of a slice, unless a single entry is larger. A relay ends a watch on which no complete
# message arrives for 2.75 s; at 7,500 bytes per second a slice of this size takes 1.6 s even uncompressed.
SLICE_BYTES = 12_000
# The largest size of an entry's encoding beyond its key and body.
ENTRY_OVERHEAD_BYTES = 40
# Sets of slices, one per base and target; few base versions are in use at a time.
MAX_CACHED_DELTAS = 64

_SliceKey = tuple[int | None, int]  # base number (None: a snapshot) and target number


class VersionHistory:
    """Content and recent versions of a resource, and the cached slices of these versions."""

    def __init__(self, resource: Resource, version: Version, entries: Iterable[Entry]) -> None:
        """Create a history that begins at a released version.

        Raises `RejectedError` if the digest of the entries is not the version's.
        """
        content = Content(entries)
        if content.digest != version.digest:
            raise RejectedError(
                Reason.DIGEST, f"content of version {version.number} does not match its digest"
            )
        self.resource = resource
        self.content = content
        self.released = version
        self.staged_changes: dict[str, bytes | None] = {}
        self.log = VersionLog(version)
        self.cached_slices: dict[_SliceKey, tuple[Slice, ...]] = {}

    @property
    def newest(self) -> Version:
        """The newest version, released or staged."""
        return self.log.newest

    def append(self, change: Change) -> None:
        """Add the next version as a staged version.

        Raises `RejectedError` if the version is not newer, or if its digest is not that of the resulting
        content. This history is then wrong and has to be replaced from the store.
        """
        version = change.version
        if version.epoch != self.newest.epoch or version.number <= self.newest.number:
            raise RejectedError(Reason.OLDER, f"version {version.number} after {self.newest.number}")
        staged_changes = {**self.staged_changes, **change.entries}
        if self.content.digest_after(staged_changes) != version.digest:
            raise RejectedError(
                Reason.DIGEST, f"content of version {version.number} does not match its digest"
            )
        self.log.add(change)
        self.staged_changes = staged_changes

    def release(self, number: int) -> bool:
        """Release the versions up to this number.

        Returns False if the version is already released or unknown. Raises `RejectedError` if its digest is
        not that of the resulting content.
        """
        is_staged = self.released.number < number <= self.newest.number
        if not is_staged or number not in self.log.digest_by_number:
            return False
        for key, body in self.log.changes_between(self.released.number, number).items():
            self.content.put(key, body)
        self.released = Version(self.newest.epoch, number, self.log.digest_by_number[number])
        if self.content.digest != self.released.digest:
            raise RejectedError(Reason.DIGEST, f"content of version {number} does not match its digest")
        self.staged_changes = self.log.changes_between(number, self.newest.number)
        return True

    def is_compacted(self, version: Version) -> bool:
        """Whether this is a version of the current epoch that is older than all versions in the log."""
        return version.epoch == self.newest.epoch and 0 < version.number < self.log.oldest.number

    def extend_back(self, base: Version, changes: Iterable[Change]) -> None:
        """Extend the log back to `base` with the store's changes after `base`.

        A relay that has applied `base` can then be sent a delta, although this machine started at a later
        version. Changes that do not lead to the log's oldest version are ignored.
        """
        self.log.extend_back(base, changes)

    def slices(self, base_number: int | None, target: Version) -> tuple[Slice, ...]:
        """Return a delta from the base, or a snapshot of the released content if the base is None.

        The slices are cached, and shared by all relays on that base.
        """
        key = (base_number, target.number)
        if key not in self.cached_slices:
            while len(self.cached_slices) >= MAX_CACHED_DELTAS:
                del self.cached_slices[next(iter(self.cached_slices))]
            self.cached_slices[key] = self._make_slices(base_number, target)
        return self.cached_slices[key]

    def _make_slices(self, base_number: int | None, target: Version) -> tuple[Slice, ...]:
        if base_number is None:
            entries = [Entry(key, body) for key, body in self.content.entries.items()]
        else:
            changes = self.log.changes_between(base_number, target.number)
            entries = [Entry(key, body) for key, body in changes.items()]
        groups = list(_groups_by_size(entries)) or [()]  # a delta without changes still takes one slice
        return tuple(
            Slice(self.resource, target, base_number, index, len(groups), group)
            for index, group in enumerate(groups)
        )


def _groups_by_size(entries: Iterable[Entry]) -> Iterator[tuple[Entry, ...]]:
    group: list[Entry] = []
    group_bytes = 0
    for entry in entries:
        entry_bytes = len(entry.key) + len(entry.body or b"") + ENTRY_OVERHEAD_BYTES
        if group and group_bytes + entry_bytes > SLICE_BYTES:
            yield tuple(group)
            group = []
            group_bytes = 0
        group.append(entry)
        group_bytes += entry_bytes
    if group:
        yield tuple(group)
