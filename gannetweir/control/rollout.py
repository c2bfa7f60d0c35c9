"""The decision on a staged version from all machines' reports: release, wait, or halt the rollout.

A version is released once every canary has applied it and no objection was reported during the following
`OBSERVATION_US`. A version is halted permanently at the first objection, or if not all canaries have applied
it within `MAX_STAGE_US`. The version after a halted one has a separate stage.

Only the lease holder decides; that machine uses its own `RolloutCoordinator`. A new lease holder restarts the
time of the stage from zero.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum

from gannetweir.control.stage import StageReport
from gannetweir.control.status_report import StatusReport
from gannetweir.control.versions import Resource, Version

# The observation and the stage must both fit in the 12 s within which a change has to be applied everywhere.
# The canaries are observed for this long after the last of them has sent its ACK.
OBSERVATION_US = 3_000_000
# A stage is halted if not all canaries have applied the version within this time from its start.
MAX_STAGE_US = 6_000_000
# Both limits bound the length of a halt's reason.
MAX_NAMED_OBJECTIONS = 3
MAX_NAMED_RELAYS = 5


class Verdict(StrEnum):
    """The decision on a staged version."""

    WAIT = "wait"
    RELEASE = "release"
    HALT = "halt"


@dataclass(frozen=True, slots=True)
class Decision:
    """The verdict on a resource's newest version; `reason` is empty unless the version is halted."""

    resource: Resource
    number: int
    verdict: Verdict
    reason: str = ""


class Rollout:
    """Progress of a staged version from its first report to its verdict; a halt is permanent."""

    def __init__(self, version: Version, now_us: int) -> None:
        self.version = version
        self.elapsed_us = 0  # microseconds since the start of the stage
        self.updated_us = now_us
        # The value of `elapsed_us` when the last canary applied the version; None before that.
        self.all_applied_us: int | None = None
        self.halt_reason = ""

    def decide(self, reports: Iterable[StageReport], now_us: int) -> Verdict:
        """Return the verdict from the machines' latest reports on this version.

        The caller repeats the call until the version is released or replaced by another version.
        """
        # If the clock was set back, no time is counted.
        self.elapsed_us += max(0, now_us - self.updated_us)
        self.updated_us = now_us
        stages = list(reports)
        self._halt_on_objection(stages)
        if self.halt_reason:
            return Verdict.HALT
        pending = [relay for stage in stages for relay in stage.pending]
        if pending or not any(stage.applied for stage in stages):
            return self._wait_for_canaries(pending)
        return self._observe()

    def _halt_on_objection(self, stages: list[StageReport]) -> None:
        objections = [text for stage in stages for text in stage.objections]
        if objections and not self.halt_reason:
            self.halt_reason = "; ".join(objections[:MAX_NAMED_OBJECTIONS])

    def _wait_for_canaries(self, pending: list[str]) -> Verdict:
        self.all_applied_us = None
        if self.elapsed_us < MAX_STAGE_US:
            return Verdict.WAIT
        relays = ", ".join(pending[:MAX_NAMED_RELAYS]) or "any relay"
        self.halt_reason = f"not in force at {relays} within the stage"
        return Verdict.HALT

    def _observe(self) -> Verdict:
        if self.all_applied_us is None:
            self.all_applied_us = self.elapsed_us
        if self.elapsed_us - self.all_applied_us >= OBSERVATION_US:
            return Verdict.RELEASE
        return Verdict.WAIT


class RolloutCoordinator:
    """Owns the rollouts of all resources; at most one version of a resource is staged at a time."""

    def __init__(self) -> None:
        self.rollouts: dict[Resource, Rollout] = {}

    def decide(self, reports: Mapping[str, Sequence[StatusReport]], now_us: int) -> list[Decision]:
        """Return a decision per resource with a staged version, from the machines' latest reports."""
        decisions = []
        for resource in Resource:
            stages = _stages_of(resource, reports)
            if stages:
                decisions.append(self._decide_resource(resource, stages, now_us))
            else:
                self.rollouts.pop(resource, None)
        return decisions

    def _decide_resource(self, resource: Resource, stages: list[StageReport], now_us: int) -> Decision:
        newest = max((stage.version for stage in stages), key=_epoch_and_number)
        rollout = self.rollouts.get(resource)
        if rollout is None or rollout.version != newest:
            rollout = Rollout(newest, now_us)
            self.rollouts[resource] = rollout
        verdict = rollout.decide([stage for stage in stages if stage.version == newest], now_us)
        return Decision(resource, newest.number, verdict, rollout.halt_reason)


def _stages_of(resource: Resource, reports: Mapping[str, Sequence[StatusReport]]) -> list[StageReport]:
    return [
        report.stage
        for machine in reports.values()
        for report in machine
        if report.resource is resource and report.stage is not None
    ]


def _epoch_and_number(version: Version) -> tuple[int, int]:
    return version.epoch, version.number
