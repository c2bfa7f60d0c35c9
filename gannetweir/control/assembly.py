"""Reassembly of a version at a relay: collects the slices and checks their entries.

A `VersionAssembly` belongs to the `Follower` of its resource, from the version's first slice until the
version is accepted or rejected. The assembly reads the follower's applied content and never changes that
content. Receiving a slice takes constant time. Entries are checked later, a limited number at a time, so that
no iteration of the event loop takes long.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Protocol

from gannetweir.control.versions import (
    MAX_CONTENT_BYTES,
    MAX_ENTRIES,
    MAX_ENTRY_BYTES,
    MAX_KEY_CHARS,
    Content,
    Entry,
    Reason,
    RejectedError,
    Resource,
    Slice,
    Version,
    add_to_digest,
)

# Longer keys are truncated in the detail of a NACK.
MAX_SHOWN_KEY_CHARS = 40


class VersionCheck(Protocol):
    """The relay's own checks. Each returns a description of the fault, or an empty string."""

    def check_entry(self, resource: Resource, entry: Entry) -> str:
        """Check one entry, independently of all others."""

    def check_version(
        self, resource: Resource, applied: Mapping[str, bytes], changes: Mapping[str, bytes | None]
    ) -> str:
        """Check the content that results from making all changes to the applied entries.

        The call blocks the event loop: an implementation must not iterate over the endpoint list.
        """


class VersionAssembly:
    """A version that is being received.

    Invariants: `unchecked` holds the entries of received slices that are not in `changes` yet; `digest`,
    `entry_count` and `size_bytes` describe the content that results from `changes`.
    """

    def __init__(self, first_slice: Slice, applied: Content, check: VersionCheck) -> None:
        """Create an empty assembly; the caller still passes `first_slice` to `add`."""
        self.first_slice = first_slice
        self.applied = applied
        self.check = check
        self.received_slices = 0
        self.unchecked: deque[Entry] = deque()
        self.changes: dict[str, bytes | None] = {}
        # Applied keys that have not yet been looked up in a snapshot; None until that begins.
        self.keys_to_compare: deque[str] | None = None
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
        """Whether the version replaces the applied content; a delta changes it."""
        return self.first_slice.base is None

    @property
    def is_complete(self) -> bool:
        """Whether all slices of the version were received."""
        return self.received_slices == self.first_slice.count

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing to check until another slice arrives."""
        return not self.unchecked and not self.is_complete

    def rebase(self) -> None:
        """Restart a delta's totals from the current applied content; no entry may have been checked yet."""
        self.digest = self.applied.digest
        self.size_bytes = self.applied.size_bytes
        self.entry_count = len(self.applied.entries)

    def add(self, part: Slice) -> None:
        """Receive a slice of this version; a duplicate is ignored.

        Raises `RejectedError` if the slice count differs from the first slice's, a slice is missing before
        this one, or the version has too many entries.
        """
        if part.count != self.first_slice.count:
            raise RejectedError(
                Reason.MALFORMED, f"expected {self.first_slice.count} slices, got {part.count}"
            )
        if part.index < self.received_slices:
            return
        if part.index > self.received_slices:
            raise RejectedError(Reason.GAP, f"expected slice {self.received_slices}, got {part.index}")
        self.received_slices += 1
        self.unchecked.extend(part.entries)
        if len(self.unchecked) + len(self.changes) > MAX_ENTRIES:
            raise RejectedError(Reason.TOO_LARGE, f"expected at most {MAX_ENTRIES} entries, got more")

    def check_received(self, budget_entries: int) -> bool:
        """Check at most `budget_entries` entries.

        Returns True once the version is complete and every entry was checked. Raises `RejectedError` for an
        entry that is malformed, too large or fails the relay's own check.
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
        if not key or len(key) > MAX_KEY_CHARS or key in self.changes:
            raise RejectedError(
                Reason.MALFORMED,
                f"expected a unique key of 1 to {MAX_KEY_CHARS} characters, got {shown_key!r}",
            )
        if body is None and self.is_snapshot:
            raise RejectedError(Reason.MALFORMED, f"expected a body for {shown_key!r} in a snapshot")
        if body is not None and len(body) > MAX_ENTRY_BYTES:
            raise RejectedError(
                Reason.TOO_LARGE,
                f"expected at most {MAX_ENTRY_BYTES} bytes for {shown_key!r}, got {len(body)}",
            )

    def _add_change(self, entry: Entry, old: bytes | None) -> None:
        """Add the entry to the changes and the totals; `old` is the body that the entry replaces."""
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
            raise RejectedError(
                Reason.TOO_LARGE,
                f"expected at most {MAX_ENTRIES} entries and {MAX_CONTENT_BYTES} bytes, "
                f"got {self.entry_count} and {self.size_bytes}",
            )

    def _remove_absent_keys(self, budget_entries: int) -> bool:
        """Remove applied keys that are not in the snapshot; return True once every key was looked up."""
        if self.keys_to_compare is None:
            self.keys_to_compare = deque(self.applied.entries)
        while self.keys_to_compare and budget_entries > 0:
            budget_entries -= 1
            key = self.keys_to_compare.popleft()
            if key not in self.changes:
                self.changes[key] = None
        return not self.keys_to_compare

    def verify(self) -> None:
        """Check the digest and the resulting content, after all entries. Raises `RejectedError`."""
        if self.digest != self.target.digest:
            raise RejectedError(
                Reason.DIGEST, f"content of version {self.target.number} does not match its digest"
            )
        fault = self.check.check_version(self.first_slice.resource, self.applied.entries, self.changes)
        if fault:
            raise RejectedError(Reason.CHECK, fault)
