"""A control machine's side of one resource: what each relay gets next, and where each relay stands."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from gannetweir.control.machine_selector import rendezvous_order
from gannetweir.control.stage import CanaryStage, ServiceTotals
from gannetweir.control.version_log import Change, VersionLog
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
)

# A relay takes a watch for dead that says nothing whole for 2.75 s: at 7,500 bytes a second a slice of this
# size takes 1.6 s, also where it can't be compressed.
SLICE_BYTES = 12_000
ENTRY_FRAME_BYTES = 40  # what an entry takes on the wire beside its body, at most (a removal's own text)
ACK_TIMEOUT_US = 6_000_000  # a relay that has not answered for a version by then is asked to call again
CANARIES_PER_MACHINE = 1  # relays of each control machine that get a staged version first
MAX_CACHED_DELTAS = 64

_SNAPSHOT_REASONS = {Reason.WRONG_BASE, Reason.GAP, Reason.DIGEST}  # what a snapshot may mend


class MachineBehindError(Exception):
    """The relay holds a later version than this machine: another machine has to serve it."""


@dataclass(slots=True)
class RelaySession:
    """One relay's watch."""

    relay: str
    applied: Version  # what the relay said that it holds, and after that what it acknowledged
    target: Version | None = None  # of the slices that are going out, or have gone and are not answered
    slices: tuple[Slice, ...] = ()
    sent_slices: int = 0  # of these slices
    last_sent_us: int = 0  # when the last of them went
    rejection: Nack | None = None  # its last answer, if that was a NACK
    needs_snapshot: bool = False  # a delta did not fit what it holds


