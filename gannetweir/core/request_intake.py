"""The intake of requests: duplicates, deadlines, admission; and what a client's disconnect ends."""

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

if TYPE_CHECKING:  # a relay without an operators' file does without the code for one
    from gannetweir.routing.route_admission import Rejection

# xor: these draws are not those of the balancer, which has the same seed
_RETRY_JITTER_SEED_MASK = 0x7F4A7C15
# the answer margin is at most a quarter of the client's time: the rest is for attempts
_ANSWER_MARGIN_DIVISOR = 4
# the timer for a missing answer falls due an eighth of the margin after the deadline
_FINAL_ANSWER_DELAY_DIVISOR = 8


class RequestIntake:
    """Opens requests at their first lines, and closes them as their clients disconnect."""

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
        """Open a request, or resume one at the endpoint that holds it, as a client's first line is read.

        `resumed_endpoint_id` is empty where nothing is resumed. Returns the new request's id, or 0 where
        another client has an open request of this id: forwarded, it would be a second copy of that one.
        """
        context = self.context
        context.now_us = now_us
        if client_request_id and client_request_id in context.request_id_by_client_id:
            context.counters.add("duplicates")
            return 0
        self.last_request_id += 1
        arrival = self._classified(arrival, resumed_endpoint_id)
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
        """Give the arrival its route's class, and the time that this class leaves it."""
        if self.context.route_admission is not None:
            arrival = replace(arrival, class_index=self.context.route_admission.class_index_for(arrival))
        timeout_us = self._class_of(arrival).request_timeout_us
        if timeout_us and not resumed_endpoint_id:
            arrival = replace(arrival, time_budget_us=min(arrival.time_budget_us, timeout_us))
        return arrival

    def _class_of(self, arrival: RequestArrived) -> RequestClass:
        return self.context.settings.classes[arrival.class_index]

    def _answer_margin_us(self, arrival: RequestArrived) -> int:
        """Return how long before the client's deadline the balancer's falls, so that what the
        balancer gives up on is answered in time. In the simulator, too, its deadline is the last moment for
        an answer.
        """
        return min(self.context.limits.answer_margin_us, arrival.time_budget_us // _ANSWER_MARGIN_DIVISOR)

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
        """Give the request to the balancer, and set the timer for its final answer a little after its
        deadline: at that the last attempt times out, and the balancer answers by itself.
        """
        context = self.context
        budget_us = request.deadline_us - context.now_us
        wait_us = budget_us + self._answer_margin_us(arrival) // _FINAL_ANSWER_DELAY_DIVISOR
        context.set_timer(wait_us, Timer.FINAL_ANSWER, request.request_id)
        self.dispatcher.dispatch(replace(arrival, request_id=request.request_id, time_budget_us=budget_us))

    def _admitted_by_route(self, request: RequestState, arrival: RequestArrived) -> bool:
        """Ask the route's limits for a permit; without one the request is rejected here."""
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
        """End the request, or its connection, as its client has ended its side."""
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
