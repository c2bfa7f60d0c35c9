"""The operators' overrides in the engine: endpoints that operators take offline or bring back online."""

from __future__ import annotations

from gannetweir.core.context import EngineContext
from gannetweir.core.draining import Draining
from gannetweir.core.placement_dispatcher import PlacementDispatcher
from gannetweir.core.reasons import Reason
from gannetweir.core.upstream_events import UpstreamEvents
from gannetweir.membership.operator_overrides import OperatorOverrides
from gannetweir.placement.events import EndpointListUpdate, UpdateKind


class OverrideUpdates:
    """Applies the operators' overrides to the endpoint list, to attempts and to established connections.

    Holds no state: the endpoint list owns the overrides in force.
    """

    def __init__(
        self,
        context: EngineContext,
        dispatcher: PlacementDispatcher,
        upstream_events: UpstreamEvents,
        draining: Draining,
    ) -> None:
        self.context = context
        self.dispatcher = dispatcher
        self.upstream_events = upstream_events
        self.draining = draining

    def apply(self, overrides: OperatorOverrides, now_us: int) -> None:
        """Apply overrides. From now on nothing is sent to an offline endpoint. The clients of an endpoint
        that has just been taken offline are migrated, spread over a period that ends before the endpoint is
        restarted.
        """
        self.context.now_us = now_us
        endpoint_list = self.context.endpoint_list
        newly_offline = endpoint_list.overrides.newly_offline(overrides)
        self.context.counters.add("override_changes")
        # The update is sent as a cached list, because the balancer would take a snapshot or a delta for the
        # answer to its watch.
        effective_entries = endpoint_list.apply_overrides(overrides, now_us)
        self.dispatcher.dispatch(
            EndpointListUpdate(UpdateKind.CACHED, endpoint_list.version, effective_entries)
        )
        self.upstream_events.close_unsent(lambda request: request.endpoint_id in newly_offline)
        established = [
            request
            for request in self.context.requests.values()
            if request.endpoint_id in newly_offline and request.established
        ]
        self.draining.spread_migrations(
            established, self.context.limits.override_migration_us, Reason.OPERATORS
        )
