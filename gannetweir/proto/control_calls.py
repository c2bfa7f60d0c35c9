"""The calls that a control machine answers: a relay's watch, its ACK or NACK, and the status.

Sans-IO, a control machine's side of HTTP: `CallReader` takes a connection's bytes and returns the one call
on it; the functions below return the bytes of an answer. A reader belongs to the connection's task in
`net.control_server`.
"""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import parse_qs, urlsplit

import h11

from gannetweir.control.stage import ServiceTotals
from gannetweir.control.versions import NO_VERSION, Ack, Nack, Resource, Version
from gannetweir.proto.control_messages import ACK_TARGET, read_answer, read_version
from gannetweir.proto.endpoint_watch import EndpointListError

WATCH_TARGET = "/registry/instances"
STATUS_TARGET = "/control/status"
MAX_CALL_BYTES = 4_096  # of a call's header, and of its body: an ACK or NACK is far smaller
MAX_RELAY_CHARS = 200  # of a relay's name


@dataclass(frozen=True, slots=True)
class WatchCall:
    """A relay wants a watch, from the versions that it has applied."""

    relay: str
    applied: dict[Resource, Version]
    gzip: bool


@dataclass(frozen=True, slots=True)
class AnswerCall:
    """A relay's ACK or NACK, and what it has served so far."""

    relay: str
    answer: Ack | Nack
    totals: ServiceTotals | None


@dataclass(frozen=True, slots=True)
class StatusCall:
    """An operator wants to know where each version stands."""


Call = WatchCall | AnswerCall | StatusCall


class CallReader:
    """Reads the one call of a connection."""

    def __init__(self) -> None:
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_CALL_BYTES)
        self.request: h11.Request | None = None
        self.body = b""

    def feed(self, data: bytes) -> Call | None:
        """The call once it is complete; empty data is the end of the connection.

        Raises `EndpointListError` for what is no call, or too long.
        """
        try:
            self.http.receive_data(data)
            while (event := self.http.next_event()) is not h11.NEED_DATA:
                if isinstance(event, h11.EndOfMessage) and self.request is not None:
                    return _read_call(self.request, self.body)
                self._receive(event)
        except h11.RemoteProtocolError as error:
            raise EndpointListError(str(error)) from error
        return None

    def _receive(self, event: object) -> None:
        if isinstance(event, h11.Request):
            self.request = event
        elif isinstance(event, h11.Data):
            self.body += event.data
            if len(self.body) > MAX_CALL_BYTES:
                raise EndpointListError("a call's body is too long")
        else:
            raise EndpointListError("the caller left")


def _read_call(request: h11.Request, body: bytes) -> Call:
    target = urlsplit(request.target.decode("ascii", "replace"))
    call = (request.method.decode(), target.path)
    if call == ("POST", ACK_TARGET):
        return AnswerCall(*read_answer(body))
    if call == ("GET", STATUS_TARGET):
        return StatusCall()
    if call == ("GET", WATCH_TARGET):
        return _read_watch_call(target.query)
    raise EndpointListError("no such call")


def _read_watch_call(query: str) -> WatchCall:
    fields = {name: values[-1] for name, values in parse_qs(query).items()}
    relay = fields.get("relay", "")
    if not 0 < len(relay) <= MAX_RELAY_CHARS:
        raise EndpointListError("relay: missing or too long")
    applied = dict.fromkeys(Resource, NO_VERSION)
    for resource in Resource:
        if resource in fields:
            applied[resource] = read_version(fields[resource])
    return WatchCall(relay, applied, fields.get("gzip") == "1")


def response(status: HTTPStatus, body: bytes = b"") -> bytes:
    """A complete answer; the connection ends with it. An answer without content must have no body."""
    header = f"HTTP/1.1 {status.value} {status.phrase}\r\nConnection: close\r\n"
    if status is not HTTPStatus.NO_CONTENT:
        header += f"Content-Length: {len(body)}\r\n"
    return f"{header}\r\n".encode() + body


def watch_header(gzip: bool) -> bytes:
    """The header of a watch's answer, whose body follows in chunks."""
    coding = "Content-Encoding: gzip\r\n" if gzip else ""
    return f"HTTP/1.1 200 OK\r\n{coding}Transfer-Encoding: chunked\r\n\r\n".encode()


def chunk(data: bytes) -> bytes:
    """A part of a watch's body."""
    return b"%x\r\n%s\r\n" % (len(data), data)
