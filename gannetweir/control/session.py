"""State of a relay's watch for one resource: the applied version, and the version that is being sent.

A relay is sent one version at a time; the next version follows after the relay's ACK or NACK. A
`RelaySession` belongs to the resource's `Publisher` and lasts as long as the watch.
"""

from __future__ import annotations

from dataclasses import dataclass

from gannetweir.control.versions import Ack, Nack, Reason, Slice, Version

# The watch is closed if neither ACK nor NACK arrives within this time after a version's last slice. The relay
# then starts a new watch.
ACK_TIMEOUT_US = 6_000_000

# A snapshot can resolve these rejections: the delta and the content of the relay did not yield the version.
_SNAPSHOT_REASONS = frozenset({Reason.WRONG_BASE, Reason.GAP, Reason.DIGEST})


@dataclass(slots=True)
class RelaySession:
    """State of a relay's watch for one resource.

    `sent_slices` is the number of `slices` that were sent.
    """

    relay: str
    # The version reported at the subscription, later the last acknowledged one.
    applied: Version
    # The version that is being sent, or was sent and not yet answered; None if no answer is outstanding.
    target: Version | None = None
    slices: tuple[Slice, ...] = ()
    sent_slices: int = 0
    last_sent_us: int = 0
    # The relay's last answer, if that was a NACK.
    rejection: Nack | None = None
    # True after a rejection that a snapshot can resolve.
    needs_snapshot: bool = False

    def has_rejected(self, version: Version) -> bool:
        """Whether the relay's last answer was a NACK of this version."""
        return self.rejection is not None and self.rejection.version == version

    def begin(self, target: Version, slices: tuple[Slice, ...]) -> None:
        """Start to send a version as these slices."""
        self.target = target
        self.slices = slices
        self.sent_slices = 0
        self.needs_snapshot = False

    def next_slice(self, now_us: int) -> Slice | None:
        """Return the next slice of the version that is being sent; None once all slices were sent."""
        if self.sent_slices == len(self.slices):
            return None
        self.sent_slices += 1
        self.last_sent_us = now_us
        return self.slices[self.sent_slices - 1]

    def record_answer(self, answer: Ack | Nack) -> None:
        """Record the relay's ACK or NACK; an answer to any version but `target` is ignored."""
        if answer.version != self.target:
            return
        if isinstance(answer, Ack):
            self.applied = answer.version
            self.rejection = None
        else:
            # Only one snapshot is sent: a relay that also rejects the snapshot waits for the next version.
            is_first = not self.has_rejected(answer.version)
            self.needs_snapshot = is_first and answer.reason in _SNAPSHOT_REASONS
            self.applied = answer.applied
            self.rejection = answer
        self._end()

    def discard_answers(self) -> None:
        """Discard the rejection and the version being sent after the history was replaced."""
        self.rejection = None
        self._end()

    def _end(self) -> None:
        self.target = None
        self.slices = ()

    def is_ack_overdue(self, now_us: int) -> bool:
        """Whether all slices of a version were sent over `ACK_TIMEOUT_US` ago and no answer has arrived."""
        if self.target is None or self.sent_slices < len(self.slices):
            return False
        # If the clock was set back, the timeout starts again from the current time.
        self.last_sent_us = min(self.last_sent_us, now_us)
        return now_us - self.last_sent_us > ACK_TIMEOUT_US
