"""What is measured on open connections: their load, and how long messages take at their endpoint."""

from __future__ import annotations

import math

from gannetweir.placement.admission import LoadLimit
from gannetweir.placement.context import REPORT_FRESH_US, PlacementContext
from gannetweir.placement.endpoint_state import EndpointState
from gannetweir.placement.events import ConnectionMetric, MetricKind
from gannetweir.placement.fleet_state import FleetState
from gannetweir.placement.load_probing import LoadProbing

DEFAULT_LATENCY_OBJECTIVE_US = 1e5  # for a message, where no class of messages states one
DELAYED_MESSAGE_REPORT_US = (
    4 * REPORT_FRESH_US
)  # age of a report, for a late message to speak against the limit
DELAYED_MESSAGE_PROBE_US = 2 * REPORT_FRESH_US  # between two probes that late messages lead to
MICROSECONDS_A_MILLISECOND = 1000


class ConnectionMetrics:
    """Takes in the measurements. It has no state of its own."""

    def __init__(
        self, context: PlacementContext, state: FleetState, load_limit: LoadLimit, probing: LoadProbing
    ) -> None:
        self._context = context
        self._state = state
        self._load_limit = load_limit
        self._probing = probing

    def connection_measured(self, event: ConnectionMetric, now_us: int) -> None:
        """Take in the load of an open connection, or how long a message takes at its endpoint."""
        endpoint = self._state.endpoints.get(event.endpoint_id)
        request = self._state.requests.get(event.request_id)
        if endpoint is None or request is None or not math.isfinite(event.value):
            return
        if event.kind == MetricKind.LOAD:
            request.load_hint = max(0.0, event.value)
        elif event.kind == MetricKind.MESSAGE_DELAY:
            delay_us = event.value * MICROSECONDS_A_MILLISECOND
            objectives_us = self._context.settings.message_latency_objectives_us
            if delay_us >= min(objectives_us, default=DEFAULT_LATENCY_OBJECTIVE_US):
                self._message_was_delayed(endpoint, now_us)

    def _message_was_delayed(self, endpoint: EndpointState, now_us: int) -> None:
        is_within_limit = endpoint.has_report and endpoint.load < self._load_limit.value
        if is_within_limit and now_us - endpoint.reported_us < DELAYED_MESSAGE_REPORT_US:
            self._load_limit.note_delayed_message()
        if self._context.probes_load and now_us - endpoint.probed_us > DELAYED_MESSAGE_PROBE_US:
            self._probing.probe(endpoint, now_us)
