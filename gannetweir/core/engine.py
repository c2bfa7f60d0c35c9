"""Transactions and their server-side flows: protocol events in, commands out; the module decides.

Knows no sockets, no clock (the time is handed in) and no line syntax: another front can drive it as well.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from gannetweir import interface as i
from gannetweir.brain import Balancer
from gannetweir.core.commands import (
    Abandon,
    CloseFlow,
    EndClient,
    EndFlow,
    Exit,
    MoveClient,
    OpenFlow,
    Reject,
    Serve,
    StartProbe,
    WatchPool,
)
from gannetweir.core.context import EngineContext
from gannetweir.core.decisions import Decisions, Trace
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
        self.rng = random.Random(seed ^ 0x7F4A7C15)  # spreads the advice on when to come again
        self.balancer = Balancer(settings, seed, now_us)
        if not replaces:  # those that return come from other relays, and may be counted nowhere any more
            self.balancer.start_us = 0
        # asked for anew at each action, so that a test can put something in its place
        self.decisions = Decisions(
            self.context, self.balancer, lambda action: self._carry_out(action), self._fail_unanswered, trace
        )
        self._take(settings, limits)
        self.last = 0
        self.late: dict[i.ServerId, int] = {}  # backends with late answers, and when a note last said so
        self.probes: dict[i.ServerId, int] = {}  # when each probe that is out was sent
        self.drain_us = 0  # when the drain began
        self.context.after(limits.watchdog_us, Timer.WATCHDOG)
        if reach is not None:
            self._reach(reach)
        self.watch_fails = 0  # in a row, where the list is pushed
        self._pool(i.LIST_CACHED, known)
        self._watch_pushed()

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

    def _fail_unanswered(self, number: int) -> None:
        """The module failed on this transaction: no client may be left without an answer."""
        tx = self.context.transactions.get(number)
        if tx is not None and not tx.up and not tx.out:
            self._abandon(tx)

    def _carry_out(self, action: i.Action) -> None:
        if isinstance(action, i.SetTimer):
            self.context.after(action.after_us, Timer.MODULE, action.token)
        elif isinstance(action, i.Send):
            self._send(action)
        elif isinstance(action, i.Refuse | i.Fail):
            tx = self.context.transactions.get(action.request)
            if tx is not None and not tx.up:
                if isinstance(action, i.Refuse):
                    self._reject(tx, action.retry_after_us)
                else:
                    self._answer(tx, Abandon(tx.number))
        elif isinstance(action, i.Move):
            tx = self.context.transactions.get(action.request)
            if tx is not None and tx.up:
                self._move(tx, i.CANCELLED)
        elif isinstance(action, i.Probe):
            self._probe(action.server)
        elif isinstance(action, i.Watch):
            self.context.commands.append(WatchPool(bool(action.on), self.context.pool.version))
        elif isinstance(action, i.Log):
            self.context.log(action.text)

    def _send(self, action: i.Send) -> None:
        tx = self.context.transactions.get(action.request)
        if tx is None or tx.up:
            return
        attempt = tx.attempt + 1
        dial, now = self.context.pool.dial(action.server), self.context.now
        if (
            tx.out
            or not dial
            or attempt >= self._cap(tx)
            or tx.due_us <= now
            or not self.context.pool.may_send(action.server)
            or self._held_back(tx, attempt, action.server)
        ):
            # two flows at once, a backend that is not listed as ready or is out by hand, one attempt too
            # many: none may leave
            tx.attempt = attempt if not tx.out else tx.attempt
            self.context.counters.add("attempts", i.MOOT)
            self.decisions.tell(i.Outcome(tx.number, attempt, i.MOOT, 0, action.server, 0))
            return
        left = tx.due_us - now
        wait = min(left, action.timeout_us) if action.timeout_us > 0 else left
        self._open(tx, action.server, dial, wait)

    def _cap(self, tx: Transaction) -> int:
        most = self.context.settings.max_attempts
        return self.context.keeper.cap(tx.cls, most) if self.context.keeper is not None else most

    def _held_back(self, tx: Transaction, attempt: int, server: i.ServerId) -> bool:
        """Does the route's budget or limit forbid this attempt? The module then gives up at once."""
        if self.context.keeper is None or tx.share is None:
            return False
        reason = self.context.keeper.may_try(tx.share, tx.cls, server, attempt, self.context.now)
        if reason:
            self.context.counters.add(f"held_back.{reason}")
            self.context.log(
                "attempt held back",
                transaction=tx.number,
                attempt=attempt,
                backend=server,
                route=tx.cls.route,
                cls=tx.cls.name,
                reason=reason,
            )
        tx.setting_up = not reason
        return bool(reason)

    def _settled(self, tx: Transaction) -> None:
        """The attempt is no set-up any more."""
        if tx.setting_up and self.context.keeper is not None:
            self.context.keeper.settled(tx.server)
        tx.setting_up = False

    def _open(self, tx: Transaction, server: i.ServerId, dial: str, wait: int) -> None:
        tx.attempt, tx.server, tx.out, tx.sent, tx.sent_us = (
            tx.attempt + 1,
            server,
            True,
            False,
            self.context.now,
        )
        tx.started_us = self.context.pool.started_us(server)
        tx.path, chosen = None, self.context.path_is_chosen(server)
        self.context.commands.append(OpenFlow(tx.number, tx.attempt, dial, wait, server, chosen))
        connect = self.context.limits.connect_us
        if not tx.resumed:
            connect = tx.cls.connect_us or connect
            if tx.cls.attempt_us:  # that counts from the first line's last byte
                wait = min(tx.due_us - self.context.now, connect + wait)
        tx.flow_due_us = self.context.now + wait
        self.context.after(wait, Timer.FLOW, tx.number, tx.attempt)
        self.context.after(connect, Timer.CONNECT, tx.number, tx.attempt)
        self.context.counters.add("flows")

    # ---- final answers

    def _answer(self, tx: Transaction, answer: Reject | Abandon) -> None:
        """The one final answer of a transaction that is not served."""
        self._drop_flow(tx)
        self._forget(tx)
        self.context.counters.add("rejected" if isinstance(answer, Reject) else "failed")
        self.context.commands.append(answer)

    def _reject(self, tx: Transaction, retry_us: int) -> None:
        """Say that trying again is harmless, where it is: not once an attempt may have run of a class whose
        repeats may do harm."""
        ran = tx.ran or (tx.out and tx.sent)
        self._answer(tx, Abandon(tx.number) if ran and not tx.cls.harmless else Reject(tx.number, retry_us))

    def _abandon(self, tx: Transaction) -> None:
        """Fail a transaction that the module has not answered, and tell it so."""
        self._answer(tx, Abandon(tx.number))
        self.decisions.tell(i.ClientGone(tx.number))

    def _forget(self, tx: Transaction) -> None:
        del self.context.transactions[tx.number]
        self.context.idents.pop(tx.ident, None)
        self._settled(tx)
        if tx.share is not None:
            if self.context.keeper is not None:
                self.context.keeper.ended(tx.share)
            tx.share = None

    def _drop_flow(self, tx: Transaction) -> None:
        if tx.out:
            tx.out = False
            self.context.commands.append(CloseFlow(tx.number, tx.attempt))

    def _move(self, tx: Transaction, status: int) -> None:
        """The client is asked to come again. It hears that before its backend's side ends."""
        self._forget(tx)
        self.context.counters.add("moved")
        self.context.commands.append(MoveClient(tx.number))
        self._ended(tx, status, 1)

    def _ended(
        self, tx: Transaction, status: int, closed: int, report: tuple[float, ...] = (), fault: bool = False
    ) -> None:
        tx.out, tx.ran = False, tx.ran or status not in i.NEVER_RAN
        self._settled(tx)
        if tx.path is not None:
            fault = self._path_ended(tx, status)
        self.context.counters.add("connections" if tx.up else "attempts", status)
        attempt, elapsed = max(0, tx.attempt), self.context.now - tx.sent_us
        self.decisions.tell(i.Outcome(tx.number, attempt, status, closed, tx.server, elapsed, report, fault))

    def _path_ended(self, tx: Transaction, status: int) -> bool:
        """What an attempt's end says of its path. Is that to blame, and not the server?"""
        assert self.context.paths is not None and tx.path is not None
        server, path, tx.path = str(tx.server), tx.path, None
        if status in (i.TIMEOUT, i.RESET):
            fault = self.context.paths.unanswered(server, path, self.context.now)
            if fault:
                self.context.counters.add("path_faults")
                self.context.log(
                    "path failed",
                    transaction=tx.number,
                    attempt=tx.attempt,
                    backend=server,
                    path=path,
                    reason="no answer" if status == i.TIMEOUT else "reset",
                )
            return fault
        if status in (i.OK, i.ERROR, i.FULL):
            self.context.paths.answered(server, path, self.context.now)
        return False

    def path_won(self, number: int, attempt: int, path: Address, now_us: int) -> None:
        """Of a server's addresses this one carries the attempt."""
        self.context.now = now_us
        tx = self.context.flow_of(number, attempt)
        if tx is not None:
            tx.path = path
            self.context.counters.add(f"paths.{path.family}")

    # ---- virtual servers

    def opened(self, wanted: i.Request, at: i.ServerId, now_us: int, ident: str = "") -> int:
        """A client's first line is in: a new transaction, or one resumed at a backend. Its number, or 0 if
        another client's open transaction has this id: sent on, it would be a second copy of that one."""
        self.context.now = now_us
        if ident and ident in self.context.idents:
            self.context.counters.add("duplicates")
            return 0
        self.last += 1
        if self.context.keeper is not None:
            wanted = replace(wanted, cls=self.context.keeper.find(wanted))
        cls = self.context.settings.classes[wanted.cls]
        if cls.give_up_us and not at:
            wanted = replace(wanted, budget_us=min(wanted.budget_us, cls.give_up_us))
        # As in the simulator the module's deadline is the last moment for an answer, so what it has given
        # up on is answered at once and in time.
        margin = min(self.context.limits.answer_margin_us, wanted.budget_us // 4)
        budget = max(1, wanted.budget_us - margin)
        tx = Transaction(self.last, now_us + budget, ident, cls=cls)
        self.context.transactions[tx.number] = tx
        self.context.idents[ident] = tx.number
        self.context.counters.add("resumed" if at else "requests")
        if at and not self.context.closed:
            self._resume(tx, wanted, at)
        elif self.context.closed or len(self.context.transactions) > self.context.limits.clients:
            self._answer(tx, Reject(tx.number, self.context.limits.reject_retry_us))
        elif not self._admitted(tx, wanted):
            pass
        else:
            # a little after the last flow's time-out, at which the module answers by itself
            self.context.after(budget + margin // 8, Timer.ANSWER, tx.number)
            self.decisions.tell(replace(wanted, request=tx.number, budget_us=budget))
        return tx.number

    def _admitted(self, tx: Transaction, wanted: i.Request) -> bool:
        """Has the route room for one more? What is over is rejected at once, with a time of its own."""
        if self.context.keeper is None:
            return True
        share = self.context.keeper.of(tx.cls)
        first = not wanted.flags & i.CLIENT_RETRY
        refusal = self.context.keeper.admit(share, first, self.context.now, self.rng.random())
        if refusal is None:
            tx.share = share
            return True
        self.context.counters.add(f"over.{tx.cls.route}")
        self.context.log(
            "over a limit", transaction=tx.number, route=tx.cls.route, cls=tx.cls.name, reason=refusal.reason
        )
        self._answer(tx, Reject(tx.number, refusal.retry_us))
        return False

    def _resume(self, tx: Transaction, wanted: i.Request, at: i.ServerId) -> None:
        dial = self.context.pool.dial(at)
        if not dial or self.context.pool.is_out(at):
            out = Reject(tx.number, self.context.limits.reject_retry_us)
            self._answer(tx, out if dial else Abandon(tx.number))
            return
        tx.resumed = True
        if self.context.keeper is not None:  # it stands: it counts, but nothing turns it away
            tx.share = self.context.keeper.of(tx.cls)
            self.context.keeper.resumed(tx.share)
        w = wanted
        # its deadline may be an hour away; a backend that says nothing for so long does not hold it any more
        tx.due_us = min(tx.due_us, self.context.now + self.context.limits.resume_us)
        self._open(tx, at, dial, tx.due_us - self.context.now)
        self.decisions.tell(
            i.Resumed(tx.number, w.hint_us, w.budget_us, w.group, w.key, w.tenant, at, w.flags, w.cls)
        )

    def client_left(self, number: int, reset: bool, now_us: int) -> None:
        """The client ended its side."""
        self.context.now = now_us
        tx = self.context.transactions.get(number)
        if tx is None:
            return
        self._forget(tx)
        self.context.counters.add("clients_left")
        if tx.up:
            self.context.commands.append(EndFlow(number, reset))
            self._ended(tx, i.CANCELLED, 1)
            return
        out = tx.out
        self._drop_flow(tx)
        self.decisions.tell(i.ClientGone(number))
        if out and tx.resumed:
            self._ended(tx, i.CANCELLED, 1)

    def client_line(self, number: int, now_us: int) -> None:
        """A line of the client's has been passed on; its answer is waited for."""
        tx = self.context.transactions.get(number)
        if tx is not None and len(tx.unanswered) < self.context.limits.unanswered_lines:
            tx.unanswered.append(now_us)

    # ---- server-side flows

    def flow_sent(self, number: int, attempt: int, now_us: int) -> None:
        """The first line's last byte has been written."""
        self.context.now = now_us
        tx = self.context.flow_of(number, attempt)
        if tx is None:
            return
        tx.sent = True
        if tx.cls.attempt_us and not tx.up and not tx.resumed:
            tx.flow_due_us = min(tx.flow_due_us, now_us + tx.cls.attempt_us)
            self.context.after(tx.flow_due_us - now_us, Timer.FLOW, number, attempt)

    def flow_up(self, number: int, attempt: int, now_us: int) -> bool:
        """The backend serves the connection. False if that comes too late."""
        self.context.now = now_us
        tx = self.context.flow_of(number, attempt)
        if tx is None:
            return False
        tx.up = True
        self._settled(tx)
        if tx.path is not None and self.context.paths is not None:
            self.context.paths.answered(str(tx.server), tx.path, now_us)
        self.context.counters.add("served")
        self.context.commands.append(Serve(number))
        if not tx.resumed:
            self.decisions.tell(i.Established(number, tx.attempt, tx.server, now_us - tx.sent_us))
        if self.context.closed or self.context.pool.is_out(tx.server):
            self.context.after(0, Timer.MOVE, number)
        return True

    def flow_ended(
        self, number: int, attempt: int, status: int, report: tuple[float, ...], reset: bool, now_us: int
    ) -> None:
        """A flow came to its end by itself."""
        self.context.now = now_us
        tx = self.context.flow_of(number, attempt)
        if tx is None:
            return
        if tx.up:
            self._forget(tx)
            self.context.commands.append(EndClient(number, reset))
            self._ended(tx, status, 1, report)
        elif tx.resumed:
            self._resume_failed(tx, status)
        else:
            self._ended(tx, status, 0, report)

    def _resume_failed(self, tx: Transaction, status: int) -> None:
        """Only its own backend holds this connection: ask there again while nothing has run."""
        tx.out = False
        wait = self.context.limits.resume_retry_us
        if self.context.pool.is_out(tx.server) and status in i.NEVER_RAN:
            self._answer(tx, Reject(tx.number, self.context.limits.reject_retry_us))
            self._ended(tx, status, 1)
            return
        if status in i.NEVER_RAN and self.context.now + wait < tx.due_us:
            self.context.after(wait, Timer.RESUME, tx.number)
            return
        self._answer(tx, Abandon(tx.number))
        self._ended(tx, status, 1)

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

    def load_told(self, number: int, load: float, now_us: int) -> None:
        """A backend says what a connection's load is now."""
        self.context.now = now_us
        tx = self.context.transactions.get(number)
        if tx is not None and tx.up and self.context.settings.tells_load:
            self.context.counters.add("load_notes")
            self.decisions.tell(i.Note(number, tx.attempt, tx.server, i.NOTE_LOAD, load))

    # ---- probes and the pool

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
        self._drop_unsent(
            lambda tx: (
                not tx.resumed
                and (
                    not self.context.pool.may_send(tx.server)
                    or self.context.pool.started_us(tx.server) != tx.started_us
                )
            ),
            True,
        )

    def _drop_unsent(self, leaves: Callable[[Transaction], bool], fault: bool = False) -> None:
        """End the flows that would still be written to a backend which wants nothing new."""
        for tx in [tx for tx in self.context.transactions.values() if tx.out and not tx.sent and leaves(tx)]:
            self._drop_flow(tx)
            if tx.resumed:
                self._resume_failed(tx, i.CONNECT_FAILED)
            else:
                self._ended(tx, i.CONNECT_FAILED, 0, fault=fault)

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
        self._drop_unsent(lambda tx: tx.server in out)
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
        elif tx is None:
            return
        elif timer in (Timer.FLOW, Timer.CONNECT):
            over = self.context.now >= tx.flow_due_us if timer is Timer.FLOW else not tx.sent
            if self.context.flow_of(number, attempt) and not tx.up and over:
                self._flow_late(tx)
        elif timer is Timer.ANSWER and not tx.up:
            # The flow's own time-out came first, and the module owed the answer then: it holds this one, or
            # it has failed. No client may be left without an answer.
            self.context.counters.add("overdue")
            self._abandon(tx)
        elif timer is Timer.RESUME and not tx.out:
            if self.context.pool.is_out(tx.server):
                self._resume_failed(tx, i.CONNECT_FAILED)
                return
            self._open(tx, tx.server, self.context.pool.dial(tx.server), tx.due_us - self.context.now)
        elif timer is Timer.MOVE and tx.up:
            self._move(tx, i.CANCELLED)
            self._end_if_empty()

    def _flow_late(self, tx: Transaction) -> None:
        """The time of an attempt is up: it is closed before anything else is sent."""
        status = i.TIMEOUT if tx.sent else i.CONNECT_FAILED
        self._drop_flow(tx)
        if tx.resumed:
            self._resume_failed(tx, status)
        else:
            self._ended(tx, status, 0)

    def _watch_silence(self) -> None:
        """A machine that vanished says nothing: only the answers that do not come show it."""
        for tx in [t for t in self.context.transactions.values() if t.up and t.unanswered]:
            waited = self.context.now - tx.unanswered[0]
            if waited > self.context.limits.answer_silence_us:
                self.context.counters.add("silent")
                self._move(tx, i.RESET)
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
                self._move(tx, i.CANCELLED)
            else:
                self._reject(tx, self.context.limits.reject_retry_us)
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
