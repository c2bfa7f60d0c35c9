"""A membership update: what one message of discovery, or of the control plane, reports about endpoints."""

from __future__ import annotations

from dataclasses import dataclass, field

from gannetweir.placement.events import EndpointEntry


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """An endpoint of an update: its entry for the balancer, and what the balancer does not see. That is its
    addresses, and the names of its zone and machine type, whose numbers in the settings the entry has.
    """

    entry: EndpointEntry
    address: str  # empty if the update has none; the previous address then stays in use
    additional_addresses: tuple[str, ...] = ()  # empty unless discovery lists several
    zone_name: str = ""
    machine_type_name: str = ""


def number_in(names: list[str], name: object) -> int:
    """Return the number of a zone or machine type: its index in the settings' list, or the length of the list
    for a name that is not in it.
    """
    return names.index(name) if isinstance(name, str) and name in names else len(names)


@dataclass(frozen=True, slots=True)
class MembershipUpdate:
    """A snapshot of the endpoint list, or a delta to it, with the version that discovery assigned."""

    version: int
    complete: bool  # true for a snapshot, which removes the endpoints that it lacks
    endpoints: list[ListedEndpoint] = field(default_factory=list)
    is_stale: bool = False  # the version is older than one already applied, so it must not undo a drain
