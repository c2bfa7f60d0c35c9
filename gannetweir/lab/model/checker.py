"""Checks the rules that a relay must keep towards its clients and backends, from what those two observe.

Clients and backends report events on their own side; no relay is asked. A violation is recorded as a line of
text with its time, the number of the request and the name of the rule:

- `answers`: a request gets one final answer;
- `late`: no answer is sent after the client's time budget;
- `unanswered`: every request is answered;
- `overlap`: a request has one attempt in flight at a time;
- `attempts`: a request has at most `MAX_ATTEMPTS` attempts;
- `drain`: no new request is sent to a draining backend once the relay has known of the drain for a while;
- `cold`: a backend in its slow start gets no more set-ups than it can serve;
- `cut off`: a relay that shuts down gracefully migrates its clients.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field

MAX_ATTEMPTS = 6
DRAIN_GRACE_US = 500_000
ANSWER_SLACK_US = 20_000  # equals the answer slack of the settings
SETUP_WINDOW_US = 1_500_000  # set-ups at a backend in its slow start are counted over this window
MAX_VIOLATIONS = 100  # limits the recorded texts; further violations are only counted


@dataclass(slots=True)
class RequestTrace:
    """A request as its client sent it, with the attempts and answers observed for it."""

    request_class: str
    sent_us: int
    time_budget_us: int
    is_first_try: bool  # False for a client's own retry
    attempts: int = 0
    open_attempts: dict[int, str] = field(default_factory=dict)  # backends by attempt number
    answers: list[str] = field(default_factory=list)
    answered_us: int = -1  # -1 means not answered
    client_disconnected: bool = False  # no answer is required after a disconnect

    @property
    def last_answer_us(self) -> int:
        """The latest time at which an answer is not late."""
        return self.sent_us + self.time_budget_us + ANSWER_SLACK_US


@dataclass(slots=True)
class SlowStartBudget:
    """The set-ups that a restarted backend can serve, and the set-ups counted in the current window."""

    started_us: int
    full_setups_per_s: float  # the rate allowed after the slow start, by the settings' overload multiple
    min_share: float  # the share of `full_setups_per_s` that is allowed at the start
    window_us: int  # the length of the slow start
    # The time of each set-up, and whether its relay knew of the backend's start.
    arrivals: deque[tuple[int, bool]] = field(default_factory=deque)

    def setups_allowed(self, now_us: int) -> float:
        """The set-ups allowed in one window: the mean, two standard deviations and two more for chance."""
        warming_share = (1.0 - self.min_share) * (now_us - self.started_us) / self.window_us
        warmed_share = min(1.0, self.min_share + warming_share)
        mean_setups = self.full_setups_per_s * warmed_share * SETUP_WINDOW_US / 1e6
        return float(mean_setups + 2.0 * mean_setups**0.5 + 2.0)

    def add_arrival(self, now_us: int, start_was_known: bool) -> None:
        """Count a set-up, and drop the set-ups that are older than the window."""
        self.arrivals.append((now_us, start_was_known))
        while self.arrivals[0][0] <= now_us - SETUP_WINDOW_US:
            self.arrivals.popleft()

    def is_mostly_from_notified_relays(self) -> bool:
        """Whether over two thirds of the set-ups in the window came from relays that knew of the start."""
        return 3 * sum(start_was_known for _, start_was_known in self.arrivals) > 2 * len(self.arrivals)


class RuleChecker:
    """Owns the request traces, the violations and the counts of one run."""

    def __init__(self) -> None:
        self.traces: dict[int, RequestTrace] = {}
        # By relay and endpoint: the time since which the relay has known that the endpoint is draining or
        # removed. An empty relay name stands for all relays.
        self.unavailable_since_us: dict[tuple[str, str], int] = {}
        # By relay and endpoint: the endpoint's last start that the relay knows of.
        self.known_starts_us: dict[tuple[str, str], int] = {}
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
            self._record_violation("answers", request_number, now_us, f"{trace.answers}, expected one answer")
            return
        trace.answered_us = now_us
        if now_us > trace.last_answer_us:
            overdue_ms = (now_us - trace.sent_us - trace.time_budget_us) / 1000
            text = f"{answer} {overdue_ms:.1f} ms after the {trace.request_class} deadline"
            self._record_violation("late", request_number, now_us, text)

    def client_disconnected(self, request_number: int) -> None:
        """A client has ended its connection: no answer is required any more."""
        self.traces[request_number].client_disconnected = True

    def attempt_arrived(
        self, request_number: int, attempt: int, endpoint: str, now_us: int, relay: str = ""
    ) -> None:
        """A backend has received the last byte of a first line."""
        trace = self.traces[request_number]
        trace.attempts += 1
        self.counts["sent"] += 1
        if trace.open_attempts:
            text = f"at {endpoint} while an attempt is in flight at {trace.open_attempts}"
            self._record_violation("overlap", request_number, now_us, text)
        if trace.attempts > MAX_ATTEMPTS:
            self._record_violation(
                "attempts",
                request_number,
                now_us,
                f"{trace.attempts} attempts, expected at most {MAX_ATTEMPTS}",
            )
        self._check_drain(request_number, endpoint, now_us, relay)
        self._check_slow_start(request_number, endpoint, now_us, relay)
        trace.open_attempts[attempt] = endpoint

    def _check_drain(self, request_number: int, endpoint: str, now_us: int, relay: str) -> None:
        unavailable_since_us = self.unavailable_since_us.get((relay, endpoint), now_us)
        if now_us > unavailable_since_us + DRAIN_GRACE_US:
            overdue_ms = (now_us - unavailable_since_us) / 1000
            text = f"sent to {endpoint} {overdue_ms:.0f} ms after the relay knew of its drain"
            self._record_violation("drain", request_number, now_us, text)

    def _check_slow_start(self, request_number: int, endpoint: str, now_us: int, relay: str) -> None:
        """Count a set-up at a backend in its slow start, and record a violation if there are too many.

        All relays' set-ups count towards the overload, but only relays that knew of the start are bound.
        """
        budget = self.slow_starts.get(endpoint)
        if budget is None:
            return
        start_was_known = self.known_starts_us.get((relay, endpoint), 0) >= budget.started_us
        budget.add_arrival(now_us, start_was_known)
        count, allowed = len(budget.arrivals), budget.setups_allowed(now_us)
        self.counts["cold_share"] = max(self.counts["cold_share"], int(100 * count / allowed))
        if count > allowed and budget.is_mostly_from_notified_relays():
            text = f"{count} set-ups at {endpoint} in a window that allows {allowed:.1f}"
            self._record_violation("cold", request_number, now_us, text)
            budget.arrivals.clear()

    def attempt_ended(self, request_number: int, attempt: int) -> None:
        """The backend has answered an attempt, or the attempt's connection has ended."""
        self.traces[request_number].open_attempts.pop(attempt, None)

    def relay_notified(
        self, endpoint: str, is_unavailable: bool, now_us: int, relay: str = "", started_us: int = 0
    ) -> None:
        """A relay has learned a backend's state (unavailable: draining or removed) and its last start."""
        if is_unavailable:
            self.unavailable_since_us.setdefault((relay, endpoint), now_us)
        else:
            self.unavailable_since_us.pop((relay, endpoint), None)
        self.known_starts_us[relay, endpoint] = started_us

    def backend_started(self, endpoint: str, budget: SlowStartBudget) -> None:
        """A backend has been restarted."""
        self.slow_starts[endpoint] = budget

    def connection_cut(self, request_number: int, now_us: int) -> None:
        """A relay has shut down gracefully with an established connection that it did not migrate."""
        self._record_violation("cut off", request_number, now_us, "connection ended without MOVE")

    def finish(self, now_us: int) -> list[str]:
        """End the run and record unanswered requests. Returns all violations."""
        for request_number, trace in self.traces.items():
            is_unanswered = not trace.answers and not trace.client_disconnected
            if is_unanswered and now_us > trace.last_answer_us:
                self._record_violation(
                    "unanswered", request_number, now_us, f"no answer to a {trace.request_class} request"
                )
        return self.violations

    def longest_answer_us(self, request_class: str) -> int:
        """The longest time to a final answer among the requests of a class; 0 if there was no answer."""
        answered = [
            trace.answered_us - trace.sent_us
            for trace in self.traces.values()
            if trace.request_class == request_class and trace.answered_us >= 0
        ]
        return max(answered, default=0)
