"""The canary stage of a version at one machine: a few relays apply it first and are observed.

A canary release: the canaries get the staged version, everybody else the released one. Their NACKs, the
loss of a canary that has applied the version, and a fall of its success ratio are objections; any objection
halts the rollout. The decision itself, over all machines, is in `rollout`. A `CanaryStage` belongs to its
resource's `Publisher` and lasts until the version is released or followed by another one.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from gannetweir.control.versions import Ack, Nack, Version

MIN_ANSWERS = 20  # by which a relay's success ratio is judged: fewer say nothing
MAX_SERVED_RATIO_DROP = 0.05  # of the ratio of served answers, absolute: more is an objection
MAX_OBJECTIONS = 5  # of a stage, to bound its report: one is enough to halt the rollout


@dataclass(frozen=True, slots=True)
class ServiceTotals:
    """How many answers a relay has given its clients since its start."""

    served: int
    failed: int

    @property
    def answers(self) -> int:
        """Served and failed ones."""
        return self.served + self.failed

    @property
    def served_ratio(self) -> float:
        """The success ratio. Raises `ZeroDivisionError` without an answer."""
        return self.served / self.answers

    def since(self, earlier: ServiceTotals) -> ServiceTotals:
        """What was answered after earlier totals."""
        return ServiceTotals(self.served - earlier.served, self.failed - earlier.failed)


@dataclass(frozen=True, slots=True)
class StageReport:
    """A staged version at one machine.

    Canaries by their names, and objections, any of which halts the rollout.
    """

    version: Version
    applied: tuple[str, ...]
    pending: tuple[str, ...]
    objections: tuple[str, ...]


@dataclass(slots=True)
class _Canary:
    """One relay's part in the stage."""

    has_applied: bool = False
    baseline: ServiceTotals | None = None  # at its first ACK: under the version before
    latest: ServiceTotals | None = None  # at its last repeated ACK

    def has_degraded(self) -> bool:
        """Whether its success ratio since the ACK is clearly below the one before."""
        if self.baseline is None or self.latest is None:
            return False
        since_ack = self.latest.since(self.baseline)
        if min(since_ack.answers, self.baseline.answers) < MIN_ANSWERS:
            return False
        return since_ack.served_ratio < self.baseline.served_ratio - MAX_SERVED_RATIO_DROP


class CanaryStage:
    """The stage of one version; the next version gets a stage of its own."""

    def __init__(self, version: Version) -> None:
        self.version = version
        self.canaries: dict[str, _Canary] = {}
        self.objections: list[str] = []

    def choose_canaries(self, relays: Iterable[str]) -> None:
        """Make these relays the canaries.

        One that has applied the version stays one while it is connected.
        """
        chosen = {relay: self.canaries.get(relay, _Canary()) for relay in relays}
        applied = {relay: canary for relay, canary in self.canaries.items() if canary.has_applied}
        self.canaries = chosen | applied

    def record_answer(self, relay: str, answer: Ack | Nack, totals: ServiceTotals | None) -> None:
        """A relay's ACK or NACK; a repeated ACK brings its later totals."""
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
        """A relay's watch ended. If it has applied the version, that may be the version's doing."""
        canary = self.canaries.pop(relay, None)
        if canary is not None and canary.has_applied:
            self._add_objection(f"{relay}: lost with the version in force")

    def _add_objection(self, text: str) -> None:
        if text not in self.objections and len(self.objections) < MAX_OBJECTIONS:
            self.objections.append(text)

    def report(self) -> StageReport:
        """How the stage stands at this machine, for the rollout's coordinator."""
        applied = tuple(relay for relay, canary in self.canaries.items() if canary.has_applied)
        pending = tuple(relay for relay, canary in self.canaries.items() if not canary.has_applied)
        return StageReport(self.version, applied, pending, tuple(self.objections))
