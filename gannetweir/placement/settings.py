"""What one balancer is configured with: request classes and the settings of the fleet.

Times are integer microseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum


class Idempotency(StrEnum):
    """What a repeat of a request does. A word that is not known here counts as `ONCE`."""

    REPEATABLE = "repeatable"  # no harm, anywhere
    BY_KEY = "by_key"  # it is dropped, where its idempotency key is remembered
    ONCE = "once"  # it may be executed twice


class IdempotencyScope(StrEnum):
    """Which endpoints remember one another's idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True)
class RequestClass:
    """One class of requests, and what a repeat of it may do."""

    name: str = ""
    latency_objective_us: int = 300_000
    deadline_us: int = 1_800_000
    priority_weight: float = 1.0
    idempotency: str = Idempotency.ONCE
    idempotency_scope: str = IdempotencyScope.CELL  # where the idempotency is by key
    idempotency_window_us: int = 0  # how long a key is remembered
    # The operators' timing, where a route of theirs states it; 0 or empty: the balancer's own holds.
    route: str = ""  # set in what `routing` derives from a class; the platform names none
    request_timeout_us: int = 0  # the relay's final answer is due by then
    connect_timeout_us: int = 0
    attempt_timeout_us: int = 0  # from the first line's last byte
    max_attempts: int = 0
    retry_backoff_us: tuple[int, ...] = ()  # the longest before the second attempt, the third, ...
    backoff_from_attempt_start: bool = False  # those count from the start of the attempt before
    full_jitter: bool = False  # anything from 0 to the wait
    # An attempt that may have been executed may be followed by another, where `idempotency` allows.
    retries_executed_attempts: bool = True
    max_setups_per_endpoint: int = 0  # under way at one endpoint

    @property
    def is_idempotent_everywhere(self) -> bool:
        """Wherever a repeat goes, it does no harm."""
        if self.idempotency == Idempotency.BY_KEY:
            return self.idempotency_scope == IdempotencyScope.ALL
        return self.idempotency == Idempotency.REPEATABLE

    def backoff_us(self, attempts: int, sent_us: int, now_us: int, draw: Callable[[], float]) -> int:
        """Return how long the next attempt waits after so many; `draw` gives a random number from 0 to 1."""
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
    """What one balancer is configured with; every default is the cautious reading of a missing key."""

    classes: list[RequestClass]
    relay_count: int = 1
    zone: int = 0
    zone_names: list[str] = field(default_factory=list)
    machine_types: list[str] = field(default_factory=list)
    polls_endpoint_list: bool = False  # the list answers only when polled
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
    sends_retry_after: bool = True  # a rejection may carry Retry-After
    message_latency_objectives_us: list[float] = field(default_factory=list)
    # Connections of one group share work: each endpoint that has any pays for the group once.
    groups_enabled: bool = False
    reports_connection_load: bool = False
    reports_message_delay: bool = False
    cross_zone_cost: float = 0.0
    allows_hedged_requests: bool = False  # two attempts of one request may be under way together
    clients_mark_retries: bool = True  # clients mark their own retries
