"""The ready endpoints: all of them, by location, and in the ranking of a group."""

from __future__ import annotations

from collections.abc import Container
from itertools import islice

from gannetweir.placement.endpoint_state import EndpointState

_UINT64_MASK = (1 << 64) - 1


def rendezvous_rank(group: int, ranking_key: int) -> int:
    """Return the rank of an endpoint in a group's ranking, which is the same at every relay.

    This is the mixing function of splitmix64, with its constants. A CRC of both values would be linear:
    groups with the same first endpoint would have the same second one as well, and a few endpoints would come
    first for many groups.
    """
    mixed = (group + ranking_key * 0x9E3779B97F4A7C15) & _UINT64_MASK
    mixed = ((mixed ^ mixed >> 30) * 0xBF58476D1CE4E5B9) & _UINT64_MASK
    mixed = ((mixed ^ mixed >> 27) * 0x94D049BB133111EB) & _UINT64_MASK
    return mixed ^ mixed >> 31


class ReadyEndpoints:
    """The endpoints that are ready by the endpoint list; `EndpointUpdates` keeps them up to date."""

    MAX_RANKINGS = 256  # groups with a cached ranking; 2 MB of references for 1,024 endpoints

    def __init__(self) -> None:
        self.all: list[EndpointState] = []
        self._by_zone: dict[int, list[EndpointState]] = {}
        self._by_cell: dict[int, list[EndpointState]] = {}
        self._rankings: dict[int, list[EndpointState]] = {}

    def _lists_containing(self, endpoint: EndpointState) -> list[list[EndpointState]]:
        in_zone = self._by_zone.setdefault(endpoint.zone, [])
        in_cell = self._by_cell.setdefault(endpoint.cell, [])
        return [self.all, in_zone, in_cell]

    def add(self, endpoint: EndpointState) -> None:
        """Add an endpoint that has become ready."""
        self._rankings.clear()
        for endpoints in self._lists_containing(endpoint):
            endpoints.append(endpoint)

    def remove(self, endpoint: EndpointState) -> None:
        """Remove an endpoint that is no longer ready."""
        self._rankings.clear()
        for endpoints in self._lists_containing(endpoint):
            endpoints.remove(endpoint)

    def ranking(self, group: int) -> list[EndpointState]:
        """Return a group's ranking of the ready endpoints; it is cached until these change."""
        ranking = self._rankings.get(group)
        if ranking is None:
            while len(self._rankings) >= self.MAX_RANKINGS:
                del self._rankings[next(iter(self._rankings))]
            ranking = sorted(self.all, key=lambda endpoint: rendezvous_rank(group, endpoint.ranking_key))
            self._rankings[group] = ranking
        return ranking

    def highest_ranked(
        self, group: int, count: int, excluded: Container[EndpointState], zone: int | None = None
    ) -> list[EndpointState]:
        """Return the first `count` endpoints of a group's ranking that are not excluded, of `zone` or any."""
        eligible = (
            endpoint
            for endpoint in self.ranking(group)
            if endpoint not in excluded and zone in (None, endpoint.zone)
        )
        return list(islice(eligible, count))

    def in_zone(self, zone: int) -> list[EndpointState]:
        """Return the ready endpoints of one zone."""
        return self._by_zone.get(zone, [])

    def in_cell(self, cell: int) -> list[EndpointState]:
        """Return the ready endpoints of one cell."""
        return self._by_cell.get(cell, [])
