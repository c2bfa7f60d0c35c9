"""Load probes: queries of endpoints for their load, independent of any request."""

from __future__ import annotations

from gannetweir.core.commands import StartLoadProbe
from gannetweir.core.context import EngineContext
from gannetweir.core.placement_dispatcher import PlacementDispatcher
from gannetweir.placement.events import AttemptStatus, EndpointId, LoadProbeResult


class LoadProbes:
    """Runs at most one probe of an endpoint at a time, and at most `limits.max_load_probes` in total."""

    def __init__(self, context: EngineContext, dispatcher: PlacementDispatcher) -> None:
        self.context = context
        self.dispatcher = dispatcher
        self._started_us: dict[EndpointId, int] = {}  # start time of each probe in flight

    def start(self, endpoint_id: EndpointId) -> None:
        """Probe an endpoint. If the probe may not start now, report that result to the balancer at once."""
        address = self.context.endpoint_list.address_of(endpoint_id)
        if not address:
            self._report(endpoint_id, AttemptStatus.CONNECT_FAILED)
        elif not self._may_start(endpoint_id):
            self._report(endpoint_id, AttemptStatus.NOT_STARTED)
        elif endpoint_id not in self._started_us:  # a probe in flight serves this call as well
            self._started_us[endpoint_id] = self.context.now_us
            self.context.counters.add("load_probes_sent")
            selector = self.context.address_selector
            races_addresses = selector is not None and selector.selects_address(str(endpoint_id))
            self.context.commands.append(StartLoadProbe(endpoint_id, address, races_addresses))

    def _may_start(self, endpoint_id: EndpointId) -> bool:
        return (
            self.context.endpoint_list.accepts_requests(endpoint_id)
            and len(self._started_us) < self.context.limits.max_load_probes
        )

    def probe_ended(
        self, endpoint_id: EndpointId, status: AttemptStatus, load_report: tuple[float, ...], now_us: int
    ) -> None:
        """Record the end of a probe, answered or not, and report its result to the balancer."""
        self.context.now_us = now_us
        elapsed_us = now_us - self._started_us.pop(endpoint_id, now_us)
        self.context.counters.add("load_probes", status)
        self._report(endpoint_id, status, elapsed_us, load_report)

    def _report(
        self,
        endpoint_id: EndpointId,
        status: AttemptStatus,
        elapsed_us: int = 0,
        load_report: tuple[float, ...] = (),
    ) -> None:
        self.dispatcher.dispatch(LoadProbeResult(endpoint_id, status, elapsed_us, load_report))
