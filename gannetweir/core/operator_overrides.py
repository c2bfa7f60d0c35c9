"""The operators' word on single backends, over discovery's."""

from __future__ import annotations

from gannetweir.core.context import EngineContext
from gannetweir.core.decisions import Decisions
from gannetweir.core.draining import Draining
from gannetweir.core.reasons import Reason
from gannetweir.core.upstream_events import UpstreamEvents
from gannetweir.membership.operator_overrides import OperatorOverrides
from gannetweir.placement.events import EndpointListUpdate, UpdateKind


class OverrideUpdates:
    """Takes backends out of use and back."""

    def __init__(
        self,
        context: EngineContext,
        decisions: Decisions,
        upstream_events: UpstreamEvents,
        draining: Draining,
    ) -> None:
        self.context, self.decisions = context, decisions
        self.upstream_events, self.draining = upstream_events, draining

    def apply(self, overrides: OperatorOverrides, now_us: int) -> None:
        """The operators have left backends out, or called them back. From here on nothing starts at one that
        is out, and its clients are moved before it restarts.
        """
        self.context.now_us = now_us
        newly_offline = self.context.endpoint_list.overrides.newly_offline(overrides)
        self.context.counters.add("hand_changes")
        # told as the list that is known already: as news it would pass for the answer to a watch
        endpoint_list = self.context.endpoint_list
        self.decisions.dispatch(
            EndpointListUpdate(
                UpdateKind.CACHED, endpoint_list.version, endpoint_list.apply_overrides(overrides, now_us)
            )
        )
        self.upstream_events.drop_unsent(lambda tx: tx.endpoint_id in newly_offline)
        established = [
            tx for tx in self.context.requests.values() if tx.endpoint_id in newly_offline and tx.established
        ]
        self.draining.move_over(established, self.context.limits.hand_moves_us, Reason.OPERATORS)
