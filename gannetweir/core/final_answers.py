"""Final answers to requests: rejected (a retry is harmless), failed (nothing is promised), or migrated."""

from __future__ import annotations

from gannetweir.core.attempts import Attempts
from gannetweir.core.commands import FailClient, MigrateClient, RejectClient
from gannetweir.core.context import EngineContext
from gannetweir.core.placement_dispatcher import PlacementDispatcher
from gannetweir.core.reasons import Reason, reason_after
from gannetweir.core.request_log import RequestStep
from gannetweir.core.request_state import RequestState
from gannetweir.placement.events import AttemptStatus, ClientDisconnected


class FinalAnswers:
    """Ends requests. Only this class removes a request from the engine's records, so each request
    ends once.
    """

    def __init__(self, context: EngineContext, dispatcher: PlacementDispatcher, attempts: Attempts) -> None:
        self.context = context
        self.dispatcher = dispatcher
        self.attempts = attempts

    def send(self, request: RequestState, answer: RejectClient | FailClient, reason: Reason) -> None:
        """Send the only final answer of a request that is not served."""
        self.attempts.close(request)
        self.remove_request(request)
        if isinstance(answer, RejectClient):
            self.context.counters.add("rejected")
            self.context.record_step(request, RequestStep.REJECTED, reason)
        else:
            self.context.counters.add("failed")
            self.context.record_step(request, RequestStep.FAILED, reason)
        self.context.commands.append(answer)

    def reject(self, request: RequestState, retry_after_us: int, reason: Reason) -> None:
        """Reject a request, or fail it if a retry is not safe: once an attempt may have executed, the client
        may only retry a request that is idempotent everywhere.
        """
        may_have_executed = request.may_have_executed or (
            request.attempt_in_flight and request.first_line_written
        )
        if may_have_executed and not request.request_class.is_idempotent_everywhere:
            self.send(request, FailClient(request.request_id), reason)
        else:
            self.send(request, RejectClient(request.request_id, retry_after_us), reason)

    def reject_request(self, request_id: int, retry_after_us: int) -> None:
        """Reject a request by decision of the balancer; no effect on one that is established or has ended."""
        request = self.context.requests.get(request_id)
        if request is not None and not request.established:
            self.reject(request, retry_after_us, reason_after(request.last_status))

    def fail_request(self, request_id: int) -> None:
        """Fail a request by decision of the balancer; no effect on one that is established or has ended."""
        request = self.context.requests.get(request_id)
        if request is not None and not request.established:
            self.send(request, FailClient(request_id), reason_after(request.last_status))

    def migrate_connection(self, request_id: int) -> None:
        """Migrate a connection by decision of the balancer; no effect if its client has disconnected."""
        request = self.context.requests.get(request_id)
        if request is not None and request.established:
            self.migrate_client(request, AttemptStatus.CANCELLED, Reason.PLACEMENT)

    def fail_and_notify(self, request: RequestState, reason: Reason) -> None:
        """Fail a request that the balancer has not answered, and notify the balancer."""
        self.send(request, FailClient(request.request_id), reason)
        self.dispatcher.dispatch(ClientDisconnected(request.request_id))

    def fail_unanswered(self, request_id: int) -> None:
        """Fail a request on which the balancer raised an error, unless an attempt in flight may still serve
        it.
        """
        request = self.context.requests.get(request_id)
        if request is not None and not request.established and not request.attempt_in_flight:
            self.fail_and_notify(request, Reason.PLACEMENT_FAULT)

    def migrate_client(self, request: RequestState, status: AttemptStatus, reason: Reason) -> None:
        """Ask the client to reconnect, and only then end its upstream connection."""
        self.remove_request(request)
        self.context.counters.add("migrated")
        self.context.record_step(request, RequestStep.MIGRATED, reason)
        self.context.commands.append(MigrateClient(request.request_id))
        self.attempts.request_ended(request, status)

    def deadline_passed(self, request: RequestState) -> None:
        """Fail a request whose final answer is overdue. The last attempt has timed out by now, and the
        balancer should have answered then. Since it has not, the engine does, so that no client is left
        without an answer.
        """
        if not request.established:
            self.context.counters.add("overdue")
            self.fail_and_notify(request, Reason.DEADLINE)

    def remove_request(self, request: RequestState) -> None:
        """Remove the request's record, and release what the request holds of its route's limits."""
        context = self.context
        del context.requests[request.request_id]
        context.request_id_by_client_id.pop(request.client_request_id, None)
        context.executed_requests.request_ended(request)
        self.attempts.setup_finished(request)
        if request.admission_permit is not None:
            if context.route_admission is not None:
                context.route_admission.release(request.admission_permit)
            request.admission_permit = None
