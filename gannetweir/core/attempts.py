"""Attempts of a request at backends: what may start, what one's end says of its path and to the module."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gannetweir import interface as i
from gannetweir.core.commands import CloseFlow, OpenFlow
from gannetweir.core.context import EngineContext
from gannetweir.core.decisions import Decisions
from gannetweir.core.reasons import after
from gannetweir.core.request_log import Step, outcome
from gannetweir.core.request_state import Transaction
from gannetweir.core.timers import Timer

if TYPE_CHECKING:  # a relay without several addresses a server does without the code for them
    from gannetweir.addresses.address import Address


class Attempts:
    """Opens and closes the flows of attempts; at most one of a request is out at a time."""

    def __init__(self, context: EngineContext, decisions: Decisions) -> None:
        self.context, self.decisions = context, decisions

    def send(self, action: i.Send) -> None:
        """Start the attempt that the module asks for; one that may not leave ends as moot."""
        context = self.context
        tx = context.transactions.get(action.request)
        if tx is None or tx.up:
            return
        attempt = tx.attempt + 1
        dial, now = context.pool.dial(action.server), context.now
        if (
            tx.out
            or not dial
            or attempt >= self._cap(tx)
            or tx.due_us <= now
            or not context.pool.may_send(action.server)
            or self._held_back(tx, attempt, action.server)
        ):
            # two flows at once, a backend that is not listed as ready or is out by hand, one attempt too
            # many: none may leave
            tx.attempt = attempt if not tx.out else tx.attempt
            context.counters.add("attempts", i.MOOT)
            self.decisions.tell(i.Outcome(tx.number, attempt, i.MOOT, 0, action.server, 0))
            return
        left = tx.due_us - now
        wait = min(left, action.timeout_us) if action.timeout_us > 0 else left
        self.open(tx, action.server, dial, wait)

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

    def settled(self, tx: Transaction) -> None:
        """The attempt is no set-up any more."""
        if tx.setting_up:
            tx.setting_up = False
            if self.context.keeper is not None:
                self.context.keeper.settled(tx.server)

    def open(self, tx: Transaction, server: i.ServerId, dial: str, wait: int) -> None:
        """Open the flow of the next attempt, which has `wait` microseconds."""
        context = self.context
        now = context.now
        tx.attempt, tx.server, tx.out, tx.sent, tx.sent_us = tx.attempt + 1, server, True, False, now
        tx.held_up = False
        tx.started_us = context.pool.started_us(server)
        tx.path, chosen = None, context.paths is not None and context.paths.chosen(str(server))
        context.commands.append(OpenFlow(tx.number, tx.attempt, dial, wait, server, chosen))
        first = not tx.last_status
        context.note(tx, Step.ATTEMPT if first else Step.RETRIED, "" if first else after(tx.last_status))
        connect = context.limits.connect_us
        if not tx.resumed:
            connect = tx.cls.connect_us or connect
            if tx.cls.attempt_us:  # that counts from the first line's last byte
                wait = min(tx.due_us - now, connect + wait)
        tx.flow_due_us = now + wait
        context.after(wait, Timer.FLOW, tx.number, tx.attempt)
        context.after(connect, Timer.CONNECT, tx.number, tx.attempt)
        context.counters.add("flows")

    def drop(self, tx: Transaction) -> None:
        """Close the flow that is out, if one is."""
        if tx.out:
            tx.out = False
            self.context.commands.append(CloseFlow(tx.number, tx.attempt))

    def ended(
        self, tx: Transaction, status: int, closed: int, report: tuple[float, ...] = (), fault: bool = False
    ) -> None:
        """Tell the module how an attempt ended (`closed` 0), or the connection that it became (1). `fault`:
        the way to the server is to blame."""
        tx.out, tx.ran, tx.last_status = False, tx.ran or status not in i.NEVER_RAN, status
        self.context.note(tx, Step.ATTEMPT_ENDED, outcome(status))
        self.settled(tx)
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
