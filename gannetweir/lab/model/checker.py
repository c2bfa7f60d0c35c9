"""The rules alone: what clients and backends saw, held against what they are owed. Knows no relay.

Each party reports what happened on its own side. A broken rule is kept as a line that names it, at its time.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field

MOST_ATTEMPTS = 6
DRAIN_GRACE_US = 500_000
ANSWER_SLACK_US = 20_000  # the settings' answer slack
SLOW_START_COUNT_US = 1_500_000  # in which a cold server's budget is counted


@dataclass(slots=True)
class RequestTrace:
    """One request of a client's: what it asked and what became of it."""

    request_class: str
    sent_us: int
    time_budget_us: int
    is_first_try: bool  # not a client's own retry
    attempts: int = 0
    open_attempts: dict[int, str] = field(default_factory=dict)  # attempts that are out now, and where
    answers: list[str] = field(default_factory=list)
    answered_us: int = -1
    client_has_left: bool = False  # the client left, or nothing more is owed


@dataclass(slots=True)
class SlowStartBudget:
    """A server that has started anew: what it may be sent, and what came in the window that ends now."""

    started_us: int
    warm_setups_per_s: float  # set-ups a second that it bears warm, by the stated multiple
    min_share: float
    window_us: int
    arrivals: deque[tuple[int, bool]] = field(
        default_factory=deque
    )  # when, and from one that knew of the start

    def setups_allowed(self, now_us: int) -> float:
        """Set-ups in one window, with the slack for chance."""
        warmed_share = min(
            1.0, self.min_share + (1.0 - self.min_share) * (now_us - self.started_us) / self.window_us
        )
        mean_setups = self.warm_setups_per_s * warmed_share * SLOW_START_COUNT_US / 1e6
        return float(mean_setups + 2.0 * mean_setups**0.5 + 2.0)


class RuleChecker:
    """Counts what is owed and what was broken."""

    def __init__(self) -> None:
        self.traces: dict[int, RequestTrace] = {}
        # backends that drain or are gone: when a relay was told. One without a name stands for all.
        self.leaving_since_us: dict[tuple[str, str], int] = {}
        self.known_starts_us: dict[tuple[str, str], int] = {}  # the last start that a relay was told of
        self.slow_starts: dict[str, SlowStartBudget] = {}
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()

    def _record_violation(self, rule: str, request_number: int, now_us: int, text: str) -> None:
        self.counts[rule] += 1
        if len(self.violations) < 100:
            self.violations.append(f"{now_us / 1e6:.3f} s: request {request_number}: {rule}: {text}")

    # ---- what the client sees

    def request_sent(
        self, request_number: int, request_class: str, time_budget_us: int, is_first_try: bool, now_us: int
    ) -> None:
        """A first line's last byte has been written."""
        self.traces[request_number] = RequestTrace(request_class, now_us, time_budget_us, is_first_try)
        self.counts["first" if is_first_try else "again"] += 1

    def answer_received(self, request_number: int, answer: str, now_us: int) -> None:
        """`up`, `busy` or `err` has come."""
        trace = self.traces[request_number]
        trace.answers.append(answer)
        self.counts[answer] += 1
        if len(trace.answers) > 1:
            self._record_violation("answers", request_number, now_us, f"{trace.answers} in all")
            return
        trace.answered_us = now_us
        if now_us > trace.sent_us + trace.time_budget_us + ANSWER_SLACK_US:
            late_ms = (now_us - trace.sent_us - trace.time_budget_us) / 1000
            self._record_violation(
                "late",
                request_number,
                now_us,
                f"{answer} {late_ms:.1f} ms after {trace.request_class} gave up",
            )

    def client_left(self, request_number: int) -> None:
        """The client ended its connection: nothing more is owed."""
        self.traces[request_number].client_has_left = True

    # ---- what backends see

    def attempt_arrived(
        self, request_number: int, attempt: int, endpoint: str, now_us: int, relay: str = ""
    ) -> None:
        """A first line's last byte has arrived at a backend."""
        trace = self.traces[request_number]
        trace.attempts += 1
        self.counts["sent"] += 1
        if trace.open_attempts:
            self._record_violation(
                "overlap", request_number, now_us, f"at {endpoint} while one is out at {trace.open_attempts}"
            )
        if trace.attempts > MOST_ATTEMPTS:
            self._record_violation("attempts", request_number, now_us, f"{trace.attempts} of them")
        notified_us = self.leaving_since_us.get((relay, endpoint), now_us)
        if now_us > notified_us + DRAIN_GRACE_US:
            late_ms = (now_us - notified_us) / 1000
            self._record_violation(
                "drain",
                request_number,
                now_us,
                f"sent to {endpoint} {late_ms:.0f} ms after its drain was told",
            )
        if (budget := self.slow_starts.get(endpoint)) is not None:
            self._count_slow_start_setup(
                budget,
                request_number,
                endpoint,
                now_us,
                self.known_starts_us.get((relay, endpoint), 0) >= budget.started_us,
            )
        trace.open_attempts[attempt] = endpoint

    def _count_slow_start_setup(
        self, budget: SlowStartBudget, request_number: int, endpoint: str, now_us: int, start_was_known: bool
    ) -> None:
        """A cold server falls by what all send; the rule is broken by those that knew of its start."""
        budget.arrivals.append((now_us, start_was_known))
        while budget.arrivals[0][0] <= now_us - SLOW_START_COUNT_US:
            budget.arrivals.popleft()
        count, allowed = len(budget.arrivals), budget.setups_allowed(now_us)
        self.counts["cold_share"] = max(self.counts["cold_share"], int(100 * count / allowed))
        if count > allowed and 3 * sum(knew for _, knew in budget.arrivals) > 2 * count:
            text = f"{count} set-ups at {endpoint} in a window that bears {allowed:.1f}"
            self._record_violation("cold", request_number, now_us, text)
            budget.arrivals.clear()

    def attempt_ended(self, request_number: int, attempt: int) -> None:
        """It was answered, or given up by an end of its connection."""
        self.traces[request_number].open_attempts.pop(attempt, None)

    def relay_notified(
        self, endpoint: str, is_leaving: bool, now_us: int, relay: str = "", started_us: int = 0
    ) -> None:
        """A relay was told that a backend drains or is gone, or that it is ready; and its last start."""
        if is_leaving:
            self.leaving_since_us.setdefault((relay, endpoint), now_us)
        else:
            self.leaving_since_us.pop((relay, endpoint), None)
        self.known_starts_us[relay, endpoint] = started_us

    def backend_started(self, endpoint: str, budget: SlowStartBudget) -> None:
        """A backend has started anew."""
        self.slow_starts[endpoint] = budget

    def connection_cut(self, request_number: int, now_us: int) -> None:
        """A relay ended in good order and still held a connection that stood."""
        self._record_violation("cut off", request_number, now_us, "without MOVE")

    # ---- the end

    def finish(self, now_us: int) -> list[str]:
        """All that was broken; what was never answered is found now."""
        for request_number, trace in self.traces.items():
            if (
                not trace.answers
                and not trace.client_has_left
                and now_us > trace.sent_us + trace.time_budget_us + ANSWER_SLACK_US
            ):
                self._record_violation("unanswered", request_number, now_us, f"a {trace.request_class}")
        return self.violations

    def longest_answer_us(self, request_class: str) -> int:
        """The longest that a final answer took, in a class."""
        return max(
            (
                s.answered_us - s.sent_us
                for s in self.traces.values()
                if s.request_class == request_class and s.answered_us >= 0
            ),
            default=0,
        )
