"""Requests that an endpoint may have executed, by the id that their client sent.

A client that has left may send its request again with the same id, also to the other process of an upgrade.
The request is then executed again only if its class permits that.
"""

from __future__ import annotations

from typing import Protocol

from gannetweir.core.request_state import RequestState
from gannetweir.placement.settings import Idempotency, RequestClass


class SharedExecutions(Protocol):
    """The executions that all processes of one relay have recorded. Raises no error: a record that cannot be
    read or written is missing.
    """

    def started_us(self, client_request_id: str) -> int | None:
        """Return when the execution of the request began, or None if none is recorded."""

    def record(self, client_request_id: str, now_us: int) -> int | None:
        """Record an execution that begins now, unless one is recorded; return when that one began."""

    def remove(self, client_request_id: str) -> None:
        """Remove the record of an execution that did not take place."""


class ExecutedRequests:
    """Remembers the executions of this process, the latest `max_count`, and asks for those of its peers.

    Requests that may be repeated anywhere and at any time are not remembered.
    """

    def __init__(self, max_count: int, shared: SharedExecutions | None = None) -> None:
        self.max_count, self.shared = max_count, shared
        self._started_us: dict[str, int] = {}  # the oldest first

    def permits(self, request_class: RequestClass, client_request_id: str, deadline_us: int) -> bool:
        """Return whether a request that was just received may be executed until its deadline."""
        if request_class.idempotency == Idempotency.REPEATABLE or not client_request_id:
            return True
        started_us = self._started_us.get(client_request_id)
        if started_us is None and self.shared is not None:
            started_us = self.shared.started_us(client_request_id)
        return started_us is None or _is_repeat_dropped(request_class, started_us, deadline_us)

    def begin(self, request: RequestState, now_us: int) -> bool:
        """Record that an attempt of a request is about to be written. Return false if that must not happen,
        because another process has executed the request meanwhile.
        """
        request_id = request.client_request_id
        is_repeatable = request.request_class.idempotency == Idempotency.REPEATABLE
        if is_repeatable or request.resumed or request.execution_recorded or not request_id:
            return True
        if request_id in self._started_us:
            return True  # `permits` has found that the endpoints drop the repeat
        started_us = self.shared.record(request_id, now_us) if self.shared is not None else None
        if started_us is not None:
            return _is_repeat_dropped(request.request_class, started_us, request.deadline_us)
        request.execution_recorded = True
        self._started_us[request_id] = now_us
        if len(self._started_us) > self.max_count:
            del self._started_us[next(iter(self._started_us))]
        return True

    def request_ended(self, request: RequestState) -> None:
        """Forget a request that was not executed, so that its client may send it again."""
        if request.execution_recorded and not request.may_execute:
            self._started_us.pop(request.client_request_id, None)
            if self.shared is not None:
                self.shared.remove(request.client_request_id)


def _is_repeat_dropped(request_class: RequestClass, started_us: int, deadline_us: int) -> bool:
    """Return whether every endpoint drops a repeat that is sent before the deadline."""
    is_in_window = deadline_us - started_us < request_class.idempotency_window_us
    return request_class.is_idempotent_everywhere and is_in_window
