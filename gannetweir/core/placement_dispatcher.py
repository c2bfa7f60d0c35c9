"""The decision module's turn: events to it one at a time, its actions carried out in their order."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence

from gannetweir.core.context import EngineContext
from gannetweir.core.timers import Timer
from gannetweir.placement.actions import Action
from gannetweir.placement.balancer import Balancer
from gannetweir.placement.events import Event, TimerExpired

PlacementTrace = Callable[[int, Event, Sequence[Action]], None]


class PlacementDispatcher:
    """Hands events to the module. `carry_out` does one action; `fail` answers a request it raised on."""

    def __init__(
        self,
        context: EngineContext,
        balancer: Balancer,
        carry_out: Callable[[Action], None],
        fail: Callable[[int], None],
        trace: PlacementTrace | None,
    ) -> None:
        self.context, self.balancer = context, balancer
        self.carry_out, self.fail = carry_out, fail
        self.trace = trace  # told all that the module hears and answers, where that is asked for
        self.events: deque[Event] = deque()
        self.dispatching = False

    def dispatch(self, event: Event) -> None:
        """Give the module an event. What its actions lead to at once waits for its turn."""
        self.events.append(event)
        if self.dispatching:
            return
        self.dispatching, context = True, self.context
        try:
            while self.events:
                event = self.events.popleft()
                try:
                    actions = self.balancer.handle(event, context.now_us)
                except Exception as error:  # one event must not cost every open connection
                    self._report_fault(event, error)
                    continue
                if self.trace is not None:
                    self.trace(context.now_us, event, actions)
                for action in actions:
                    self.carry_out(action)
        finally:
            self.dispatching = False

    def _report_fault(self, event: Event, error: Exception) -> None:
        self.context.counters.add("module_faults")
        kind = type(event).__name__
        self.context.log(f"the decision module failed on {kind}: {type(error).__name__}: {error}")
        if isinstance(event, TimerExpired):  # it sets the next as it takes one: upkeep must not end here
            self.context.set_timer(self.context.limits.module_again_us, Timer.PLACEMENT, event.token)
        self.fail(getattr(event, "request_id", 0))
