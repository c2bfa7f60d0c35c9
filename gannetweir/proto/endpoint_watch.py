"""Discovery's endpoint list: a watch over chunked HTTP, a JSON object a line; empty lines are heartbeats."""

from __future__ import annotations

import re
from dataclasses import dataclass, replace
from typing import Any, NamedTuple

import h11
import orjson

from gannetweir.errors import GannetweirError
from gannetweir.limits import Limits
from gannetweir.membership.membership_update import ListedEndpoint, MembershipUpdate
from gannetweir.placement.events import EndpointEntry, EndpointStatus
from gannetweir.placement.settings import Settings
from gannetweir.proto.lines import LineBuffer, LineError

JsonValue = Any  # of decoded JSON; every part is checked where it is read
STATUS_BY_HEALTH = {
    "Ready": EndpointStatus.READY,
    "Terminating": EndpointStatus.DRAINING,
    "Gone": EndpointStatus.REMOVED,
}
_HTTP_OK = 200


class EndpointListError(GannetweirError, ValueError):
    """Why an answer of discovery's can't be used."""


def _index(names: list[str], name: JsonValue) -> int:
    """The index of a name of the settings; one past the last for a name that they don't know."""
    return names.index(name) if name in names else len(names)


def _read_endpoint(data: JsonValue, settings: Settings) -> ListedEndpoint:
    status = STATUS_BY_HEALTH.get(data["health"])
    name, address = data["host"], data.get("dial", "")
    started_ms, weight, cell = data.get("born_ms", 0), data.get("share", 1.0), data.get("block", 0)
    addresses = data.get("dials") or ()
    is_named = isinstance(name, str) and bool(name)
    if status is None or not is_named or not isinstance(address, str) or not _are_strings(addresses):
        raise EndpointListError(f"bad entry for {name!r}")
    if not all(isinstance(figure, int | float) for figure in (started_ms, weight, cell)):
        raise EndpointListError(f"bad figure for {name!r}")
    entry = EndpointEntry(
        name,
        _index(settings.zone_names, data.get("site")),
        _index(settings.machine_types, data.get("class")),
        int(cell),
        status,
        float(weight),
        max(0, int(started_ms * 1000)),
    )
    return ListedEndpoint(entry, address, tuple(addresses))


def _are_strings(values: JsonValue) -> bool:
    return isinstance(values, list | tuple) and all(isinstance(value, str) for value in values)


def read_membership(data: JsonValue, settings: Settings) -> MembershipUpdate:
    """One object of discovery's. Raises `EndpointListError` for any fault in it: half a list would end
    endpoints that still run.
    """
    try:
        version, is_complete, hosts = data["seq"], data["whole"], data["hosts"]
        if not _are_well_typed(version, is_complete, hosts):
            raise EndpointListError("ill-typed list")
        return MembershipUpdate(version, is_complete, [_read_endpoint(host, settings) for host in hosts])
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise EndpointListError(f"not a list: {type(error).__name__}: {error}") from error


def _are_well_typed(version: JsonValue, is_complete: JsonValue, hosts: JsonValue) -> bool:
    return isinstance(version, int) and isinstance(is_complete, bool) and isinstance(hosts, list)


def read_cached_membership(data: dict[str, JsonValue], settings: Settings) -> MembershipUpdate:
    """The endpoint list that a relay is started with; none at all is an empty one. Raises as
    `read_membership`.
    """
    return read_membership({"seq": 0, "hosts": [], **data, "whole": True}, settings)


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Nothing has changed."""


class WatchFailed(NamedTuple):
    """The watch is of no more use; what it sent before still counts."""

    reason: str


WatchEvent = MembershipUpdate | Heartbeat | WatchFailed
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


def _count_open_brackets(line: bytes) -> int:
    """How many objects and lists a line leaves open; a string of JSON's spans no lines."""
    bare = _STRING.sub(b"", line)
    return bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")


class EndpointWatch:
    """The protocol of one watch, from its request to its end. `request` is to be written first."""

    def __init__(
        self,
        host: str,
        since_version: int,
        settings: Settings,
        limits: Limits,
        extra_parameters: str = "",
    ) -> None:
        """`extra_parameters` are appended to the target's; a list's watch has none."""
        self.settings = settings
        self.lines = LineBuffer(limits.endpoint_watch_line_bytes)
        self.http = h11.Connection(h11.CLIENT)
        target = f"/registry/instances?follow=1&since={since_version}{extra_parameters}"
        request = h11.Request(method="GET", target=target, headers=[("Host", host)])
        self.request = (self.http.send(request) or b"") + (self.http.send(h11.EndOfMessage()) or b"")
        self.answered = False
        self.version = since_version  # of the last update
        self.has_updated = False
        self.partial_object = b""  # an object over several lines, so far
        self.open_brackets = 0  # in it

    def feed(self, data: bytes) -> list[WatchEvent]:
        """Updates and heartbeats in their order, and at the end `WatchFailed` with what broke the watch.
        Empty data is the end of the connection.
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
            # what came before it in the same data counts as sent: it must not go with what is malformed
            return [*events, WatchFailed(str(error))]

    def _handle_http_event(self, event: object, events: list[WatchEvent]) -> None:
        """Append what an event of HTTP's says. Raises `LineError` or `EndpointListError`."""
        if isinstance(event, h11.Response):
            if event.status_code != _HTTP_OK:
                raise EndpointListError(f"status {event.status_code}")
            self.answered = True
        elif isinstance(event, h11.Data):
            for line in self.lines.feed(self._decode_body(bytes(event.data))):
                events += self._parse_line(line)
        else:  # EndOfMessage or ConnectionClosed
            raise EndpointListError("the watch ended")

    def _parse_line(self, line: bytes) -> list[WatchEvent]:
        if self.partial_object:
            # a heartbeat, or the next object, has begun
            if not line.strip() or (line[:1] == b"{" and b'"seq"' in line):
                raise EndpointListError("an object without its end")
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
        """A part of the answer's body, as lines. Raises `EndpointListError` if it is malformed."""
        return data

    def _read_event(self, data: JsonValue) -> JsonValue:
        """The event that one object is.

        Raises `EndpointListError` if it is none. The control plane's watch derives from this one and has
        events of its own, so neither type is narrower here.
        """
        return self._check_version(read_membership(data, self.settings))

    def _check_version(self, update: MembershipUpdate) -> MembershipUpdate:
        """An update older than what was sent would bring back what was removed. The first answer to a call
        may begin again, though: from a discovery that has lost its count it is the complete list. It may as
        well be a late copy of an old one, so it is marked as stale.
        """
        is_older = update.version < self.version
        is_first_complete_list = update.complete and not self.has_updated
        if is_older and not is_first_complete_list:
            raise EndpointListError(f"version {update.version} after {self.version}")
        self.version = update.version
        self.has_updated = True
        return replace(update, is_stale=True) if is_older else update
