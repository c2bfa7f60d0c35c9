"""Modelled push nodes and the session store that they share. Times are microseconds of virtual time."""

from __future__ import annotations

import random
from dataclasses import dataclass

from gannetweir.lab.model.clock import SimulatedClock


class SessionStore:
    """Takes so many calls a second, one after another; what was asked is worked off, wanted or not."""

    def __init__(self, clock: SimulatedClock, calls_per_s: float) -> None:
        self.clock, self.call_interval_us = clock, 1e6 / calls_per_s
        self.slowdown = 1.0
        self.idle_from_us = 0.0
        self.calls = 0

    def schedule_call(self) -> float:
        """How long one more call takes from now."""
        self.calls += 1
        now = float(self.clock.now_us)
        self.idle_from_us = max(self.idle_from_us, now) + self.call_interval_us * self.slowdown
        return self.idle_from_us - now

    @property
    def backlog_us(self) -> float:
        """How long what is asked already will take."""
        return max(0.0, self.idle_from_us - self.clock.now_us)


@dataclass(slots=True)
class BackendAnswer:
    """What a backend says to a first line, and after how long; an empty word is silence."""

    reply: str
    after_us: float


class SimulatedBackend:
    """One push node: capacity in connections, warming up from its start, with faults that can be switched."""

    def __init__(
        self,
        name: str,
        zone: int,
        capacity: float,
        clock: SimulatedClock,
        store: SessionStore,
        rng: random.Random,
    ) -> None:
        self.name, self.zone, self.capacity, self.clock, self.store = name, zone, capacity, clock, store
        self.rng = rng
        self.machine_type = 0  # of its machine, as listed
        self.dial_address = f"10.0.0.1:{name}"
        self.open_connections = 0  # connections that stand
        self.started_us = 0  # 0: long ago
        self.slow_start_min_share, self.slow_start_window_us = 0.12, 23_000_000
        # faults
        self.failure_rate = 0.0  # share of the first lines that are answered ERR, quickly
        self.refuses_connects = self.is_silent = self.ignores_probes = self.is_draining = self.is_removed = (
            False
        )
        self.slowdown = 1.0
        self.connect_delay_us = 0.0  # beyond the way there and back
        # where it listens besides its dial, and what is wrong with each address: "" (nothing), refuse, hole
        # (nothing is ever heard), stall (accepts, then silence), reset (at the first byte), slow
        self.address_faults: dict[str, str] = {}
        self._load_report = (0.0, 0.0)
        self._load_report_until_us = 0

    def current_capacity(self) -> float:
        """What it can hold at this moment."""
        if not self.started_us:
            return self.capacity
        warmed_share = min(1.0, (self.clock.now_us - self.started_us) / self.slow_start_window_us)
        return self.capacity * (self.slow_start_min_share + (1.0 - self.slow_start_min_share) * warmed_share)

    def accepts_connects(self) -> bool:
        """Does a connect come up?"""
        return not self.is_removed and not self.refuses_connects

    def answer(self) -> BackendAnswer:
        """To a first line that has just come in whole. Each set-up calls the session store first."""
        if self.is_silent or self.is_removed:
            return BackendAnswer("", 0.0)
        if self.is_draining or self.open_connections >= 1.6 * self.current_capacity():
            return BackendAnswer("BUSY", 1_000.0)
        setup_us = self.store.schedule_call() + self.rng.uniform(4_000, 12_000) * self.slowdown
        if self.rng.random() < self.failure_rate:
            return BackendAnswer("ERR", setup_us)
        return BackendAnswer("UP", setup_us)

    def load_report(self) -> tuple[float, float] | None:
        """Connections and load over capacity, as of up to 1.5 s ago; None where a probe gets no answer."""
        if self.is_removed or self.ignores_probes or self.is_silent:
            return None
        if self.clock.now_us >= self._load_report_until_us:
            self._load_report = (
                float(self.open_connections),
                self.open_connections / self.current_capacity(),
            )
            self._load_report_until_us = self.clock.now_us + int(self.rng.uniform(400_000, 1_500_000))
        return self._load_report
