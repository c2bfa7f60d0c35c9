"""Runs the balancer: one event at a time, and its actions in order."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from gannetweir.core.context import EngineContext, PlacementTrace
from gannetweir.core.timers import Timer
from gannetweir.placement.actions import Action
from gannetweir.placement.balancer import Balancer
from gannetweir.placement.events import Event, TimerExpired


class ActionHandler(Protocol):
    """Executes the actions that the balancer returns."""

    def carry_out(self, action: Action) -> None:
        """Execute one action. Resulting events are dispatched after all actions of the current event."""

    def placement_failed(self, request_id: int) -> None:
        """Handle an error of the balancer on an event of this request; 0 for an event without a request."""


class PlacementDispatcher:
    """Owns the queue of events for the balancer. Only the dispatcher calls the balancer's `handle`."""

    def __init__(self, context: EngineContext, balancer: Balancer, trace: PlacementTrace | None) -> None:
        self.context = context
        self.balancer = balancer
        self.trace = trace  # called with each event and its actions; None: no trace
        self._events: deque[Event] = deque()
        self._dispatching = False
        self._handler: ActionHandler

    def connect(self, handler: ActionHandler) -> None:
        """Set the handler of the actions. Called once, before the first event; the handler needs this
        dispatcher, so it is not a parameter of the constructor.
        """
        self._handler = handler

    def dispatch(self, event: Event) -> None:
        """Pass an event to the balancer. An event that results from the balancer's actions is queued until
        all of these actions are done.
        """
        self._events.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._dispatching = False

    def _handle(self, event: Event) -> None:
        now_us = self.context.now_us
        try:
            actions = self.balancer.handle(event, now_us)
        except Exception as error:  # noqa: BLE001 - guarded edge of placement
            # A placement error on one event must not end any connection.
            self._report_fault(event, error)
            return
        if self.trace is not None:
            self.trace(now_us, event, actions)
        for action in actions:
            self._handler.carry_out(action)

    def _report_fault(self, event: Event, error: Exception) -> None:
        self.context.counters.add("placement_faults")
        kind = type(event).__name__
        self.context.log(f"placement failed on {kind}: {type(error).__name__}: {error}")
        if isinstance(event, TimerExpired):
            # The balancer sets its next timer while it handles this one. Without a new timer its periodic
            # work would stop.
            self.context.set_timer(self.context.limits.placement_timer_retry_us, Timer.PLACEMENT, event.token)
        self._handler.placement_failed(getattr(event, "request_id", 0))
