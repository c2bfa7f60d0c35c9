"""The record of one client's request, from its first line to the end of its connection."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from gannetweir.core.reasons import Reason
from gannetweir.placement.events import EndpointId
from gannetweir.placement.settings import RequestClass

if TYPE_CHECKING:  # a relay without an operators' file does without the code for one
    from gannetweir.addresses.address import Address
    from gannetweir.routing.route_admission import AdmissionPermit


@dataclass(slots=True)
class RequestState:
    """One request of a client's, from its first line to the end of its connection."""

    request_id: int
    deadline_us: int  # its final answer has left by then
    client_request_id: str = ""  # the client's word for it
    attempt: int = -1  # the last one
    endpoint_id: EndpointId = None
    endpoint_started_us: int = 0  # when that one's server had started, as told when the flow was opened
    attempt_in_flight: bool = False  # that attempt's flow is open
    first_line_written: bool = False  # and has been written whole
    connect_delayed_locally: bool = False  # its connect could not be begun, by an error of this machine
    may_have_executed: bool = False  # an attempt may have run
    attempt_started_us: int = 0
    established: bool = False
    resumed: bool = False
    migration_reason: Reason | None = None  # why it is to be moved, at a time of its own
    last_status: int = 0  # how its last attempt ended; 0 before any has
    unanswered_since_us: deque[int] = field(default_factory=deque)  # when the lines without an answer came
    request_class: RequestClass = field(default_factory=RequestClass)  # as its route treats it
    admission_permit: AdmissionPermit | None = None  # of its route, until it has given it back
    attempt_deadline_us: int = 0  # when the attempt that is out is over
    counts_as_setup: bool = False  # that attempt counts as a set-up at its server
    address: Address | None = None  # which of its server's addresses carries it
