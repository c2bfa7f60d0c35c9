"""The load of endpoints between reports: what a connection adds, and the placements since the report."""

from __future__ import annotations

from gannetweir.placement.context import RETRY_TIMER, TICK_INTERVAL_US, FleetState, PlacementContext
from gannetweir.placement.endpoint_state import EndpointState
from gannetweir.placement.pending_request import PendingRequest

# Cost of a group at each endpoint that holds any of its connections, in loads of a mean connection.
GROUP_COST = 3.0
# An endpoint's own report determines the load per connection only from this number of connections on.
MIN_REPORTED_CONNECTIONS = 3.0
DEFAULT_CONNECTION_LOAD = 0.05  # share of capacity, assumed while no reports exist
REPORT_DELAY_US = 1_300_000  # greatest age of a report when it is read: its period plus its delay
# Wait for the next probe after a report that is older than connections of this relay.
REPROBE_DELAY_US = TICK_INTERVAL_US // 4


class LoadModel:
    """Sizes of connections, relative to the mean connection, and the load that they add.

    Owns the mean load hint, which each tick updates, and the `recent_placements` of the endpoints.
    """

    def __init__(self, context: PlacementContext, state: FleetState) -> None:
        self._context = context
        self._requests = state.requests
        self._reports = state.reports
        self.mean_load_hint = 0.0

    def update_mean_load_hint(self) -> None:
        """Update the mean of the known load hints; it stays unchanged while none is known."""
        hints = [request.load_hint for request in self._requests.values() if request.load_hint]
        if hints:
            self.mean_load_hint = sum(hints) / len(hints)

    def relative_size(self, request: PendingRequest) -> float:
        """Return the size of a request's connection relative to the mean connection."""
        if request.load_hint and self.mean_load_hint:
            return request.load_hint / self.mean_load_hint
        return 1.0

    def additional_load(self, endpoint: EndpointState, size: float) -> float:
        """Return the load that a connection of this size adds to an endpoint.

        It derives from the load per connection that the endpoint reports, or else from that of the fleet.
        """
        has_own_report = endpoint.connections >= MIN_REPORTED_CONNECTIONS and endpoint.load > 0.0
        connections = endpoint.connections if has_own_report else self._reports.total_connections
        load = endpoint.load if has_own_report else self._reports.total_load
        if load <= 0.0 or connections <= 0.0:
            return size * DEFAULT_CONNECTION_LOAD
        groups = 0
        if self._context.settings.groups_enabled:  # groups account for part of the load
            groups = len(self._requests.groups_at(endpoint) if has_own_report else self._reports.endpoints)
        return size * (load / (connections + GROUP_COST * groups))

    def count_placement(
        self, request_id: int, request: PendingRequest, endpoint: EndpointState, now_us: int
    ) -> None:
        """Add a placement to the endpoint's load: until the next report only this relay knows it."""
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
        """Record a report, and add the placements that it may not count, those within `REPORT_DELAY_US`."""
        self._reports.record(endpoint, connections, load)
        self._expire_placements(endpoint, now_us)
        sizes = [size for _, size in endpoint.recent_placements]
        # A report that counts fewer connections than this relay alone has there predates some of these.
        uncounted = int(self._requests.established_at(endpoint) - connections - len(sizes))
        if uncounted > 0:
            sizes += [1.0] * uncounted
            # The next report may count them, and an overload has to be detected early.
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
