"""Attempts of a request at backends: what may start, what one's end says of its path and to the module."""

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
from gannetweir.placement.events import NOT_EXECUTED, AttemptEnded, AttemptStatus, EndpointId

if TYPE_CHECKING:  # a relay without several addresses a server does without the code for them
    from gannetweir.addresses.address import Address


class Attempts:
    """Opens and closes the flows of attempts; at most one of a request is out at a time."""

    def __init__(self, context: EngineContext, decisions: PlacementDispatcher) -> None:
        self.context, self.decisions = context, decisions

    def start(self, action: StartAttempt) -> None:
        """Start the attempt that the module asks for; one that may not leave ends as moot."""
        context = self.context
        tx = context.requests.get(action.request_id)
        if tx is None or tx.established:
            return
        attempt = tx.attempt + 1
        dial, now = context.endpoint_list.address_of(action.endpoint_id), context.now_us
        if (
            tx.attempt_in_flight
            or not dial
            or attempt >= self._max_attempts(tx)
            or tx.deadline_us <= now
            or not context.endpoint_list.accepts_requests(action.endpoint_id)
            or self._refused_by_route(tx, attempt, action.endpoint_id)
        ):
            # two flows at once, a backend that is not listed as ready or is out by hand, one attempt too
            # many: none may leave
            tx.attempt = attempt if not tx.attempt_in_flight else tx.attempt
            context.counters.add("attempts", AttemptStatus.NOT_STARTED)
            self.decisions.dispatch(
                AttemptEnded(tx.request_id, attempt, AttemptStatus.NOT_STARTED, 0, action.endpoint_id, 0)
            )
            return
        left = tx.deadline_us - now
        wait = min(left, action.timeout_us) if action.timeout_us > 0 else left
        self.open(tx, action.endpoint_id, dial, wait)

    def _max_attempts(self, tx: RequestState) -> int:
        most = self.context.settings.max_attempts
        return (
            self.context.route_admission.max_attempts_for(tx.request_class, most)
            if self.context.route_admission is not None
            else most
        )

    def _refused_by_route(self, tx: RequestState, attempt: int, server: EndpointId) -> bool:
        """Does the route's budget or limit forbid this attempt? The module then gives up at once."""
        if self.context.route_admission is None or tx.admission_permit is None:
            return False
        reason = self.context.route_admission.admit_attempt(
            tx.admission_permit, tx.request_class, server, attempt, self.context.now_us
        )
        if reason:
            self.context.counters.add(f"held_back.{reason}")
            self.context.log(
                "attempt held back",
                transaction=tx.request_id,
                attempt=attempt,
                backend=server,
                route=tx.request_class.route,
                cls=tx.request_class.name,
                reason=reason,
            )
        tx.counts_as_setup = not reason
        return bool(reason)

    def setup_finished(self, tx: RequestState) -> None:
        """The attempt is no set-up any more."""
        if tx.counts_as_setup:
            tx.counts_as_setup = False
            if self.context.route_admission is not None:
                self.context.route_admission.setup_finished(tx.endpoint_id)

    def open(self, tx: RequestState, server: EndpointId, dial: str, wait: int) -> None:
        """Open the flow of the next attempt, which has `wait` microseconds."""
        context = self.context
        now = context.now_us
        tx.attempt, tx.endpoint_id, tx.attempt_in_flight, tx.first_line_written, tx.attempt_started_us = (
            tx.attempt + 1,
            server,
            True,
            False,
            now,
        )
        tx.connect_delayed_locally = False
        tx.endpoint_started_us = context.endpoint_list.started_us(server)
        tx.address, chosen = (
            None,
            context.address_selector is not None and context.address_selector.selects_address(str(server)),
        )
        context.commands.append(OpenUpstream(tx.request_id, tx.attempt, dial, wait, server, chosen))
        first = not tx.last_status
        context.record_step(
            tx,
            RequestStep.ATTEMPT if first else RequestStep.RETRIED,
            "" if first else reason_after(tx.last_status),
        )
        connect = context.limits.connect_us
        if not tx.resumed:
            connect = tx.request_class.connect_timeout_us or connect
            if tx.request_class.attempt_timeout_us:  # that counts from the first line's last byte
                wait = min(tx.deadline_us - now, connect + wait)
        tx.attempt_deadline_us = now + wait
        context.set_timer(wait, Timer.ATTEMPT_TIMEOUT, tx.request_id, tx.attempt)
        context.set_timer(connect, Timer.CONNECT_TIMEOUT, tx.request_id, tx.attempt)
        context.counters.add("flows")

    def close(self, tx: RequestState) -> None:
        """Close the flow that is out, if one is."""
        if tx.attempt_in_flight:
            tx.attempt_in_flight = False
            self.context.commands.append(CloseUpstream(tx.request_id, tx.attempt))

    def ended(
        self,
        tx: RequestState,
        status: int,
        closed: int,
        report: tuple[float, ...] = (),
        fault: bool = False,
    ) -> None:
        """Tell the module how an attempt ended (`closed` 0), or the connection that it became (1). `fault`:
        the way to the server is to blame.
        """
        tx.attempt_in_flight, tx.may_have_executed, tx.last_status = (
            False,
            tx.may_have_executed or status not in NOT_EXECUTED,
            status,
        )
        self.context.record_step(tx, RequestStep.ATTEMPT_ENDED, outcome_name(status))
        self.setup_finished(tx)
        if tx.address is not None:
            fault = self._record_address_outcome(tx, status)
        self.context.counters.add("connections" if tx.established else "attempts", status)
        attempt, elapsed = max(0, tx.attempt), self.context.now_us - tx.attempt_started_us
        self.decisions.dispatch(
            AttemptEnded(tx.request_id, attempt, status, closed, tx.endpoint_id, elapsed, report, fault)
        )

    def _record_address_outcome(self, tx: RequestState, status: int) -> bool:
        """What an attempt's end says of its path. Is that to blame, and not the server?"""
        assert self.context.address_selector is not None and tx.address is not None
        server, path, tx.address = str(tx.endpoint_id), tx.address, None
        if status in (AttemptStatus.TIMEOUT, AttemptStatus.RESET):
            fault = self.context.address_selector.record_no_response(server, path, self.context.now_us)
            if fault:
                self.context.counters.add("path_faults")
                self.context.log(
                    "path failed",
                    transaction=tx.request_id,
                    attempt=tx.attempt,
                    backend=server,
                    path=path,
                    reason="no answer" if status == AttemptStatus.TIMEOUT else "reset",
                )
            return fault
        if status in (AttemptStatus.OK, AttemptStatus.ERROR, AttemptStatus.FULL):
            self.context.address_selector.record_response(server, path, self.context.now_us)
        return False

    def address_connected(self, number: int, attempt: int, path: Address, now_us: int) -> None:
        """Of a server's addresses this one carries the attempt."""
        self.context.now_us = now_us
        tx = self.context.request_with_attempt(number, attempt)
        if tx is not None:
            tx.address = path
            self.context.counters.add(f"paths.{path.family}")
