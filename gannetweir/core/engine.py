"""The engine of one relay: protocol events in, commands out. Each component of the engine is a module of its
own.

The engine uses no sockets, no clock (callers pass in the time) and no line syntax, so that its drivers can be
replaced.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from gannetweir.core.answer_delays import AnswerDelays
from gannetweir.core.attempts import Attempts
from gannetweir.core.context import EngineContext, EngineOptions, PlacementTrace
from gannetweir.core.draining import Draining
from gannetweir.core.final_answers import FinalAnswers
from gannetweir.core.load_probes import LoadProbes
from gannetweir.core.membership_updates import MembershipUpdates
from gannetweir.core.operator_overrides import OverrideUpdates
from gannetweir.core.placement_actions import PlacementActions
from gannetweir.core.placement_dispatcher import PlacementDispatcher
from gannetweir.core.request_intake import RequestIntake
from gannetweir.core.request_state import RequestState
from gannetweir.core.resumption import Resumption
from gannetweir.core.timers import Timer
from gannetweir.core.upstream_events import UpstreamEvents
from gannetweir.limits import Limits
from gannetweir.membership.membership_update import MembershipUpdate
from gannetweir.placement.balancer import Balancer
from gannetweir.placement.events import TimerExpired, UpdateKind
from gannetweir.placement.settings import Settings

if TYPE_CHECKING:
    # Imported for type checking only: a relay without an operators' file does not load this code.
    from gannetweir.addresses.address_selector import AddressSelector
    from gannetweir.addresses.rules import AddressRules
    from gannetweir.routing.route_admission import RouteAdmission


class Engine:
    """All requests of one relay. A call never blocks, and appends the commands that result from it to
    `commands`.

    Drivers call the engine from one thread. They take commands from the left of `commands` and execute them
    in that order, call `advance` at `next_due`, and report to `guard` what they do on sockets.
    """

    def __init__(
        self,
        settings: Settings,
        limits: Limits,
        seed: int,
        initial_membership: MembershipUpdate,
        now_us: int,
        options: EngineOptions | None = None,
    ) -> None:
        options = options or EngineOptions()
        self.context = EngineContext(settings, limits, now_us, options)
        self.endpoint_list = self.context.endpoint_list
        self.counters = self.context.counters
        self.guard = self.context.guard
        self.commands = self.context.commands
        self.requests = self.context.requests
        self.balancer = Balancer(settings, seed, now_us)
        if not options.replaces_process:
            # Clients that reconnect come from other relays, so no load report is assumed to still count their
            # previous connections.
            self.balancer.expect_no_returns()
        self._create_components(seed, options.placement_trace)
        self._bind_driver_calls()
        self.context.set_timer(limits.watchdog_interval_us, Timer.WATCHDOG)
        if options.address_rules is not None:
            self.membership_updates.apply_address_rules(options.address_rules)
        self.membership_updates.apply(UpdateKind.CACHED, initial_membership)
        self.membership_updates.watch_if_pushed()

    def _create_components(self, seed: int, trace: PlacementTrace | None) -> None:
        """Create the components, each after the ones that it calls. No component refers to the engine."""
        context = self.context
        self.dispatcher = PlacementDispatcher(context, self.balancer, trace)
        self.attempts = Attempts(context, self.dispatcher)
        self.final_answers = FinalAnswers(context, self.dispatcher, self.attempts)
        self.resumption = Resumption(context, self.dispatcher, self.attempts, self.final_answers)
        self.upstream_events = UpstreamEvents(
            context, self.dispatcher, self.attempts, self.final_answers, self.resumption
        )
        self.request_intake = RequestIntake(
            context, self.dispatcher, self.attempts, self.final_answers, self.resumption, seed
        )
        self.load_probes = LoadProbes(context, self.dispatcher)
        self.answer_delays = AnswerDelays(context, self.dispatcher, self.final_answers)
        self.draining = Draining(context, self.final_answers)
        self.membership_updates = MembershipUpdates(context, self.dispatcher, self.upstream_events, seed)
        self.override_updates = OverrideUpdates(context, self.dispatcher, self.upstream_events, self.draining)
        self.placement_actions = PlacementActions(
            context, self.attempts, self.final_answers, self.load_probes, self.membership_updates
        )
        self.dispatcher.connect(self.placement_actions)

    def _bind_driver_calls(self) -> None:
        """Bind each driver call that a single component handles to that component's method, where it is
        documented. This saves one function call per read and per request.
        """
        self.request_opened = self.request_intake.request_opened
        self.client_disconnected = self.request_intake.client_disconnected
        self.client_lines_forwarded = self.answer_delays.client_lines_forwarded
        self.answer_lines_received = self.answer_delays.answer_lines_received
        self.address_connected = self.attempts.address_connected
        self.may_write_first_line = self.upstream_events.may_write_first_line
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
        self.drain = self.draining.start
        self.next_due = self.context.timers.next_due

    @property
    def last_request_id(self) -> int:
        """The id of the latest request; 0 before the first."""
        return self.request_intake.last_request_id

    @property
    def limits(self) -> Limits:
        """The limits that are in force."""
        return self.context.limits

    @property
    def route_admission(self) -> RouteAdmission | None:
        """Admission by the operators' routes; None without routes."""
        return self.context.route_admission

    @property
    def address_selector(self) -> AddressSelector | None:
        """The selection among an endpoint's addresses; None while every endpoint has one address."""
        return self.context.address_selector

    @property
    def is_draining(self) -> bool:
        """Whether graceful shutdown has started."""
        return self.draining.started

    def is_ready(self) -> bool:
        """Return whether clients can be served: an endpoint is ready, and the relay is not draining."""
        return self.endpoint_list.has_ready_endpoint() and not self.is_draining

    def reload(
        self,
        settings: Settings,
        limits: Limits,
        now_us: int,
        route_admission: RouteAdmission | None = None,
        address_rules: AddressRules | None = None,
    ) -> None:
        """Apply a new configuration from now on. Open requests and pending timers continue, but with no more
        attempts than the new configuration allows. A `route_admission` that was in use before already has its
        new rules.
        """
        previous = self.context.settings
        self.context.now_us = now_us
        self.context.counters.add("reloads")
        self.context.route_admission = route_admission
        self.context.settings = settings
        self.context.limits = limits
        self.answer_delays.configure(settings, limits)
        if previous.polls_endpoint_list:
            # The new configuration may have switched from a polled list to a pushed one.
            self.membership_updates.watch_if_pushed()
        if address_rules is not None or self.context.address_selector is not None:
            self.membership_updates.apply_address_rules(address_rules)
        self.balancer.configure(settings)
        if (previous.zone_names, previous.machine_types) != (settings.zone_names, settings.machine_types):
            self.membership_updates.renumber()

    def advance(self, now_us: int) -> None:
        """Process every timer that is due by `now_us`."""
        for timer, value, attempt in self.context.timers.pop_due(now_us):
            self.context.now_us = now_us
            if timer is Timer.PLACEMENT:
                self.dispatcher.dispatch(TimerExpired(value))
            elif (request := self.requests.get(value)) is not None:
                self._request_timer_due(timer, request, attempt)
            else:  # a timer of the engine, or of a request that has ended
                self._engine_timer_due(timer)

    def _request_timer_due(self, timer: Timer, request: RequestState, attempt: int) -> None:
        match timer:
            case Timer.ATTEMPT_TIMEOUT:
                self.upstream_events.attempt_timeout_due(request, attempt)
            case Timer.CONNECT_TIMEOUT:
                self.upstream_events.connect_timeout_due(request, attempt)
            case Timer.FINAL_ANSWER:
                self.final_answers.deadline_passed(request)
            case Timer.RESUMPTION_RETRY:
                self.resumption.retry(request)
            case Timer.MIGRATE:
                self.draining.migration_due(request)

    def _engine_timer_due(self, timer: Timer) -> None:
        match timer:
            case Timer.WATCHDOG:
                self.answer_delays.watchdog_due()
            case Timer.ADMISSION_END:
                self.draining.stop_admission()
            case Timer.EXIT:
                self.draining.exit()
            case Timer.ENDPOINT_WATCH:
                self.membership_updates.watch_timer_expired()

    def current_figures(self) -> dict[str, int]:
        """Return figures of the current state, which are logged together with the counters."""
        established = sum(request.established for request in self.requests.values())
        figures = {
            "open": established,
            "pending": len(self.requests) - established,
            "membership_version": self.endpoint_list.version,
            "violations": self.guard.violations,
        }
        if self.route_admission is not None:
            figures |= self.route_admission.current_figures()
        if self.address_selector is not None:
            figures["addresses.bypassed"] = self.address_selector.preferred_bypassed
        return figures
