"""The configuration of a balancer: request classes and settings of the fleet.

Times are integer microseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

# The longest wait for load reports is a third of the latency objective, and at most half of the time left.
_REPORT_WAIT_OBJECTIVE_DIVISOR = 3
_REPORT_WAIT_REMAINING_DIVISOR = 2


class Idempotency(StrEnum):
    """The effect of repeating a request. An unknown value counts as `ONCE`."""

    REPEATABLE = "repeatable"  # a repeat is harmless at any endpoint
    BY_KEY = "by_key"  # a repeat is dropped where its idempotency key is remembered
    ONCE = "once"  # a repeat may be executed a second time


class IdempotencyScope(StrEnum):
    """The set of endpoints that share their idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True)
class RequestClass:
    """A class of requests: objectives, timing, and the idempotency of its requests."""

    name: str = ""
    latency_objective_us: int = 300_000
    deadline_us: int = 1_800_000
    priority_weight: float = 1.0
    idempotency: str = Idempotency.ONCE
    idempotency_scope: str = IdempotencyScope.CELL  # used with idempotency by key
    idempotency_window_us: int = 0  # how long a key is remembered
    # Timing from the operators' routes. 0 or empty selects the default of the balancer.
    route: str = ""  # set by `routing`; empty in the platform's classes
    request_timeout_us: int = 0  # time limit for the relay's final answer
    connect_timeout_us: int = 0
    attempt_timeout_us: int = 0  # counted from the last byte of the first line
    max_attempts: int = 0
    retry_backoff_us: tuple[int, ...] = ()  # maximum before the second attempt, the third, ...
    backoff_from_attempt_start: bool = False  # false: the backoff counts from the attempt's end
    full_jitter: bool = False  # uniform between 0 and the maximum
    # Whether another attempt may follow one that may have been executed, where `idempotency` allows it.
    retries_executed_attempts: bool = True
    max_setups_per_endpoint: int = 0  # set-ups in flight; 0 means the default

    @property
    def is_idempotent_everywhere(self) -> bool:
        """Whether a repeat is harmless at any endpoint."""
        if self.idempotency == Idempotency.BY_KEY:
            return self.idempotency_scope == IdempotencyScope.ALL
        return self.idempotency == Idempotency.REPEATABLE

    def max_report_wait_us(self, remaining_us: int) -> int:
        """Return how long a request with this time left may wait for load reports, over all attempts."""
        share_of_objective_us = int(self.latency_objective_us / _REPORT_WAIT_OBJECTIVE_DIVISOR)
        return min(share_of_objective_us, remaining_us // _REPORT_WAIT_REMAINING_DIVISOR)

    def backoff_us(self, attempts: int, sent_us: int, now_us: int, draw: Callable[[], float]) -> int:
        """Return the wait before the next attempt, after this number of attempts.

        `draw` returns a random number from 0 to 1.
        """
        if not 0 < attempts <= len(self.retry_backoff_us):
            return 0
        longest_us = self.retry_backoff_us[attempts - 1]
        if self.backoff_from_attempt_start:
            return max(0, sent_us + longest_us - now_us)
        if self.full_jitter:
            return int(longest_us * draw())
        return int(longest_us)


@dataclass(slots=True)
class Settings:
    """The configuration of one balancer; each default is the cautious value for a missing key."""

    classes: list[RequestClass]
    relay_count: int = 1
    zone: int = 0
    zone_names: list[str] = field(default_factory=list)
    machine_types: list[str] = field(default_factory=list)
    polls_endpoint_list: bool = False  # whether the list has to be polled
    poll_interval_us: int = 10_000_000
    slow_start_min_share: float = 0.1
    slow_start_window_us: int = 30_000_000
    overload_multiple: float = 2.0
    load_report_fields: list[str] = field(default_factory=list)
    load_report_source: str = "none"
    load_probes_enabled: bool = False
    max_attempts: int = 1
    connect_timeout_us: int = 250_000
    max_retry_after_us: int = 1_000_000
    sends_retry_after: bool = True  # whether a rejection may carry Retry-After
    message_latency_objectives_us: list[float] = field(default_factory=list)
    # Connections of one group share work: each endpoint that holds any pays the group's cost once.
    groups_enabled: bool = False
    reports_connection_load: bool = False
    reports_message_delay: bool = False
    cross_zone_cost: float = 0.0
    allows_hedged_requests: bool = False  # whether two attempts of a request may be in flight at once
    clients_mark_retries: bool = True  # whether clients mark their own retries
