"""The first stage of a version at one control machine: how its canaries take it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from gannetweir.control.versions import Ack, Nack, Version

MIN_ANSWERS = 20  # fewer say nothing of a relay's service
MAX_SERVED_RATIO_DROP = 0.05  # of the share that is served


@dataclass(frozen=True, slots=True)
class ServiceTotals:
    """What a relay has answered to its clients since its start."""

    served: int
    failed: int


@dataclass(frozen=True, slots=True)
class StageReport:
    """A staged version at one machine. Whatever stands in `against` holds it."""

    version: Version
    applied: tuple[str, ...]
    pending: tuple[str, ...]
    objections: tuple[str, ...]


@dataclass(slots=True)
class _Canary:
    has_applied: bool = False
    baseline: ServiceTotals | None = None  # when it came into force there
    latest: ServiceTotals | None = None

    def has_degraded(self) -> bool:
        """Does it serve a smaller share than before?"""
        if self.baseline is None or self.latest is None:
            return False
        served, failed = self.latest.served - self.baseline.served, self.latest.failed - self.baseline.failed
        answers, answers_before = served + failed, self.baseline.served + self.baseline.failed
        if min(answers, answers_before) < MIN_ANSWERS:
            return False
        return served / answers < self.baseline.served / answers_before - MAX_SERVED_RATIO_DROP


class CanaryStage:
    """One version's; the next version has a stage of its own."""

    def __init__(self, version: Version) -> None:
        self.version = version
        self.canaries: dict[str, _Canary] = {}
        self.objections: list[str] = []

    def choose_canaries(self, relays: Iterable[str]) -> None:
        """These relays get it. One that has it in force stays a canary as long as it is here."""
        self.canaries = {relay: self.canaries.get(relay, _Canary()) for relay in relays} | {
            relay: canary for relay, canary in self.canaries.items() if canary.has_applied
        }

    def record_answer(self, relay: str, answer: Ack | Nack, totals: ServiceTotals | None) -> None:
        """A relay's ACK or NACK; an ACK that is repeated tells how its service goes on."""
        canary = self.canaries.get(relay)
        if canary is None or answer.version != self.version:
            return
        if isinstance(answer, Nack):
            self._add_objection(f"{relay}: {answer.reason}: {answer.detail}")
        elif not canary.has_applied:
            canary.has_applied, canary.baseline = True, totals
        else:
            canary.latest = totals
            if canary.has_degraded():
                self._add_objection(f"{relay}: its service fell")

    def relay_disconnected(self, relay: str) -> None:
        """A relay's watch ended. With the version in force there, it may be the version's doing."""
        canary = self.canaries.pop(relay, None)
        if canary is not None and canary.has_applied:
            self._add_objection(f"{relay}: lost with the version in force")

    def _add_objection(self, text: str) -> None:
        if text not in self.objections and len(self.objections) < 5:
            self.objections.append(text)

    def report(self) -> StageReport:
        """For the coordinator."""
        in_force = tuple(relay for relay, canary in self.canaries.items() if canary.has_applied)
        pending = tuple(relay for relay, canary in self.canaries.items() if not canary.has_applied)
        return StageReport(self.version, in_force, pending, tuple(self.objections))
