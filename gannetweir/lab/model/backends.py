"""Simulated backends and the session store that they share. Times are microseconds of virtual time."""

from __future__ import annotations

import random
from dataclasses import dataclass

from gannetweir.lab.model.clock import SimulatedClock

SLOW_START_MIN_SHARE, SLOW_START_WINDOW_US = 0.12, 23_000_000  # of a backend's capacity; until it is warm
HARD_LIMIT_FACTOR = 1.6  # connections over the present capacity, from which a backend answers BUSY
BUSY_AFTER_US = 1_000.0
MIN_SETUP_US, MAX_SETUP_US = 4_000, 12_000  # a backend's own work, beside the session store's
MIN_REPORT_AGE_US, MAX_REPORT_AGE_US = 400_000, 1_500_000  # how long one load report is given


class SessionStore:
    """Serves so many calls a second, one after another; also those that nobody waits for any more."""

    def __init__(self, clock: SimulatedClock, calls_per_s: float) -> None:
        self.clock = clock
        self.call_interval_us = 1e6 / calls_per_s
        self.slowdown = 1.0  # a fault: each call takes so many times as long
        self.idle_from_us = 0.0
        self.calls = 0

    def schedule_call(self) -> float:
        """Add a call to the queue; how long it takes from now, in microseconds."""
        self.calls += 1
        now_us = float(self.clock.now_us)
        self.idle_from_us = max(self.idle_from_us, now_us) + self.call_interval_us * self.slowdown
        return self.idle_from_us - now_us

    @property
    def backlog_us(self) -> float:
        """How long the calls that are in the queue will take."""
        return max(0.0, self.idle_from_us - self.clock.now_us)


@dataclass(frozen=True, slots=True)
class BackendAnswer:
    """What a backend answers to a first line: `UP`, `BUSY`, `ERR`, or nothing at all (empty)."""

    reply: str
    after_us: float


class SimulatedBackend:
    """One backend: capacity in connections, a slow start, and faults that can be switched on."""

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
        self.machine_type = 0  # its number in the settings
        self.dial_address = f"10.0.0.1:{name}"
        self.open_connections = 0  # established ones
        self.started_us = 0  # 0: long ago
        self.slow_start_min_share = SLOW_START_MIN_SHARE
        self.slow_start_window_us = SLOW_START_WINDOW_US
        self.is_draining = False
        self.is_removed = False  # its machine is gone: nothing is answered
        self.failure_rate = 0.0  # a fault: share of the first lines that are answered ERR
        self.refuses_connects = False
        self.is_silent = False  # connects come up, nothing is answered
        self.ignores_probes = False
        self.slowdown = 1.0  # of its own work
        self.connect_delay_us = 0.0  # beyond the round trip
        # Where it listens besides its dial address, each with its fault: "" (none), refuse, hole (nothing is
        # ever heard), stall (connects, then silence), reset (at the first byte), slow.
        self.address_faults: dict[str, str] = {}
        self._load_report = (0.0, 0.0)
        self._load_report_until_us = 0

    def current_capacity(self) -> float:
        """The connections that it can serve now: less than its capacity while it warms up."""
        if not self.started_us:
            return self.capacity
        warmed_share = min(1.0, (self.clock.now_us - self.started_us) / self.slow_start_window_us)
        min_share = self.slow_start_min_share
        return self.capacity * (min_share + (1.0 - min_share) * warmed_share)

    def accepts_connects(self) -> bool:
        """Whether a connect to its dial address comes up."""
        return not self.is_removed and not self.refuses_connects

    def answer(self) -> BackendAnswer:
        """Answer a first line that has just arrived. Each set-up calls the session store first."""
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
        """Connections, and load over capacity, as of up to 1.5 s ago; None where a probe gets no answer."""
        if self.is_removed or self.ignores_probes or self.is_silent:
            return None
        if self.clock.now_us >= self._load_report_until_us:
            connections = float(self.open_connections)
            self._load_report = connections, connections / self.current_capacity()
            age_us = int(self.rng.uniform(MIN_REPORT_AGE_US, MAX_REPORT_AGE_US))
            self._load_report_until_us = self.clock.now_us + age_us
        return self._load_report
