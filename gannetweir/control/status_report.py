"""Rollout progress of versions: a control machine's reports to the store, and their merge over machines.

The size of a report is bounded for any number of relays: a report counts all relays and names only a few. It
is an immutable snapshot of a publisher's state. `gannetweir control status` prints the merged reports;
`proto.control_status` defines their encoding.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from gannetweir.control.publisher import Publisher
from gannetweir.control.stage import StageReport
from gannetweir.control.versions import Resource

# The largest number of stragglers, and of rejections, in a report; bounds the size of the report.
MAX_NAMED_RELAYS = 20


@dataclass(frozen=True, slots=True)
class StatusReport:
    """Progress of a resource at one machine, or merged over several. Versions are given by their numbers."""

    resource: Resource
    newest: int
    released: int
    # The lowest version that any relay has applied; the newest version if there are no relays.
    lowest: int
    relays: int
    at_newest: int  # number of relays
    behind: int  # number of relays below the released version
    rejecting: int  # number of relays whose last answer was a NACK
    stragglers: tuple[str, ...]  # names of relays, the furthest behind first
    rejections: tuple[str, ...]  # relay, reason and detail
    # The stage of a machine's newest version until its release; None in a merged report.
    stage: StageReport | None = None


def status_report(publisher: Publisher) -> StatusReport:
    """Return a machine's report on one resource."""
    sessions = list(publisher.sessions.values())
    newest = publisher.newest
    released = publisher.released
    # Numbers of different epochs are not comparable: a relay on another epoch counts as having no version.
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
    """Merge the machines' reports on one resource.

    Raises `ValueError` if there is no report, or if the reports are on different resources.
    """
    merged = list(reports)
    if len({report.resource for report in merged}) != 1:
        raise ValueError(f"expected reports on one resource, got {[report.resource for report in merged]}")
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
