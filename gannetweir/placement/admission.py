"""Admission: the throttle on arrivals while set-ups fail, and the load limit of endpoints."""

from __future__ import annotations

import math

from gannetweir.placement.context import PlacementContext
from gannetweir.placement.endpoint_state import EndpointState
from gannetweir.placement.load_model import GROUP_COST, LoadModel
from gannetweir.placement.pending_request import PendingRequest

# Recent arrivals and accepted requests decay to 1/e in this time: a few times the longest wait of a client.
THROTTLE_TIME_CONSTANT_US = 4e6
# After this time without an admission, the next arrival is admitted regardless of the rejection probability.
MAX_TIME_WITHOUT_ADMISSION_US = 3 * THROTTLE_TIME_CONSTANT_US
# Arrivals admitted before the throttle takes effect. Each relay of the fleet admits as many.
ARRIVAL_ALLOWANCE = 2.0
# The same for a client's own retry. It is lower, as a retry indicates a failure at this or another relay.
RETRY_ALLOWANCE = 0.5
# When a retry itself is judged, it counts as one arrival minus this discount.
RETRY_DISCOUNT = 0.5

# Load limits are shares of capacity. Message delays and rejections adjust the limit within these bounds.
INITIAL_LOAD_LIMIT = 0.8
MIN_LOAD_LIMIT = 0.6
MAX_LOAD_LIMIT = 0.9
# Delayed messages lower the limit, twice as fast as rejections without delayed messages raise it.
LOAD_LIMIT_DECREASE_PER_TICK = 0.02
LOAD_LIMIT_INCREASE_PER_TICK = 0.01
# Share of capacity reserved for the highest priority. Above the limit plus the reserve, load is migrated off.
LOAD_LIMIT_RESERVE = 0.1
# An endpoint without a load report gets requests of groups only up to this number of recent placements.
# Otherwise all requests of a group would be placed there.
MAX_UNREPORTED_GROUP_PLACEMENTS = 4


class AdmissionThrottle:
    """Rejects a share of the arrivals while far more requests arrive than are accepted.

    Owns the recent arrivals and the recent accepted requests, which both decay with
    `THROTTLE_TIME_CONSTANT_US`.
    """

    def __init__(self, context: PlacementContext, now_us: int) -> None:
        self._context = context
        self._updated_us = now_us
        self._enforced_until_us = 0.0
        self.recent_arrivals = 0.0
        self.recent_accepted = 0.0

    def admits(self, request: PendingRequest, is_retry: bool, now_us: int) -> bool:
        """Count an arrival and return whether it is admitted.

        Each arrival counts as accepted until `remove_accepted` corrects the count.
        """
        decay = math.exp((self._updated_us - now_us) / THROTTLE_TIME_CONSTANT_US)
        self._updated_us = now_us
        self.recent_arrivals = self.recent_arrivals * decay + 1.0
        self.recent_accepted = self.recent_accepted * decay
        is_rejected = now_us < self._enforced_until_us and self._draws_rejection(request, is_retry)
        if is_rejected:
            text = f"{self.recent_accepted:.1f} of {self.recent_arrivals:.1f} arrivals stand"
            self._context.write_log("throttle", text, now_us)
        else:
            # While most set-ups fail, clients' retries would keep the throttle in force. After
            # `MAX_TIME_WITHOUT_ADMISSION_US` it is not enforced, so that one arrival is admitted.
            self._enforced_until_us = now_us + MAX_TIME_WITHOUT_ADMISSION_US
        self.recent_accepted += 1.0  # `remove_accepted` undoes this if the request is not set up
        return not is_rejected

    def _draws_rejection(self, request: PendingRequest, is_retry: bool) -> bool:
        context = self._context
        priority = request.request_class.priority_weight / context.highest_priority_weight
        allowed = (1.0 + 2.0 * priority) * self.recent_accepted
        arrivals = self.recent_arrivals
        if is_retry:
            allowed += RETRY_ALLOWANCE
            arrivals -= RETRY_DISCOUNT
        else:
            allowed += ARRIVAL_ALLOWANCE
        return context.rng.random() < 1.0 - allowed / arrivals

    def remove_accepted(self) -> None:
        """Remove one request from the accepted ones: it was rejected or its set-up failed."""
        self.recent_accepted = max(0.0, self.recent_accepted - 1.0)


class LoadLimit:
    """The load up to which endpoints get new connections, and whether one has capacity for a request.

    Owns the limit and the observations since the last tick. An overloaded endpoint that accepts everything
    serves nothing, so load is shed at the limit, lowest priority first.
    """

    def __init__(self, context: PlacementContext, load_model: LoadModel) -> None:
        self._context, self._load_model = context, load_model
        self.value = INITIAL_LOAD_LIMIT
        self._has_delayed_messages = False
        self._has_shed_load = False

    @property
    def relief_load(self) -> float:
        """The load above which connections are migrated off."""
        return self.value + LOAD_LIMIT_RESERVE

    def record_delayed_message(self) -> None:
        """Record that a message was late at an endpoint within the limit: the limit is too high."""
        self._has_delayed_messages = True

    def record_shed_load(self) -> None:
        """Record that a request was rejected for lack of capacity: the limit may be too low."""
        self._has_shed_load = True

    def adjust(self) -> None:
        """Change the limit by the observations since the last tick."""
        step = 0.0
        if self._has_delayed_messages:
            step = -LOAD_LIMIT_DECREASE_PER_TICK
        elif self._has_shed_load:
            step = LOAD_LIMIT_INCREASE_PER_TICK
        self.value = min(MAX_LOAD_LIMIT, max(MIN_LOAD_LIMIT, self.value + step))
        self._has_delayed_messages = False
        self._has_shed_load = False

    def is_exceeded(self, endpoint: EndpointState, request: PendingRequest) -> bool:
        """Whether an endpoint has no capacity for a request of this priority and size."""
        context = self._context
        if not context.reports_load or not endpoint.has_report:
            return request.group > 0 and len(endpoint.recent_placements) >= MAX_UNREPORTED_GROUP_PLACEMENTS
        priority = request.request_class.priority_weight / context.highest_priority_weight
        limit = self.value - 0.5 * LOAD_LIMIT_RESERVE * (1.0 - priority)
        if endpoint is request.previous_endpoint:  # the endpoint's reports still count the connection
            return endpoint.load >= limit
        size = self._load_model.relative_size(request)
        return endpoint.load + 0.5 * self._load_model.additional_load(endpoint, size) >= limit

    def load_with(self, endpoint: EndpointState, request: PendingRequest) -> float:
        """Return the load of an endpoint with the request's connection, and with its group's cost, if any."""
        if endpoint is request.previous_endpoint:
            return endpoint.load
        size = 1.0 + GROUP_COST if request.group > 0 else 1.0
        return endpoint.load + self._load_model.additional_load(endpoint, size)
