"""The record of one client's request, from its first line to the end of its connection."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from gannetweir.core.reasons import Reason
from gannetweir.placement.events import NOT_EXECUTED, AttemptStatus, EndpointId
from gannetweir.placement.settings import RequestClass

if TYPE_CHECKING:
    # Imported for type checking only: a relay without an operators' file does not load this code.
    from gannetweir.addresses.address import Address
    from gannetweir.routing.route_admission import AdmissionPermit


@dataclass(slots=True)
class RequestState:
    """One request of a client, from its first line to the end of its connection.

    The engine's components modify the record in place. The following always holds:

    - At most one attempt is in flight, the one numbered `attempt`. Numbers only increase and are never
      reused. An attempt that is not allowed to start uses up a number as well.
    - `endpoint_id`, `endpoint_started_us`, `first_line_written`, `connect_delayed_locally`,
      `attempt_started_us` and `attempt_deadline_us` belong to the latest attempt that was started, and keep
      their values until the next one starts. `address` and `counts_as_setup` are reset when the attempt ends,
      and so is `first_line_written` if the endpoint has not executed the attempt.
    - `may_have_executed` never becomes false again: it forbids retries that are not idempotent.
    - An `established` request is a connection: it has no further attempt, and only an established request has
      a `migration_reason`.
    - A `resumed` request is attempted only at the endpoint that holds its connection.

    Times are microseconds on the engine's clock.
    """

    request_id: int
    deadline_us: int  # the final answer is sent by then
    client_request_id: str = ""  # the request id that the client sent
    attempt: int = -1  # the number of the latest attempt; -1 before the first
    endpoint_id: EndpointId = None
    endpoint_started_us: int = 0  # start time of the endpoint, as known when the attempt was started
    attempt_in_flight: bool = False  # the upstream connection of the latest attempt is open
    first_line_written: bool = False  # the last byte was written, so the endpoint may execute the request
    connect_delayed_locally: bool = False  # an error of this machine prevented the start of the connect
    may_have_executed: bool = False  # at least one attempt may have been executed
    attempt_started_us: int = 0
    established: bool = False
    resumed: bool = False
    migration_reason: Reason | None = None  # why the connection will be migrated when its timer is due
    last_status: AttemptStatus | None = None  # the outcome of the latest attempt that has ended
    unanswered_since_us: deque[int] = field(default_factory=deque)  # arrival times of lines without an answer
    request_class: RequestClass = field(default_factory=RequestClass)  # the class that its route assigned
    admission_permit: AdmissionPermit | None = None  # the permit of its route, until it is released
    attempt_deadline_us: int = 0  # time at which the attempt in flight times out
    counts_as_setup: bool = False  # the attempt in flight counts as a set-up at its endpoint
    address: Address | None = None  # the endpoint's address that carries the attempt
    execution_recorded: bool = False  # this request's execution is recorded in `ExecutedRequests`

    def begin_attempt(self, endpoint_id: EndpointId, endpoint_started_us: int, now_us: int) -> None:
        """Assign the next attempt number, and put the attempt in flight."""
        self.attempt += 1
        self.endpoint_id = endpoint_id
        self.endpoint_started_us = endpoint_started_us
        self.attempt_in_flight = True
        self.attempt_started_us = now_us
        self.first_line_written = False
        self.connect_delayed_locally = False
        self.address = None

    def skip_attempt(self) -> None:
        """Use up the next attempt number for an attempt that may not start, unless another one is in
        flight.
        """
        if not self.attempt_in_flight:
            self.attempt += 1

    def end_attempt(self, status: AttemptStatus) -> None:
        """Record the outcome of the attempt in flight, or of the connection that it became."""
        self.attempt_in_flight = False
        self.last_status = status
        if status in NOT_EXECUTED:
            self.first_line_written = False
        else:
            self.may_have_executed = True

    @property
    def may_execute(self) -> bool:
        """Whether an endpoint may have executed the request, or may still do so."""
        return self.may_have_executed or self.established or self.first_line_written
