"""Graceful shutdown: migrates the clients over a period, then lets the process exit."""

from __future__ import annotations

from gannetweir.core.commands import Exit
from gannetweir.core.context import EngineContext
from gannetweir.core.final_answers import FinalAnswers
from gannetweir.core.reasons import Reason
from gannetweir.core.request_state import RequestState
from gannetweir.core.timers import Timer
from gannetweir.placement.events import AttemptStatus


class Draining:
    """Migrates clients: all clients of a draining relay, or those of endpoints that operators took offline.

    A drain has three phases, each started by a timer: admission continues while clients still arrive
    (`limits.drain_grace_us`); admission ends and every client is migrated (`limits.drain_migration_us`); the
    process exits, early if no request is left, and at `limits.drain_end_us` in any case.
    """

    def __init__(self, context: EngineContext, final_answers: FinalAnswers) -> None:
        self.context = context
        self.final_answers = final_answers
        self.started = False

    def start(self, now_us: int, replaced: bool = False) -> None:
        """Start the drain; further calls have no effect. If another process already admits the new clients
        (`replaced`), migration starts at once and is spread over the time of both phases.
        """
        if self.started:
            return
        self.started = True
        self.context.now_us = now_us
        limits = self.context.limits
        self.context.set_timer(limits.drain_grace_us, Timer.ADMISSION_END)
        self.context.set_timer(limits.drain_end_us, Timer.EXIT)
        if replaced:
            time_us = limits.drain_grace_us + limits.drain_migration_us
            self.spread_migrations(self._connections_to_migrate(), time_us, Reason.DRAIN)

    def stop_admission(self) -> None:
        """Stop admitting requests, since clients are no longer sent here, and migrate all remaining
        clients.
        """
        self.context.admission_closed = True
        self.spread_migrations(
            self._connections_to_migrate(), self.context.limits.drain_migration_us, Reason.DRAIN
        )
        self._exit_if_empty()

    def _connections_to_migrate(self) -> list[RequestState]:
        return [
            request
            for request in self.context.requests.values()
            if request.established and not request.migration_reason
        ]

    def spread_migrations(self, connections: list[RequestState], time_us: int, reason: Reason) -> None:
        """Spread migrations evenly over a period: if all clients were migrated at once, they would all
        reconnect at once.
        """
        step_us = time_us / max(1, len(connections))
        for position, request in enumerate(connections):
            request.migration_reason = reason
            self.context.set_timer(int(step_us * position), Timer.MIGRATE, request.request_id)

    def migration_due(self, request: RequestState) -> None:
        """Migrate one client whose migration timer is due."""
        if request.established:
            reason = request.migration_reason or Reason.DRAIN
            self.final_answers.migrate_client(request, AttemptStatus.CANCELLED, reason)
            self._exit_if_empty()

    def _exit_if_empty(self) -> None:
        # The exit waits for `linger_us`: a client may have been sent here just before the last one left.
        if self.context.admission_closed and not self.context.requests:
            self.context.set_timer(self.context.limits.linger_us, Timer.EXIT)

    def exit(self) -> None:
        """Migrate or reject all remaining requests, and command the exit: the time for the drain is over."""
        # With the shortest deadlines the exit comes before the end of admission.
        self.context.admission_closed = True
        for request in list(self.context.requests.values()):
            if request.established:
                self.final_answers.migrate_client(request, AttemptStatus.CANCELLED, Reason.DRAIN_TIME_OVER)
            else:
                self.final_answers.reject(
                    request, self.context.limits.rejection_retry_after_us, Reason.DRAIN_TIME_OVER
                )
        self.context.commands.append(Exit())
