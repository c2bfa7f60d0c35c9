"""Request intake: duplicate detection, deadlines, admission, and the handling of client disconnects."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import TYPE_CHECKING

from gannetweir.core.attempts import Attempts
from gannetweir.core.commands import EndUpstream, RejectClient
from gannetweir.core.context import EngineContext
from gannetweir.core.final_answers import FinalAnswers
from gannetweir.core.placement_dispatcher import PlacementDispatcher
from gannetweir.core.reasons import Reason
from gannetweir.core.request_log import RequestStep
from gannetweir.core.request_state import RequestState
from gannetweir.core.resumption import Resumption
from gannetweir.core.timers import Timer
from gannetweir.placement.events import (
    AttemptStatus,
    ClientDisconnected,
    EndpointId,
    RequestArrived,
    RequestFlag,
)
from gannetweir.placement.settings import RequestClass

if TYPE_CHECKING:
    # Imported for type checking only: a relay without an operators' file does not load this code.
    from gannetweir.routing.route_admission import Rejection

# The mask is XORed with the engine's seed. The balancer has the same seed, and the two must not draw the same
# numbers.
_RETRY_JITTER_SEED_MASK = 0x7F4A7C15
# The timer for a missing final answer is due an eighth of the answer margin after the balancer's deadline.
_FINAL_ANSWER_DELAY_DIVISOR = 8


class RequestIntake:
    """Opens requests when their first lines arrive, and closes them when their clients disconnect."""

    def __init__(
        self,
        context: EngineContext,
        dispatcher: PlacementDispatcher,
        attempts: Attempts,
        final_answers: FinalAnswers,
        resumption: Resumption,
        seed: int,
    ) -> None:
        self.context = context
        self.dispatcher = dispatcher
        self.attempts = attempts
        self.final_answers = final_answers
        self.resumption = resumption
        self.last_request_id = 0  # request ids count up from 1
        self._random = random.Random(seed ^ _RETRY_JITTER_SEED_MASK)  # spreads clients' retries over time

    def request_opened(
        self,
        arrival: RequestArrived,
        resumed_endpoint_id: EndpointId,
        now_us: int,
        client_request_id: str = "",
    ) -> int:
        """Open a request after a client's first line was read, or resume one at the endpoint that holds it.

        `resumed_endpoint_id` is empty for a new request. Returns the new request's id, or 0 if another client
        has an open request with the same client request id, or if one with this id was executed before and
        its class does not permit a repeat: forwarding the line would create a second copy of that request.
        """
        context = self.context
        context.now_us = now_us
        arrival = self._classified(arrival, resumed_endpoint_id)
        if self._is_second_copy(arrival, resumed_endpoint_id, client_request_id):
            return 0
        self.last_request_id += 1
        request = self._add_request(arrival, resumed_endpoint_id, client_request_id)
        if context.admission_closed:
            self._reject(request, Reason.ADMISSION_CLOSED)
        elif resumed_endpoint_id:
            self.resumption.start(request, arrival, resumed_endpoint_id)
        elif len(context.requests) > context.limits.max_clients:
            self._reject(request, Reason.TOO_MANY_REQUESTS)
        elif self._admitted_by_route(request, arrival):
            self._request_placement(request, arrival)
        return request.request_id

    def _classified(self, arrival: RequestArrived, resumed_endpoint_id: EndpointId) -> RequestArrived:
        """Return the arrival with its route's class, and its time budget limited by the class's timeout."""
        if self.context.route_admission is not None:
            arrival = replace(arrival, class_index=self.context.route_admission.class_index_for(arrival))
        timeout_us = self._class_of(arrival).request_timeout_us
        if timeout_us and not resumed_endpoint_id:
            arrival = replace(arrival, time_budget_us=min(arrival.time_budget_us, timeout_us))
        return arrival

    def _is_second_copy(
        self, arrival: RequestArrived, resumed_endpoint_id: EndpointId, client_request_id: str
    ) -> bool:
        """Return whether the request is open, or was executed and must not be executed again."""
        context = self.context
        if client_request_id and client_request_id in context.request_id_by_client_id:
            context.counters.add("duplicates")
            return True
        if resumed_endpoint_id:  # the endpoint has executed the request and holds its connection
            return False
        deadline_us = context.now_us + arrival.time_budget_us
        permits = context.executed_requests.permits
        if permits(self._class_of(arrival), client_request_id, deadline_us):
            return False
        context.counters.add("repeats_refused")
        return True

    def _class_of(self, arrival: RequestArrived) -> RequestClass:
        return self.context.settings.classes[arrival.class_index]

    def _answer_margin_us(self, arrival: RequestArrived) -> int:
        """Return by how much the balancer's deadline precedes the client's, so that a request that the
        balancer abandons is answered in time. In the simulator, too, the balancer's deadline is the last
        moment for an answer.
        """
        return self.context.limits.answer_margin_for(arrival.time_budget_us)

    def _add_request(
        self, arrival: RequestArrived, resumed_endpoint_id: EndpointId, client_request_id: str
    ) -> RequestState:
        context = self.context
        request_class = self._class_of(arrival)
        budget_us = max(1, arrival.time_budget_us - self._answer_margin_us(arrival))
        request = RequestState(
            self.last_request_id,
            context.now_us + budget_us,
            client_request_id,
            request_class=request_class,
        )
        context.requests[request.request_id] = request
        context.request_id_by_client_id[client_request_id] = request.request_id
        context.counters.add("resumed" if resumed_endpoint_id else "requests")
        client_deadline_us = 0 if resumed_endpoint_id else context.now_us + arrival.time_budget_us
        context.guard.request_opened(request.request_id, request_class, client_deadline_us)
        context.record_step(request, RequestStep.OPENED, request_class.name)
        return request

    def _reject(self, request: RequestState, reason: Reason) -> None:
        answer = RejectClient(request.request_id, self.context.limits.rejection_retry_after_us)
        self.final_answers.send(request, answer, reason)

    def _request_placement(self, request: RequestState, arrival: RequestArrived) -> None:
        """Pass the request to the balancer, and set the timer for its final answer shortly after the
        balancer's deadline. At that deadline the last attempt times out, and the balancer normally answers
        without the timer.
        """
        context = self.context
        budget_us = request.deadline_us - context.now_us
        wait_us = budget_us + self._answer_margin_us(arrival) // _FINAL_ANSWER_DELAY_DIVISOR
        context.set_timer(wait_us, Timer.FINAL_ANSWER, request.request_id)
        self.dispatcher.dispatch(replace(arrival, request_id=request.request_id, time_budget_us=budget_us))

    def _admitted_by_route(self, request: RequestState, arrival: RequestArrived) -> bool:
        """Acquire the route's permit and return true, or reject the request and return false."""
        route_admission = self.context.route_admission
        if route_admission is None:
            return True
        permit = route_admission.permit_for(request.request_class)
        is_first_try = not arrival.flags & RequestFlag.CLIENT_RETRY
        rejection = route_admission.admit(permit, is_first_try, self.context.now_us, self._random.random())
        if rejection is None:
            request.admission_permit = permit
            return True
        self._reject_over_limit(request, rejection)
        return False

    def _reject_over_limit(self, request: RequestState, rejection: Rejection) -> None:
        self.context.counters.add(f"route_rejections.{request.request_class.route}")
        self.context.log(
            "rejected by a route's limit",
            request=request.request_id,
            route=request.request_class.route,
            cls=request.request_class.name,
            reason=rejection.reason,
        )
        answer = RejectClient(request.request_id, rejection.retry_after_us)
        self.final_answers.send(request, answer, Reason.ROUTE_LIMIT)

    def client_disconnected(self, request_id: int, reset: bool, now_us: int) -> None:
        """End the request or its connection after the client has closed or reset its side."""
        self.context.now_us = now_us
        request = self.context.requests.get(request_id)
        if request is None:
            return
        self.final_answers.remove_request(request)
        self.context.counters.add("clients_disconnected")
        reason = Reason.CLIENT_RESET if reset else Reason.CLIENT_ENDED
        self.context.record_step(request, RequestStep.CLOSED, reason)
        if request.established:
            self.context.commands.append(EndUpstream(request_id, reset))
            self.attempts.request_ended(request, AttemptStatus.CANCELLED)
            return
        was_in_flight = request.attempt_in_flight
        self.attempts.close(request)
        self.dispatcher.dispatch(ClientDisconnected(request_id))
        if was_in_flight and request.resumed:
            self.attempts.request_ended(request, AttemptStatus.CANCELLED)
