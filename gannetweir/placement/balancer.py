"""The balancer: composes the parts of placement and passes each event to the part that handles it."""

from __future__ import annotations

from gannetweir.placement.actions import Action
from gannetweir.placement.admission import AdmissionThrottle, LoadLimit
from gannetweir.placement.arrival_placement import ArrivalPlacement
from gannetweir.placement.attempt_dispatch import AttemptDispatch
from gannetweir.placement.context import (
    POLL_TIMER,
    RETRY_TIMER,
    TICK_INTERVAL_US,
    TICK_TIMER,
    FleetState,
    PlacementContext,
)
from gannetweir.placement.endpoint_polling import EndpointPolling
from gannetweir.placement.endpoint_updates import EndpointUpdates
from gannetweir.placement.events import (
    AttemptEnded,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionMetric,
    ConnectionResumed,
    EndpointListUpdate,
    Event,
    LoadProbeResult,
    RequestArrived,
    TimerExpired,
)
from gannetweir.placement.group_placement import GroupPlacement
from gannetweir.placement.load_model import LoadModel
from gannetweir.placement.load_probing import ConnectionMetrics, LoadProbing
from gannetweir.placement.outlier_ejection import OutlierEjection
from gannetweir.placement.packing import Packing, UniformDraw
from gannetweir.placement.probe_results import ProbeResults
from gannetweir.placement.rebalancing import Rebalancing
from gannetweir.placement.request_lifecycle import RequestLifecycle
from gannetweir.placement.retry_policy import RetryPolicy
from gannetweir.placement.settings import Settings
from gannetweir.placement.slow_start import SlowStart


class Balancer:
    """Makes the placement decisions of one relay.

    Reads no clock and does no input or output: equal settings, seeds and events give equal actions.
    """

    def __init__(self, settings: Settings, seed: int, now_us: int) -> None:
        self.context = context = PlacementContext(settings, seed)
        self.state = state = FleetState()
        self.endpoint_polling = EndpointPolling(context)
        self.retry_policy = retry_policy = RetryPolicy(context)
        self.throttle = throttle = AdmissionThrottle(context, now_us)
        self.slow_start = slow_start = SlowStart(context, state)
        self.load_model = load_model = LoadModel(context, state)
        self.load_limit = load_limit = LoadLimit(context, load_model)
        self._probing = probing = LoadProbing(context, state, load_limit)
        probe = probing.probe
        self.uniform_draw = draw = UniformDraw(context, state, slow_start)
        self.packing = packing = Packing(context, state, slow_start, draw, probe, self._resume)
        self.group_placement = groups = GroupPlacement(context, state, slow_start, load_limit, probe, now_us)
        arrivals = ArrivalPlacement(context, state, load_model, slow_start, draw, packing)
        self._dispatch = dispatch = AttemptDispatch(
            context, state, load_model, load_limit, throttle, retry_policy, draw, arrivals, groups
        )
        ejection = OutlierEjection(context, state, on_ejected=packing.end_fill)
        self._rebalancing = Rebalancing(context, state, load_model, load_limit, slow_start, probe)
        self._updates = EndpointUpdates(state, slow_start, draw, packing, self.endpoint_polling)
        self._lifecycle = RequestLifecycle(
            context, state, slow_start, throttle, ejection, packing, groups, retry_policy, dispatch
        )
        self._metrics = ConnectionMetrics(context, state, load_limit, probing)
        self._probe_results = ProbeResults(
            context, state, load_model, ejection, draw, packing, groups, self._rebalancing, dispatch
        )
        self._first_actions = self._start()

    def _start(self) -> list[Action]:
        """Set the first timers, at an offset of this relay; the first event returns them with its actions."""
        self.context.set_timer(TICK_TIMER, self.context.rng.randrange(TICK_INTERVAL_US) + 1)
        self.endpoint_polling.start()
        return self.context.actions

    def configure(self, settings: Settings) -> None:
        """Apply new settings to all later decisions; the state of endpoints and connections is kept."""
        self.context.configure(settings)

    def expect_no_returns(self) -> None:
        """Assume from now on that no load report still counts a returning connection."""
        self.group_placement.expect_no_returns()

    def handle(self, event: Event, now_us: int) -> list[Action]:
        """Handle one event and return the actions, in the order in which they have to be carried out."""
        context = self.context
        context.actions = self._first_actions
        self._first_actions = []
        match event:
            case RequestArrived():
                self._lifecycle.arrived(event, now_us)
            case LoadProbeResult():
                self._probe_results.probe_ended(event, now_us)
            case ConnectionMetric():
                self._metrics.connection_measured(event, now_us)
            case ConnectionEstablished():
                self._lifecycle.established(event, now_us)
            case AttemptEnded():
                self._lifecycle.attempt_ended(event, now_us)
            case ClientDisconnected():
                self._lifecycle.client_disconnected(event)
            case TimerExpired():
                self._timer_expired(event.token, now_us)
            case ConnectionResumed():
                self._lifecycle.resumed(event, now_us)
            case EndpointListUpdate():
                self._updates.apply(event, now_us)
            case _:  # a message of another relay: balancers share no state
                pass
        return context.actions

    def _timer_expired(self, token: int, now_us: int) -> None:
        if token == POLL_TIMER:
            self.endpoint_polling.poll(now_us)
        elif token == TICK_TIMER:
            self._tick(now_us)
        elif token == RETRY_TIMER:
            self._retry(now_us)

    def _tick(self, now_us: int) -> None:
        """Run the periodic maintenance, once per `TICK_INTERVAL_US`."""
        context, packing = self.context, self.packing
        context.set_timer(TICK_TIMER, TICK_INTERVAL_US)
        self.state.reports.expire(now_us)
        self.load_model.update_mean_load_hint()
        self.slow_start.tick(len(self.state.requests), now_us)
        self.load_limit.adjust()
        self.endpoint_polling.repoll(now_us)
        if packing.target is None or (self.slow_start.permits and not context.settings.groups_enabled):
            packing.start_sample(now_us)
        self._probing.probe_stale_endpoints(now_us)
        if context.prefers_own_zone:  # free crossings need no pass over all connections
            self._rebalancing.return_to_own_zone(now_us)

    def _retry(self, now_us: int) -> None:
        """Resume the requests whose wait for a load report or whose backoff has ended."""
        self._probing.probe_stale_endpoints(now_us)
        waiting = self.packing.take_waiting_requests()
        waiting += self.group_placement.overdue_requests(now_us)
        waiting += self.retry_policy.take_due_retries(now_us)
        for request_id in waiting:
            self._resume(request_id, now_us)

    def _resume(self, request_id: int, now_us: int) -> None:
        self._dispatch.resume(request_id, now_us)
