"""The upstream connections of a simulated relay, in place of the drivers that use real sockets."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Protocol

from gannetweir.addresses.address import Address
from gannetweir.core import Engine, OpenUpstream
from gannetweir.lab.model.clients import SimulatedAttempt, SimulatedClient
from gannetweir.lab.model.connection_race import RaceTarget, SimulatedConnectionRace
from gannetweir.lab.model.environment import RelayEnvironment
from gannetweir.placement.events import AttemptStatus


class UpstreamOwner(Protocol):
    """The interface of the relay that owns the upstream connections."""

    name: str
    zone: int
    engine: Engine

    def notify_engine(self, report: Callable[[int], object]) -> None:
        """Report an event to the engine at the current time, and carry out its commands."""


class SimulatedUpstreams:
    """Opens, serves and ends attempts. Their state is kept in the attempts and their clients, not here."""

    def __init__(self, relay: UpstreamOwner, environment: RelayEnvironment) -> None:
        self._relay = relay
        self._environment = environment

    def open(self, client: SimulatedClient, command: OpenUpstream) -> None:
        """Start an attempt with a connection race over the endpoint's addresses, or a single connect."""
        environment = self._environment
        backend = environment.backend_at(command.address)
        attempt = SimulatedAttempt(client, command.attempt, backend)
        client.attempts[command.attempt] = attempt
        if command.races_addresses:
            self._start_race(attempt, str(command.endpoint_id))
            return
        if environment.is_partitioned(self._relay.zone, backend):
            return
        connect_us = 2 * environment.plan.one_way_delay_us
        if backend.accepts_connects():
            connect_us = max(connect_us, backend.connect_delay_us)
            environment.clock.call_later(connect_us, lambda: self._connected(attempt))
        elif not backend.is_removed:  # a connect is refused at once; a removed backend never answers
            environment.clock.call_later(
                connect_us, lambda: self._ended(attempt, AttemptStatus.CONNECT_FAILED)
            )

    def _start_race(self, attempt: SimulatedAttempt, endpoint: str) -> None:
        environment, address_selector = self._environment, self._relay.engine.address_selector
        assert address_selector is not None
        round_trip_us = 2 * environment.plan.one_way_delay_us
        target = RaceTarget(endpoint, attempt.backend, address_selector, round_trip_us)
        on_done = partial(self._race_ended, attempt)
        attempt.race = SimulatedConnectionRace(target, environment.clock, on_done)

    def _race_ended(self, attempt: SimulatedAttempt, address: Address | None) -> None:
        attempt.race = None
        if address is None:
            self._ended(attempt, AttemptStatus.CONNECT_FAILED)
            return
        now_us = self._environment.clock.now_us
        self._relay.engine.address_connected(attempt.request_id, attempt.number, address, now_us)
        attempt.address_fault = attempt.backend.address_faults[str(address)]
        self._connected(attempt)

    def _connected(self, attempt: SimulatedAttempt) -> None:
        """Write the first line, which arrives at once: its network delay is counted in the connect time."""
        if attempt.is_over:
            return
        relay, environment = self._relay, self._environment
        request_id, number = attempt.request_id, attempt.number
        relay.notify_engine(
            lambda now_us: relay.engine.upstream_first_line_written(request_id, number, now_us)
        )
        if attempt.is_over:
            return
        attempt.first_line_arrived = True
        environment.checker.attempt_arrived(
            attempt.client.request_number,
            attempt.number,
            attempt.backend.name,
            environment.clock.now_us,
            relay.name,
        )
        self._schedule_answer(attempt)

    def _schedule_answer(self, attempt: SimulatedAttempt) -> None:
        answer = attempt.backend.answer()  # drawn even if the address's fault withholds the answer
        clock, one_way_us = self._environment.clock, self._environment.plan.one_way_delay_us
        answer_us = answer.after_us + one_way_us
        if attempt.address_fault == "reset":
            clock.call_later(one_way_us, lambda: self._ended(attempt, AttemptStatus.RESET))
        elif attempt.address_fault == "stall" or not answer.reply:
            return
        elif answer.reply == "UP":
            clock.call_later(answer_us, lambda: self._established(attempt))
        else:
            status = AttemptStatus.FULL if answer.reply == "BUSY" else AttemptStatus.ERROR
            clock.call_later(answer_us, lambda: self._ended(attempt, status))

    def _established(self, attempt: SimulatedAttempt) -> None:
        if attempt.is_over:
            return
        attempt.is_established = True
        attempt.backend.open_connections += 1
        # The attempt is answered, so a parallel attempt breaks no rule from now on.
        self._environment.checker.attempt_ended(attempt.client.request_number, attempt.number)
        relay = self._relay
        request_id, number = attempt.request_id, attempt.number
        relay.notify_engine(lambda now_us: relay.engine.upstream_established(request_id, number, now_us))

    def _ended(self, attempt: SimulatedAttempt, status: AttemptStatus) -> None:
        if attempt.is_over:
            return
        self.finish(attempt)
        self._report_end(attempt, status, is_reset=False)

    def reset(self, attempt: SimulatedAttempt) -> None:
        """The backend has reset the connection."""
        arrived = attempt.first_line_arrived
        self.finish(attempt)
        self._report_end(
            attempt, AttemptStatus.RESET if arrived else AttemptStatus.CONNECT_FAILED, is_reset=True
        )

    def _report_end(self, attempt: SimulatedAttempt, status: AttemptStatus, is_reset: bool) -> None:
        relay, request_id = self._relay, attempt.request_id
        relay.notify_engine(
            lambda now_us: relay.engine.upstream_ended(
                request_id, attempt.number, status, (), is_reset, now_us
            )
        )

    def finish(self, attempt: SimulatedAttempt) -> None:
        """Close an attempt from the relay's side, whatever its state. Does nothing if it is over."""
        if attempt.is_over:
            return
        attempt.is_over = True
        if attempt.race is not None:
            attempt.race.stop()
        if attempt.is_established:
            attempt.backend.open_connections -= 1
        elif attempt.first_line_arrived:
            self._environment.checker.attempt_ended(attempt.client.request_number, attempt.number)

    def finish_all(self, client: SimulatedClient) -> None:
        """Close all attempts of a client."""
        for attempt in client.attempts.values():
            self.finish(attempt)
