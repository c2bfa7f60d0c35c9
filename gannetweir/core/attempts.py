"""Attempts of requests at endpoints: whether one may start, its timeouts, and the report of its outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gannetweir.core.commands import CloseUpstream, OpenUpstream
from gannetweir.core.context import EngineContext
from gannetweir.core.placement_dispatcher import PlacementDispatcher
from gannetweir.core.reasons import reason_after
from gannetweir.core.request_log import RequestStep, outcome_name
from gannetweir.core.request_state import RequestState
from gannetweir.core.timers import Timer
from gannetweir.placement.actions import StartAttempt
from gannetweir.placement.events import AttemptEnded, AttemptStatus, EndpointId

if TYPE_CHECKING:
    # Imported for type checking only: a relay whose endpoints have one address each does not load this code.
    from gannetweir.addresses.address import Address


class Attempts:
    """Opens and closes the upstream connections of attempts. A request has at most one attempt in flight."""

    def __init__(self, context: EngineContext, dispatcher: PlacementDispatcher) -> None:
        self.context = context
        self.dispatcher = dispatcher

    def start(self, action: StartAttempt) -> None:
        """Start the attempt that the balancer requested; one that may not start ends as `NOT_STARTED`."""
        context = self.context
        request = context.requests.get(action.request_id)
        if request is None or request.established:
            return
        attempt = request.attempt + 1
        address = context.endpoint_list.address_of(action.endpoint_id)
        if not address or not self._may_start(request, attempt, action.endpoint_id):
            request.skip_attempt()
            context.counters.add("attempts", AttemptStatus.NOT_STARTED)
            self.dispatcher.dispatch(
                AttemptEnded(request.request_id, attempt, AttemptStatus.NOT_STARTED, 0, action.endpoint_id, 0)
            )
            return
        timeout_us = request.deadline_us - context.now_us
        if action.timeout_us > 0:
            timeout_us = min(timeout_us, action.timeout_us)
        self.open(request, action.endpoint_id, address, timeout_us)

    def _may_start(self, request: RequestState, attempt: int, endpoint_id: EndpointId) -> bool:
        """Return whether the attempt may start. The route comes last, as its limits count what they admit."""
        return (
            not request.attempt_in_flight
            and attempt < self._max_attempts(request)
            and request.deadline_us > self.context.now_us
            and self.context.endpoint_list.accepts_requests(endpoint_id)
            and not self._refused_by_route(request, attempt, endpoint_id)
        )

    def _max_attempts(self, request: RequestState) -> int:
        max_attempts = self.context.settings.max_attempts
        route_admission = self.context.route_admission
        if route_admission is None:
            return max_attempts
        return route_admission.max_attempts_for(request.request_class, max_attempts)

    def _refused_by_route(self, request: RequestState, attempt: int, endpoint_id: EndpointId) -> bool:
        """Return whether the route's retry budget or a limit forbids this attempt. If so, the balancer makes
        no further attempt.
        """
        route_admission = self.context.route_admission
        if route_admission is None or request.admission_permit is None:
            return False
        reason = route_admission.admit_attempt(
            request.admission_permit, request.request_class, endpoint_id, attempt, self.context.now_us
        )
        request.counts_as_setup = not reason
        if not reason:
            return False
        self.context.counters.add(f"attempts_blocked.{reason}")
        self.context.log(
            "attempt blocked",
            request=request.request_id,
            attempt=attempt,
            backend=endpoint_id,
            route=request.request_class.route,
            cls=request.request_class.name,
            reason=reason,
        )
        return True

    def setup_finished(self, request: RequestState) -> None:
        """Release the attempt's slot among the endpoint's set-ups, if it has one."""
        if request.counts_as_setup:
            request.counts_as_setup = False
            if self.context.route_admission is not None:
                self.context.route_admission.setup_finished(request.endpoint_id)

    def open(self, request: RequestState, endpoint_id: EndpointId, address: str, timeout_us: int) -> None:
        """Start the next attempt: open its upstream connection, and set its timeouts."""
        context = self.context
        request.begin_attempt(endpoint_id, context.endpoint_list.started_us(endpoint_id), context.now_us)
        selector = context.address_selector
        races_addresses = selector is not None and selector.selects_address(str(endpoint_id))
        context.commands.append(
            OpenUpstream(
                request.request_id, request.attempt, address, timeout_us, endpoint_id, races_addresses
            )
        )
        if request.last_status:
            context.record_step(request, RequestStep.RETRIED, reason_after(request.last_status))
        else:
            context.record_step(request, RequestStep.ATTEMPT)
        self._set_timeouts(request, timeout_us)
        context.counters.add("attempts_started")

    def _set_timeouts(self, request: RequestState, timeout_us: int) -> None:
        """Set the timeouts of the attempt. A class's own attempt timeout counts from the last byte of the
        first line, so the connect timeout is added to it here, and the deadline is set again once that byte
        was written.
        """
        context = self.context
        connect_us = context.limits.connect_timeout_us
        if not request.resumed:
            connect_us = request.request_class.connect_timeout_us or connect_us
            if request.request_class.attempt_timeout_us:
                timeout_us = min(request.deadline_us - context.now_us, connect_us + timeout_us)
        request.attempt_deadline_us = context.now_us + timeout_us
        context.set_timer(timeout_us, Timer.ATTEMPT_TIMEOUT, request.request_id, request.attempt)
        context.set_timer(connect_us, Timer.CONNECT_TIMEOUT, request.request_id, request.attempt)

    def close(self, request: RequestState) -> None:
        """Close the upstream connection of the attempt in flight, if there is one."""
        if request.attempt_in_flight:
            request.attempt_in_flight = False
            self.context.commands.append(CloseUpstream(request.request_id, request.attempt))

    def attempt_ended(
        self,
        request: RequestState,
        status: AttemptStatus,
        load_report: tuple[float, ...] = (),
        address_fault: bool = False,
    ) -> None:
        """Report the outcome of an attempt to the balancer, which decides what happens to the request.

        `address_fault` means that the path to the endpoint failed, not the endpoint.
        """
        self._report_end(request, status, 0, load_report, address_fault)

    def request_ended(
        self, request: RequestState, status: AttemptStatus, load_report: tuple[float, ...] = ()
    ) -> None:
        """Report to the balancer that a request's latest attempt, or its connection, has finally ended."""
        self._report_end(request, status, 1, load_report, address_fault=False)

    def _report_end(
        self,
        request: RequestState,
        status: AttemptStatus,
        closed: int,
        load_report: tuple[float, ...],
        address_fault: bool,
    ) -> None:
        request.end_attempt(status)
        self.context.record_step(request, RequestStep.ATTEMPT_ENDED, outcome_name(status))
        self.setup_finished(request)
        if request.address is not None:
            address_fault = self._record_address_outcome(request, request.address, status)
        self.context.counters.add("connections" if request.established else "attempts", status)
        elapsed_us = self.context.now_us - request.attempt_started_us
        self.dispatcher.dispatch(
            AttemptEnded(
                request.request_id,
                max(0, request.attempt),
                status,
                closed,
                request.endpoint_id,
                elapsed_us,
                load_report,
                address_fault,
            )
        )

    def _record_address_outcome(self, request: RequestState, address: Address, status: AttemptStatus) -> bool:
        """Record the outcome of an attempt for its address. Return whether the address is at fault."""
        selector = self.context.address_selector
        assert selector is not None, "an attempt has an address only if an endpoint has several"
        request.address = None
        endpoint_id = str(request.endpoint_id)
        if status in (AttemptStatus.TIMEOUT, AttemptStatus.RESET):
            address_fault = selector.record_no_response(endpoint_id, address, self.context.now_us)
            if address_fault:
                self._log_address_fault(request, address, status)
            return address_fault
        if status in (AttemptStatus.OK, AttemptStatus.ERROR, AttemptStatus.FULL):
            selector.record_response(endpoint_id, address, self.context.now_us)
        return False

    def _log_address_fault(self, request: RequestState, address: Address, status: AttemptStatus) -> None:
        self.context.counters.add("address_faults")
        self.context.log(
            "address failed",
            request=request.request_id,
            attempt=request.attempt,
            backend=str(request.endpoint_id),
            address=address,
            reason="no answer" if status == AttemptStatus.TIMEOUT else "reset",
        )

    def address_connected(self, request_id: int, attempt: int, address: Address, now_us: int) -> None:
        """Record which of the endpoint's addresses carries the attempt."""
        self.context.now_us = now_us
        request = self.context.request_with_attempt(request_id, attempt)
        if request is not None:
            request.address = address
            self.context.counters.add(f"addresses.{address.family}")
