"""Questions to backends for their load, outside of any request."""

from __future__ import annotations

from gannetweir.core.commands import StartLoadProbe
from gannetweir.core.context import EngineContext
from gannetweir.core.placement_dispatcher import PlacementDispatcher
from gannetweir.placement.events import AttemptStatus, EndpointId, LoadProbeResult


class LoadProbes:
    """At most one probe of a backend is out at a time."""

    def __init__(self, context: EngineContext, decisions: PlacementDispatcher) -> None:
        self.context, self.decisions = context, decisions
        self.in_flight_since_us: dict[EndpointId, int] = {}  # of each probe that is out

    def start(self, endpoint_id: EndpointId) -> None:
        """Probe a backend; one that may not be asked now ends as moot, or as failed if it has no address."""
        dial = self.context.endpoint_list.address_of(endpoint_id)
        full = len(self.in_flight_since_us) >= self.context.limits.probes
        if not dial or not self.context.endpoint_list.accepts_requests(endpoint_id) or full:
            self.decisions.dispatch(
                LoadProbeResult(
                    endpoint_id, AttemptStatus.CONNECT_FAILED if not dial else AttemptStatus.NOT_STARTED, 0
                )
            )
        elif endpoint_id not in self.in_flight_since_us:  # one that is out answers this question too
            self.in_flight_since_us[endpoint_id] = self.context.now_us
            self.context.counters.add("probes_sent")
            paths = self.context.address_selector
            chosen = paths is not None and paths.selects_address(str(endpoint_id))
            self.context.commands.append(StartLoadProbe(endpoint_id, dial, chosen))

    def probe_ended(
        self, endpoint_id: EndpointId, status: int, load_report: tuple[float, ...], now_us: int
    ) -> None:
        """A probe was answered, or was not."""
        self.context.now_us = now_us
        elapsed = now_us - self.in_flight_since_us.pop(endpoint_id, now_us)
        self.context.counters.add("probes", status)
        self.decisions.dispatch(LoadProbeResult(endpoint_id, status, elapsed, load_report))
