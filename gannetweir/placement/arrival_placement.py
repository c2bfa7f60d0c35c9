"""The choice of an endpoint for a request without a group: the target of PACKING, or a sampled endpoint."""

from __future__ import annotations

from gannetweir.placement.context import Choice, Deferral, FleetState, PlacementContext
from gannetweir.placement.endpoint_state import EndpointState
from gannetweir.placement.load_model import LoadModel
from gannetweir.placement.packing import Packing, UniformDraw
from gannetweir.placement.pending_request import PendingRequest
from gannetweir.placement.slow_start import SlowStart


class ArrivalPlacement:
    """Chooses endpoints by the state of other parts; has no state itself."""

    def __init__(
        self,
        context: PlacementContext,
        state: FleetState,
        load_model: LoadModel,
        slow_start: SlowStart,
        uniform_draw: UniformDraw,
        packing: Packing,
    ) -> None:
        self._context = context
        self._ready = state.ready_endpoints.all
        self._requests = state.requests
        self._load_model = load_model
        self._slow_start = slow_start
        self._uniform_draw = uniform_draw
        self._packing = packing

    def choose(self, request_id: int, request: PendingRequest, now_us: int) -> Choice:
        """Return an endpoint or None, or a deferral while a sample is in flight and the request may wait."""
        if self._ready and all(endpoint in request.attempted_endpoints for endpoint in self._ready):
            # No draw can succeed, and waiting would probe the same endpoints repeatedly.
            return None
        packing = self._packing
        target = packing.target
        is_stale = packing.is_stale(now_us)
        if target is not None and self._is_ineligible(target, request, is_stale, now_us):
            packing.clear_target()
            target = None
            is_stale = True
        if is_stale and self._context.probes_load and not request.has_wait_expired(now_us):
            self._context.start_report_wait(request, now_us)
            packing.await_sample(request_id, target, now_us)
            return Deferral.AWAITING_REPORT
        packing.use_fill(target)
        endpoint = target or self._uniform_draw.draw_without_sample(request.attempted_endpoints, now_us)
        max_setups = request.request_class.max_setups_per_endpoint
        if max_setups and endpoint is not None and self._requests.setups_at(endpoint) >= max_setups:
            free = [other for other in self._ready if self._requests.setups_at(other) < max_setups]
            endpoint = self._uniform_draw.draw(free, request.attempted_endpoints, now_us)
        self._uniform_draw.record_placement(endpoint)
        if packing.target is None:
            packing.start_sample(now_us)
        return endpoint

    def _is_ineligible(
        self, target: EndpointState, request: PendingRequest, is_stale: bool, now_us: int
    ) -> bool:
        """Whether the request may not be placed on the target."""
        if target.ejected_until_us > now_us or target in request.attempted_endpoints:
            return True
        if target not in self._slow_start.warming_up:
            return False
        # A single heavy connection would use up the budget of an endpoint that is warming up.
        is_heavy = request.load_hint > self._load_model.mean_load_hint
        return is_stale or is_heavy or self._packing.remaining_fill > 1
