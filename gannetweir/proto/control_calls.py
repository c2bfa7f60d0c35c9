"""What a control machine is called for: a relay's watch, an answer to a version, the status."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

import h11
import orjson

from gannetweir.control.report import StandingReport
from gannetweir.control.stage import ServiceTotals, StageReport
from gannetweir.control.versions import NO_VERSION, Ack, Nack, Resource, Version
from gannetweir.proto.control_watch import ACK_TARGET, MOST_ANSWER_BYTES, held_text, read_answer, read_held
from gannetweir.proto.endpoint_watch import EndpointListError

WATCH_TARGET = "/registry/instances"
STATUS_TARGET = "/control/status"
MOST_RELAY_BYTES = 200


@dataclass(frozen=True, slots=True)
class WatchCall:
    """A relay wants a watch, from the versions that it holds."""

    relay: str
    held: dict[Resource, Version]
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
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_ANSWER_BYTES)
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
                    if len(self.body) > MOST_ANSWER_BYTES:
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
    if not 0 < len(relay) <= MOST_RELAY_BYTES:
        raise EndpointListError("relay: missing or too long")
    held = {r: read_held(fields[r]) if r in fields else NO_VERSION for r in Resource}
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


def read_status(body: bytes) -> tuple[str, list[StandingReport]]:
    """What `status_body` wrote. Raises `PoolError`."""
    try:
        data = orjson.loads(body)
        return str(data["machine"]), [_report(report) for report in data["resources"]]
    except (KeyError, TypeError, ValueError) as error:
        raise EndpointListError(f"not a status: {type(error).__name__}: {error}"[:200]) from None


def _report(data: dict[str, Any]) -> StandingReport:
    stage = data.pop("stage")
    if stage is not None:
        version = read_held(stage.pop("version"))
        stage = StageReport(version, **{name: tuple(names) for name, names in stage.items()})
    resource = Resource(data.pop("resource"))
    names = {name: tuple(data.pop(name)) for name in ("stragglers", "refusals")}
    return StandingReport(resource=resource, stage=stage, **(data | names))


def status_body(machine: str, reports: list[StandingReport]) -> bytes:
    """Where the versions stand, for `gannetweir control status`."""
    resources = []
    for report in reports:
        data = asdict(report)
        if report.stage is not None:  # a digest is over what JSON's numbers hold
            data["stage"]["version"] = held_text(report.stage.version)
        resources.append(data)
    return orjson.dumps({"machine": machine, "resources": resources})
