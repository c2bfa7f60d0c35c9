"""The record of one client's request, from its first line to the end of its connection."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from gannetweir.core.reasons import Reason
from gannetweir.placement.events import NOT_EXECUTED, AttemptStatus, EndpointId
from gannetweir.placement.settings import RequestClass

if TYPE_CHECKING:  # a relay without an operators' file does without the code for one
    from gannetweir.addresses.address import Address
    from gannetweir.routing.route_admission import AdmissionPermit


@dataclass(slots=True)
class RequestState:
    """One request of a client's, from its first line to the end of its connection.

    The engine's concerns change it in place; what always holds:

    - At most one attempt is in flight, the one numbered `attempt`; numbers only grow, and none is used twice.
      One that may not start uses its number up as well.
    - `endpoint_id`, `endpoint_started_us`, `first_line_written`, `connect_delayed_locally`,
      `attempt_started_us` and `attempt_deadline_us` are of the latest attempt that was begun, and stay until
      the next one begins; `address` and `counts_as_setup` are given up with its end.
    - `may_have_executed` never becomes false again: it forbids retries that are not idempotent.
    - An `established` request is a connection: it has no further attempt, and only an established one has a
      `migration_reason`.
    - A `resumed` request is attempted at one endpoint only, the one that holds its connection.

    Times are microseconds on the engine's clock.
    """

    request_id: int
    deadline_us: int  # its final answer has left by then
    client_request_id: str = ""  # the id that the client gave it
    attempt: int = -1  # the number of the latest attempt; -1 before the first
    endpoint_id: EndpointId = None
    endpoint_started_us: int = 0  # start time of that endpoint, as it was known when the attempt began
    attempt_in_flight: bool = False  # the latest attempt's upstream connection is open
    first_line_written: bool = False  # the last byte of the first line is out: it may execute from here on
    connect_delayed_locally: bool = False  # its connect could not be started, by an error of this machine
    may_have_executed: bool = False  # some attempt may have been executed
    attempt_started_us: int = 0
    established: bool = False
    resumed: bool = False
    migration_reason: Reason | None = None  # why it is to be migrated, once its timer falls due
    last_status: AttemptStatus | None = None  # how the latest ended attempt ended
    unanswered_since_us: deque[int] = field(default_factory=deque)  # arrivals of lines without an answer yet
    request_class: RequestClass = field(default_factory=RequestClass)  # as its route treats it
    admission_permit: AdmissionPermit | None = None  # of its route, until it is given back
    attempt_deadline_us: int = 0  # when the attempt in flight times out
    counts_as_setup: bool = False  # the attempt in flight counts as a set-up at its endpoint
    address: Address | None = None  # which of its endpoint's addresses carries the attempt

    def begin_attempt(self, endpoint_id: EndpointId, endpoint_started_us: int, now_us: int) -> None:
        """Number the next attempt and put it in flight."""
        self.attempt += 1
        self.endpoint_id = endpoint_id
        self.endpoint_started_us = endpoint_started_us
        self.attempt_in_flight = True
        self.attempt_started_us = now_us
        self.first_line_written = False
        self.connect_delayed_locally = False
        self.address = None

    def skip_attempt(self) -> None:
        """Use up the next attempt's number for one that may not start, unless another is in flight."""
        if not self.attempt_in_flight:
            self.attempt += 1

    def end_attempt(self, status: AttemptStatus) -> None:
        """Take the attempt out of flight, or end the connection that it became."""
        self.attempt_in_flight = False
        self.last_status = status
        if status not in NOT_EXECUTED:
            self.may_have_executed = True
