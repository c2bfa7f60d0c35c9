"""One resource at a control machine: its released and staged versions, and the slices of them.

The content is that of the newest *released* version; `staged_changes` lead from it to the newest version,
which may be staged, that is not for all relays yet. A log of recent versions with compaction says from
which versions a delta can be made. A `VersionHistory` belongs to its resource's `Publisher`, which replaces
it when the store begins anew; it is changed by `append`, `release` and `extend_back` only.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from gannetweir.control.version_log import Change, VersionLog
from gannetweir.control.versions import Content, Entry, Reason, RejectedError, Resource, Slice, Version

# A relay declares a watch dead that brings no complete message for 2.75 s: at 7,500 bytes a second a slice of
# this size takes 1.6 s, also where it can't be compressed.
SLICE_BYTES = 12_000  # of one slice's entries, unless it is a single larger one
ENTRY_OVERHEAD_BYTES = 40  # at most, what an entry takes on the wire beside its key and body
MAX_CACHED_DELTAS = 64  # sets of slices: relays stand on few different versions at a time

_SliceKey = tuple[int | None, int]  # base number (None: a snapshot) and target number


class VersionHistory:
    """One resource's content, recent versions, and the slices made of them."""

    def __init__(self, resource: Resource, version: Version, entries: Iterable[Entry]) -> None:
        """A history that begins at a released version.

        Raises `RejectedError` if the entries are not the version's.
        """
        content = Content(entries)
        if content.digest != version.digest:
            raise RejectedError(Reason.DIGEST, f"the content of version {version.number}")
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
        """Add the next version, staged.

        Raises `RejectedError` if it is not newer, or if its digest is not that of the content it leads to:
        then this history is wrong, and has to be replaced by the store's.
        """
        version = change.version
        if version.epoch != self.newest.epoch or version.number <= self.newest.number:
            raise RejectedError(Reason.OLDER, f"version {version.number} after {self.newest.number}")
        staged_changes = {**self.staged_changes, **change.entries}
        if self.content.digest_after(staged_changes) != version.digest:
            raise RejectedError(Reason.DIGEST, f"the content of version {version.number}")
        self.log.add(change)
        self.staged_changes = staged_changes

    def release(self, number: int) -> bool:
        """Release the versions up to this one; False if it is released already, or unknown.

        Raises `RejectedError` as `append` does.
        """
        is_staged = self.released.number < number <= self.newest.number
        if not is_staged or number not in self.log.digest_by_number:
            return False
        for key, body in self.log.changes_between(self.released.number, number).items():
            self.content.put(key, body)
        self.released = Version(self.newest.epoch, number, self.log.digest_by_number[number])
        if self.content.digest != self.released.digest:
            raise RejectedError(Reason.DIGEST, f"the content of version {number}")
        self.staged_changes = self.log.changes_between(number, self.newest.number)
        return True

    def is_compacted(self, version: Version) -> bool:
        """Whether this is an earlier version of the epoch, before those that the log covers."""
        return version.epoch == self.newest.epoch and 0 < version.number < self.log.oldest.number

    def extend_back(self, base: Version, changes: Iterable[Change]) -> None:
        """Cover earlier versions from `base` on by the store's changes after it.

        A relay that has applied `base` then gets a delta, although this machine started later. Changes that
        do not lead to the log's oldest version are left out.
        """
        self.log.extend_back(base, changes)

    def slices(self, base_number: int | None, target: Version) -> tuple[Slice, ...]:
        """A delta from the base, or a snapshot (None) of the released content.

        Made once for all relays on that base.
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
        groups = list(_groups_by_size(entries)) or [()]  # also a change of nothing is one slice
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
