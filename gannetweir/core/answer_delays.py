"""How long backends take to answer lines: late answers are told to the module, silence ends a connection."""

from __future__ import annotations

from gannetweir.core.context import EngineContext
from gannetweir.core.final_answers import FinalAnswers
from gannetweir.core.placement_dispatcher import PlacementDispatcher
from gannetweir.core.reasons import Reason
from gannetweir.core.request_state import RequestState
from gannetweir.core.timers import Timer
from gannetweir.limits import Limits
from gannetweir.placement.events import AttemptStatus, ConnectionMetric, EndpointId, MetricKind
from gannetweir.placement.settings import Settings


class AnswerDelays:
    """Pairs a connection's lines with their answers, in order."""

    def __init__(self, context: EngineContext, decisions: PlacementDispatcher, answers: FinalAnswers) -> None:
        self.context, self.decisions, self.answers = context, decisions, answers
        self.requests = context.requests  # kept here, as every line asks for it
        self.reported_late_us: dict[
            EndpointId, int
        ] = {}  # backends with late answers, and when a note last said so
        self.configure(context.settings, context.limits)

    def configure(self, settings: Settings, limits: Limits) -> None:
        """Settings that hold from now on; kept here as well, for the same reason."""
        self.reports_delay, self.max_unanswered = settings.reports_message_delay, limits.unanswered_lines
        self.shortest_objective_ms = min(settings.message_latency_objectives_us, default=1e5) / 1000

    def client_line_forwarded(self, number: int, now_us: int) -> None:
        """A line of the client's has been passed on; its answer is waited for."""
        tx = self.requests.get(number)
        if tx is not None and len(tx.unanswered_since_us) < self.max_unanswered:
            tx.unanswered_since_us.append(now_us)

    def answer_line_received(self, number: int, now_us: int) -> None:
        """A line came that may answer one of the client's."""
        tx = self.requests.get(number)
        if tx is None or not tx.unanswered_since_us:
            return
        self.context.now_us = now_us
        self._report_delay(tx, (now_us - tx.unanswered_since_us.popleft()) / 1000)

    def _report_delay(self, tx: RequestState, delay_ms: float) -> None:
        """Late answers are told as the simulator tells them: once a second for a backend while they are over
        a third of the shortest aim, and once more when they are back under.
        """
        if not self.reports_delay:
            return
        last = self.reported_late_us.get(tx.endpoint_id)
        if delay_ms > self.shortest_objective_ms / 3:
            if last is not None and self.context.now_us - last < self.context.limits.delay_note_us:
                return
            self.reported_late_us[tx.endpoint_id] = self.context.now_us
        elif last is not None:
            del self.reported_late_us[tx.endpoint_id]
        else:
            return
        self.context.counters.add("delay_notes")
        self.decisions.dispatch(
            ConnectionMetric(tx.request_id, tx.attempt, tx.endpoint_id, MetricKind.MESSAGE_DELAY, delay_ms)
        )

    def watchdog_due(self) -> None:
        """A machine that vanished says nothing: only the answers that do not come show it."""
        self.context.set_timer(self.context.limits.watchdog_us, Timer.WATCHDOG)
        for tx in [t for t in self.requests.values() if t.established and t.unanswered_since_us]:
            waited = self.context.now_us - tx.unanswered_since_us[0]
            if waited > self.context.limits.answer_silence_us:
                self.context.counters.add("silent")
                self.answers.migrate_client(tx, AttemptStatus.RESET, Reason.ENDPOINT_SILENT)
            elif waited > self.context.limits.answer_late_us:
                # a message has taken so long already: the module can ask the backend before all are lost
                self._report_delay(tx, waited / 1000)
