"""What all concerns of one engine share: its configuration, its clock value, its records and its output."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from gannetweir import interface as i
from gannetweir.core.commands import Command, LogLine
from gannetweir.core.invariants import InvariantGuard, Violation
from gannetweir.core.reasons import Reason
from gannetweir.core.request_log import RequestEvent, RequestLog, Step
from gannetweir.core.request_state import Transaction
from gannetweir.core.timers import Timer, TimerQueue
from gannetweir.limits import Limits
from gannetweir.membership.endpoint_list import Hand, Pool
from gannetweir.observability.counters import Counters

if TYPE_CHECKING:  # a relay without an operators' file does without the code for one
    from gannetweir.addresses.address_selector import Paths
    from gannetweir.routing.route_admission import Keeper


HISTORY = 8  # steps of a request that the log line of a violation tells


class EngineContext:
    """Shared by reference; a concern keeps to itself what no other one needs."""

    def __init__(
        self,
        settings: i.Settings,
        limits: Limits,
        keeper: Keeper | None,
        hand: Hand | None,
        now_us: int,
        sink: Callable[[RequestEvent], None] | None = None,
        wall_ahead_us: int | None = None,
    ) -> None:
        self.settings, self.limits = settings, limits
        self.now = now_us  # of the call that is being handled, in microseconds
        self.keeper = keeper  # of the operators' routes; none: one timing for all, as the module has it
        self.paths: Paths | None = None  # the ways to servers, where there are any to choose from
        self.pool, self.counters = Pool(hand, wall_ahead_us), Counters()
        self.commands: deque[Command] = deque()
        self.requests = RequestLog(self.counters, sink)
        self.guard = InvariantGuard(self.pool, self._violated)
        self.timers = TimerQueue()
        self.transactions: dict[int, Transaction] = {}
        self.idents: dict[str, int] = {}  # of those, by the client's id
        self.closed = False  # nothing new is taken any more

    def after(self, wait_us: float, timer: Timer, value: int = 0, attempt: int = 0) -> None:
        """Set a timer; a wait that is not positive falls due at the next `advance`."""
        self.timers.add(self.now + max(0, int(wait_us)), timer, value, attempt)

    def log(self, text: str, **about: object) -> None:
        """Command a line for the people on call."""
        self.commands.append(LogLine(text, about))

    def note(self, tx: Transaction, step: Step, reason: Reason | str = "") -> None:
        """Record a step of a request."""
        self.requests.add(self.now, tx.number, tx.ident, step, tx.attempt, tx.server, reason)

    def _violated(self, violation: Violation) -> None:
        self.counters.add(f"violations.{violation.rule}")
        history = self.requests.history(violation.number) if violation.number else []
        self.log(
            "invariant violated",
            rule=violation.rule,
            transaction=violation.number,
            id=history[0].ident if history else "",
            reason=violation.detail,
            history=" ".join(map(str, history[-HISTORY:])),
        )

    def flow_of(self, number: int, attempt: int) -> Transaction | None:
        """The transaction, if this flow is still its flow; news of a closed one is too late."""
        tx = self.transactions.get(number)
        return tx if tx is not None and tx.out and tx.attempt == attempt else None
