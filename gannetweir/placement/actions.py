"""The actions that a balancer returns; the engine carries them out in order.

Times are integer microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from gannetweir.placement.events import EndpointId


@dataclass(slots=True)
class StartAttempt:
    """Start the request's next attempt. With a timeout of 0, only the request's deadline limits it."""

    request_id: int
    endpoint_id: EndpointId
    timeout_us: int


@dataclass(slots=True)
class RejectRequest:
    """Final answer: not served, and a retry is harmless; a Retry-After of 0 states no time."""

    request_id: int
    retry_after_us: int


@dataclass(slots=True)
class FailRequest:
    """Final answer: not served, and the request may have been executed."""

    request_id: int


@dataclass(slots=True)
class ProbeLoad:
    """Probe an endpoint for its load; answered by a `LoadProbeResult`."""

    endpoint_id: EndpointId


@dataclass(slots=True)
class MigrateConnection:
    """Close an open connection gracefully; its client returns and is placed again."""

    request_id: int


@dataclass(slots=True)
class SetTimer:
    """Request a `TimerExpired` with this token."""

    token: int
    after_us: int


@dataclass(slots=True)
class WatchEndpoints:
    """Subscribe to changes of the endpoint list; answered by an `EndpointListUpdate`."""

    enabled: int


@dataclass(slots=True)
class WriteLog:
    """A log line for engineers on call."""

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
