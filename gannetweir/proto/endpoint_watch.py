"""The watch of discovery's endpoint list: chunked HTTP with JSON objects; empty lines are heartbeats."""

from __future__ import annotations

import re
import sys
from dataclasses import dataclass, replace
from typing import Any, NamedTuple

import h11
import orjson

from gannetweir.errors import GannetweirError
from gannetweir.limits import Limits
from gannetweir.membership.membership_update import ListedEndpoint, MembershipUpdate, number_in
from gannetweir.placement.events import EndpointEntry, EndpointStatus
from gannetweir.placement.settings import Settings
from gannetweir.proto.lines import LineBuffer, LineError

JsonValue = Any  # a part of decoded JSON, whose type is checked where it is read
STATUS_BY_HEALTH = {
    "Ready": EndpointStatus.READY,
    "Terminating": EndpointStatus.DRAINING,
    "Gone": EndpointStatus.REMOVED,
}
_HTTP_OK = 200


class EndpointListError(GannetweirError, ValueError):
    """A message of discovery or of the control protocol is invalid; the text says why."""


def _read_endpoint(data: JsonValue, settings: Settings) -> ListedEndpoint:
    status = STATUS_BY_HEALTH.get(data["health"])
    name, address = data["host"], data.get("dial", "")
    started_ms, weight, cell = data.get("born_ms", 0), data.get("share", 1.0), data.get("block", 0)
    addresses = data.get("dials") or ()
    zone_name, machine_type_name = data.get("site"), data.get("class")
    is_named = isinstance(name, str) and bool(name)
    if status is None or not is_named or not isinstance(address, str) or not _are_strings(addresses):
        raise EndpointListError(
            f"bad entry for {name!r}: expected host, dial and dials as text, and health as one of "
            f"{', '.join(STATUS_BY_HEALTH)}"
        )
    if not all(isinstance(figure, int | float) for figure in (started_ms, weight, cell)):
        raise EndpointListError(f"bad figure for {name!r}: born_ms, share and block must be numbers")
    entry = EndpointEntry(
        name,
        number_in(settings.zone_names, zone_name),
        number_in(settings.machine_types, machine_type_name),
        int(cell),
        status,
        float(weight),
        max(0, int(started_ms * 1000)),
    )
    return ListedEndpoint(
        entry, address, tuple(addresses), _interned(zone_name), _interned(machine_type_name)
    )


def _interned(name: JsonValue) -> str:
    """Return a name as a string that all endpoints with this name share; empty for any other value."""
    return sys.intern(name) if isinstance(name, str) else ""


def _are_strings(values: JsonValue) -> bool:
    return isinstance(values, list | tuple) and all(isinstance(value, str) for value in values)


def read_membership(data: JsonValue, settings: Settings) -> MembershipUpdate:
    """Return the membership update in a JSON object of discovery.

    Raises `EndpointListError` for any fault in the object: an incomplete list would remove endpoints that
    still run.
    """
    try:
        version, is_complete, hosts = data["seq"], data["whole"], data["hosts"]
        if not _are_well_typed(version, is_complete, hosts):
            raise EndpointListError("ill-typed list: seq must be an integer, whole a boolean, hosts a list")
        return MembershipUpdate(version, is_complete, [_read_endpoint(host, settings) for host in hosts])
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise EndpointListError(f"malformed endpoint list: {type(error).__name__}: {error}") from error


def _are_well_typed(version: JsonValue, is_complete: JsonValue, hosts: JsonValue) -> bool:
    return isinstance(version, int) and isinstance(is_complete, bool) and isinstance(hosts, list)


def read_cached_membership(data: dict[str, JsonValue], settings: Settings) -> MembershipUpdate:
    """Return the endpoint list that a relay is started with; it is empty if the configuration has none.

    Raises as `read_membership`.
    """
    return read_membership({"seq": 0, "hosts": [], **data, "whole": True}, settings)


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """An empty line: nothing has changed."""


class WatchFailed(NamedTuple):
    """The watch cannot continue; the events before this one remain valid."""

    reason: str


WatchEvent = MembershipUpdate | Heartbeat | WatchFailed
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


def _count_open_brackets(line: bytes) -> int:
    """Return how many objects and lists a line leaves open. Strings in JSON do not span lines."""
    bare = _STRING.sub(b"", line)
    return bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")


