"""Maps the balancer's actions to the components of the engine."""

from __future__ import annotations

from gannetweir.core.attempts import Attempts
from gannetweir.core.context import EngineContext
from gannetweir.core.final_answers import FinalAnswers
from gannetweir.core.load_probes import LoadProbes
from gannetweir.core.membership_updates import MembershipUpdates
from gannetweir.core.timers import Timer
from gannetweir.placement.actions import (
    Action,
    FailRequest,
    MigrateConnection,
    ProbeLoad,
    RejectRequest,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
    WriteLog,
)


class PlacementActions:
    """The dispatcher's `ActionHandler`: passes each action to the component that executes it."""

    def __init__(
        self,
        context: EngineContext,
        attempts: Attempts,
        final_answers: FinalAnswers,
        load_probes: LoadProbes,
        membership_updates: MembershipUpdates,
    ) -> None:
        self.context = context
        self.attempts = attempts
        self.final_answers = final_answers
        self.load_probes = load_probes
        self.membership_updates = membership_updates

    def carry_out(self, action: Action) -> None:
        """Execute one action of the balancer."""
        match action:
            case SetTimer():
                self.context.set_timer(action.after_us, Timer.PLACEMENT, action.token)
            case StartAttempt():
                self.attempts.start(action)
            case RejectRequest():
                self.final_answers.reject_request(action.request_id, action.retry_after_us)
            case FailRequest():
                self.final_answers.fail_request(action.request_id)
            case MigrateConnection():
                self.final_answers.migrate_connection(action.request_id)
            case ProbeLoad():
                self.load_probes.start(action.endpoint_id)
            case WatchEndpoints():
                self.membership_updates.set_watch(bool(action.enabled))
            case WriteLog():
                self.context.log(action.text)

    def placement_failed(self, request_id: int) -> None:
        """Answer the request on which the balancer raised an error: no client may be left unanswered."""
        self.final_answers.fail_unanswered(request_id)
