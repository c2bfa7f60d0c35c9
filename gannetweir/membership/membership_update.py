"""What one message of discovery, or of the control plane, reports about endpoints."""

from __future__ import annotations

from dataclasses import dataclass, field

from gannetweir.placement.events import EndpointEntry


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One endpoint of an update: its entry for the balancer, and its addresses for this relay alone."""

    entry: EndpointEntry
    address: str  # empty: the update names none, and the address known before stays in use
    additional_addresses: tuple[str, ...] = ()  # only where an installation's discovery lists several


@dataclass(frozen=True, slots=True)
class MembershipUpdate:
    """A snapshot of the endpoint list, or a delta to it, at a version that discovery has counted."""

    version: int
    complete: bool  # a snapshot: endpoints that it lacks are removed
    endpoints: list[ListedEndpoint] = field(default_factory=list)
    is_stale: bool = False  # its version is older than one that was applied: it must not undo a drain
