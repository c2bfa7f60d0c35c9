"""Runs the balancer: one event at a time, its actions carried out in their order."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from gannetweir.core.context import EngineContext, PlacementTrace
from gannetweir.core.timers import Timer
from gannetweir.placement.actions import Action
from gannetweir.placement.balancer import Balancer
from gannetweir.placement.events import Event, TimerExpired


class ActionHandler(Protocol):
    """Who carries out what the balancer answers with."""

    def carry_out(self, action: Action) -> None:
        """Carry out one action; events that it leads to are dispatched after the actions before it."""

    def placement_failed(self, request_id: int) -> None:
        """The balancer raised on an event of this request, 0 for none."""


class PlacementDispatcher:
    """Owns the queue of events for the balancer. Nothing else calls the balancer's `handle`."""

    def __init__(self, context: EngineContext, balancer: Balancer, trace: PlacementTrace | None) -> None:
        self.context = context
        self.balancer = balancer
        self.trace = trace  # called with every event and its actions, where a trace is asked for
        self._events: deque[Event] = deque()
        self._dispatching = False
        self._handler: ActionHandler

    def connect(self, handler: ActionHandler) -> None:
        """Set who carries out the actions: once, before the first event, as it needs this object itself."""
        self._handler = handler

    def dispatch(self, event: Event) -> None:
        """Give the balancer an event. One that its actions lead to waits until all of them are done."""
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
        except Exception as error:  # noqa: BLE001 - guarded edge: one event ends no connection
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
            # the balancer sets its next timer while it handles this one: its upkeep must not end here
            self.context.set_timer(self.context.limits.placement_timer_retry_us, Timer.PLACEMENT, event.token)
        self._handler.placement_failed(getattr(event, "request_id", 0))
