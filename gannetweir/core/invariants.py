"""The rules of a relay, checked at run time: what it writes to backends, repeats, answers and closes.

Drivers report what they have done on sockets, at the moment at which they do it. The guard keeps records of
its own and shares no flag with the engine, so a mistake in the engine's book-keeping shows here. It changes
nothing: a violation is counted and logged with what is remembered of the request.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from gannetweir.membership.endpoint_list import EndpointList
from gannetweir.placement.events import EndpointId
from gannetweir.placement.settings import RequestClass

ANSWER_LOST_AFTER_US = 500_000  # an answer that is later than this after its time is a lost one


class InvariantRule(StrEnum):
    """What must never happen."""

    OVERLAP = "overlap"  # an attempt begun while another one of its request is out
    UNSAFE_REPEAT = "unsafe_repeat"  # a repeat that the effect of its class forbids
    TOO_MANY_ATTEMPTS = "too_many_attempts"
    ENDPOINT_UNAVAILABLE = "backend_leaving"  # an attempt begun at a backend that is not to be sent to
    CLIENT_DISCONNECTED = "client_gone"  # an attempt begun after the client's end was read
    AFTER_ANSWER = "after_answer"  # an attempt begun after the final answer
    SECOND_ANSWER = "second_answer"
    LATE_ANSWER = "late_answer"
    NO_ANSWER = "no_answer"  # a client's connection closed here without its answer
    CUT_OFF = "cut_off"  # a standing connection closed here without MOVE, and not by either end
    DESCRIPTORS = "descriptors"  # clients and their attempts hold more than the limit allows


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule. `number` is the request's, 0 where it is of none."""

    rule: InvariantRule
    request_id: int
    detail: str


@dataclass(slots=True)
class RequestRecord:
    """One request as its sockets saw it."""

    request_class: RequestClass
    deadline_us: int  # 0: none is stated (resumed connections)
    attempts_written: int = 0  # attempts of which a byte was written
    attempt_in_flight: int = -1  # the attempt that is out, -1 for none
    in_flight_endpoint_id: EndpointId = None
    attempt_written_us: int = 0
    executed_endpoint_id: EndpointId = None  # where the first attempt that may have run was made
    executed_us: int = -1  # when that one was begun; -1: none may have run
    answered: bool = False
    served: bool = False
    client_ended: bool = False
    may_close: bool = False  # it was moved, or its backend ended it


