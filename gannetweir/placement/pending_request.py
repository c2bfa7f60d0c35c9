"""The requests that are owed an answer and the connections that are open, by id."""

from __future__ import annotations

from dataclasses import dataclass, field

from gannetweir.placement.endpoint_state import EndpointState
from gannetweir.placement.settings import RequestClass


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that is owed an answer, or an established connection."""

    request_class: RequestClass
    tenant: int
    group: int  # 0: the request belongs to no group
    deadline_us: int
    load_hint: float  # the load of its connection, in the client's own unit; 0 where it is not known
    was_returned: bool = False  # its connection was broken or migrated
    # Where a returned connection most likely was until just now: the reports there still count it.
    previous_endpoint: EndpointState | None = None
    is_established: bool = False
    attempts: int = 0
    endpoint: EndpointState | None = None  # that of the latest attempt
    attempt_started_us: int = 0
    attempted_endpoints: list[EndpointState] = field(default_factory=list)
    # Endpoints that failed it in a way which may be the client's fault.
    suspects: list[EndpointState] = field(default_factory=list)
    waits_until_us: int = 0  # for a load report, at most until then; 0: it has not waited yet
    executed_at: EndpointState | None = None  # where the first attempt that may have been executed went
    executed_us: int = 0

    def has_waited(self, now_us: int) -> bool:
        """Whether it has waited for a load report as long as it may."""
        return now_us >= self.waits_until_us > 0


class PendingRequests(dict[int, PendingRequest]):
    """The requests and connections of this relay, by request id."""

    def group_endpoints(self, group: int) -> dict[EndpointState, int]:
        """How many of a group are at each endpoint."""
        counts: dict[EndpointState, int] = {}
        for request in self.values():
            if request.group == group and request.endpoint is not None:
                counts[request.endpoint] = counts.get(request.endpoint, 0) + 1
        return counts

    def setups_at(self, endpoint: EndpointState) -> int:
        """How many are being set up at an endpoint."""
        return sum(not self[request_id].is_established for request_id in endpoint.request_ids)

    def established_at(self, endpoint: EndpointState) -> int:
        """How many are established at an endpoint."""
        return sum(self[request_id].is_established for request_id in endpoint.request_ids)

    def group_peers_at(self, request_id: int, endpoint: EndpointState) -> int:
        """How many more of a request's group are at an endpoint."""
        group = self[request_id].group
        return sum(self[other].group == group for other in endpoint.request_ids if other != request_id)

    def groups_at(self, endpoint: EndpointState) -> set[int]:
        """The groups that have any at an endpoint."""
        return {self[request_id].group for request_id in endpoint.request_ids}
