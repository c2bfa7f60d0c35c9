"""One relay's engine: protocol events in, commands out; the module decides, each concern has a module here.

Knows no sockets, no clock (the time is handed in) and no line syntax: another front can drive it as well.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from gannetweir import interface as i
from gannetweir.brain import Balancer
from gannetweir.core.answer_delays import AnswerDelays
from gannetweir.core.answers import Answers
from gannetweir.core.attempts import Attempts
from gannetweir.core.context import EngineContext
from gannetweir.core.decisions import Decisions, Trace
from gannetweir.core.drain import Drain
from gannetweir.core.flow_events import FlowEvents
from gannetweir.core.membership import Membership
from gannetweir.core.operator_overrides import OperatorOverrides
from gannetweir.core.probes import Probes
from gannetweir.core.requests import Requests
from gannetweir.core.resumption import Resumption
from gannetweir.core.timers import Timer
from gannetweir.core.transactions import Transaction
from gannetweir.limits import Limits
from gannetweir.pool import Hand, PoolNews

if TYPE_CHECKING:  # a relay without an operators' file does without the code for one
    from gannetweir.reach.address import Address
    from gannetweir.reach.paths import Paths
    from gannetweir.reach.rules import ReachRules
    from gannetweir.timing.keeper import Keeper


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
    ) -> None:
        self.context = EngineContext(settings, limits, keeper, hand, now_us)
        self.pool, self.counters = self.context.pool, self.context.counters
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
            carry_out=lambda action: self._carry_out(action),  # looked up at each action
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
        # called for every line: bound here, a line costs no call more
        self.client_line = self.answer_delays.client_line
        self.server_line = self.answer_delays.server_line

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

    # ---- clients and server-side flows

    def opened(self, wanted: i.Request, at: i.ServerId, now_us: int, ident: str = "") -> int:
        """A client's first line is in: a new transaction, or one resumed at a backend. Its number, or 0 if
        another client's open transaction has this id."""
        return self.requests.open(wanted, at, now_us, ident)

    def client_left(self, number: int, reset: bool, now_us: int) -> None:
        """The client ended its side."""
        self.requests.client_left(number, reset, now_us)

    def path_won(self, number: int, attempt: int, path: Address, now_us: int) -> None:
        """Of a server's addresses this one carries the attempt."""
        self.attempts.path_won(number, attempt, path, now_us)

    def flow_sent(self, number: int, attempt: int, now_us: int) -> None:
        """The first line's last byte has been written."""
        self.flows.sent(number, attempt, now_us)

    def flow_up(self, number: int, attempt: int, now_us: int) -> bool:
        """The backend serves the connection. False if that comes too late."""
        return self.flows.up(number, attempt, now_us)

    def flow_ended(
        self, number: int, attempt: int, status: int, report: tuple[float, ...], reset: bool, now_us: int
    ) -> None:
        """A flow came to its end by itself."""
        self.flows.ended(number, attempt, status, report, reset, now_us)

    def load_told(self, number: int, load: float, now_us: int) -> None:
        """A backend says what a connection's load is now."""
        self.flows.load_told(number, load, now_us)

    # ---- backends

    def probe_ended(self, server: i.ServerId, status: int, report: tuple[float, ...], now_us: int) -> None:
        """A probe was answered, or was not."""
        self.probes.ended(server, status, report, now_us)

    def pool_news(self, news: PoolNews, now_us: int) -> None:
        """Discovery has told something."""
        self.membership.update(news, now_us)

    def pool_failed(self, reason: str, now_us: int) -> None:
        """A watch ended or never began: the last pool holds."""
        self.membership.failed(reason, now_us)

    def by_hand(self, hand: Hand, now_us: int) -> None:
        """The operators have left backends out, or called them back."""
        self.overrides.apply(hand, now_us)

    # ---- time

    def next_due(self) -> int:
        """When `advance` has something to do."""
        return self.context.timers.next_due()

    def advance(self, now_us: int) -> None:
        """Do all that is due."""
        while (due := self.context.timers.take_due(now_us)) is not None:
            self.context.now = now_us
            timer, value, attempt = due
            if timer is Timer.MODULE:
                self.decisions.tell(i.TimerDue(value))
            else:
                self._due(timer, value, attempt)

    def _due(self, timer: Timer, number: int, attempt: int) -> None:
        if timer is Timer.WATCHDOG:
            self.answer_delays.watchdog_due()
        elif timer is Timer.DRAINED:
            self.draining.drained()
        elif timer is Timer.END:
            self._end()
        elif timer is Timer.WATCH:
            self.membership.watch_due()
        elif timer is Timer.FLOW:
            self.flows.attempt_due(number, attempt)
        elif timer is Timer.CONNECT:
            self.flows.connect_due(number, attempt)
        elif (tx := self.transactions.get(number)) is not None:
            self._transaction_due(timer, tx)

    def _transaction_due(self, timer: Timer, tx: Transaction) -> None:
        if timer is Timer.ANSWER:
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
        pending = len(self.transactions) - up
        return {"open": up, "pending": pending, "pool_version": self.pool.version, **held}
