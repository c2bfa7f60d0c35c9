"""A simulated relay's load probes, over a backend's single address or over its addresses in turn."""

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

SILENT_FAULTS = "stall", "reset"  # a probe gets no answer over an address with one of these faults


class ProbingRelay(Protocol):
    """The interface of the probing relay."""

    limits: Limits
    engine: Engine

    def notify_engine(self, report: Callable[[int], object]) -> None:
        """Report an event to the engine at the current time, and carry out its commands."""


class SimulatedLoadProbe:
    """A load probe of a backend, which reports a single result to the engine."""

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
        """Probe a backend that has a single address. A partitioned backend does not answer."""
        report = self._backend.load_report() if not is_partitioned else None
        if report is None:
            timeout_us = self._relay.limits.load_probe_timeout_us
            self._clock.call_later(timeout_us, lambda: self.end(AttemptStatus.TIMEOUT))
        else:
            self._clock.call_later(self._round_trip_us, lambda: self.end(AttemptStatus.OK, report))

    def start_next_address(self) -> None:
        """Probe the best address not tried yet, as `net.load_probes` does."""
        address_selector = self._relay.engine.address_selector
        assert address_selector is not None
        target = RaceTarget(str(self._endpoint_id), self._backend, address_selector, self._round_trip_us)
        address_probe = AddressProbe(self, target, self._clock, tuple(self._silent_addresses))
        timeout_us = max(1, self._until_us - self._clock.now_us)
        self._clock.call_later(timeout_us, lambda: address_probe.end(AttemptStatus.TIMEOUT))

    @property
    def answer_timeout_us(self) -> int:
        """The time that one address has to answer: the probe's timeout is divided among all addresses."""
        return self._relay.limits.load_probe_timeout_us // max(1, len(self._backend.address_faults))

    def address_silent(self, address: Address) -> None:
        """An address has not answered: probe the next one, or end the probe if no address or time is left."""
        self._silent_addresses.append(address)
        if (
            len(self._silent_addresses) < len(self._backend.address_faults)
            and self._clock.now_us < self._until_us
        ):
            self.start_next_address()
        else:
            self.end(AttemptStatus.TIMEOUT)

    def end(self, status: AttemptStatus, report: tuple[float, ...] = ()) -> None:
        """Report the probe's result to the engine."""
        engine, endpoint_id = self._relay.engine, self._endpoint_id
        self._relay.notify_engine(lambda now_us: engine.load_probe_ended(endpoint_id, status, report, now_us))


class AddressProbe:
    """A step of a load probe: a race over the remaining addresses, then a load report from the winner."""

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
        """End the entire probe with this result. Does nothing if this step is over."""
        if self._is_over:
            return
        self._is_over = True
        self._race.stop()
        self._probe.end(status, report)

    def _race_ended(self, address: Address | None) -> None:
        if self._is_over:
            return
        if address is None:  # deferred, since a race that fails during its start is not assigned yet
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
        """Record the missing answer and go on, even if the probe's timeout has just ended this step."""
        target = self._target
        target.address_selector.record_no_response(target.endpoint, address, self._clock.now_us)
        self._is_over = True
        self._probe.address_silent(address)
