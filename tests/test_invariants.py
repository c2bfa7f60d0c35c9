"""The run-time guard: each rule is broken on purpose and caught, and what is allowed is not."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from gannetweir.core.invariants import InvariantGuard, InvariantRule, Violation
from gannetweir.membership.endpoint_list import EndpointList
from gannetweir.membership.membership_update import ListedEndpoint, MembershipUpdate
from gannetweir.placement.events import EndpointEntry, EndpointStatus
from gannetweir.placement.settings import RequestClass
from tests.scenario import World

DEADLINE = 2_000_000
HARMLESS = RequestClass("plain", idempotency="repeatable")
ONCE = RequestClass("once", idempotency="once")
KEYED = RequestClass("keyed", idempotency="by_key", idempotency_scope="cell", idempotency_window_us=1_000_000)


class Watched:
    """A guard over two cells of backends, and what it reported. Each call that is left out has a default."""

    def __init__(self, cls: RequestClass = HARMLESS, deadline_us: int = DEADLINE) -> None:
        self.pool = EndpointList()
        entries = [EndpointEntry(f"b{n}", cell=n % 2) for n in range(4)]
        self.pool.apply(
            MembershipUpdate(1, True, [ListedEndpoint(entry, "127.0.0.1:1") for entry in entries]), 0
        )
        self.found: list[Violation] = []
        self.guard = InvariantGuard(self.pool, self.found.append)
        self.guard.request_opened(1, cls, deadline_us)

    def attempt(self, attempt: int, server: str = "b0", now_us: int = 1000, most: int = 3) -> None:
        self.guard.attempt_write_started(1, attempt, server, now_us, most)

    def over(self, attempt: int, ran: bool) -> None:
        self.guard.attempt_closed(1, attempt, ran)

    def drains(self, server: str) -> None:
        entry = EndpointEntry(server, state=EndpointStatus.DRAINING)
        self.pool.apply(MembershipUpdate(2, False, [ListedEndpoint(entry, "127.0.0.1:1")]), 1)

    def failed(self, cls: RequestClass, server: str, now_us: int = 1000) -> None:
        """One attempt at b0 that may have run, and a second one."""
        self.guard.request_opened(1, cls, DEADLINE)
        self.attempt(0, "b0")
        self.over(0, True)
        self.attempt(1, server, now_us)


Play = Callable[[Watched], None]


def twice_at_once(at: Watched) -> None:
    at.attempt(0)
    at.attempt(1, "b1")


def answer_twice(at: Watched) -> None:
    at.guard.final_answer_written(1, True, 5)
    at.guard.final_answer_written(1, False, 6)


def attempt_after_the_answer(at: Watched) -> None:
    at.guard.final_answer_written(1, False, 5)
    at.attempt(0)


def attempt_after_the_client(at: Watched) -> None:
    at.guard.client_ended(1)
    at.attempt(0)


def draining_backend(at: Watched) -> None:
    at.drains("b1")
    at.attempt(0, "b1")


def cut_off(at: Watched) -> None:
    at.guard.final_answer_written(1, True, 5)
    at.guard.client_connection_closed(1)


BROKEN: list[tuple[InvariantRule, Play]] = [
    (InvariantRule.OVERLAP, twice_at_once),
    (InvariantRule.UNSAFE_REPEAT, lambda at: at.failed(ONCE, "b1")),
    (InvariantRule.UNSAFE_REPEAT, lambda at: at.failed(KEYED, "b1")),  # another cell
    (InvariantRule.UNSAFE_REPEAT, lambda at: at.failed(KEYED, "b2", 1_001_000)),  # its window is over
    (InvariantRule.TOO_MANY_ATTEMPTS, lambda at: at.attempt(0, most=0)),
    (InvariantRule.ENDPOINT_UNAVAILABLE, draining_backend),
    (InvariantRule.ENDPOINT_UNAVAILABLE, lambda at: at.attempt(0, "unlisted")),
    (InvariantRule.CLIENT_DISCONNECTED, attempt_after_the_client),
    (InvariantRule.AFTER_ANSWER, attempt_after_the_answer),
    (InvariantRule.SECOND_ANSWER, answer_twice),
    (InvariantRule.LATE_ANSWER, lambda at: at.guard.final_answer_written(1, False, DEADLINE + 500_001)),
    (InvariantRule.NO_ANSWER, lambda at: at.guard.client_connection_closed(1)),
    (InvariantRule.NO_ANSWER, lambda at: at.guard.unread_connection_closed()),
    (InvariantRule.CUT_OFF, cut_off),
    (InvariantRule.DESCRIPTORS, lambda at: at.guard.check_descriptors(101, 100)),
]


@pytest.mark.parametrize(("rule", "play"), BROKEN)
def test_a_broken_rule_is_counted(rule: InvariantRule, play: Play) -> None:
    at = Watched()
    play(at)
    assert [violation.rule for violation in at.found] == [rule] and at.guard.violations == 1


def test_every_rule_is_shown_to_catch_something() -> None:
    assert {rule for rule, _ in BROKEN} == set(InvariantRule)


def served_and_moved(at: Watched) -> None:
    at.attempt(0)
    at.guard.final_answer_written(1, True, DEADLINE + 500_000)
    at.guard.close_permitted(1)
    at.guard.client_connection_closed(1)


def refused_in_between(at: Watched) -> None:
    at.guard.request_opened(1, ONCE, DEADLINE)
    at.attempt(0)
    at.over(0, False)  # it never ran, so any class may be tried again
    at.attempt(1, "b1")
    at.guard.final_answer_written(1, False, 5)
    at.guard.client_connection_closed(1)


def resumed_at_a_draining_backend(at: Watched) -> None:
    at.guard.request_opened(1, ONCE, 0)
    at.drains("b1")
    at.attempt(0, "b1", most=0)
    at.guard.final_answer_written(1, True, 10 * DEADLINE)
    at.guard.client_ended(1)
    at.guard.client_connection_closed(1)


ALLOWED: list[Play] = [
    served_and_moved,
    refused_in_between,
    resumed_at_a_draining_backend,
    lambda at: at.failed(KEYED, "b2", 900_000),
    lambda at: at.failed(HARMLESS, "b1"),
    lambda at: at.guard.check_descriptors(100, 100),
]


@pytest.mark.parametrize("play", ALLOWED)
def test_what_is_allowed_is_not_counted(play: Play) -> None:
    at = Watched()
    play(at)
    assert not at.found and at.guard.violations == 0


def test_a_violation_is_logged_with_the_steps_of_its_request_and_counted() -> None:
    world = World()
    world.play("c1 send OPEN 0a 0b c=plain,d=2000\ntime wait 1")
    world.engine.guard.attempt_write_started(1, 0, "b1", world.now_us, 3)
    world.engine.guard.attempt_write_started(1, 1, "b2", world.now_us, 3)
    line = next(c for c in world.engine.commands if getattr(c, "text", "") == "invariant violated")
    assert line.fields["rule"] == InvariantRule.OVERLAP and line.fields["id"] == "0a"
    assert "opened:plain" in str(line.fields["history"]) and "attempt@b" in str(line.fields["history"])
    assert world.engine.counters.counts["violations.overlap"] == 1
    assert world.engine.current_figures()["violations"] == 1


def test_every_refusal_retry_move_and_end_is_counted_by_its_reason() -> None:
    world = World(backends=2)
    world.play(
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
    counts = world.engine.counters.counts
    reasons = ("retried.after_full", "closed.client_ended", "moved.drain", "refused.relay_closing")
    assert [counts[reason] for reason in reasons] == [1, 1, 1, 1], counts
