"""Transactions and their server-side flows: protocol events in, commands out; the module decides.

Knows no sockets, no clock (the time is handed in) and no line syntax: another front can drive it as well.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from gannetweir import interface as i
from gannetweir.brain import Balancer
from gannetweir.core.answers import Answers
from gannetweir.core.attempts import Attempts
from gannetweir.core.commands import (
    Abandon,
    Exit,
    StartProbe,
    WatchPool,
)
from gannetweir.core.context import EngineContext
from gannetweir.core.decisions import Decisions, Trace
from gannetweir.core.flow_events import FlowEvents
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
    """All transactions of one relay."""

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
        self.pool, self.counters, self.trace = self.context.pool, self.context.counters, trace
        self.commands = self.context.commands
        self.transactions, self.idents = self.context.transactions, self.context.idents
        self.seed = seed
        self.balancer = Balancer(settings, seed, now_us)
        if not replaces:  # those that return come from other relays, and may be counted nowhere any more
            self.balancer.start_us = 0
        self._wire(seed, trace)
        self._take(settings, limits)
        self.late: dict[i.ServerId, int] = {}  # backends with late answers, and when a note last said so
        self.probes: dict[i.ServerId, int] = {}  # when each probe that is out was sent
        self.drain_us = 0  # when the drain began
        self.context.after(limits.watchdog_us, Timer.WATCHDOG)
        if reach is not None:
            self._reach(reach)
        self.watch_fails = 0  # in a row, where the list is pushed
        self._pool(i.LIST_CACHED, known)
        self._watch_pushed()

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

    @property
    def last(self) -> int:
        """The number of the last transaction; 0 before the first."""
        return self.requests.last

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

    def _watch_pushed(self) -> None:
        """A pushed list counts as told whether or not it is watched, from a relay's first moment on. So it is
        not the module's to ask for: the watch is opened at once, and again whenever it has ended."""
        if not self.context.settings.ask_list:
            self.context.commands.append(WatchPool(True, self.context.pool.version))

    def _take(self, settings: i.Settings, limits: Limits) -> None:
        self.context.settings, self.context.limits = settings, limits
        self.shortest_aim_ms = min(settings.message_aim_us, default=1e5) / 1000

    def _reach(self, rules: ReachRules | None) -> None:
        """Choose the ways to servers by these rules from now on; without any, by discovery's list."""
        from gannetweir.reach.paths import Paths  # only where a server has several addresses
        from gannetweir.reach.rules import ReachRules

        rules = rules or ReachRules()
        if self.context.paths is not None:
            self.context.paths.take(rules, self.context.limits.connect_us)
            return
        self.context.paths = Paths(rules, self.seed, self.context.limits.connect_us)
        for server in self.context.pool.entries:
            self._tell_paths(server)

    def _tell_paths(self, server: i.ServerId) -> None:
        assert self.context.paths is not None
        if self.context.pool.entries[server].state == i.GONE:
            self.context.paths.forget(str(server))
        else:
            self.context.paths.tell(
                str(server), self.context.pool.dial(server), self.context.pool.more.get(server, ())
            )

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
        self._take(settings, limits)
        if asked:
            self._watch_pushed()  # if it is so from now on
        if reach is not None or self.context.paths is not None:
            self._reach(reach)
        self.balancer.configure(settings)

    # ---- the module

    def _carry_out(self, action: i.Action) -> None:
        if isinstance(action, i.SetTimer):
            self.context.after(action.after_us, Timer.MODULE, action.token)
        elif isinstance(action, i.Send):
            self.attempts.send(action)
        elif isinstance(action, i.Refuse | i.Fail):
            tx = self.context.transactions.get(action.request)
            if tx is not None and not tx.up:
                if isinstance(action, i.Refuse):
                    self.answers.reject(tx, action.retry_after_us)
                else:
                    self.answers.answer(tx, Abandon(tx.number))
        elif isinstance(action, i.Move):
            tx = self.context.transactions.get(action.request)
            if tx is not None and tx.up:
                self.answers.move(tx, i.CANCELLED)
        elif isinstance(action, i.Probe):
            self._probe(action.server)
        elif isinstance(action, i.Watch):
            self.context.commands.append(WatchPool(bool(action.on), self.context.pool.version))
        elif isinstance(action, i.Log):
            self.context.log(action.text)

    def client_line(self, number: int, now_us: int) -> None:
        """A line of the client's has been passed on; its answer is waited for."""
        tx = self.context.transactions.get(number)
        if tx is not None and len(tx.unanswered) < self.context.limits.unanswered_lines:
            tx.unanswered.append(now_us)

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

    def server_line(self, number: int, now_us: int) -> None:
        """A line came that may answer one of the client's."""
        tx = self.context.transactions.get(number)
        if tx is None or not tx.unanswered:
            return
        self.context.now = now_us
        self._note_delay(tx, (now_us - tx.unanswered.popleft()) / 1000)

    def _note_delay(self, tx: Transaction, delay_ms: float) -> None:
        """Late answers are told as the simulator tells them: once a second for a backend while they are over
        a third of the shortest aim, and once more when they are back under."""
        if not self.context.settings.tells_delay:
            return
        last = self.late.get(tx.server)
        if delay_ms > self.shortest_aim_ms / 3:
            if last is not None and self.context.now - last < self.context.limits.delay_note_us:
                return
            self.late[tx.server] = self.context.now
        elif last is not None:
            del self.late[tx.server]
        else:
            return
        self.context.counters.add("delay_notes")
        self.decisions.tell(i.Note(tx.number, tx.attempt, tx.server, i.NOTE_DELAY, delay_ms))

    def _probe(self, server: i.ServerId) -> None:
        dial = self.context.pool.dial(server)
        if (
            not dial
            or not self.context.pool.may_send(server)
            or len(self.probes) >= self.context.limits.probes
        ):
            self.decisions.tell(i.ProbeResult(server, i.CONNECT_FAILED if not dial else i.MOOT, 0))
        elif server not in self.probes:  # one that is out answers this question too
            self.probes[server] = self.context.now
            self.context.counters.add("probes_sent")
            chosen = self.context.path_is_chosen(server)
            self.context.commands.append(StartProbe(server, dial, chosen))

    def probe_ended(self, server: i.ServerId, status: int, report: tuple[float, ...], now_us: int) -> None:
        """A probe was answered, or was not."""
        self.context.now = now_us
        elapsed = now_us - self.probes.pop(server, now_us)
        self.context.counters.add("probes", status)
        self.decisions.tell(i.ProbeResult(server, status, elapsed, report))

    def pool_news(self, news: PoolNews, now_us: int) -> None:
        """Discovery has told something."""
        self.context.now = now_us
        self.context.counters.add("pool_news")
        self.watch_fails = 0
        self._pool(i.LIST_FULL if news.whole else i.LIST_DELTA, news)

    def _pool(self, kind: int, news: PoolNews) -> None:
        seen = self.context.pool.take(news)
        if self.context.paths is not None:  # of a whole list also those that it lacks
            for server in self.context.pool.entries if news.whole else [m.entry.server for m in news.members]:
                self._tell_paths(server)
        elif any(member.dials for member in news.members):  # this discovery tells several addresses
            self._reach(None)
        self.decisions.tell(i.ServerList(kind, news.version, seen))
        # A connect may outlast the grace of a drain, and one that comes up late could reach a new start with
        # what was meant for the warm one before it. The way to it failed, not the server.
        self.flows.drop_unsent(
            lambda tx: (
                not tx.resumed
                and (
                    not self.context.pool.may_send(tx.server)
                    or self.context.pool.started_us(tx.server) != tx.started_us
                )
            ),
            True,
        )

    def by_hand(self, hand: Hand, now_us: int) -> None:
        """The operators have left backends out, or called them back. From here on nothing starts at one that
        is out, and its clients are moved before it restarts."""
        self.context.now = now_us
        out = self.context.pool.hand.newly_out(hand)
        self.context.counters.add("hand_changes")
        # told as the list that is known already: as news it would pass for the answer to a watch
        self.decisions.tell(
            i.ServerList(i.LIST_CACHED, self.context.pool.version, self.context.pool.lay(hand))
        )
        self.flows.drop_unsent(lambda tx: tx.server in out)
        here = [tx for tx in self.context.transactions.values() if tx.server in out and tx.up]
        self._move_over(here, self.context.limits.hand_moves_us)

    def pool_failed(self, reason: str, now_us: int) -> None:
        """A watch ended or never began: the last pool holds."""
        self.context.now = now_us
        self.context.counters.add("pool_failures")
        self.context.log(f"pool: {reason}")
        if not self.context.settings.ask_list:
            self.context.after(self.context.limits.pool_push_retry_us if self.watch_fails else 0, Timer.WATCH)
            self.watch_fails += 1
            return
        self._ask_again()

    def _ask_again(self) -> None:
        self.decisions.tell(i.ServerList(i.LIST_FAILED, self.context.pool.version, []))

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
        tx = self.context.transactions.get(number)
        if timer is Timer.WATCHDOG:
            self.context.after(self.context.limits.watchdog_us, Timer.WATCHDOG)
            self._watch_silence()
        elif timer is Timer.DRAINED:
            self.context.closed = True
            self._move_over(self._staying(), self.context.limits.drain_moves_us)
            self._end_if_empty()
        elif timer is Timer.END:
            self._end()
        elif timer is Timer.WATCH:
            if self.context.settings.ask_list:  # since a reload: the module takes over
                self._ask_again()
            else:
                self._watch_pushed()
        elif timer is Timer.FLOW:
            self.flows.attempt_due(number, attempt)
        elif timer is Timer.CONNECT:
            self.flows.connect_due(number, attempt)
        elif tx is None:
            return
        elif timer is Timer.ANSWER:
            self.answers.overdue(tx)
        elif timer is Timer.RESUME:
            self.resumption.try_again(tx)
        elif timer is Timer.MOVE and tx.up:
            self.answers.move(tx, i.CANCELLED)
            self._end_if_empty()

    def _watch_silence(self) -> None:
        """A machine that vanished says nothing: only the answers that do not come show it."""
        for tx in [t for t in self.context.transactions.values() if t.up and t.unanswered]:
            waited = self.context.now - tx.unanswered[0]
            if waited > self.context.limits.answer_silence_us:
                self.context.counters.add("silent")
                self.answers.move(tx, i.RESET)
            elif waited > self.context.limits.answer_late_us:
                # a message has taken so long already: the module can ask the backend before all are lost
                self._note_delay(tx, waited / 1000)

    # ---- the end

    def ready(self) -> bool:
        """May the front send clients here?"""
        return self.context.pool.ready() and not self.drain_us

    def drain(self, now_us: int, replaced: bool = False) -> None:
        """SIGTERM: go on as before while clients still come, then move every client, then end. Where another
        process takes the new clients already (`replaced`), the moves begin at once and have more time."""
        if self.drain_us:
            return
        self.context.now = self.drain_us = now_us
        self.context.after(self.context.limits.drain_us, Timer.DRAINED)
        self.context.after(self.context.limits.drain_end_us, Timer.END)
        if replaced:
            self._move_over(
                self._staying(), self.context.limits.drain_us + self.context.limits.drain_moves_us
            )

    def _staying(self) -> list[Transaction]:
        return [tx for tx in self.context.transactions.values() if tx.up and not tx.leaving]

    def _move_over(self, leaving: list[Transaction], time_us: int) -> None:
        """Spread the moves: clients that come back all at once would be set up all at once."""
        step = time_us / max(1, len(leaving))
        for place, tx in enumerate(leaving):
            tx.leaving = True
            self.context.after(int(step * place), Timer.MOVE, tx.number)

    def _end_if_empty(self) -> None:
        if self.context.closed and not self.context.transactions:  # the front may send some more all the same
            self.context.after(self.context.limits.linger_us, Timer.END)

    def _end(self) -> None:
        self.context.closed = (
            True  # with the shortest deadlines this comes before the front has stopped sending
        )
        for tx in list(self.context.transactions.values()):
            if tx.up:
                self.answers.move(tx, i.CANCELLED)
            else:
                self.answers.reject(tx, self.context.limits.reject_retry_us)
        self.context.commands.append(Exit())

    def present(self) -> dict[str, int]:
        """Figures of this moment, beside the counters."""
        up = sum(tx.up for tx in self.context.transactions.values())
        held = self.context.keeper.present() if self.context.keeper is not None else {}
        return {
            "open": up,
            "pending": len(self.context.transactions) - up,
            "pool_version": self.context.pool.version,
            **held,
        }
