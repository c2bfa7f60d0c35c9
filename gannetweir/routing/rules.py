"""What an operators' file says, as values: routes, and what holds for each. Times are microseconds.

A value that the file does not state is 0 (or empty): there the platform's settings and the module hold.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from gannetweir.placement.settings import RequestClass, Settings

MOST_ATTEMPTS = 6  # of one request, whatever the settings allow: a rule of the service
HEX_DIGITS = 16  # of a group or a key


@dataclass(frozen=True, slots=True)
class BudgetRule:
    """Retries are at most `share` of the first tries of the last `window_us`, and `floor` are always free."""

    share: float
    window_us: int
    floor: int


@dataclass(frozen=True, slots=True)
class LimitRule:
    """What may stand and be begun at once; 0 is no limit."""

    open: int = 0  # connections, being set up or standing
    setups_per_s: float = 0.0
    burst: int = 0  # set-ups that may come at one moment
    at_backend: int = 0  # set-ups under way at one backend


@dataclass(frozen=True, slots=True)
class WaitRule:
    """How long to wait before each further attempt."""

    kind: str  # fixed | exponential | every (counted from the start of the attempt before)
    first_us: int
    max_us: int = 0
    jitter: bool = False  # full: anything from 0 to the wait

    def waits(self, attempts: int) -> tuple[int, ...]:
        """The longest wait before the second attempt, the third, and so on."""
        if self.kind != "exponential":
            return (self.first_us,) * (attempts - 1)
        most = self.max_us or self.first_us << MOST_ATTEMPTS
        return tuple(min(self.first_us << n, most) for n in range(attempts - 1))


@dataclass(frozen=True, slots=True)
class Match:
    """What a route takes; an empty part takes all. Prefixes are lower-case hex digits."""

    classes: tuple[str, ...] = ()
    groups: tuple[str, ...] = ()
    keys: tuple[str, ...] = ()
    again: bool | None = None  # the client's connection was broken or moved
    retry: bool | None = None  # the client marks this as its retry


@dataclass(frozen=True, slots=True)
class Route:
    """One route as the file states it."""

    name: str
    match: Match = Match()
    give_up_us: int = 0
    connect_us: int = 0
    attempt_us: int = 0
    attempts: int = 0
    wait: WaitRule | None = None
    again: str = ""  # never-ran | may-have-run
    hedge_us: int = 0  # after so long a second copy is asked for; always refused
    budget: BudgetRule | None = None
    limits: LimitRule = LimitRule()
    lines: Mapping[str, int] = field(default_factory=dict, compare=False)  # where in the file each value is

    @property
    def title(self) -> str:
        """How a message names it."""
        return self.name if self.name == "default" else f"route {self.name}"

    def line(self, what: str) -> int:
        """The line of a value, or else of the route."""
        return self.lines.get(what, self.lines.get("", 0))


@dataclass(frozen=True, slots=True)
class Rules:
    """A whole file: the routes in their order, the default last, and what holds for all of them together."""

    routes: tuple[Route, ...]
    budget: BudgetRule | None = None
    limits: LimitRule = LimitRule()
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


def timed(base: RequestClass, route: Route, settings: Settings) -> RequestClass:
    """A class as one route treats it."""
    attempts = min(route.attempts or settings.max_attempts, settings.max_attempts)
    wait = route.wait
    return replace(
        base,
        route=route.name,
        request_timeout_us=route.give_up_us,
        connect_timeout_us=route.connect_us,
        attempt_timeout_us=route.attempt_us,
        max_attempts=attempts,
        retry_backoff_us=wait.waits(attempts) if wait is not None else (),
        backoff_from_attempt_start=wait is not None and wait.kind == "every",
        full_jitter=wait is not None and wait.jitter,
        retries_executed_attempts=route.again != "never-ran",
        max_setups_per_endpoint=route.limits.at_backend,
    )
