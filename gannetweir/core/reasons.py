"""Why a request was rejected, failed, retried, migrated or closed: one word each, counted and logged."""

from __future__ import annotations

from enum import StrEnum

from gannetweir.placement.events import AttemptStatus


class Reason(StrEnum):
    """The cause of an end, a retry or a rejection. The values stand in names of counters and in log lines."""

    PLACEMENT = "decision"  # the balancer, before any attempt was made
    AFTER_ERROR = "after_error"  # the balancer, as the latest attempt ended so
    AFTER_FULL = "after_full"
    AFTER_TIMEOUT = "after_timeout"
    AFTER_CONNECT_FAILED = "after_connect_failed"
    AFTER_RESET = "after_reset"
    AFTER_NOT_STARTED = "after_not_started"
    ADMISSION_CLOSED = "relay_closing"  # nothing new is admitted before the exit
    DRAIN = "drain"  # this relay shuts down
    DRAIN_TIME_OVER = "drain_over"  # the time for that is up
    TOO_MANY_REQUESTS = "too_many"  # requests and connections of this relay
    ROUTE_LIMIT = "route_limit"
    OPERATORS = "operators"  # the operators took the endpoint offline
    UNKNOWN_ENDPOINT = "unknown_backend"
    DEADLINE = "deadline"  # the balancer left it unanswered to the end
    PLACEMENT_FAULT = "placement_fault"  # the balancer raised
    ENDPOINT_SILENT = "backend_silent"
    ENDPOINT_ENDED = "backend_ended"
    ENDPOINT_RESET = "backend_reset"
    CLIENT_ENDED = "client_ended"
    CLIENT_RESET = "client_reset"


_REASON_AFTER: dict[AttemptStatus, Reason] = {
    AttemptStatus.ERROR: Reason.AFTER_ERROR,
    AttemptStatus.FULL: Reason.AFTER_FULL,
    AttemptStatus.TIMEOUT: Reason.AFTER_TIMEOUT,
    AttemptStatus.CONNECT_FAILED: Reason.AFTER_CONNECT_FAILED,
    AttemptStatus.RESET: Reason.AFTER_RESET,
    AttemptStatus.NOT_STARTED: Reason.AFTER_NOT_STARTED,
}


def reason_after(status: AttemptStatus | None) -> Reason:
    """Return why the balancer acts: how the attempt before ended, or its own decision before any (`None`)."""
    if status is None:
        return Reason.PLACEMENT
    return _REASON_AFTER.get(status, Reason.PLACEMENT)
