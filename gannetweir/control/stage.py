"""The canary stage of a version at one machine: a few relays apply the version first and are observed.

The canaries get the staged version, all other relays the released one. A canary's NACK, the loss of a canary
that has applied the version, and a drop of its success ratio are objections; any objection halts the rollout.
`rollout` makes the decision over all machines. A `CanaryStage` belongs to the resource's `Publisher` and
lasts until the version is released or replaced by another version.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from gannetweir.control.versions import Ack, Nack, Version

# A success ratio over fewer answers is not compared: the sample is too small.
MIN_ANSWERS = 20
# A larger absolute drop of the success ratio is an objection.
MAX_SERVED_RATIO_DROP = 0.05
# This limit bounds the length of a stage's report; a single objection already halts the rollout.
MAX_OBJECTIONS = 5


@dataclass(frozen=True, slots=True)
class ServiceTotals:
    """Numbers of answers that a relay has sent to its clients since its start."""

    served: int
    failed: int

    @property
    def answers(self) -> int:
        """The number of all answers, served and failed."""
        return self.served + self.failed

    @property
    def served_ratio(self) -> float:
        """The success ratio. Raises `ZeroDivisionError` if there are no answers."""
        return self.served / self.answers

    def since(self, earlier: ServiceTotals) -> ServiceTotals:
        """Return the difference to earlier totals of the same relay."""
        return ServiceTotals(self.served - earlier.served, self.failed - earlier.failed)


@dataclass(frozen=True, slots=True)
class StageReport:
    """State of a staged version at one machine.

    `applied` and `pending` name the canaries; any entry of `objections` halts the rollout.
    """

    version: Version
    applied: tuple[str, ...]
    pending: tuple[str, ...]
    objections: tuple[str, ...]


@dataclass(slots=True)
class _Canary:
    """State of one canary."""

    has_applied: bool = False
    # The totals at the first ACK, which were reached under the previous version.
    baseline: ServiceTotals | None = None
    # The totals at the latest repeated ACK.
    latest: ServiceTotals | None = None

    def has_degraded(self) -> bool:
        """Return whether the success ratio fell by more than `MAX_SERVED_RATIO_DROP` after the first ACK."""
        if self.baseline is None or self.latest is None:
            return False
        since_ack = self.latest.since(self.baseline)
        if min(since_ack.answers, self.baseline.answers) < MIN_ANSWERS:
            return False
        return since_ack.served_ratio < self.baseline.served_ratio - MAX_SERVED_RATIO_DROP


class CanaryStage:
    """The canaries of one version and their objections; each version has a separate stage."""

    def __init__(self, version: Version) -> None:
        self.version = version
        self.canaries: dict[str, _Canary] = {}
        self.objections: list[str] = []

    def choose_canaries(self, relays: Iterable[str]) -> None:
        """Make these relays the canaries.

        A canary that has applied the version stays a canary while it is connected.
        """
        chosen = {relay: self.canaries.get(relay, _Canary()) for relay in relays}
        applied = {relay: canary for relay, canary in self.canaries.items() if canary.has_applied}
        self.canaries = chosen | applied

    def record_answer(self, relay: str, answer: Ack | Nack, totals: ServiceTotals | None) -> None:
        """Record a relay's ACK or NACK; a repeated ACK updates the relay's totals."""
        canary = self.canaries.get(relay)
        if canary is None or answer.version != self.version:
            return
        if isinstance(answer, Nack):
            self._add_objection(f"{relay}: {answer.reason}: {answer.detail}")
        elif not canary.has_applied:
            canary.has_applied = True
            canary.baseline = totals
        else:
            canary.latest = totals
            if canary.has_degraded():
                self._add_objection(f"{relay}: its service fell")

    def relay_disconnected(self, relay: str) -> None:
        """Remove a relay after the end of its watch.

        If the relay has applied the version, its loss is an objection: the version may have caused the loss.
        """
        canary = self.canaries.pop(relay, None)
        if canary is not None and canary.has_applied:
            self._add_objection(f"{relay}: lost with the version in force")

    def _add_objection(self, text: str) -> None:
        if text not in self.objections and len(self.objections) < MAX_OBJECTIONS:
            self.objections.append(text)

    def report(self) -> StageReport:
        """Return the state of the stage at this machine, for the `RolloutCoordinator`."""
        applied = tuple(relay for relay, canary in self.canaries.items() if canary.has_applied)
        pending = tuple(relay for relay, canary in self.canaries.items() if not canary.has_applied)
        return StageReport(self.version, applied, pending, tuple(self.objections))
