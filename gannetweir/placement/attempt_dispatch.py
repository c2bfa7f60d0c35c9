"""Dispatch: the next attempt of a request, or its final answer."""

from __future__ import annotations

from gannetweir.placement.actions import FailRequest, RejectRequest, StartAttempt
from gannetweir.placement.admission import AdmissionThrottle, LoadLimit
from gannetweir.placement.arrival_placement import ArrivalPlacement
from gannetweir.placement.context import Choice, Deferral, FleetState, PlacementContext
from gannetweir.placement.endpoint_state import EndpointState
from gannetweir.placement.group_placement import GroupPlacement
from gannetweir.placement.load_model import LoadModel
from gannetweir.placement.packing import UniformDraw
from gannetweir.placement.pending_request import PendingRequest
from gannetweir.placement.retry_policy import RetryPolicy
from gannetweir.placement.settings import IdempotencyScope

# Retry-After as shares of its maximum. Shorter values let rejected clients sustain a surge of requests.
RETRY_AFTER_RANGE = 0.5, 1.0


class AttemptDispatch:
    """Carries out the decisions of other parts on a request; has no state itself."""

    def __init__(
        self,
        context: PlacementContext,
        state: FleetState,
        load_model: LoadModel,
        load_limit: LoadLimit,
        throttle: AdmissionThrottle,
        retry_policy: RetryPolicy,
        uniform_draw: UniformDraw,
        arrival_placement: ArrivalPlacement,
        group_placement: GroupPlacement,
    ) -> None:
        self._context = context
        self._state = state
        self._load_model = load_model
        self._load_limit = load_limit
        self._throttle = throttle
        self._retry_policy = retry_policy
        self._uniform_draw = uniform_draw
        self._arrival_placement = arrival_placement
        self._group_placement = group_placement

    def resume(self, request_id: int, now_us: int) -> None:
        """Continue a request that has waited, if it is still pending."""
        request = self._state.requests.get(request_id)
        if request is not None:
            self.proceed(request_id, request, now_us)

    def proceed(self, request_id: int, request: PendingRequest, now_us: int) -> None:
        """Start the next attempt, or wait for a report, or finish the request where no attempt is allowed."""
        endpoint = self._choose(request_id, request, now_us)
        if endpoint is Deferral.AWAITING_REPORT:
            return
        self._group_placement.end_search(request_id)
        if endpoint is not None and not self._load_limit.is_exceeded(endpoint, request):
            self._start_attempt(request_id, request, endpoint, now_us)
            return
        if endpoint is not None or request.group:
            self._load_limit.record_shed_load()
            self._context.write_log("overload", f"mean {self._state.reports.mean_load:.2f}", now_us)
        self.finish(request_id, request)

    def _choose(self, request_id: int, request: PendingRequest, now_us: int) -> Choice:
        scope = self._retry_policy.allowed_scope(request, now_us)
        if scope is None:
            return None
        if scope is IdempotencyScope.ALL or request.executed_endpoint is None:
            return self._choose_among_all(request_id, request, now_us)
        if scope is IdempotencyScope.ZONE:
            candidates = self._state.ready_endpoints.in_zone(request.executed_endpoint.zone)
        else:
            candidates = self._state.ready_endpoints.in_cell(request.executed_endpoint.cell)
        return self._uniform_draw.draw(candidates, request.attempted_endpoints, now_us)

    def _choose_among_all(self, request_id: int, request: PendingRequest, now_us: int) -> Choice:
        if request.group and self._context.probes_load:
            return self._group_placement.choose(request_id, request, now_us)
        return self._arrival_placement.choose(request_id, request, now_us)

    def _start_attempt(
        self, request_id: int, request: PendingRequest, endpoint: EndpointState, now_us: int
    ) -> None:
        timeout_us = self._retry_policy.attempt_timeout_us(request, now_us)
        request.attempts += 1
        request.endpoint = endpoint
        request.attempt_started_us = now_us
        request.attempted_endpoints.append(endpoint)
        endpoint.request_ids[request_id] = None
        self._load_model.count_placement(request_id, request, endpoint, now_us)
        self._context.actions.append(StartAttempt(request_id, endpoint.endpoint_id, timeout_us))

    def finish(self, request_id: int, request: PendingRequest) -> None:
        """Give a request its final answer: rejected if a retry is known to be harmless, otherwise failed."""
        settings = self._context.settings
        del self._state.requests[request_id]
        if request.attempts == 0:
            self._throttle.remove_accepted()
        # Drawn even if unused, to keep the order of random draws.
        retry_after_us = int(settings.max_retry_after_us * self._context.rng.uniform(*RETRY_AFTER_RANGE))
        if not self._retry_policy.is_retryable(request):
            self._context.actions.append(FailRequest(request_id))
            return
        if not settings.sends_retry_after:
            retry_after_us = 0
        self._context.actions.append(RejectRequest(request_id, retry_after_us))
