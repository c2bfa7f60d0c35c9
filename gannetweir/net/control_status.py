"""`gannetweir control status`: polls control machines for their status reports and formats them.

The calls are blocking and run outside any event loop; the module has no state.
"""

from __future__ import annotations

import http.client
from collections.abc import Iterable, Iterator
from http import HTTPStatus

from gannetweir.config import SocketAddress
from gannetweir.control.stage import StageReport
from gannetweir.control.status_report import StatusReport, merge_reports
from gannetweir.control.versions import Resource
from gannetweir.proto.control_calls import STATUS_TARGET
from gannetweir.proto.control_status import read_status
from gannetweir.proto.endpoint_watch import EndpointListError

# Applies to each socket operation of a call.
CALL_TIMEOUT_S = 3.0
# Limits the body of a response; the size of a status report is bounded far below this.
MAX_STATUS_BYTES = 1 << 20
# Longer bodies of error responses are truncated.
MAX_ERROR_BYTES = 200


def read_machine_status(address: SocketAddress) -> tuple[str, list[StatusReport]]:
    """Poll a control machine, and return its name and reports.

    Raises `OSError` if the machine can't be reached, and `EndpointListError` if it sends no valid status.
    """
    connection = http.client.HTTPConnection(address.host, address.port, timeout=CALL_TIMEOUT_S)
    try:
        connection.request("GET", STATUS_TARGET)
        answer = connection.getresponse()
        body = answer.read(MAX_STATUS_BYTES)
    except http.client.HTTPException as error:
        raise EndpointListError(f"no HTTP: {type(error).__name__}") from error
    finally:
        connection.close()
    if answer.status != HTTPStatus.OK:
        raise EndpointListError(body[:MAX_ERROR_BYTES].decode("utf-8", "replace"))
    return read_status(body)


def fleet_status(machines: Iterable[SocketAddress]) -> tuple[list[str], bool]:
    """Return the lines to print, and whether all versions are applied.

    The second value is True if each machine answered and no relay is behind or rejects a version.
    """
    lines = list[str]()
    statuses = list[tuple[str, list[StatusReport]]]()
    for address in machines:
        try:
            statuses.append(read_machine_status(address))
        except (OSError, EndpointListError) as error:
            reason = getattr(error, "strerror", None) or error
            lines.append(f"{address.host}:{address.port}: {reason}")
    all_applied = not lines
    for resource in Resource:
        reports = {
            name: report
            for name, machine_reports in statuses
            for report in machine_reports
            if report.resource == resource
        }
        if reports:
            all_applied = all_applied and not any(
                report.behind or report.rejecting for report in reports.values()
            )
            lines += _resource_lines(resource, reports)
    return lines, all_applied


def _resource_lines(resource: Resource, reports: dict[str, StatusReport]) -> Iterator[str]:
    """Return the lines of one resource from its reports, which are given by machine name."""
    merged = merge_reports(reports.values())
    yield f"{resource}: version {merged.newest}, released {merged.released}"
    yield (
        f"  {merged.relays} relays at {len(reports)} machines: {merged.at_newest} at the newest,"
        f" {merged.behind} behind, lowest in force {merged.lowest}"
    )
    for name, report in sorted(reports.items()):
        if report.released < merged.released:
            yield f"  machine {name} has only version {report.released}"
        if report.stage is not None:
            yield _stage_line(name, report.stage)
    if merged.stragglers:
        yield f"  behind: {', '.join(merged.stragglers)}"
    yield from (f"  refused by {rejection}" for rejection in merged.rejections)


def _stage_line(machine: str, stage: StageReport) -> str:
    if stage.objections:
        state = "; ".join(stage.objections)
    elif stage.pending:
        state = "waited for"
    else:
        state = "in force"
    relays = ", ".join(stage.applied + stage.pending) or "no relay"
    return f"  staged version {stage.version.number} at {relays} ({machine}): {state}"
