"""The routing rules of an operators' file as values: routes, retry budgets and limits.

Times are microseconds. A value that the file does not state is 0, None or empty: the platform's settings and
the balancer's own defaults apply instead.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from gannetweir.placement.settings import RequestClass, Settings

MAX_ATTEMPTS = 6  # the service allows no more for a request, whatever the settings state
HEX_DIGITS = 16  # a group or a key has 64 bits


@dataclass(frozen=True, slots=True)
class RetryBudgetRule:
    """Retries are at most `retry_ratio` of the first attempts in the last `window_us`.

    `min_retries` per window are allowed in any case.
    """

    retry_ratio: float
    window_us: int
    min_retries: int


@dataclass(frozen=True, slots=True)
class ConnectionLimitRule:
    """How many connections may be open, and how many may be set up; 0 means no limit."""

    max_open: int = 0  # connections being set up or established
    max_setups_per_s: float = 0.0
    setup_burst: int = 0  # set-ups that may begin at one moment
    max_setups_per_endpoint: int = 0  # set-ups in flight at one endpoint


class BackoffKind(Enum):
    """How the backoff grows from retry to retry; the values are the operators' words."""

    FIXED = "fixed"
    EXPONENTIAL = "exponential"
    EVERY = "every"  # fixed, and counted from the start of the previous attempt


class RetryOn(Enum):
    """Which failed attempts may be retried; the values are the operators' words."""

    NEVER_RAN = "never-ran"
    MAY_HAVE_RUN = "may-have-run"


@dataclass(frozen=True, slots=True)
class BackoffRule:
    """How long to wait before each retry."""

    kind: BackoffKind
    initial_us: int
    max_us: int = 0
    full_jitter: bool = False  # each wait is random, between 0 and the computed one

    def backoffs_us(self, max_attempts: int) -> tuple[int, ...]:
        """Return the longest wait before the second attempt, the third, and so on."""
        retries = max_attempts - 1
        if self.kind is not BackoffKind.EXPONENTIAL:
            return (self.initial_us,) * retries
        max_us = self.max_us or self.initial_us * 2**MAX_ATTEMPTS
        return tuple(min(self.initial_us * 2**retry, max_us) for retry in range(retries))


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """The requests that a route takes; an empty part matches all. Prefixes are lower-case hex digits."""

    classes: tuple[str, ...] = ()
    group_prefixes: tuple[str, ...] = ()
    key_prefixes: tuple[str, ...] = ()
    client_returning: bool | None = None  # whether the client's connection was broken or migrated before
    client_retry: bool | None = None  # whether the client marks the request as its retry


@dataclass(frozen=True, slots=True)
class Route:
    """A route with the values that the file states."""

    name: str
    match: RouteMatch = RouteMatch()
    request_timeout_us: int = 0
    connect_timeout_us: int = 0
    attempt_timeout_us: int = 0
    max_attempts: int = 0
    backoff: BackoffRule | None = None
    retry_on: RetryOn | None = None
    hedge_after_us: int = 0  # delay of a hedged request; the check rejects any value
    retry_budget: RetryBudgetRule | None = None
    limits: ConnectionLimitRule = ConnectionLimitRule()
    # The line of each value in the file, by the operators' word for the value; the route's own under "".
    lines: Mapping[str, int] = field(default_factory=dict, compare=False)

    @property
    def title(self) -> str:
        """The route's name in messages."""
        return self.name if self.name == "default" else f"route {self.name}"

    def line_of(self, part: str) -> int:
        """Return the line of a value, or the route's line if the value is not stated."""
        return self.lines.get(part, self.lines.get("", 0))


@dataclass(frozen=True, slots=True)
class RoutingRules:
    """The routes of a file in order, the default last, and the rules for all routes together."""

    routes: tuple[Route, ...]
    retry_budget: RetryBudgetRule | None = None
    limits: ConnectionLimitRule = ConnectionLimitRule()
    lines: Mapping[str, int] = field(default_factory=dict, compare=False)


def routed_class(request_class: RequestClass, route: Route, settings: Settings) -> RequestClass:
    """Return a class of the platform with the timing, retries and limits of a route."""
    max_attempts = min(route.max_attempts or settings.max_attempts, settings.max_attempts)
    backoff = route.backoff
    return replace(
        request_class,
        route=route.name,
        request_timeout_us=route.request_timeout_us,
        connect_timeout_us=route.connect_timeout_us,
        attempt_timeout_us=route.attempt_timeout_us,
        max_attempts=max_attempts,
        retry_backoff_us=backoff.backoffs_us(max_attempts) if backoff is not None else (),
        backoff_from_attempt_start=backoff is not None and backoff.kind is BackoffKind.EVERY,
        full_jitter=backoff is not None and backoff.full_jitter,
        retries_executed_attempts=route.retry_on is not RetryOn.NEVER_RAN,
        max_setups_per_endpoint=route.limits.max_setups_per_endpoint,
    )
