"""The decision on staged versions, from what all control machines report: on to all relays, or held.

One machine at a time decides, the one that the store says leads. A successor begins the stage's time anew.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum

from gannetweir.control.stage import StageReport
from gannetweir.control.status_report import StatusReport
from gannetweir.control.versions import Resource, Version

# Of the 12 s in which a change has to be in force everywhere.
OBSERVATION_US = 3_000_000  # from the last canary's ACK
MAX_STAGE_US = 6_000_000  # from the begin: a stage that is not through by then is held


class Verdict(StrEnum):
    """What is to be done with a staged version."""

    WAIT = "wait"
    RELEASE = "release"
    HALT = "hold"


@dataclass(frozen=True, slots=True)
class Decision:
    """On one resource's newest version; `reason` says why it is held."""

    resource: Resource
    number: int
    verdict: Verdict
    reason: str = ""


class Rollout:
    """One staged version. A held one stays held: its successor is a version with a stage of its own."""

    def __init__(self, version: Version, now_us: int) -> None:
        self.version = version
        self.elapsed_us, self.updated_us = 0, now_us
        self.all_applied_us: int | None = None  # in terms of `elapsed_us`
        self.halt_reason = ""

    def decide(self, reports: Iterable[StageReport], now_us: int) -> Verdict:
        """Asked again and again, with every machine's report on this version."""
        self.elapsed_us += max(
            0, now_us - self.updated_us
        )  # a clock that was set back counts as no time passed
        self.updated_us = now_us
        given = list(reports)
        objections = [text for report in given for text in report.objections]
        pending = [relay for report in given for relay in report.pending]
        in_force = any(report.applied for report in given) and not pending
        if objections and not self.halt_reason:
            self.halt_reason = "; ".join(objections[:3])
        if self.halt_reason:
            return Verdict.HALT
        if not in_force:
            self.all_applied_us = None
            if self.elapsed_us < MAX_STAGE_US:
                return Verdict.WAIT
            self.halt_reason = f"not in force at {', '.join(pending[:5]) or 'any relay'} within the stage"
            return Verdict.HALT
        if self.all_applied_us is None:
            self.all_applied_us = self.elapsed_us
        return Verdict.RELEASE if self.elapsed_us - self.all_applied_us >= OBSERVATION_US else Verdict.WAIT


class RolloutCoordinator:
    """Decides on every resource."""

    def __init__(self) -> None:
        self.rollouts: dict[Resource, Rollout] = {}

    def decide(self, reports: Mapping[str, Sequence[StatusReport]], now_us: int) -> list[Decision]:
        """What follows from the machines' last reports; nothing for a resource without a staged version."""
        found = []
        for resource in Resource:
            stages = [
                report.stage
                for machine in reports.values()
                for report in machine
                if report.resource is resource and report.stage is not None
            ]
            if not stages:
                self.rollouts.pop(resource, None)
                continue
            version = max((stage.version for stage in stages), key=lambda v: (v.epoch, v.number))
            rollout = self.rollouts.get(resource)
            if rollout is None or rollout.version != version:
                rollout = self.rollouts[resource] = Rollout(version, now_us)
            verdict = rollout.decide([s for s in stages if s.version == version], now_us)
            found.append(Decision(resource, version.number, verdict, rollout.halt_reason))
        return found
