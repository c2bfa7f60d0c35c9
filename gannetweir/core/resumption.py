"""Resumed connections: opened before this relay took them over, and held by a single endpoint."""

from __future__ import annotations

from gannetweir.core.attempts import Attempts
from gannetweir.core.commands import FailClient, RejectClient
from gannetweir.core.context import EngineContext
from gannetweir.core.final_answers import FinalAnswers
from gannetweir.core.placement_dispatcher import PlacementDispatcher
from gannetweir.core.reasons import Reason, reason_after
from gannetweir.core.request_state import RequestState
from gannetweir.core.timers import Timer
from gannetweir.placement.events import (
    NOT_EXECUTED,
    AttemptStatus,
    ConnectionResumed,
    EndpointId,
    RequestArrived,
)


class Resumption:
    """Attempts to resume a connection at the endpoint that holds it, until the deadline."""

    def __init__(
        self,
        context: EngineContext,
        dispatcher: PlacementDispatcher,
        attempts: Attempts,
        final_answers: FinalAnswers,
    ) -> None:
        self.context = context
        self.dispatcher = dispatcher
        self.attempts = attempts
        self.final_answers = final_answers

    def start(self, request: RequestState, arrival: RequestArrived, endpoint_id: EndpointId) -> None:
        """Start an attempt at that endpoint, or answer at once if the endpoint is unknown or offline."""
        address = self.context.endpoint_list.address_of(endpoint_id)
        if not address:
            self.final_answers.send(request, FailClient(request.request_id), Reason.UNKNOWN_ENDPOINT)
            return
        if self.context.endpoint_list.is_offline(endpoint_id):
            self._reject_offline(request)
            return
        request.resumed = True
        self._count_for_route(request)
        # The client's deadline may be an hour away. An endpoint that does not answer within this timeout no
        # longer has the connection.
        request.deadline_us = min(
            request.deadline_us, self.context.now_us + self.context.limits.resumption_timeout_us
        )
        self.attempts.open(request, endpoint_id, address, request.deadline_us - self.context.now_us)
        self.dispatcher.dispatch(
            ConnectionResumed(
                request.request_id,
                arrival.load_hint,
                arrival.time_budget_us,
                arrival.group,
                arrival.key,
                arrival.tenant,
                endpoint_id,
                arrival.flags,
                arrival.class_index,
            )
        )

    def attempt_failed(self, request: RequestState, status: AttemptStatus) -> None:
        """Retry at the endpoint if nothing was executed and time remains; otherwise give the final answer."""
        request.end_attempt(status)
        not_executed = status in NOT_EXECUTED
        retry_us = self.context.limits.resumption_retry_us
        if not_executed and self.context.endpoint_list.is_offline(request.endpoint_id):
            self._reject_offline(request)
        elif not_executed and self.context.now_us + retry_us < request.deadline_us:
            self.context.set_timer(retry_us, Timer.RESUMPTION_RETRY, request.request_id)
            return
        else:
            self.final_answers.send(request, FailClient(request.request_id), reason_after(status))
        self.attempts.request_ended(request, status)

    def _count_for_route(self, request: RequestState) -> None:
        """Count the connection, which is already open, towards its route's limits; they never reject it."""
        route_admission = self.context.route_admission
        if route_admission is not None:
            request.admission_permit = route_admission.permit_for(request.request_class)
            route_admission.resume(request.admission_permit)

    def _reject_offline(self, request: RequestState) -> None:
        """Reject the request: the operators will bring the endpoint back online, so the client may retry."""
        rejection = RejectClient(request.request_id, self.context.limits.rejection_retry_after_us)
        self.final_answers.send(request, rejection, Reason.OPERATORS)

    def retry(self, request: RequestState) -> None:
        """Start another attempt after the pause that follows a failed one."""
        if request.attempt_in_flight:
            return
        if self.context.endpoint_list.is_offline(request.endpoint_id):
            self.attempt_failed(request, AttemptStatus.CONNECT_FAILED)
            return
        address = self.context.endpoint_list.address_of(request.endpoint_id)
        self.attempts.open(request, request.endpoint_id, address, request.deadline_us - self.context.now_us)
