"""The end of a relay: clients are moved over a time, then the process may exit."""

from __future__ import annotations

from gannetweir import interface as i
from gannetweir.core.answers import Answers
from gannetweir.core.commands import Exit
from gannetweir.core.context import EngineContext
from gannetweir.core.reasons import Reason
from gannetweir.core.request_state import Transaction
from gannetweir.core.timers import Timer


class Drain:
    """Moves clients away: those of the whole relay, or of backends that the operators have left out."""

    def __init__(self, context: EngineContext, answers: Answers) -> None:
        self.context, self.answers = context, answers
        self.drain_us = 0  # when the drain began

    def start(self, now_us: int, replaced: bool = False) -> None:
        """SIGTERM: go on as before while clients still come, then move every client, then end. Where another
        process takes the new clients already (`replaced`), the moves begin at once and have more time."""
        if self.drain_us:
            return
        self.context.now = self.drain_us = now_us
        self.context.after(self.context.limits.drain_us, Timer.DRAINED)
        self.context.after(self.context.limits.drain_end_us, Timer.END)
        if replaced:
            limits = self.context.limits
            self.move_over(self._staying(), limits.drain_us + limits.drain_moves_us, Reason.DRAIN)

    def drained(self) -> None:
        """The front has stopped sending: nothing new is taken, and every client is moved."""
        self.context.closed = True
        self.move_over(self._staying(), self.context.limits.drain_moves_us, Reason.DRAIN)
        self._end_if_empty()

    def _staying(self) -> list[Transaction]:
        return [tx for tx in self.context.transactions.values() if tx.up and not tx.leaving]

    def move_over(self, leaving: list[Transaction], time_us: int, reason: Reason) -> None:
        """Spread the moves: clients that come back all at once would be set up all at once."""
        step = time_us / max(1, len(leaving))
        for place, tx in enumerate(leaving):
            tx.leaving = reason
            self.context.after(int(step * place), Timer.MOVE, tx.number)

    def move_due(self, tx: Transaction) -> None:
        """The time of one client's move has come."""
        if tx.up:
            self.answers.move(tx, i.CANCELLED, tx.leaving or Reason.DRAIN)
            self._end_if_empty()

    def _end_if_empty(self) -> None:
        if self.context.closed and not self.context.transactions:  # the front may send some more all the same
            self.context.after(self.context.limits.linger_us, Timer.END)

    def end(self) -> None:
        """The drain's time is up: move or reject all that is left, and exit."""
        # with the shortest deadlines this comes before the front has stopped sending
        self.context.closed = True
        for tx in list(self.context.transactions.values()):
            if tx.up:
                self.answers.move(tx, i.CANCELLED, Reason.DRAIN_OVER)
            else:
                self.answers.reject(tx, self.context.limits.reject_retry_us, Reason.DRAIN_OVER)
        self.context.commands.append(Exit())
