"""Frames of the wire zinc-af87, table-driven, and the wire's names turned into the field's."""

from __future__ import annotations

import struct
from collections.abc import Callable
from operator import attrgetter
from typing import Any

from gannetweir.placement.actions import (
    Action,
    FailRequest,
    MigrateConnection,
    ProbeLoad,
    RejectRequest,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
    WriteLog,
)
from gannetweir.placement.events import (
    AttemptEnded,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionMetric,
    ConnectionResumed,
    EndpointEntry,
    EndpointListUpdate,
    Event,
    LoadProbeResult,
    PeerMessage,
    RequestArrived,
    TimerExpired,
)

HEADER = struct.Struct("<IIQ")
REPLY_HEADER = struct.Struct("<II")
EVENT_SIZE, ACTION_SIZE = 48, 24
FRAME_LIMIT = 1 << 28
ENTRY = struct.Struct("<6sHHHBfQ")
CREATE, TEARDOWN, FAULT = 16, 25, 25


class WireError(Exception):
    """What was wrong with the input, and where."""


def _list(tail: memoryview, kind: int, version: int, offset: int, count: int) -> EndpointListUpdate:
    part = tail_slice(tail, offset, count * ENTRY.size)
    return EndpointListUpdate(kind, version, [EndpointEntry(*e) for e in ENTRY.iter_unpack(part)])


def tail_slice(tail: memoryview, offset: int, size: int) -> memoryview:
    if offset + size > len(tail):
        raise WireError(f"tail holds {len(tail)} bytes, the record names {offset}+{size}")
    return tail[offset : offset + size]


def _peer(tail: memoryview, sender: int, offset: int, size: int) -> PeerMessage:
    return PeerMessage(sender, bytes(tail_slice(tail, offset, size)))


def _outcome(
    _t: memoryview, r: int, a: int, s: int, c: int, v: bytes, e: int, n: int, *x: float
) -> AttemptEnded:
    return AttemptEnded(r, a, s, c, v, e, x[:n])


def _probe(_t: memoryview, server: bytes, status: int, elapsed: int, n: int, *x: float) -> LoadProbeResult:
    return LoadProbeResult(server, status, elapsed, x[:n])


def _plain(cls: Callable[..., Event]) -> Callable[..., Event]:
    return lambda _tail, *fields: cls(*fields)


# code: wire name, layout from byte 1 (the instance first), how the event is made
EVENTS: dict[int, tuple[str, struct.Struct, Callable[..., Event]]] = {
    17: ("Topology", struct.Struct("<HBIII"), _list),
    18: ("Req", struct.Struct("<HQBHQIIQB"), _plain(RequestArrived)),
    19: ("FirstByte", struct.Struct("<HQB6sI"), _plain(ConnectionEstablished)),
    20: ("Verdict", struct.Struct("<HQBHB6sIBffff"), _outcome),
    21: ("Lapsed", struct.Struct("<HQ"), _plain(ClientDisconnected)),
    22: ("DeadlineHit", struct.Struct("<HQ"), _plain(TimerExpired)),
    23: ("Sampled", struct.Struct("<H6sHIBffff"), _probe),
    24: ("NeighbourSays", struct.Struct("<HIII"), _peer),
    26: ("Resumed", struct.Struct("<HQIIQQH6sBB"), _plain(ConnectionResumed)),
    27: ("Change", struct.Struct("<HQB6sBf"), _plain(ConnectionMetric)),
}
CREATE_LAYOUT = struct.Struct("<HQII")
INSTANCE = struct.Struct("<H")

# action: code, layout after code and instance, fields in that order
_ACTION_TABLE: dict[type, tuple[int, str, tuple[str, ...]]] = {
    StartAttempt: (16, "Q6sI", ("request_id", "endpoint_id", "timeout_us")),
    RejectRequest: (17, "QI", ("request_id", "retry_after_us")),
    FailRequest: (18, "Q", ("request_id",)),
    SetTimer: (20, "QI", ("token", "after_us")),
    ProbeLoad: (21, "6s", ("endpoint_id",)),
    WatchEndpoints: (26, "B", ("enabled",)),
    MigrateConnection: (28, "Q", ("request_id",)),
}


def _encoder(code: int, layout: str, fields: tuple[str, ...]) -> Callable[[int, Any], bytes]:
    body = struct.Struct("<BH" + layout)
    record = struct.Struct(f"<BH{layout}{ACTION_SIZE - body.size}x")
    get = attrgetter(*fields)
    if len(fields) == 1:
        return lambda instance, action: record.pack(code, instance, get(action))
    return lambda instance, action: record.pack(code, instance, *get(action))


_ENCODE = {cls: _encoder(*row) for cls, row in _ACTION_TABLE.items()}
_TEXT = struct.Struct("<BHII13x")
LOG = 24


class Reply:
    """Collects the actions of one batch."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.tail = bytearray()

    def add(self, instance: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, WriteLog):
                self.text(LOG, instance, action.text)
            else:
                self.records.append(_ENCODE[type(action)](instance, action))

    def text(self, code: int, instance: int, text: str) -> None:
        data = text.encode("utf-8", "replace")
        self.records.append(_TEXT.pack(code, instance, len(self.tail), len(data)))
        self.tail += data

    def frame(self) -> bytes:
        body = b"".join(self.records) + bytes(self.tail)
        return REPLY_HEADER.pack(REPLY_HEADER.size + len(body), len(self.records)) + body
