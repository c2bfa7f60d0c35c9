"""Commands of an engine to its drivers: one type per command, executed in the order of issue.

Times are integer microseconds. Commands with the same fields share a base class, since each dataclass adds
some tenths of a millisecond to a relay's start. Two commands are equal if their types and fields are equal.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from gannetweir.placement.events import EndpointId


@dataclass(frozen=True, slots=True)
class _RequestCommand:
    """A command whose only field is the request."""

    request_id: int


@dataclass(frozen=True, slots=True)
class _EndCommand:
    """A command that ends one side of a connection in the way in which the other side ended."""

    request_id: int
    reset: bool


@dataclass(frozen=True, slots=True)
class OpenUpstream:
    """Open the upstream connection of one attempt. The first line states the relay's timeout."""

    request_id: int
    attempt: int
    address: str
    timeout_us: int
    endpoint_id: EndpointId = None
    races_addresses: bool = False  # race the endpoint's addresses, known to `Engine.address_selector`


@dataclass(frozen=True, slots=True)
class CloseUpstream:
    """Close the upstream connection of an attempt at once, before any further step for its request."""

    request_id: int
    attempt: int


class StartForwarding(_RequestCommand):
    """Forward the endpoint's answer to the client, and lines in both directions from now on."""

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
    """Ask the client to reconnect, then end both sides of its connection."""

    __slots__ = ()


class EndClient(_EndCommand):
    """End the client's side as the endpoint ended its own: by an orderly close or by a reset."""

    __slots__ = ()


class EndUpstream(_EndCommand):
    """End the endpoint's side as the client ended its own: by an orderly close or by a reset."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class StartLoadProbe:
    """Send a load probe to an endpoint."""

    endpoint_id: EndpointId
    address: str
    races_addresses: bool = False


@dataclass(frozen=True, slots=True)
class SetEndpointWatch:
    """Start to watch the endpoint list from a version on, or end the watch."""

    enabled: bool
    since_version: int


@dataclass(frozen=True, slots=True)
class WriteLogLine:
    """Write a log line for the operators on call, with fields that identify its subject."""

    text: str
    fields: Mapping[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Exit:
    """End the process after the last answers have been sent: the drain is over."""


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
