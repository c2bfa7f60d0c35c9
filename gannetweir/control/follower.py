"""A relay's side of one resource: checks each version, applies its entries in steps, returns ACK or NACK.

The last good version stays applied until the next version was completely received and checked. The work of
one step is bounded. A follower is in one of these states:

    waiting     nothing to do until a slice arrives
    receiving   `assembly` is a version with slices to receive or entries to check
    applying    `unapplied` has the remaining entries of an accepted version; the next version can be
                received at the same time

A `Follower` belongs to the relay's `ControlDriver`, which passes every slice to `receive`, calls `step` until
`is_idle`, and carries out the events. The follower owns `applied`, the content that the relay should have.
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

# Applying an entry (parsing and hashing it, updating the engine and the load balancer) takes 25 to 35 µs,
# checking one takes less. A step therefore takes less than half of the 20 ms for which the control plane may
# block the event loop.
ENTRIES_PER_STEP = 250
# Bounds the size of a NACK and of the control machine's status report.
MAX_DETAIL_CHARS = 200

# The content of the version is at fault: the same version would be rejected again.
_PERMANENT_REASONS = frozenset({Reason.CHECK, Reason.TOO_LARGE})


@dataclass(frozen=True, slots=True)
class ApplyEntries:
    """Apply these entries of `version`, which was accepted."""

    resource: Resource
    version: Version
    entries: tuple[Entry, ...]
    completes_version: bool  # True for the last entries of the version


FollowerEvent = ApplyEntries | Ack | Nack


class Follower:
    """State of one resource at a relay.

    `applied_version` is the last accepted version, even while its entries are still being applied.
    """

    def __init__(
        self,
        resource: Resource,
        check: VersionCheck,
        applied: Iterable[Entry] = (),
        number: int = 0,
        epoch: int = 0,
    ) -> None:
        """Create a follower of the relay's initial content.

        `applied` has the entries of version `number`; `epoch` 0 means that the epoch is unknown.
        """
        self.resource = resource
        self.check = check
        self.applied = Content(applied)
        self.applied_version = Version(epoch, number, self.applied.digest)
        self.assembly: VersionAssembly | None = None
        self.unapplied: deque[tuple[str, bytes | None]] | None = None
        self.permanent_rejection: tuple[Version, RejectedError] | None = None
        # The last NACK answered this version; further slices of it may still arrive and are ignored.
        self.last_rejected: Version | None = None

    @property
    def is_idle(self) -> bool:
        """Whether `step` has nothing to do."""
        return self.unapplied is None and (self.assembly is None or self.assembly.is_idle)

    def receive(self, part: Slice) -> list[FollowerEvent]:
        """Receive one slice in constant time; `step` checks its entries.

        Returns a NACK if the slice is rejected, an ACK if its version is already applied.
        """
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
        """Discard an incomplete version: its remaining slices will not arrive after the end of the watch."""
        if self.assembly is not None and not self.assembly.is_complete:
            self.assembly = None

    def step(self, budget_entries: int = ENTRIES_PER_STEP) -> list[FollowerEvent]:
        """Apply or check at most `budget_entries` entries, and return the resulting events."""
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
        """Acknowledge the applied version again, unless its first ACK was not yet sent."""
        if part.index == 0 and self.unapplied is None:
            return [Ack(self.resource, self.applied_version)]
        return []

    def _check_order(self, part: Slice) -> None:
        """Reject a version older than the applied one, and a delta from any other base.

        Raises `RejectedError`; a permanent rejection of the same version is raised again.
        """
        target, applied = part.target, self.applied_version
        if self.permanent_rejection is not None and self.permanent_rejection[0] == target:
            raise self.permanent_rejection[1]
        if target.epoch < applied.epoch:
            raise RejectedError(Reason.OLDER, f"epoch {target.epoch} after {applied.epoch}")
        if target.epoch == applied.epoch:
            if target.number < applied.number:
                raise RejectedError(Reason.OLDER, f"version {target.number} after {applied.number}")
            if target.number == applied.number and target.digest != applied.digest:
                raise RejectedError(
                    Reason.CONFLICT, f"version {target.number} is applied with another content"
                )
        if part.base is not None and (part.base != applied.number or applied.epoch not in (0, target.epoch)):
            raise RejectedError(
                Reason.WRONG_BASE, f"delta from version {part.base}, the applied version is {applied.number}"
            )

    def _add_to_assembly(self, part: Slice) -> None:
        assembly = self.assembly
        if assembly is None or part.target != assembly.target or part.base != assembly.first_slice.base:
            assembly = self._begin_assembly(part)
        assembly.add(part)

    def _begin_assembly(self, part: Slice) -> VersionAssembly:
        """Start to receive another version; an incomplete older one is discarded.

        Raises `RejectedError` if the version is older than the incomplete one, or its first slice is missing.
        """
        if self.assembly is not None:
            target, current = part.target, self.assembly.target
            if (target.epoch, target.number) < (current.epoch, current.number):
                raise RejectedError(Reason.OLDER, f"version {target.number} while receiving {current.number}")
        if part.index:
            raise RejectedError(Reason.GAP, f"expected slice 0 first, got {part.index}")
        # If the applied version is still being applied, `_apply` rebases a delta afterwards.
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
            if self.applied.entries.get(key) != body:  # a snapshot repeats many unchanged entries
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
                # The delta was begun while the applied content was still incomplete.
                self.assembly.rebase()
        return events
