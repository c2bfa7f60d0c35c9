"""Applies the routing rules of an operators' file to requests and attempts.

Decides a request's class as its route treats it, whether the request may begin, and whether it may be
retried. Reads no clock and draws no random numbers: the engine passes both in and carries the decision out.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from gannetweir.placement.events import EndpointId, RequestArrived
from gannetweir.placement.settings import RequestClass, Settings
from gannetweir.routing.connection_limiter import ConnectionLimiter
from gannetweir.routing.retry_budget import RetryBudget
from gannetweir.routing.route_table import RouteTable
from gannetweir.routing.rules import (
    ConnectionLimitRule,
    RetryBudgetRule,
    Route,
    RoutingRules,
    routed_class,
)


@dataclass(frozen=True, slots=True)
class Rejection:
    """Why a request is rejected, and when the client may retry."""

    reason: str
    retry_after_us: int


@dataclass(slots=True, eq=False)
class AdmissionPermit:
    """The limiter and the retry budget of one route, or of the relay.

    A request keeps its permit over a reload, so that the request is released where it was counted.
    """

    route_name: str
    limiter: ConnectionLimiter
    retry_budget: RetryBudget | None


def platform_classes(settings: Settings) -> list[RequestClass]:
    """Return the classes that the platform states, without those derived for routes."""
    return [request_class for request_class in settings.classes if not request_class.route]


def with_routed_classes(settings: Settings, rules: RoutingRules | None) -> Settings:
    """Return the settings with all classes as stated, followed by all classes as each route treats them."""
    stated = platform_classes(settings)
    routes = rules.routes if rules is not None else ()
    derived = [routed_class(request_class, route, settings) for route in routes for request_class in stated]
    return replace(settings, classes=stated + derived)


class RouteAdmission:
    """The routes, retry budgets and limits of one relay. Owns their counts.

    `settings` must be the result of `with_routed_classes` for the same rules.
    """

    def __init__(self, rules: RoutingRules, settings: Settings) -> None:
        self.permits: dict[str, AdmissionPermit] = {}
        self.relay_permit = AdmissionPermit("relay", ConnectionLimiter(ConnectionLimitRule(), 1), None)
        self.setups_by_endpoint: dict[EndpointId, int] = {}  # set-ups in flight, of all routes
        self.apply(rules, settings)

    def apply(self, rules: RoutingRules, settings: Settings) -> None:
        """Apply these rules from now on. A route that keeps its name keeps its counts."""
        class_names = [request_class.name for request_class in platform_classes(settings)]
        max_retry_after_us = int(settings.max_retry_after_us)
        previous_permits = self.permits
        self.rules = rules
        self.route_table = RouteTable(rules.routes, class_names)
        self._platform_class_count = len(class_names)
        self._max_attempts_by_class = {
            (request_class.route, request_class.name): request_class.max_attempts
            for request_class in settings.classes
            if request_class.route
        }
        self.permits = {}
        for route in rules.routes:
            permit = previous_permits.get(route.name) or _new_permit(route, max_retry_after_us)
            _apply_rules(permit, route.limits, route.retry_budget, max_retry_after_us)
            self.permits[route.name] = permit
        _apply_rules(self.relay_permit, rules.limits, rules.retry_budget, max_retry_after_us)

    def max_attempts_for(self, request_class: RequestClass, platform_max_attempts: int) -> int:
        """Return the maximum number of attempts of a request.

        The request's own plan decides, limited by what is now in force for its route and class.
        """
        planned = request_class.max_attempts or platform_max_attempts
        key = request_class.route, request_class.name
        in_force = self._max_attempts_by_class.get(key, platform_max_attempts)
        return min(planned, in_force, platform_max_attempts)

    def class_index_for(self, request: RequestArrived) -> int:
        """Return the index, in the settings, of a request's class as its route treats it."""
        route_number = self.route_table.find_route(request)
        return self._platform_class_count * (1 + route_number) + request.class_index

    def permit_for(self, request_class: RequestClass) -> AdmissionPermit:
        """Return the permit of the route that a class was derived for."""
        return self.permits[request_class.route]

    def admit(
        self, permit: AdmissionPermit, earns_retries: bool, now_us: int, draw: float
    ) -> Rejection | None:
        """Admit and count one more request, or return why it is rejected.

        `earns_retries` is false for a request that its client marks as a retry: retries must not earn further
        retries. `draw` is a random number from 0 to 1.
        """
        for limited in (permit, self.relay_permit):
            if limit := limited.limiter.exceeded_limit(now_us):
                scope = "the relay" if limited is self.relay_permit else f"route {limited.route_name}"
                return Rejection(f"{limit} of {scope}", limited.limiter.retry_after_us(now_us, draw))
        for admitting in (permit, self.relay_permit):
            admitting.limiter.acquire(now_us)
            if earns_retries and admitting.retry_budget is not None:
                admitting.retry_budget.record_first_attempt(now_us)
        return None

    def resume(self, permit: AdmissionPermit) -> None:
        """Count a connection that was established before this process started."""
        permit.limiter.acquire_resumed()
        self.relay_permit.limiter.acquire_resumed()

    def release(self, permit: AdmissionPermit) -> None:
        """Stop counting a request that has ended."""
        permit.limiter.release()
        self.relay_permit.limiter.release()

    def admit_attempt(
        self,
        permit: AdmissionPermit,
        request_class: RequestClass,
        endpoint_id: EndpointId,
        attempt_index: int,
        now_us: int,
    ) -> str:
        """Admit and count an attempt, or return the operators' name for the limit that forbids it.

        The result is an empty text if the attempt may start. `attempt_index` is 0 for a first attempt, which
        no retry budget limits.
        """
        max_setups = request_class.max_setups_per_endpoint
        if max_setups and self.setups_by_endpoint.get(endpoint_id, 0) >= max_setups:
            return "setups-at-backend"
        if attempt_index and not self._spend_retry(permit, now_us):
            return "retry-budget"
        self.setups_by_endpoint[endpoint_id] = self.setups_by_endpoint.get(endpoint_id, 0) + 1
        return ""

    def setup_finished(self, endpoint_id: EndpointId) -> None:
        """Stop counting the set-up of an attempt that is established or has ended."""
        setups = self.setups_by_endpoint.get(endpoint_id, 0) - 1
        if setups > 0:
            self.setups_by_endpoint[endpoint_id] = setups
        else:
            self.setups_by_endpoint.pop(endpoint_id, None)

    def current_figures(self) -> dict[str, int]:
        """Return the number of open connections of each route, by counter name."""
        return {
            f"open.{permit.route_name}": permit.limiter.open_connections for permit in self.permits.values()
        }

    def _spend_retry(self, permit: AdmissionPermit, now_us: int) -> bool:
        """Count a retry in the budgets of route and relay; return false if either budget is spent."""
        budgets = [
            budget for budget in (permit.retry_budget, self.relay_permit.retry_budget) if budget is not None
        ]
        if any(budget.remaining_retries(now_us) < 1.0 for budget in budgets):
            return False
        for budget in budgets:
            budget.record_retry(now_us)
        return True


def _new_permit(route: Route, max_retry_after_us: int) -> AdmissionPermit:
    return AdmissionPermit(route.name, ConnectionLimiter(route.limits, max_retry_after_us), None)


def _apply_rules(
    permit: AdmissionPermit,
    limits: ConnectionLimitRule,
    budget_rule: RetryBudgetRule | None,
    max_retry_after_us: int,
) -> None:
    """Replace the rules of a permit; its counts stay."""
    permit.limiter.apply_rule(limits, max_retry_after_us)
    if budget_rule is None:
        permit.retry_budget = None
    elif permit.retry_budget is None:
        permit.retry_budget = RetryBudget(budget_rule)
    else:
        permit.retry_budget = permit.retry_budget.with_rule(budget_rule)
