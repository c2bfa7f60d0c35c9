"""What an engine asks of its drivers: one type a command, done in the order in which they were given."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from gannetweir import interface as i


@dataclass(frozen=True, slots=True)
class OpenFlow:
    """Start a server-side flow; the backend is told how long the relay waits."""

    transaction: int
    attempt: int
    dial: str
    wait_us: int
    server: i.ServerId = None
    chosen: bool = False  # `Engine.paths` knows the way there: its addresses race


@dataclass(frozen=True, slots=True)
class CloseFlow:
    """End a server-side flow at once, before anything else is done for its transaction."""

    transaction: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Serve:
    """The client's answer is the backend's; from now on lines pass."""

    transaction: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Refused: trying again is harmless, after so long."""

    transaction: int
    retry_us: int = 0


@dataclass(frozen=True, slots=True)
class Abandon:
    """Failed: nothing is promised."""

    transaction: int


@dataclass(frozen=True, slots=True)
class MoveClient:
    """Ask the client to come again, then end both sides."""

    transaction: int


@dataclass(frozen=True, slots=True)
class EndClient:
    """The backend ended the connection: end the client's side in kind."""

    transaction: int
    reset: bool


@dataclass(frozen=True, slots=True)
class EndFlow:
    """The client ended the connection: end the backend's side in kind."""

    transaction: int
    reset: bool


@dataclass(frozen=True, slots=True)
class StartProbe:
    """Ask a backend for its load."""

    server: i.ServerId
    dial: str
    chosen: bool = False


@dataclass(frozen=True, slots=True)
class WatchPool:
    """Start a watch on the pool, or end it."""

    on: bool
    since: int


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line for the people on call, and what it is about."""

    text: str
    about: Mapping[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Exit:
    """The drain is over; the last answers are still to be read."""


Command = (
    OpenFlow
    | CloseFlow
    | Serve
    | Reject
    | Abandon
    | MoveClient
    | EndClient
    | EndFlow
    | StartProbe
    | WatchPool
    | LogLine
    | Exit
)
