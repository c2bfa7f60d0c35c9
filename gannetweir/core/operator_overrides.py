"""The operators' word on single backends, over discovery's."""

from __future__ import annotations

from gannetweir import interface as i
from gannetweir.core.context import EngineContext
from gannetweir.core.decisions import Decisions
from gannetweir.core.draining import Drain
from gannetweir.core.reasons import Reason
from gannetweir.core.upstream_events import FlowEvents
from gannetweir.membership.endpoint_list import Hand


class OperatorOverrides:
    """Takes backends out of use and back."""

    def __init__(
        self, context: EngineContext, decisions: Decisions, flows: FlowEvents, draining: Drain
    ) -> None:
        self.context, self.decisions = context, decisions
        self.flows, self.draining = flows, draining

    def apply(self, hand: Hand, now_us: int) -> None:
        """The operators have left backends out, or called them back. From here on nothing starts at one that
        is out, and its clients are moved before it restarts."""
        self.context.now = now_us
        out = self.context.pool.hand.newly_out(hand)
        self.context.counters.add("hand_changes")
        # told as the list that is known already: as news it would pass for the answer to a watch
        pool = self.context.pool
        self.decisions.tell(i.ServerList(i.LIST_CACHED, pool.version, pool.lay(hand, now_us)))
        self.flows.drop_unsent(lambda tx: tx.server in out)
        here = [tx for tx in self.context.transactions.values() if tx.server in out and tx.up]
        self.draining.move_over(here, self.context.limits.hand_moves_us, Reason.OPERATORS)
