"""A fleet on virtual time: the real `Engine` and decision module of each relay, and modelled everything else.

Open loop: what clients ask is drawn ahead and waits for nobody. The relays share nothing. All that is random
comes from the seed, a stream of its own for each party, so that a change in one does not shift the others.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from gannetweir import core as e
from gannetweir.addresses.address import Address
from gannetweir.addresses.connection_race import (
    CloseConnection,
    RaceAction,
    RaceLost,
    RaceWon,
    SetTimer,
    StartConnect,
)
from gannetweir.config.operators_file import parse_operators_file
from gannetweir.lab.model.backends import SessionStore, SimulatedBackend
from gannetweir.lab.model.checker import RuleChecker, SlowStartBudget
from gannetweir.lab.model.clock import SimulatedClock
from gannetweir.limits import Limits
from gannetweir.membership.membership_update import ListedEndpoint, MembershipUpdate
from gannetweir.placement.events import (
    AttemptStatus,
    EndpointEntry,
    EndpointStatus,
    RequestArrived,
    RequestFlag,
)
from gannetweir.placement.settings import RequestClass, Settings
from gannetweir.routing.route_admission import RouteAdmission, platform_classes, with_routed_classes

SECOND_US = 1_000_000
MACHINE_TYPE_CAPACITIES = 0.6, 1.0, 1.4  # capacities of the kinds of machines, over the mean


@dataclass(frozen=True, slots=True)
class Traffic:
    """One class of the traffic: its share of the arrivals, its mean life, what its clients do."""

    share: float
    mean_duration_us: float = 40 * SECOND_US
    retries: int = 1  # of the client's own, after a wait


@dataclass(frozen=True, slots=True)
class WorldPlan:
    """What a world is made of."""

    seed: int = 1
    relays: int = 3
    backends: int = 12
    arrivals_per_s: float = 2.5  # new connections a second
    capacity: float = 30.0  # connections that a backend can hold, on average
    store_calls_per_s: float = 50.0  # calls that the session store takes
    groups: int = 40
    sockets: int = 8192
    one_way_delay_us: float = 400.0
    zones: int = 1
    addresses_per_backend: int = 1  # addresses of a backend: IPv4, IPv6, a Unix socket
    classes: tuple[RequestClass, ...] = (
        RequestClass("zone-view", 500_000, 2 * SECOND_US, 1.0, "repeatable", "all"),
        RequestClass("rider-area", 500_000, 3 * SECOND_US, 3.0, "repeatable", "all"),
        RequestClass("closure-feed", 500_000, 2 * SECOND_US, 3.0, "repeatable", "all"),
        RequestClass("outlet-status", 500_000, 3 * SECOND_US, 1.0, "repeatable", "all"),
    )
    traffic: tuple[Traffic, ...] = (Traffic(0.36), Traffic(0.34), Traffic(0.15), Traffic(0.15))

    def settings(self, zone: int = 0) -> Settings:
        """What the platform would tell a relay of that zone."""
        return Settings(
            classes=list(self.classes),
            relay_count=self.relays,
            zone=zone,
            zone_names=[chr(ord("a") + n) for n in range(self.zones)],
            machine_types=["slow", "middle", "fast"],
            slow_start_min_share=0.12,
            cross_zone_cost=0.16 * (self.zones > 1),
            slow_start_window_us=23 * SECOND_US,
            overload_multiple=4.0,
            load_report_fields=["concurrent", "x0"],
            load_report_source="probe",
            load_probes_enabled=True,
            max_attempts=6,
            connect_timeout_us=250_000,
            max_retry_after_us=1_500_000,
            message_latency_objectives_us=[100_000.0],
            groups_enabled=True,
        )


@dataclass(slots=True)
class SimulatedAttempt:
    """One attempt on its way or at its backend."""

    backend: SimulatedBackend
    first_line_arrived: bool = False  # its first line is there
    is_established: bool = False
    is_over: bool = False
    address_fault: str = ""  # of the path that it took
    race: SimulatedConnectionRace | None = None


@dataclass(slots=True)
class SimulatedClient:
    """One connection of a client's."""

    request_number: int  # of its request, for the checker
    relay: SimulatedRelay
    request_class: int
    duration_us: float
    key: int
    group: int
    retries_made: int
    has_returned: bool = False
    request_id: int = 0
    is_established: bool = False
    attempts: dict[int, SimulatedAttempt] = field(default_factory=dict)


