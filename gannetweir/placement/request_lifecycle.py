"""The lifecycle of a request: arrival, attempts and their outcomes, the established connection, the end."""

from __future__ import annotations

from gannetweir.placement.admission import AdmissionThrottle
from gannetweir.placement.attempt_dispatch import AttemptDispatch
from gannetweir.placement.context import FleetState, PlacementContext
from gannetweir.placement.endpoint_state import EndpointState
from gannetweir.placement.events import (
    NOT_EXECUTED,
    AttemptEnded,
    AttemptStatus,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionResumed,
    RequestArrived,
    RequestFlag,
)
from gannetweir.placement.group_placement import GroupPlacement
from gannetweir.placement.outlier_ejection import OutlierEjection
from gannetweir.placement.packing import Packing
from gannetweir.placement.pending_request import PendingRequest
from gannetweir.placement.retry_policy import RetryPolicy
from gannetweir.placement.slow_start import SlowStart


class RequestLifecycle:
    """Handles the events of requests and connections. Adds and removes pending requests."""

    def __init__(
        self,
        context: PlacementContext,
        state: FleetState,
        slow_start: SlowStart,
        throttle: AdmissionThrottle,
        ejection: OutlierEjection,
        packing: Packing,
        group_placement: GroupPlacement,
        retry_policy: RetryPolicy,
        dispatch: AttemptDispatch,
    ) -> None:
        self._context = context
        self._state = state
        self._requests = state.requests
        self._slow_start = slow_start
        self._throttle = throttle
        self._ejection = ejection
        self._packing = packing
        self._group_placement = group_placement
        self._retry_policy = retry_policy
        self._dispatch = dispatch

    def _add(self, event: RequestArrived | ConnectionResumed, deadline_us: int) -> PendingRequest:
        settings = self._context.settings
        known_class = event.class_index if event.class_index < len(settings.classes) else -1
        has_load_hint = event.flags & RequestFlag.LOAD_HINT_VALID
        request = PendingRequest(
            settings.classes[known_class],
            event.tenant,
            event.group if settings.groups_enabled else 0,
            deadline_us,
            event.load_hint if has_load_hint else 0,
            event.flags & RequestFlag.RETURNED > 0,
        )
        return self._requests.setdefault(event.request_id, request)

    def arrived(self, event: RequestArrived, now_us: int) -> None:
        """Place a request, or finish it if the throttle rejects it."""
        request = self._add(event, now_us + event.time_budget_us)
        is_retry = event.flags & RequestFlag.CLIENT_RETRY > 0
        if self._throttle.admits(request, is_retry, now_us):
            self._dispatch.proceed(event.request_id, request, now_us)
        else:
            self._dispatch.finish(event.request_id, request)

    def resumed(self, event: ConnectionResumed, now_us: int) -> None:
        """Take over a connection that was open when this relay started.

        Where connections outlive a start of the relay, no client of an earlier process returns.
        """
        endpoint = self._state.endpoints.get(event.endpoint_id)
        request = self._add(event, now_us)
        request.is_established = True
        request.attempts = 1
        request.endpoint = endpoint
        self._group_placement.expect_no_returns()
        if endpoint is not None:
            endpoint.request_ids[event.request_id] = None
            self._state.reports.discard(endpoint)  # an earlier report does not count the connection
            endpoint.probed_us = 0
            self._packing.end_fill(endpoint)

    def established(self, event: ConnectionEstablished, now_us: int) -> None:
        """Record the success of a set-up, and eject the endpoints that failed the same request before."""
        request = self._requests.get(event.request_id)
        if request is None or request.is_established or request.endpoint is None:
            return
        request.is_established = True
        request.previous_endpoint = None
        self._ejection.succeeded(request.endpoint)
        for suspect in request.suspect_endpoints:
            self._ejection.eject(suspect, now_us)
        self._retry_policy.attempt_succeeded(request, event.elapsed_us)

    def client_disconnected(self, event: ClientDisconnected) -> None:
        """Discard a request whose client has disconnected."""
        request = self._requests.pop(event.request_id, None)
        self._group_placement.end_search(event.request_id)
        if request is not None and request.endpoint is not None:
            request.endpoint.request_ids.pop(event.request_id, None)

    def attempt_ended(self, event: AttemptEnded, now_us: int) -> None:
        """Close an established connection, or continue a request whose attempt has failed."""
        request = self._requests.get(event.request_id)
        if request is None or event.attempt != request.attempts - 1:
            return
        endpoint = request.endpoint
        if endpoint is not None:
            endpoint.request_ids.pop(event.request_id, None)
        if event.closed or request.is_established or endpoint is None:
            if request.is_established:
                self._slow_start.connection_ended()
            del self._requests[event.request_id]
            return
        if request.executed_endpoint is None and event.status not in NOT_EXECUTED:
            request.executed_endpoint = endpoint
            request.execution_started_us = request.attempt_started_us
        self._attribute_failure(event, request, endpoint, now_us)
        self._packing.end_fill(endpoint)  # the next attempt needs a new draw
        if event.address_fault:  # the endpoint may be attempted again, at another address
            request.attempted_endpoints = [
                other for other in request.attempted_endpoints if other is not endpoint
            ]
        self._retry_or_finish(event, request, now_us)

    def _attribute_failure(
        self, event: AttemptEnded, request: PendingRequest, endpoint: EndpointState, now_us: int
    ) -> None:
        if event.address_fault:
            return
        if event.status in (AttemptStatus.ERROR, AttemptStatus.RESET):
            # Endpoints also end a request this way because of its content. The endpoint is at fault only if
            # another endpoint accepts the same request.
            request.suspect_endpoints.append(endpoint)
            return
        self._retry_policy.attempt_failed(event.status)
        if request.attempts == 1:
            self._throttle.remove_accepted()
        if event.status in (AttemptStatus.TIMEOUT, AttemptStatus.CONNECT_FAILED):
            self._ejection.eject(endpoint, now_us)

    def _retry_or_finish(self, event: AttemptEnded, request: PendingRequest, now_us: int) -> None:
        if self._retry_policy.is_final_failure(event.status):
            self._dispatch.finish(event.request_id, request)
            return
        wait_us = self._retry_policy.backoff_us(request, now_us)
        if not wait_us:
            self._dispatch.proceed(event.request_id, request, now_us)
        elif 0 < wait_us < request.deadline_us - now_us:
            self._retry_policy.schedule_retry(event.request_id, wait_us, now_us)
        else:  # the deadline leaves no time for the backoff
            self._dispatch.finish(event.request_id, request)
