"""Why a request was refused, failed, repeated, moved or closed: one word each, counted and logged."""

from __future__ import annotations

from enum import StrEnum

from gannetweir.placement.events import AttemptStatus


class Reason(StrEnum):
    """The cause of an end, a retry or a refusal, as counters and logs name it."""

    PLACEMENT = "decision"  # the decision module, before any attempt was made
    AFTER_ERROR = "after_error"  # the last attempt ended so
    AFTER_FULL = "after_full"
    AFTER_TIMEOUT = "after_timeout"
    AFTER_CONNECT_FAILED = "after_connect_failed"
    AFTER_RESET = "after_reset"
    AFTER_NOT_STARTED = "after_moot"
    ADMISSION_CLOSED = "relay_closing"  # nothing new is taken before the exit
    DRAIN = "drain"  # this relay is about to leave
    DRAIN_TIME_OVER = "drain_over"  # its last moment has come
    TOO_MANY_REQUESTS = "too_many"  # requests and connections here
    ROUTE_LIMIT = "route_limit"
    OPERATORS = "operators"  # the backend was taken out of use by hand
    UNKNOWN_ENDPOINT = "unknown_backend"
    DEADLINE = "deadline"  # the decision module left it unanswered to the end
    PLACEMENT_FAULT = "module_fault"
    ENDPOINT_SILENT = "backend_silent"
    ENDPOINT_ENDED = "backend_ended"
    ENDPOINT_RESET = "backend_reset"
    CLIENT_ENDED = "client_ended"
    CLIENT_RESET = "client_reset"


_REASON_AFTER: dict[int, Reason] = {
    AttemptStatus.ERROR: Reason.AFTER_ERROR,
    AttemptStatus.FULL: Reason.AFTER_FULL,
    AttemptStatus.TIMEOUT: Reason.AFTER_TIMEOUT,
    AttemptStatus.CONNECT_FAILED: Reason.AFTER_CONNECT_FAILED,
    AttemptStatus.RESET: Reason.AFTER_RESET,
    AttemptStatus.NOT_STARTED: Reason.AFTER_NOT_STARTED,
}


def reason_after(status: int) -> Reason:
    """Why the decision module acts: how the attempt before ended, or of its own accord before any."""
    return _REASON_AFTER.get(status, Reason.PLACEMENT)