class SimulatedConnectionRace:
    """`net.dialer` on virtual time: the same decider, modelled connects. Tells who won, or that none did."""

    def __init__(
        self,
        relay: SimulatedRelay,
        endpoint: str,
        backend: SimulatedBackend,
        for_probe: bool,
        excluded: Collection[Address],
        on_done: Callable[[Address | None], None],
    ) -> None:
        address_selector = relay.engine.address_selector
        assert address_selector is not None
        self.relay, self.endpoint, self.backend, self.on_done, self.address_selector = (
            relay,
            endpoint,
            backend,
            on_done,
            address_selector,
        )
        self.clock = relay.world.clock
        self.race = address_selector.new_race(endpoint, self.clock.now_us, for_probe, excluded)
        self._carry_out(self.race.start(self.clock.now_us))

    def stop(self) -> None:
        """Given up from outside."""
        self._carry_out(self.race.cancel(self.clock.now_us))

    def _carry_out(self, actions: list[RaceAction]) -> None:
        for action in actions:
            if isinstance(action, StartConnect):
                self._start_connect(action.address)
            elif isinstance(action, SetTimer):
                self.clock.call_later(
                    action.after_us, lambda: self._carry_out(self.race.timer_expired(self.clock.now_us))
                )
            elif isinstance(action, CloseConnection) and action.waited_us > 0:
                self.address_selector.record_lost_race(
                    self.endpoint, action.address, action.waited_us, self.clock.now_us
                )
            elif isinstance(action, RaceWon):
                self.address_selector.record_connected(self.endpoint, action.address, action.connect_time_us)
                self.on_done(action.address)
            elif isinstance(action, RaceLost):
                self.on_done(None)

    def _start_connect(self, address: Address) -> None:
        fault = self.backend.address_faults.get(str(address), "refuse")
        round_trip_us = 2 * self.relay.world.plan.one_way_delay_us
        if fault == "hole" or self.backend.is_removed:
            return
        if fault == "refuse" or not self.backend.accepts_connects():
            self.clock.call_later(round_trip_us, lambda: self._connect_failed(address))
        else:
            connect_us = round_trip_us + (150_000 if fault == "slow" else 0)
            self.clock.call_later(
                connect_us, lambda: self._carry_out(self.race.attempt_connected(address, self.clock.now_us))
            )

    def _connect_failed(self, address: Address) -> None:
        if address in self.race.started_us:
            self.address_selector.record_connect_failure(self.endpoint, address, self.clock.now_us)
            self._carry_out(self.race.attempt_failed(address, self.clock.now_us))


