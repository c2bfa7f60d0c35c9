"""Latency of answers on open connections. Late answers are reported; a missing answer ends the connection."""

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

_US_PER_MS = 1000
# An answer is late after a third of the shortest latency objective, as in the simulator.
_DELAY_THRESHOLD_DIVISOR = 3
_DEFAULT_OBJECTIVE_US = 100_000  # used if the settings have no latency objective


class AnswerDelays:
    """Pairs the lines that a connection's client sends with the endpoint's answers, in order.

    Two calls are made for each read that is forwarded, so `configure` caches the values that they need.
    """

    def __init__(
        self, context: EngineContext, dispatcher: PlacementDispatcher, final_answers: FinalAnswers
    ) -> None:
        self.context = context
        self.dispatcher = dispatcher
        self.final_answers = final_answers
        self._requests = context.requests
        self._reported_us: dict[EndpointId, int] = {}  # time of the last report, while answers are late
        self.configure(context.settings, context.limits)

    def configure(self, settings: Settings, limits: Limits) -> None:
        """Cache the values of the settings and limits that apply from now on."""
        objective_us = min(settings.message_latency_objectives_us, default=_DEFAULT_OBJECTIVE_US)
        self._delay_threshold_ms = objective_us / _US_PER_MS / _DELAY_THRESHOLD_DIVISOR
        self._reports_delay = settings.reports_message_delay
        self._max_unanswered = limits.max_unanswered_lines

    def client_lines_forwarded(self, request_id: int, count: int, now_us: int) -> None:
        """Record that this number of forwarded lines of the client await an answer."""
        request = self._requests.get(request_id)
        if request is not None:
            unrecorded_count = self._max_unanswered - len(request.unanswered_since_us)
            request.unanswered_since_us.extend([now_us] * min(count, unrecorded_count))

    def answer_lines_received(self, request_id: int, count: int, now_us: int) -> None:
        """Take lines from the endpoint as the answers to the oldest lines that have none."""
        request = self._requests.get(request_id)
        if request is None:
            return
        self.context.now_us = now_us
        for _ in range(min(count, len(request.unanswered_since_us))):
            delay_us = now_us - request.unanswered_since_us.popleft()
            self._report_delay(request, delay_us / _US_PER_MS)

    def _report_delay(self, request: RequestState, delay_ms: float) -> None:
        """Report late answers to the balancer, as the simulator does: for each endpoint at most once per
        `limits.delay_report_interval_us` while its answers are late, and once more when they are in time
        again.
        """
        if not self._reports_delay:
            return
        endpoint_id = request.endpoint_id
        now_us = self.context.now_us
        reported_us = self._reported_us.get(endpoint_id)
        if delay_ms > self._delay_threshold_ms:
            if (
                reported_us is not None
                and now_us - reported_us < self.context.limits.delay_report_interval_us
            ):
                return
            self._reported_us[endpoint_id] = now_us
        elif reported_us is not None:
            del self._reported_us[endpoint_id]
        else:
            return
        self.context.counters.add("delay_reports")
        self.dispatcher.dispatch(
            ConnectionMetric(
                request.request_id, request.attempt, endpoint_id, MetricKind.MESSAGE_DELAY, delay_ms
            )
        )

    def watchdog_due(self) -> None:
        """Check for overdue answers, the only sign of an endpoint's machine that has vanished."""
        limits = self.context.limits
        self.context.set_timer(limits.watchdog_interval_us, Timer.WATCHDOG)
        awaiting = [
            request
            for request in self._requests.values()
            if request.established and request.unanswered_since_us
        ]
        for request in awaiting:
            waited_us = self.context.now_us - request.unanswered_since_us[0]
            if waited_us > limits.answer_timeout_us:
                self.context.counters.add("answer_timeouts")
                self.final_answers.migrate_client(request, AttemptStatus.RESET, Reason.ENDPOINT_SILENT)
            elif waited_us > limits.slow_answer_us:
                # This report comes early enough for the balancer to check the endpoint's health before all
                # answers are lost.
                self._report_delay(request, waited_us / _US_PER_MS)
