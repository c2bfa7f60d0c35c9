"""The one final answer of a request that is not served, and the end of one that is."""

from __future__ import annotations

from gannetweir import interface as i
from gannetweir.core.attempts import Attempts
from gannetweir.core.commands import Abandon, MoveClient, Reject
from gannetweir.core.context import EngineContext
from gannetweir.core.decisions import Decisions
from gannetweir.core.reasons import Reason, after
from gannetweir.core.request_log import Step
from gannetweir.core.request_state import Transaction


class Answers:
    """Ends transactions; each ends once."""

    def __init__(self, context: EngineContext, decisions: Decisions, attempts: Attempts) -> None:
        self.context, self.decisions, self.attempts = context, decisions, attempts

    def answer(self, tx: Transaction, answer: Reject | Abandon, reason: Reason) -> None:
        """The one final answer of a transaction that is not served."""
        self.attempts.drop(tx)
        self.forget(tx)
        refused = isinstance(answer, Reject)
        self.context.counters.add("rejected" if refused else "failed")
        self.context.note(tx, Step.REFUSED if refused else Step.FAILED, reason)
        self.context.commands.append(answer)

    def reject(self, tx: Transaction, retry_us: int, reason: Reason) -> None:
        """Say that trying again is harmless, where it is: not once an attempt may have run of a class whose
        repeats may do harm."""
        ran = tx.ran or (tx.out and tx.sent)
        answer = Abandon(tx.number) if ran and not tx.cls.harmless else Reject(tx.number, retry_us)
        self.answer(tx, answer, reason)

    def reject_request(self, number: int, retry_us: int) -> None:
        """The module refuses a request; too late where it is served or gone."""
        tx = self.context.transactions.get(number)
        if tx is not None and not tx.up:
            self.reject(tx, retry_us, after(tx.last_status))

    def fail_request(self, number: int) -> None:
        """The module fails a request; too late where it is served or gone."""
        tx = self.context.transactions.get(number)
        if tx is not None and not tx.up:
            self.answer(tx, Abandon(number), after(tx.last_status))

    def move_connection(self, number: int) -> None:
        """The module moves a client; it may have left since."""
        tx = self.context.transactions.get(number)
        if tx is not None and tx.up:
            self.move(tx, i.CANCELLED, Reason.DECISION)

    def abandon(self, tx: Transaction, reason: Reason) -> None:
        """Fail a transaction that the module has not answered, and tell it so."""
        self.answer(tx, Abandon(tx.number), reason)
        self.decisions.tell(i.ClientGone(tx.number))

    def fail_unanswered(self, number: int) -> None:
        """The module failed on this transaction: no client may be left without an answer."""
        tx = self.context.transactions.get(number)
        if tx is not None and not tx.up and not tx.out:
            self.abandon(tx, Reason.MODULE_FAULT)

    def move(self, tx: Transaction, status: int, reason: Reason) -> None:
        """The client is asked to come again. It hears that before its backend's side ends."""
        self.forget(tx)
        self.context.counters.add("moved")
        self.context.note(tx, Step.MOVED, reason)
        self.context.commands.append(MoveClient(tx.number))
        self.attempts.ended(tx, status, 1)

    def overdue(self, tx: Transaction) -> None:
        """The final answer is due. The flow's own time-out came first, and the module owed the answer then:
        it holds this one, or it has failed. No client may be left without an answer."""
        if not tx.up:
            self.context.counters.add("overdue")
            self.abandon(tx, Reason.DEADLINE)

    def forget(self, tx: Transaction) -> None:
        """Drop the record, and give back what it holds of its route."""
        context = self.context
        del context.transactions[tx.number]
        context.idents.pop(tx.ident, None)
        self.attempts.settled(tx)
        if tx.share is not None:
            if context.keeper is not None:
                context.keeper.ended(tx.share)
            tx.share = None
