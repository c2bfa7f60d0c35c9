"""The steps of each request in order: a bounded record in memory, and counters by reason.

The record shows the history of a request after an invariant violation, without a log line for every request.
`serve --trace` writes every event.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from gannetweir.core.reasons import Reason
from gannetweir.observability.counters import OUTCOME_NAMES, Counters
from gannetweir.placement.events import AttemptStatus, EndpointId

MAX_EVENTS = 2048  # 0.7 MB with ids of 32 characters


class RequestStep(StrEnum):
    """A change of a request's state. The values are used in traces and in names of counters."""

    OPENED = "opened"
    ATTEMPT = "attempt"
    RETRIED = "retried"
    CONNECT_DELAYED = "connect_delayed"  # an error of this machine prevented the start of the connect
    WRITTEN = "written"
    ATTEMPT_ENDED = "attempt_ended"
    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"
    MIGRATED = "migrated"
    CLOSED = "closed"


_COUNTED = frozenset(
    {
        RequestStep.RETRIED,
        RequestStep.REJECTED,
        RequestStep.FAILED,
        RequestStep.MIGRATED,
        RequestStep.CLOSED,
    }
)


class RequestEvent(NamedTuple):
    """A step of a request. `at_us` is the time on the engine's clock."""

    at_us: int
    request_id: int
    client_request_id: str  # the request id that the client sent
    step: RequestStep
    attempt: int
    endpoint_id: EndpointId
    reason: str

    def __str__(self) -> str:
        endpoint_suffix = "" if self.endpoint_id is None else f"@{self.endpoint_id}"
        reason_suffix = f":{self.reason}" if self.reason else ""
        return f"{self.at_us // 1000}ms {self.step}{endpoint_suffix}{reason_suffix}"


class RequestLog:
    """The latest events of all requests. `request_trace` is called with every event as it occurs."""

    def __init__(
        self, counters: Counters, request_trace: Callable[[RequestEvent], None] | None = None
    ) -> None:
        self.counters = counters
        self.request_trace = request_trace
        self.events: deque[RequestEvent] = deque(maxlen=MAX_EVENTS)

    def add(
        self,
        at_us: int,
        request_id: int,
        client_request_id: str,
        step: RequestStep,
        attempt: int = -1,
        endpoint_id: EndpointId = None,
        reason: Reason | str = "",
    ) -> None:
        """Record one step. Retries, rejections, failures, migrations and ends are also counted by reason."""
        event = RequestEvent(at_us, request_id, client_request_id, step, attempt, endpoint_id, reason)
        self.events.append(event)
        if step in _COUNTED:
            self.counters.counts[f"{step.value}.{reason}"] += 1
        if self.request_trace is not None:
            self.request_trace(event)

    def history(self, request_id: int) -> list[RequestEvent]:
        """Return the recorded steps of one request, oldest first."""
        return [event for event in self.events if event.request_id == request_id]


def outcome_name(status: AttemptStatus) -> str:
    """Return the name of an attempt's outcome, as used in counters."""
    return OUTCOME_NAMES.get(status, str(status))
