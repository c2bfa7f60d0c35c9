"""Clients' requests: what is admitted, with which deadline, and what a client's leaving ends."""

from __future__ import annotations

import random
from dataclasses import replace

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


class RequestIntake:
    """Opens transactions at their first lines and ends them with their clients."""

    def __init__(
        self,
        context: EngineContext,
        decisions: PlacementDispatcher,
        attempts: Attempts,
        answers: FinalAnswers,
        resumption: Resumption,
        seed: int,
    ) -> None:
        self.context, self.decisions = context, decisions
        self.attempts, self.answers, self.resumption = attempts, answers, resumption
        self.rng = random.Random(seed ^ 0x7F4A7C15)  # spreads the advice on when to come again
        self.last_request_id = 0  # the number of the last transaction

    def request_opened(self, wanted: RequestArrived, at: EndpointId, now_us: int, ident: str = "") -> int:
        """A client's first line is in: a new transaction, or one resumed at a backend. Its number, or 0 if
        another client's open transaction has this id: sent on, it would be a second copy of that one.
        """
        context = self.context
        context.now_us = now_us
        if ident and ident in context.request_id_by_client_id:
            context.counters.add("duplicates")
            return 0
        self.last_request_id += 1
        if context.route_admission is not None:
            wanted = replace(wanted, class_index=context.route_admission.class_index_for(wanted))
        cls = context.settings.classes[wanted.class_index]
        if cls.request_timeout_us and not at:
            wanted = replace(wanted, time_budget_us=min(wanted.time_budget_us, cls.request_timeout_us))
        # As in the simulator the module's deadline is the last moment for an answer, so what it has given
        # up on is answered at once and in time.
        margin = min(context.limits.answer_margin_us, wanted.time_budget_us // 4)
        budget = max(1, wanted.time_budget_us - margin)
        tx = RequestState(self.last_request_id, now_us + budget, ident, request_class=cls)
        context.requests[tx.request_id] = tx
        context.request_id_by_client_id[ident] = tx.request_id
        context.counters.add("resumed" if at else "requests")
        context.guard.request_opened(tx.request_id, cls, 0 if at else now_us + wanted.time_budget_us)
        context.record_step(tx, RequestStep.OPENED, cls.name)
        if at and not context.admission_closed:
            self.resumption.start(tx, wanted, at)
        elif context.admission_closed or len(context.requests) > context.limits.clients:
            reason = Reason.ADMISSION_CLOSED if context.admission_closed else Reason.TOO_MANY_REQUESTS
            self.answers.send(tx, RejectClient(tx.request_id, context.limits.reject_retry_us), reason)
        elif not self._admitted_by_route(tx, wanted):
            pass
        else:
            # a little after the last flow's time-out, at which the module answers by itself
            context.set_timer(budget + margin // 8, Timer.FINAL_ANSWER, tx.request_id)
            self.decisions.dispatch(replace(wanted, request_id=tx.request_id, time_budget_us=budget))
        return tx.request_id

    def _admitted_by_route(self, tx: RequestState, wanted: RequestArrived) -> bool:
        """Has the route room for one more? What is over is rejected at once, with a time of its own."""
        if self.context.route_admission is None:
            return True
        share = self.context.route_admission.permit_for(tx.request_class)
        first = not wanted.flags & RequestFlag.CLIENT_RETRY
        refusal = self.context.route_admission.admit(share, first, self.context.now_us, self.rng.random())
        if refusal is None:
            tx.admission_permit = share
            return True
        self.context.counters.add(f"over.{tx.request_class.route}")
        self.context.log(
            "over a limit",
            transaction=tx.request_id,
            route=tx.request_class.route,
            cls=tx.request_class.name,
            reason=refusal.reason,
        )
        self.answers.send(tx, RejectClient(tx.request_id, refusal.retry_after_us), Reason.ROUTE_LIMIT)
        return False

    def client_disconnected(self, number: int, reset: bool, now_us: int) -> None:
        """The client ended its side."""
        self.context.now_us = now_us
        tx = self.context.requests.get(number)
        if tx is None:
            return
        self.answers.remove_request(tx)
        self.context.counters.add("clients_left")
        self.context.record_step(
            tx, RequestStep.CLOSED, Reason.CLIENT_RESET if reset else Reason.CLIENT_ENDED
        )
        if tx.established:
            self.context.commands.append(EndUpstream(number, reset))
            self.attempts.ended(tx, AttemptStatus.CANCELLED, 1)
            return
        out = tx.attempt_in_flight
        self.attempts.close(tx)
        self.decisions.dispatch(ClientDisconnected(number))
        if out and tx.resumed:
            self.attempts.ended(tx, AttemptStatus.CANCELLED, 1)
