"""Frames of the simulator's wire, zinc-af87: decodes its records into events and encodes actions as records.

A frame is a header, records of a fixed size, and a tail that records refer to by offset and size. All numbers
are little-endian. `EVENTS` has the wire's own names of events, which error messages use.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from operator import attrgetter
from typing import NamedTuple

from gannetweir.errors import GannetweirError
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

FRAME_HEADER = struct.Struct("<IIQ")  # length of the frame, number of records, the time in microseconds
REPLY_HEADER = struct.Struct("<II")  # length of the frame, number of records
EVENT_BYTES = 48  # size of a record sent to the relay
ACTION_BYTES = 24  # size of a record sent by the relay
MAX_FRAME_BYTES = 1 << 28  # 256 MiB, as the wire specifies; a longer frame is malformed
ENTRY = struct.Struct("<6sHHHBfQ")  # one endpoint of a list; fields as in EndpointEntry

# Codes of records that are neither events for a balancer nor its actions.
CREATE = 16  # creates an instance
TEARDOWN = 25  # ends an instance
FAULT = 25  # sent by the relay: an instance has failed; the text says why
LOG = 24  # sent by the relay: a log line


class WireError(GannetweirError):
    """The input is malformed; the message names the fault, the frame and the record."""


def tail_slice(tail: memoryview, offset: int, size: int) -> memoryview:
    """Return the part of a frame's tail that a record refers to.

    Raises:
        WireError: the tail ends before that part does.
    """
    if offset + size > len(tail):
        raise WireError(f"tail holds {len(tail)} bytes, the record names {offset}+{size}")
    return tail[offset : offset + size]


def _endpoint_list_update(
    tail: memoryview, kind: int, version: int, offset: int, count: int
) -> EndpointListUpdate:
    entries = tail_slice(tail, offset, count * ENTRY.size)
    return EndpointListUpdate(kind, version, [EndpointEntry(*entry) for entry in ENTRY.iter_unpack(entries)])


def _peer_message(tail: memoryview, sender: int, offset: int, size: int) -> PeerMessage:
    return PeerMessage(sender, bytes(tail_slice(tail, offset, size)))


def _attempt_ended(
    _tail: memoryview,
    request_id: int,
    attempt: int,
    status: int,
    closed: int,
    endpoint_id: bytes,
    elapsed_us: int,
    report_size: int,
    *report: float,
) -> AttemptEnded:
    load_report = report[:report_size]
    return AttemptEnded(request_id, attempt, status, closed, endpoint_id, elapsed_us, load_report)


def _load_probe_result(
    _tail: memoryview, endpoint_id: bytes, status: int, elapsed_us: int, report_size: int, *report: float
) -> LoadProbeResult:
    return LoadProbeResult(endpoint_id, status, elapsed_us, report[:report_size])


def _in_field_order(event_type: Callable[..., Event]) -> Callable[..., Event]:
    """Return a decoder of events that have the fields of the record in the same order."""
    return lambda _tail, *fields: event_type(*fields)


class EventRecord(NamedTuple):
    """The wire's name, layout and decoder of one kind of event."""

    wire_name: str
    layout: struct.Struct  # starts at byte 1, with the instance
    decode: Callable[..., Event]  # takes the tail and the fields after the instance


EVENTS: dict[int, EventRecord] = {
    17: EventRecord("Topology", struct.Struct("<HBIII"), _endpoint_list_update),
    18: EventRecord("Req", struct.Struct("<HQBHQIIQB"), _in_field_order(RequestArrived)),
    19: EventRecord("FirstByte", struct.Struct("<HQB6sI"), _in_field_order(ConnectionEstablished)),
    20: EventRecord("Verdict", struct.Struct("<HQBHB6sIBffff"), _attempt_ended),
    21: EventRecord("Lapsed", struct.Struct("<HQ"), _in_field_order(ClientDisconnected)),
    22: EventRecord("DeadlineHit", struct.Struct("<HQ"), _in_field_order(TimerExpired)),
    23: EventRecord("Sampled", struct.Struct("<H6sHIBffff"), _load_probe_result),
    24: EventRecord("NeighbourSays", struct.Struct("<HIII"), _peer_message),
    26: EventRecord("Resumed", struct.Struct("<HQIIQQH6sBB"), _in_field_order(ConnectionResumed)),
    27: EventRecord("Change", struct.Struct("<HQB6sBf"), _in_field_order(ConnectionMetric)),
}
CREATE_LAYOUT = struct.Struct("<HQII")  # instance, seed, offset and size of the settings in the tail
TEARDOWN_LAYOUT = struct.Struct("<H")  # instance

# For each action: its code, the layout after code and instance, and the fields in the layout's order.
_ACTIONS: dict[type[Action], tuple[int, str, tuple[str, ...]]] = {
    StartAttempt: (16, "Q6sI", ("request_id", "endpoint_id", "timeout_us")),
    RejectRequest: (17, "QI", ("request_id", "retry_after_us")),
    FailRequest: (18, "Q", ("request_id",)),
    SetTimer: (20, "QI", ("token", "after_us")),
    ProbeLoad: (21, "6s", ("endpoint_id",)),
    WatchEndpoints: (26, "B", ("enabled",)),
    MigrateConnection: (28, "Q", ("request_id",)),
}


def _encoder(code: int, layout: str, fields: tuple[str, ...]) -> Callable[[int, Action], bytes]:
    padding_bytes = ACTION_BYTES - struct.calcsize("<BH" + layout)
    record = struct.Struct(f"<BH{layout}{padding_bytes}x")
    values_of = attrgetter(*fields)  # a single value for one field, a tuple for several
    if len(fields) == 1:
        return lambda instance, action: record.pack(code, instance, values_of(action))
    return lambda instance, action: record.pack(code, instance, *values_of(action))


_ENCODERS = {action_type: _encoder(*row) for action_type, row in _ACTIONS.items()}
_TEXT_RECORD = struct.Struct("<BHII13x")  # code, instance, offset and size of the text in the tail


class Reply:
    """Collects the records and the tail of a frame that the relay sends."""

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = bytearray()

    def add(self, instance: int, actions: list[Action]) -> None:
        """Add the actions of an instance, in their order."""
        for action in actions:
            if isinstance(action, WriteLog):
                self.add_text(LOG, instance, action.text)
            else:
                self._records.append(_ENCODERS[type(action)](instance, action))

    def add_text(self, code: int, instance: int, text: str) -> None:
        """Add a record with a text, which goes to the tail."""
        encoded = text.encode("utf-8", "replace")
        self._records.append(_TEXT_RECORD.pack(code, instance, len(self._tail), len(encoded)))
        self._tail += encoded

    def frame(self) -> bytes:
        """Return the encoded frame."""
        body = b"".join(self._records) + bytes(self._tail)
        return REPLY_HEADER.pack(REPLY_HEADER.size + len(body), len(self._records)) + body
