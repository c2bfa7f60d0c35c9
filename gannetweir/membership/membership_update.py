"""What one message of discovery, or of the control plane, says of the endpoints."""

from __future__ import annotations

from dataclasses import dataclass, field

from gannetweir.placement.events import EndpointEntry


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One backend: what the module learns of it, and where this relay reaches it."""

    entry: EndpointEntry
    address: str
    additional_addresses: tuple[str, ...] = ()  # more addresses, where an installation's discovery tells them


@dataclass(frozen=True, slots=True)
class MembershipUpdate:
    """The whole pool or changes to it."""

    version: int
    complete: bool
    endpoints: list[ListedEndpoint] = field(default_factory=list)
    is_stale: bool = False  # than what was told before, by the same discovery's count
