"""The retry policy: whether and where a request is attempted again, its timeouts and its backoff."""

from __future__ import annotations

from gannetweir.placement.context import RETRY_TIMER, PlacementContext
from gannetweir.placement.events import AttemptStatus
from gannetweir.placement.pending_request import PendingRequest
from gannetweir.placement.settings import Idempotency, IdempotencyScope

# Eight latency objectives exceed the wait of clients, which disconnect after four to six.
MAX_TIMEOUT_DOUBLINGS = 3
FAILURE_SHARE_WINDOW = 8  # attempts; the latest one has a weight of 1/8
# Above this share, each attempt gets all the remaining time.
MAX_FAILURE_SHARE_FOR_SHORT_TIMEOUTS = 0.4
# Above this share, requests are not attempted again: more attempts would only add load.
MAX_FAILURE_SHARE_FOR_RETRIES = 0.5


class RetryPolicy:
    """Decides by the rules of the request classes and the recent outcomes of attempts.

    Owns the share of failed attempts, the doublings of timeouts, and the end of each backoff.
    """

    def __init__(self, context: PlacementContext) -> None:
        self._context = context
        self.failure_share = 0.0
        self._timeout_doublings = 0
        self.retry_due_us: dict[int, int] = {}  # by request id

    def _max_attempts(self, request: PendingRequest) -> int:
        return request.request_class.max_attempts or self._context.settings.max_attempts

    def allowed_scope(self, request: PendingRequest, now_us: int) -> IdempotencyScope | None:
        """Return the scope of endpoints for the next attempt, or None if no further attempt is allowed.

        A request that may have been executed is attempted again only where a duplicate is dropped, and only
        if the next attempt arrives while the endpoints there still remember the first one.
        """
        if request.attempts >= self._max_attempts(request) or request.deadline_us <= now_us:
            return None
        if request.executed_endpoint is None:
            return IdempotencyScope.ALL
        request_class = request.request_class
        if not request_class.retries_executed_attempts:
            return None
        if request_class.idempotency == Idempotency.REPEATABLE:
            return IdempotencyScope.ALL
        if request_class.idempotency != Idempotency.BY_KEY:
            return None
        connect_timeout_us = request_class.connect_timeout_us or self._context.settings.connect_timeout_us
        latest_arrival_us = now_us + connect_timeout_us
        if latest_arrival_us - request.execution_started_us >= request_class.idempotency_window_us:
            return None
        for scope in IdempotencyScope:
            if request_class.idempotency_scope == scope:
                return scope
        return None  # an unknown scope

    def attempt_timeout_us(self, request: PendingRequest, now_us: int) -> int:
        """Return the timeout of the next attempt.

        It leaves time for another attempt and grows with each one; the last attempt gets all remaining time.
        """
        if request.request_class.attempt_timeout_us:
            return request.request_class.attempt_timeout_us
        remaining_us = request.deadline_us - now_us
        doublings = len(request.attempted_endpoints) + self._timeout_doublings
        timeout_us = int(request.request_class.latency_objective_us) << doublings
        is_last = request.attempts + 1 >= self._max_attempts(request) or timeout_us * 2 > remaining_us
        # If most attempts time out, a slow store shared by the endpoints is the likely cause; short timeouts
        # and retries would add to the store's load.
        if is_last or self.failure_share > MAX_FAILURE_SHARE_FOR_SHORT_TIMEOUTS:
            timeout_us = remaining_us
        return max(1, timeout_us)

    def attempt_succeeded(self, request: PendingRequest, elapsed_us: int) -> None:
        """Adapt the timeouts to the duration of a set-up, and count its success."""
        self.failure_share -= self.failure_share / FAILURE_SHARE_WINDOW
        objectives = int(2 * elapsed_us / max(1.0, request.request_class.latency_objective_us))
        self._timeout_doublings = min(MAX_TIMEOUT_DOUBLINGS, objectives.bit_length())

    def attempt_failed(self, status: int) -> None:
        """Count a failed attempt; after a timeout, later attempts get more time."""
        self.failure_share += (1.0 - self.failure_share) / FAILURE_SHARE_WINDOW
        if status == AttemptStatus.TIMEOUT:
            self._timeout_doublings = min(MAX_TIMEOUT_DOUBLINGS, self._timeout_doublings + 1)

    def is_final_failure(self, status: int) -> bool:
        """Whether a failed attempt ends its request: by its status, or because most attempts fail."""
        if status in (AttemptStatus.NOT_STARTED, AttemptStatus.CANCELLED):
            return True
        return self.failure_share > MAX_FAILURE_SHARE_FOR_RETRIES

    def backoff_us(self, request: PendingRequest, now_us: int) -> int:
        """Return how long the next attempt of a request has to wait."""
        return request.request_class.backoff_us(
            request.attempts, request.attempt_started_us, now_us, self._context.rng.random
        )

    def schedule_retry(self, request_id: int, wait_us: int, now_us: int) -> None:
        """Schedule a request's next attempt for the end of its backoff."""
        self.retry_due_us[request_id] = now_us + wait_us
        self._context.set_timer(RETRY_TIMER, wait_us)

    def take_due_retries(self, now_us: int) -> list[int]:
        """Return the requests whose backoff has ended, and remove them from the schedule."""
        due = [request_id for request_id, due_us in self.retry_due_us.items() if due_us <= now_us]
        self.retry_due_us = {
            request_id: due_us for request_id, due_us in self.retry_due_us.items() if due_us > now_us
        }
        return due

    @staticmethod
    def is_retryable(request: PendingRequest) -> bool:
        """Whether the client may retry a failed request without harm."""
        return request.executed_endpoint is None or request.request_class.is_idempotent_everywhere
