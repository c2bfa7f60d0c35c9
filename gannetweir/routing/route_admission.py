"""What an operators' file does to a running relay: which class a request is, whether it may begin, whether it
may be tried again. Knows no clock and draws no numbers; the engine hands both in and carries the word out.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from gannetweir.placement.events import EndpointId, RequestArrived
from gannetweir.placement.settings import RequestClass, Settings
from gannetweir.routing.rate_limit import Limit
from gannetweir.routing.retry_budget import Budget
from gannetweir.routing.routes import RouteTable
from gannetweir.routing.rules import BudgetRule, LimitRule, Rules, timed


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why something may not begin, and when to come again."""

    reason: str
    retry_us: int


@dataclass(slots=True, eq=False)
class AdmissionPermit:
    """What one route holds; its transactions keep it over a reload, so that what they give back is theirs."""

    name: str
    limit: Limit
    budget: Budget | None


def told_classes(settings: Settings) -> list[RequestClass]:
    """The classes as the platform names them, without what was derived from them."""
    return [c for c in settings.classes if not c.route]


def with_routes(settings: Settings, rules: Rules | None) -> Settings:
    """Settings in which every class stands once as told and once more for each route, in that order."""
    told = told_classes(settings)
    derived = [timed(c, route, settings) for route in (rules.routes if rules else ()) for c in told]
    return replace(settings, classes=told + derived)


class RouteAdmission:
    """The routes, budgets and limits of one relay. `settings` are `with_routes` of the same rules."""

    def __init__(self, rules: Rules, settings: Settings) -> None:
        self.shares: dict[str, AdmissionPermit] = {}
        self.whole = AdmissionPermit("relay", Limit(LimitRule(), 1), None)
        self.pending: dict[EndpointId, int] = {}  # set-ups under way, of all routes, by server
        self.apply(rules, settings)

    def apply(self, rules: Rules, settings: Settings) -> None:
        """Hold to these rules from now on. What the routes of the same names hold goes on counting."""
        told = [c.name for c in told_classes(settings)]
        self.rules, self.count = rules, len(told)
        self.caps = {(c.route, c.name): c.max_attempts for c in settings.classes if c.route}
        self.table = RouteTable(rules.routes, told)
        longest = int(settings.max_retry_after_us)
        old, self.shares = self.shares, {}
        for route in rules.routes:
            share = old.get(route.name) or AdmissionPermit(route.name, Limit(route.limits, longest), None)
            share.limit = share.limit.under(route.limits, longest)
            share.budget = _budget(share.budget, route.budget)
            self.shares[route.name] = share
        self.whole.limit = self.whole.limit.under(rules.limits, longest)
        self.whole.budget = _budget(self.whole.budget, rules.budget)

    def max_attempts(self, cls: RequestClass, most: int) -> int:
        """The attempts that a transaction may have made in all: its own plan's, but never more than what now
        holds for its route and class.
        """
        now = self.caps.get((cls.route, cls.name), most)
        return min(cls.max_attempts or most, now, most)

    def class_index_for(self, wanted: RequestArrived) -> int:
        """The number of a request's class as its route treats it."""
        return self.count * (1 + self.table.find(wanted)) + wanted.class_index

    def permit_for(self, cls: RequestClass) -> AdmissionPermit:
        """The share of the route that a class was derived for."""
        return self.shares[cls.route]

    def admit(self, share: AdmissionPermit, first: bool, now_us: int, draw: float) -> Refusal | None:
        """May one more transaction begin? Counts it if so. `first` is false for what the client marks as its
        retry: that earns no further attempts, or retries would pay for retries.
        """
        for held in (share, self.whole):
            if reason := held.limit.refuses(now_us):
                where = "the relay" if held is self.whole else f"route {held.name}"
                return Refusal(f"{reason} of {where}", held.limit.advice_us(now_us, draw))
        for held in (share, self.whole):
            held.limit.take(now_us)
            if first and held.budget is not None:
                held.budget.tried(now_us)
        return None

    def resumed(self, share: AdmissionPermit) -> None:
        """One that stands already has come through this relay's start."""
        share.limit.resume()
        self.whole.limit.resume()

    def ended(self, share: AdmissionPermit) -> None:
        """A transaction is over."""
        share.limit.give_back()
        self.whole.limit.give_back()

    def attempt_refusal(
        self, share: AdmissionPermit, cls: RequestClass, server: EndpointId, number: int, now_us: int
    ) -> str:
        """Why an attempt may not start, or nothing; counts it if it may. `number` is 0 for a first try."""
        if cls.max_setups_per_endpoint and self.pending.get(server, 0) >= cls.max_setups_per_endpoint:
            return "setups-at-backend"
        budgets = [b for b in (share.budget, self.whole.budget) if b is not None] if number else []
        if any(budget.left(now_us) < 1.0 for budget in budgets):
            return "retry-budget"
        for budget in budgets:
            budget.spend(now_us)
        self.pending[server] = self.pending.get(server, 0) + 1
        return ""

    def setup_finished(self, server: EndpointId) -> None:
        """An attempt is no set-up any more: it stands, or it has ended."""
        left = self.pending.get(server, 0) - 1
        if left > 0:
            self.pending[server] = left
        else:
            self.pending.pop(server, None)

    def current_figures(self) -> dict[str, int]:
        """Figures of this moment, for the people on call: what each route holds."""
        return {f"open.{share.name}": share.limit.open for share in self.shares.values()}


def _budget(old: Budget | None, rule: BudgetRule | None) -> Budget | None:
    if rule is None:
        return None
    return old.under(rule) if old is not None else Budget(rule)
