"""The requests that are owed an answer and the connections that are open, by id."""

from __future__ import annotations

from gannetweir.placement.endpoint_state import EndpointState
from gannetweir.placement.settings import RequestClass


class PendingRequest:
    """A request that is owed an answer, or an established connection.

    A plain class, as a dataclass of so many fields costs 2 ms at each start.
    """

    __slots__ = (
        "attempt_started_us",
        "attempted_endpoints",
        "attempts",
        "deadline_us",
        "endpoint",
        "executed_endpoint",
        "execution_started_us",
        "group",
        "is_established",
        "load_hint",
        "previous_endpoint",
        "request_class",
        "suspect_endpoints",
        "tenant",
        "wait_deadline_us",
        "was_returned",
    )

    def __init__(
        self,
        request_class: RequestClass,
        tenant: int,
        group: int,
        deadline_us: int,
        load_hint: float,
        was_returned: bool,
    ) -> None:
        self.request_class = request_class
        self.tenant = tenant
        self.group = group  # 0: the request belongs to no group
        self.deadline_us = deadline_us
        self.load_hint = load_hint  # of its connection, in the client's own unit; 0 where it is not known
        self.was_returned = was_returned  # its connection was broken or migrated
        # Where a returned connection most likely was until just now: the reports there still count it.
        self.previous_endpoint: EndpointState | None = None
        self.is_established = False
        self.attempts = 0
        self.endpoint: EndpointState | None = None  # that of the latest attempt
        self.attempt_started_us = 0
        self.attempted_endpoints: list[EndpointState] = []
        # Endpoints that failed it in a way which may be the client's fault.
        self.suspect_endpoints: list[EndpointState] = []
        self.wait_deadline_us = 0  # for a load report, at most until then; 0: it has not waited yet
        self.executed_endpoint: EndpointState | None = (
            None  # where the first attempt that may have been executed went
        )
        self.execution_started_us = 0  # when that attempt started

    def has_wait_expired(self, now_us: int) -> bool:
        """Whether it has waited for a load report as long as it may."""
        return now_us >= self.wait_deadline_us > 0


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
