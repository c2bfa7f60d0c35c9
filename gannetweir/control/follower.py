"""A relay's side of one resource: checks a version, applies it step by step, and sends ACK or NACK.

The last good version stays applied until all of the next one was received and checked; a step's work is
bounded. The states of a follower:

    waiting     nothing to do until a slice comes
    receiving   `assembly` is a version of which slices or checks are missing
    applying    `unapplied` is the rest of an accepted version; the next one may be received meanwhile

A `Follower` belongs to the relay's `ControlDriver`, which passes every slice to `receive`, calls `step` until
`is_idle`, and carries out the events. The follower owns `applied`, the content that the relay is to have.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from gannetweir.control.assembly import VersionAssembly, VersionCheck
from gannetweir.control.versions import (
    Ack,
    Content,
    Entry,
    Nack,
    Reason,
    RejectedError,
    Resource,
    Slice,
    Version,
    check_slice,
)

# Entries in one `step`. To apply an entry (parse and hash it, notify the engine and the balancer) takes 25 to
# 35 µs, to check one less: a step takes under half of the 20 ms for which control may block the loop.
ENTRIES_PER_STEP = 250
MAX_DETAIL_CHARS = 200  # of a NACK: bounds the answer and the machine's report

# Rejections of a version's content: the same version won't be better the next time.
_PERMANENT_REASONS = frozenset({Reason.CHECK, Reason.TOO_LARGE})


@dataclass(frozen=True, slots=True)
class ApplyEntries:
    """Apply these entries now; they are part of `version`, which was accepted."""

    resource: Resource
    version: Version
    entries: tuple[Entry, ...]
    completes_version: bool  # these are its last entries


FollowerEvent = ApplyEntries | Ack | Nack


class Follower:
    """One resource at one relay.

    `applied_version` is the last one accepted, also while it is being applied.
    """

    def __init__(
        self,
        resource: Resource,
        check: VersionCheck,
        applied: Iterable[Entry] = (),
        number: int = 0,
        epoch: int = 0,
    ) -> None:
        """`applied` is what the relay was started with, at `number` of an epoch that may be unknown (0)."""
        self.resource = resource
        self.check = check
        self.applied = Content(applied)
        self.applied_version = Version(epoch, number, self.applied.digest)
        self.assembly: VersionAssembly | None = None
        self.unapplied: deque[tuple[str, bytes | None]] | None = None
        self.permanent_rejection: tuple[Version, RejectedError] | None = None
        self.last_rejected: Version | None = None  # further slices of it may come, and are not answered

    @property
    def is_idle(self) -> bool:
        """Whether `step` has nothing to do."""
        return self.unapplied is None and (self.assembly is None or self.assembly.is_idle)

    def receive(self, part: Slice) -> list[FollowerEvent]:
        """Receive one slice, in constant time: its entries are checked in `step`."""
        if part.index and part.target == self.last_rejected:
            return []
        self.last_rejected = None
        try:
            check_slice(part)
            if part.target == self.applied_version:
                return self._acknowledge_duplicate(part)
            self._check_order(part)
            self._add_to_assembly(part)
        except RejectedError as error:
            return [self._make_nack(part.target, error)]
        return []

    def disconnected(self) -> None:
        """The watch ended: a version of which slices are missing won't be completed."""
        if self.assembly is not None and not self.assembly.is_complete:
            self.assembly = None

    def step(self, budget_entries: int = ENTRIES_PER_STEP) -> list[FollowerEvent]:
        """Apply or check so many entries at most."""
        if self.unapplied is not None:
            return self._apply(self.unapplied, budget_entries)
        assembly = self.assembly
        if assembly is not None:
            try:
                if assembly.check_received(budget_entries):
                    self._accept(assembly)
            except RejectedError as error:
                return [self._make_nack(assembly.target, error)]
        return []

    def _acknowledge_duplicate(self, part: Slice) -> list[FollowerEvent]:
        """Acknowledge the applied version once more, unless its first ACK is still to come."""
        if part.index == 0 and self.unapplied is None:
            return [Ack(self.resource, self.applied_version)]
        return []

    def _check_order(self, part: Slice) -> None:
        """A version may follow the applied one if it is newer, and a delta if it begins from it."""
        target, applied = part.target, self.applied_version
        if self.permanent_rejection is not None and self.permanent_rejection[0] == target:
            raise self.permanent_rejection[1]
        if target.epoch < applied.epoch:
            raise RejectedError(Reason.OLDER, f"epoch {target.epoch} after {applied.epoch}")
        if target.epoch == applied.epoch:
            if target.number < applied.number:
                raise RejectedError(Reason.OLDER, f"version {target.number} after {applied.number}")
            if target.number == applied.number and target.digest != applied.digest:
                raise RejectedError(Reason.CONFLICT, f"version {target.number} with another content")
        if part.base is not None and (part.base != applied.number or applied.epoch not in (0, target.epoch)):
            raise RejectedError(Reason.WRONG_BASE, f"from {part.base}, held is {applied.number}")

    def _add_to_assembly(self, part: Slice) -> None:
        assembly = self.assembly
        if assembly is None or part.target != assembly.target or part.base != assembly.first_slice.base:
            assembly = self._begin_assembly(part)
        assembly.add(part)

    def _begin_assembly(self, part: Slice) -> VersionAssembly:
        """Receive another version from now on, in place of an earlier one that is incomplete."""
        if self.assembly is not None:
            target, current = part.target, self.assembly.target
            if (target.epoch, target.number) < (current.epoch, current.number):
                raise RejectedError(Reason.OLDER, f"version {target.number} while {current.number} comes in")
        if part.index:
            raise RejectedError(Reason.GAP, f"begins with slice {part.index}")
        # a delta on a version that is still being applied is rebased when that is done
        self.assembly = VersionAssembly(part, self.applied, self.check)
        return self.assembly

    def _make_nack(self, target: Version, error: RejectedError) -> Nack:
        if self.assembly is not None and self.assembly.target == target:
            self.assembly = None
        if error.reason in _PERMANENT_REASONS:
            self.permanent_rejection = (target, error)
        self.last_rejected = target
        detail = error.detail[:MAX_DETAIL_CHARS]
        return Nack(self.resource, target, error.reason, detail, self.applied_version)

    def _accept(self, assembly: VersionAssembly) -> None:
        assembly.verify()
        self.unapplied = deque(assembly.changes.items())
        self.applied_version = assembly.target
        self.assembly = None
        self.permanent_rejection = None

    def _apply(self, unapplied: deque[tuple[str, bytes | None]], budget_entries: int) -> list[FollowerEvent]:
        entries = list[Entry]()
        for _ in range(min(budget_entries, len(unapplied))):
            key, body = unapplied.popleft()
            if self.applied.entries.get(key) != body:  # most of a snapshot is applied already
                self.applied.put(key, body)
                entries.append(Entry(key, body))
        completes_version = not unapplied
        events: list[FollowerEvent] = [
            ApplyEntries(self.resource, self.applied_version, tuple(entries), completes_version)
        ]
        if completes_version:
            self.unapplied = None
            events.append(Ack(self.resource, self.applied_version))
            if self.assembly is not None and not self.assembly.is_snapshot:
                self.assembly.rebase()  # it was begun on a content that was not all applied
        return events
