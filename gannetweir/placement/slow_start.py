"""Slow start: endpoints that are warming up get new connections only by permits, within a budget."""

from __future__ import annotations

from gannetweir.placement.context import TICK_INTERVAL_US, FleetState, PlacementContext
from gannetweir.placement.endpoint_state import EndpointState

# Share of an endpoint's budget that is granted as permits. The rest covers random variation, probes and heavy
# connections.
BUDGET_SHARE = 0.6
# Added to the measured number of ended connections and to the measured connection time, so that connections
# count as long-lived until enough of them have been measured.
PRIOR_ENDED_CONNECTIONS = 0.1
PRIOR_CONNECTION_TIME_US = 4e6
MAX_PERMITS_PER_TICK = 1e3  # per endpoint; bounds the memory where connections are very short
# Lower bound on the mean load of a machine type: a load near zero does not indicate the capacity.
MIN_REPORTED_LOAD = 0.3
# Where reports carry no load, the reported connections count as a full load.
ASSUMED_LOAD_WITHOUT_REPORTS = 1.0


class SlowStart:
    """The endpoints that are warming up, the permits of this tick, and the measured duration of connections.

    Owns all three. A permit is valid for one arrival; unused permits expire with the tick.
    """

    def __init__(self, context: PlacementContext, state: FleetState) -> None:
        self._context = context
        self._ready = state.ready_endpoints.all
        self._reports = state.reports
        self.warming_up: dict[EndpointState, None] = {}
        self.permits: list[EndpointState] = []
        self.connection_time_us = 0.0
        self.ended_connections = 0

    @property
    def all_are_warming_up(self) -> bool:
        """Whether every ready endpoint is warming up: then permits are not required."""
        return len(self.warming_up) >= len(self._ready)

    def capacity_share(self, endpoint: EndpointState, now_us: int) -> float:
        """Return the share of its full capacity that an endpoint is certain to have by its age."""
        settings = self._context.settings
        age_us = now_us - endpoint.started_us
        if not endpoint.started_us or age_us >= settings.slow_start_window_us:
            return 1.0
        min_share = settings.slow_start_min_share
        return min_share + (1.0 - min_share) * max(0.0, age_us / settings.slow_start_window_us)

    def add(self, endpoint: EndpointState, now_us: int) -> None:
        """Add a ready endpoint; it needs permits while it is warming up."""
        if self.capacity_share(endpoint, now_us) < 1.0:
            self.warming_up[endpoint] = None

    def remove(self, endpoint: EndpointState) -> None:
        """Remove an endpoint that is no longer ready, and its permits."""
        self.warming_up.pop(endpoint, None)
        self.permits = [permitted for permitted in self.permits if permitted is not endpoint]

    def connection_ended(self) -> None:
        """Count the end of an established connection."""
        self.ended_connections += 1

    def tick(self, connections: int, now_us: int) -> None:
        """Add one tick of connection time for this many requests, and grant the permits of the next tick."""
        self.connection_time_us += TICK_INTERVAL_US * connections
        self.grant_permits(now_us)

    def grant_permits(self, now_us: int) -> None:
        """Grant permits so that all relays together place on each endpoint what its budget allows."""
        settings, rng = self._context.settings, self._context.rng
        self.permits = []
        self.warming_up = {
            endpoint: None for endpoint in self.warming_up if self.capacity_share(endpoint, now_us) < 1.0
        }
        min_load = MIN_REPORTED_LOAD if self._context.reports_load else ASSUMED_LOAD_WITHOUT_REPORTS
        capacities = self._reports.connections_at_full_load(self.warming_up, min_load)
        # A machine type without reports counts as the slowest one: the mean of all types could overload it.
        min_capacity = min(capacities.values(), default=0.0)
        ended = self.ended_connections + PRIOR_ENDED_CONNECTIONS
        end_rate = ended / (self.connection_time_us + PRIOR_CONNECTION_TIME_US)
        budget_rate = BUDGET_SHARE * settings.overload_multiple / settings.relay_count * end_rate
        for endpoint in self.warming_up:
            capacity = capacities.get(endpoint.machine_type, min_capacity)
            rate = budget_rate * self.capacity_share(endpoint, now_us) * capacity
            # Randomized rounding, as most rates are far below one permit per tick.
            count = int(min(MAX_PERMITS_PER_TICK, rate * TICK_INTERVAL_US + rng.random()))
            self.permits.extend([endpoint] * count)

    def use_permit(self) -> EndpointState:
        """Return the endpoint of the next permit and remove that permit.

        Raises:
            IndexError: no permit is left.
        """
        return self.permits.pop()
