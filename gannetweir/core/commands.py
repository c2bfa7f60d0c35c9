"""What an engine asks of its drivers: one type a command, carried out in the order in which they were given.

Times are integer microseconds. Commands with the same fields share a base class, since each dataclass takes
some tenths of a millisecond of a relay's start. Two commands are equal if their types and fields are.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from gannetweir.placement.events import EndpointId


@dataclass(frozen=True, slots=True)
class _RequestCommand:
    """A command that needs the request alone."""

    request_id: int


@dataclass(frozen=True, slots=True)
class _EndCommand:
    """A command that passes on how the other side ended."""

    request_id: int
    reset: bool


@dataclass(frozen=True, slots=True)
class OpenUpstream:
    """Open the upstream connection of one attempt; the endpoint is sent how long the relay waits."""

    request_id: int
    attempt: int
    address: str
    timeout_us: int
    endpoint_id: EndpointId = None
    races_addresses: bool = False  # it has several, known to `Engine.address_selector`: their connects race


@dataclass(frozen=True, slots=True)
class CloseUpstream:
    """Close the upstream connection of an attempt at once, before anything else is done for its request."""

    request_id: int
    attempt: int


class StartForwarding(_RequestCommand):
    """Forward the endpoint's answer to the client, and from now on lines both ways."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class RejectClient:
    """Answer that the request was not executed: the client may retry it after `retry_after_us`."""

    request_id: int
    retry_after_us: int = 0


class FailClient(_RequestCommand):
    """Answer that the request failed: it may or may not have been executed."""

    __slots__ = ()


class MigrateClient(_RequestCommand):
    """Ask the client to connect again, then end both sides of its connection."""

    __slots__ = ()


class EndClient(_EndCommand):
    """End the client's side as the endpoint ended its own: in order, or by a reset."""

    __slots__ = ()


class EndUpstream(_EndCommand):
    """End the endpoint's side as the client ended its own: in order, or by a reset."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class StartLoadProbe:
    """Ask an endpoint for its load."""

    endpoint_id: EndpointId
    address: str
    races_addresses: bool = False


@dataclass(frozen=True, slots=True)
class SetEndpointWatch:
    """Start the watch on the endpoint list after a version of it, or end the watch."""

    enabled: bool
    since_version: int


@dataclass(frozen=True, slots=True)
class WriteLogLine:
    """Write a log line for the engineers on call, with fields that say what it is about."""

    text: str
    fields: Mapping[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Exit:
    """End the process once the last answers are out: the drain is over."""


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
