"""The one final answer of a request that is not served, and the end of one that is."""

from __future__ import annotations

from gannetweir.core.attempts import Attempts
from gannetweir.core.commands import FailClient, MigrateClient, RejectClient
from gannetweir.core.context import EngineContext
from gannetweir.core.decisions import Decisions
from gannetweir.core.reasons import Reason, after
from gannetweir.core.request_log import Step
from gannetweir.core.request_state import RequestState
from gannetweir.placement.events import AttemptStatus, ClientDisconnected


class Answers:
    """Ends transactions; each ends once."""

    def __init__(self, context: EngineContext, decisions: Decisions, attempts: Attempts) -> None:
        self.context, self.decisions, self.attempts = context, decisions, attempts

    def answer(self, tx: RequestState, answer: RejectClient | FailClient, reason: Reason) -> None:
        """The one final answer of a transaction that is not served."""
        self.attempts.close(tx)
        self.forget(tx)
        refused = isinstance(answer, RejectClient)
        self.context.counters.add("rejected" if refused else "failed")
        self.context.record_step(tx, Step.REFUSED if refused else Step.FAILED, reason)
        self.context.commands.append(answer)

    def reject(self, tx: RequestState, retry_us: int, reason: Reason) -> None:
        """Say that trying again is harmless, where it is: not once an attempt may have run of a class whose
        repeats may do harm.
        """
        ran = tx.may_have_executed or (tx.attempt_in_flight and tx.first_line_written)
        answer = (
            FailClient(tx.request_id)
            if ran and not tx.request_class.is_idempotent_everywhere
            else RejectClient(tx.request_id, retry_us)
        )
        self.answer(tx, answer, reason)

    def reject_request(self, number: int, retry_us: int) -> None:
        """The module refuses a request; too late where it is served or gone."""
        tx = self.context.requests.get(number)
        if tx is not None and not tx.established:
            self.reject(tx, retry_us, after(tx.last_status))

    def fail_request(self, number: int) -> None:
        """The module fails a request; too late where it is served or gone."""
        tx = self.context.requests.get(number)
        if tx is not None and not tx.established:
            self.answer(tx, FailClient(number), after(tx.last_status))

    def migrate_connection(self, number: int) -> None:
        """The module moves a client; it may have left since."""
        tx = self.context.requests.get(number)
        if tx is not None and tx.established:
            self.migrate(tx, AttemptStatus.CANCELLED, Reason.DECISION)

    def fail(self, tx: RequestState, reason: Reason) -> None:
        """Fail a transaction that the module has not answered, and tell it so."""
        self.answer(tx, FailClient(tx.request_id), reason)
        self.decisions.dispatch(ClientDisconnected(tx.request_id))

    def fail_unanswered(self, number: int) -> None:
        """The module failed on this transaction: no client may be left without an answer."""
        tx = self.context.requests.get(number)
        if tx is not None and not tx.established and not tx.attempt_in_flight:
            self.fail(tx, Reason.MODULE_FAULT)

    def migrate(self, tx: RequestState, status: int, reason: Reason) -> None:
        """The client is asked to come again. It hears that before its backend's side ends."""
        self.forget(tx)
        self.context.counters.add("moved")
        self.context.record_step(tx, Step.MOVED, reason)
        self.context.commands.append(MigrateClient(tx.request_id))
        self.attempts.ended(tx, status, 1)

    def overdue(self, tx: RequestState) -> None:
        """The final answer is due. The flow's own time-out came first, and the module owed the answer then:
        it holds this one, or it has failed. No client may be left without an answer.
        """
        if not tx.established:
            self.context.counters.add("overdue")
            self.fail(tx, Reason.DEADLINE)

    def forget(self, tx: RequestState) -> None:
        """Drop the record, and give back what it holds of its route."""
        context = self.context
        del context.requests[tx.request_id]
        context.request_id_by_client_id.pop(tx.client_request_id, None)
        self.attempts.setup_finished(tx)
        if tx.admission_permit is not None:
            if context.route_admission is not None:
                context.route_admission.release(tx.admission_permit)
            tx.admission_permit = None
