"""The results of load probes, and the decisions that they lead to."""

from __future__ import annotations

import math

from gannetweir.placement.actions import MigrateConnection
from gannetweir.placement.attempt_dispatch import AttemptDispatch
from gannetweir.placement.context import FleetState, PlacementContext
from gannetweir.placement.endpoint_state import EndpointState
from gannetweir.placement.events import AttemptStatus, LoadProbeResult
from gannetweir.placement.group_placement import GroupPlacement
from gannetweir.placement.load_model import LoadModel
from gannetweir.placement.outlier_ejection import OutlierEjection
from gannetweir.placement.packing import Packing, UniformDraw
from gannetweir.placement.rebalancing import Rebalancing


class ProbeResults:
    """Handles load reports. The only writer of `reported_us`, except for the restart of an endpoint."""

    def __init__(
        self,
        context: PlacementContext,
        state: FleetState,
        load_model: LoadModel,
        ejection: OutlierEjection,
        uniform_draw: UniformDraw,
        packing: Packing,
        group_placement: GroupPlacement,
        rebalancing: Rebalancing,
        dispatch: AttemptDispatch,
    ) -> None:
        self._context = context
        self._endpoints = state.endpoints
        self._requests = state.requests
        self._load_model = load_model
        self._ejection = ejection
        self._uniform_draw = uniform_draw
        self._packing = packing
        self._group_placement = group_placement
        self._rebalancing = rebalancing
        self._dispatch = dispatch

    def probe_ended(self, event: LoadProbeResult, now_us: int) -> None:
        """Record a report or eject an unreachable endpoint, then resume the requests that await the probe."""
        endpoint = self._endpoints.get(event.endpoint_id)
        if endpoint is None:
            return
        is_sample = self._packing.probe_answered(endpoint)
        if self._is_report(event):
            endpoint.reported_us = now_us
            if endpoint.is_ready:
                if is_sample:
                    self._uniform_draw.set_last_reporter(endpoint)
                self._record(endpoint, event.load_report, now_us)
                self._rebalancing.relieve(endpoint, now_us)
        elif self._is_unreachable(event) and self._ejection.eject(endpoint, now_us):
            self._migrate_all(endpoint)
        accepts_attempts = endpoint.accepts_attempts(now_us)
        if is_sample and not accepts_attempts:
            self._packing.sample_failed(now_us)
        elif is_sample and event.status != AttemptStatus.NOT_STARTED:
            # An answer without a report completes the sample as well; otherwise a round would never end. A
            # probe that was not started is no answer, and the next one would not be started now either: the
            # requests that await the sample continue when their wait ends.
            self._packing.complete_sample(endpoint, now_us)
        for request_id in self._group_placement.probe_answered(endpoint, accepts_attempts):
            self._dispatch.proceed(request_id, self._requests[request_id], now_us)

    @staticmethod
    def _is_unreachable(event: LoadProbeResult) -> bool:
        return event.status in (AttemptStatus.TIMEOUT, AttemptStatus.CONNECT_FAILED)

    def _is_report(self, event: LoadProbeResult) -> bool:
        has_connections = 0 <= self._context.connections_field < len(event.load_report)
        return (
            event.status == AttemptStatus.OK
            and has_connections
            and all(map(math.isfinite, event.load_report))
        )

    def _migrate_all(self, endpoint: EndpointState) -> None:
        for request_id in endpoint.request_ids:
            if self._requests[request_id].is_established:
                self._context.actions.append(MigrateConnection(request_id))

    def _record(self, endpoint: EndpointState, report: tuple[float, ...], now_us: int) -> None:
        load_field = self._context.load_field
        load = max(0.0, report[load_field]) if 0 <= load_field < len(report) else 0.0
        connections = max(0.0, report[self._context.connections_field])
        self._load_model.record_report(endpoint, connections, load, now_us)
