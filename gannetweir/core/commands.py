"""What an engine asks of its drivers: one type a command, done in the order in which they were given."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from gannetweir.placement.events import EndpointId


@dataclass(frozen=True, slots=True)
class OpenUpstream:
    """Start a server-side flow; the backend is told how long the relay waits."""

    request_id: int
    attempt: int
    address: str
    timeout_us: int
    endpoint_id: EndpointId = None
    races_addresses: bool = False  # `Engine.paths` knows the way there: its addresses race


@dataclass(frozen=True, slots=True)
class CloseUpstream:
    """End a server-side flow at once, before anything else is done for its transaction."""

    request_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class StartForwarding:
    """The client's answer is the backend's; from now on lines pass."""

    request_id: int


@dataclass(frozen=True, slots=True)
class RejectClient:
    """Refused: trying again is harmless, after so long."""

    request_id: int
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class FailClient:
    """Failed: nothing is promised."""

    request_id: int


@dataclass(frozen=True, slots=True)
class MigrateClient:
    """Ask the client to come again, then end both sides."""

    request_id: int


@dataclass(frozen=True, slots=True)
class EndClient:
    """The backend ended the connection: end the client's side in kind."""

    request_id: int
    reset: bool


@dataclass(frozen=True, slots=True)
class EndUpstream:
    """The client ended the connection: end the backend's side in kind."""

    request_id: int
    reset: bool


@dataclass(frozen=True, slots=True)
class StartLoadProbe:
    """Ask a backend for its load."""

    endpoint_id: EndpointId
    address: str
    races_addresses: bool = False


@dataclass(frozen=True, slots=True)
class SetEndpointWatch:
    """Start a watch on the pool, or end it."""

    enabled: bool
    since_version: int


@dataclass(frozen=True, slots=True)
class WriteLogLine:
    """A line for the people on call, and what it is about."""

    text: str
    fields: Mapping[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Exit:
    """The drain is over; the last answers are still to be read."""


Command = (
    OpenUpstream
    | CloseUpstream
    | StartForwarding
    | RejectClient
    | FailClient
    | MigrateClient
    | EndClient
    | EndUpstream
    | StartLoadProbe
    | SetEndpointWatch
    | WriteLogLine
    | Exit
)
