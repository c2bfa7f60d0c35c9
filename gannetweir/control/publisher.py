"""A control machine's side of one resource: selects what each relay is sent, and records its answers.

Released versions are sent to every relay, a staged version only to the canaries (see `stage`). A relay is
sent one version at a time, as a delta from its applied version or else as a snapshot. Changes published
before the relay answers are coalesced into one delta. A rejected version is not sent again; a delta that the
relay could not apply to its content is followed by one snapshot.

A `Publisher` belongs to the `ControlMachine`. The publisher owns the resource's `VersionHistory`, the
sessions of the relays, and the stage of the newest version. The driver passes in the store's changes (`load`,
`publish`, `release`).
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

# A staged version is first sent to this many relays of each control machine.
CANARIES_PER_MACHINE = 1


class MachineBehindError(GannetweirError):
    """A relay has applied a later version than this machine has: another machine must serve the relay."""

    def __init__(self, relay: str, applied: Version, newest: Version) -> None:
        super().__init__(
            f"{relay} has applied {applied.epoch}/{applied.number}, "
            f"the newest version at this machine is {newest.epoch}/{newest.number}"
        )
        self.relay = relay
        self.applied = applied
        self.newest = newest


class Publisher:
    """State of one resource and its subscribed relays.

    `stage` is the canary stage of the newest version, or None once that version is released.
    """

    def __init__(self, resource: Resource, version: Version, entries: Iterable[Entry]) -> None:
        """Raises `RejectedError` if the digest of the entries is not the version's."""
        self.resource = resource
        self.sessions: dict[str, RelaySession] = {}
        self.history = VersionHistory(resource, version, entries)
        self.stage: CanaryStage | None = None

    def load(self, version: Version, entries: Iterable[Entry]) -> None:
        """Replace the history by a complete content.

        Needed after a change of the epoch, or if the store's log no longer covers this machine's newest
        version. Raises `RejectedError`, and changes nothing, if the entries' digest is not the version's.
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
        """The newest version that all relays may apply."""
        return self.history.released

    def publish(self, change: Change, staged: bool = False) -> None:
        """Add the next version: `staged` for the canaries only, otherwise released to all relays.

        Raises `RejectedError` if the version is not newer, or if its digest is not that of the resulting
        content. This machine's copy is then wrong, and the caller must `load` the store's content.
        """
        self.history.append(change)
        if staged:
            self.stage = CanaryStage(change.version)
            self._choose_canaries(self.stage)
        else:
            self.release(change.version.number)

    def release(self, number: int) -> None:
        """Release the versions up to this number to all relays. Raises `RejectedError` as `publish` does."""
        if self.history.release(number) and self.newest == self.released:
            self.stage = None

    def _choose_canaries(self, stage: CanaryStage) -> None:
        """Choose different canaries for each staged version, so that the same relay is not always at risk."""
        version = f"{stage.version.epoch}/{stage.version.number}"
        relays = rendezvous_order(version, self.sessions)
        stage.choose_canaries(relays[:CANARIES_PER_MACHINE])

    def subscribe(self, relay: str, applied: Version) -> None:
        """Register a relay's watch, which begins with `applied`.

        Raises `MachineBehindError` if `applied` is later than the newest version of this machine.
        """
        newest = self.newest
        if (applied.epoch, applied.number) > (newest.epoch, newest.number):
            raise MachineBehindError(relay, applied, newest)
        self.sessions[relay] = RelaySession(relay, applied)
        if self.stage is not None:
            self._choose_canaries(self.stage)

    def unsubscribe(self, relay: str) -> None:
        """Remove a relay's watch after its end."""
        session = self.sessions.pop(relay, None)
        if session is not None and self.stage is not None:
            self.stage.relay_disconnected(relay)
            self._choose_canaries(self.stage)

    def _target_for(self, relay: str) -> Version:
        """Return the version that this relay should have now."""
        if self.stage is not None and relay in self.stage.canaries:
            return self.newest
        return self.released

    def next_slice(self, relay: str, now_us: int) -> Slice | None:
        """Return the next slice for this relay.

        Returns None if the relay has its version already, or was sent all slices and has not answered yet.
        """
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
        # The history holds the released content; a staged version follows the snapshot as a delta.
        session.begin(self.released, self.history.slices(None, self.released))

    def record_answer(self, relay: str, answer: Ack | Nack, totals: ServiceTotals | None = None) -> None:
        """Record a relay's ACK or NACK, and its service totals at that time."""
        if self.stage is not None:
            self.stage.record_answer(relay, answer, totals)
        session = self.sessions.get(relay)
        if session is not None:
            session.record_answer(answer)

    def is_ack_overdue(self, relay: str, now_us: int) -> bool:
        """Whether the relay was sent all slices of a version and its ACK or NACK is overdue."""
        return self.sessions[relay].is_ack_overdue(now_us)


def _needs_version(target: Version, session: RelaySession) -> bool:
    applied = session.applied
    if applied == target:
        return False
    if applied.epoch == target.epoch and applied.number > target.number:
        # The relay was a canary of a version that was withdrawn, and waits for the next version.
        return False
    return session.needs_snapshot or not session.has_rejected(target)
