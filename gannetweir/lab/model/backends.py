"""Modelled push nodes and the session store that they share. Times are microseconds of virtual time."""

from __future__ import annotations

import random
from dataclasses import dataclass

from gannetweir.lab.model.clock import VirtualClock


class SessionStore:
    """Takes so many calls a second, one after another; what was asked is worked off, wanted or not."""

    def __init__(self, clock: VirtualClock, calls_per_s: float) -> None:
        self.clock, self.gap_us = clock, 1e6 / calls_per_s
        self.slow = 1.0
        self.free_us = 0.0
        self.calls = 0

    def call_us(self) -> float:
        """How long one more call takes from now."""
        self.calls += 1
        now = float(self.clock.now)
        self.free_us = max(self.free_us, now) + self.gap_us * self.slow
        return self.free_us - now

    @property
    def behind_us(self) -> float:
        """How long what is asked already will take."""
        return max(0.0, self.free_us - self.clock.now)


@dataclass(slots=True)
class Answer:
    """What a backend says to a first line, and after how long; an empty word is silence."""

    word: str
    after_us: float


class Backend:
    """One push node: capacity in connections, warming up from its start, with faults that can be switched."""

    def __init__(
        self,
        name: str,
        zone: int,
        capacity: float,
        clock: VirtualClock,
        store: SessionStore,
        rng: random.Random,
    ) -> None:
        self.name, self.zone, self.capacity, self.clock, self.store = name, zone, capacity, clock, store
        self.rng = rng
        self.kind = 0  # of its machine, as listed
        self.dial = f"10.0.0.1:{name}"
        self.held = 0  # connections that stand
        self.started_us = 0  # 0: long ago
        self.cold_from, self.warm_us = 0.12, 23_000_000
        # faults
        self.fails = 0.0  # share of the first lines that are answered ERR, quickly
        self.refuses = self.stalls = self.hangs = self.drains = self.gone = False
        self.slow = 1.0
        self.connect_us = 0.0  # beyond the way there and back
        # where it listens besides its dial, and what is wrong with each address: "" (nothing), refuse, hole
        # (nothing is ever heard), stall (accepts, then silence), reset (at the first byte), slow
        self.paths: dict[str, str] = {}
        self._report = (0.0, 0.0)
        self._report_until = 0

    def able(self) -> float:
        """What it can hold at this moment."""
        if not self.started_us:
            return self.capacity
        warm = min(1.0, (self.clock.now - self.started_us) / self.warm_us)
        return self.capacity * (self.cold_from + (1.0 - self.cold_from) * warm)

    def accepts(self) -> bool:
        """Does a connect come up?"""
        return not self.gone and not self.refuses

    def answer(self) -> Answer:
        """To a first line that has just come in whole. Each set-up calls the session store first."""
        if self.stalls or self.gone:
            return Answer("", 0.0)
        if self.drains or self.held >= 1.6 * self.able():
            return Answer("BUSY", 1_000.0)
        took = self.store.call_us() + self.rng.uniform(4_000, 12_000) * self.slow
        if self.rng.random() < self.fails:
            return Answer("ERR", took)
        return Answer("UP", took)

    def report(self) -> tuple[float, float] | None:
        """Connections and load over capacity, as of up to 1.5 s ago; None where a probe gets no answer."""
        if self.gone or self.hangs or self.stalls:
            return None
        if self.clock.now >= self._report_until:
            self._report = (float(self.held), self.held / self.able())
            self._report_until = self.clock.now + int(self.rng.uniform(400_000, 1_500_000))
        return self._report
