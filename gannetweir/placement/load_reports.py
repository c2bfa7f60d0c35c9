"""The table of load reports."""

from __future__ import annotations

from collections.abc import Container

from gannetweir.placement.endpoint_state import EndpointState

REPORT_RETENTION_US = 20_000_000  # older reports no longer describe the fleet


class LoadReportTable:
    """The endpoints with a load report, oldest first, with sums that are updated incrementally.

    Owns the sums, and `has_report`, `connections` and `load` of the endpoints. In the terms of the paper's
    section 3.2, `total_connections` is W and `mean_connections` is W/n.
    """

    def __init__(self) -> None:
        self.endpoints: dict[EndpointState, None] = {}
        self.total_connections = 0.0
        self.total_load = 0.0

    @property
    def mean_connections(self) -> float:
        """The mean number of connections per endpoint."""
        return self.total_connections / len(self.endpoints) if self.endpoints else 0.0

    @property
    def mean_load(self) -> float:
        """The mean load, as a share of capacity."""
        return self.total_load / len(self.endpoints) if self.endpoints else 0.0

    def connections_at_full_load(
        self, excluded: Container[EndpointState], min_load: float
    ) -> dict[int, float]:
        """Return the number of connections that fully load an endpoint, by machine type.

        Only the reports of endpoints that are not excluded count, or all reports if every endpoint is
        excluded. The mean load of a type counts as at least `min_load`: a load near zero does not indicate
        the capacity.
        """
        by_type: dict[int, list[EndpointState]] = {}
        reporting = [endpoint for endpoint in self.endpoints if endpoint not in excluded]
        for endpoint in reporting or self.endpoints:
            by_type.setdefault(endpoint.machine_type, []).append(endpoint)
        capacities: dict[int, float] = {}
        for machine_type, endpoints in by_type.items():
            connections = sum(endpoint.connections for endpoint in endpoints)
            load = sum(endpoint.load for endpoint in endpoints)
            capacities[machine_type] = connections / max(load, min_load * len(endpoints))
        return capacities

    def record(self, endpoint: EndpointState, connections: float, load: float) -> None:
        """Record new figures of an endpoint; its entry becomes the newest."""
        self.discard(endpoint)
        self.endpoints[endpoint] = None
        endpoint.has_report = True
        endpoint.connections = connections
        endpoint.load = load
        self.total_connections += connections
        self.total_load += load

    def discard(self, endpoint: EndpointState) -> None:
        """Discard an endpoint's figures."""
        if endpoint in self.endpoints:
            del self.endpoints[endpoint]
            self.total_connections -= endpoint.connections
            self.total_load -= endpoint.load
        if not self.endpoints:  # rounding errors must not remain in the sums
            self.total_connections = 0.0
            self.total_load = 0.0
        endpoint.has_report = False

    def expire(self, now_us: int) -> None:
        """Discard the oldest entry if its report is older than `REPORT_RETENTION_US`."""
        endpoint = next(iter(self.endpoints), None)
        if endpoint is not None and endpoint.reported_us < now_us - REPORT_RETENTION_US:
            self.discard(endpoint)
