"""The worst case of a transaction, step by step, and the largest values that would fit.

The worst case is: the module waits for a probe as long as it may, then each attempt takes all of its connect
time-out to be written and all of its own time-out to say nothing, each wait is as long as it can be, and the
margin for the final answer is kept. The engine ends an attempt after at most connect and attempt time-out,
and the module holds a request for at most a third of its class's aim: nothing can take longer than this sum.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from gannetweir.limits import Limits
from gannetweir.placement.settings import RequestClass, Settings


@dataclass(frozen=True, slots=True)
class Step:
    """One stretch of the worst case, in microseconds from the first line's last byte."""

    name: str
    start_us: int
    end_us: int


@dataclass(frozen=True, slots=True)
class Schedule:
    """A class on a route. `fixed` is false where the module divides the time left by itself: it then fits."""

    steps: tuple[Step, ...]
    request_timeout_us: int
    has_fixed_timeouts: bool

    @property
    def total_us(self) -> int:
        """The last moment of the final answer, its margin included."""
        return self.steps[-1].end_us

    @property
    def slack_us(self) -> int:
        """What is left of the give-up time; under 0 it does not fit."""
        return self.request_timeout_us - self.total_us


def request_timeout_us(cls: RequestClass) -> int:
    """How long the relay tries: the route's word, or else the class's."""
    return int(cls.request_timeout_us or cls.deadline_us)


def answer_margin_us(give_up: int, limits: Limits) -> int:
    """The final answer leaves this long before the client gives up."""
    return min(limits.answer_margin_us, give_up // 4)


def max_placement_us(cls: RequestClass, give_up: int) -> int:
    """How long the module may hold a request for a probe's answer, over all its attempts together."""
    return min(int(cls.latency_objective_us / 3), give_up // 2)


def worst_case_schedule(request_class: RequestClass, settings: Settings, limits: Limits) -> Schedule:
    """The worst case of a class as a route treats it (`rules.routed_class`)."""
    give_up = request_timeout_us(request_class)
    margin = answer_margin_us(give_up, limits)
    connect = int(request_class.connect_timeout_us or settings.connect_timeout_us)
    attempts = request_class.max_attempts or settings.max_attempts
    steps: list[Step] = []
    now = 0

    def add(what: str, length: int) -> None:
        nonlocal now
        if length > 0:
            steps.append(Step(what, now, now + length))
            now += length

    add("place", max_placement_us(request_class, give_up))
    if not request_class.attempt_timeout_us:
        # time-outs from the aim, doubled, the last to the end: the module never plans past its deadline
        add(f"up to {attempts} attempts", max(1, give_up - margin - now))
        add("answer", margin)
        return Schedule(tuple(steps), give_up, False)
    for number in range(1, attempts + 1):
        begun = now
        add(f"connect {number}", connect)
        add(f"attempt {number}", request_class.attempt_timeout_us)
        if number < attempts and request_class.retry_backoff_us:
            add(
                f"wait {number}",
                request_class.retry_backoff_us[number - 1]
                - (now - begun if request_class.backoff_from_attempt_start else 0),
            )
    add("answer", margin)
    return Schedule(tuple(steps), give_up, True)


def largest_attempt_timeout_us(request_class: RequestClass, settings: Settings, limits: Limits) -> int:
    """The largest time-out per attempt with which the schedule fits, all else as it is; 0 if none does."""
    return _largest(
        request_class.attempt_timeout_us,
        lambda n: (
            worst_case_schedule(replace(request_class, attempt_timeout_us=n), settings, limits).slack_us >= 0
        ),
    )


def largest_max_attempts(request_class: RequestClass, settings: Settings, limits: Limits) -> int:
    """The same for the number of attempts."""
    return _largest(
        request_class.max_attempts,
        lambda n: worst_case_schedule(replace(request_class, max_attempts=n), settings, limits).slack_us >= 0,
    )


def _largest(most: int, fits: Callable[[int], bool]) -> int:
    low, high = 0, most  # `low` fits, or is 0: the sum grows with the value
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (middle, high) if fits(middle) else (low, middle)
    return low
