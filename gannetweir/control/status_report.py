"""Where versions stand: what a control machine tells upward, and what the reports say together.

A report is bounded, however many relays there are.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from gannetweir.control.publisher import Publisher
from gannetweir.control.stage import StageReport
from gannetweir.control.versions import Resource

MAX_NAMED = 20  # stragglers and refusals that are named; all are counted


@dataclass(frozen=True, slots=True)
class StatusReport:
    """One resource at one machine, or at all of them together."""

    resource: Resource
    newest: int
    released: int
    lowest: int  # in force at any relay; the newest where there is none
    relays: int
    at_newest: int
    behind: int  # relays on less than the released version
    rejecting: int  # relays whose last answer was a NACK
    stragglers: tuple[str, ...]  # by name, the furthest behind first
    rejections: tuple[str, ...]  # relay, reason and detail
    stage: StageReport | None = None  # of one machine, while its newest version is not released


def status_report(publisher: Publisher) -> StatusReport:
    """A machine's own."""
    sessions = list(publisher.sessions.values())
    newest, released = publisher.newest, publisher.released
    epoch = newest.epoch
    # a number of another epoch says nothing here: such a relay has no version of this one yet
    numbers = {s.relay: s.applied.number if s.applied.epoch == epoch else 0 for s in sessions}
    late = sorted((n, relay) for relay, n in numbers.items() if n < released.number)
    refusals = [s.rejection for s in sessions if s.rejection is not None]
    named = [
        f"{s.relay}: {s.rejection.reason}: {s.rejection.detail}" for s in sessions if s.rejection is not None
    ]
    return StatusReport(
        publisher.resource,
        newest.number,
        released.number,
        min(numbers.values(), default=newest.number),
        len(sessions),
        sum(n == newest.number for n in numbers.values()),
        len(late),
        len(refusals),
        tuple(relay for _, relay in late[:MAX_NAMED]),
        tuple(named[:MAX_NAMED]),
        publisher.stage.report() if publisher.stage is not None else None,
    )


def merge_reports(reports: Iterable[StatusReport]) -> StatusReport:
    """Of several machines. Raises `ValueError` without a report, or with reports of two resources."""
    given = list(reports)
    if len({report.resource for report in given}) != 1:
        raise ValueError("reports of one resource are wanted")
    newest = max(report.newest for report in given)
    return StatusReport(
        given[0].resource,
        newest,
        max(report.released for report in given),
        min(report.lowest for report in given),
        sum(report.relays for report in given),
        sum(report.at_newest for report in given if report.newest == newest),
        sum(report.behind for report in given),
        sum(report.rejecting for report in given),
        tuple(name for report in given for name in report.stragglers)[:MAX_NAMED],
        tuple(text for report in given for text in report.rejections)[:MAX_NAMED],
    )