class EndpointWatch:
    """The protocol of one watch, from its request to its end. The caller writes `request` first."""

    def __init__(
        self,
        host: str,
        since_version: int,
        settings: Settings,
        limits: Limits,
        extra_parameters: str = "",
    ) -> None:
        """Prepare `request`. Its query ends with `extra_parameters`, which only `ControlWatch` passes."""
        self.settings = settings
        self.lines = LineBuffer(limits.endpoint_watch_line_bytes)
        self.http = h11.Connection(h11.CLIENT)
        target = f"/registry/instances?follow=1&since={since_version}{extra_parameters}"
        request = h11.Request(method="GET", target=target, headers=[("Host", host)])
        self.request = (self.http.send(request) or b"") + (self.http.send(h11.EndOfMessage()) or b"")
        self.answered = False  # a response with status 200 has begun
        self.version = since_version  # version of the last update
        self.has_updated = False
        self.partial_object = b""  # the lines so far of an object over several lines
        self.open_brackets = 0  # brackets that `partial_object` leaves open

    def feed(self, data: bytes) -> list[WatchEvent]:
        """Return the updates and heartbeats in their order, and last a `WatchFailed` if the watch failed.

        Empty `data` means the end of the connection.
        """
        events: list[WatchEvent] = []
        try:
            self.http.receive_data(data)
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return events
                self._handle_http_event(event, events)
        except (h11.RemoteProtocolError, LineError, EndpointListError) as error:
            # Events before the malformed part of the data are valid and must not be lost with it.
            return [*events, WatchFailed(str(error))]

    def _handle_http_event(self, event: object, events: list[WatchEvent]) -> None:
        """Append the events of one HTTP event. Raises `LineError` or `EndpointListError`."""
        if isinstance(event, h11.Response):
            if event.status_code != _HTTP_OK:
                raise EndpointListError(f"HTTP status {event.status_code}, expected {_HTTP_OK}")
            self.answered = True
        elif isinstance(event, h11.Data):
            for line in self.lines.feed(self._decode_body(bytes(event.data))):
                events += self._parse_line(line)
        else:  # EndOfMessage or ConnectionClosed
            raise EndpointListError("the server ended the watch")

    def _parse_line(self, line: bytes) -> list[WatchEvent]:
        if self.partial_object:
            # A heartbeat or another object begins within this one.
            if not line.strip() or (line[:1] == b"{" and b'"seq"' in line):
                raise EndpointListError("incomplete object, followed by a heartbeat or another object")
        elif not line.strip():
            return [Heartbeat()]
        self.partial_object += line
        if self.open_brackets or not line.rstrip().endswith(b"}"):
            self.open_brackets += _count_open_brackets(line)
        if self.open_brackets > 0 and len(self.partial_object) <= self.lines.max_line_bytes:
            return []
        complete_object, self.partial_object, self.open_brackets = self.partial_object, b"", 0
        try:
            return [self._read_event(orjson.loads(complete_object))]
        except orjson.JSONDecodeError as error:
            raise EndpointListError(f"not JSON: {error}") from error

    def _decode_body(self, data: bytes) -> bytes:
        """Return a part of the body as plain lines. Raises `EndpointListError` if it is malformed."""
        return data

    def _read_event(self, data: JsonValue) -> JsonValue:
        """Return the event in a JSON object. Raises `EndpointListError` if the object is malformed.

        The control plane's watch overrides this method to return its own events, hence the wide types.
        """
        return self._check_version(read_membership(data, self.settings))

    def _check_version(self, update: MembershipUpdate) -> MembershipUpdate:
        """Return the update; raise `EndpointListError` if it is older than the last one.

        An older update would restore endpoints that were removed. Only the first update of a watch may be
        older, if it is a complete list: a discovery that has lost its version count sends one. The list may
        also be a late copy of an old one, so the update is marked as stale.
        """
        is_older = update.version < self.version
        is_first_complete_list = update.complete and not self.has_updated
        if is_older and not is_first_complete_list:
            raise EndpointListError(f"version {update.version} is older than the last one, {self.version}")
        self.version = update.version
        self.has_updated = True
        return replace(update, is_stale=True) if is_older else update
