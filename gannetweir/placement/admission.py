"""Admission: the throttle on arrivals while set-ups fail, and the load up to which endpoints are sent to."""

from __future__ import annotations

import math

from gannetweir.placement.context import PlacementContext
from gannetweir.placement.endpoint_state import EndpointState
from gannetweir.placement.load_model import GROUP_COST, LoadModel
from gannetweir.placement.pending_request import PendingRequest

THROTTLE_TIME_CONSTANT_US = (
    4e6  # time in which what is remembered fades to 1/e: a few times a client's patience
)
MAX_TIME_WITHOUT_ADMISSION_US = (
    3 * THROTTLE_TIME_CONSTANT_US
)  # after as long without one, an arrival is admitted whatever the chance
# Arrivals that pass before the throttle judges; each of many relays lets as many pass.
ARRIVAL_ALLOWANCE = 2.0
RETRY_ALLOWANCE = 0.5  # for a client's own retry: it tells of a failure, at whichever relay
RETRY_DISCOUNT = 0.5  # of one arrival, which the retry itself counts less among the recent ones

INITIAL_LOAD_LIMIT = 0.8  # of an endpoint's capacity, until measured delays and refusals have moved it
MIN_LOAD_LIMIT = 0.6
MAX_LOAD_LIMIT = 0.9
LOAD_LIMIT_DECREASE_PER_TICK = 0.02  # a tick with late messages: twice as fast down as up
LOAD_LIMIT_INCREASE_PER_TICK = 0.01  # a tick with refusals and none late
LOAD_LIMIT_RESERVE = 0.1  # of capacity: kept for the highest priority; past it, load is migrated off
MAX_UNREPORTED_GROUP_PLACEMENTS = 4  # of groups at an endpoint without a report: all would go there unseen


class AdmissionThrottle:
    """Rejects a share of the arrivals while far more come than are accepted.

    Owns the recent arrivals and accepted ones, both fading with `THROTTLE_TIME_CONSTANT_US`.
    """

    def __init__(self, context: PlacementContext, now_us: int) -> None:
        self._context = context
        self._updated_us = now_us
        self._enforced_until_us = 0.0
        self.recent_arrivals = 0.0
        self.recent_accepted = 0.0

    def admits(self, request: PendingRequest, is_retry: bool, now_us: int) -> bool:
        """Count an arrival, and decide whether it goes on; one that does is taken for accepted at first."""
        decay = math.exp((self._updated_us - now_us) / THROTTLE_TIME_CONSTANT_US)
        self._updated_us = now_us
        self.recent_arrivals = self.recent_arrivals * decay + 1.0
        self.recent_accepted = self.recent_accepted * decay
        is_rejected = now_us < self._enforced_until_us and self._draws_rejection(request, is_retry)
        if is_rejected:
            text = f"{self.recent_accepted:.1f} of {self.recent_arrivals:.1f} arrivals stand"
            self._context.write_log("throttle", text, now_us)
        else:
            # Where most set-ups fail, clients' retries would keep the throttle on; at last one passes.
            self._enforced_until_us = now_us + MAX_TIME_WITHOUT_ADMISSION_US
        self.recent_accepted += 1.0  # taken back by `remove_accepted` where it is not set up
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
        """Take back one accepted request: it was not set up."""
        self.recent_accepted = max(0.0, self.recent_accepted - 1.0)


class LoadLimit:
    """The load up to which endpoints are sent to, and whether one has capacity for a request.

    Owns the limit and what was noticed since the last tick. In overload, an endpoint that takes all serves
    none: load is shed at the limit, the lowest priority first.
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
        """A message was late at an endpoint within the limit: the limit is too high."""
        self._has_delayed_messages = True

    def record_shed_load(self) -> None:
        """A request was refused for want of capacity: the limit may be too low."""
        self._has_shed_load = True

    def adjust(self) -> None:
        """Move the limit by what was noticed since the last tick."""
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
        if endpoint is request.previous_endpoint:  # its reports still count the connection
            return endpoint.load >= limit
        size = self._load_model.relative_size(request)
        return endpoint.load + 0.5 * self._load_model.additional_load(endpoint, size) >= limit

    def load_with(self, endpoint: EndpointState, request: PendingRequest) -> float:
        """Return the load of an endpoint with one more connection, and its group where it has one."""
        if endpoint is request.previous_endpoint:
            return endpoint.load
        size = 1.0 + GROUP_COST if request.group > 0 else 1.0
        return endpoint.load + self._load_model.additional_load(endpoint, size)
