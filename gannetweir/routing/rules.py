"""What an operators' file says, as values: routes, and what holds for each. Times are microseconds.

A value that the file does not state is 0 (or empty): there the platform's settings and the module hold.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from gannetweir.placement.settings import RequestClass, Settings

MAX_ATTEMPTS = 6  # of one request, whatever the settings allow: a rule of the service
HEX_DIGITS = 16  # of a group or a key


@dataclass(frozen=True, slots=True)
class RetryBudgetRule:
    """Retries are at most `share` of the first tries of the last `window_us`, and `floor` are always free."""

    retry_ratio: float
    window_us: int
    min_retries: int


@dataclass(frozen=True, slots=True)
class ConnectionLimitRule:
    """What may stand and be begun at once; 0 is no limit."""

    max_open: int = 0  # connections, being set up or standing
    max_setups_per_s: float = 0.0
    setup_burst: int = 0  # set-ups that may come at one moment
    max_setups_per_endpoint: int = 0  # set-ups under way at one backend


@dataclass(frozen=True, slots=True)
class BackoffRule:
    """How long to wait before each further attempt."""

    kind: str  # fixed | exponential | every (counted from the start of the attempt before)
    initial_us: int
    max_us: int = 0
    full_jitter: bool = False  # full: anything from 0 to the wait

    def backoffs_us(self, attempts: int) -> tuple[int, ...]:
        """The longest wait before the second attempt, the third, and so on."""
        if self.kind != "exponential":
            return (self.initial_us,) * (attempts - 1)
        most = self.max_us or self.initial_us << MAX_ATTEMPTS
        return tuple(min(self.initial_us << n, most) for n in range(attempts - 1))


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """What a route takes; an empty part takes all. Prefixes are lower-case hex digits."""

    classes: tuple[str, ...] = ()
    group_prefixes: tuple[str, ...] = ()
    key_prefixes: tuple[str, ...] = ()
    client_returning: bool | None = None  # the client's connection was broken or moved
    client_retry: bool | None = None  # the client marks this as its retry


@dataclass(frozen=True, slots=True)
class Route:
    """One route as the file states it."""

    name: str
    match: RouteMatch = RouteMatch()
    request_timeout_us: int = 0
    connect_timeout_us: int = 0
    attempt_timeout_us: int = 0
    max_attempts: int = 0
    backoff: BackoffRule | None = None
    retry_on: str = ""  # never-ran | may-have-run
    hedge_after_us: int = 0  # after so long a second copy is asked for; always refused
    retry_budget: RetryBudgetRule | None = None
    limits: ConnectionLimitRule = ConnectionLimitRule()
    lines: Mapping[str, int] = field(default_factory=dict, compare=False)  # where in the file each value is

    @property
    def title(self) -> str:
        """How a message names it."""
        return self.name if self.name == "default" else f"route {self.name}"

    def line_of(self, what: str) -> int:
        """The line of a value, or else of the route."""
        return self.lines.get(what, self.lines.get("", 0))


@dataclass(frozen=True, slots=True)
class RoutingRules:
    """A whole file: the routes in their order, the default last, and what holds for all of them together."""

    routes: tuple[Route, ...]
    retry_budget: RetryBudgetRule | None = None
    limits: ConnectionLimitRule = ConnectionLimitRule()
    lines: Mapping[str, int] = field(default_factory=dict, compare=False)


@dataclass(frozen=True, slots=True)
class Mistake:
    """One thing that is wrong: where, what was found, what is allowed."""

    line: int  # 0 where the file as a whole is meant
    where: str
    found: str
    allowed: str

    def text(self, file: str) -> str:
        """One line for people."""
        place = f"{file}:{self.line}" if self.line else file
        return f"{place}: {self.where}: {self.found}; {self.allowed}"


def routed_class(request_class: RequestClass, route: Route, settings: Settings) -> RequestClass:
    """A class as one route treats it."""
    attempts = min(route.max_attempts or settings.max_attempts, settings.max_attempts)
    wait = route.backoff
    return replace(
        request_class,
        route=route.name,
        request_timeout_us=route.request_timeout_us,
        connect_timeout_us=route.connect_timeout_us,
        attempt_timeout_us=route.attempt_timeout_us,
        max_attempts=attempts,
        retry_backoff_us=wait.backoffs_us(attempts) if wait is not None else (),
        backoff_from_attempt_start=wait is not None and wait.kind == "every",
        full_jitter=wait is not None and wait.full_jitter,
        retries_executed_attempts=route.retry_on != "never-ran",
        max_setups_per_endpoint=route.limits.max_setups_per_endpoint,
    )
