"""The candidate search for an arrival of a group.

Connections of one group share work: each endpoint that holds any of a group pays for the group once. So a
group belongs to the first few endpoints of its ranking, the same at every relay, and goes on from there.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import chain, islice

from gannetweir.placement.admission import LoadLimit
from gannetweir.placement.context import REPORT_FRESHNESS_US, Choice, Deferral, FleetState, PlacementContext
from gannetweir.placement.endpoint_state import EndpointState
from gannetweir.placement.pending_request import PendingRequest
from gannetweir.placement.slow_start import SlowStart

GROUP_ENDPOINTS = 2  # that a group belongs to: one takes it, the second what the first has no capacity for
MAX_CANDIDATES = 8  # examined for one arrival; a group's ranking is fixed, so none is examined twice
OWN_ZONE_LOAD_LIMIT = 0.7  # up to which a group gets an endpoint in the own zone beside those it belongs to
MAX_SETUPS_PER_ENDPOINT = 5  # under way at one endpoint from this relay
MAX_SETUPS_PER_ENDPOINT_AFTER_WAIT = 10  # for a request that has waited as long as it may
# Reports of the first candidates have to be this recent: they are those that many arrivals of a group go to.
FIRST_REPORT_FRESHNESS_US = REPORT_FRESHNESS_US // 10
FIRST_CANDIDATES = 4
RETURN_PERIOD_US = (
    5 * REPORT_FRESHNESS_US
)  # after the start, in which returned connections are counted elsewhere


class CandidateSearch:
    """The candidates for one arrival of a group so far, in their order."""

    def __init__(self, attempted: list[EndpointState]) -> None:
        self.examined = list(attempted)  # in this search, or attempted before
        self.awaited_endpoint: EndpointState | None = None  # its probe is out
        self.reported_endpoint: EndpointState | None = None  # its probe has been answered
        # The first of those that would do, though one more group is much for them.
        self.fallback: EndpointState | None = None

    def probe_answered(self, endpoint: EndpointState, accepts_attempts: bool) -> None:
        """Go on from the endpoint whose probe has been answered, or past it."""
        self.awaited_endpoint = None
        if accepts_attempts:
            self.reported_endpoint = endpoint
            self.examined.remove(endpoint)


class _CandidateOrder:
    """The order in which the endpoints come into question for a group, at one moment."""

    def __init__(
        self,
        permitted: list[EndpointState],
        in_own_zone: list[EndpointState],
        holders: dict[EndpointState, int],
        first_ranked: list[EndpointState],
        sequence: Iterator[EndpointState],
    ) -> None:
        self.permitted = permitted  # may be used though they are warming up
        self.in_own_zone = in_own_zone  # the first of the own zone in the group's ranking, or none
        self.holders = holders  # how many of the group are at each of its endpoints
        self.first_ranked = first_ranked  # those that the group belongs to
        self.sequence = sequence


class GroupPlacement:
    """The searches of the requests that are waiting for a candidate's report. Owns them, by request id."""

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
        """Take returned connections for those of other relays, which no report need count any more."""
        self._relay_started_us = 0

    def choose(self, request_id: int, request: PendingRequest, now_us: int) -> Choice:
        """Go on with the search of a request: an endpoint, none, or a deferral for a candidate's report."""
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
                # Never the extra endpoint in the own zone: it would be one more to pay for.
                if endpoint in order.first_ranked or endpoint not in order.in_own_zone:
                    search.fallback = search.fallback or endpoint
        if reached_setup_limit and not has_wait_expired and search.fallback is None:
            self._context.start_report_wait(request, now_us)
            self.searches[request_id] = CandidateSearch(request.attempted_endpoints)
            return Deferral.AWAITING_REPORT
        return search.fallback if search.fallback and search.fallback.is_ready else None

    def _candidate_order(self, search: CandidateSearch, group: int) -> _CandidateOrder:
        """Order the endpoints: permits, holders, the own zone, those the group belongs to, the rest."""
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
        """Yield those that may be sent to and have not been examined by the time they come up."""
        warming_up, all_are_warming_up = self._slow_start.warming_up, self._slow_start.all_are_warming_up
        for endpoint in order.sequence:
            if endpoint in search.examined or not endpoint.accepts_attempts(now_us):
                continue
            if all_are_warming_up or endpoint not in warming_up or endpoint in order.permitted:
                yield endpoint

    def _examine(
        self, endpoint: EndpointState, request: PendingRequest, search: CandidateSearch, now_us: int
    ) -> None:
        """Enter a candidate as examined, and use a permit where it takes one."""
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
        """Hold the request until the candidate's report comes; one probe serves all that wait for it."""
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
        """Whether the group is paid for there already, or its cost stays within the limit."""
        if endpoint in order.holders or endpoint in self._slow_start.warming_up:
            return True
        limit = OWN_ZONE_LOAD_LIMIT if endpoint in order.in_own_zone else self._load_limit.value
        return self._load_limit.load_with(endpoint, request) < limit

    def end_search(self, request_id: int) -> None:
        """Forget the search of a request that is placed, finished or gone."""
        self.searches.pop(request_id, None)

    def probe_answered(self, endpoint: EndpointState, accepts_attempts: bool) -> Iterator[int]:
        """Yield the requests that waited for an endpoint's report, each when its search can go on."""
        waiting = [
            waiting_id for waiting_id, search in self.searches.items() if search.awaited_endpoint is endpoint
        ]
        for request_id in waiting:
            self.searches[request_id].probe_answered(endpoint, accepts_attempts)
            yield request_id

    def overdue_requests(self, now_us: int) -> list[int]:
        """Return the requests whose search has waited as long as it may."""
        return [
            waiting_id
            for waiting_id in self.searches
            if now_us >= self._requests[waiting_id].wait_deadline_us
        ]
