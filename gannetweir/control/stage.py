"""The first stage of a version at one control machine: how its canaries take it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from gannetweir.control.versions import Ack, Nack, Version

LEAST_ANSWERS = 20  # fewer say nothing of a relay's service
MOST_FALL = 0.05  # of the share that is served


@dataclass(frozen=True, slots=True)
class ServiceTotals:
    """What a relay has answered to its clients since its start."""

    served: int
    failed: int


@dataclass(frozen=True, slots=True)
class StageReport:
    """A staged version at one machine. Whatever stands in `against` holds it."""

    version: Version
    in_force: tuple[str, ...]
    waiting: tuple[str, ...]
    against: tuple[str, ...]


@dataclass(slots=True)
class _Canary:
    in_force: bool = False
    before: ServiceTotals | None = None  # when it came into force there
    now: ServiceTotals | None = None

    def fell(self) -> bool:
        """Does it serve a smaller share than before?"""
        if self.before is None or self.now is None:
            return False
        served, failed = self.now.served - self.before.served, self.now.failed - self.before.failed
        answers, answers_before = served + failed, self.before.served + self.before.failed
        if min(answers, answers_before) < LEAST_ANSWERS:
            return False
        return served / answers < self.before.served / answers_before - MOST_FALL


class Stage:
    """One version's; the next version has a stage of its own."""

    def __init__(self, version: Version) -> None:
        self.version = version
        self.canaries: dict[str, _Canary] = {}
        self.against: list[str] = []

    def choose(self, relays: Iterable[str]) -> None:
        """These relays get it. One that has it in force stays a canary as long as it is here."""
        self.canaries = {relay: self.canaries.get(relay, _Canary()) for relay in relays} | {
            relay: canary for relay, canary in self.canaries.items() if canary.in_force
        }

    def answered(self, relay: str, answer: Ack | Nack, totals: ServiceTotals | None) -> None:
        """A relay's ACK or NACK; an ACK that is repeated tells how its service goes on."""
        canary = self.canaries.get(relay)
        if canary is None or answer.version != self.version:
            return
        if isinstance(answer, Nack):
            self._object(f"{relay}: {answer.reason}: {answer.detail}")
        elif not canary.in_force:
            canary.in_force, canary.before = True, totals
        else:
            canary.now = totals
            if canary.fell():
                self._object(f"{relay}: its service fell")

    def left(self, relay: str) -> None:
        """A relay's watch ended. With the version in force there, it may be the version's doing."""
        canary = self.canaries.pop(relay, None)
        if canary is not None and canary.in_force:
            self._object(f"{relay}: lost with the version in force")

    def _object(self, text: str) -> None:
        if text not in self.against and len(self.against) < 5:
            self.against.append(text)

    def report(self) -> StageReport:
        """For the coordinator."""
        in_force = tuple(relay for relay, canary in self.canaries.items() if canary.in_force)
        waiting = tuple(relay for relay, canary in self.canaries.items() if not canary.in_force)
        return StageReport(self.version, in_force, waiting, tuple(self.against))
