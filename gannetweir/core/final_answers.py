"""The one final answer of a request that is not served, and the end of one that is."""

from __future__ import annotations

from gannetweir.core.attempts import Attempts
from gannetweir.core.commands import FailClient, MigrateClient, RejectClient
from gannetweir.core.context import EngineContext
from gannetweir.core.placement_dispatcher import PlacementDispatcher
from gannetweir.core.reasons import Reason, reason_after
from gannetweir.core.request_log import RequestStep
from gannetweir.core.request_state import RequestState
from gannetweir.placement.events import AttemptStatus, ClientDisconnected


class FinalAnswers:
    """Ends transactions; each ends once."""

    def __init__(self, context: EngineContext, decisions: PlacementDispatcher, attempts: Attempts) -> None:
        self.context, self.decisions, self.attempts = context, decisions, attempts

    def send(self, tx: RequestState, answer: RejectClient | FailClient, reason: Reason) -> None:
        """The one final answer of a transaction that is not served."""
        self.attempts.close(tx)
        self.remove_request(tx)
        refused = isinstance(answer, RejectClient)
        self.context.counters.add("rejected" if refused else "failed")
        self.context.record_step(tx, RequestStep.REJECTED if refused else RequestStep.FAILED, reason)
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
        self.send(tx, answer, reason)

    def reject_request(self, number: int, retry_us: int) -> None:
        """The module refuses a request; too late where it is served or gone."""
        tx = self.context.requests.get(number)
        if tx is not None and not tx.established:
            self.reject(tx, retry_us, reason_after(tx.last_status))

    def fail_request(self, number: int) -> None:
        """The module fails a request; too late where it is served or gone."""
        tx = self.context.requests.get(number)
        if tx is not None and not tx.established:
            self.send(tx, FailClient(number), reason_after(tx.last_status))

    def migrate_connection(self, number: int) -> None:
        """The module moves a client; it may have left since."""
        tx = self.context.requests.get(number)
        if tx is not None and tx.established:
            self.migrate_client(tx, AttemptStatus.CANCELLED, Reason.PLACEMENT)

    def fail_and_notify(self, tx: RequestState, reason: Reason) -> None:
        """Fail a transaction that the module has not answered, and tell it so."""
        self.send(tx, FailClient(tx.request_id), reason)
        self.decisions.dispatch(ClientDisconnected(tx.request_id))

    def fail_unanswered(self, number: int) -> None:
        """The module failed on this transaction: no client may be left without an answer."""
        tx = self.context.requests.get(number)
        if tx is not None and not tx.established and not tx.attempt_in_flight:
            self.fail_and_notify(tx, Reason.PLACEMENT_FAULT)

    def migrate_client(self, tx: RequestState, status: int, reason: Reason) -> None:
        """The client is asked to come again. It hears that before its backend's side ends."""
        self.remove_request(tx)
        self.context.counters.add("moved")
        self.context.record_step(tx, RequestStep.MIGRATED, reason)
        self.context.commands.append(MigrateClient(tx.request_id))
        self.attempts.ended(tx, status, 1)

    def deadline_passed(self, tx: RequestState) -> None:
        """The final answer is due. The flow's own time-out came first, and the module owed the answer then:
        it holds this one, or it has failed. No client may be left without an answer.
        """
        if not tx.established:
            self.context.counters.add("overdue")
            self.fail_and_notify(tx, Reason.DEADLINE)

    def remove_request(self, tx: RequestState) -> None:
        """Drop the record, and give back what it holds of its route."""
        context = self.context
        del context.requests[tx.request_id]
        context.request_id_by_client_id.pop(tx.client_request_id, None)
        self.attempts.setup_finished(tx)
        if tx.admission_permit is not None:
            if context.route_admission is not None:
                context.route_admission.release(tx.admission_permit)
            tx.admission_permit = None
