"""PACKING, from "The Power of Filling in Balanced Allocations" (Los, Sauerwald, Sylvester), section 3.2.

Each round samples a uniform bin i. With x_i its load and W/n the mean load, it places one ball where
x_i >= W/n, and otherwise fills the bin to ceil(W/n) + 1. Here a bin is an endpoint, and its load is the
number of open connections that the endpoint reports. The sample is taken ahead of the arrivals: its answer
determines the target, and the fill is the number of arrivals that are placed there.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Container

from gannetweir.placement.context import REPORT_FRESHNESS_US, FleetState, PlacementContext
from gannetweir.placement.endpoint_state import EndpointState
from gannetweir.placement.slow_start import SlowStart

# Random numbers per uniform draw. A draw fails when all of them select endpoints that are not eligible.
MAX_DRAW_TRIES = 12
# Load reports read in one round before an above-average endpoint becomes the target.
MAX_SAMPLES_PER_ROUND = 3
# An endpoint's load indicates its capacity only above this share of the mean load.
MIN_SHARE_OF_MEAN_LOAD = 0.05


class UniformDraw:
    """Draws one endpoint uniformly. Owns the endpoint that answered a sample last."""

    def __init__(self, context: PlacementContext, state: FleetState, slow_start: SlowStart) -> None:
        self._context = context
        self._ready = state.ready_endpoints.all
        self._slow_start = slow_start
        self.last_reporter: list[EndpointState] = []  # at most one endpoint

    def draw(
        self, candidates: list[EndpointState], excluded: Container[EndpointState], now_us: int
    ) -> EndpointState | None:
        """Return a random eligible candidate, or None if no try selects one.

        Endpoints that are ejected or excluded are not eligible. Endpoints that are warming up are placed on
        by permits only, unless all are warming up.
        """
        if not candidates:
            return None
        rng, warming_up = self._context.rng, self._slow_start.warming_up
        all_are_warming_up = self._slow_start.all_are_warming_up
        for _ in range(MAX_DRAW_TRIES):
            endpoint = candidates[int(rng.random() * len(candidates))]
            if (
                endpoint.ejected_until_us <= now_us
                and endpoint not in excluded
                and (all_are_warming_up or endpoint not in warming_up)
            ):
                return endpoint
        return None

    def draw_without_sample(self, excluded: Container[EndpointState], now_us: int) -> EndpointState | None:
        """Draw an endpoint when no sample was answered in time.

        The last reporter is preferred: any other endpoint may be hung.
        """
        endpoint = self.draw(self.last_reporter, excluded, now_us)
        return endpoint or self.draw(self._ready, excluded, now_us)

    def set_last_reporter(self, endpoint: EndpointState) -> None:
        """Record the endpoint that answered a sample last."""
        self.last_reporter = [endpoint]

    def forget_last_reporter(self) -> None:
        """Discard the last reporter."""
        self.last_reporter = []

    def record_placement(self, endpoint: EndpointState | None) -> None:
        """Discard the last reporter once a request was placed there: its report is used up."""
        if endpoint in self.last_reporter:
            self.last_reporter = []


class Packing:
    """The sample in flight, the target that the last sample determined, and the rest of its fill.

    Owns these and the requests that wait for a sample. `probe` sends a load probe to an endpoint; `resume`
    continues a request that has waited.
    """

    def __init__(
        self,
        context: PlacementContext,
        state: FleetState,
        slow_start: SlowStart,
        uniform_draw: UniformDraw,
        probe: Callable[[EndpointState, int], None],
        resume: Callable[[int, int], None],
    ) -> None:
        self._context = context
        self._ready_endpoints = state.ready_endpoints
        self._requests = state.requests
        self._reports = state.reports
        self._slow_start = slow_start
        self._uniform_draw = uniform_draw
        self._probe = probe
        self._resume = resume
        self.target: EndpointState | None = None
        self.remaining_fill = 0
        self.sampled_us = 0  # time of the sample that determined the target
        self._sampled_endpoint: EndpointState | None = None  # None while no sample is in flight
        self._sample_count = 0  # in the current round
        self._fallback: EndpointState | None = None  # the least loaded above-average endpoint of this round
        self._waiting_request_ids: list[int] = []

    def start_sample(self, now_us: int) -> None:
        """Start a sample, unless one is in flight.

        The endpoint comes from a permit, or else is drawn from this relay's zone, or else from all zones.
        """
        if self._sampled_endpoint is not None:
            return
        context, ready, draw = self._context, self._ready_endpoints, self._uniform_draw.draw
        own_zone: list[EndpointState] = []
        if context.prefers_own_zone and self._sample_count < MAX_SAMPLES_PER_ROUND - 1:
            own_zone = ready.in_zone(context.settings.zone)
        endpoint = None
        # A permit is meant for one arrival. Where arrivals have groups, a sample that is taken ahead of the
        # arrivals would use up the permit and place nothing.
        if self._slow_start.permits and (self._waiting_request_ids or not context.settings.groups_enabled):
            endpoint = self._slow_start.use_permit()
        excluded = self._attempted_by_all_waiting()
        endpoint = endpoint or draw(own_zone, excluded, now_us) or draw(ready.all, excluded, now_us)
        if endpoint is not None:
            self._sample(endpoint, now_us)

    def _attempted_by_all_waiting(self) -> list[EndpointState]:
        """Return the endpoints that no request that waits for a sample may be placed on again."""
        waiting = [
            request
            for request_id in self._waiting_request_ids
            if (request := self._requests.get(request_id)) is not None  # its client may have disconnected
        ]
        if not waiting:
            return []
        return [
            endpoint
            for endpoint in waiting[0].attempted_endpoints
            if all(endpoint in request.attempted_endpoints for request in waiting)
        ]

    def _sample(self, endpoint: EndpointState, now_us: int) -> None:
        self._sample_count += 1
        if self._context.probes_load:
            self._sampled_endpoint = endpoint
            self._probe(endpoint, now_us)
            return
        endpoint.connections = float(len(endpoint.request_ids))
        self.complete_sample(endpoint, now_us)

    def fill_size(self, endpoint: EndpointState) -> int:
        """Return the arrivals that fill an endpoint to ceil(W/n) + 1, or 0 if it is not below W/n."""
        mean = self._mean_connections_for(endpoint)
        if endpoint.connections >= mean:
            return 0
        is_unreported = self._context.probes_load and not endpoint.has_report
        if endpoint in self._slow_start.warming_up or is_unreported:
            # The fills of all relays together would overload an endpoint that is warming up, and an endpoint
            # without a report may be full.
            return 1
        # On average relays/endpoints relays fill the same endpoint. Return this relay's share of the fill.
        relays_per_endpoint = self._context.settings.relay_count / max(1, len(self._ready_endpoints.all))
        fill = math.ceil(mean) + 1 - endpoint.connections
        rounding = self._context.rng.random()  # drawn even if unused, to keep the order of random draws
        return max(1, int(fill / relays_per_endpoint + rounding if relays_per_endpoint > 1.0 else fill))

    def _mean_connections_for(self, endpoint: EndpointState) -> float:
        """Return W/n, or with unequal capacities the connections that bring an endpoint to the mean load."""
        mean_load = self._reports.mean_load
        shows_capacity = endpoint.connections > 0.0 and endpoint.load > MIN_SHARE_OF_MEAN_LOAD * mean_load
        if self._context.reports_load and shows_capacity:
            return endpoint.connections * mean_load / endpoint.load
        if self._context.probes_load:
            return self._reports.mean_connections
        return len(self._requests) / max(1, len(self._ready_endpoints.all))

    def complete_sample(self, endpoint: EndpointState, now_us: int) -> None:
        """Make the sampled endpoint the target, or sample another if this one is not below the mean.

        Requests that wait for a sample then continue, as long as the fill of the target lasts.
        """
        fill = self.fill_size(endpoint)
        if not fill and self._compares_samples():
            compared = (self._fallback or endpoint, endpoint)
            self._fallback = min(compared, key=lambda other: (other.load, other.connections))
            if self._sample_count < MAX_SAMPLES_PER_ROUND:
                self.start_sample(now_us)
                return
            endpoint = self._fallback
        self.target = endpoint
        self.remaining_fill = max(1, fill)
        self.sampled_us = now_us
        self._fallback = None
        self._sample_count = 0
        while self._waiting_request_ids and self.target is not None:
            self._resume(self._waiting_request_ids.pop(0), now_us)

    def _compares_samples(self) -> bool:
        """Whether more samples are better than the single ball that the paper places on an above-average bin.

        They are where other relays place connections too, or where loads differ for reasons that connection
        counts do not show.
        """
        has_loads = self._context.reports_load and len(self._reports.endpoints) > 1
        return self._context.settings.relay_count > 1 or has_loads

    def is_stale(self, now_us: int) -> bool:
        """Whether there is no target or its load report is too old to decide by."""
        return self.target is None or now_us - self.sampled_us > REPORT_FRESHNESS_US

    def use_fill(self, endpoint: EndpointState | None) -> None:
        """Count one arrival against the fill; the last one clears the target."""
        self.target = endpoint if self.remaining_fill > 1 else None
        self.remaining_fill -= 1

    def end_fill(self, endpoint: EndpointState) -> None:
        """Place nothing more on an endpoint until it is sampled again."""
        if self.target is endpoint:
            self.target = None
        if self._fallback is endpoint:
            self._fallback = None

    def clear_target(self) -> None:
        """Discard the target."""
        self.target = None

    def await_sample(self, request_id: int, stale: EndpointState | None, now_us: int) -> None:
        """Make a request wait for a sample: of the target whose report is stale, or of a new draw."""
        self._waiting_request_ids.append(request_id)
        if stale is not None and self._sampled_endpoint is None:
            self.target = None
            self._sample(stale, now_us)
        else:
            self.start_sample(now_us)

    def take_waiting_requests(self) -> list[int]:
        """Return the requests that wait for a sample and remove them from the queue."""
        waiting, self._waiting_request_ids = self._waiting_request_ids, []
        return waiting

    def probe_answered(self, endpoint: EndpointState) -> bool:
        """Handle the end of a load probe; return whether the probe was the sample in flight."""
        if endpoint is not self._sampled_endpoint:
            return False
        self._sampled_endpoint = None
        return True

    def sample_failed(self, now_us: int) -> None:
        """Start another sample if one is needed: the sampled endpoint accepts no attempts."""
        if self._waiting_request_ids or self.target is None:
            self.start_sample(now_us)
