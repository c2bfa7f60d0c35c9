"""What a relay remembers of the fleet: its endpoints, their load reports, and its own requests."""

from __future__ import annotations

from gannetweir.placement.endpoint_state import EndpointState
from gannetweir.placement.events import EndpointId
from gannetweir.placement.load_reports import LoadReportTable
from gannetweir.placement.pending_request import PendingRequests
from gannetweir.placement.ready_endpoints import ReadyEndpoints


class FleetState:
    """The records that the parts of one balancer read; each says who writes it."""

    def __init__(self) -> None:
        self.endpoints: dict[EndpointId, EndpointState] = {}  # all ever listed; `EndpointUpdates` writes it
        self.ready_endpoints = ReadyEndpoints()
        self.requests = PendingRequests()  # `RequestLifecycle` adds, it and `AttemptDispatch` remove
        self.reports = LoadReportTable()
