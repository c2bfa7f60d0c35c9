"""`gannetweir control status`: asks control machines where each version stands, and prints it."""

from __future__ import annotations

import http.client
from collections.abc import Iterable, Iterator

from gannetweir.config import SocketAddress
from gannetweir.control.status_report import StatusReport, merge_reports
from gannetweir.control.versions import Resource
from gannetweir.proto.control_calls import STATUS_TARGET
from gannetweir.proto.control_status import read_status
from gannetweir.proto.endpoint_watch import EndpointListError

CALL_TIMEOUT_S = 3.0
MAX_STATUS_BYTES = 1 << 20


def read_machine_status(at: SocketAddress) -> tuple[str, list[StatusReport]]:
    """A machine's name and reports. Raises `OSError` or `PoolError`."""
    caller = http.client.HTTPConnection(at.host, at.port, timeout=CALL_TIMEOUT_S)
    try:
        caller.request("GET", STATUS_TARGET)
        answer = caller.getresponse()
        body = answer.read(MAX_STATUS_BYTES)
    except http.client.HTTPException as error:
        raise EndpointListError(f"no HTTP: {type(error).__name__}") from None
    finally:
        caller.close()
    if answer.status != 200:
        raise EndpointListError(body[:200].decode("utf-8", "replace"))
    return read_status(body)


def fleet_status(machines: Iterable[SocketAddress]) -> tuple[list[str], bool]:
    """The lines to print, and whether every released version is in force everywhere that could be asked."""
    lines, found, fine = list[str](), list[tuple[str, list[StatusReport]]](), True
    for at in machines:
        try:
            found.append(read_machine_status(at))
        except (OSError, EndpointListError) as error:
            reason = getattr(error, "strerror", None) or error
            lines.append(f"{at.host}:{at.port}: {reason}")
            fine = False
    for resource in Resource:
        reports = {name: r for name, given in found for r in given if r.resource == resource}
        if reports:
            fine = fine and not any(r.behind or r.rejecting for r in reports.values())
            lines += _lines(resource, reports)
    return lines, fine


def _lines(resource: Resource, reports: dict[str, StatusReport]) -> Iterator[str]:
    everywhere = merge_reports(reports.values())
    yield f"{resource}: version {everywhere.newest}, released {everywhere.released}"
    yield (
        f"  {everywhere.relays} relays at {len(reports)} machines: {everywhere.at_newest} at the newest,"
        f" {everywhere.behind} behind, lowest in force {everywhere.lowest}"
    )
    for name, report in sorted(reports.items()):
        if report.released < everywhere.released:
            yield f"  machine {name} has only version {report.released}"
        if report.stage is not None:
            stage = report.stage
            state = "; ".join(stage.objections) or ("in force" if not stage.pending else "waited for")
            relays = ", ".join(stage.applied + stage.pending) or "no relay"
            yield f"  staged version {stage.version.number} at {relays} ({name}): {state}"
    if everywhere.stragglers:
        yield f"  behind: {', '.join(everywhere.stragglers)}"
    yield from (f"  refused by {refusal}" for refusal in everywhere.rejections)
