"""What a control machine is called for: a relay's watch, an answer to a version, the status."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

import h11
import orjson

from gannetweir.control.stage import ServiceTotals, StageReport
from gannetweir.control.status_report import StatusReport
from gannetweir.control.versions import NO_VERSION, Ack, Nack, Resource, Version
from gannetweir.proto.control_json import json_list, json_object, number_field, text_field, texts_field
from gannetweir.proto.control_watch import (
    ACK_TARGET,
    MAX_ANSWER_BYTES,
    read_answer,
    read_version,
    version_text,
)
from gannetweir.proto.endpoint_watch import EndpointListError

WATCH_TARGET = "/registry/instances"
STATUS_TARGET = "/control/status"
MAX_RELAY_BYTES = 200


@dataclass(frozen=True, slots=True)
class WatchCall:
    """A relay wants a watch, from the versions that it holds."""

    relay: str
    applied: dict[Resource, Version]
    gzip: bool


@dataclass(frozen=True, slots=True)
class AnswerCall:
    """A relay's ACK or NACK."""

    relay: str
    answer: Ack | Nack
    totals: ServiceTotals | None


@dataclass(frozen=True, slots=True)
class StatusCall:
    """Where does each version stand?"""


Call = WatchCall | AnswerCall | StatusCall


class CallReader:
    """Reads one call from a connection."""

    def __init__(self) -> None:
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_ANSWER_BYTES)
        self.request: h11.Request | None = None
        self.body = b""

    def feed(self, data: bytes) -> Call | None:
        """The call once it is whole. Raises `PoolError` for what is none."""
        try:
            self.http.receive_data(data)
            while (event := self.http.next_event()) is not h11.NEED_DATA:
                if isinstance(event, h11.Request):
                    self.request = event
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > MAX_ANSWER_BYTES:
                        raise EndpointListError("a call's body is too long")
                elif isinstance(event, h11.EndOfMessage) and self.request is not None:
                    return self._call(self.request)
                else:
                    raise EndpointListError("the caller left")
        except h11.RemoteProtocolError as error:
            raise EndpointListError(str(error)) from None
        return None

    def _call(self, request: h11.Request) -> Call:
        target = urlsplit(request.target.decode("ascii", "replace"))
        called = (request.method.decode(), target.path)
        if called == ("POST", ACK_TARGET):
            return AnswerCall(*read_answer(self.body))
        if called == ("GET", STATUS_TARGET):
            return StatusCall()
        if called == ("GET", WATCH_TARGET):
            return _watch_call(target.query)
        raise EndpointListError("no such call")


def _watch_call(query: str) -> WatchCall:
    fields = {name: values[-1] for name, values in parse_qs(query).items()}
    relay = fields.get("relay", "")
    if not 0 < len(relay) <= MAX_RELAY_BYTES:
        raise EndpointListError("relay: missing or too long")
    held = {r: read_version(fields[r]) if r in fields else NO_VERSION for r in Resource}
    return WatchCall(relay, held, fields.get("gzip") == "1")


def response(status: int, body: bytes = b"") -> bytes:
    """A whole answer; the connection ends with it."""
    reason = {200: "OK", 204: "No Content", 400: "Bad Request", 503: "Service Unavailable"}[status]
    head = f"HTTP/1.1 {status} {reason}\r\nConnection: close\r\n"
    return (head + ("\r\n" if status == 204 else f"Content-Length: {len(body)}\r\n\r\n")).encode() + body


def watch_head(gzip: bool) -> bytes:
    """The head of a watch's answer."""
    coding = "Content-Encoding: gzip\r\n" if gzip else ""
    return f"HTTP/1.1 200 OK\r\n{coding}Transfer-Encoding: chunked\r\n\r\n".encode()


def chunk(data: bytes) -> bytes:
    """A part of its body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def read_status(body: bytes) -> tuple[str, list[StatusReport]]:
    """What `status_body` wrote: the machine's name and its reports. Raises `EndpointListError`."""
    try:
        data = json_object(orjson.loads(body), "status")
        reports = json_list(data["resources"], "resources")
        return str(data["machine"]), [_read_report(report) for report in reports]
    except (KeyError, TypeError, ValueError) as error:
        raise EndpointListError(f"not a status: {type(error).__name__}: {error}"[:200]) from error


def status_body(machine: str, reports: list[StatusReport]) -> bytes:
    """Where the versions stand, for `gannetweir control status`."""
    return orjson.dumps({"machine": machine, "resources": [_report_object(report) for report in reports]})


# The keys of the two objects, in the order in which they are written, are the protocol's.
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
        "version": version_text(stage.version),  # as text: a digest is larger than JSON's numbers
        "in_force": stage.applied,
        "waiting": stage.pending,
        "against": stage.objections,
    }


def _read_report(value: object) -> StatusReport:
    data = json_object(value, "resources")
    if data.keys() != _REPORT_KEYS:
        raise EndpointListError("resources: a report with other keys")
    return StatusReport(
        resource=Resource(text_field(data, "resource")),
        newest=number_field(data, "newest"),
        released=number_field(data, "released"),
        lowest=number_field(data, "lowest"),
        relays=number_field(data, "relays"),
        at_newest=number_field(data, "at_newest"),
        behind=number_field(data, "behind"),
        rejecting=number_field(data, "refusing"),
        stragglers=texts_field(data, "stragglers"),
        rejections=texts_field(data, "refusals"),
        stage=None if data["stage"] is None else _read_stage(data["stage"]),
    )


def _read_stage(value: object) -> StageReport:
    data = json_object(value, "stage")
    if data.keys() != _STAGE_KEYS:
        raise EndpointListError("stage: an object with other keys")
    return StageReport(
        version=read_version(text_field(data, "version")),
        applied=texts_field(data, "in_force"),
        pending=texts_field(data, "waiting"),
        objections=texts_field(data, "against"),
    )
