"""What the parts of a balancer share: settings, random numbers, actions, and the state of the fleet."""

from __future__ import annotations

import random
from enum import Enum

from gannetweir.placement.actions import Action, SetTimer, WriteLog
from gannetweir.placement.endpoint_state import EndpointState
from gannetweir.placement.events import EndpointId
from gannetweir.placement.load_reports import LoadReportTable
from gannetweir.placement.pending_request import PendingRequest, PendingRequests
from gannetweir.placement.ready_endpoints import ReadyEndpoints
from gannetweir.placement.settings import Settings

# Tokens of the timers that a balancer sets.
TICK_TIMER = 1
POLL_TIMER = 2
RETRY_TIMER = 3

# Interval of the periodic maintenance, none of which is more urgent.
TICK_INTERVAL_US = 1_000_000
# Decisions use load reports that were read at most this long ago. A report is already about one second old
# when it is read.
REPORT_FRESHNESS_US = 1_000_000
# Minimum interval between log lines of one kind, to keep the log readable.
LOG_REPEAT_INTERVAL_US = 10_000_000


class Deferral(Enum):
    """Why the choice of an endpoint is deferred."""

    AWAITING_REPORT = "the request waits for a load report, at most until its wait deadline"


# The selected endpoint, a deferral of the choice, or None if the request may not be placed on any endpoint.
Choice = EndpointState | Deferral | None


class PlacementContext:
    """The settings in force, the only source of random numbers, and the actions to return.

    `configure` replaces all settings at once; the parts read them from here at each decision. The order of
    draws from `rng` and the order of `actions` are part of the behaviour: recorded runs are compared by both.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.rng = random.Random(seed)
        self.actions: list[Action] = []
        self._last_logged_us: dict[str, int] = {}
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Apply these settings to all later decisions."""
        self.settings = settings
        self.highest_priority_weight = max(each.priority_weight for each in settings.classes) or 1.0
        field_names = settings.load_report_fields if settings.load_report_source != "none" else []
        self.connections_field = field_names.index("concurrent") if "concurrent" in field_names else -1
        self.load_field = field_names.index("x0") if "x0" in field_names else -1
        self.reports_load = self.load_field >= 0
        self.probes_load = settings.load_probes_enabled and self.connections_field >= 0
        self.prefers_own_zone = settings.cross_zone_cost > 0 and len(settings.zone_names) > 1

    def set_timer(self, token: int, after_us: int) -> None:
        """Request a `TimerExpired` with this token."""
        self.actions.append(SetTimer(token, after_us))

    def start_report_wait(self, request: PendingRequest, now_us: int) -> None:
        """Set the deadline of the wait for a load report and its timer. A request waits only once."""
        if request.wait_deadline_us:
            return
        wait_us = request.request_class.max_report_wait_us(request.deadline_us - now_us)
        request.wait_deadline_us = now_us + wait_us
        self.set_timer(RETRY_TIMER, wait_us)

    def write_log(self, kind: str, text: str, now_us: int) -> None:
        """Write a log line, unless one of its kind was written within `LOG_REPEAT_INTERVAL_US`."""
        last_us = self._last_logged_us.get(kind)
        if last_us is not None and now_us - last_us < LOG_REPEAT_INTERVAL_US:
            return
        self._last_logged_us[kind] = now_us
        self.actions.append(WriteLog(f"{kind}: {text}"))


class FleetState:
    """A relay's knowledge of the fleet and its own requests; each record states its writers."""

    def __init__(self) -> None:
        self.endpoints: dict[EndpointId, EndpointState] = {}  # all ever listed; `EndpointUpdates` writes it
        self.ready_endpoints = ReadyEndpoints()
        self.requests = PendingRequests()  # `RequestLifecycle` adds, it and `AttemptDispatch` remove
        self.reports = LoadReportTable()
