"""The first stage of a change: a few relays have it; their answers and service decide on all others."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from gannetweir.control.versions import Ack, Nack, Version

# Of the 12 s in which a change has to be in force everywhere.
OBSERVE_US = 3_000_000  # from the last canary's ACK
MOST_US = 6_000_000  # from the begin: a stage that is not through by then is held
LEAST_ANSWERS = 20  # fewer say nothing of a relay's service
MOST_FALL = 0.05  # of the share that is served


class Verdict(StrEnum):
    """What is to be done with a staged version."""

    WAIT = "wait"
    RELEASE = "release"
    HOLD = "hold"


@dataclass(frozen=True, slots=True)
class ServiceHealth:
    """What a relay answered to its clients since its last report."""

    relay: str
    served: int
    failed: int


@dataclass(slots=True)
class _Canary:
    version_in_force: bool = False
    before: tuple[int, int] = (0, 0)  # served, failed, until its ACK
    after: tuple[int, int] = (0, 0)

    def fell(self) -> bool:
        """Does it serve a smaller share than before?"""
        (served, failed), (served_now, failed_now) = self.before, self.after
        count, count_now = served + failed, served_now + failed_now
        if count < LEAST_ANSWERS or count_now < LEAST_ANSWERS:
            return False
        return served_now / count_now < served / count - MOST_FALL


class Rollout:
    """One staged version. A held one stays held: its successor is a version with a stage of its own."""

    def __init__(self, version: Version, canaries: frozenset[str], now_us: int) -> None:
        """`canaries` are the relays that get it first."""
        self.version = version
        self.relays = {name: _Canary() for name in sorted(canaries)}
        self.elapsed_us, self.at_us = 0, now_us
        self.all_in_force_us: int | None = None  # in terms of `elapsed_us`
        self.held = ""  # why

    def health(self, report: ServiceHealth) -> None:
        """A canary's service."""
        canary = self.relays.get(report.relay)
        if canary is None:
            return
        if canary.version_in_force:
            canary.after = (canary.after[0] + report.served, canary.after[1] + report.failed)
            if canary.fell():
                self._hold(f"the service of {report.relay} fell")
        else:
            canary.before = (canary.before[0] + report.served, canary.before[1] + report.failed)

    def answered(self, relay: str, answer: Ack | Nack) -> None:
        """A canary's ACK or NACK."""
        canary = self.relays.get(relay)
        if canary is None or answer.version != self.version:
            return
        if isinstance(answer, Nack):
            self._hold(f"{relay}: {answer.reason}: {answer.detail}")
        else:
            canary.version_in_force = True

    def lost(self, relay: str) -> None:
        """A canary's watch ended: if the version was in force there, it may be the version's doing."""
        canary = self.relays.get(relay)
        if canary is not None and canary.version_in_force:
            self._hold(f"{relay} was lost with the version in force")
        elif canary is not None:
            del self.relays[relay]

    def _hold(self, reason: str) -> None:
        self.held = self.held or reason

    def decide(self, now_us: int) -> Verdict:
        """Asked again and again until it is not WAIT."""
        self.elapsed_us += max(0, now_us - self.at_us)  # a clock that was set back counts as no time passed
        self.at_us = now_us
        in_force = bool(self.relays) and all(c.version_in_force for c in self.relays.values())
        if in_force and self.all_in_force_us is None:
            self.all_in_force_us = self.elapsed_us
        if self.held:
            return Verdict.HOLD
        if self.all_in_force_us is not None and self.elapsed_us - self.all_in_force_us >= OBSERVE_US:
            return Verdict.RELEASE
        if self.elapsed_us >= MOST_US and self.all_in_force_us is None:
            self._hold(f"not in force at {', '.join(self._late()[:5]) or 'any relay'} within the stage")
            return Verdict.HOLD
        return Verdict.WAIT

    def _late(self) -> list[str]:
        return [name for name, canary in self.relays.items() if not canary.version_in_force]
