"""The HTTP requests that a control machine accepts: a relay's watch, its ACK or NACK, and the status.

This is the machine's side of HTTP, without I/O: `CallReader` takes the bytes of a connection and returns the
connection's only request as a call; the functions below return the bytes of a response. A reader belongs to
the connection's task in `net.control_server`.
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
# Limits the header and the body of a call separately; an ACK or NACK is far smaller.
MAX_CALL_BYTES = 4_096
# Limits the length of a relay's name.
MAX_RELAY_CHARS = 200


@dataclass(frozen=True, slots=True)
class WatchCall:
    """A relay's request for a watch that starts from its applied versions."""

    relay: str
    applied: dict[Resource, Version]
    gzip: bool


@dataclass(frozen=True, slots=True)
class AnswerCall:
    """A relay's ACK or NACK, with its service totals if it reports them."""

    relay: str
    answer: Ack | Nack
    totals: ServiceTotals | None


@dataclass(frozen=True, slots=True)
class StatusCall:
    """An operator's request for the status reports of all resources."""


Call = WatchCall | AnswerCall | StatusCall


class CallReader:
    """Reads the only call of a connection."""

    def __init__(self) -> None:
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_CALL_BYTES)
        self.request: h11.Request | None = None
        self.body = b""

    def feed(self, data: bytes) -> Call | None:
        """Process received bytes; empty data means that the caller closed the connection.

        Returns the call once it is complete, otherwise None. Raises `EndpointListError` if the request is
        malformed, too long, incomplete at the end of the connection, or none of the calls.
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
                raise EndpointListError(
                    f"expected a body of at most {MAX_CALL_BYTES} bytes, got {len(self.body)}"
                )
        else:
            raise EndpointListError("the caller closed the connection before its request was complete")


def _read_call(request: h11.Request, body: bytes) -> Call:
    target = urlsplit(request.target.decode("ascii", "replace"))
    call = (request.method.decode(), target.path)
    if call == ("POST", ACK_TARGET):
        return AnswerCall(*read_answer(body))
    if call == ("GET", STATUS_TARGET):
        return StatusCall()
    if call == ("GET", WATCH_TARGET):
        return _read_watch_call(target.query)
    raise EndpointListError(f"unknown call: {call[0]} {call[1]:.{MAX_RELAY_CHARS}}")


def _read_watch_call(query: str) -> WatchCall:
    fields = {name: values[-1] for name, values in parse_qs(query).items()}
    relay = fields.get("relay", "")
    if not 0 < len(relay) <= MAX_RELAY_CHARS:
        raise EndpointListError(f"relay: expected 1 to {MAX_RELAY_CHARS} characters, got {len(relay)}")
    applied = dict.fromkeys(Resource, NO_VERSION)
    for resource in Resource:
        if resource in fields:
            applied[resource] = read_version(fields[resource])
    return WatchCall(relay, applied, fields.get("gzip") == "1")


def response(status: HTTPStatus, body: bytes = b"") -> bytes:
    """Return a complete response, which ends the connection; NO_CONTENT must have no body."""
    header = f"HTTP/1.1 {status.value} {status.phrase}\r\nConnection: close\r\n"
    if status is not HTTPStatus.NO_CONTENT:
        header += f"Content-Length: {len(body)}\r\n"
    return f"{header}\r\n".encode() + body


def watch_header(gzip: bool) -> bytes:
    """Return the header of the response to a watch; the body follows in chunks."""
    coding = "Content-Encoding: gzip\r\n" if gzip else ""
    return f"HTTP/1.1 200 OK\r\n{coding}Transfer-Encoding: chunked\r\n\r\n".encode()


def chunk(data: bytes) -> bytes:
    """Return the data as a chunk of a watch's body."""
    return b"%x\r\n%s\r\n" % (len(data), data)
