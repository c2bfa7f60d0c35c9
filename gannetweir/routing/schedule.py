"""The worst case of a request, step by step, and the largest values that would fit.

In the worst case the request first waits for load probes as long as the balancer allows. Then each attempt
takes its full connect timeout until its line is written and its full attempt timeout without an answer, each
backoff has its maximum length, and the margin for the final answer is kept. No request takes longer than this
sum: the engine ends an attempt after at most connect and attempt timeout, and a request waits for load probes
for at most a third of its class's latency objective.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from gannetweir.limits import Limits
from gannetweir.placement.settings import RequestClass, Settings


@dataclass(frozen=True, slots=True)
class Step:
    """A step of the worst case. Its times are in microseconds from the last byte of the first line."""

    name: str
    start_us: int
    end_us: int


@dataclass(frozen=True, slots=True)
class Schedule:
    """The worst case of a class on a route.

    `has_fixed_timeouts` is false if the balancer divides the remaining time; the schedule then always fits.
    """

    steps: tuple[Step, ...]
    request_timeout_us: int
    has_fixed_timeouts: bool

    @property
    def total_us(self) -> int:
        """The latest end of the request, with the margin for the final answer."""
        return self.steps[-1].end_us

    @property
    def slack_us(self) -> int:
        """What is left of the request's timeout; negative if the schedule does not fit."""
        return self.request_timeout_us - self.total_us


def request_timeout_us(request_class: RequestClass) -> int:
    """Return how long the relay tries to place a request: the route's value, or else the class's deadline."""
    return int(request_class.request_timeout_us or request_class.deadline_us)


def worst_case_schedule(request_class: RequestClass, settings: Settings, limits: Limits) -> Schedule:
    """Return the worst case of a class as a route treats it (`rules.routed_class`)."""
    timeout_us = request_timeout_us(request_class)
    margin_us = limits.answer_margin_for(timeout_us)
    timeline = _Timeline()
    timeline.add("place", request_class.max_report_wait_us(timeout_us))
    has_fixed_timeouts = bool(request_class.attempt_timeout_us)
    if has_fixed_timeouts:
        _add_attempts(timeline, request_class, settings)
    else:
        # The balancer derives the first timeout from the latency objective, doubles it for each attempt and
        # gives the last attempt all that is left. It never plans past the deadline.
        max_attempts = request_class.max_attempts or settings.max_attempts
        timeline.add(f"up to {max_attempts} attempts", max(1, timeout_us - margin_us - timeline.end_us))
    timeline.add("answer", margin_us)
    return Schedule(tuple(timeline.steps), timeout_us, has_fixed_timeouts)


def largest_attempt_timeout_us(request_class: RequestClass, settings: Settings, limits: Limits) -> int:
    """Return the largest attempt timeout with which the schedule fits, all else unchanged; 0 if none."""

    def fits(attempt_timeout_us: int) -> bool:
        changed = replace(request_class, attempt_timeout_us=attempt_timeout_us)
        return worst_case_schedule(changed, settings, limits).slack_us >= 0

    return _largest_fitting(request_class.attempt_timeout_us, fits)


def largest_max_attempts(request_class: RequestClass, settings: Settings, limits: Limits) -> int:
    """Return the largest number of attempts with which the schedule fits, all else unchanged; 0 if none."""

    def fits(max_attempts: int) -> bool:
        changed = replace(request_class, max_attempts=max_attempts)
        return worst_case_schedule(changed, settings, limits).slack_us >= 0

    return _largest_fitting(request_class.max_attempts, fits)


class _Timeline:
    """Consecutive steps without gaps; a step without a length is left out."""

    def __init__(self) -> None:
        self.steps: list[Step] = []
        self.end_us = 0

    def add(self, name: str, length_us: int) -> None:
        if length_us > 0:
            self.steps.append(Step(name, self.end_us, self.end_us + length_us))
            self.end_us += length_us


def _add_attempts(timeline: _Timeline, request_class: RequestClass, settings: Settings) -> None:
    connect_timeout_us = int(request_class.connect_timeout_us or settings.connect_timeout_us)
    max_attempts = request_class.max_attempts or settings.max_attempts
    for number in range(1, max_attempts + 1):
        attempt_start_us = timeline.end_us
        timeline.add(f"connect {number}", connect_timeout_us)
        timeline.add(f"attempt {number}", request_class.attempt_timeout_us)
        if number < max_attempts and request_class.retry_backoff_us:
            backoff_us = request_class.retry_backoff_us[number - 1]
            if request_class.backoff_from_attempt_start:
                backoff_us -= timeline.end_us - attempt_start_us
            timeline.add(f"wait {number}", backoff_us)


def _largest_fitting(max_value: int, fits: Callable[[int], bool]) -> int:
    """Return the largest value under `max_value` that fits, or 0.

    The search is binary: the length of the schedule grows with the value.
    """
    low = 0  # fits, or is 0
    high = max_value  # does not fit
    while high - low > 1:
        middle = (low + high) // 2
        if fits(middle):
            low = middle
        else:
            high = middle
    return low
