"""The candidate search for a request of a group.

The connections of a group share work: each endpoint that holds any of them pays the group's cost once. A
group therefore belongs to the first few endpoints of its ranking, which is the same at every relay. Where
those have no capacity, the search continues down the ranking.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import chain, islice

from gannetweir.placement.admission import LoadLimit
from gannetweir.placement.context import REPORT_FRESHNESS_US, Choice, Deferral, FleetState, PlacementContext
from gannetweir.placement.endpoint_state import EndpointState
from gannetweir.placement.pending_request import PendingRequest
from gannetweir.placement.slow_start import SlowStart

# Endpoints that a group belongs to: the second takes what the first has no capacity for.
GROUP_ENDPOINTS = 2
# Maximum number of candidates for one request. A group's ranking is fixed, so none is examined twice.
MAX_CANDIDATES = 8
# Up to this load, a group is placed on an endpoint of this relay's zone in addition to those it belongs to.
OWN_ZONE_LOAD_LIMIT = 0.7
MAX_SETUPS_PER_ENDPOINT = 5  # set-ups in flight from this relay
MAX_SETUPS_PER_ENDPOINT_AFTER_WAIT = 10  # for a request whose wait has expired
# The first candidates need a more recent report: most requests of a group are placed there.
FIRST_REPORT_FRESHNESS_US = REPORT_FRESHNESS_US // 10
FIRST_CANDIDATES = 4
# After a relay starts, load reports still count returning connections at their previous endpoint for so long.
RETURN_PERIOD_US = 5 * REPORT_FRESHNESS_US


class CandidateSearch:
    """The state of the candidate search for one request of a group."""

    def __init__(self, attempted: list[EndpointState]) -> None:
        self.examined = list(attempted)  # in order; includes endpoints attempted before
        self.awaited_endpoint: EndpointState | None = None  # its load probe is in flight
        self.reported_endpoint: EndpointState | None = None  # its load probe has been answered
        # The first candidate with capacity for the connection but not for the cost of one more group.
        self.fallback: EndpointState | None = None

    def probe_answered(self, endpoint: EndpointState, accepts_attempts: bool) -> None:
        """Continue with the endpoint whose load probe has ended, or past it if it accepts no attempts."""
        self.awaited_endpoint = None
        if accepts_attempts:
            self.reported_endpoint = endpoint
            self.examined.remove(endpoint)


class _CandidateOrder:
    """The order in which endpoints are considered for a group, at one moment."""

    def __init__(
        self,
        permitted: list[EndpointState],
        in_own_zone: list[EndpointState],
        holders: dict[EndpointState, int],
        first_ranked: list[EndpointState],
        sequence: Iterator[EndpointState],
    ) -> None:
        self.permitted = permitted  # eligible although they are warming up
        self.in_own_zone = in_own_zone  # the first of this relay's zone in the ranking, or none
        self.holders = holders  # the number of the group's requests by endpoint
        self.first_ranked = first_ranked  # the endpoints that the group belongs to
        self.sequence = sequence


class GroupPlacement:
    """Places the requests of groups. Owns the searches that await a load report, by request id."""

    def __init__(
        self,
        context: PlacementContext,
        state: FleetState,
        slow_start: SlowStart,
        load_limit: LoadLimit,
        probe: Callable[[EndpointState, int], None],
        now_us: int,
    ) -> None:
        self._context = context
        self._ready_endpoints = state.ready_endpoints
        self._requests = state.requests
        self._slow_start = slow_start
        self._load_limit = load_limit
        self._probe = probe
        self._relay_started_us = now_us
        self.searches: dict[int, CandidateSearch] = {}

    def expect_no_returns(self) -> None:
        """Assume from now on that no load report still counts a returning connection.

        Returning connections then come from other relays, not from an earlier process of this one, and each
        of them adds its load to the endpoint on which it is placed.
        """
        self._relay_started_us = 0

    def choose(self, request_id: int, request: PendingRequest, now_us: int) -> Choice:
        """Continue the search for a request.

        Returns an endpoint, None if there is none, or a deferral while a candidate's load report is awaited.
        """
        search = self.searches.setdefault(request_id, CandidateSearch(request.attempted_endpoints))
        order = self._candidate_order(search, request.group)
        has_wait_expired = request.has_wait_expired(now_us)
        reached_setup_limit = False
        remaining = max(0, MAX_CANDIDATES - len(search.examined))
        for endpoint in islice(self._eligible(order, search, now_us), remaining):
            self._examine(endpoint, request, search, now_us)
            if not has_wait_expired and not self._is_report_recent(endpoint, search, now_us):
                self._await_report(endpoint, request, search, now_us)
                return Deferral.AWAITING_REPORT
            if self._is_at_setup_limit(endpoint, request, has_wait_expired):
                reached_setup_limit = True
            elif not self._load_limit.is_exceeded(endpoint, request):
                if self._is_within_limit(endpoint, request, order):
                    return endpoint
                # The extra endpoint in this relay's zone is no fallback: it would add the group's cost again.
                if endpoint in order.first_ranked or endpoint not in order.in_own_zone:
                    search.fallback = search.fallback or endpoint
        if reached_setup_limit and not has_wait_expired and search.fallback is None:
            self._context.start_report_wait(request, now_us)
            self.searches[request_id] = CandidateSearch(request.attempted_endpoints)
            return Deferral.AWAITING_REPORT
        return search.fallback if search.fallback and search.fallback.is_ready else None

    def _candidate_order(self, search: CandidateSearch, group: int) -> _CandidateOrder:
        """Order the endpoints: permits, holders, this relay's zone, the group's own, its further ranking."""
        ready, warming_up = self._ready_endpoints, self._slow_start.warming_up
        own_zone, prefers_own_zone = self._context.settings.zone, self._context.prefers_own_zone
        holders = self._requests.group_endpoints(group)
        first_ranked = ready.highest_ranked(group, GROUP_ENDPOINTS, warming_up)
        first_ranked.sort(key=lambda endpoint: endpoint.zone != own_zone)
        holders_by_count = sorted(
            holders, key=lambda holder: (prefers_own_zone and holder.zone != own_zone, -holders[holder])
        )
        permitted = self._slow_start.permits[-1:]
        if search.reported_endpoint is not None:
            permitted = [search.reported_endpoint, *permitted]
        in_own_zone: list[EndpointState] = []
        preferred_holders = holders_by_count
        if prefers_own_zone:
            in_own_zone = ready.highest_ranked(group, 1, warming_up, own_zone)
            preferred_holders = [holder for holder in holders_by_count if holder.zone == own_zone]
        sequence = chain(
            permitted, preferred_holders, in_own_zone, holders_by_count, first_ranked, ready.ranking(group)
        )
        return _CandidateOrder(permitted, in_own_zone, holders, first_ranked, sequence)

    def _eligible(
        self, order: _CandidateOrder, search: CandidateSearch, now_us: int
    ) -> Iterator[EndpointState]:
        """Yield endpoints in order that accept attempts and have not been examined at their turn."""
        warming_up, all_are_warming_up = self._slow_start.warming_up, self._slow_start.all_are_warming_up
        for endpoint in order.sequence:
            if endpoint in search.examined or not endpoint.accepts_attempts(now_us):
                continue
            if all_are_warming_up or endpoint not in warming_up or endpoint in order.permitted:
                yield endpoint

    def _examine(
        self, endpoint: EndpointState, request: PendingRequest, search: CandidateSearch, now_us: int
    ) -> None:
        """Record a candidate as examined, and use a permit if the candidate needs one.

        Soon after the relay's start, the first candidate of a returned connection that is not warming up is
        taken for its previous endpoint, whose load report still counts the connection.
        """
        search.examined.append(endpoint)
        is_warming_up = endpoint in self._slow_start.warming_up
        has_just_started = now_us - self._relay_started_us < RETURN_PERIOD_US
        if request.was_returned and not is_warming_up and has_just_started:
            request.previous_endpoint = request.previous_endpoint or endpoint
        if (
            is_warming_up
            and endpoint is not search.reported_endpoint
            and not self._slow_start.all_are_warming_up
        ):
            self._slow_start.use_permit()

    @staticmethod
    def _is_report_recent(endpoint: EndpointState, search: CandidateSearch, now_us: int) -> bool:
        if endpoint is search.reported_endpoint:
            return True
        if not endpoint.has_report:
            return False
        is_first = len(search.examined) <= FIRST_CANDIDATES
        max_age_us = FIRST_REPORT_FRESHNESS_US if is_first else REPORT_FRESHNESS_US
        return now_us - endpoint.reported_us < max_age_us

    def _await_report(
        self, endpoint: EndpointState, request: PendingRequest, search: CandidateSearch, now_us: int
    ) -> None:
        """Make the request wait for the candidate's load report; requests for one report share a probe."""
        self._context.start_report_wait(request, now_us)
        if all(other.awaited_endpoint is not endpoint for other in self.searches.values()):
            self._probe(endpoint, now_us)
        search.awaited_endpoint = endpoint

    def _is_at_setup_limit(
        self, endpoint: EndpointState, request: PendingRequest, has_wait_expired: bool
    ) -> bool:
        default = MAX_SETUPS_PER_ENDPOINT_AFTER_WAIT if has_wait_expired else MAX_SETUPS_PER_ENDPOINT
        max_setups = request.request_class.max_setups_per_endpoint or default
        return self._requests.setups_at(endpoint) >= max_setups

    def _is_within_limit(
        self, endpoint: EndpointState, request: PendingRequest, order: _CandidateOrder
    ) -> bool:
        """Whether the endpoint pays the group's cost already, is warming up, or has capacity for the cost."""
        if endpoint in order.holders or endpoint in self._slow_start.warming_up:
            return True
        limit = OWN_ZONE_LOAD_LIMIT if endpoint in order.in_own_zone else self._load_limit.value
        return self._load_limit.load_with(endpoint, request) < limit

    def end_search(self, request_id: int) -> None:
        """Discard the search of a request that was placed, finished or abandoned."""
        self.searches.pop(request_id, None)

    def probe_answered(self, endpoint: EndpointState, accepts_attempts: bool) -> Iterator[int]:
        """Yield the requests that waited for an endpoint's report, each when its search can continue."""
        waiting = [
            waiting_id for waiting_id, search in self.searches.items() if search.awaited_endpoint is endpoint
        ]
        for request_id in waiting:
            self.searches[request_id].probe_answered(endpoint, accepts_attempts)
            yield request_id

    def overdue_requests(self, now_us: int) -> list[int]:
        """Return the requests whose search has reached its wait deadline."""
        return [
            waiting_id
            for waiting_id in self.searches
            if now_us >= self._requests[waiting_id].wait_deadline_us
        ]
