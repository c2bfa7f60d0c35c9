"""Clients' requests: what is admitted, with which deadline, and what a client's leaving ends."""

from __future__ import annotations

import random
from dataclasses import replace

from gannetweir import interface as i
from gannetweir.core.answers import Answers
from gannetweir.core.attempts import Attempts
from gannetweir.core.commands import EndFlow, Reject
from gannetweir.core.context import EngineContext
from gannetweir.core.decisions import Decisions
from gannetweir.core.reasons import Reason
from gannetweir.core.request_log import Step
from gannetweir.core.request_state import Transaction
from gannetweir.core.resumption import Resumption
from gannetweir.core.timers import Timer


class Requests:
    """Opens transactions at their first lines and ends them with their clients."""

    def __init__(
        self,
        context: EngineContext,
        decisions: Decisions,
        attempts: Attempts,
        answers: Answers,
        resumption: Resumption,
        seed: int,
    ) -> None:
        self.context, self.decisions = context, decisions
        self.attempts, self.answers, self.resumption = attempts, answers, resumption
        self.rng = random.Random(seed ^ 0x7F4A7C15)  # spreads the advice on when to come again
        self.last = 0  # the number of the last transaction

    def open(self, wanted: i.Request, at: i.ServerId, now_us: int, ident: str = "") -> int:
        """A client's first line is in: a new transaction, or one resumed at a backend. Its number, or 0 if
        another client's open transaction has this id: sent on, it would be a second copy of that one."""
        context = self.context
        context.now = now_us
        if ident and ident in context.idents:
            context.counters.add("duplicates")
            return 0
        self.last += 1
        if context.keeper is not None:
            wanted = replace(wanted, cls=context.keeper.find(wanted))
        cls = context.settings.classes[wanted.cls]
        if cls.give_up_us and not at:
            wanted = replace(wanted, budget_us=min(wanted.budget_us, cls.give_up_us))
        # As in the simulator the module's deadline is the last moment for an answer, so what it has given
        # up on is answered at once and in time.
        margin = min(context.limits.answer_margin_us, wanted.budget_us // 4)
        budget = max(1, wanted.budget_us - margin)
        tx = Transaction(self.last, now_us + budget, ident, cls=cls)
        context.transactions[tx.number] = tx
        context.idents[ident] = tx.number
        context.counters.add("resumed" if at else "requests")
        context.guard.opened(tx.number, cls, 0 if at else now_us + wanted.budget_us)
        context.note(tx, Step.OPENED, cls.name)
        if at and not context.closed:
            self.resumption.start(tx, wanted, at)
        elif context.closed or len(context.transactions) > context.limits.clients:
            reason = Reason.RELAY_CLOSING if context.closed else Reason.TOO_MANY
            self.answers.answer(tx, Reject(tx.number, context.limits.reject_retry_us), reason)
        elif not self._admitted(tx, wanted):
            pass
        else:
            # a little after the last flow's time-out, at which the module answers by itself
            context.after(budget + margin // 8, Timer.ANSWER, tx.number)
            self.decisions.tell(replace(wanted, request=tx.number, budget_us=budget))
        return tx.number

    def _admitted(self, tx: Transaction, wanted: i.Request) -> bool:
        """Has the route room for one more? What is over is rejected at once, with a time of its own."""
        if self.context.keeper is None:
            return True
        share = self.context.keeper.of(tx.cls)
        first = not wanted.flags & i.CLIENT_RETRY
        refusal = self.context.keeper.admit(share, first, self.context.now, self.rng.random())
        if refusal is None:
            tx.share = share
            return True
        self.context.counters.add(f"over.{tx.cls.route}")
        self.context.log(
            "over a limit", transaction=tx.number, route=tx.cls.route, cls=tx.cls.name, reason=refusal.reason
        )
        self.answers.answer(tx, Reject(tx.number, refusal.retry_us), Reason.ROUTE_LIMIT)
        return False

    def client_left(self, number: int, reset: bool, now_us: int) -> None:
        """The client ended its side."""
        self.context.now = now_us
        tx = self.context.transactions.get(number)
        if tx is None:
            return
        self.answers.forget(tx)
        self.context.counters.add("clients_left")
        self.context.note(tx, Step.CLOSED, Reason.CLIENT_RESET if reset else Reason.CLIENT_ENDED)
        if tx.up:
            self.context.commands.append(EndFlow(number, reset))
            self.attempts.ended(tx, i.CANCELLED, 1)
            return
        out = tx.out
        self.attempts.drop(tx)
        self.decisions.tell(i.ClientGone(number))
        if out and tx.resumed:
            self.attempts.ended(tx, i.CANCELLED, 1)
