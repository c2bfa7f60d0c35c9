"""Where versions stand: a control machine's reports to the store, and several machines' reports merged.

A report is bounded, however many relays there are: it counts all relays and names a few. It is an immutable
snapshot of a publisher's state. `gannetweir control status` prints the merged reports; their wire form is
in `proto.control_status`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from gannetweir.control.publisher import Publisher
from gannetweir.control.stage import StageReport
from gannetweir.control.versions import Resource

MAX_NAMED_RELAYS = 20  # stragglers, and rejections, that a report names: bounds its size


@dataclass(frozen=True, slots=True)
class StatusReport:
    """One resource at one machine, or at several machines together. Versions are given by their numbers."""

    resource: Resource
    newest: int
    released: int
    lowest: int  # that any relay has applied; the newest where there is no relay
    relays: int
    at_newest: int  # relays
    behind: int  # relays on less than the released version
    rejecting: int  # relays whose last answer was a NACK
    stragglers: tuple[str, ...]  # relays by name, the furthest behind first
    rejections: tuple[str, ...]  # relay, reason and detail
    stage: StageReport | None = None  # of one machine, while its newest version is not released


def status_report(publisher: Publisher) -> StatusReport:
    """One machine's own report."""
    sessions = list(publisher.sessions.values())
    newest = publisher.newest
    released = publisher.released
    # a number of another epoch says nothing here: such a relay has no version of this one yet
    numbers = {
        session.relay: session.applied.number if session.applied.epoch == newest.epoch else 0
        for session in sessions
    }
    behind = sorted((number, relay) for relay, number in numbers.items() if number < released.number)
    rejections = [
        f"{session.relay}: {session.rejection.reason}: {session.rejection.detail}"
        for session in sessions
        if session.rejection is not None
    ]
    return StatusReport(
        resource=publisher.resource,
        newest=newest.number,
        released=released.number,
        lowest=min(numbers.values(), default=newest.number),
        relays=len(sessions),
        at_newest=sum(number == newest.number for number in numbers.values()),
        behind=len(behind),
        rejecting=len(rejections),
        stragglers=tuple(relay for _, relay in behind[:MAX_NAMED_RELAYS]),
        rejections=tuple(rejections[:MAX_NAMED_RELAYS]),
        stage=publisher.stage.report() if publisher.stage is not None else None,
    )


def merge_reports(reports: Iterable[StatusReport]) -> StatusReport:
    """One report over several machines.

    Raises `ValueError` without a report, or with two resources' reports.
    """
    merged = list(reports)
    if len({report.resource for report in merged}) != 1:
        raise ValueError("reports of one resource are wanted")
    newest = max(report.newest for report in merged)
    return StatusReport(
        resource=merged[0].resource,
        newest=newest,
        released=max(report.released for report in merged),
        lowest=min(report.lowest for report in merged),
        relays=sum(report.relays for report in merged),
        at_newest=sum(report.at_newest for report in merged if report.newest == newest),
        behind=sum(report.behind for report in merged),
        rejecting=sum(report.rejecting for report in merged),
        stragglers=tuple(name for report in merged for name in report.stragglers)[:MAX_NAMED_RELAYS],
        rejections=tuple(text for report in merged for text in report.rejections)[:MAX_NAMED_RELAYS],
    )
