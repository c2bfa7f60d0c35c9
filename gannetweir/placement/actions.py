"""The actions that a balancer answers with, carried out by the engine in their order.

Times are integer microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from gannetweir.placement.events import EndpointId


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
