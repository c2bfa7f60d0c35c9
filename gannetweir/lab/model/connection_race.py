"""A connection race over an endpoint's addresses on virtual time: the real race logic, simulated connects."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

from gannetweir.addresses.address import Address
from gannetweir.addresses.address_selector import AddressSelector
from gannetweir.addresses.connection_race import (
    CloseConnection,
    RaceAction,
    RaceLost,
    RaceWon,
    SetTimer,
    StartConnect,
)
from gannetweir.lab.model.backends import SimulatedBackend
from gannetweir.lab.model.clock import SimulatedClock

SLOW_CONNECT_US = 150_000  # extra connect time of an address with the fault `slow`


@dataclass(frozen=True, slots=True)
class RaceTarget:
    """The endpoint whose addresses race, with its address selector and the round trip to it."""

    endpoint: str
    backend: SimulatedBackend
    address_selector: AddressSelector
    round_trip_us: float


class SimulatedConnectionRace:
    """Runs a connection race. `on_done` is called once, with the winning address or None if all failed."""

    def __init__(
        self,
        target: RaceTarget,
        clock: SimulatedClock,
        on_done: Callable[[Address | None], None],
        for_probe: bool = False,
        excluded: Collection[Address] = (),
    ) -> None:
        self._target = target
        self._clock = clock
        self._on_done = on_done
        self._race = target.address_selector.new_race(target.endpoint, clock.now_us, for_probe, excluded)
        self._carry_out(self._race.start(clock.now_us))

    def stop(self) -> None:
        """Cancel all connects that are in progress."""
        self._carry_out(self._race.cancel(self._clock.now_us))

    def _carry_out(self, actions: list[RaceAction]) -> None:
        target, now_us = self._target, self._clock.now_us
        for action in actions:
            match action:
                case StartConnect():
                    self._start_connect(action.address)
                case SetTimer():
                    self._clock.call_later(action.after_us, self._timer_expired)
                case CloseConnection() if action.waited_us > 0:
                    target.address_selector.record_lost_race(
                        target.endpoint, action.address, action.waited_us, now_us
                    )
                case RaceWon():
                    target.address_selector.record_connected(
                        target.endpoint, action.address, action.connect_time_us
                    )
                    self._on_done(action.address)
                case RaceLost():
                    self._on_done(None)

    def _timer_expired(self) -> None:
        self._carry_out(self._race.timer_expired(self._clock.now_us))

    def _start_connect(self, address: Address) -> None:
        backend, round_trip_us = self._target.backend, self._target.round_trip_us
        fault = backend.address_faults.get(str(address), "refuse")
        if fault == "hole" or backend.is_removed:
            return
        if fault == "refuse" or not backend.accepts_connects():
            self._clock.call_later(round_trip_us, lambda: self._connect_failed(address))
            return
        slow_us = SLOW_CONNECT_US if fault == "slow" else 0
        self._clock.call_later(round_trip_us + slow_us, lambda: self._connected(address))

    def _connected(self, address: Address) -> None:
        self._carry_out(self._race.attempt_connected(address, self._clock.now_us))

    def _connect_failed(self, address: Address) -> None:
        if address in self._race.started_us:
            target, now_us = self._target, self._clock.now_us
            target.address_selector.record_connect_failure(target.endpoint, address, now_us)
            self._carry_out(self._race.attempt_failed(address, now_us))
