"""The events that a balancer handles: list updates, requests, outcomes of attempts, load reports, timers.

Times are integer microseconds. Endpoint ids are opaque hashable values, request ids are integers; the
actions return both unchanged. The order of the fields is that of the simulator's wire records, on which
`wire.py` relies.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from enum import IntEnum
from typing import TypeAlias

EndpointId: TypeAlias = Hashable


class AttemptStatus(IntEnum):
    """How an attempt or a load probe ended. The values are those of the simulator's protocol."""

    OK = 10
    ERROR = 20  # the endpoint answered with an error
    FULL = 30  # the endpoint rejected the attempt: nothing was executed
    TIMEOUT = 40
    CONNECT_FAILED = 50  # the request's last byte was never written
    RESET = 60
    CANCELLED = 70
    NOT_STARTED = 80  # the relay could not start the attempt


NOT_EXECUTED = frozenset({AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_STARTED})


class EndpointStatus(IntEnum):
    """The state of a listed endpoint. Only a ready endpoint gets new attempts."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class UpdateKind(IntEnum):
    """The kind of an update of the endpoint list."""

    SNAPSHOT = 0  # the complete list
    FAILED = 1  # the poll failed; the update has no entries
    DELTA = 2  # changes to the list
    CACHED = 3  # a complete list from this process, such as its initial list


class RequestFlag(IntEnum):
    """Bits of the flags of a request."""

    LOAD_HINT_VALID = 1
    CLIENT_RETRY = 2  # the client marks the request as its own retry
    MID_FLOW = 8
    RETURNED = 16  # the client's previous connection was broken or migrated


class MetricKind(IntEnum):
    """The quantity that a measurement of an open connection states."""

    LOAD = 1
    MESSAGE_DELAY = 2  # milliseconds


@dataclass(slots=True)
class EndpointEntry:
    """An entry of the endpoint list."""

    endpoint_id: EndpointId
    zone: int = 0
    machine_type: int = 0
    cell: int = 0
    state: int = EndpointStatus.READY
    weight: float = 1.0
    started_us: int = 0


@dataclass(slots=True)
class EndpointListUpdate:
    """A complete list, changes to it, or a failed poll; `kind` is an `UpdateKind`."""

    kind: int
    version: int
    entries: list[EndpointEntry]


@dataclass(slots=True)
class RequestArrived:
    """A client requests a connection and awaits one final answer. `flags` are bits of `RequestFlag`."""

    request_id: int
    class_index: int = 0
    tenant: int = 0
    key: int = 0
    time_budget_us: int = 0
    load_hint: int = 0
    group: int = 0
    flags: int = 0


@dataclass(slots=True)
class ConnectionResumed:
    """A connection that was open through this relay when the relay started."""

    request_id: int
    load_hint: int
    time_budget_us: int
    group: int
    key: int
    tenant: int
    endpoint_id: EndpointId
    flags: int = 0
    class_index: int = 0


@dataclass(slots=True)
class ConnectionEstablished:
    """An attempt has become an open connection."""

    request_id: int
    attempt: int
    endpoint_id: EndpointId
    elapsed_us: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended; `closed` states that the request ended as well.

    `status` is an `AttemptStatus`; `load_report` follows `Settings.load_report_fields`.
    """

    request_id: int
    attempt: int
    status: int
    closed: int
    endpoint_id: EndpointId
    elapsed_us: int
    load_report: tuple[float, ...] = ()
    address_fault: bool = False  # the address failed, not the endpoint


@dataclass(slots=True)
class ClientDisconnected:
    """The client has disconnected; it needs no further answer."""

    request_id: int


@dataclass(slots=True)
class LoadProbeResult:
    """The result of a load probe, answered or not; `status` is an `AttemptStatus`."""

    endpoint_id: EndpointId
    status: int
    elapsed_us: int
    load_report: tuple[float, ...] = ()


@dataclass(slots=True)
class ConnectionMetric:
    """A measurement of an open connection; `kind` is a `MetricKind`."""

    request_id: int
    attempt: int
    endpoint_id: EndpointId
    kind: int
    value: float


@dataclass(slots=True)
class TimerExpired:
    """A timer that the balancer set has expired."""

    token: int


@dataclass(slots=True)
class PeerMessage:
    """A message from another relay. Balancers share no state, so it is ignored."""

    sender: int
    data: bytes


Event = (
    EndpointListUpdate
    | RequestArrived
    | ConnectionResumed
    | ConnectionEstablished
    | AttemptEnded
    | ClientDisconnected
    | LoadProbeResult
    | ConnectionMetric
    | TimerExpired
    | PeerMessage
)
