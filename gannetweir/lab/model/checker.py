"""The rules that a relay owes its clients and backends, checked from what these two have seen.

Each party reports what happened on its own side; no relay is asked. A violation is recorded as a line of text
with its time, the number of the request and the name of the rule:

- `answers`: one final answer a request; `late`: none after the client's time budget;
- `unanswered`: an answer at all;
- `overlap`: one attempt at a time; `attempts`: so many at most;
- `drain`: nothing new to a backend that drains, once the relay has known it for a while;
- `cold`: no more set-ups than a backend in its slow start bears;
- `cut off`: a relay that exits in good order migrates its clients.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field

MAX_ATTEMPTS = 6
DRAIN_GRACE_US = 500_000
ANSWER_SLACK_US = 20_000  # the settings' answer slack
SETUP_WINDOW_US = 1_500_000  # the window in which set-ups at a backend in its slow start are counted
MAX_VIOLATIONS = 100  # recorded as text; all are counted


@dataclass(slots=True)
class RequestTrace:
    """One request: what the client asked, and what became of it."""

    request_class: str
    sent_us: int
    time_budget_us: int
    is_first_try: bool  # not a client's own retry
    attempts: int = 0
    open_attempts: dict[int, str] = field(default_factory=dict)  # the backend by the attempt's number
    answers: list[str] = field(default_factory=list)
    answered_us: int = -1  # -1: not yet
    client_disconnected: bool = False  # nothing more is owed

    @property
    def last_answer_us(self) -> int:
        """The latest time at which an answer is in time."""
        return self.sent_us + self.time_budget_us + ANSWER_SLACK_US


@dataclass(slots=True)
class SlowStartBudget:
    """A backend that has started anew: the set-ups that it bears, and those of the window that ends now."""

    started_us: int
    full_setups_per_s: float  # that it bears once it is warm, by the stated multiple
    min_share: float  # of that, at its start
    window_us: int  # until it is warm
    arrivals: deque[tuple[int, bool]] = field(default_factory=deque)  # when; did the relay know of the start?

    def setups_allowed(self, now_us: int) -> float:
        """Set-ups in one window, with two standard deviations and two more for chance."""
        warming_share = (1.0 - self.min_share) * (now_us - self.started_us) / self.window_us
        warmed_share = min(1.0, self.min_share + warming_share)
        mean_setups = self.full_setups_per_s * warmed_share * SETUP_WINDOW_US / 1e6
        return float(mean_setups + 2.0 * mean_setups**0.5 + 2.0)

    def add_arrival(self, now_us: int, start_was_known: bool) -> None:
        """Count a set-up, and forget those before the window."""
        self.arrivals.append((now_us, start_was_known))
        while self.arrivals[0][0] <= now_us - SETUP_WINDOW_US:
            self.arrivals.popleft()

    def is_mostly_from_notified_relays(self) -> bool:
        """Whether over two thirds of the window came from relays that knew of the start."""
        return 3 * sum(start_was_known for _, start_was_known in self.arrivals) > 2 * len(self.arrivals)


class RuleChecker:
    """Owns the traces, the violations and the counts of one run."""

    def __init__(self) -> None:
        self.traces: dict[int, RequestTrace] = {}
        # By relay and endpoint: since when the relay knows that it drains or is removed. An empty name of a
        # relay stands for all of them.
        self.unavailable_since_us: dict[tuple[str, str], int] = {}
        self.known_starts_us: dict[tuple[str, str], int] = {}  # the last start that a relay knows of
        self.slow_starts: dict[str, SlowStartBudget] = {}
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()

    def _record_violation(self, rule: str, request_number: int, now_us: int, text: str) -> None:
        self.counts[rule] += 1
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(f"{now_us / 1e6:.3f} s: request {request_number}: {rule}: {text}")

    def request_sent(
        self, request_number: int, request_class: str, time_budget_us: int, is_first_try: bool, now_us: int
    ) -> None:
        """A client has written the last byte of its first line."""
        self.traces[request_number] = RequestTrace(request_class, now_us, time_budget_us, is_first_try)
        self.counts["first" if is_first_try else "again"] += 1

    def answer_received(self, request_number: int, answer: str, now_us: int) -> None:
        """A client has received `up`, `busy` or `err`."""
        trace = self.traces[request_number]
        trace.answers.append(answer)
        self.counts[answer] += 1
        if len(trace.answers) > 1:
            self._record_violation("answers", request_number, now_us, f"{trace.answers} in all")
            return
        trace.answered_us = now_us
        if now_us > trace.last_answer_us:
            overdue_ms = (now_us - trace.sent_us - trace.time_budget_us) / 1000
            text = f"{answer} {overdue_ms:.1f} ms after {trace.request_class} gave up"
            self._record_violation("late", request_number, now_us, text)

    def client_disconnected(self, request_number: int) -> None:
        """A client has ended its connection: nothing more is owed."""
        self.traces[request_number].client_disconnected = True

    def attempt_arrived(
        self, request_number: int, attempt: int, endpoint: str, now_us: int, relay: str = ""
    ) -> None:
        """A backend has received the last byte of a first line."""
        trace = self.traces[request_number]
        trace.attempts += 1
        self.counts["sent"] += 1
        if trace.open_attempts:
            text = f"at {endpoint} while one is out at {trace.open_attempts}"
            self._record_violation("overlap", request_number, now_us, text)
        if trace.attempts > MAX_ATTEMPTS:
            self._record_violation("attempts", request_number, now_us, f"{trace.attempts} of them")
        self._check_drain(request_number, endpoint, now_us, relay)
        self._check_slow_start(request_number, endpoint, now_us, relay)
        trace.open_attempts[attempt] = endpoint

    def _check_drain(self, request_number: int, endpoint: str, now_us: int, relay: str) -> None:
        unavailable_since_us = self.unavailable_since_us.get((relay, endpoint), now_us)
        if now_us > unavailable_since_us + DRAIN_GRACE_US:
            overdue_ms = (now_us - unavailable_since_us) / 1000
            text = f"sent to {endpoint} {overdue_ms:.0f} ms after its drain was told"
            self._record_violation("drain", request_number, now_us, text)

    def _check_slow_start(self, request_number: int, endpoint: str, now_us: int, relay: str) -> None:
        """A backend is overloaded by what all relays send; the rule binds those that knew of its start."""
        budget = self.slow_starts.get(endpoint)
        if budget is None:
            return
        start_was_known = self.known_starts_us.get((relay, endpoint), 0) >= budget.started_us
        budget.add_arrival(now_us, start_was_known)
        count, allowed = len(budget.arrivals), budget.setups_allowed(now_us)
        self.counts["cold_share"] = max(self.counts["cold_share"], int(100 * count / allowed))
        if count > allowed and budget.is_mostly_from_notified_relays():
            text = f"{count} set-ups at {endpoint} in a window that bears {allowed:.1f}"
            self._record_violation("cold", request_number, now_us, text)
            budget.arrivals.clear()

    def attempt_ended(self, request_number: int, attempt: int) -> None:
        """An attempt was answered, or its connection has ended."""
        self.traces[request_number].open_attempts.pop(attempt, None)

    def relay_notified(
        self, endpoint: str, is_unavailable: bool, now_us: int, relay: str = "", started_us: int = 0
    ) -> None:
        """A relay knows that a backend drains or is removed, or that it is ready; and its last start."""
        if is_unavailable:
            self.unavailable_since_us.setdefault((relay, endpoint), now_us)
        else:
            self.unavailable_since_us.pop((relay, endpoint), None)
        self.known_starts_us[relay, endpoint] = started_us

    def backend_started(self, endpoint: str, budget: SlowStartBudget) -> None:
        """A backend has started anew."""
        self.slow_starts[endpoint] = budget

    def connection_cut(self, request_number: int, now_us: int) -> None:
        """A relay has exited in good order with an established connection that it did not migrate."""
        self._record_violation("cut off", request_number, now_us, "without MOVE")

    def finish(self, now_us: int) -> list[str]:
        """End the run: find what was never answered. All violations."""
        for request_number, trace in self.traces.items():
            is_unanswered = not trace.answers and not trace.client_disconnected
            if is_unanswered and now_us > trace.last_answer_us:
                self._record_violation("unanswered", request_number, now_us, f"a {trace.request_class}")
        return self.violations

    def longest_answer_us(self, request_class: str) -> int:
        """The longest that a final answer took, in a class; 0 if there was none."""
        answered = [
            trace.answered_us - trace.sent_us
            for trace in self.traces.values()
            if trace.request_class == request_class and trace.answered_us >= 0
        ]
        return max(answered, default=0)