class SimulatedRelay:
    """One engine and what its drivers would do, on virtual time."""

    def __init__(self, world: World, name: str, seed: int, operators_file: str, zone: int = 0) -> None:
        self.world, self.name, self.operators_file, self.zone = world, name, operators_file, zone
        self.dead_since_us = self.draining_since_us = 0  # since when it is dead, or was told to end
        self.missed_updates: list[MembershipUpdate] = []  # while it is cut off
        platform_settings = world.plan.settings(zone)
        self.limits = replace(
            Limits(sockets=world.plan.sockets), connect_timeout_us=int(platform_settings.connect_timeout_us)
        )
        rules, address_rules = (
            parse_operators_file(operators_file, platform_settings, self.limits)
            if operators_file
            else (None, None)
        )
        self.settings = (
            with_routed_classes(platform_settings, rules) if rules is not None else platform_settings
        )
        route_admission = RouteAdmission(rules, self.settings) if rules is not None else None
        membership = world.membership_snapshot()
        now = world.clock.now_us
        self.engine = e.Engine(
            self.settings,
            self.limits,
            seed,
            membership,
            now,
            e.EngineOptions(route_admission=route_admission, address_rules=address_rules),
        )
        self.clients: dict[int, SimulatedClient] = {}  # by transaction
        self.log_lines: list[str] = []
        self.wake_at_us = 0
        self.on: dict[type, Callable[[Any], None]] = {
            e.OpenUpstream: self._open_upstream,
            e.CloseUpstream: self._close_upstream,
            e.StartForwarding: self._start_forwarding,
            e.RejectClient: lambda c: self._send_final_answer(c, "busy", c.retry_after_us),
            e.FailClient: lambda c: self._send_final_answer(c, "err", 0),
            e.MigrateClient: self._migrate_client,
            e.EndClient: self._end_client,
            e.EndUpstream: self._end_upstream,
            e.StartLoadProbe: self._start_load_probe,
            e.SetEndpointWatch: lambda c: None,
            e.WriteLogLine: self._write_log_line,
            e.Exit: lambda c: world.relay_exited(self),
        }
        for endpoint in membership.endpoints:
            self._report_known(endpoint)
        self.carry_out()

    def _report_known(self, endpoint: ListedEndpoint) -> None:
        """For the checker: it was told of this."""
        entry = endpoint.entry
        self.world.checker.relay_notified(
            str(entry.endpoint_id),
            entry.state != EndpointStatus.READY,
            self.world.clock.now_us,
            self.name,
            entry.started_us,
        )

    def membership_update_received(self, update: MembershipUpdate) -> None:
        """Discovery's, unless it is cut off."""
        if self.world.cut_zone_number == self.zone:
            self.missed_updates.append(update)
            return
        for endpoint in update.endpoints:
            self._report_known(endpoint)
        self.notify_engine(self.engine.endpoint_update_received, update)

    def reload(self, operators_file: str) -> None:
        """Another operators' file, as at SIGHUP."""
        platform_settings = replace(self.settings, classes=platform_classes(self.settings))
        rules, address_rules = parse_operators_file(operators_file, platform_settings, self.limits)
        self.settings = with_routed_classes(platform_settings, rules)
        route_admission = self.engine.route_admission
        if route_admission is None:
            route_admission = RouteAdmission(rules, self.settings)
        else:
            route_admission.apply(rules, self.settings)
        self.engine.reload(
            self.settings, self.limits, self.world.clock.now_us, route_admission, address_rules
        )
        self.carry_out()

    def notify_engine(self, call: Callable[..., Any], *args: Any) -> Any:
        """Tell the engine something and do what it commands. A dead one hears nothing."""
        if self.dead_since_us:
            return None
        result = call(*args, self.world.clock.now_us)
        self.carry_out()
        return result

    def carry_out(self) -> None:
        """Do what the engine has commanded; ask to be woken when it has something to do."""
        while self.engine.commands:
            command = self.engine.commands.popleft()
            self.on[type(command)](command)
        due = self.engine.next_due()
        if not self.world.clock.now_us < self.wake_at_us <= due:
            self.wake_at_us = due
            self.world.clock.call_later(due - self.world.clock.now_us, lambda: self._advance(due))

    def _advance(self, due_us: int) -> None:
        if due_us == self.wake_at_us:  # else an earlier one has taken its place
            self.wake_at_us = 0
            self.notify_engine(self.engine.advance)

    # ---- clients

    def first_line_received(self, client: SimulatedClient, time_budget_us: int) -> None:
        """A client's first line is in."""
        flags = (RequestFlag.RETURNED if client.has_returned else 0) | (
            RequestFlag.CLIENT_RETRY if client.retries_made else 0
        )
        key, group = client.key, client.group
        request = RequestArrived(
            0, client.request_class, key=key, time_budget_us=time_budget_us, group=group, flags=flags
        )
        # its commands may name it at once
        self.clients[self.engine.last_request_id + 1] = client
        client.request_id = self.engine.last_request_id + 1
        self.notify_engine(
            lambda now: self.engine.request_opened(request, "", now, f"{client.request_number:x}")
        )

    def _client(self, command: Any) -> SimulatedClient | None:
        return self.clients.get(command.request_id)

    def _send_final_answer(self, command: Any, answer: str, retry_after_us: int) -> None:
        client = self.clients.pop(command.request_id)
        self.world.client_answered(client, answer, retry_after_us)

    def _start_forwarding(self, command: e.StartForwarding) -> None:
        client = self.clients[command.request_id]
        client.is_established = True
        self.world.client_answered(client, "up", 0)

    def client_disconnected(self, client: SimulatedClient) -> None:
        """The client ends its connection, in good order."""
        if client.request_id in self.clients:
            self.notify_engine(lambda now: self.engine.client_disconnected(client.request_id, False, now))

    def _migrate_client(self, command: e.MigrateClient) -> None:
        client = self.clients.pop(command.request_id)
        self._finish_attempts(client)
        self.world.client_migrated(client)

    def _end_client(self, command: e.EndClient) -> None:
        client = self.clients.pop(command.request_id)
        self._finish_attempts(client)
        self.world.client_broken(client)

    def _end_upstream(self, command: e.EndUpstream) -> None:
        client = self.clients.pop(command.request_id)
        self._finish_attempts(client)

    # ---- flows

    def _open_upstream(self, command: e.OpenUpstream) -> None:
        client, world = self.clients[command.request_id], self.world
        backend = world.backends_by_dial_address[command.address]
        attempt = client.attempts[command.attempt] = SimulatedAttempt(backend)
        if command.races_addresses:
            won = partial(self._race_ended, client, command, attempt)
            attempt.race = SimulatedConnectionRace(self, str(command.endpoint_id), backend, False, (), won)
            return
        connect_us = 2 * world.plan.one_way_delay_us
        if world.is_partitioned(self, backend):
            return
        if backend.accepts_connects():
            connect_us = max(connect_us, backend.connect_delay_us)
            world.clock.call_later(connect_us, lambda: self._first_line_written(client, command, attempt))
        elif not backend.is_removed:  # refused at once; a machine that is gone says nothing
            world.clock.call_later(
                connect_us,
                lambda: self._attempt_ended(client, command, attempt, AttemptStatus.CONNECT_FAILED),
            )

    def _race_ended(
        self,
        client: SimulatedClient,
        command: e.OpenUpstream,
        attempt: SimulatedAttempt,
        address: Address | None,
    ) -> None:
        """The race of a flow is over."""
        attempt.race = None
        if address is None:
            self._attempt_ended(client, command, attempt, AttemptStatus.CONNECT_FAILED)
            return
        self.engine.address_connected(command.request_id, command.attempt, address, self.world.clock.now_us)
        attempt.address_fault = attempt.backend.address_faults[str(address)]
        self._first_line_written(client, command, attempt)

    def _first_line_written(
        self, client: SimulatedClient, command: e.OpenUpstream, attempt: SimulatedAttempt
    ) -> None:
        if attempt.is_over:
            return
        self.notify_engine(self.engine.upstream_first_line_written, command.request_id, command.attempt)
        if attempt.is_over:
            return
        world = self.world
        attempt.first_line_arrived = True
        world.checker.attempt_arrived(
            client.request_number, command.attempt, attempt.backend.name, world.clock.now_us, self.name
        )
        answer = attempt.backend.answer()
        answer_us = answer.after_us + world.plan.one_way_delay_us
        if attempt.address_fault == "reset":
            world.clock.call_later(
                world.plan.one_way_delay_us,
                lambda: self._attempt_ended(client, command, attempt, AttemptStatus.RESET),
            )
        elif attempt.address_fault == "stall":
            pass
        elif answer.reply == "UP":
            world.clock.call_later(answer_us, lambda: self._attempt_established(client, command, attempt))
        elif answer.reply:
            status = AttemptStatus.FULL if answer.reply == "BUSY" else AttemptStatus.ERROR
            world.clock.call_later(answer_us, lambda: self._attempt_ended(client, command, attempt, status))

    def _attempt_established(
        self, client: SimulatedClient, command: e.OpenUpstream, attempt: SimulatedAttempt
    ) -> None:
        if attempt.is_over:
            return
        attempt.is_established = True
        attempt.backend.open_connections += 1
        # answered: it is out no more, and stands from here on
        self.world.checker.attempt_ended(client.request_number, command.attempt)
        self.notify_engine(self.engine.upstream_established, command.request_id, command.attempt)

    def _attempt_ended(
        self,
        client: SimulatedClient,
        command: e.OpenUpstream,
        attempt: SimulatedAttempt,
        status: AttemptStatus,
    ) -> None:
        if attempt.is_over:
            return
        self._finish_attempt(client, command.attempt, attempt)
        engine = self.engine
        self.notify_engine(
            lambda now: engine.upstream_ended(command.request_id, command.attempt, status, (), False, now)
        )

    def upstream_reset(self, client: SimulatedClient, attempt_number: int, attempt: SimulatedAttempt) -> None:
        """The backend has reset it."""
        request_id, status = (
            client.request_id,
            AttemptStatus.RESET if attempt.first_line_arrived else AttemptStatus.CONNECT_FAILED,
        )
        self._finish_attempt(client, attempt_number, attempt)
        self.notify_engine(
            lambda now: self.engine.upstream_ended(request_id, attempt_number, status, (), True, now)
        )

    def _finish_attempt(
        self, client: SimulatedClient, attempt_number: int, attempt: SimulatedAttempt
    ) -> None:
        if attempt.is_over:
            return
        attempt.is_over = True
        if attempt.race is not None:
            attempt.race.stop()
        if attempt.is_established:
            attempt.backend.open_connections -= 1
        elif attempt.first_line_arrived:
            self.world.checker.attempt_ended(client.request_number, attempt_number)

    def _close_upstream(self, command: e.CloseUpstream) -> None:
        client = self._client(command)
        if client is not None:
            self._finish_attempt(client, command.attempt, client.attempts[command.attempt])

    def _finish_attempts(self, client: SimulatedClient) -> None:
        for attempt_number, attempt in client.attempts.items():
            self._finish_attempt(client, attempt_number, attempt)

    # ---- the rest

    def _start_load_probe(self, command: e.StartLoadProbe) -> None:
        backend = self.world.backends_by_dial_address[command.address]
        if command.races_addresses:
            self._probe_paths(
                command, backend, [], self.world.clock.now_us + self.limits.load_probe_timeout_us
            )
            return
        report = backend.load_report() if not self.world.is_partitioned(self, backend) else None
        probe_us = (
            2 * self.world.plan.one_way_delay_us if report is not None else self.limits.load_probe_timeout_us
        )
        status = AttemptStatus.OK if report is not None else AttemptStatus.TIMEOUT
        load_probe_ended = self.engine.load_probe_ended
        self.world.clock.call_later(
            probe_us, lambda: self.notify_engine(load_probe_ended, command.endpoint_id, status, report or ())
        )

    def _probe_paths(
        self, order: e.StartLoadProbe, backend: SimulatedBackend, tried: list[Address], until_us: int
    ) -> None:
        """One address after another, as `net.probes` does."""
        clock, paths, server = self.world.clock, self.engine.address_selector, str(order.endpoint_id)
        assert paths is not None
        share = self.limits.load_probe_timeout_us // max(1, len(backend.address_faults))
        over: list[bool] = []

        def end(status: int, report: tuple[float, ...] = ()) -> None:
            if not over:
                over.append(True)
                race.stop()
                self.notify_engine(self.engine.load_probe_ended, order.endpoint_id, status, report)

        def won(path: Address | None) -> None:
            if over:
                return
            if path is None:
                clock.call_later(0, lambda: end(AttemptStatus.CONNECT_FAILED))
                return
            report = (
                None if backend.address_faults[str(path)] in ("stall", "reset") else backend.load_report()
            )

            def answered() -> None:
                if report is not None:
                    paths.record_response(server, path, clock.now_us)
                    end(AttemptStatus.OK, report)
                    return
                paths.record_no_response(server, path, clock.now_us)
                tried.append(path)
                over.append(True)
                if len(tried) < len(backend.address_faults) and clock.now_us < until_us:
                    self._probe_paths(order, backend, tried, until_us)
                else:
                    self.notify_engine(
                        self.engine.load_probe_ended, order.endpoint_id, AttemptStatus.TIMEOUT, ()
                    )

            clock.call_later(2 * self.world.plan.one_way_delay_us if report is not None else share, answered)

        race = SimulatedConnectionRace(self, server, backend, True, tuple(tried), won)
        clock.call_later(max(1, until_us - clock.now_us), lambda: end(AttemptStatus.TIMEOUT))

    def _write_log_line(self, command: e.WriteLogLine) -> None:
        if len(self.log_lines) < 10_000:
            self.log_lines.append(command.text)


