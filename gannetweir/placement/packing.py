"""PACKING, from "The Power of Filling in Balanced Allocations" (Los, Sauerwald, Sylvester), section 3.2.

Each round samples a uniform bin i. With x_i its load and W/n the mean load, it places one ball where
x_i >= W/n, and else fills the bin to ceil(W/n) + 1. Here a bin is an endpoint, and its load the open
connections that it reports. The sample is taken ahead of the arrivals: its answer names the target, and
the fill is the number of arrivals that go there.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Container

from gannetweir.placement.context import REPORT_FRESHNESS_US, FleetState, PlacementContext
from gannetweir.placement.endpoint_state import EndpointState
from gannetweir.placement.slow_start import SlowStart

MAX_DRAW_TRIES = 12  # random numbers for one uniform draw, where most may not be sent to
MAX_SAMPLES_PER_ROUND = 3  # reports read, at most, before an above-average endpoint is taken all the same
MIN_SHARE_OF_MEAN_LOAD = 0.05  # of the mean load, above which a load tells an endpoint's capacity


class UniformDraw:
    """Draws one endpoint uniformly. Owns who answered a sample last."""

    def __init__(self, context: PlacementContext, state: FleetState, slow_start: SlowStart) -> None:
        self._context = context
        self._ready = state.ready_endpoints.all
        self._slow_start = slow_start
        self.last_reporter: list[EndpointState] = []  # none or one

    def draw(
        self, candidates: list[EndpointState], excluded: Container[EndpointState], now_us: int
    ) -> EndpointState | None:
        """Draw from those candidates that may be sent to, or none where no draw finds one.

        Endpoints that are warming up are left to their permits, unless all are warming up.
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
        """Draw where no sample came in time: of all, one may be hung; the last reporter is not."""
        endpoint = self.draw(self.last_reporter, excluded, now_us)
        return endpoint or self.draw(self._ready, excluded, now_us)

    def set_last_reporter(self, endpoint: EndpointState) -> None:
        """Remember who answered a sample last."""
        self.last_reporter = [endpoint]

    def forget_last_reporter(self) -> None:
        """Forget who answered a sample last."""
        self.last_reporter = []

    def record_placement(self, endpoint: EndpointState | None) -> None:
        """Forget the last reporter once something has been placed there: its report is used up."""
        if endpoint in self.last_reporter:
            self.last_reporter = []


class Packing:
    """The sample under way, the target that the last one named, and what is left of its fill.

    Owns these and the requests that wait for a sample. `probe` asks an endpoint for its load; `resume`
    goes on with a request that has waited.
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
        self.sampled_us = 0  # when the target was named
        self._sampled_endpoint: EndpointState | None = None  # the one sampled, while its probe is out
        self._sample_count = 0  # of the round under way
        self._fallback: EndpointState | None = None  # the lowest of this round's above-average ones
        self._waiting_request_ids: list[int] = []

    def start_sample(self, now_us: int) -> None:
        """Begin a sample, unless one is under way: by a permit, in the own zone, or anywhere."""
        if self._sampled_endpoint is not None:
            return
        context, ready, draw = self._context, self._ready_endpoints, self._uniform_draw.draw
        own_zone: list[EndpointState] = []
        if context.prefers_own_zone and self._sample_count < MAX_SAMPLES_PER_ROUND - 1:
            own_zone = ready.in_zone(context.settings.zone)
        endpoint = None
        # A permit is for an arrival: where all have groups, a sample ahead for none would use it up.
        if self._slow_start.permits and (self._waiting_request_ids or not context.settings.groups_enabled):
            endpoint = self._slow_start.use_permit()
        endpoint = endpoint or draw(own_zone, (), now_us) or draw(ready.all, (), now_us)
        if endpoint is not None:
            self._sample(endpoint, now_us)

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
            return 1  # all relays' fills would overload a warming one, and one without a report may be full
        # About relays/endpoints of all relays fill the same endpoint: take this one's share of the fill.
        relays_per_endpoint = self._context.settings.relay_count / max(1, len(self._ready_endpoints.all))
        fill = math.ceil(mean) + 1 - endpoint.connections
        rounding = self._context.rng.random()  # drawn in any case, so that equal seeds decide alike
        return max(1, int(fill / relays_per_endpoint + rounding if relays_per_endpoint > 1.0 else fill))

    def _mean_connections_for(self, endpoint: EndpointState) -> float:
        """Return W/n, or where endpoints are unequal the count that loads this one as the mean one."""
        mean_load = self._reports.mean_load
        shows_capacity = endpoint.connections > 0.0 and endpoint.load > MIN_SHARE_OF_MEAN_LOAD * mean_load
        if self._context.reports_load and shows_capacity:
            return endpoint.connections * mean_load / endpoint.load
        if self._context.probes_load:
            return self._reports.mean_connections
        return len(self._requests) / max(1, len(self._ready_endpoints.all))

    def complete_sample(self, endpoint: EndpointState, now_us: int) -> None:
        """Take the sampled endpoint for the target, or sample another if this one is not below the mean."""
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
        """Whether the paper's single ball on an above-average bin is bettered by more samples.

        It is where other relays place too, or where loads differ for reasons that a count does not show.
        """
        has_loads = self._context.reports_load and len(self._reports.endpoints) > 1
        return self._context.settings.relay_count > 1 or has_loads

    def is_stale(self, now_us: int) -> bool:
        """Whether there is no target, or its report no longer decides."""
        return self.target is None or now_us - self.sampled_us > REPORT_FRESHNESS_US

    def use_fill(self, endpoint: EndpointState | None) -> None:
        """Count one arrival of the fill; the target ends with its last one."""
        self.target = endpoint if self.remaining_fill > 1 else None
        self.remaining_fill -= 1

    def end_fill(self, endpoint: EndpointState) -> None:
        """Place nothing more at an endpoint before it has been drawn again."""
        if self.target is endpoint:
            self.target = None
        if self._fallback is endpoint:
            self._fallback = None

    def clear_target(self) -> None:
        """Give the target up."""
        self.target = None

    def await_sample(self, request_id: int, stale: EndpointState | None, now_us: int) -> None:
        """Let a request wait for a sample: of the target whose report is stale, or of a new draw."""
        self._waiting_request_ids.append(request_id)
        if stale is not None and self._sampled_endpoint is None:
            self.target = None
            self._sample(stale, now_us)
        else:
            self.start_sample(now_us)

    def take_waiting_requests(self) -> list[int]:
        """Return the requests that wait for a sample, which do so no longer."""
        waiting, self._waiting_request_ids = self._waiting_request_ids, []
        return waiting

    def probe_answered(self, endpoint: EndpointState) -> bool:
        """Note an answer to a probe, and say whether it is that of the sample."""
        if endpoint is not self._sampled_endpoint:
            return False
        self._sampled_endpoint = None
        return True

    def sample_failed(self, now_us: int) -> None:
        """Sample again, where it is needed: the sampled endpoint can't be sent to."""
        if self._waiting_request_ids or self.target is None:
            self.start_sample(now_us)
