"""Discovery's list: a watch over chunked HTTP, JSON objects by the line; empty lines are its beat."""

from __future__ import annotations

import re
from dataclasses import dataclass, replace
from typing import Any

import h11
import orjson

from gannetweir.limits import Limits
from gannetweir.membership.membership_update import ListedEndpoint, MembershipUpdate
from gannetweir.placement.events import EndpointEntry, EndpointStatus
from gannetweir.placement.settings import Settings
from gannetweir.proto.lines import LineBuffer, LineError

STATUS_BY_HEALTH = {
    "Ready": EndpointStatus.READY,
    "Terminating": EndpointStatus.DRAINING,
    "Gone": EndpointStatus.REMOVED,
}


class EndpointListError(ValueError):
    """Why an answer of discovery's can't be used."""


def _index(names: list[str], name: Any) -> int:
    return names.index(name) if name in names else len(names)


def _member(data: Any, settings: Settings) -> ListedEndpoint:
    state = STATUS_BY_HEALTH.get(data["health"])
    host, dial, born = data["host"], data.get("dial", ""), data.get("born_ms", 0)
    share, block = data.get("share", 1.0), data.get("block", 0)
    dials = data.get("dials") or ()
    told = isinstance(dials, list | tuple) and all(isinstance(d, str) for d in dials)
    if state is None or not isinstance(host, str) or not isinstance(dial, str) or not host or not told:
        raise EndpointListError(f"bad entry for {host!r}")
    if not all(isinstance(n, int | float) for n in (born, share, block)):
        raise EndpointListError(f"bad figure for {host!r}")
    zone, kind = (
        _index(settings.zone_names, data.get("site")),
        _index(settings.machine_types, data.get("class")),
    )
    entry = EndpointEntry(host, zone, kind, int(block), state, float(share), max(0, int(born * 1000)))
    return ListedEndpoint(entry, dial, tuple(dials))


def read_membership(data: Any, settings: Settings) -> MembershipUpdate:
    """One object of discovery's. All or nothing: half a list would end backends that still run."""
    try:
        version, whole, hosts = data["seq"], data["whole"], data["hosts"]
        if not isinstance(version, int) or not isinstance(whole, bool) or not isinstance(hosts, list):
            raise EndpointListError("ill-typed list")
        return MembershipUpdate(version, whole, [_member(host, settings) for host in hosts])
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise EndpointListError(f"not a list: {type(error).__name__}: {error}") from None


def read_cached_membership(data: dict[str, Any], settings: Settings) -> MembershipUpdate:
    """The pool that a relay is started with; none at all is an empty one."""
    return read_membership({"seq": 0, "hosts": [], **data, "whole": True}, settings)


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Nothing has changed."""


@dataclass(frozen=True, slots=True)
class WatchFailed:
    """The watch is of no more use; what it told before still counts."""

    reason: str


WatchEvent = MembershipUpdate | Heartbeat | WatchFailed
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


def _depth(line: bytes) -> int:
    """How many objects and lists a line leaves open; a string of JSON's spans no lines."""
    bare = _STRING.sub(b"", line)
    return bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")


class EndpointWatch:
    """One watch, from its request to its end."""

    def __init__(
        self, host: str, since_version: int, settings: Settings, limits: Limits, extra_parameters: str = ""
    ) -> None:
        """`more` follows the target's parameters; a list's watch has none."""
        self.settings = settings
        self.lines = LineBuffer(limits.pool_line_bytes)
        self.http = h11.Connection(h11.CLIENT)
        target = f"/registry/instances?follow=1&since={since_version}{extra_parameters}"
        request = h11.Request(method="GET", target=target, headers=[("Host", host)])
        self.request = (self.http.send(request) or b"") + (self.http.send(h11.EndOfMessage()) or b"")
        self.answered = False
        self.version, self.has_updated = since_version, False  # of what it told last, if it has told anything
        self.partial_object, self.open_brackets = (
            b"",
            0,
        )  # an object over several lines so far, and how deep it is

    def feed(self, data: bytes) -> list[WatchEvent]:
        """News and beats in their order, and at the end what broke the watch. Empty data is the end of the
        connection.
        """
        found: list[WatchEvent] = []
        try:
            self.http.receive_data(data)
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return found
                if isinstance(event, h11.Response):
                    if event.status_code != 200:
                        raise EndpointListError(f"status {event.status_code}")
                    self.answered = True
                elif isinstance(event, h11.Data):
                    for line in self.lines.feed(self._decode_body(bytes(event.data))):
                        found += self._line(line)
                else:  # EndOfMessage or ConnectionClosed
                    raise EndpointListError("the watch ended")
        except (h11.RemoteProtocolError, LineError, EndpointListError) as error:
            # what came before it in the same data counts as told: it must not go with what is spoilt
            return [*found, WatchFailed(str(error))]

    def _line(self, line: bytes) -> list[WatchEvent]:
        if self.partial_object:
            if not line.strip() or (line[:1] == b"{" and b'"seq"' in line):
                raise EndpointListError("an object without its end")  # a beat, or the next one, has begun
        elif not line.strip():
            return [Heartbeat()]
        self.partial_object += line
        self.open_brackets += _depth(line) if self.open_brackets or not line.rstrip().endswith(b"}") else 0
        if self.open_brackets > 0 and len(self.partial_object) <= self.lines.max_line_bytes:
            return []
        whole, self.partial_object, self.open_brackets = self.partial_object, b"", 0
        try:
            return [self._read_event(orjson.loads(whole))]
        except orjson.JSONDecodeError as error:
            raise EndpointListError(f"not JSON: {error}") from None

    def _decode_body(self, data: bytes) -> bytes:
        """A part of the answer's body, as lines; `PoolError` if it is spoilt."""
        return data

    def _read_event(self, data: Any) -> Any:
        """The event that one object is; `PoolError` if it is none."""
        return self._check_version(read_membership(data, self.settings))

    def _check_version(self, news: MembershipUpdate) -> MembershipUpdate:
        """An older list than what was told would bring back what is gone. The first answer to a call may
        begin again, though: from a discovery that has lost its count it is the whole list. It may as well be
        a late copy of an old one, so the pool is told that it is older.
        """
        older = news.version < self.version
        if older and not (news.complete and not self.has_updated):
            raise EndpointListError(f"version {news.version} after {self.version}")
        self.version, self.has_updated = news.version, True
        return replace(news, is_stale=True) if older else news
