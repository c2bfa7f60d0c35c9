"""Connections that were open before this relay took them over: only their own backend holds them."""

from __future__ import annotations

from gannetweir import interface as i
from gannetweir.core.answers import Answers
from gannetweir.core.attempts import Attempts
from gannetweir.core.commands import Abandon, Reject
from gannetweir.core.context import EngineContext
from gannetweir.core.decisions import Decisions
from gannetweir.core.reasons import Reason, after
from gannetweir.core.request_state import Transaction
from gannetweir.core.timers import Timer


class Resumption:
    """Brings a resumed connection back to the backend that it names."""

    def __init__(
        self, context: EngineContext, decisions: Decisions, attempts: Attempts, answers: Answers
    ) -> None:
        self.context, self.decisions = context, decisions
        self.attempts, self.answers = attempts, answers

    def start(self, tx: Transaction, wanted: i.Request, at: i.ServerId) -> None:
        """Open the way to the backend `at`, or answer where that is out of use."""
        dial = self.context.pool.dial(at)
        if not dial or self.context.pool.is_out(at):
            out = Reject(tx.number, self.context.limits.reject_retry_us)
            reason = Reason.OPERATORS if dial else Reason.UNKNOWN_BACKEND
            self.answers.answer(tx, out if dial else Abandon(tx.number), reason)
            return
        tx.resumed = True
        if self.context.keeper is not None:  # it stands: it counts, but nothing turns it away
            tx.share = self.context.keeper.of(tx.cls)
            self.context.keeper.resumed(tx.share)
        w = wanted
        # its deadline may be an hour away; a backend that says nothing for so long does not hold it any more
        tx.due_us = min(tx.due_us, self.context.now + self.context.limits.resume_us)
        self.attempts.open(tx, at, dial, tx.due_us - self.context.now)
        self.decisions.tell(
            i.Resumed(tx.number, w.hint_us, w.budget_us, w.group, w.key, w.tenant, at, w.flags, w.cls)
        )

    def failed(self, tx: Transaction, status: int) -> None:
        """Only its own backend holds this connection: ask there again while nothing has run."""
        tx.out, tx.last_status = False, status
        wait = self.context.limits.resume_retry_us
        if self.context.pool.is_out(tx.server) and status in i.NEVER_RAN:
            refusal = Reject(tx.number, self.context.limits.reject_retry_us)
            self.answers.answer(tx, refusal, Reason.OPERATORS)
            self.attempts.ended(tx, status, 1)
            return
        if status in i.NEVER_RAN and self.context.now + wait < tx.due_us:
            self.context.after(wait, Timer.RESUME, tx.number)
            return
        self.answers.answer(tx, Abandon(tx.number), after(status))
        self.attempts.ended(tx, status, 1)

    def try_again(self, tx: Transaction) -> None:
        """The wait after a failed try is over."""
        if tx.out:
            return
        if self.context.pool.is_out(tx.server):
            self.failed(tx, i.CONNECT_FAILED)
            return
        self.attempts.open(tx, tx.server, self.context.pool.dial(tx.server), tx.due_us - self.context.now)
