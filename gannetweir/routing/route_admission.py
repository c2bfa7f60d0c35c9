"""What an operators' file does to a running relay: which class a request is, whether it may begin, whether it
may be tried again. Knows no clock and draws no numbers; the engine hands both in and carries the word out.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from gannetweir.placement.events import EndpointId, RequestArrived
from gannetweir.placement.settings import RequestClass, Settings
from gannetweir.routing.connection_limiter import ConnectionLimiter
from gannetweir.routing.retry_budget import RetryBudget
from gannetweir.routing.route_table import RouteTable
from gannetweir.routing.rules import ConnectionLimitRule, RetryBudgetRule, RoutingRules, routed_class


@dataclass(frozen=True, slots=True)
class Rejection:
    """Why something may not begin, and when to come again."""

    reason: str
    retry_after_us: int


@dataclass(slots=True, eq=False)
class AdmissionPermit:
    """What one route holds; its transactions keep it over a reload, so that what they give back is theirs."""

    route_name: str
    limiter: ConnectionLimiter
    retry_budget: RetryBudget | None


def platform_classes(settings: Settings) -> list[RequestClass]:
    """The classes as the platform names them, without what was derived from them."""
    return [c for c in settings.classes if not c.route]


def with_routed_classes(settings: Settings, rules: RoutingRules | None) -> Settings:
    """Settings in which every class stands once as told and once more for each route, in that order."""
    told = platform_classes(settings)
    derived = [routed_class(c, route, settings) for route in (rules.routes if rules else ()) for c in told]
    return replace(settings, classes=told + derived)


class RouteAdmission:
    """The routes, budgets and limits of one relay. `settings` are `with_routed_classes` of the same rules."""

    def __init__(self, rules: RoutingRules, settings: Settings) -> None:
        self.permits: dict[str, AdmissionPermit] = {}
        self.relay_permit = AdmissionPermit("relay", ConnectionLimiter(ConnectionLimitRule(), 1), None)
        self.setups_by_endpoint: dict[EndpointId, int] = {}  # set-ups under way, of all routes, by server
        self.apply(rules, settings)

    def apply(self, rules: RoutingRules, settings: Settings) -> None:
        """Hold to these rules from now on. What the routes of the same names hold goes on counting."""
        told = [c.name for c in platform_classes(settings)]
        self.rules, self.platform_class_count = rules, len(told)
        self.max_attempts_by_class = {(c.route, c.name): c.max_attempts for c in settings.classes if c.route}
        self.route_table = RouteTable(rules.routes, told)
        longest = int(settings.max_retry_after_us)
        old, self.permits = self.permits, {}
        for route in rules.routes:
            share = old.get(route.name) or AdmissionPermit(
                route.name, ConnectionLimiter(route.limits, longest), None
            )
            share.limiter = share.limiter.with_rule(route.limits, longest)
            share.retry_budget = _budget(share.retry_budget, route.retry_budget)
            self.permits[route.name] = share
        self.relay_permit.limiter = self.relay_permit.limiter.with_rule(rules.limits, longest)
        self.relay_permit.retry_budget = _budget(self.relay_permit.retry_budget, rules.retry_budget)

    def max_attempts_for(self, request_class: RequestClass, platform_max_attempts: int) -> int:
        """The attempts that a transaction may have made in all: its own plan's, but never more than what now
        holds for its route and class.
        """
        now = self.max_attempts_by_class.get((request_class.route, request_class.name), platform_max_attempts)
        return min(request_class.max_attempts or platform_max_attempts, now, platform_max_attempts)

    def class_index_for(self, request: RequestArrived) -> int:
        """The number of a request's class as its route treats it."""
        return self.platform_class_count * (1 + self.route_table.find_route(request)) + request.class_index

    def permit_for(self, request_class: RequestClass) -> AdmissionPermit:
        """The share of the route that a class was derived for."""
        return self.permits[request_class.route]

    def admit(
        self, permit: AdmissionPermit, earns_retries: bool, now_us: int, draw: float
    ) -> Rejection | None:
        """May one more transaction begin? Counts it if so. `first` is false for what the client marks as its
        retry: that earns no further attempts, or retries would pay for retries.
        """
        for held in (permit, self.relay_permit):
            if reason := held.limiter.exceeded_limit(now_us):
                where = "the relay" if held is self.relay_permit else f"route {held.route_name}"
                return Rejection(f"{reason} of {where}", held.limiter.retry_after_us(now_us, draw))
        for held in (permit, self.relay_permit):
            held.limiter.acquire(now_us)
            if earns_retries and held.retry_budget is not None:
                held.retry_budget.record_first_attempt(now_us)
        return None

    def resume(self, permit: AdmissionPermit) -> None:
        """One that stands already has come through this relay's start."""
        permit.limiter.acquire_resumed()
        self.relay_permit.limiter.acquire_resumed()

    def release(self, permit: AdmissionPermit) -> None:
        """A transaction is over."""
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
        """Why an attempt may not start, or nothing; counts it if it may. `number` is 0 for a first try."""
        if (
            request_class.max_setups_per_endpoint
            and self.setups_by_endpoint.get(endpoint_id, 0) >= request_class.max_setups_per_endpoint
        ):
            return "setups-at-backend"
        budgets = (
            [b for b in (permit.retry_budget, self.relay_permit.retry_budget) if b is not None]
            if attempt_index
            else []
        )
        if any(budget.retries_left(now_us) < 1.0 for budget in budgets):
            return "retry-budget"
        for budget in budgets:
            budget.record_retry(now_us)
        self.setups_by_endpoint[endpoint_id] = self.setups_by_endpoint.get(endpoint_id, 0) + 1
        return ""

    def setup_finished(self, endpoint_id: EndpointId) -> None:
        """An attempt is no set-up any more: it stands, or it has ended."""
        left = self.setups_by_endpoint.get(endpoint_id, 0) - 1
        if left > 0:
            self.setups_by_endpoint[endpoint_id] = left
        else:
            self.setups_by_endpoint.pop(endpoint_id, None)

    def current_figures(self) -> dict[str, int]:
        """Figures of this moment, for the people on call: what each route holds."""
        return {f"open.{share.route_name}": share.limiter.open_connections for share in self.permits.values()}


def _budget(old: RetryBudget | None, rule: RetryBudgetRule | None) -> RetryBudget | None:
    if rule is None:
        return None
    return old.with_rule(rule) if old is not None else RetryBudget(rule)
