"""What the drivers tell of server-side flows, and what their due times bring."""

from __future__ import annotations

from collections.abc import Callable

from gannetweir import interface as i
from gannetweir.core.answers import Answers
from gannetweir.core.attempts import Attempts
from gannetweir.core.commands import EndClient, Serve
from gannetweir.core.context import EngineContext
from gannetweir.core.decisions import Decisions
from gannetweir.core.reasons import Reason
from gannetweir.core.request_log import Step
from gannetweir.core.request_state import Transaction
from gannetweir.core.resumption import Resumption
from gannetweir.core.timers import Timer


class FlowEvents:
    """Follows each flow from its first line to its end."""

    def __init__(
        self,
        context: EngineContext,
        decisions: Decisions,
        attempts: Attempts,
        answers: Answers,
        resumption: Resumption,
    ) -> None:
        self.context, self.decisions = context, decisions
        self.attempts, self.answers, self.resumption = attempts, answers, resumption

    def sent(self, number: int, attempt: int, now_us: int) -> None:
        """The first line's last byte has been written."""
        self.context.now = now_us
        tx = self.context.flow_of(number, attempt)
        if tx is None:
            return
        tx.sent = True
        self.context.note(tx, Step.WRITTEN)
        if tx.cls.attempt_us and not tx.up and not tx.resumed:
            tx.flow_due_us = min(tx.flow_due_us, now_us + tx.cls.attempt_us)
            self.context.after(tx.flow_due_us - now_us, Timer.FLOW, number, attempt)

    def held_up(self, number: int, attempt: int, reason: str, now_us: int) -> None:
        """The attempt's connect could not be begun, by an error of this machine; it is tried again."""
        self.context.now = now_us
        self.context.counters.add("local_errors")
        tx = self.context.flow_of(number, attempt)
        if tx is not None and not tx.held_up:
            tx.held_up = True
            self.context.note(tx, Step.HELD_UP, reason)

    def under_way(self, number: int, attempt: int, now_us: int) -> None:
        """The attempt's connect has left this machine."""
        self.context.now = now_us
        tx = self.context.flow_of(number, attempt)
        if tx is not None:
            tx.held_up = False

    def up(self, number: int, attempt: int, now_us: int) -> bool:
        """The backend serves the connection. False if that comes too late."""
        context = self.context
        context.now = now_us
        tx = context.flow_of(number, attempt)
        if tx is None:
            return False
        tx.up = True
        self.attempts.settled(tx)
        if tx.path is not None and context.paths is not None:
            context.paths.answered(str(tx.server), tx.path, now_us)
        context.counters.add("served")
        context.note(tx, Step.SERVED)
        context.commands.append(Serve(number))
        if not tx.resumed:
            self.decisions.tell(i.Established(number, tx.attempt, tx.server, now_us - tx.sent_us))
        if context.closed or context.pool.is_out(tx.server):
            tx.leaving = Reason.DRAIN if context.closed else Reason.OPERATORS
            context.after(0, Timer.MOVE, number)
        return True

    def ended(
        self, number: int, attempt: int, status: int, report: tuple[float, ...], reset: bool, now_us: int
    ) -> None:
        """A flow came to its end by itself."""
        self.context.now = now_us
        tx = self.context.flow_of(number, attempt)
        if tx is None:
            return
        if tx.up:
            self.answers.forget(tx)
            self.context.note(tx, Step.CLOSED, Reason.BACKEND_RESET if reset else Reason.BACKEND_ENDED)
            self.context.commands.append(EndClient(number, reset))
            self.attempts.ended(tx, status, 1, report)
        elif tx.resumed:
            self.resumption.failed(tx, status)
        else:
            self.attempts.ended(tx, status, 0, report)

    def attempt_due(self, tx: Transaction, attempt: int) -> None:
        """An attempt's time may be up; it may also have been set anew since."""
        waits = tx.out and tx.attempt == attempt and not tx.up
        if waits and self.context.now >= tx.flow_due_us:
            self._late(tx)

    def connect_due(self, tx: Transaction, attempt: int) -> None:
        """A flow whose first line is not out by now never will be up."""
        waits = tx.out and tx.attempt == attempt and not tx.up
        if waits and not tx.sent:
            self._late(tx)

    def _late(self, tx: Transaction) -> None:
        """The time of an attempt is up: it is closed before anything else is sent."""
        status = i.TIMEOUT if tx.sent else i.CONNECT_FAILED
        self.attempts.drop(tx)
        if tx.resumed:
            self.resumption.failed(tx, status)
        else:  # what this machine could not begin is no fault of the backend's
            self.attempts.ended(tx, status, 0, fault=tx.held_up and not tx.sent)

    def drop_unsent(self, leaves: Callable[[Transaction], bool], fault: bool = False) -> None:
        """End the flows that would still be written to a backend which wants nothing new."""
        for tx in [tx for tx in self.context.transactions.values() if tx.out and not tx.sent and leaves(tx)]:
            self.attempts.drop(tx)
            if tx.resumed:
                self.resumption.failed(tx, i.CONNECT_FAILED)
            else:
                self.attempts.ended(tx, i.CONNECT_FAILED, 0, fault=fault)

    def load_told(self, number: int, load: float, now_us: int) -> None:
        """A backend says what a connection's load is now."""
        self.context.now = now_us
        tx = self.context.transactions.get(number)
        if tx is not None and tx.up and self.context.settings.tells_load:
            self.context.counters.add("load_notes")
            self.decisions.tell(i.Note(number, tx.attempt, tx.server, i.NOTE_LOAD, load))
