"""Drivers' reports on upstream connections, and the expiry of the timeouts of attempts."""

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
    """Follows each attempt from its first line to its end. Reports on attempts that have ended are
    ignored.
    """

    def __init__(
        self,
        context: EngineContext,
        dispatcher: PlacementDispatcher,
        attempts: Attempts,
        final_answers: FinalAnswers,
        resumption: Resumption,
    ) -> None:
        self.context = context
        self.dispatcher = dispatcher
        self.attempts = attempts
        self.final_answers = final_answers
        self.resumption = resumption

    def may_write_first_line(self, request_id: int, attempt: int, now_us: int) -> bool:
        """Return whether the first byte of an attempt may be written now, and record that it is. A request
        that another process of this relay has executed meanwhile fails instead.
        """
        context = self.context
        context.now_us = now_us
        request = context.request_with_attempt(request_id, attempt)
        if request is None:
            return False
        if context.executed_requests.begin(request, now_us):
            return True
        context.counters.add("repeats_refused")
        self.final_answers.fail_and_notify(request, Reason.REPEATED_ID)
        return False

    def first_line_written(self, request_id: int, attempt: int, now_us: int) -> None:
        """Record that the last byte of the first line was written. The class's attempt timeout starts
        here.
        """
        self.context.now_us = now_us
        request = self.context.request_with_attempt(request_id, attempt)
        if request is None:
            return
        request.first_line_written = True
        self.context.record_step(request, RequestStep.WRITTEN)
        timeout_us = request.request_class.attempt_timeout_us
        if timeout_us and not request.established and not request.resumed:
            request.attempt_deadline_us = min(request.attempt_deadline_us, now_us + timeout_us)
            self.context.set_timer(
                request.attempt_deadline_us - now_us, Timer.ATTEMPT_TIMEOUT, request_id, attempt
            )

    def connect_delayed(self, request_id: int, attempt: int, reason: str, now_us: int) -> None:
        """Record that an error of this machine prevented the start of the connect; the driver retries it."""
        self.context.now_us = now_us
        self.context.counters.add("local_errors")
        request = self.context.request_with_attempt(request_id, attempt)
        if request is not None and not request.connect_delayed_locally:
            request.connect_delayed_locally = True
            self.context.record_step(request, RequestStep.CONNECT_DELAYED, reason)

    def connect_started(self, request_id: int, attempt: int, now_us: int) -> None:
        """Record that the connect was started, so that no local error delays the attempt any more."""
        self.context.now_us = now_us
        request = self.context.request_with_attempt(request_id, attempt)
        if request is not None:
            request.connect_delayed_locally = False

    def established(self, request_id: int, attempt: int, now_us: int) -> bool:
        """Establish the connection of a request that its endpoint serves. Return false if the attempt is no
        longer in flight.
        """
        context = self.context
        context.now_us = now_us
        request = context.request_with_attempt(request_id, attempt)
        if request is None:
            return False
        request.established = True
        self.attempts.setup_finished(request)
        if request.address is not None and context.address_selector is not None:
            context.address_selector.record_response(str(request.endpoint_id), request.address, now_us)
        context.counters.add("served")
        context.record_step(request, RequestStep.SERVED)
        context.commands.append(StartForwarding(request_id))
        if not request.resumed:
            elapsed_us = now_us - request.attempt_started_us
            self.dispatcher.dispatch(
                ConnectionEstablished(request_id, request.attempt, request.endpoint_id, elapsed_us)
            )
        self._migrate_if_unwanted(request)
        return True

    def _migrate_if_unwanted(self, request: RequestState) -> None:
        """Migrate a connection at once if it was established during a drain, or if its endpoint is now
        offline.
        """
        if self.context.admission_closed:
            request.migration_reason = Reason.DRAIN
        elif self.context.endpoint_list.is_offline(request.endpoint_id):
            request.migration_reason = Reason.OPERATORS
        else:
            return
        self.context.set_timer(0, Timer.MIGRATE, request.request_id)

    def ended(
        self,
        request_id: int,
        attempt: int,
        status: AttemptStatus,
        load_report: tuple[float, ...],
        reset: bool,
        now_us: int,
    ) -> None:
        """Handle the end of an upstream connection that the relay itself did not close."""
        self.context.now_us = now_us
        request = self.context.request_with_attempt(request_id, attempt)
        if request is None:
            return
        if request.established:
            self.final_answers.remove_request(request)
            reason = Reason.ENDPOINT_RESET if reset else Reason.ENDPOINT_ENDED
            self.context.record_step(request, RequestStep.CLOSED, reason)
            self.context.commands.append(EndClient(request_id, reset))
            self.attempts.request_ended(request, status, load_report)
        elif request.resumed:
            self.resumption.attempt_failed(request, status)
        else:
            self.attempts.attempt_ended(request, status, load_report)

    def attempt_timeout_due(self, request: RequestState, attempt: int) -> None:
        """End the attempt if its deadline has passed. `first_line_written` may have set an earlier deadline,
        with a timer of its own, since this timer was set.
        """
        if self._is_pending(request, attempt) and self.context.now_us >= request.attempt_deadline_us:
            self._attempt_timed_out(request)

    def connect_timeout_due(self, request: RequestState, attempt: int) -> None:
        """End the attempt if its first line is still not written: its connect has failed."""
        if self._is_pending(request, attempt) and not request.first_line_written:
            self._attempt_timed_out(request)

    def _is_pending(self, request: RequestState, attempt: int) -> bool:
        return request.attempt_in_flight and request.attempt == attempt and not request.established

    def _attempt_timed_out(self, request: RequestState) -> None:
        """Close the attempt before anything else is sent. A local delay is not counted as the endpoint's
        fault.
        """
        if request.first_line_written:
            self._close_failed(request, AttemptStatus.TIMEOUT, address_fault=False)
        else:
            self._close_failed(request, AttemptStatus.CONNECT_FAILED, request.connect_delayed_locally)

    def close_unsent(self, is_outdated: Callable[[RequestState], bool], address_fault: bool = False) -> None:
        """Close the attempts in flight whose first line is not yet written, and for which `is_outdated`
        returns true because their endpoint must not receive new requests.
        """
        unsent = [
            request
            for request in self.context.requests.values()
            if request.attempt_in_flight and not request.first_line_written and is_outdated(request)
        ]
        for request in unsent:
            self._close_failed(request, AttemptStatus.CONNECT_FAILED, address_fault)

    def _close_failed(self, request: RequestState, status: AttemptStatus, address_fault: bool) -> None:
        self.attempts.close(request)
        if request.resumed:
            self.resumption.attempt_failed(request, status)
        else:
            self.attempts.attempt_ended(request, status, address_fault=address_fault)

    def load_reported(self, request_id: int, load: float, now_us: int) -> None:
        """Pass an endpoint's load report on one connection to the balancer, if the settings enable such
        reports.
        """
        self.context.now_us = now_us
        request = self.context.requests.get(request_id)
        if request is not None and request.established and self.context.settings.reports_connection_load:
            self.context.counters.add("load_reports")
            self.dispatcher.dispatch(
                ConnectionMetric(request_id, request.attempt, request.endpoint_id, MetricKind.LOAD, load)
            )
