"""A version while a relay receives and checks it: slices in, checked changes out.

A `VersionAssembly` belongs to the `Follower` of its resource, from the version's first slice until the
version is accepted or rejected. It reads the follower's applied content and never changes it. Receiving a
slice takes constant time; entries are checked later, within a budget, so that no turn of the event loop
takes long.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Protocol

from gannetweir.control.versions import (
    MAX_CONTENT_BYTES,
    MAX_ENTRIES,
    MAX_ENTRY_BYTES,
    MAX_KEY_BYTES,
    Content,
    Entry,
    Reason,
    RejectedError,
    Resource,
    Slice,
    Version,
    add_to_digest,
)

MAX_SHOWN_KEY_CHARS = 40  # of a key in a rejection's detail


class VersionCheck(Protocol):
    """The relay's own checks. Each returns what is wrong, or an empty string."""

    def check_entry(self, resource: Resource, entry: Entry) -> str:
        """What is wrong with this entry by itself."""

    def check_version(
        self, resource: Resource, applied: Mapping[str, bytes], changes: Mapping[str, bytes | None]
    ) -> str:
        """What is wrong with applying the changes together, on what is applied.

        Must not iterate over a long list.
        """


class VersionAssembly:
    """One version that is being received.

    Invariants: `unchecked` has the entries of the received slices that are not in `changes` yet; `digest`,
    `entry_count` and `size_bytes` are those of the content that `changes` lead to.
    """

    def __init__(self, first_slice: Slice, applied: Content, check: VersionCheck) -> None:
        """Begins empty: `first_slice` is not received by this."""
        self.first_slice = first_slice
        self.applied = applied
        self.check = check
        self.received_slices = 0
        self.unchecked: deque[Entry] = deque()
        self.changes: dict[str, bytes | None] = {}
        self.keys_to_compare: deque[str] | None = None  # of a snapshot: applied keys that it may lack
        self.digest = 0
        self.entry_count = 0
        self.size_bytes = 0
        if not self.is_snapshot:
            self.rebase()

    @property
    def target(self) -> Version:
        """The version that is being received."""
        return self.first_slice.target

    @property
    def is_snapshot(self) -> bool:
        """Whether it replaces the applied content, rather than changes it."""
        return self.first_slice.base is None

    @property
    def is_complete(self) -> bool:
        """Whether all its slices were received."""
        return self.received_slices == self.first_slice.count

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing to check until another slice comes."""
        return not self.unchecked and not self.is_complete

    def rebase(self) -> None:
        """Begin a delta from the applied content as it is now; none of its entries may be checked yet."""
        self.digest = self.applied.digest
        self.size_bytes = self.applied.size_bytes
        self.entry_count = len(self.applied.entries)

    def add(self, part: Slice) -> None:
        """Receive a slice of this version; a duplicate is ignored. Raises `RejectedError`."""
        if part.count != self.first_slice.count:
            raise RejectedError(Reason.MALFORMED, f"{part.count} slices, first {self.first_slice.count}")
        if part.index < self.received_slices:
            return
        if part.index > self.received_slices:
            raise RejectedError(Reason.GAP, f"slice {part.index} after {self.received_slices} slices")
        self.received_slices += 1
        self.unchecked.extend(part.entries)
        if len(self.unchecked) + len(self.changes) > MAX_ENTRIES:
            raise RejectedError(Reason.TOO_LARGE, f"over {MAX_ENTRIES} entries")

    def check_received(self, budget_entries: int) -> bool:
        """Work on so many entries at most; True once the version is complete and each entry was checked.

        Raises `RejectedError`.
        """
        while self.unchecked and budget_entries > 0:
            budget_entries -= 1
            self._check_entry(self.unchecked.popleft())
        if not self.is_complete or self.unchecked:
            return False
        return not self.is_snapshot or self._remove_absent_keys(budget_entries)

    def _check_entry(self, entry: Entry) -> None:
        self._check_format(entry)
        applied_body = self.applied.entries.get(entry.key)
        if applied_body != entry.body and (fault := self.check.check_entry(self.first_slice.resource, entry)):
            raise RejectedError(Reason.CHECK, fault)
        self._add_change(entry, None if self.is_snapshot else applied_body)

    def _check_format(self, entry: Entry) -> None:
        key, body = entry.key, entry.body
        shown_key = key[:MAX_SHOWN_KEY_CHARS]
        if not key or len(key) > MAX_KEY_BYTES or key in self.changes:
            raise RejectedError(Reason.MALFORMED, f"bad or double key {shown_key!r}")
        if body is None and self.is_snapshot:
            raise RejectedError(Reason.MALFORMED, f"a snapshot without {shown_key!r}")
        if body is not None and len(body) > MAX_ENTRY_BYTES:
            raise RejectedError(Reason.TOO_LARGE, f"{shown_key!r} has {len(body)} bytes")

    def _add_change(self, entry: Entry, old: bytes | None) -> None:
        """Count the entry in; `old` is the body that it replaces."""
        key, body = entry.key, entry.body
        self.changes[key] = body
        self.digest = add_to_digest(self.digest, key, old, body)
        if body is not None:
            self.entry_count += 1
            self.size_bytes += len(key) + len(body)
        if old is not None:
            self.entry_count -= 1
            self.size_bytes -= len(key) + len(old)
        if self.entry_count > MAX_ENTRIES or self.size_bytes > MAX_CONTENT_BYTES:
            raise RejectedError(Reason.TOO_LARGE, f"{self.entry_count} entries, {self.size_bytes} bytes")

    def _remove_absent_keys(self, budget_entries: int) -> bool:
        """Remove what the snapshot lacks; True once every applied key was looked up."""
        if self.keys_to_compare is None:
            self.keys_to_compare = deque(self.applied.entries)
        while self.keys_to_compare and budget_entries > 0:
            budget_entries -= 1
            key = self.keys_to_compare.popleft()
            if key not in self.changes:
                self.changes[key] = None
        return not self.keys_to_compare

    def verify(self) -> None:
        """Check the version as such, after all its entries. Raises `RejectedError`."""
        if self.digest != self.target.digest:
            raise RejectedError(Reason.DIGEST, f"version {self.target.number} has another content")
        fault = self.check.check_version(self.first_slice.resource, self.applied.entries, self.changes)
        if fault:
            raise RejectedError(Reason.CHECK, fault)
