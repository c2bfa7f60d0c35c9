"""What all concerns of one engine share: its configuration, its clock value, its records and its output."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from gannetweir.core.commands import Command, WriteLogLine
from gannetweir.core.invariants import InvariantGuard, Violation
from gannetweir.core.reasons import Reason
from gannetweir.core.request_log import RequestEvent, RequestLog, RequestStep
from gannetweir.core.request_state import RequestState
from gannetweir.core.timers import Timer, TimerQueue
from gannetweir.limits import Limits
from gannetweir.membership.endpoint_list import EndpointList
from gannetweir.membership.operator_overrides import OperatorOverrides
from gannetweir.observability.counters import Counters
from gannetweir.placement.settings import Settings

if TYPE_CHECKING:  # a relay without an operators' file does without the code for one
    from gannetweir.addresses.address_selector import AddressSelector
    from gannetweir.routing.route_admission import RouteAdmission


MAX_LOGGED_STEPS = 8  # steps of a request that the log line of a violation tells


class EngineContext:
    """Shared by reference; a concern keeps to itself what no other one needs."""

    def __init__(
        self,
        settings: Settings,
        limits: Limits,
        route_admission: RouteAdmission | None,
        operator_overrides: OperatorOverrides | None,
        now_us: int,
        request_trace: Callable[[RequestEvent], None] | None = None,
        wall_clock_ahead_us: int | None = None,
    ) -> None:
        self.settings, self.limits = settings, limits
        self.now_us = now_us  # of the call that is being handled, in microseconds
        self.route_admission = (
            route_admission  # of the operators' routes; none: one timing for all, as the module has it
        )
        self.address_selector: AddressSelector | None = (
            None  # the ways to servers, where there are any to choose from
        )
        self.endpoint_list, self.counters = EndpointList(operator_overrides, wall_clock_ahead_us), Counters()
        self.commands: deque[Command] = deque()
        self.request_log = RequestLog(self.counters, request_trace)
        self.guard = InvariantGuard(self.endpoint_list, self._report_violation)
        self.timers = TimerQueue()
        self.requests: dict[int, RequestState] = {}
        self.request_id_by_client_id: dict[str, int] = {}  # of those, by the client's id
        self.admission_closed = False  # nothing new is taken any more

    def set_timer(self, wait_us: float, timer: Timer, value: int = 0, attempt: int = 0) -> None:
        """Set a timer; a wait that is not positive falls due at the next `advance`."""
        self.timers.add(self.now_us + max(0, int(wait_us)), timer, value, attempt)

    def log(self, text: str, **about: object) -> None:
        """Command a line for the people on call."""
        self.commands.append(WriteLogLine(text, about))

    def record_step(self, tx: RequestState, step: RequestStep, reason: Reason | str = "") -> None:
        """Record a step of a request."""
        self.request_log.add(
            self.now_us, tx.request_id, tx.client_request_id, step, tx.attempt, tx.endpoint_id, reason
        )

    def _report_violation(self, violation: Violation) -> None:
        self.counters.add(f"violations.{violation.rule}")
        history = self.request_log.history(violation.request_id) if violation.request_id else []
        self.log(
            "invariant violated",
            rule=violation.rule,
            transaction=violation.request_id,
            id=history[0].client_request_id if history else "",
            reason=violation.detail,
            history=" ".join(map(str, history[-MAX_LOGGED_STEPS:])),
        )

    def request_with_attempt(self, number: int, attempt: int) -> RequestState | None:
        """The transaction, if this flow is still its flow; news of a closed one is too late."""
        tx = self.requests.get(number)
        return tx if tx is not None and tx.attempt_in_flight and tx.attempt == attempt else None
