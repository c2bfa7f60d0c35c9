"""How long backends take to answer lines: late answers are told to the module, silence ends a connection."""

from __future__ import annotations

from gannetweir import interface as i
from gannetweir.core.answers import Answers
from gannetweir.core.context import EngineContext
from gannetweir.core.decisions import Decisions
from gannetweir.core.reasons import Reason
from gannetweir.core.request_state import Transaction
from gannetweir.core.timers import Timer
from gannetweir.limits import Limits


class AnswerDelays:
    """Pairs a connection's lines with their answers, in order."""

    def __init__(self, context: EngineContext, decisions: Decisions, answers: Answers) -> None:
        self.context, self.decisions, self.answers = context, decisions, answers
        self.transactions = context.transactions  # kept here, as every line asks for it
        self.late: dict[i.ServerId, int] = {}  # backends with late answers, and when a note last said so
        self.configure(context.settings, context.limits)

    def configure(self, settings: i.Settings, limits: Limits) -> None:
        """Settings that hold from now on; kept here as well, for the same reason."""
        self.tells_delay, self.most_unanswered = settings.tells_delay, limits.unanswered_lines
        self.shortest_aim_ms = min(settings.message_aim_us, default=1e5) / 1000

    def client_line(self, number: int, now_us: int) -> None:
        """A line of the client's has been passed on; its answer is waited for."""
        tx = self.transactions.get(number)
        if tx is not None and len(tx.unanswered) < self.most_unanswered:
            tx.unanswered.append(now_us)

    def server_line(self, number: int, now_us: int) -> None:
        """A line came that may answer one of the client's."""
        tx = self.transactions.get(number)
        if tx is None or not tx.unanswered:
            return
        self.context.now = now_us
        self._note_delay(tx, (now_us - tx.unanswered.popleft()) / 1000)

    def _note_delay(self, tx: Transaction, delay_ms: float) -> None:
        """Late answers are told as the simulator tells them: once a second for a backend while they are over
        a third of the shortest aim, and once more when they are back under."""
        if not self.tells_delay:
            return
        last = self.late.get(tx.server)
        if delay_ms > self.shortest_aim_ms / 3:
            if last is not None and self.context.now - last < self.context.limits.delay_note_us:
                return
            self.late[tx.server] = self.context.now
        elif last is not None:
            del self.late[tx.server]
        else:
            return
        self.context.counters.add("delay_notes")
        self.decisions.tell(i.Note(tx.number, tx.attempt, tx.server, i.NOTE_DELAY, delay_ms))

    def watchdog_due(self) -> None:
        """A machine that vanished says nothing: only the answers that do not come show it."""
        self.context.after(self.context.limits.watchdog_us, Timer.WATCHDOG)
        for tx in [t for t in self.transactions.values() if t.up and t.unanswered]:
            waited = self.context.now - tx.unanswered[0]
            if waited > self.context.limits.answer_silence_us:
                self.context.counters.add("silent")
                self.answers.move(tx, i.RESET, Reason.BACKEND_SILENT)
            elif waited > self.context.limits.answer_late_us:
                # a message has taken so long already: the module can ask the backend before all are lost
                self._note_delay(tx, waited / 1000)