class Publisher:
    """One resource. Versions up to `released` go to every relay; a staged one after it only to the canaries.

    A relay gets one version at a time. What changes until it has answered waits as one coalesced delta.
    """

    def __init__(self, resource: Resource, version: Version, entries: Iterable[Entry]) -> None:
        """Raises `RejectedError` where the entries are not the version's."""
        self.resource = resource
        self.sessions: dict[str, RelaySession] = {}
        self.load(version, entries)

    def load(self, version: Version, entries: Iterable[Entry]) -> None:
        """Begin again from a whole content: a new epoch, or a store whose log no longer reaches back."""
        content = Content(entries)
        if content.digest != version.digest:
            raise RejectedError(Reason.DIGEST, f"the content of version {version.number}")
        self.content, self.released = content, version  # the content is the released version's
        self.staged_changes: dict[str, bytes | None] = {}  # and this leads from it to the newest
        self.log = VersionLog(version)
        self.cached_slices: dict[tuple[int | None, int], tuple[Slice, ...]] = {}
        self.stage: CanaryStage | None = None  # of the newest version, while it is not released
        for session in self.sessions.values():
            session.target, session.slices, session.rejection = None, (), None

    @property
    def newest(self) -> Version:
        return self.log.newest

    def publish(self, change: Change, staged: bool = False) -> None:
        """The next version.

        Raises `RejectedError` if it is older, or its digest is not what it leads to: then this machine's copy
        is wrong, and it has to `load` the store's.
        """
        version = change.version
        if version.epoch != self.newest.epoch or version.number <= self.newest.number:
            raise RejectedError(Reason.OLDER, f"version {version.number} after {self.newest.number}")
        merged = {**self.staged_changes, **change.entries}
        if self.content.digest_after(merged) != version.digest:
            raise RejectedError(Reason.DIGEST, f"the content of version {version.number}")
        self.log.add(change)
        self.staged_changes = merged
        if staged:
            self.stage = CanaryStage(version)
            self._choose_canaries(self.stage)
        else:
            self.release(version.number)

    def release(self, number: int) -> None:
        """All relays may have the versions up to this one. Raises `RejectedError` as `publish` does."""
        if not self.released.number < number <= self.newest.number or number not in self.log.digest_by_number:
            return
        for key, body in self.log.changes_between(self.released.number, number).items():
            self.content.put(key, body)
        self.released = Version(self.newest.epoch, number, self.log.digest_by_number[number])
        if self.content.digest != self.released.digest:
            raise RejectedError(Reason.DIGEST, f"the content of version {number}")
        self.staged_changes = self.log.changes_between(number, self.newest.number)
        if self.newest == self.released:
            self.stage = None

    def _choose_canaries(self, stage: CanaryStage) -> None:
        """Others for each staged version, so that no relay is always the first to suffer."""
        stage.choose_canaries(
            rendezvous_order(f"{stage.version.epoch}/{stage.version.number}", self.sessions)[
                :CANARIES_PER_MACHINE
            ]
        )

    def is_compacted(self, applied: Version) -> bool:
        """Is this an earlier version of the epoch that the log does not reach back to?"""
        return applied.epoch == self.newest.epoch and 0 < applied.number < self.log.oldest.number

    def extend_log_back(self, base: Version, changes: Iterable[Change]) -> None:
        """The store's changes after an earlier version: a relay that holds it then gets a delta, where this
        machine started after it. Changes that do not lead to the log's oldest version are left out.
        """
        self.log.extend_back(base, changes)

    # ---- relays

    def subscribe(self, relay: str, applied: Version) -> None:
        """A relay's watch began. Raises `BehindError`."""
        newest = self.newest
        if (applied.epoch, applied.number) > (newest.epoch, newest.number):
            raise MachineBehindError(
                f"{relay} holds {applied.epoch}/{applied.number}, here {newest.epoch}/{newest.number}"
            )
        self.sessions[relay] = RelaySession(relay, applied)
        if self.stage is not None:
            self._choose_canaries(self.stage)

    def unsubscribe(self, relay: str) -> None:
        """Its watch ended."""
        if self.sessions.pop(relay, None) is not None and self.stage is not None:
            self.stage.relay_disconnected(relay)
            self._choose_canaries(self.stage)

    def target_for(self, relay: str) -> Version:
        """The version that this relay is to reach now."""
        return self.newest if self.stage is not None and relay in self.stage.canaries else self.released

    def next_slice(self, relay: str, now_us: int) -> Slice | None:
        """What goes to this relay now; None while it has all, or owes an answer."""
        session = self.sessions[relay]
        if session.target is None and not self._begin(session):
            return None
        if session.sent_slices == len(session.slices):
            return None
        session.sent_slices += 1
        session.last_sent_us = now_us
        return session.slices[session.sent_slices - 1]

    def _begin(self, session: RelaySession) -> bool:
        target, applied = self.target_for(session.relay), session.applied
        rejected = session.rejection is not None and session.rejection.version == target
        # one that was canary of a version since withdrawn waits for the version that follows
        ahead = applied.epoch == target.epoch and applied.number > target.number
        if applied == target or ahead or (rejected and not session.needs_snapshot):
            return False
        base = applied.number if not session.needs_snapshot and self.log.contains(applied) else None
        if base is None:
            target = self.released  # the content that is here; a staged version follows as a delta
        session.target, session.slices = target, self._slices(base, target)
        session.sent_slices, session.needs_snapshot = 0, False
        return True

    def _slices(self, base: int | None, target: Version) -> tuple[Slice, ...]:
        """Cut once for all relays that stand on the same version."""
        key = (base, target.number)
        if key not in self.cached_slices:
            while len(self.cached_slices) >= MAX_CACHED_DELTAS:
                del self.cached_slices[next(iter(self.cached_slices))]
            changes = self.content.entries if base is None else self.log.changes_between(base, target.number)
            entries = [Entry(name, body) for name, body in changes.items()]
            parts = list(_parts(entries)) or [()]
            count = len(parts)
            self.cached_slices[key] = tuple(
                Slice(self.resource, target, base, index, count, part) for index, part in enumerate(parts)
            )
        return self.cached_slices[key]

    def record_answer(self, relay: str, answer: Ack | Nack, totals: ServiceTotals | None = None) -> None:
        """A relay's ACK or NACK. One for another version than the last that went out changes nothing."""
        if self.stage is not None:
            self.stage.record_answer(relay, answer, totals)
        session = self.sessions.get(relay)
        if session is None or answer.version != session.target:
            return
        if isinstance(answer, Ack):
            session.applied, session.rejection = answer.version, None
        else:
            again = session.rejection is not None and session.rejection.version == answer.version
            session.applied, session.rejection = answer.applied, answer
            # once: a relay that turns the snapshot down as well waits for the next version
            session.needs_snapshot = answer.reason in _SNAPSHOT_REASONS and not again
        session.target, session.slices = None, ()

    def is_ack_overdue(self, relay: str, now_us: int) -> bool:
        """Has the relay had all of a version for too long without an answer?"""
        session = self.sessions[relay]
        if session.target is None or session.sent_slices < len(session.slices):
            return False
        session.last_sent_us = min(session.last_sent_us, now_us)  # a clock that was set back
        return now_us - session.last_sent_us > ACK_TIMEOUT_US


def _parts(entries: Iterable[Entry]) -> Iterator[tuple[Entry, ...]]:
    part: list[Entry] = []
    size = 0
    for entry in entries:
        cost = len(entry.key) + len(entry.body or b"") + ENTRY_FRAME_BYTES
        if part and size + cost > SLICE_BYTES:
            yield tuple(part)
            part, size = [], 0
        part.append(entry)
        size += cost
    if part:
        yield tuple(part)
