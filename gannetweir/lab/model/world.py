"""A fleet on virtual time: each relay has the real engine and placement, everything else is simulated.

The relays share nothing. All random draws come from the seed, in a separate stream for each party, so that a
change in one stream does not shift the others.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from gannetweir.lab.model.backends import SessionStore, SimulatedBackend
from gannetweir.lab.model.checker import RuleChecker, SlowStartBudget
from gannetweir.lab.model.client_population import ClientPopulation
from gannetweir.lab.model.clients import SimulatedClient
from gannetweir.lab.model.clock import SimulatedClock
from gannetweir.lab.model.plan import MACHINE_TYPE_CAPACITIES, SECOND_US, WorldPlan
from gannetweir.lab.model.relay import SimulatedRelay
from gannetweir.membership.membership_update import ListedEndpoint, MembershipUpdate
from gannetweir.placement.events import EndpointEntry, EndpointStatus

NO_ZONE = -1
FIRST_UPDATE_US = 200_000  # delay between a relay's start and the first endpoint list from its watch
RELAY_RESTART_US = 400_000  # delay between a relay's exit and its restart
# The simulation continues for this time after the last arrival, so that pending requests get their answers.
FINAL_ANSWERS_S = 4


class World:
    """The fleet, its clients and its faults. `schedule` adds an action, `run` simulates."""

    def __init__(self, plan: WorldPlan, operators_file: str = "") -> None:
        self.plan = plan
        self.clock = SimulatedClock()
        self.checker = RuleChecker()
        self.rng = random.Random(plan.seed)
        self.store = SessionStore(self.clock, plan.store_calls_per_s)
        self.backends = self._new_backends()
        self.by_dial_address = {backend.dial_address: backend for backend in self.backends.values()}
        self.version = 1  # membership version
        self.listed_endpoints = {name: self._endpoint_of(backend) for name, backend in self.backends.items()}
        self.partitioned_zone = NO_ZONE
        self.operators_file = operators_file
        self.relay_starts = plan.relays
        self.relays: list[SimulatedRelay] = []
        for number in range(plan.relays):
            seed, zone = plan.seed * 1000 + number, number % plan.zones
            self.relays.append(
                SimulatedRelay(self, f"n{number}", seed, operators_file, zone, self._relay_exited)
            )
        self.clients = ClientPopulation(plan, self.clock, self.checker, self.rng, self.relays)
        self.clients.schedule_arrival()

    def _new_backends(self) -> dict[str, SimulatedBackend]:
        """Create the backends: a third each of slow, middle and fast machines, spread over the zones."""
        plan, new_backends = self.plan, dict[str, SimulatedBackend]()
        for number in range(plan.backends):
            machine_type = number % len(MACHINE_TYPE_CAPACITIES)
            capacity = plan.capacity * MACHINE_TYPE_CAPACITIES[machine_type]
            rng = random.Random(f"{plan.seed} backend {number}")
            backend = SimulatedBackend(
                f"b{number}", number % plan.zones, capacity, self.clock, self.store, rng
            )
            backend.machine_type = machine_type
            if plan.addresses_per_backend > 1:
                addresses = (
                    f"10.0.{number >> 8}.{number & 255}:80",
                    f"[fd00::{number + 1:x}]:80",
                    f"unix:/run/b{number}.sock",
                )
                backend.address_faults = dict.fromkeys(addresses[: plan.addresses_per_backend], "")
            new_backends[backend.name] = backend
        return new_backends

    @staticmethod
    def _endpoint_of(backend: SimulatedBackend) -> ListedEndpoint:
        """Return a backend as discovery lists it."""
        state = EndpointStatus.READY
        if backend.is_removed:
            state = EndpointStatus.REMOVED
        elif backend.is_draining:
            state = EndpointStatus.DRAINING
        entry = EndpointEntry(
            backend.name, backend.zone, backend.machine_type, state=state, started_us=backend.started_us
        )
        return ListedEndpoint(entry, backend.dial_address, tuple(backend.address_faults))

    def backend_at(self, dial_address: str) -> SimulatedBackend:
        """See `RelayEnvironment`."""
        return self.by_dial_address[dial_address]

    def membership_snapshot(self) -> MembershipUpdate:
        """See `RelayEnvironment`."""
        return MembershipUpdate(self.version, True, list(self.listed_endpoints.values()))

    def is_cut_off(self, zone: int) -> bool:
        """See `RelayEnvironment`."""
        return zone == self.partitioned_zone

    def is_partitioned(self, zone: int, backend: SimulatedBackend) -> bool:
        """See `RelayEnvironment`."""
        if self.partitioned_zone == NO_ZONE:
            return False
        return (zone == self.partitioned_zone) != (backend.zone == self.partitioned_zone)

    def client_answered(self, client: SimulatedClient, answer: str, retry_after_us: int) -> None:
        """See `RelayEnvironment`."""
        self.clients.answered(client, answer, retry_after_us)

    def client_migrated(self, client: SimulatedClient) -> None:
        """See `RelayEnvironment`."""
        self.clients.return_after_wait(client)

    def client_broken(self, client: SimulatedClient) -> None:
        """See `RelayEnvironment`."""
        self.clients.return_after_wait(client)

    def schedule(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time since the start."""
        self.clock.call_later(seconds * SECOND_US - self.clock.elapsed_us, action)

    def announce(self, changed: Sequence[SimulatedBackend], delay_us: float = 0.0) -> None:
        """Let discovery publish the current state of these backends. Relays receive it after a delay."""
        self.version += 1
        update = MembershipUpdate(self.version, False, [self._endpoint_of(backend) for backend in changed])
        self.clock.call_later(delay_us, lambda: self._deliver(update))

    def _deliver(self, update: MembershipUpdate) -> None:
        for endpoint in update.endpoints:
            self.listed_endpoints[str(endpoint.entry.endpoint_id)] = endpoint
        for relay in self.relays:
            relay.membership_update_received(update)

    def kill_relay(self, relay: SimulatedRelay) -> None:
        """End a relay at once. Its clients return; new clients may choose it until its death is detected."""
        relay.dead_since_us = self.clock.now_us
        clients = list(relay.clients.values())
        relay.clients = {}
        for client in clients:
            relay.upstreams.finish_all(client)
            if not client.is_established:
                self.checker.client_disconnected(client.request_number)  # no answer from a dead relay
            self.clients.return_after_wait(client)

    def start_relay(self, relay: SimulatedRelay) -> None:
        """Restart a relay with only the current endpoint list. Its first watch repeats the list."""
        self.relay_starts += 1
        seed = self.plan.seed * 1000 + self.relay_starts
        started = SimulatedRelay(self, relay.name, seed, self.operators_file, relay.zone, self._relay_exited)
        self.relays[self.relays.index(relay)] = started
        self.clock.call_later(
            FIRST_UPDATE_US, lambda: started.membership_update_received(self.membership_snapshot())
        )

    def restart_relay(self, relay: SimulatedRelay) -> None:
        """Drain a relay, as on SIGTERM. The relay is restarted once it has exited."""
        relay.draining_since_us = self.clock.now_us
        relay.notify_engine(relay.engine.drain)

    def _relay_exited(self, relay: SimulatedRelay) -> None:
        """A drain has ended. The engine may report this more than once."""
        if relay.dead_since_us:
            return
        for client in relay.clients.values():
            if client.is_established:
                self.checker.connection_cut(client.request_number, self.clock.now_us)
        self.kill_relay(relay)
        self.clock.call_later(RELAY_RESTART_US, lambda: self.start_relay(relay))

    def replace_backend(self, backend: SimulatedBackend) -> None:
        """Restart a backend: its connections are reset, and its slow start begins."""
        for relay in self.relays:
            relay.backend_restarted(backend)
        backend.is_draining = False
        backend.is_removed = False
        backend.started_us = self.clock.now_us
        settings = self.plan.settings()
        mean_duration_us = sum(
            class_traffic.arrival_share * class_traffic.mean_duration_us
            for class_traffic in self.plan.traffic
        )
        budget = SlowStartBudget(
            self.clock.now_us,
            settings.overload_multiple * backend.capacity / (mean_duration_us / SECOND_US),
            settings.slow_start_min_share,
            int(settings.slow_start_window_us),
        )
        self.checker.backend_started(backend.name, budget)

    def partition_zone(self, zone: int) -> None:
        """Cut a zone off from the others and from membership updates. `NO_ZONE` ends the partition."""
        self.partitioned_zone = zone
        for relay in self.relays:
            relay.zone_connected()

    def run(self, seconds: float) -> RuleChecker:
        """Simulate arrivals for this time, then wait for the last answers. Returns the checker."""
        self.clients.arrivals_end_us = int(seconds * SECOND_US)
        self.clock.run_until(self.clients.arrivals_end_us)
        self.clock.run_until(self.clients.arrivals_end_us + FINAL_ANSWERS_S * SECOND_US)
        self.checker.finish(self.clock.now_us)
        return self.checker
