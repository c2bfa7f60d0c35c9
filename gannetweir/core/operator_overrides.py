"""The operators' word on single backends, over discovery's."""

from __future__ import annotations

from gannetweir.core.context import EngineContext
from gannetweir.core.decisions import Decisions
from gannetweir.core.draining import Draining
from gannetweir.core.reasons import Reason
from gannetweir.core.upstream_events import UpstreamEvents
from gannetweir.membership.endpoint_list import OperatorOverrides
from gannetweir.placement.events import EndpointListUpdate, UpdateKind


class OverrideUpdates:
    """Takes backends out of use and back."""

    def __init__(
        self, context: EngineContext, decisions: Decisions, flows: UpstreamEvents, draining: Draining
    ) -> None:
        self.context, self.decisions = context, decisions
        self.flows, self.draining = flows, draining

    def apply(self, hand: OperatorOverrides, now_us: int) -> None:
        """The operators have left backends out, or called them back. From here on nothing starts at one that
        is out, and its clients are moved before it restarts.
        """
        self.context.now_us = now_us
        out = self.context.endpoint_list.overrides.newly_offline(hand)
        self.context.counters.add("hand_changes")
        # told as the list that is known already: as news it would pass for the answer to a watch
        pool = self.context.endpoint_list
        self.decisions.dispatch(
            EndpointListUpdate(UpdateKind.CACHED, pool.version, pool.apply_overrides(hand, now_us))
        )
        self.flows.drop_unsent(lambda tx: tx.endpoint_id in out)
        here = [tx for tx in self.context.requests.values() if tx.endpoint_id in out and tx.established]
        self.draining.move_over(here, self.context.limits.hand_moves_us, Reason.OPERATORS)
