"""The load of endpoints between reports: what one more connection adds, and what has come since."""

from __future__ import annotations

from gannetweir.placement.context import RETRY_TIMER, TICK_INTERVAL_US, FleetState, PlacementContext
from gannetweir.placement.endpoint_state import EndpointState
from gannetweir.placement.pending_request import PendingRequest

GROUP_COST = 3.0  # mean connection loads that an endpoint pays for each group of which it has any
MIN_REPORTED_CONNECTIONS = 3.0  # that an endpoint reports, for its own report to tell what one adds
DEFAULT_CONNECTION_LOAD = 0.05  # of capacity, that a mean connection adds where nothing is known
REPORT_DELAY_US = 1_300_000  # a report's age when it is read: its period and its delay
REPROBE_DELAY_US = TICK_INTERVAL_US // 4  # after a report that is older than own connections


class LoadModel:
    """Sizes of connections, in mean connections, and the load that they add.

    Owns the mean load hint, which each tick renews, and the endpoints' `recent_placements`.
    """

    def __init__(self, context: PlacementContext, state: FleetState) -> None:
        self._context = context
        self._requests = state.requests
        self._reports = state.reports
        self.mean_load_hint = 0.0

    def update_mean_load_hint(self) -> None:
        """Renew the mean of the known load hints; it stays while none is known."""
        hints = [request.load_hint for request in self._requests.values() if request.load_hint]
        if hints:
            self.mean_load_hint = sum(hints) / len(hints)

    def relative_size(self, request: PendingRequest) -> float:
        """Return the size of a request's connection, in mean connections."""
        if request.load_hint and self.mean_load_hint:
            return request.load_hint / self.mean_load_hint
        return 1.0

    def additional_load(self, endpoint: EndpointState, size: float) -> float:
        """Return what a connection of this size adds to an endpoint's load, by what the others make there."""
        has_own_report = endpoint.connections >= MIN_REPORTED_CONNECTIONS and endpoint.load > 0.0
        connections = endpoint.connections if has_own_report else self._reports.total_connections
        load = endpoint.load if has_own_report else self._reports.total_load
        if load <= 0.0 or connections <= 0.0:
            return size * DEFAULT_CONNECTION_LOAD
        groups = 0
        if self._context.settings.groups_enabled:  # part of the load is the groups'
            groups = len(self._requests.groups_at(endpoint) if has_own_report else self._reports.endpoints)
        return size * (load / (connections + GROUP_COST * groups))

    def count_placement(
        self, request_id: int, request: PendingRequest, endpoint: EndpointState, now_us: int
    ) -> None:
        """Add a placement to the endpoint's load: until the next report it is known to nobody else."""
        size = self.relative_size(request)
        is_group_cost_included = (
            request.group == 0
            or self._requests.group_peers_at(request_id, endpoint) > 0
            or endpoint is request.previous_endpoint
        )
        if not is_group_cost_included:
            size += GROUP_COST
        self._expire_placements(endpoint, now_us)
        endpoint.recent_placements.append((now_us, size))
        if endpoint.has_report:
            load = endpoint.load + self.additional_load(endpoint, size)
            self._reports.record(endpoint, endpoint.connections + 1.0, load)

    def record_report(self, endpoint: EndpointState, connections: float, load: float, now_us: int) -> None:
        """Enter a report; it is a second or two old when it is read: what came since is put on top of it."""
        self._reports.record(endpoint, connections, load)
        self._expire_placements(endpoint, now_us)
        sizes = [size for _, size in endpoint.recent_placements]
        # One that counts fewer than this relay alone has there is older than those, whatever its age.
        uncounted = int(self._requests.established_at(endpoint) - connections - len(sizes))
        if uncounted > 0:
            sizes += [1.0] * uncounted
            # The next one may know them, and what is overloaded from the start is to be relieved soon.
            endpoint.probed_us = 0
            self._context.set_timer(RETRY_TIMER, REPROBE_DELAY_US)
        if sizes:
            load += self.additional_load(endpoint, sum(sizes))
            self._reports.record(endpoint, connections + len(sizes), load)

    @staticmethod
    def _expire_placements(endpoint: EndpointState, now_us: int) -> None:
        endpoint.recent_placements = [
            placement for placement in endpoint.recent_placements if now_us - placement[0] < REPORT_DELAY_US
        ]
