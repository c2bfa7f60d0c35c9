"""Connections that were open before this relay took them over: only their own backend holds them."""

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
    """Brings a resumed connection back to the backend that it names."""

    def __init__(
        self,
        context: EngineContext,
        decisions: PlacementDispatcher,
        attempts: Attempts,
        answers: FinalAnswers,
    ) -> None:
        self.context, self.decisions = context, decisions
        self.attempts, self.answers = attempts, answers

    def start(self, tx: RequestState, wanted: RequestArrived, at: EndpointId) -> None:
        """Open the way to the backend `at`, or answer where that is out of use."""
        dial = self.context.endpoint_list.address_of(at)
        if not dial or self.context.endpoint_list.is_offline(at):
            out = RejectClient(tx.request_id, self.context.limits.reject_retry_us)
            reason = Reason.OPERATORS if dial else Reason.UNKNOWN_ENDPOINT
            self.answers.send(tx, out if dial else FailClient(tx.request_id), reason)
            return
        tx.resumed = True
        if self.context.route_admission is not None:  # it stands: it counts, but nothing turns it away
            tx.admission_permit = self.context.route_admission.permit_for(tx.request_class)
            self.context.route_admission.resume(tx.admission_permit)
        w = wanted
        # its deadline may be an hour away; a backend that says nothing for so long does not hold it any more
        tx.deadline_us = min(tx.deadline_us, self.context.now_us + self.context.limits.resume_us)
        self.attempts.open(tx, at, dial, tx.deadline_us - self.context.now_us)
        self.decisions.dispatch(
            ConnectionResumed(
                tx.request_id,
                w.load_hint,
                w.time_budget_us,
                w.group,
                w.key,
                w.tenant,
                at,
                w.flags,
                w.class_index,
            )
        )

    def attempt_failed(self, tx: RequestState, status: int) -> None:
        """Only its own backend holds this connection: ask there again while nothing has run."""
        tx.attempt_in_flight, tx.last_status = False, status
        wait = self.context.limits.resume_retry_us
        if self.context.endpoint_list.is_offline(tx.endpoint_id) and status in NOT_EXECUTED:
            refusal = RejectClient(tx.request_id, self.context.limits.reject_retry_us)
            self.answers.send(tx, refusal, Reason.OPERATORS)
            self.attempts.ended(tx, status, 1)
            return
        if status in NOT_EXECUTED and self.context.now_us + wait < tx.deadline_us:
            self.context.set_timer(wait, Timer.RESUMPTION_RETRY, tx.request_id)
            return
        self.answers.send(tx, FailClient(tx.request_id), reason_after(status))
        self.attempts.ended(tx, status, 1)

    def retry(self, tx: RequestState) -> None:
        """The wait after a failed try is over."""
        if tx.attempt_in_flight:
            return
        if self.context.endpoint_list.is_offline(tx.endpoint_id):
            self.attempt_failed(tx, AttemptStatus.CONNECT_FAILED)
            return
        self.attempts.open(
            tx,
            tx.endpoint_id,
            self.context.endpoint_list.address_of(tx.endpoint_id),
            tx.deadline_us - self.context.now_us,
        )