class World:
    """The fleet. `script` calls `at` for each thing that is to happen."""

    def __init__(self, plan: WorldPlan, operators_file: str = "") -> None:
        self.plan, self.clock, self.checker = plan, SimulatedClock(), RuleChecker()
        self.rng = random.Random(plan.seed)
        self.store = SessionStore(self.clock, plan.store_calls_per_s)
        self.backends: dict[str, SimulatedBackend] = {}
        for n in range(plan.backends):
            # a third each of slow, middle and fast ones, as in the fleet
            capacity = plan.capacity * MACHINE_TYPE_CAPACITIES[n % len(MACHINE_TYPE_CAPACITIES)]
            stream = random.Random(f"{plan.seed} backend {n}")
            zone = n % plan.zones
            backend = SimulatedBackend(f"b{n}", zone, capacity, self.clock, self.store, stream)
            backend.machine_type = n % len(MACHINE_TYPE_CAPACITIES)
            self.backends[backend.name] = backend
        self.backends_by_dial_address = {backend.dial_address: backend for backend in self.backends.values()}
        for n, backend in enumerate(self.backends.values() if plan.addresses_per_backend > 1 else ()):
            dials = f"10.0.{n >> 8}.{n & 255}:80", f"[fd00::{n + 1:x}]:80", f"unix:/run/b{n}.sock"
            backend.address_faults = dict.fromkeys(dials[: plan.addresses_per_backend], "")
        self.version = 1
        self.announced = {
            backend.name: self.endpoint_of(backend) for backend in self.backends.values()
        }  # as told
        self.cut_zone_number = -1  # the zone that is cut off from the others
        self.request_count = 0
        self.final_answers: list[tuple[int, str]] = []  # when each final answer came, and what it was
        self.operators_file, self.relay_starts = operators_file, plan.relays
        self.relays = [
            SimulatedRelay(self, f"n{n}", plan.seed * 1000 + n, operators_file, n % plan.zones)
            for n in range(plan.relays)
        ]
        self.arrivals_rng = random.Random(f"{plan.seed} arrivals")
        self.arrivals_end_us = 1 << 62  # nobody comes after that
        self.arrival_rate_factor = 1.0  # arrivals a second, over the plan's
        self._schedule_arrival()

    def endpoint_of(self, backend: SimulatedBackend) -> ListedEndpoint:
        """A backend as discovery tells it."""
        state = (
            EndpointStatus.REMOVED
            if backend.is_removed
            else EndpointStatus.DRAINING
            if backend.is_draining
            else EndpointStatus.READY
        )
        entry = EndpointEntry(
            backend.name, backend.zone, backend.machine_type, state=state, started_us=backend.started_us
        )
        return ListedEndpoint(entry, backend.dial_address, tuple(backend.address_faults))

    def membership_snapshot(self) -> MembershipUpdate:
        """The list as discovery tells it now."""
        return MembershipUpdate(self.version, True, list(self.announced.values()))

    def is_partitioned(self, relay: SimulatedRelay, backend: SimulatedBackend) -> bool:
        """Does nothing pass between them?"""
        return self.cut_zone_number >= 0 and (relay.zone == self.cut_zone_number) != (
            backend.zone == self.cut_zone_number
        )

    def schedule(self, seconds: float, action: Callable[[], None]) -> None:
        """Something is to happen so long after the start."""
        self.clock.call_later(seconds * SECOND_US - self.clock.elapsed_us, action)

    def announce(self, changed: Sequence[SimulatedBackend], delay_us: float = 0.0) -> None:
        """Discovery tells the relays what has become of these backends."""
        self.version += 1
        update = MembershipUpdate(self.version, False, [self.endpoint_of(backend) for backend in changed])

        def tell() -> None:
            self.announced |= {str(endpoint.entry.endpoint_id): endpoint for endpoint in update.endpoints}
            for relay in self.relays:
                relay.membership_update_received(update)

        self.clock.call_later(delay_us, tell)

    # ---- what happens to relays and backends

    def kill_relay(self, relay: SimulatedRelay) -> None:
        """It is gone at once; its clients come again, and the front goes on sending for a while."""
        relay.dead_since_us = self.clock.now_us
        clients, relay.clients = list(relay.clients.values()), {}
        for client in clients:
            relay._finish_attempts(client)
            if not client.is_established:
                self.checker.client_left(client.request_number)  # with the process; it was promised nothing
            self._schedule_return(client, self.rng.uniform(140_000, 1_000_000), 0, True)

    def start_relay(self, relay: SimulatedRelay) -> None:
        """The same relay again, with nothing but the list; the first watch tells what it holds once more."""
        self.relay_starts += 1
        seed, position = self.plan.seed * 1000 + self.relay_starts, self.relays.index(relay)
        self.relays[position] = started = SimulatedRelay(
            self, relay.name, seed, self.operators_file, relay.zone
        )
        self.clock.call_later(200_000, lambda: started.membership_update_received(self.membership_snapshot()))

    def restart_relay(self, relay: SimulatedRelay) -> None:
        """SIGTERM; `exited` starts it again."""
        relay.draining_since_us = self.clock.now_us
        relay.notify_engine(relay.engine.drain)

    def relay_exited(self, relay: SimulatedRelay) -> None:
        """A drain is over; the engine may say so more than once."""
        if relay.dead_since_us:
            return
        for client in relay.clients.values():
            if client.is_established:
                self.checker.connection_cut(client.request_number, self.clock.now_us)
        self.kill_relay(relay)
        self.clock.call_later(400_000, lambda: self.start_relay(relay))

    def replace_backend(self, backend: SimulatedBackend) -> None:
        """It has started anew: cold, and what it held is broken."""
        for relay in self.relays:
            for client in list(relay.clients.values()):
                for attempt_number, attempt in list(client.attempts.items()):
                    if attempt.backend is backend and not attempt.is_over:
                        relay.upstream_reset(client, attempt_number, attempt)
        backend.is_draining = backend.is_removed = False
        backend.started_us = self.clock.now_us
        settings, mean_duration_us = (
            self.plan.settings(),
            sum(t.share * t.mean_duration_us for t in self.plan.traffic),
        )
        warm_setups_per_s = settings.overload_multiple * backend.capacity / (mean_duration_us / SECOND_US)
        window_us = int(settings.slow_start_window_us)
        self.checker.backend_started(
            backend.name,
            SlowStartBudget(self.clock.now_us, warm_setups_per_s, settings.slow_start_min_share, window_us),
        )

    def partition_zone(self, zone: int) -> None:
        """Nothing passes between this zone and the others, lists included; -1 mends it."""
        self.cut_zone_number = zone
        for relay in self.relays:
            missed, relay.missed_updates = relay.missed_updates, []
            for update in missed:
                relay.membership_update_received(update)

    def run(self, seconds: float) -> RuleChecker:
        """Play so long, then as long as the last answers take; what is broken is in the checker."""
        self.arrivals_end_us = int(seconds * SECOND_US)
        self.clock.run_until(self.arrivals_end_us)
        self.clock.run_until(self.arrivals_end_us + 4 * SECOND_US)
        self.checker.finish(self.clock.now_us)
        return self.checker

    # ---- clients

    def _schedule_arrival(self) -> None:
        rng = self.arrivals_rng
        self.clock.call_later(
            rng.expovariate(self.plan.arrivals_per_s * self.arrival_rate_factor) * SECOND_US, self._arrive
        )

    def _arrive(self) -> None:
        if self.clock.elapsed_us >= self.arrivals_end_us:
            return
        rng, plan = self.arrivals_rng, self.plan
        request_class = rng.choices(range(len(plan.traffic)), [t.share for t in plan.traffic])[0]
        duration_us = rng.expovariate(1.0 / plan.traffic[request_class].mean_duration_us)
        group = rng.randrange(1, plan.groups + 1) * 0x9E3779B97F4A7C15 & (1 << 64) - 1
        client = SimulatedClient(
            0, self._choose_relay(rng), request_class, duration_us, rng.getrandbits(64), group, 0
        )
        self._send_request(client)
        self._schedule_arrival()

    def _choose_relay(self, rng: random.Random) -> SimulatedRelay:
        """A relay for a client. The front sees that one drains by its next ping, and only some seconds later
        that one has died.
        """
        relay = rng.choice(self.relays)
        for _ in range(20):
            is_known_draining = (
                relay.draining_since_us and self.clock.now_us > relay.draining_since_us + 300_000
            )
            if not is_known_draining and not (
                relay.dead_since_us and self.clock.now_us > relay.dead_since_us + 3 * SECOND_US
            ):
                break
            relay = rng.choice(self.relays)
        return relay

    def _send_request(self, client: SimulatedClient) -> None:
        if client.relay.dead_since_us:  # its connect is refused
            self._schedule_return(client, 500_000, client.retries_made, client.has_returned)
            return
        self.request_count += 1
        client.request_number = self.request_count
        request_class = self.plan.classes[client.request_class]
        is_first_try = client.retries_made == 0 and not client.has_returned
        self.checker.request_sent(
            client.request_number,
            request_class.name,
            int(request_class.deadline_us),
            is_first_try,
            self.clock.now_us,
        )
        client.relay.first_line_received(client, int(request_class.deadline_us))

    def client_answered(self, client: SimulatedClient, answer: str, retry_after_us: int) -> None:
        """A client has its answer: it stays for its life, or it comes again after a wait."""
        self.checker.answer_received(client.request_number, answer, self.clock.now_us)
        self.final_answers.append((self.clock.elapsed_us, answer))
        if answer == "up":
            self.clock.call_later(client.duration_us, lambda: client.relay.client_disconnected(client))
        elif client.retries_made < self.plan.traffic[client.request_class].retries:
            wait_us = retry_after_us or self.rng.uniform(140_000, 1_000_000)
            self._schedule_return(client, wait_us, client.retries_made + 1, False)

    def client_migrated(self, client: SimulatedClient) -> None:
        """Asked to come again, it does, through any relay."""
        self._schedule_return(client, self.rng.uniform(140_000, 1_000_000), 0, True)

    client_broken = client_migrated

    def _schedule_return(
        self, client: SimulatedClient, wait_us: float, retries_made: int, has_returned: bool
    ) -> None:
        c, relay = client, self._choose_relay(self.rng)
        returning = SimulatedClient(
            0, relay, c.request_class, c.duration_us, c.key, c.group, retries_made, has_returned
        )
        self.clock.call_later(
            wait_us,
            lambda: self._send_request(returning) if self.clock.elapsed_us < self.arrivals_end_us else None,
        )
