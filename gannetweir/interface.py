"""The types that a caller of `Balancer` needs: settings, events, actions.

Times are integer microseconds. Server ids are opaque hashable values, request ids integers; both come
back unchanged in the actions. Field order is the order of the wire's records, which `wire.py` relies on.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from typing import TypeAlias

EndpointId: TypeAlias = Hashable

# How an attempt or a probe ended.
OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, MOOT = 10, 20, 30, 40, 50, 60, 70, 80
NEVER_RAN = frozenset({FULL, CONNECT_FAILED, MOOT})
# State of a listed server.
GONE, READY, DRAINING = 0, 1, 2
# Kind of a server list.
LIST_FULL, LIST_FAILED, LIST_DELTA, LIST_CACHED = 0, 1, 2, 3
# Request flags.
HINT_VALID, CLIENT_RETRY, MID_FLOW, RETURNED = 1, 2, 8, 16
# Kinds of note.
NOTE_LOAD, NOTE_DELAY = 1, 2


@dataclass(slots=True)
class RequestClass:
    """One class of requests, and what a repeat of it may do."""

    name: str = ""
    latency_objective_us: int = 300_000
    deadline_us: int = 1_800_000
    priority_weight: float = 1.0
    idempotency: str = "once"  # repeatable | by_key | once
    idempotency_scope: str = "cell"  # for by_key: all | zone | cell
    idempotency_window_us: int = 0
    # The operators' timing, where a route of theirs states it; 0 or empty: the module's own holds.
    route: str = ""  # set in what `timing` derives from a class; the platform names none
    request_timeout_us: int = 0  # the relay's final answer is due by then
    connect_timeout_us: int = 0
    attempt_timeout_us: int = 0  # from the first line's last byte
    max_attempts: int = 0
    retry_backoff_us: tuple[int, ...] = ()  # the longest before the second attempt, the third, ...
    backoff_from_attempt_start: bool = False  # those count from the start of the attempt before
    full_jitter: bool = False  # anything from 0 to the wait
    retries_executed_attempts: bool = (
        True  # an attempt that may have run may be followed by another, where `repeat` allows
    )
    max_setups_per_endpoint: int = 0  # set-ups under way at one server

    @property
    def is_idempotent_everywhere(self) -> bool:
        """Wherever a repeat goes, it does no harm."""
        return self.idempotency == "repeatable" or (
            self.idempotency == "by_key" and self.idempotency_scope == "all"
        )

    def backoff_us(self, attempts: int, sent_us: int, now_us: int, draw: Callable[[], float]) -> int:
        """How long the next attempt waits after so many; `draw` gives a random number from 0 to 1."""
        if not 0 < attempts <= len(self.retry_backoff_us):
            return 0
        wait = self.retry_backoff_us[attempts - 1]
        return (
            max(0, sent_us + wait - now_us)
            if self.backoff_from_attempt_start
            else int(wait * (draw() if self.full_jitter else 1.0))
        )


@dataclass(slots=True)
class Settings:
    """What an instance is told at its start; every default is the cautious reading of a missing key."""

    classes: list[RequestClass]
    relay_count: int = 1
    zone: int = 0
    zone_names: list[str] = field(default_factory=list)
    machine_types: list[str] = field(default_factory=list)
    polls_endpoint_list: bool = False  # the list answers only when asked
    poll_interval_us: int = 10_000_000
    slow_start_min_share: float = 0.1
    slow_start_window_us: int = 30_000_000
    overload_multiple: float = 2.0
    load_report_fields: list[str] = field(default_factory=list)
    load_report_source: str = "none"
    load_probes_enabled: bool = False
    max_attempts: int = 1
    connect_timeout_us: int = 250_000
    max_retry_after_us: int = 1_000_000
    sends_retry_after: bool = True  # a refusal may say when to come again
    message_latency_objectives_us: list[float] = field(default_factory=list)
    groups_enabled: bool = (
        False  # connections of one group share work: each server that holds any pays for it once
    )
    reports_connection_load: bool = False
    reports_message_delay: bool = False
    cross_zone_cost: float = 0.0
    allows_hedged_requests: bool = False  # two attempts of one request may be out together
    clients_mark_retries: bool = True  # clients mark their own retries


# ---- events


@dataclass(slots=True)
class EndpointEntry:
    """One line of a server list."""

    endpoint_id: EndpointId
    zone: int = 0
    machine_type: int = 0
    cell: int = 0
    state: int = READY
    weight: float = 1.0
    started_us: int = 0


@dataclass(slots=True)
class EndpointListUpdate:
    """A whole list, changes to it, or word that asking for it failed."""

    kind: int
    version: int
    entries: list[EndpointEntry]


@dataclass(slots=True)
class RequestArrived:
    """A client wants a connection; one final answer is owed."""

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
    """A connection that was already open through this instance when it started."""

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
    """The connection stands."""

    request_id: int
    attempt: int
    endpoint_id: EndpointId
    elapsed_us: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended; `closed` says that the request did too. `report` follows `report_names`."""

    request_id: int
    attempt: int
    status: int
    closed: int
    endpoint_id: EndpointId
    elapsed_us: int
    load_report: tuple[float, ...] = ()
    address_fault: bool = False  # the way there failed, not the server


@dataclass(slots=True)
class ClientDisconnected:
    """The client left; nothing more is owed."""

    request_id: int


@dataclass(slots=True)
class LoadProbeResult:
    """The answer to one probe."""

    endpoint_id: EndpointId
    status: int
    elapsed_us: int
    load_report: tuple[float, ...] = ()


@dataclass(slots=True)
class ConnectionMetric:
    """News of an open connection: its load, or how long a message takes at its server."""

    request_id: int
    attempt: int
    endpoint_id: EndpointId
    kind: int
    value: float


@dataclass(slots=True)
class TimerExpired:
    """A timer that the instance set has fallen due."""

    token: int


@dataclass(slots=True)
class PeerMessage:
    """Bytes from another instance; instances share nothing here, so they are ignored."""

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

# ---- actions


@dataclass(slots=True)
class StartAttempt:
    """Start the request's next attempt; a time-out of 0 lasts until the client gives up."""

    request_id: int
    endpoint_id: EndpointId
    timeout_us: int


@dataclass(slots=True)
class RejectRequest:
    """Final answer: not served, trying again is harmless."""

    request_id: int
    retry_after_us: int


@dataclass(slots=True)
class FailRequest:
    """Final answer: not served, nothing promised."""

    request_id: int


@dataclass(slots=True)
class ProbeLoad:
    """Ask a server for its load."""

    endpoint_id: EndpointId


@dataclass(slots=True)
class MigrateConnection:
    """End an open connection politely; its client comes again."""

    request_id: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a `TimerDue`."""

    token: int
    after_us: int


@dataclass(slots=True)
class WatchEndpoints:
    """Subscribe to changes of the server list."""

    enabled: int


@dataclass(slots=True)
class WriteLog:
    """A line for the people on call."""

    text: str


Action = (
    StartAttempt
    | RejectRequest
    | FailRequest
    | ProbeLoad
    | MigrateConnection
    | SetTimer
    | WatchEndpoints
    | WriteLog
)
