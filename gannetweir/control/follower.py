"""A relay's side: assembles slices into a version, checks it, and brings it into force step by step.

The last good version holds until all of the next one has passed. A step's work is bounded.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from gannetweir.control.versions import (
    MAX_CONTENT_BYTES,
    MAX_ENTRIES,
    MAX_ENTRY_BYTES,
    MAX_KEY_BYTES,
    Ack,
    Content,
    Entry,
    Nack,
    Reason,
    RejectedError,
    Resource,
    Slice,
    Version,
    add_to_digest,
    check_slice,
)

# To apply an entry (read it, hash it, tell the engine and the module) takes 25 to 35 µs, to check one less: a
# step of this many takes under half of the 20 ms for which control may hold the loop.
ENTRIES_PER_STEP = 250


class VersionCheck(Protocol):
    """The relay's own checks. Each returns what is wrong, or an empty string."""

    def check_entry(self, resource: Resource, entry: Entry) -> str:
        """Can this entry be used?"""

    def check_version(
        self, resource: Resource, applied: Mapping[str, bytes], changes: Mapping[str, bytes | None]
    ) -> str:
        """May the changes come into force together, on what is held? Must not walk a long list."""


@dataclass(frozen=True, slots=True)
class ApplyEntries:
    """Bring these entries into force now; they are part of `version`, which is good."""

    resource: Resource
    version: Version
    entries: tuple[Entry, ...]
    completes_version: bool  # of this version


FollowerEvent = ApplyEntries | Ack | Nack


@dataclass(slots=True)
class _Assembly:
    """A version that is coming in."""

    first: Slice
    digest: int
    count: int  # of entries, once it is in force
    size: int
    received: int = 0  # slices
    waiting: deque[Entry] = field(default_factory=deque)  # not checked yet
    changes: dict[str, bytes | None] = field(default_factory=dict)
    unseen: deque[str] | None = None  # of a snapshot: what is held and may be missing in it

    @property
    def target(self) -> Version:
        return self.first.target

    @property
    def snapshot(self) -> bool:
        return self.first.base is None


