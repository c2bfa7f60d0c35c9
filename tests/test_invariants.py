"""The run-time guard of the invariants: each violation is reported, and permitted sequences are not."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from gannetweir.core import WriteLogLine
from gannetweir.core.invariants import InvariantGuard, InvariantRule, Violation
from gannetweir.membership.endpoint_list import EndpointList
from gannetweir.membership.membership_update import ListedEndpoint, MembershipUpdate
from gannetweir.placement.events import EndpointEntry, EndpointStatus
from gannetweir.placement.settings import RequestClass
from tests.scenario import EngineScenario

DEADLINE_US = 2_000_000
IDEMPOTENT = RequestClass("plain", idempotency="repeatable")
NOT_IDEMPOTENT = RequestClass("once", idempotency="once")
WITH_KEY = RequestClass(
    "keyed", idempotency="by_key", idempotency_scope="cell", idempotency_window_us=1_000_000
)


class GuardedRequest:
    """A guard over endpoints in two cells with one request, and the violations that the guard reported."""

    def __init__(self, request_class: RequestClass = IDEMPOTENT, deadline_us: int = DEADLINE_US) -> None:
        self.endpoint_list = EndpointList()
        entries = [EndpointEntry(f"b{number}", cell=number % 2) for number in range(4)]
        self.endpoint_list.apply(
            MembershipUpdate(1, True, [ListedEndpoint(entry, "127.0.0.1:1") for entry in entries]), 0
        )
        self.violations: list[Violation] = []
        self.guard = InvariantGuard(self.endpoint_list, self.violations.append)
        self.guard.request_opened(1, request_class, deadline_us)

    def start_attempt(
        self, attempt: int, endpoint_id: str = "b0", now_us: int = 1000, max_attempts: int = 3
    ) -> None:
        self.guard.attempt_write_started(1, attempt, endpoint_id, now_us, max_attempts)

    def close_attempt(self, attempt: int, may_have_executed: bool) -> None:
        self.guard.attempt_closed(1, attempt, may_have_executed)

    def drain(self, endpoint_id: str) -> None:
        entry = EndpointEntry(endpoint_id, state=EndpointStatus.DRAINING)
        self.endpoint_list.apply(MembershipUpdate(2, False, [ListedEndpoint(entry, "127.0.0.1:1")]), 1)

    def retry_elsewhere(self, request_class: RequestClass, endpoint_id: str, now_us: int = 1000) -> None:
        """Write an attempt at b0 that may have executed, then a second attempt."""
        self.guard.request_opened(1, request_class, DEADLINE_US)
        self.start_attempt(0, "b0")
        self.close_attempt(0, True)
        self.start_attempt(1, endpoint_id, now_us)


Steps = Callable[[GuardedRequest], None]


def overlapping_attempts(guarded: GuardedRequest) -> None:
    guarded.start_attempt(0)
    guarded.start_attempt(1, "b1")


def two_answers(guarded: GuardedRequest) -> None:
    guarded.guard.final_answer_written(1, True, 5)
    guarded.guard.final_answer_written(1, False, 6)


def attempt_after_the_answer(guarded: GuardedRequest) -> None:
    guarded.guard.final_answer_written(1, False, 5)
    guarded.start_attempt(0)


def attempt_after_the_client_disconnected(guarded: GuardedRequest) -> None:
    guarded.guard.client_ended(1)
    guarded.start_attempt(0)


def attempt_at_a_draining_endpoint(guarded: GuardedRequest) -> None:
    guarded.drain("b1")
    guarded.start_attempt(0, "b1")


def established_connection_closed(guarded: GuardedRequest) -> None:
    guarded.guard.final_answer_written(1, True, 5)
    guarded.guard.client_connection_closed(1)


VIOLATIONS: list[tuple[InvariantRule, Steps]] = [
    (InvariantRule.OVERLAP, overlapping_attempts),
    (InvariantRule.UNSAFE_REPEAT, lambda guarded: guarded.retry_elsewhere(NOT_IDEMPOTENT, "b1")),
    (InvariantRule.UNSAFE_REPEAT, lambda guarded: guarded.retry_elsewhere(WITH_KEY, "b1")),  # another cell
    # The idempotency window of the first attempt has passed.
    (InvariantRule.UNSAFE_REPEAT, lambda guarded: guarded.retry_elsewhere(WITH_KEY, "b2", 1_001_000)),
    (InvariantRule.TOO_MANY_ATTEMPTS, lambda guarded: guarded.start_attempt(0, max_attempts=0)),
    (InvariantRule.ENDPOINT_UNAVAILABLE, attempt_at_a_draining_endpoint),
    (InvariantRule.ENDPOINT_UNAVAILABLE, lambda guarded: guarded.start_attempt(0, "unlisted")),
    (InvariantRule.CLIENT_DISCONNECTED, attempt_after_the_client_disconnected),
    (InvariantRule.AFTER_ANSWER, attempt_after_the_answer),
    (InvariantRule.SECOND_ANSWER, two_answers),
    (
        InvariantRule.LATE_ANSWER,
        lambda guarded: guarded.guard.final_answer_written(1, False, DEADLINE_US + 500_001),
    ),
    (InvariantRule.NO_ANSWER, lambda guarded: guarded.guard.client_connection_closed(1)),
    (InvariantRule.NO_ANSWER, lambda guarded: guarded.guard.unread_connection_closed()),
    (InvariantRule.CUT_OFF, established_connection_closed),
    (InvariantRule.DESCRIPTORS, lambda guarded: guarded.guard.check_descriptors(101, 100)),
]


@pytest.mark.parametrize(("rule", "steps"), VIOLATIONS)
def test_a_violation_is_counted(rule: InvariantRule, steps: Steps) -> None:
    guarded = GuardedRequest()
    steps(guarded)
    assert [violation.rule for violation in guarded.violations] == [rule]
    assert guarded.guard.violations == 1


def test_every_rule_has_a_case_that_violates_it() -> None:
    assert {rule for rule, _ in VIOLATIONS} == set(InvariantRule)


def established_and_migrated(guarded: GuardedRequest) -> None:
    guarded.start_attempt(0)
    guarded.guard.final_answer_written(1, True, DEADLINE_US + 500_000)
    guarded.guard.close_permitted(1)
    guarded.guard.client_connection_closed(1)


def retried_after_a_rejection(guarded: GuardedRequest) -> None:
    guarded.guard.request_opened(1, NOT_IDEMPOTENT, DEADLINE_US)
    guarded.start_attempt(0)
    guarded.close_attempt(0, False)  # the attempt was never executed, so any class may be retried
    guarded.start_attempt(1, "b1")
    guarded.guard.final_answer_written(1, False, 5)
    guarded.guard.client_connection_closed(1)


def resumed_at_a_draining_endpoint(guarded: GuardedRequest) -> None:
    guarded.guard.request_opened(1, NOT_IDEMPOTENT, 0)
    guarded.drain("b1")
    guarded.start_attempt(0, "b1", max_attempts=0)
    guarded.guard.final_answer_written(1, True, 10 * DEADLINE_US)
    guarded.guard.client_ended(1)
    guarded.guard.client_connection_closed(1)


ALLOWED: list[Steps] = [
    established_and_migrated,
    retried_after_a_rejection,
    resumed_at_a_draining_endpoint,
    lambda guarded: guarded.retry_elsewhere(WITH_KEY, "b2", 900_000),
    lambda guarded: guarded.retry_elsewhere(IDEMPOTENT, "b1"),
    lambda guarded: guarded.guard.check_descriptors(100, 100),
]


@pytest.mark.parametrize("steps", ALLOWED)
def test_allowed_steps_are_no_violation(steps: Steps) -> None:
    guarded = GuardedRequest()
    steps(guarded)
    assert not guarded.violations
    assert guarded.guard.violations == 0


def test_a_violation_is_logged_with_the_steps_of_its_request_and_counted() -> None:
    scenario = EngineScenario()
    scenario.run_script("c1 send OPEN 0a 0b c=plain,d=2000\ntime wait 1")
    scenario.engine.guard.attempt_write_started(1, 0, "b1", scenario.now_us, 3)
    scenario.engine.guard.attempt_write_started(1, 1, "b2", scenario.now_us, 3)
    lines = [command for command in scenario.engine.commands if isinstance(command, WriteLogLine)]
    line = next(line for line in lines if line.text == "invariant violated")
    assert line.fields["rule"] == InvariantRule.OVERLAP
    assert line.fields["id"] == "0a"
    assert "opened:plain" in str(line.fields["history"])
    assert "attempt@b" in str(line.fields["history"])
    assert scenario.engine.counters.counts["violations.overlap"] == 1
    assert scenario.engine.current_figures()["violations"] == 1


def test_rejections_retries_migrations_and_ends_are_counted_by_reason() -> None:
    scenario = EngineScenario(backends=2)
    scenario.run_script(
        """
        c1 send OPEN 0a 0b c=plain,d=2000
        c1/upstream expect OPEN*
        c1/upstream send BUSY
        c1/upstream expect OPEN*
        c1/upstream send UP r1
        c1 expect UP r1
        c1 close
        c2 send OPEN 0c 0b c=plain,d=2000
        c2/upstream expect OPEN*
        c2/upstream send UP r2
        c2 expect UP r2
        relay term
        time wait 600
        c2 expect MOVE
        c3 send OPEN 0d 0b c=plain,d=2000
        c3 expect BUSY*
        """
    )
    counts = scenario.engine.counters.counts
    reasons = ("retried.after_full", "closed.client_ended", "migrated.drain", "rejected.relay_closing")
    assert [counts[reason] for reason in reasons] == [1, 1, 1, 1], counts
