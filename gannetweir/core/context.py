"""State shared by the components of one engine: configuration, current time, records and output."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gannetweir.core.commands import Command, WriteLogLine
from gannetweir.core.executed_requests import ExecutedRequests, SharedExecutions
from gannetweir.core.invariants import InvariantGuard, Violation
from gannetweir.core.reasons import Reason
from gannetweir.core.request_log import RequestEvent, RequestLog, RequestStep
from gannetweir.core.request_state import RequestState
from gannetweir.core.timers import Timer, TimerQueue
from gannetweir.limits import Limits
from gannetweir.membership.endpoint_list import EndpointList
from gannetweir.membership.operator_overrides import OperatorOverrides
from gannetweir.observability.counters import Counters
from gannetweir.placement.actions import Action
from gannetweir.placement.events import Event
from gannetweir.placement.settings import Settings

if TYPE_CHECKING:
    # Imported for type checking only: a relay without an operators' file does not load this code.
    from gannetweir.addresses.address_selector import AddressSelector
    from gannetweir.addresses.rules import AddressRules
    from gannetweir.routing.route_admission import RouteAdmission


MAX_LOGGED_STEPS = 8  # steps of a request in the log line of a violation, to keep the line readable


PlacementTrace = Callable[[int, Event, Sequence[Action]], None]


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """Optional parts of an engine; by default it has none of them."""

    operator_overrides: OperatorOverrides | None = None  # the overrides in force at the start
    replaces_process: bool = False  # another process of this relay still has clients, which reconnect here
    route_admission: RouteAdmission | None = None  # admission by the operators' routes
    address_rules: AddressRules | None = None  # the operators' rules for selecting an endpoint's address
    placement_trace: PlacementTrace | None = None  # called with each event for the balancer and its actions
    request_trace: Callable[[RequestEvent], None] | None = None  # called with each step of a request
    wall_clock_offset_us: int | None = None  # wall clock minus the engine's clock; None: no wall clock
    shared_executions: SharedExecutions | None = None  # those of the other processes of this relay


class EngineContext:
    """State that the components of one engine share by reference.

    Every call into the engine sets `now_us` first, and components read the time only from here. A reload
    replaces `settings`, `limits` and `route_admission`, so components read them at each use and do not cache
    them. State that only one component needs belongs to that component.
    """

    def __init__(self, settings: Settings, limits: Limits, now_us: int, options: EngineOptions) -> None:
        self.settings = settings
        self.limits = limits
        self.now_us = now_us  # time of the engine call in progress
        self.route_admission: RouteAdmission | None = options.route_admission  # None: no operators' routes
        self.address_selector: AddressSelector | None = None  # None while every endpoint has one address
        self.endpoint_list = EndpointList(options.operator_overrides, options.wall_clock_offset_us)
        self.counters = Counters()
        self.commands: deque[Command] = deque()  # drivers take commands from the left
        self.request_log = RequestLog(self.counters, options.request_trace)
        self.guard = InvariantGuard(self.endpoint_list, self._report_violation)
        self.timers = TimerQueue()
        self.executed_requests = ExecutedRequests(limits.max_executed_requests, options.shared_executions)
        self.requests: dict[int, RequestState] = {}  # by request id, until the request ends
        self.request_id_by_client_id: dict[str, int] = {}  # open requests by the client's id
        self.admission_closed = False  # set when a drain ends admission, and never reset

    def set_timer(self, wait_us: float, timer: Timer, value: int = 0, attempt: int = 0) -> None:
        """Set a timer. With a wait of zero or less it is due at the next `advance`."""
        self.timers.add(self.now_us + max(0, int(wait_us)), timer, value, attempt)

    def log(self, text: str, **fields: object) -> None:
        """Append the command to write a log line for the operators on call."""
        self.commands.append(WriteLogLine(text, fields))

    def record_step(self, request: RequestState, step: RequestStep, reason: Reason | str = "") -> None:
        """Record a step of a request in the request log."""
        self.request_log.add(
            self.now_us,
            request.request_id,
            request.client_request_id,
            step,
            request.attempt,
            request.endpoint_id,
            reason,
        )

    def request_with_attempt(self, request_id: int, attempt: int) -> RequestState | None:
        """Return the request if this attempt of it is still in flight, otherwise None: drivers may still
        report on attempts that have ended.
        """
        request = self.requests.get(request_id)
        if request is not None and request.attempt_in_flight and request.attempt == attempt:
            return request
        return None

    def _report_violation(self, violation: Violation) -> None:
        self.counters.add(f"violations.{violation.rule}")
        history = self.request_log.history(violation.request_id) if violation.request_id else []
        self.log(
            "invariant violated",
            rule=violation.rule,
            request=violation.request_id,
            id=history[0].client_request_id if history else "",
            reason=violation.detail,
            history=" ".join(map(str, history[-MAX_LOGGED_STEPS:])),
        )
