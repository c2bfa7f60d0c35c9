"""The JSON encoding of a control machine's status reports, which `gannetweir control status` reads.

The protocol defines the keys and their order; the keys differ from the names of the dataclasses' fields. The
functions have no state.
"""

from __future__ import annotations

from collections.abc import Iterable

import orjson

from gannetweir.control.stage import StageReport
from gannetweir.control.status_report import StatusReport
from gannetweir.control.versions import Resource
from gannetweir.proto.control_json import (
    integer_field,
    json_list,
    json_object,
    string_field,
    string_list_field,
)
from gannetweir.proto.control_messages import MAX_DETAIL_CHARS, read_version, version_text
from gannetweir.proto.endpoint_watch import EndpointListError

_REPORT_KEYS = frozenset(
    (
        "resource",
        "newest",
        "released",
        "lowest",
        "relays",
        "at_newest",
        "behind",
        "refusing",
        "stragglers",
        "refusals",
        "stage",
    )
)
_STAGE_KEYS = frozenset(("version", "in_force", "waiting", "against"))


def read_status(body: bytes) -> tuple[str, list[StatusReport]]:
    """Read the machine's name and reports from a body that `status_body` returned.

    Raises `EndpointListError` if the body is malformed.
    """
    try:
        data = json_object(orjson.loads(body), "status")
        reports = json_list(data["resources"], "resources")
        return str(data["machine"]), [_read_report(report) for report in reports]
    except (KeyError, TypeError, ValueError) as error:
        raise EndpointListError(
            f"not a status: {type(error).__name__}: {error}"[:MAX_DETAIL_CHARS]
        ) from error


def status_body(machine: str, reports: Iterable[StatusReport]) -> bytes:
    """Return the body of the response to a status call."""
    return orjson.dumps({"machine": machine, "resources": [_report_object(report) for report in reports]})


def _report_object(report: StatusReport) -> dict[str, object]:
    return {
        "resource": report.resource,
        "newest": report.newest,
        "released": report.released,
        "lowest": report.lowest,
        "relays": report.relays,
        "at_newest": report.at_newest,
        "behind": report.behind,
        "refusing": report.rejecting,
        "stragglers": report.stragglers,
        "refusals": report.rejections,
        "stage": None if report.stage is None else _stage_object(report.stage),
    }


def _stage_object(stage: StageReport) -> dict[str, object]:
    return {
        # The version is encoded as text because a digest exceeds the range of JSON numbers.
        "version": version_text(stage.version),
        "in_force": stage.applied,
        "waiting": stage.pending,
        "against": stage.objections,
    }


def _read_report(value: object) -> StatusReport:
    data = json_object(value, "resources")
    if data.keys() != _REPORT_KEYS:
        raise EndpointListError(f"resources: missing or unknown keys: {sorted(data.keys() ^ _REPORT_KEYS)}")
    return StatusReport(
        resource=Resource(string_field(data, "resource")),
        newest=integer_field(data, "newest"),
        released=integer_field(data, "released"),
        lowest=integer_field(data, "lowest"),
        relays=integer_field(data, "relays"),
        at_newest=integer_field(data, "at_newest"),
        behind=integer_field(data, "behind"),
        rejecting=integer_field(data, "refusing"),
        stragglers=string_list_field(data, "stragglers"),
        rejections=string_list_field(data, "refusals"),
        stage=None if data["stage"] is None else _read_stage(data["stage"]),
    )


def _read_stage(value: object) -> StageReport:
    data = json_object(value, "stage")
    if data.keys() != _STAGE_KEYS:
        raise EndpointListError(f"stage: missing or unknown keys: {sorted(data.keys() ^ _STAGE_KEYS)}")
    return StageReport(
        version=read_version(string_field(data, "version")),
        applied=string_list_field(data, "in_force"),
        pending=string_list_field(data, "waiting"),
        objections=string_list_field(data, "against"),
    )
