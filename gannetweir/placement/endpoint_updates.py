"""Updates of the endpoint list: which endpoints are ready, draining or removed, and which have restarted."""

from __future__ import annotations

from gannetweir.placement.context import FleetState
from gannetweir.placement.endpoint_polling import EndpointPolling
from gannetweir.placement.endpoint_state import EndpointState
from gannetweir.placement.events import (
    EndpointEntry,
    EndpointListUpdate,
    EndpointStatus,
    UpdateKind,
)
from gannetweir.placement.packing import Packing, UniformDraw
from gannetweir.placement.slow_start import SlowStart


class EndpointUpdates:
    """Applies updates of the endpoint list. The only writer of endpoints by id, their status and location."""

    def __init__(
        self,
        state: FleetState,
        slow_start: SlowStart,
        uniform_draw: UniformDraw,
        packing: Packing,
        polling: EndpointPolling,
    ) -> None:
        self._endpoints = state.endpoints
        self._ready_endpoints = state.ready_endpoints
        self._reports = state.reports
        self._slow_start = slow_start
        self._uniform_draw = uniform_draw
        self._packing = packing
        self._polling = polling

    def apply(self, update: EndpointListUpdate, now_us: int) -> None:
        """Apply a complete list or changes to it; a failed poll leaves the list unchanged."""
        if update.kind == UpdateKind.FAILED:
            self._polling.failed(now_us)
            return
        if update.kind != UpdateKind.CACHED:
            self._polling.succeeded()
        if update.kind != UpdateKind.DELTA:
            listed = {entry.endpoint_id for entry in update.entries}
            unlisted = [
                endpoint for endpoint in self._endpoints.values() if endpoint.endpoint_id not in listed
            ]
            for endpoint in unlisted:
                self._withdraw(endpoint, EndpointStatus.REMOVED)
        for entry in update.entries:
            self._apply_entry(entry, now_us)
        if self._packing.target is None:
            self._packing.start_sample(now_us)

    def _apply_entry(self, entry: EndpointEntry, now_us: int) -> None:
        endpoint = self._endpoints.setdefault(entry.endpoint_id, EndpointState(entry))
        if entry.started_us != endpoint.started_us:
            self._reports.discard(endpoint)
            self._packing.end_fill(endpoint)  # the draw assumed an endpoint that was not warming up
            endpoint.restart(entry.started_us)
        if entry.state != EndpointStatus.REMOVED:
            self._apply_location(endpoint, entry)
        if entry.state != EndpointStatus.READY:
            self._withdraw(endpoint, entry.state)
            return
        if not endpoint.is_ready:
            endpoint.status = EndpointStatus.READY
            self._ready_endpoints.add(endpoint)
        self._slow_start.add(endpoint, now_us)

    def _apply_location(self, endpoint: EndpointState, entry: EndpointEntry) -> None:
        """Apply the zone, cell and machine type of an entry. With new settings the same zone may have another
        number, at an endpoint that stays ready as well as at one that is still remembered for a retry.
        """
        endpoint.machine_type = entry.machine_type
        if endpoint.zone == entry.zone and endpoint.cell == entry.cell:
            return
        if endpoint.is_ready:
            self._ready_endpoints.remove(endpoint)
        endpoint.zone = entry.zone
        endpoint.cell = entry.cell
        if endpoint.is_ready:
            self._ready_endpoints.add(endpoint)

    def _withdraw(self, endpoint: EndpointState, status: int) -> None:
        """Allow no new attempts at an endpoint that is draining or removed, whatever its grace period."""
        if endpoint.is_ready:
            self._ready_endpoints.remove(endpoint)
            self._uniform_draw.forget_last_reporter()
            self._reports.discard(endpoint)
            self._slow_start.remove(endpoint)
            self._packing.end_fill(endpoint)
        endpoint.status = status
