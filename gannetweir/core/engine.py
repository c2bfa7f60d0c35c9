"""One relay's engine: protocol events in, commands out; the module decides, each concern has a module here.

Knows no sockets, no clock (the time is handed in) and no line syntax: another front can drive it as well.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from gannetweir import interface as i
from gannetweir.core.answer_delays import AnswerDelays
from gannetweir.core.answers import Answers
from gannetweir.core.attempts import Attempts
from gannetweir.core.context import EngineContext
from gannetweir.core.decisions import Decisions, Trace
from gannetweir.core.draining import Drain
from gannetweir.core.load_probes import Probes
from gannetweir.core.membership_updates import Membership
from gannetweir.core.operator_overrides import OperatorOverrides
from gannetweir.core.request_log import RequestEvent
from gannetweir.core.request_state import Transaction
from gannetweir.core.requests import Requests
from gannetweir.core.resumption import Resumption
from gannetweir.core.timers import Timer
from gannetweir.core.upstream_events import FlowEvents
from gannetweir.limits import Limits
from gannetweir.membership.endpoint_list import Hand, PoolNews
from gannetweir.placement.balancer import Balancer

if TYPE_CHECKING:  # a relay without an operators' file does without the code for one
    from gannetweir.addresses.address_selector import Paths
    from gannetweir.addresses.rules import ReachRules
    from gannetweir.routing.route_admission import Keeper


class Engine:
    """All transactions of one relay. A call returns at once; what it leads to is appended to `commands`."""

    def __init__(
        self,
        settings: i.Settings,
        limits: Limits,
        seed: int,
        known: PoolNews,
        now_us: int,
        hand: Hand | None = None,
        replaces: bool = False,
        keeper: Keeper | None = None,
        reach: ReachRules | None = None,
        trace: Trace | None = None,
        request_trace: Callable[[RequestEvent], None] | None = None,
        wall_ahead_us: int | None = None,
    ) -> None:
        self.context = EngineContext(settings, limits, keeper, hand, now_us, request_trace, wall_ahead_us)
        self.pool, self.counters = self.context.pool, self.context.counters
        self.guard = self.context.guard  # told by the drivers what they do on sockets
        self.commands = self.context.commands
        self.transactions, self.idents = self.context.transactions, self.context.idents
        self.balancer = Balancer(settings, seed, now_us)
        if not replaces:  # those that return come from other relays, and may be counted nowhere any more
            self.balancer.start_us = 0
        self._wire(seed, trace)
        self.context.after(limits.watchdog_us, Timer.WATCHDOG)
        if reach is not None:
            self.membership.choose_addresses(reach)
        self.membership.apply(i.LIST_CACHED, known)
        self.membership.watch_pushed()

    def _wire(self, seed: int, trace: Trace | None) -> None:
        """Make the concerns; each knows those that it calls, and none knows the engine."""
        context = self.context
        self.decisions = decisions = Decisions(
            context,
            self.balancer,
            carry_out=lambda action: self._carry_out(action),  # both are looked up as they are needed
            fail=lambda number: self.answers.fail_unanswered(number),
            trace=trace,
        )
        self.attempts = attempts = Attempts(context, decisions)
        self.answers = answers = Answers(context, decisions, attempts)
        self.resumption = resumption = Resumption(context, decisions, attempts, answers)
        self.flows = FlowEvents(context, decisions, attempts, answers, resumption)
        self.requests = Requests(context, decisions, attempts, answers, resumption, seed)
        self.probes = Probes(context, decisions)
        self.answer_delays = AnswerDelays(context, decisions, answers)
        self.draining = Drain(context, answers)
        self.membership = Membership(context, decisions, self.flows, seed)
        self.overrides = OperatorOverrides(context, decisions, self.flows, self.draining)
        self._bind_calls()

    def _bind_calls(self) -> None:
        """The drivers' calls that one concern takes whole are its own methods: no line or request pays for a
        call in between. What each one does stands with the method."""
        self.opened = self.requests.open
        self.client_left = self.requests.client_left
        self.client_line = self.answer_delays.client_line
        self.server_line = self.answer_delays.server_line
        self.path_won = self.attempts.path_won
        self.flow_sent = self.flows.sent
        self.flow_held_up = self.flows.held_up
        self.flow_under_way = self.flows.under_way
        self.flow_up = self.flows.up
        self.flow_ended = self.flows.ended
        self.load_told = self.flows.load_told
        self.probe_ended = self.probes.ended
        self.pool_news = self.membership.update
        self.pool_failed = self.membership.failed
        self.by_hand = self.overrides.apply
        self.next_due = self.context.timers.next_due

    @property
    def last(self) -> int:
        """The number of the last transaction; 0 before the first."""
        return self.requests.last

    @property
    def trace(self) -> Trace | None:
        """What is told all that the module hears and answers, where that is asked for."""
        return self.decisions.trace

    @property
    def limits(self) -> Limits:
        """The limits that hold now."""
        return self.context.limits

    @property
    def keeper(self) -> Keeper | None:
        """The operators' routes, where there are any."""
        return self.context.keeper

    @property
    def paths(self) -> Paths | None:
        """The ways to servers, where there are any to choose from."""
        return self.context.paths

    @property
    def closed(self) -> bool:
        """Is nothing new taken any more?"""
        return self.context.closed

    @closed.setter
    def closed(self, closed: bool) -> None:
        self.context.closed = closed

    @property
    def drain_us(self) -> int:
        """When the drain began, in microseconds; 0: it has not."""
        return self.draining.drain_us

    @drain_us.setter
    def drain_us(self, drain_us: int) -> None:
        self.draining.drain_us = drain_us

    def reload(
        self,
        settings: i.Settings,
        limits: Limits,
        now_us: int,
        keeper: Keeper | None = None,
        reach: ReachRules | None = None,
    ) -> None:
        """A new configuration holds from now on. What stands goes on by its plan, but not past a lower cap on
        attempts, and what is due stays due. A keeper that stood before has taken the new rules already."""
        self.context.now = now_us
        self.context.keeper = keeper
        self.context.counters.add("reloads")
        asked = self.context.settings.ask_list
        self.context.settings, self.context.limits = settings, limits
        self.answer_delays.configure(settings, limits)
        if asked:
            self.membership.watch_pushed()  # if it is so from now on
        if reach is not None or self.context.paths is not None:
            self.membership.choose_addresses(reach)
        self.balancer.configure(settings)

    # ---- the module

    def _carry_out(self, action: i.Action) -> None:
        if isinstance(action, i.SetTimer):
            self.context.after(action.after_us, Timer.MODULE, action.token)
        elif isinstance(action, i.Send):
            self.attempts.send(action)
        elif isinstance(action, i.Refuse):
            self.answers.reject_request(action.request, action.retry_after_us)
        elif isinstance(action, i.Fail):
            self.answers.fail_request(action.request)
        elif isinstance(action, i.Move):
            self.answers.move_connection(action.request)
        elif isinstance(action, i.Probe):
            self.probes.start(action.server)
        elif isinstance(action, i.Watch):
            self.membership.watch(bool(action.on))
        elif isinstance(action, i.Log):
            self.context.log(action.text)

    # ---- time

    def advance(self, now_us: int) -> None:
        """Do all that is due."""
        for timer, value, attempt in self.context.timers.take_due(now_us):
            self.context.now = now_us
            if timer is Timer.MODULE:
                self.decisions.tell(i.TimerDue(value))
            else:
                self._due(timer, value, attempt)

    def _due(self, timer: Timer, number: int, attempt: int) -> None:
        tx = self.transactions.get(number)  # most timers of a transaction outlive it
        if tx is not None:
            self._transaction_due(timer, tx, attempt)
        elif timer is Timer.WATCHDOG:
            self.answer_delays.watchdog_due()
        elif timer is Timer.DRAINED:
            self.draining.drained()
        elif timer is Timer.END:
            self._end()
        elif timer is Timer.WATCH:
            self.membership.watch_due()

    def _transaction_due(self, timer: Timer, tx: Transaction, attempt: int) -> None:
        if timer is Timer.FLOW:
            self.flows.attempt_due(tx, attempt)
        elif timer is Timer.CONNECT:
            self.flows.connect_due(tx, attempt)
        elif timer is Timer.ANSWER:
            self.answers.overdue(tx)
        elif timer is Timer.RESUME:
            self.resumption.try_again(tx)
        elif timer is Timer.MOVE:
            self.draining.move_due(tx)

    # ---- the end

    def ready(self) -> bool:
        """May the front send clients here?"""
        return self.pool.ready() and not self.drain_us

    def drain(self, now_us: int, replaced: bool = False) -> None:
        """SIGTERM: go on as before while clients still come, then move every client, then end. Where another
        process takes the new clients already (`replaced`), the moves begin at once and have more time."""
        self.draining.start(now_us, replaced)

    def _end(self) -> None:
        self.draining.end()

    def present(self) -> dict[str, int]:
        """Figures of this moment, beside the counters."""
        up = sum(tx.up for tx in self.transactions.values())
        held = self.keeper.present() if self.keeper is not None else {}
        if self.paths is not None:
            held["paths.passed_over"] = self.paths.passed_over
        pending = len(self.transactions) - up
        broken = self.guard.violations
        return {
            "open": up,
            "pending": pending,
            "pool_version": self.pool.version,
            "violations": broken,
            **held,
        }