class InvariantGuard:
    """Counts violations. `report` is called for each one."""

    def __init__(self, endpoint_list: EndpointList, report: Callable[[Violation], None]) -> None:
        self.endpoint_list, self.report = endpoint_list, report
        self.records: dict[int, RequestRecord] = {}
        self.violations = 0

    def _record_violation(self, rule: InvariantRule, number: int, detail: str = "") -> None:
        self.violations += 1
        self.report(Violation(rule, number, detail))

    # ---- requests

    def request_opened(self, number: int, cls: RequestClass, deadline_us: int) -> None:
        """A client's first line was taken. `deadline_us`: when its client gives up, 0 where it does not."""
        self.records[number] = RequestRecord(cls, deadline_us)

    def final_answer_written(self, number: int, served: bool, now_us: int) -> None:
        """The final answer is written: the backend's (`served`), a refusal or a failure."""
        record = self.records.get(number)
        if record is None:
            return
        if record.answered:
            self._record_violation(InvariantRule.SECOND_ANSWER, number)
        elif record.deadline_us and now_us > record.deadline_us + ANSWER_LOST_AFTER_US:
            self._record_violation(
                InvariantRule.LATE_ANSWER, number, f"{(now_us - record.deadline_us) // 1000} ms late"
            )
        record.answered, record.served = True, record.served or served

    def close_permitted(self, number: int) -> None:
        """The client was told to move, or its backend has ended the connection."""
        if (record := self.records.get(number)) is not None:
            record.may_close = True

    def client_ended(self, number: int) -> None:
        """The client's end was read."""
        if (record := self.records.get(number)) is not None:
            record.client_ended = True

    def client_connection_closed(self, number: int) -> None:
        """The client's connection is closed here; nothing more is heard of this request."""
        record = self.records.pop(number, None)
        if record is None or record.client_ended:
            return
        if not record.answered:
            self._record_violation(InvariantRule.NO_ANSWER, number)
        elif record.served and not record.may_close:
            self._record_violation(InvariantRule.CUT_OFF, number)

    def unread_connection_closed(self) -> None:
        """A client's connection is closed here, without an answer, before its first line was read."""
        self._record_violation(InvariantRule.NO_ANSWER, 0, "first line unread")

    # ---- attempts

    def attempt_write_started(
        self, number: int, attempt: int, server: EndpointId, now_us: int, most: int
    ) -> None:
        """The first byte of an attempt is about to be written. `most`: attempts that are allowed now."""
        record = self.records.get(number)
        if record is None or record.client_ended:
            self._record_violation(
                InvariantRule.CLIENT_DISCONNECTED, number, f"attempt {attempt} at {server}"
            )
            return
        if record.attempt_in_flight >= 0:
            in_flight = f"{record.attempt_in_flight} is out at {record.in_flight_endpoint_id}"
            detail = f"attempt {attempt} at {server}, {in_flight}"
            self._record_violation(InvariantRule.OVERLAP, number, detail)
        if record.answered:
            self._record_violation(InvariantRule.AFTER_ANSWER, number, f"attempt {attempt} at {server}")
        if record.deadline_us:  # a resumed connection is held by its backend, whatever is told of that
            self._check_new_attempt(record, number, attempt, server, now_us, most)
        record.attempts_written += 1
        record.attempt_in_flight, record.in_flight_endpoint_id, record.attempt_written_us = (
            attempt,
            server,
            now_us,
        )

    def _check_new_attempt(
        self, record: RequestRecord, number: int, attempt: int, server: EndpointId, now_us: int, most: int
    ) -> None:
        if not self.endpoint_list.accepts_requests(server):
            self._record_violation(
                InvariantRule.ENDPOINT_UNAVAILABLE, number, f"attempt {attempt} at {server}"
            )
        if record.attempts_written >= most:
            self._record_violation(
                InvariantRule.TOO_MANY_ATTEMPTS, number, f"{record.attempts_written + 1} of {most}"
            )
        if record.executed_us >= 0 and not self._repeat_is_safe(record, server, now_us):
            detail = (
                f"a {record.request_class.idempotency} class, at {server} after {record.executed_endpoint_id}"
            )
            self._record_violation(InvariantRule.UNSAFE_REPEAT, number, detail)

    def _repeat_is_safe(self, record: RequestRecord, server: EndpointId, now_us: int) -> bool:
        cls = record.request_class
        if cls.idempotency == "repeatable":
            return True
        if cls.idempotency != "by_key" or now_us - record.executed_us >= cls.idempotency_window_us:
            return False
        before, here = (
            self.endpoint_list.entries.get(record.executed_endpoint_id),
            self.endpoint_list.entries.get(server),
        )
        if cls.idempotency_scope == "all" or before is None or here is None:
            return cls.idempotency_scope == "all"
        return before.zone == here.zone if cls.idempotency_scope == "zone" else before.cell == here.cell

    def attempt_closed(self, number: int, attempt: int, may_have_run: bool) -> None:
        """The connection of an attempt is closed here. May be told more than once."""
        record = self.records.get(number)
        if record is None or record.attempt_in_flight != attempt:
            return
        record.attempt_in_flight = -1
        if may_have_run and record.executed_us < 0:
            record.executed_us, record.executed_endpoint_id = (
                record.attempt_written_us,
                record.in_flight_endpoint_id,
            )

    # ---- the process

    def check_descriptors(self, held: int, most: int) -> None:
        """Clients and their attempts hold so many descriptors now."""
        if held > most:
            self._record_violation(InvariantRule.DESCRIPTORS, 0, f"{held} of {most}")