class Follower:
    """One resource at one relay."""

    def __init__(
        self,
        resource: Resource,
        check: VersionCheck,
        applied: Iterable[Entry] = (),
        number: int = 0,
        epoch: int = 0,
    ) -> None:
        """`held` is what the relay was started with, at `number` of an epoch that may be unknown (0)."""
        self.resource, self.check = resource, check
        self.applied = Content(applied)
        self.applied_version = Version(epoch, number, self.applied.digest)  # the last good one
        self.assembly: _Assembly | None = None
        self.unapplied: deque[tuple[str, bytes | None]] | None = None  # what is left of an accepted version
        self.permanent_rejection: tuple[Version, RejectedError] | None = None  # for good
        self.last_rejected: Version | None = None  # the rest of it may still be under way

    @property
    def is_idle(self) -> bool:
        """Has `step` nothing to do?"""
        assembly = self.assembly
        return self.unapplied is None and (
            assembly is None or not (assembly.waiting or self._whole(assembly))
        )

    def receive(self, part: Slice) -> list[FollowerEvent]:
        """One slice, in constant time: what it holds is looked at in `step`."""
        try:
            if part.index and part.target == self.last_rejected:
                return []
            self.last_rejected = None
            check_slice(part)
            if (
                part.target == self.applied_version
            ):  # a duplicate: acknowledged once more, unless that is still to come
                return (
                    [Ack(self.resource, self.applied_version)]
                    if part.index == 0 and self.unapplied is None
                    else []
                )
            self._check_order(part)
            self._take(part)
        except RejectedError as error:
            return [self._reject(part.target, error)]
        return []

    def disconnected(self) -> None:
        """The watch ended: a version of which slices are missing won't be completed."""
        if self.assembly is not None and not self._whole(self.assembly):
            self.assembly = None

    def step(self, budget_entries: int = ENTRIES_PER_STEP) -> list[FollowerEvent]:
        """Work on so many entries at most."""
        if self.unapplied is not None:
            return self._apply(self.unapplied, budget_entries)
        assembly = self.assembly
        if assembly is not None:
            try:
                left = self._check_entries(assembly, budget_entries)
                if self._whole(assembly) and not assembly.waiting and self._find_missing(assembly, left):
                    self._accept(assembly)
            except RejectedError as error:
                return [self._reject(assembly.target, error)]
        return []

    # ---- receiving

    def _check_order(self, part: Slice) -> None:
        target, held = part.target, self.applied_version
        if self.permanent_rejection is not None and self.permanent_rejection[0] == target:
            raise self.permanent_rejection[1]
        if target.epoch < held.epoch:
            raise RejectedError(Reason.OLDER, f"epoch {target.epoch} after {held.epoch}")
        if target.epoch == held.epoch:
            if target.number < held.number:
                raise RejectedError(Reason.OLDER, f"version {target.number} after {held.number}")
            if target.number == held.number and target.digest != held.digest:
                raise RejectedError(Reason.CONFLICT, f"version {target.number} with another content")
        if part.base is not None and (part.base != held.number or held.epoch not in (0, target.epoch)):
            raise RejectedError(Reason.WRONG_BASE, f"from {part.base}, held is {held.number}")

    def _take(self, part: Slice) -> None:
        assembly = self.assembly
        if assembly is None or part.target != assembly.target or part.base != assembly.first.base:
            assembly = self._begin(part)
        if part.count != assembly.first.count:
            raise RejectedError(Reason.MALFORMED, f"{part.count} slices, first {assembly.first.count}")
        if part.index < assembly.received:
            return  # a duplicate
        if part.index > assembly.received:
            raise RejectedError(Reason.GAP, f"slice {part.index} after {assembly.received} slices")
        assembly.received += 1
        assembly.waiting.extend(part.entries)
        if len(assembly.waiting) + len(assembly.changes) > MAX_ENTRIES:
            raise RejectedError(Reason.TOO_LARGE, f"over {MAX_ENTRIES} entries")

    def _begin(self, part: Slice) -> _Assembly:
        if self.assembly is not None:
            target, under_way = part.target, self.assembly.target
            if (target.epoch, target.number) < (under_way.epoch, under_way.number):
                raise RejectedError(
                    Reason.OLDER, f"version {target.number} while {under_way.number} comes in"
                )
        if part.index:
            raise RejectedError(Reason.GAP, f"begins with slice {part.index}")
        content = self.applied
        delta = part.base is not None
        # Where a version is still being applied, `step` finishes it first and sets these anew.
        self.assembly = _Assembly(
            part,
            content.digest if delta else 0,
            len(content.entries) if delta else 0,
            content.size_bytes if delta else 0,
        )
        return self.assembly

    def _reject(self, target: Version, error: RejectedError) -> Nack:
        if self.assembly is not None and self.assembly.target == target:
            self.assembly = None
        if error.reason in (Reason.CHECK, Reason.TOO_LARGE):  # it won't be better the next time
            self.permanent_rejection = (target, error)
        self.last_rejected = target
        return Nack(self.resource, target, error.reason, error.detail[:200], self.applied_version)

    # ---- checking

    @staticmethod
    def _whole(assembly: _Assembly) -> bool:
        return assembly.received == assembly.first.count

    def _check_entries(self, assembly: _Assembly, budget: int) -> int:
        """Check what has come in; what is left of the budget."""
        while assembly.waiting and budget > 0:
            budget -= 1
            self._check_entry(assembly, assembly.waiting.popleft())
        return budget

    def _check_entry(self, assembly: _Assembly, entry: Entry) -> None:
        key, body = entry.key, entry.body
        if not key or len(key) > MAX_KEY_BYTES or key in assembly.changes:
            raise RejectedError(Reason.MALFORMED, f"bad or double key {key[:40]!r}")
        if body is None and assembly.snapshot:
            raise RejectedError(Reason.MALFORMED, f"a snapshot without {key[:40]!r}")
        if body is not None and len(body) > MAX_ENTRY_BYTES:
            raise RejectedError(Reason.TOO_LARGE, f"{key[:40]!r} has {len(body)} bytes")
        held = self.applied.entries.get(key)
        if held != body and (wrong := self.check.check_entry(self.resource, entry)):
            raise RejectedError(Reason.CHECK, wrong)
        old = None if assembly.snapshot else held
        assembly.changes[key] = body
        assembly.digest = add_to_digest(assembly.digest, key, old, body)
        assembly.count += (body is not None) - (old is not None)
        assembly.size += _bytes_of(key, body) - _bytes_of(key, old)
        if assembly.count > MAX_ENTRIES or assembly.size > MAX_CONTENT_BYTES:
            raise RejectedError(Reason.TOO_LARGE, f"{assembly.count} entries, {assembly.size} bytes")

    def _find_missing(self, assembly: _Assembly, budget: int) -> bool:
        """What a snapshot lacks is removed. True once all that is held was looked at."""
        if not assembly.snapshot:
            return True
        if assembly.unseen is None:
            assembly.unseen = deque(self.applied.entries)
        while assembly.unseen and budget > 0:
            budget -= 1
            key = assembly.unseen.popleft()
            if key not in assembly.changes:
                assembly.changes[key] = None
        return not assembly.unseen

    def _accept(self, assembly: _Assembly) -> None:
        if assembly.digest != assembly.target.digest:
            raise RejectedError(Reason.DIGEST, f"version {assembly.target.number} has another content")
        if wrong := self.check.check_version(self.resource, self.applied.entries, assembly.changes):
            raise RejectedError(Reason.CHECK, wrong)
        self.unapplied = deque(assembly.changes.items())
        self.applied_version, self.assembly, self.permanent_rejection = assembly.target, None, None

    # ---- into force

    def _apply(self, left: deque[tuple[str, bytes | None]], budget: int) -> list[FollowerEvent]:
        entries = list[Entry]()
        for _ in range(min(budget, len(left))):
            key, body = left.popleft()
            if self.applied.entries.get(key) != body:  # a snapshot holds much that is so already
                self.applied.put(key, body)
                entries.append(Entry(key, body))
        last = not left
        events: list[FollowerEvent] = [
            ApplyEntries(self.resource, self.applied_version, tuple(entries), last)
        ]
        if last:
            self.unapplied = None
            events.append(Ack(self.resource, self.applied_version))
            if self.assembly is not None and not self.assembly.snapshot:
                self._rebase(self.assembly)
        return events

    def _rebase(self, assembly: _Assembly) -> None:
        """A delta that began to come in meanwhile starts from what is held now; none of it is checked yet."""
        assembly.digest, assembly.size = self.applied.digest, self.applied.size_bytes
        assembly.count = len(self.applied.entries)


def _bytes_of(key: str, body: bytes | None) -> int:
    return 0 if body is None else len(key) + len(body)
