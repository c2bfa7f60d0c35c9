"""One relay's watch at a control machine, for one resource: what it has applied and what it is sent.

A relay is sent one version at a time, and the next one after its ACK or NACK. A `RelaySession` belongs to
the resource's `Publisher` and lasts as long as the watch.
"""

from __future__ import annotations

from dataclasses import dataclass

from gannetweir.control.versions import Ack, Nack, Reason, Slice, Version

ACK_TIMEOUT_US = 6_000_000  # from a version's last slice: a relay without an answer by then has to call again

# Rejections that a snapshot may mend, since the relay's content is not the one that the delta began from.
_SNAPSHOT_REASONS = frozenset({Reason.WRONG_BASE, Reason.GAP, Reason.DIGEST})


@dataclass(slots=True)
class RelaySession:
    """State of one watch.

    `target` is None while the relay owes no answer; `sent_slices` counts those of `slices`.
    """

    relay: str
    applied: Version  # as the relay said when it subscribed, and after that what it acknowledged
    target: Version | None = None  # of the slices that are being sent, or were sent and are not answered
    slices: tuple[Slice, ...] = ()
    sent_slices: int = 0
    last_sent_us: int = 0
    rejection: Nack | None = None  # its last answer, if that was a NACK
    needs_snapshot: bool = False  # a delta did not fit what it has applied

    def has_rejected(self, version: Version) -> bool:
        """Whether its last answer was a NACK of this version."""
        return self.rejection is not None and self.rejection.version == version

    def begin(self, target: Version, slices: tuple[Slice, ...]) -> None:
        """Start to send a version."""
        self.target = target
        self.slices = slices
        self.sent_slices = 0
        self.needs_snapshot = False

    def next_slice(self, now_us: int) -> Slice | None:
        """The next slice of the version that is being sent; None once all were."""
        if self.sent_slices == len(self.slices):
            return None
        self.sent_slices += 1
        self.last_sent_us = now_us
        return self.slices[self.sent_slices - 1]

    def record_answer(self, answer: Ack | Nack) -> None:
        """Its ACK or NACK. One for another version than the one that is being sent changes nothing."""
        if answer.version != self.target:
            return
        if isinstance(answer, Ack):
            self.applied = answer.version
            self.rejection = None
        else:
            # once: a relay that rejects the snapshot as well waits for the next version
            is_first = not self.has_rejected(answer.version)
            self.needs_snapshot = is_first and answer.reason in _SNAPSHOT_REASONS
            self.applied = answer.applied
            self.rejection = answer
        self._end()

    def discard_answers(self) -> None:
        """Begin anew: what is being sent and what was rejected belongs to versions that are no more."""
        self.rejection = None
        self._end()

    def _end(self) -> None:
        self.target = None
        self.slices = ()

    def is_ack_overdue(self, now_us: int) -> bool:
        """Whether the relay got all slices of a version too long ago to be still without an answer."""
        if self.target is None or self.sent_slices < len(self.slices):
            return False
        self.last_sent_us = min(self.last_sent_us, now_us)  # a clock that was set back
        return now_us - self.last_sent_us > ACK_TIMEOUT_US
