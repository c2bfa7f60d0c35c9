"""Reasons why a request was rejected, failed, retried, migrated or closed, as they are counted and logged."""

from __future__ import annotations

from enum import StrEnum

from gannetweir.placement.events import AttemptStatus


class Reason(StrEnum):
    """The cause of an end, a retry or a rejection. Names of counters and log lines use the values."""

    PLACEMENT = "decision"  # the balancer's decision, before any attempt
    # The balancer's decision after an attempt with this outcome; the next five likewise.
    AFTER_ERROR = "after_error"
    AFTER_FULL = "after_full"
    AFTER_TIMEOUT = "after_timeout"
    AFTER_CONNECT_FAILED = "after_connect_failed"
    AFTER_RESET = "after_reset"
    AFTER_NOT_STARTED = "after_not_started"
    ADMISSION_CLOSED = "relay_closing"  # the relay admits no more requests before it exits
    DRAIN = "drain"  # this relay is shutting down
    DRAIN_TIME_OVER = "drain_over"  # the time for the drain is over
    TOO_MANY_REQUESTS = "too_many"  # the limit on this relay's requests and connections is reached
    ROUTE_LIMIT = "route_limit"
    OPERATORS = "operators"  # the operators took the endpoint offline
    UNKNOWN_ENDPOINT = "unknown_backend"
    REPEATED_ID = "repeated_id"  # the request was executed by another process of this relay
    DEADLINE = "deadline"  # the balancer gave no answer by the deadline
    PLACEMENT_FAULT = "placement_fault"  # the balancer raised an error
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
    """Return the reason for the balancer's decision after an attempt with this outcome; None: no attempt."""
    if status is None:
        return Reason.PLACEMENT
    return _REASON_AFTER.get(status, Reason.PLACEMENT)
