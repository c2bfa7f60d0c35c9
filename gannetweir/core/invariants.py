"""Run-time checks of the relay's invariants: what it writes to endpoints, retries, answers and closes.

Drivers report each operation on a socket at the moment at which they perform it. The guard keeps its own
records and shares no request state with the engine, so it detects errors in the engine's book-keeping. It
changes nothing: a violation is counted, and logged with the recorded steps of the request.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from gannetweir.membership.endpoint_list import EndpointList
from gannetweir.placement.events import EndpointId
from gannetweir.placement.settings import RequestClass

# An answer that is later than this, counted from the client's deadline, is considered lost.
ANSWER_LOST_AFTER_US = 500_000


class InvariantRule(StrEnum):
    """Conditions that must never occur. The values are used in names of counters and in log lines."""

    OVERLAP = "overlap"  # an attempt started while another one of its request is in flight
    UNSAFE_REPEAT = "unsafe_repeat"  # a retry that the idempotency of its class forbids
    TOO_MANY_ATTEMPTS = "too_many_attempts"
    ENDPOINT_UNAVAILABLE = "backend_leaving"  # an attempt started at an endpoint that is draining or offline
    CLIENT_DISCONNECTED = "client_gone"  # an attempt started after the client's end was read
    AFTER_ANSWER = "after_answer"  # an attempt started after the final answer
    SECOND_ANSWER = "second_answer"
    LATE_ANSWER = "late_answer"
    NO_ANSWER = "no_answer"  # the relay closed a client connection without an answer
    CUT_OFF = "cut_off"  # closed by the relay without MOVE although neither side had ended the connection
    DESCRIPTORS = "descriptors"  # clients and their attempts use more descriptors than the limit allows


@dataclass(frozen=True, slots=True)
class Violation:
    """An invariant that did not hold. `request_id` is 0 if the violation concerns no request."""

    rule: InvariantRule
    request_id: int
    detail: str


@dataclass(slots=True)
class RequestRecord:
    """A request as observed on its sockets. Only the guard reads and changes it. Times are in
    microseconds.
    """

    request_class: RequestClass
    deadline_us: int  # 0 for a resumed connection, whose client has no deadline
    attempts_written: int = 0  # attempts of which at least one byte was written
    attempt_in_flight: int | None = None
    in_flight_endpoint_id: EndpointId = None
    attempt_written_us: int = 0  # start of the attempt in flight, or else of the latest one
    executed_us: int | None = None  # start of the first attempt that may have executed
    executed_endpoint_id: EndpointId = None  # endpoint of that attempt
    answered: bool = False
    served: bool = False  # the answer came from an endpoint, so the request is now a connection
    client_ended: bool = False
    may_close: bool = False  # the client was asked to reconnect, or the endpoint has ended the connection

    def begin_attempt(self, attempt: int, endpoint_id: EndpointId, now_us: int) -> None:
        """Put an attempt in flight."""
        self.attempts_written += 1
        self.attempt_in_flight = attempt
        self.in_flight_endpoint_id = endpoint_id
        self.attempt_written_us = now_us

    def end_attempt(self, may_have_executed: bool) -> None:
        """Take the attempt out of flight. The first attempt that may have executed counts for all later
        retries.
        """
        self.attempt_in_flight = None
        if may_have_executed and self.executed_us is None:
            self.executed_us = self.attempt_written_us
            self.executed_endpoint_id = self.in_flight_endpoint_id


class InvariantGuard:
    """Checks what drivers report on each request, and calls `report` for each violation."""

    def __init__(self, endpoint_list: EndpointList, report: Callable[[Violation], None]) -> None:
        self.endpoint_list = endpoint_list
        self.report = report
        self.records: dict[int, RequestRecord] = {}  # requests whose client connection is open
        self.violations = 0

    def _record_violation(self, rule: InvariantRule, request_id: int, detail: str = "") -> None:
        self.violations += 1
        self.report(Violation(rule, request_id, detail))

    def request_opened(self, request_id: int, request_class: RequestClass, deadline_us: int) -> None:
        """Record a request whose first line was read. Its client waits until `deadline_us`; 0 means no
        deadline.
        """
        self.records[request_id] = RequestRecord(request_class, deadline_us)

    def final_answer_written(self, request_id: int, served: bool, now_us: int) -> None:
        """Check a final answer: an endpoint's answer (`served`), a rejection or a failure."""
        record = self.records.get(request_id)
        if record is None:
            return
        if record.answered:
            self._record_violation(InvariantRule.SECOND_ANSWER, request_id)
        elif record.deadline_us and now_us > record.deadline_us + ANSWER_LOST_AFTER_US:
            overrun_ms = (now_us - record.deadline_us) // 1000
            self._record_violation(
                InvariantRule.LATE_ANSWER, request_id, f"{overrun_ms} ms after the deadline"
            )
        record.answered = True
        record.served = record.served or served

    def close_permitted(self, request_id: int) -> None:
        """Record that the client was asked to reconnect, or that its endpoint has ended the connection."""
        record = self.records.get(request_id)
        if record is not None:
            record.may_close = True

    def client_ended(self, request_id: int) -> None:
        """Record that the client's end was read."""
        record = self.records.get(request_id)
        if record is not None:
            record.client_ended = True

    def client_connection_closed(self, request_id: int) -> None:
        """Check that the relay may close the client connection; no further reports on this request follow."""
        record = self.records.pop(request_id, None)
        if record is None or record.client_ended:
            return
        if not record.answered:
            self._record_violation(InvariantRule.NO_ANSWER, request_id)
        elif record.served and not record.may_close:
            self._record_violation(InvariantRule.CUT_OFF, request_id)

    def unread_connection_closed(self) -> None:
        """Record that the relay closes a client connection unanswered, before its first line was read."""
        self._record_violation(InvariantRule.NO_ANSWER, 0, "closed before its first line was read")

    def attempt_write_started(
        self, request_id: int, attempt: int, endpoint_id: EndpointId, now_us: int, max_attempts: int
    ) -> None:
        """Check an attempt whose first byte is about to be written. `max_attempts` is the limit now
        in force.
        """
        record = self.records.get(request_id)
        attempt_detail = f"attempt {attempt} at {endpoint_id}"
        if record is None or record.client_ended:
            self._record_violation(InvariantRule.CLIENT_DISCONNECTED, request_id, attempt_detail)
            return
        if record.attempt_in_flight is not None:
            in_flight = f"attempt {record.attempt_in_flight} in flight at {record.in_flight_endpoint_id}"
            self._record_violation(InvariantRule.OVERLAP, request_id, f"{attempt_detail}, {in_flight}")
        if record.answered:
            self._record_violation(InvariantRule.AFTER_ANSWER, request_id, attempt_detail)
        # A resumed connection is open at its endpoint, whatever state the endpoint list reports.
        if record.deadline_us:
            self._check_new_attempt(record, request_id, attempt, endpoint_id, now_us, max_attempts)
        record.begin_attempt(attempt, endpoint_id, now_us)

    def _check_new_attempt(
        self,
        record: RequestRecord,
        request_id: int,
        attempt: int,
        endpoint_id: EndpointId,
        now_us: int,
        max_attempts: int,
    ) -> None:
        if not self.endpoint_list.accepts_requests(endpoint_id):
            detail = f"attempt {attempt} at {endpoint_id}"
            self._record_violation(InvariantRule.ENDPOINT_UNAVAILABLE, request_id, detail)
        if record.attempts_written >= max_attempts:
            detail = f"attempt {record.attempts_written + 1} of at most {max_attempts}"
            self._record_violation(InvariantRule.TOO_MANY_ATTEMPTS, request_id, detail)
        if record.executed_us is not None and not self._retry_is_safe(
            record, record.executed_us, endpoint_id, now_us
        ):
            idempotency = record.request_class.idempotency
            detail = (
                f"idempotency {idempotency}: retried at {endpoint_id} after {record.executed_endpoint_id}"
            )
            self._record_violation(InvariantRule.UNSAFE_REPEAT, request_id, detail)

    def _retry_is_safe(
        self, record: RequestRecord, executed_us: int, endpoint_id: EndpointId, now_us: int
    ) -> bool:
        request_class = record.request_class
        if request_class.idempotency == "repeatable":
            return True
        if request_class.idempotency != "by_key":
            return False
        if now_us - executed_us >= request_class.idempotency_window_us:
            return False
        if request_class.idempotency_scope == "all":
            return True
        executed_entry = self.endpoint_list.entries.get(record.executed_endpoint_id)
        retry_entry = self.endpoint_list.entries.get(endpoint_id)
        if executed_entry is None or retry_entry is None:
            return False
        if request_class.idempotency_scope == "zone":
            return executed_entry.zone == retry_entry.zone
        return executed_entry.cell == retry_entry.cell

    def attempt_closed(self, request_id: int, attempt: int, may_have_executed: bool) -> None:
        """Record that the relay closed an attempt's upstream connection; may be called more than once."""
        record = self.records.get(request_id)
        if record is not None and record.attempt_in_flight == attempt:
            record.end_attempt(may_have_executed)

    def check_descriptors(self, used: int, limit: int) -> None:
        """Check how many descriptors clients and their attempts use at present."""
        if used > limit:
            self._record_violation(
                InvariantRule.DESCRIPTORS, 0, f"{used} descriptors in use, at most {limit} allowed"
            )
