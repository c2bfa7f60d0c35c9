"""The requests without a final answer and the open connections, by id."""

from __future__ import annotations

from gannetweir.placement.endpoint_state import EndpointState
from gannetweir.placement.settings import RequestClass


class PendingRequest:
    """A request without a final answer, or an established connection.

    A plain class, as a dataclass with this many fields adds 2 ms to each start of the process.
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
        self.group = group  # 0 if the request has no group
        self.deadline_us = deadline_us
        self.load_hint = load_hint  # in the client's own unit; 0 if unknown
        self.was_returned = was_returned  # whether its previous connection was broken or migrated
        # The most likely previous endpoint of a returned connection: the reports there still count it.
        self.previous_endpoint: EndpointState | None = None
        self.is_established = False
        self.attempts = 0
        self.endpoint: EndpointState | None = None  # endpoint of the latest attempt
        self.attempt_started_us = 0
        self.attempted_endpoints: list[EndpointState] = []
        # Endpoints that failed the request in a way that the client may have caused.
        self.suspect_endpoints: list[EndpointState] = []
        self.wait_deadline_us = 0  # end of the wait for a load report; 0 before any wait
        # The endpoint of the first attempt that may have been executed, and the start of that attempt.
        self.executed_endpoint: EndpointState | None = None
        self.execution_started_us = 0

    def has_wait_expired(self, now_us: int) -> bool:
        """Whether the request has reached the deadline of its wait for a load report."""
        return now_us >= self.wait_deadline_us > 0


class PendingRequests(dict[int, PendingRequest]):
    """The requests and connections of this relay, by request id."""

    def group_endpoints(self, group: int) -> dict[EndpointState, int]:
        """Return the endpoints of a group, with the number of its requests at each."""
        counts: dict[EndpointState, int] = {}
        for request in self.values():
            if request.group == group and request.endpoint is not None:
                counts[request.endpoint] = counts.get(request.endpoint, 0) + 1
        return counts

    def setups_at(self, endpoint: EndpointState) -> int:
        """Return the number of set-ups in flight at an endpoint."""
        return sum(not self[request_id].is_established for request_id in endpoint.request_ids)

    def established_at(self, endpoint: EndpointState) -> int:
        """Return the number of established connections at an endpoint."""
        return sum(self[request_id].is_established for request_id in endpoint.request_ids)

    def group_peers_at(self, request_id: int, endpoint: EndpointState) -> int:
        """Return the number of other requests of the same group at an endpoint."""
        group = self[request_id].group
        return sum(self[other].group == group for other in endpoint.request_ids if other != request_id)

    def groups_at(self, endpoint: EndpointState) -> set[int]:
        """Return the groups of the requests at an endpoint."""
        return {self[request_id].group for request_id in endpoint.request_ids}
