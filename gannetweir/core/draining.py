"""The end of a relay: clients are moved over a time, then the process may exit."""

from __future__ import annotations

from gannetweir.core.commands import Exit
from gannetweir.core.context import EngineContext
from gannetweir.core.final_answers import FinalAnswers
from gannetweir.core.reasons import Reason
from gannetweir.core.request_state import RequestState
from gannetweir.core.timers import Timer
from gannetweir.placement.events import AttemptStatus


class Draining:
    """Moves clients away: those of the whole relay, or of backends that the operators have left out."""

    def __init__(self, context: EngineContext, answers: FinalAnswers) -> None:
        self.context, self.answers = context, answers
        self.started_us = 0  # when the drain began

    def start(self, now_us: int, replaced: bool = False) -> None:
        """SIGTERM: go on as before while clients still come, then move every client, then end. Where another
        process takes the new clients already (`replaced`), the moves begin at once and have more time.
        """
        if self.started_us:
            return
        self.context.now_us = self.started_us = now_us
        self.context.set_timer(self.context.limits.drain_us, Timer.ADMISSION_END)
        self.context.set_timer(self.context.limits.drain_end_us, Timer.EXIT)
        if replaced:
            limits = self.context.limits
            self.migrate_over(
                self._connections_to_migrate(), limits.drain_us + limits.drain_moves_us, Reason.DRAIN
            )

    def stop_admission(self) -> None:
        """The front has stopped sending: nothing new is taken, and every client is moved."""
        self.context.admission_closed = True
        self.migrate_over(self._connections_to_migrate(), self.context.limits.drain_moves_us, Reason.DRAIN)
        self._exit_if_empty()

    def _connections_to_migrate(self) -> list[RequestState]:
        return [tx for tx in self.context.requests.values() if tx.established and not tx.migration_reason]

    def migrate_over(self, leaving: list[RequestState], time_us: int, reason: Reason) -> None:
        """Spread the moves: clients that come back all at once would be set up all at once."""
        step = time_us / max(1, len(leaving))
        for place, tx in enumerate(leaving):
            tx.migration_reason = reason
            self.context.set_timer(int(step * place), Timer.MIGRATE, tx.request_id)

    def migration_due(self, tx: RequestState) -> None:
        """The time of one client's move has come."""
        if tx.established:
            self.answers.migrate_client(tx, AttemptStatus.CANCELLED, tx.migration_reason or Reason.DRAIN)
            self._exit_if_empty()

    def _exit_if_empty(self) -> None:
        if (
            self.context.admission_closed and not self.context.requests
        ):  # the front may send some more all the same
            self.context.set_timer(self.context.limits.linger_us, Timer.EXIT)

    def exit(self) -> None:
        """The drain's time is up: move or reject all that is left, and exit."""
        # with the shortest deadlines this comes before the front has stopped sending
        self.context.admission_closed = True
        for tx in list(self.context.requests.values()):
            if tx.established:
                self.answers.migrate_client(tx, AttemptStatus.CANCELLED, Reason.DRAIN_TIME_OVER)
            else:
                self.answers.reject(tx, self.context.limits.reject_retry_us, Reason.DRAIN_TIME_OVER)
        self.context.commands.append(Exit())
