"""A control machine's side of one resource: what each relay gets next, and what it has acknowledged.

Released versions go to every relay, a staged one to the canaries only (see `stage`). A relay gets one
version at a time, as a delta from what it has applied or else as a snapshot; what changes until it has
answered is coalesced into one delta. A rejected version is not sent again; a delta that did not fit is
followed by one snapshot.

A `Publisher` belongs to the `ControlMachine`. It owns the resource's `VersionHistory`, the sessions of its
relays, and the stage of the newest version. The driver feeds it the store's changes (`load`, `publish`,
`release`).
"""

from __future__ import annotations

from collections.abc import Iterable

from gannetweir.control.machine_selector import rendezvous_order
from gannetweir.control.session import RelaySession
from gannetweir.control.stage import CanaryStage, ServiceTotals
from gannetweir.control.version_history import VersionHistory
from gannetweir.control.version_log import Change
from gannetweir.control.versions import Ack, Entry, Nack, Resource, Slice, Version
from gannetweir.errors import GannetweirError

CANARIES_PER_MACHINE = 1  # relays of each control machine that get a staged version first


class MachineBehindError(GannetweirError):
    """A relay has applied a later version than this machine has: another machine has to serve it."""

    def __init__(self, relay: str, applied: Version, newest: Version) -> None:
        super().__init__(
            f"{relay} holds {applied.epoch}/{applied.number}, here {newest.epoch}/{newest.number}"
        )
        self.relay = relay
        self.applied = applied
        self.newest = newest


class Publisher:
    """One resource and its subscribed relays. `stage` is the newest version's while that is not released."""

    def __init__(self, resource: Resource, version: Version, entries: Iterable[Entry]) -> None:
        """Raises `RejectedError` where the entries are not the version's."""
        self.resource = resource
        self.sessions: dict[str, RelaySession] = {}
        self.history = VersionHistory(resource, version, entries)
        self.stage: CanaryStage | None = None

    def load(self, version: Version, entries: Iterable[Entry]) -> None:
        """Begin again from a complete content: a new epoch, or a store whose log no longer reaches back.

        Raises `RejectedError`, and changes nothing, where the entries are not the version's.
        """
        self.history = VersionHistory(self.resource, version, entries)
        self.stage = None
        for session in self.sessions.values():
            session.discard_answers()

    @property
    def newest(self) -> Version:
        """The newest version, released or staged."""
        return self.history.newest

    @property
    def released(self) -> Version:
        """The newest version for all relays."""
        return self.history.released

    def publish(self, change: Change, staged: bool = False) -> None:
        """Add the next version, for all relays or `staged`.

        Raises `RejectedError` if it is older, or its digest is not what it leads to: then this machine's copy
        is wrong, and it has to `load` the store's.
        """
        self.history.append(change)
        if staged:
            self.stage = CanaryStage(change.version)
            self._choose_canaries(self.stage)
        else:
            self.release(change.version.number)

    def release(self, number: int) -> None:
        """Let all relays have the versions up to this one. Raises `RejectedError` as `publish` does."""
        if self.history.release(number) and self.newest == self.released:
            self.stage = None

    def _choose_canaries(self, stage: CanaryStage) -> None:
        """Others for each staged version, so that no relay is always the first to suffer."""
        version = f"{stage.version.epoch}/{stage.version.number}"
        relays = rendezvous_order(version, self.sessions)
        stage.choose_canaries(relays[:CANARIES_PER_MACHINE])

    def subscribe(self, relay: str, applied: Version) -> None:
        """A relay's watch began, with this version applied. Raises `MachineBehindError`."""
        newest = self.newest
        if (applied.epoch, applied.number) > (newest.epoch, newest.number):
            raise MachineBehindError(relay, applied, newest)
        self.sessions[relay] = RelaySession(relay, applied)
        if self.stage is not None:
            self._choose_canaries(self.stage)

    def unsubscribe(self, relay: str) -> None:
        """A relay's watch ended."""
        session = self.sessions.pop(relay, None)
        if session is not None and self.stage is not None:
            self.stage.relay_disconnected(relay)
            self._choose_canaries(self.stage)

    def _target_for(self, relay: str) -> Version:
        """The version that this relay is to have now."""
        if self.stage is not None and relay in self.stage.canaries:
            return self.newest
        return self.released

    def next_slice(self, relay: str, now_us: int) -> Slice | None:
        """What is to be sent to this relay now; None while it has everything, or owes an answer."""
        session = self.sessions[relay]
        if session.target is None:
            target = self._target_for(relay)
            if not _needs_version(target, session):
                return None
            self._begin(session, target)
        return session.next_slice(now_us)

    def _begin(self, session: RelaySession, target: Version) -> None:
        if not session.needs_snapshot and self.history.log.contains(session.applied):
            session.begin(target, self.history.slices(session.applied.number, target))
            return
        # the content that is here is the released one; a staged version follows it as a delta
        session.begin(self.released, self.history.slices(None, self.released))

    def record_answer(self, relay: str, answer: Ack | Nack, totals: ServiceTotals | None = None) -> None:
        """A relay's ACK or NACK, and what it has served up to then."""
        if self.stage is not None:
            self.stage.record_answer(relay, answer, totals)
        session = self.sessions.get(relay)
        if session is not None:
            session.record_answer(answer)

    def is_ack_overdue(self, relay: str, now_us: int) -> bool:
        """Whether the relay has had all of a version for too long without an answer."""
        return self.sessions[relay].is_ack_overdue(now_us)


def _needs_version(target: Version, session: RelaySession) -> bool:
    applied = session.applied
    if applied == target:
        return False
    if applied.epoch == target.epoch and applied.number > target.number:
        return False  # it was canary of a version since withdrawn, and waits for the version that follows
    return session.needs_snapshot or not session.has_rejected(target)
