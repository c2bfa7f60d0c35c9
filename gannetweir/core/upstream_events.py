"""What the drivers tell of server-side flows, and what their due times bring."""

from __future__ import annotations

from collections.abc import Callable

from gannetweir.core.attempts import Attempts
from gannetweir.core.commands import EndClient, StartForwarding
from gannetweir.core.context import EngineContext
from gannetweir.core.final_answers import FinalAnswers
from gannetweir.core.placement_dispatcher import PlacementDispatcher
from gannetweir.core.reasons import Reason
from gannetweir.core.request_log import RequestStep
from gannetweir.core.request_state import RequestState
from gannetweir.core.resumption import Resumption
from gannetweir.core.timers import Timer
from gannetweir.placement.events import AttemptStatus, ConnectionEstablished, ConnectionMetric, MetricKind


class UpstreamEvents:
    """Follows each flow from its first line to its end."""

    def __init__(
        self,
        context: EngineContext,
        decisions: PlacementDispatcher,
        attempts: Attempts,
        answers: FinalAnswers,
        resumption: Resumption,
    ) -> None:
        self.context, self.decisions = context, decisions
        self.attempts, self.answers, self.resumption = attempts, answers, resumption

    def first_line_written(self, number: int, attempt: int, now_us: int) -> None:
        """The first line's last byte has been written."""
        self.context.now_us = now_us
        tx = self.context.request_with_attempt(number, attempt)
        if tx is None:
            return
        tx.first_line_written = True
        self.context.record_step(tx, RequestStep.WRITTEN)
        if tx.request_class.attempt_timeout_us and not tx.established and not tx.resumed:
            tx.attempt_deadline_us = min(tx.attempt_deadline_us, now_us + tx.request_class.attempt_timeout_us)
            self.context.set_timer(tx.attempt_deadline_us - now_us, Timer.ATTEMPT_TIMEOUT, number, attempt)

    def connect_delayed(self, number: int, attempt: int, reason: str, now_us: int) -> None:
        """The attempt's connect could not be begun, by an error of this machine; it is tried again."""
        self.context.now_us = now_us
        self.context.counters.add("local_errors")
        tx = self.context.request_with_attempt(number, attempt)
        if tx is not None and not tx.connect_delayed_locally:
            tx.connect_delayed_locally = True
            self.context.record_step(tx, RequestStep.CONNECT_DELAYED, reason)

    def connect_started(self, number: int, attempt: int, now_us: int) -> None:
        """The attempt's connect has left this machine."""
        self.context.now_us = now_us
        tx = self.context.request_with_attempt(number, attempt)
        if tx is not None:
            tx.connect_delayed_locally = False

    def established(self, number: int, attempt: int, now_us: int) -> bool:
        """The backend serves the connection. False if that comes too late."""
        context = self.context
        context.now_us = now_us
        tx = context.request_with_attempt(number, attempt)
        if tx is None:
            return False
        tx.established = True
        self.attempts.setup_finished(tx)
        if tx.address is not None and context.address_selector is not None:
            context.address_selector.record_response(str(tx.endpoint_id), tx.address, now_us)
        context.counters.add("served")
        context.record_step(tx, RequestStep.SERVED)
        context.commands.append(StartForwarding(number))
        if not tx.resumed:
            self.decisions.dispatch(
                ConnectionEstablished(number, tx.attempt, tx.endpoint_id, now_us - tx.attempt_started_us)
            )
        if context.admission_closed or context.endpoint_list.is_offline(tx.endpoint_id):
            tx.migration_reason = Reason.DRAIN if context.admission_closed else Reason.OPERATORS
            context.set_timer(0, Timer.MIGRATE, number)
        return True

    def ended(
        self, number: int, attempt: int, status: int, report: tuple[float, ...], reset: bool, now_us: int
    ) -> None:
        """A flow came to its end by itself."""
        self.context.now_us = now_us
        tx = self.context.request_with_attempt(number, attempt)
        if tx is None:
            return
        if tx.established:
            self.answers.remove_request(tx)
            self.context.record_step(
                tx, RequestStep.CLOSED, Reason.ENDPOINT_RESET if reset else Reason.ENDPOINT_ENDED
            )
            self.context.commands.append(EndClient(number, reset))
            self.attempts.ended(tx, status, 1, report)
        elif tx.resumed:
            self.resumption.attempt_failed(tx, status)
        else:
            self.attempts.ended(tx, status, 0, report)

    def attempt_timeout_due(self, tx: RequestState, attempt: int) -> None:
        """An attempt's time may be up; it may also have been set anew since."""
        waits = tx.attempt_in_flight and tx.attempt == attempt and not tx.established
        if waits and self.context.now_us >= tx.attempt_deadline_us:
            self._attempt_timed_out(tx)

    def connect_timeout_due(self, tx: RequestState, attempt: int) -> None:
        """A flow whose first line is not out by now never will be up."""
        waits = tx.attempt_in_flight and tx.attempt == attempt and not tx.established
        if waits and not tx.first_line_written:
            self._attempt_timed_out(tx)

    def _attempt_timed_out(self, tx: RequestState) -> None:
        """The time of an attempt is up: it is closed before anything else is sent."""
        status = AttemptStatus.TIMEOUT if tx.first_line_written else AttemptStatus.CONNECT_FAILED
        self.attempts.close(tx)
        if tx.resumed:
            self.resumption.attempt_failed(tx, status)
        else:  # what this machine could not begin is no fault of the backend's
            self.attempts.ended(tx, status, 0, fault=tx.connect_delayed_locally and not tx.first_line_written)

    def close_unsent(self, leaves: Callable[[RequestState], bool], fault: bool = False) -> None:
        """End the flows that would still be written to a backend which wants nothing new."""
        for tx in [
            tx
            for tx in self.context.requests.values()
            if tx.attempt_in_flight and not tx.first_line_written and leaves(tx)
        ]:
            self.attempts.close(tx)
            if tx.resumed:
                self.resumption.attempt_failed(tx, AttemptStatus.CONNECT_FAILED)
            else:
                self.attempts.ended(tx, AttemptStatus.CONNECT_FAILED, 0, fault=fault)

    def load_reported(self, number: int, load: float, now_us: int) -> None:
        """A backend says what a connection's load is now."""
        self.context.now_us = now_us
        tx = self.context.requests.get(number)
        if tx is not None and tx.established and self.context.settings.reports_connection_load:
            self.context.counters.add("load_notes")
            self.decisions.dispatch(
                ConnectionMetric(number, tx.attempt, tx.endpoint_id, MetricKind.LOAD, load)
            )
