"""Rebalancing: migration of connections off overloaded endpoints, and back into this relay's zone."""

from __future__ import annotations

from collections.abc import Callable

from gannetweir.placement.actions import MigrateConnection
from gannetweir.placement.admission import LoadLimit
from gannetweir.placement.context import REPORT_FRESHNESS_US, FleetState, PlacementContext
from gannetweir.placement.endpoint_state import EndpointState
from gannetweir.placement.group_placement import OWN_ZONE_LOAD_LIMIT
from gannetweir.placement.load_model import LoadModel
from gannetweir.placement.pending_request import PendingRequest
from gannetweir.placement.slow_start import SlowStart

# Minimum interval between two reliefs of an endpoint: its report has to reflect the first one.
RELIEF_INTERVAL_US = 2 * REPORT_FRESHNESS_US
# Maximum age of a report that decides on a migration into this relay's zone.
ZONE_REPORT_FRESHNESS_US = 2 * REPORT_FRESHNESS_US
# Expected share of the cross-zone connections that return to this relay's zone per tick.
ZONE_RETURN_SHARE = 0.1


class Rebalancing:
    """Chooses the connections to migrate.

    The only writer of `migrated_us`, except for the restart of an endpoint.
    """

    def __init__(
        self,
        context: PlacementContext,
        state: FleetState,
        load_model: LoadModel,
        load_limit: LoadLimit,
        slow_start: SlowStart,
        probe: Callable[[EndpointState, int], None],
    ) -> None:
        self._context = context
        self._ready_endpoints = state.ready_endpoints
        self._requests = state.requests
        self._reports = state.reports
        self._load_model = load_model
        self._load_limit = load_limit
        self._slow_start = slow_start
        self._probe = probe

    def relieve(self, endpoint: EndpointState, now_us: int) -> None:
        """Migrate this relay's part of the excess load off an endpoint that exceeds its limit.

        An endpoint that is loaded beyond its capacity serves no connection.
        """
        if endpoint.load <= self._load_limit.relief_load or not endpoint.request_ids:
            return
        if now_us - endpoint.migrated_us < RELIEF_INTERVAL_US:
            return
        endpoint.migrated_us = now_us
        excess_share = 1.0 - self._load_limit.value / endpoint.load
        established = self._established_at(endpoint)
        excess = excess_share * sum(request.load_hint for _, request in established)
        # A few heavy connections carry most of the load: migrating them first needs the fewest migrations.
        for request_id, request in sorted(established, key=lambda pair: -pair[1].load_hint):
            if self._would_overload_mean_endpoint(endpoint, request):
                continue
            chance = excess / request.load_hint if request.load_hint else excess_share
            if self._context.rng.random() < chance:
                self._context.actions.append(MigrateConnection(request_id))
                excess = max(0.0, excess - request.load_hint)

    def _established_at(self, endpoint: EndpointState) -> list[tuple[int, PendingRequest]]:
        requests = ((request_id, self._requests[request_id]) for request_id in endpoint.request_ids)
        return [(request_id, request) for request_id, request in requests if request.is_established]

    def _would_overload_mean_endpoint(self, endpoint: EndpointState, request: PendingRequest) -> bool:
        """Whether the connection would load a mean endpoint as much as its present one.

        Such a connection would migrate repeatedly. Where the mean load exceeds the limit, it is migrated
        anyway, as migrations then shed load.
        """
        mean_load = self._reports.mean_load
        if mean_load > self._load_limit.value:
            return False
        size = self._load_model.relative_size(request)
        return mean_load + self._load_model.additional_load(endpoint, size) >= endpoint.load

    def return_to_own_zone(self, now_us: int) -> None:
        """Migrate one random cross-zone connection, with a probability that grows with their number.

        A cross-zone connection costs as long as it is open.
        """
        own_zone, rng = self._context.settings.zone, self._context.rng
        crossing = [
            (request_id, request)
            for request_id, request in self._requests.items()
            if request.is_established and request.endpoint and request.endpoint.zone != own_zone
        ]
        if rng.random() >= ZONE_RETURN_SHARE * len(crossing):
            return
        request_id, request = rng.choice(crossing)
        ranked = self._ready_endpoints.highest_ranked(
            request.group or request_id, 1, self._slow_start.warming_up, own_zone
        )
        if not ranked:
            return
        endpoint = ranked[0]
        if not endpoint.has_report or now_us - endpoint.reported_us > ZONE_REPORT_FRESHNESS_US:
            self._probe(endpoint, now_us)
        elif endpoint.ejected_until_us <= now_us and self._has_capacity(endpoint, request):
            self._context.actions.append(MigrateConnection(request_id))

    def _has_capacity(self, endpoint: EndpointState, request: PendingRequest) -> bool:
        if self._load_limit.is_exceeded(endpoint, request):
            return False
        return self._load_limit.load_with(endpoint, request) < OWN_ZONE_LOAD_LIMIT
