"""One relay's engine: protocol events in, commands out; the module decides, each concern has a module here.

Knows no sockets, no clock (the time is handed in) and no line syntax: another front can drive it as well.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from gannetweir.core.answer_delays import AnswerDelays
from gannetweir.core.attempts import Attempts
from gannetweir.core.context import EngineContext
from gannetweir.core.draining import Draining
from gannetweir.core.final_answers import FinalAnswers
from gannetweir.core.load_probes import LoadProbes
from gannetweir.core.membership_updates import MembershipUpdates
from gannetweir.core.operator_overrides import OverrideUpdates
from gannetweir.core.placement_dispatcher import PlacementDispatcher, PlacementTrace
from gannetweir.core.request_intake import RequestIntake
from gannetweir.core.request_log import RequestEvent
from gannetweir.core.request_state import RequestState
from gannetweir.core.resumption import Resumption
from gannetweir.core.timers import Timer
from gannetweir.core.upstream_events import UpstreamEvents
from gannetweir.limits import Limits
from gannetweir.membership.membership_update import MembershipUpdate
from gannetweir.membership.operator_overrides import OperatorOverrides
from gannetweir.placement.actions import (
    Action,
    FailRequest,
    MigrateConnection,
    ProbeLoad,
    RejectRequest,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
    WriteLog,
)
from gannetweir.placement.balancer import Balancer
from gannetweir.placement.events import TimerExpired, UpdateKind
from gannetweir.placement.settings import Settings

if TYPE_CHECKING:  # a relay without an operators' file does without the code for one
    from gannetweir.addresses.address_selector import AddressSelector
    from gannetweir.addresses.rules import AddressRules
    from gannetweir.routing.route_admission import RouteAdmission


class Engine:
    """All transactions of one relay. A call returns at once; what it leads to is appended to `commands`."""

    def __init__(
        self,
        settings: Settings,
        limits: Limits,
        seed: int,
        initial_membership: MembershipUpdate,
        now_us: int,
        operator_overrides: OperatorOverrides | None = None,
        replaces_process: bool = False,
        route_admission: RouteAdmission | None = None,
        address_rules: AddressRules | None = None,
        trace: PlacementTrace | None = None,
        request_trace: Callable[[RequestEvent], None] | None = None,
        wall_clock_ahead_us: int | None = None,
    ) -> None:
        self.context = EngineContext(
            settings, limits, route_admission, operator_overrides, now_us, request_trace, wall_clock_ahead_us
        )
        self.endpoint_list, self.counters = self.context.endpoint_list, self.context.counters
        self.guard = self.context.guard  # told by the drivers what they do on sockets
        self.commands = self.context.commands
        self.requests, self.request_id_by_client_id = (
            self.context.requests,
            self.context.request_id_by_client_id,
        )
        self.balancer = Balancer(settings, seed, now_us)
        if (
            not replaces_process
        ):  # those that return come from other relays, and may be counted nowhere any more
            self.balancer.start_us = 0
        self._wire(seed, trace)
        self.context.set_timer(limits.watchdog_us, Timer.WATCHDOG)
        if address_rules is not None:
            self.membership_updates.apply_address_rules(address_rules)
        self.membership_updates.apply(UpdateKind.CACHED, initial_membership)
        self.membership_updates.watch_if_pushed()

    def _wire(self, seed: int, trace: PlacementTrace | None) -> None:
        """Make the concerns; each knows those that it calls, and none knows the engine."""
        context = self.context
        self.placement_dispatcher = decisions = PlacementDispatcher(
            context,
            self.balancer,
            carry_out=lambda action: self._carry_out(action),  # both are looked up as they are needed
            fail=lambda number: self.final_answers.fail_unanswered(number),
            trace=trace,
        )
        self.attempts = attempts = Attempts(context, decisions)
        self.final_answers = answers = FinalAnswers(context, decisions, attempts)
        self.resumption = resumption = Resumption(context, decisions, attempts, answers)
        self.upstream_events = UpstreamEvents(context, decisions, attempts, answers, resumption)
        self.request_intake = RequestIntake(context, decisions, attempts, answers, resumption, seed)
        self.load_probes = LoadProbes(context, decisions)
        self.answer_delays = AnswerDelays(context, decisions, answers)
        self.draining = Draining(context, answers)
        self.membership_updates = MembershipUpdates(context, decisions, self.upstream_events, seed)
        self.override_updates = OverrideUpdates(context, decisions, self.upstream_events, self.draining)
        self._bind_calls()

    def _bind_calls(self) -> None:
        """The drivers' calls that one concern takes whole are its own methods: no line or request pays for a
        call in between. What each one does stands with the method.
        """
        self.request_opened = self.request_intake.request_opened
        self.client_disconnected = self.request_intake.client_disconnected
        self.client_line_forwarded = self.answer_delays.client_line_forwarded
        self.answer_line_received = self.answer_delays.answer_line_received
        self.address_connected = self.attempts.address_connected
        self.upstream_first_line_written = self.upstream_events.first_line_written
        self.upstream_connect_delayed = self.upstream_events.connect_delayed
        self.upstream_connect_started = self.upstream_events.connect_started
        self.upstream_established = self.upstream_events.established
        self.upstream_ended = self.upstream_events.ended
        self.connection_load_reported = self.upstream_events.load_reported
        self.load_probe_ended = self.load_probes.probe_ended
        self.endpoint_update_received = self.membership_updates.update_received
        self.endpoint_watch_failed = self.membership_updates.watch_failed
        self.apply_operator_overrides = self.override_updates.apply
        self.next_due = self.context.timers.next_due

    @property
    def last_request_id(self) -> int:
        """The number of the last transaction; 0 before the first."""
        return self.request_intake.last_request_id

    @property
    def trace(self) -> PlacementTrace | None:
        """What is told all that the module hears and answers, where that is asked for."""
        return self.placement_dispatcher.trace

    @property
    def limits(self) -> Limits:
        """The limits that hold now."""
        return self.context.limits

    @property
    def route_admission(self) -> RouteAdmission | None:
        """The operators' routes, where there are any."""
        return self.context.route_admission

    @property
    def address_selector(self) -> AddressSelector | None:
        """The ways to servers, where there are any to choose from."""
        return self.context.address_selector

    @property
    def admission_closed(self) -> bool:
        """Is nothing new taken any more?"""
        return self.context.admission_closed

    @admission_closed.setter
    def admission_closed(self, closed: bool) -> None:
        self.context.admission_closed = closed

    @property
    def drain_started_us(self) -> int:
        """When the drain began, in microseconds; 0: it has not."""
        return self.draining.started_us

    @drain_started_us.setter
    def drain_started_us(self, drain_us: int) -> None:
        self.draining.started_us = drain_us

    def reload(
        self,
        settings: Settings,
        limits: Limits,
        now_us: int,
        route_admission: RouteAdmission | None = None,
        address_rules: AddressRules | None = None,
    ) -> None:
        """A new configuration holds from now on. What stands goes on by its plan, but not past a lower cap on
        attempts, and what is due stays due. A keeper that stood before has taken the new rules already.
        """
        self.context.now_us = now_us
        self.context.route_admission = route_admission
        self.context.counters.add("reloads")
        asked = self.context.settings.polls_endpoint_list
        self.context.settings, self.context.limits = settings, limits
        self.answer_delays.configure(settings, limits)
        if asked:
            self.membership_updates.watch_if_pushed()  # if it is so from now on
        if address_rules is not None or self.context.address_selector is not None:
            self.membership_updates.apply_address_rules(address_rules)
        self.balancer.configure(settings)

    # ---- the module

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.context.set_timer(action.after_us, Timer.PLACEMENT, action.token)
        elif isinstance(action, StartAttempt):
            self.attempts.start(action)
        elif isinstance(action, RejectRequest):
            self.final_answers.reject_request(action.request_id, action.retry_after_us)
        elif isinstance(action, FailRequest):
            self.final_answers.fail_request(action.request_id)
        elif isinstance(action, MigrateConnection):
            self.final_answers.migrate_connection(action.request_id)
        elif isinstance(action, ProbeLoad):
            self.load_probes.start(action.endpoint_id)
        elif isinstance(action, WatchEndpoints):
            self.membership_updates.set_watch(bool(action.enabled))
        elif isinstance(action, WriteLog):
            self.context.log(action.text)

    # ---- time

    def advance(self, now_us: int) -> None:
        """Do all that is due."""
        for timer, value, attempt in self.context.timers.take_due(now_us):
            self.context.now_us = now_us
            if timer is Timer.PLACEMENT:
                self.placement_dispatcher.dispatch(TimerExpired(value))
            else:
                self._due(timer, value, attempt)

    def _due(self, timer: Timer, number: int, attempt: int) -> None:
        tx = self.requests.get(number)  # most timers of a transaction outlive it
        if tx is not None:
            self._transaction_due(timer, tx, attempt)
        elif timer is Timer.WATCHDOG:
            self.answer_delays.watchdog_due()
        elif timer is Timer.ADMISSION_END:
            self.draining.stop_admission()
        elif timer is Timer.EXIT:
            self._end()
        elif timer is Timer.ENDPOINT_WATCH:
            self.membership_updates.watch_timer_expired()

    def _transaction_due(self, timer: Timer, tx: RequestState, attempt: int) -> None:
        if timer is Timer.ATTEMPT_TIMEOUT:
            self.upstream_events.attempt_timeout_due(tx, attempt)
        elif timer is Timer.CONNECT_TIMEOUT:
            self.upstream_events.connect_timeout_due(tx, attempt)
        elif timer is Timer.FINAL_ANSWER:
            self.final_answers.deadline_passed(tx)
        elif timer is Timer.RESUMPTION_RETRY:
            self.resumption.retry(tx)
        elif timer is Timer.MIGRATE:
            self.draining.migration_due(tx)

    # ---- the end

    def is_ready(self) -> bool:
        """May the front send clients here?"""
        return self.endpoint_list.has_ready_endpoint() and not self.drain_started_us

    def drain(self, now_us: int, replaced: bool = False) -> None:
        """SIGTERM: go on as before while clients still come, then move every client, then end. Where another
        process takes the new clients already (`replaced`), the moves begin at once and have more time.
        """
        self.draining.start(now_us, replaced)

    def _end(self) -> None:
        self.draining.exit()

    def current_figures(self) -> dict[str, int]:
        """Figures of this moment, beside the counters."""
        up = sum(tx.established for tx in self.requests.values())
        held = self.route_admission.current_figures() if self.route_admission is not None else {}
        if self.address_selector is not None:
            held["paths.passed_over"] = self.address_selector.preferred_bypassed
        pending = len(self.requests) - up
        broken = self.guard.violations
        return {
            "open": up,
            "pending": pending,
            "pool_version": self.endpoint_list.version,
            "violations": broken,
            **held,
        }
