"""The load probes of one simulated relay: over the one address of a backend, or one address after another."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from gannetweir.addresses.address import Address
from gannetweir.core import Engine, StartLoadProbe
from gannetweir.lab.model.backends import SimulatedBackend
from gannetweir.lab.model.clock import SimulatedClock
from gannetweir.lab.model.connection_race import RaceTarget, SimulatedConnectionRace
from gannetweir.limits import Limits
from gannetweir.placement.events import AttemptStatus

SILENT_FAULTS = "stall", "reset"  # of an address: a probe over it gets no answer


class ProbingRelay(Protocol):
    """The relay that probes."""

    limits: Limits
    engine: Engine

    def notify_engine(self, report: Callable[[int], object]) -> None:
        """Report an event to the engine at the present time, and do what it commands."""


class SimulatedLoadProbe:
    """One probe of one backend. It ends with one result for the engine."""

    def __init__(
        self,
        relay: ProbingRelay,
        command: StartLoadProbe,
        backend: SimulatedBackend,
        clock: SimulatedClock,
        round_trip_us: float,
    ) -> None:
        self._relay = relay
        self._endpoint_id = command.endpoint_id
        self._backend = backend
        self._clock = clock
        self._round_trip_us = round_trip_us
        self._until_us = clock.now_us + relay.limits.load_probe_timeout_us
        self._silent_addresses: list[Address] = []

    def start(self, is_partitioned: bool) -> None:
        """Probe the backend's one address."""
        report = self._backend.load_report() if not is_partitioned else None
        if report is None:
            timeout_us = self._relay.limits.load_probe_timeout_us
            self._clock.call_later(timeout_us, lambda: self.end(AttemptStatus.TIMEOUT))
        else:
            self._clock.call_later(self._round_trip_us, lambda: self.end(AttemptStatus.OK, report))

    def start_next_address(self) -> None:
        """Probe the best address that was not tried yet, as `net.load_probes` does."""
        address_selector = self._relay.engine.address_selector
        assert address_selector is not None
        target = RaceTarget(str(self._endpoint_id), self._backend, address_selector, self._round_trip_us)
        address_probe = AddressProbe(self, target, self._clock, tuple(self._silent_addresses))
        timeout_us = max(1, self._until_us - self._clock.now_us)
        self._clock.call_later(timeout_us, lambda: address_probe.end(AttemptStatus.TIMEOUT))

    @property
    def answer_timeout_us(self) -> int:
        """How long one address may take to answer: the probe's time is shared by all."""
        return self._relay.limits.load_probe_timeout_us // max(1, len(self._backend.address_faults))

    def address_silent(self, address: Address) -> None:
        """An address has not answered: the next one is tried, if there is one and time is left."""
        self._silent_addresses.append(address)
        if (
            len(self._silent_addresses) < len(self._backend.address_faults)
            and self._clock.now_us < self._until_us
        ):
            self.start_next_address()
        else:
            self.end(AttemptStatus.TIMEOUT)

    def end(self, status: AttemptStatus, report: tuple[float, ...] = ()) -> None:
        """Report the result."""
        engine, endpoint_id = self._relay.engine, self._endpoint_id
        self._relay.notify_engine(lambda now_us: engine.load_probe_ended(endpoint_id, status, report, now_us))


class AddressProbe:
    """The part of a probe that goes over one address: a race of those that are left, then one question."""

    def __init__(
        self,
        probe: SimulatedLoadProbe,
        target: RaceTarget,
        clock: SimulatedClock,
        excluded: tuple[Address, ...],
    ) -> None:
        self._probe = probe
        self._target = target
        self._clock = clock
        self._is_over = False
        self._race = SimulatedConnectionRace(target, clock, self._race_ended, True, excluded)

    def end(self, status: AttemptStatus, report: tuple[float, ...] = ()) -> None:
        """End the whole probe with this result. Nothing, if this part of it is over."""
        if self._is_over:
            return
        self._is_over = True
        self._race.stop()
        self._probe.end(status, report)

    def _race_ended(self, address: Address | None) -> None:
        if self._is_over:
            return
        if address is None:  # the race may not exist yet, so it is not ended from within its start
            self._clock.call_later(0, lambda: self.end(AttemptStatus.CONNECT_FAILED))
            return
        backend = self._target.backend
        is_silent = backend.address_faults[str(address)] in SILENT_FAULTS
        report = None if is_silent else backend.load_report()
        if report is None:
            self._clock.call_later(self._probe.answer_timeout_us, lambda: self._unanswered(address))
        else:
            self._clock.call_later(self._target.round_trip_us, lambda: self._answered(address, report))

    def _answered(self, address: Address, report: tuple[float, ...]) -> None:
        target = self._target
        target.address_selector.record_response(target.endpoint, address, self._clock.now_us)
        self.end(AttemptStatus.OK, report)

    def _unanswered(self, address: Address) -> None:
        """The next address is tried even where the whole probe's time has just ended it."""
        target = self._target
        target.address_selector.record_no_response(target.endpoint, address, self._clock.now_us)
        self._is_over = True
        self._probe.address_silent(address)
