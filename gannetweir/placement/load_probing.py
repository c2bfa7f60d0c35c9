"""Load probes: health checks that read an endpoint's load, regularly and where messages are delayed."""

from __future__ import annotations

import math

from gannetweir.placement.actions import ProbeLoad
from gannetweir.placement.admission import LoadLimit
from gannetweir.placement.context import REPORT_FRESHNESS_US, FleetState, PlacementContext
from gannetweir.placement.endpoint_state import EndpointState
from gannetweir.placement.events import ConnectionMetric, MetricKind

# Maximum age of the last probe of an endpoint with connections of this relay, in `REPORT_FRESHNESS_US`.
MAX_PROBE_AGE_WITHOUT_REPORT = 1
MAX_PROBE_AGE_AT_HIGH_LOAD = 2
MAX_PROBE_AGE_AT_LOW_LOAD = 5
# Endpoints above this share of the load limit are probed more often.
HIGH_LOAD_SHARE = 0.7
# Relays with connections at an endpoint share its probing: for n of them, the interval is
# n / RELAYS_PER_PROBE times as long.
RELAYS_PER_PROBE = 4
# Sharing extends the interval by no more than this: an overload has to be detected within a few seconds.
MAX_PROBE_INTERVAL_FACTOR = 4
DEFAULT_MESSAGE_LATENCY_OBJECTIVE_US = 1e5  # used if no class of messages states one
# A delayed message counts only if the load report of its endpoint is at most this old.
DELAYED_MESSAGE_MAX_REPORT_AGE_US = 4 * REPORT_FRESHNESS_US
# Minimum interval between two probes caused by delayed messages.
DELAYED_MESSAGE_PROBE_INTERVAL_US = 2 * REPORT_FRESHNESS_US
MICROSECONDS_PER_MILLISECOND = 1000


class LoadProbing:
    """Sends load probes. The only writer of `probed_us`, except where a report is known to be outdated."""

    def __init__(self, context: PlacementContext, state: FleetState, load_limit: LoadLimit) -> None:
        self._context = context
        self._ready = state.ready_endpoints.all
        self._load_limit = load_limit

    def probe(self, endpoint: EndpointState, now_us: int) -> None:
        """Send a load probe to an endpoint."""
        endpoint.probed_us = now_us
        self._context.actions.append(ProbeLoad(endpoint.endpoint_id))

    def probe_stale_endpoints(self, now_us: int) -> None:
        """Probe the endpoints with connections of this relay whose last probe is too old.

        Connections that resumed at an endpoint, or were placed while its reports were old, may overload it
        undetected.
        """
        if not self._context.probes_load:
            return
        for endpoint in self._ready:
            if endpoint.request_ids and now_us - endpoint.probed_us >= self._interval_us(endpoint):
                self.probe(endpoint, now_us)

    def _interval_us(self, endpoint: EndpointState) -> int:
        if not endpoint.has_report:
            return MAX_PROBE_AGE_WITHOUT_REPORT * REPORT_FRESHNESS_US
        limit = self._load_limit.value
        age = (
            MAX_PROBE_AGE_AT_HIGH_LOAD
            if endpoint.load > HIGH_LOAD_SHARE * limit
            else MAX_PROBE_AGE_AT_LOW_LOAD
        )
        if endpoint.load < limit:
            relays = min(self._context.settings.relay_count, endpoint.connections / len(endpoint.request_ids))
            age *= int(min(MAX_PROBE_INTERVAL_FACTOR, max(1, relays / RELAYS_PER_PROBE)))
        return age * REPORT_FRESHNESS_US


class ConnectionMetrics:
    """Handles the measurements of open connections; has no state itself."""

    def __init__(
        self, context: PlacementContext, state: FleetState, load_limit: LoadLimit, probing: LoadProbing
    ) -> None:
        self._context = context
        self._state = state
        self._load_limit = load_limit
        self._probing = probing

    def connection_measured(self, event: ConnectionMetric, now_us: int) -> None:
        """Handle the load of an open connection, or the delay of a message at its endpoint."""
        endpoint = self._state.endpoints.get(event.endpoint_id)
        request = self._state.requests.get(event.request_id)
        if endpoint is None or request is None or not math.isfinite(event.value):
            return
        if event.kind == MetricKind.LOAD:
            request.load_hint = max(0.0, event.value)
        elif event.kind == MetricKind.MESSAGE_DELAY:
            delay_us = event.value * MICROSECONDS_PER_MILLISECOND
            objectives_us = self._context.settings.message_latency_objectives_us
            if delay_us >= min(objectives_us, default=DEFAULT_MESSAGE_LATENCY_OBJECTIVE_US):
                self._handle_delayed_message(endpoint, now_us)

    def _handle_delayed_message(self, endpoint: EndpointState, now_us: int) -> None:
        is_within_limit = endpoint.has_report and endpoint.load < self._load_limit.value
        if is_within_limit and now_us - endpoint.reported_us < DELAYED_MESSAGE_MAX_REPORT_AGE_US:
            self._load_limit.record_delayed_message()
        if self._context.probes_load and now_us - endpoint.probed_us > DELAYED_MESSAGE_PROBE_INTERVAL_US:
            self._probing.probe(endpoint, now_us)
