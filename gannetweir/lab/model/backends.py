"""Simulated backends and their shared session store. Times are microseconds of virtual time."""

from __future__ import annotations

import random
from dataclasses import dataclass

from gannetweir.lab.model.clock import SimulatedClock

# A backend that has just started serves this share of its capacity, rising to all of it over the window.
SLOW_START_MIN_SHARE, SLOW_START_WINDOW_US = 0.12, 23_000_000
# A backend answers BUSY once its connections reach this multiple of its current capacity.
HARD_LIMIT_FACTOR = 1.6
BUSY_AFTER_US = 1_000.0
# The backend's own work for a connection set-up, without the session store's.
MIN_SETUP_US, MAX_SETUP_US = 4_000, 12_000
# A backend repeats a load report for a random time between these two before it measures again.
MIN_REPORT_AGE_US, MAX_REPORT_AGE_US = 400_000, 1_500_000


class SessionStore:
    """A queue served at a fixed rate, one call at a time. A call whose caller has gone is still served."""

    def __init__(self, clock: SimulatedClock, calls_per_s: float) -> None:
        self.clock = clock
        self.call_interval_us = 1e6 / calls_per_s
        self.slowdown = 1.0  # fault: the factor by which each call takes longer
        self.idle_from_us = 0.0
        self.calls = 0

    def schedule_call(self) -> float:
        """Add a call to the queue. Returns the time until the call completes, in microseconds."""
        self.calls += 1
        now_us = float(self.clock.now_us)
        self.idle_from_us = max(self.idle_from_us, now_us) + self.call_interval_us * self.slowdown
        return self.idle_from_us - now_us

    @property
    def backlog_us(self) -> float:
        """The time that the queued calls will take."""
        return max(0.0, self.idle_from_us - self.clock.now_us)


@dataclass(frozen=True, slots=True)
class BackendAnswer:
    """A backend's answer to a first line: `UP`, `BUSY`, `ERR`, or empty if the backend stays silent."""

    reply: str
    after_us: float


class SimulatedBackend:
    """A backend with a capacity in connections, a slow start, and faults that can be switched on."""

    def __init__(
        self,
        name: str,
        zone: int,
        capacity: float,
        clock: SimulatedClock,
        store: SessionStore,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.zone = zone
        self.capacity = capacity
        self.clock = clock
        self.store = store
        self.rng = rng
        self.machine_type = 0  # an index into the settings' machine types
        self.dial_address = f"10.0.0.1:{name}"
        self.open_connections = 0  # established connections only
        self.started_us = 0  # 0 means that the slow start is over
        self.slow_start_min_share = SLOW_START_MIN_SHARE
        self.slow_start_window_us = SLOW_START_WINDOW_US
        self.is_draining = False
        self.is_removed = False  # the machine is gone, and nothing is answered
        self.failure_rate = 0.0  # fault: the share of first lines that are answered ERR
        self.refuses_connects = False
        self.is_silent = False  # connects succeed, but nothing is answered
        self.ignores_probes = False
        self.slowdown = 1.0  # the factor by which the backend's own work takes longer
        self.connect_delay_us = 0.0  # the least time a connect takes, where it exceeds the round trip
        # The fault of each address besides the dial address: "" (none), refuse, hole (a connect gets no
        # answer), stall (connects succeed, nothing is answered), reset (at the first byte), slow.
        self.address_faults: dict[str, str] = {}
        self._load_report = (0.0, 0.0)
        self._load_report_until_us = 0

    def current_capacity(self) -> float:
        """The number of connections that the backend can serve now, reduced while it is warming up."""
        if not self.started_us:
            return self.capacity
        warmed_share = min(1.0, (self.clock.now_us - self.started_us) / self.slow_start_window_us)
        min_share = self.slow_start_min_share
        return self.capacity * (min_share + (1.0 - min_share) * warmed_share)

    def accepts_connects(self) -> bool:
        """Whether a connect to the dial address succeeds."""
        return not self.is_removed and not self.refuses_connects

    def answer(self) -> BackendAnswer:
        """Answer a first line that has just arrived. A set-up calls the session store before its own work."""
        if self.is_silent or self.is_removed:
            return BackendAnswer("", 0.0)
        if self.is_draining or self.open_connections >= HARD_LIMIT_FACTOR * self.current_capacity():
            return BackendAnswer("BUSY", BUSY_AFTER_US)
        store_us = self.store.schedule_call()
        setup_us = store_us + self.rng.uniform(MIN_SETUP_US, MAX_SETUP_US) * self.slowdown
        if self.rng.random() < self.failure_rate:
            return BackendAnswer("ERR", setup_us)
        return BackendAnswer("UP", setup_us)

    def load_report(self) -> tuple[float, float] | None:
        """Return connections and load over capacity, up to 1.5 s old; None if a probe gets no answer."""
        if self.is_removed or self.ignores_probes or self.is_silent:
            return None
        if self.clock.now_us >= self._load_report_until_us:
            connections = float(self.open_connections)
            self._load_report = connections, connections / self.current_capacity()
            age_us = int(self.rng.uniform(MIN_REPORT_AGE_US, MAX_REPORT_AGE_US))
            self._load_report_until_us = self.clock.now_us + age_us
        return self._load_report
