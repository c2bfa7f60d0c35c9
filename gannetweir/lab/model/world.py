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
from gannetweir.lab.model.backends import Backend, SessionStore
from gannetweir.lab.model.checker import Checker, Cold
from gannetweir.lab.model.clock import VirtualClock
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

SECOND = 1_000_000
KINDS = 0.6, 1.0, 1.4  # capacities of the kinds of machines, over the mean


@dataclass(frozen=True, slots=True)
class Traffic:
    """One class of the traffic: its share of the arrivals, its mean life, what its clients do."""

    share: float
    life_us: float = 40 * SECOND
    retries: int = 1  # of the client's own, after a wait


@dataclass(frozen=True, slots=True)
class Plan:
    """What a world is made of."""

    seed: int = 1
    relays: int = 3
    backends: int = 12
    per_s: float = 2.5  # new connections a second
    capacity: float = 30.0  # connections that a backend can hold, on average
    store_per_s: float = 50.0  # calls that the session store takes
    groups: int = 40
    sockets: int = 8192
    one_way_us: float = 400.0
    zones: int = 1
    paths: int = 1  # addresses of a backend: IPv4, IPv6, a Unix socket
    classes: tuple[RequestClass, ...] = (
        RequestClass("zone-view", 500_000, 2 * SECOND, 1.0, "repeatable", "all"),
        RequestClass("rider-area", 500_000, 3 * SECOND, 3.0, "repeatable", "all"),
        RequestClass("closure-feed", 500_000, 2 * SECOND, 3.0, "repeatable", "all"),
        RequestClass("outlet-status", 500_000, 3 * SECOND, 1.0, "repeatable", "all"),
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
            slow_start_window_us=23 * SECOND,
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
class Flow:
    """One attempt on its way or at its backend."""

    backend: Backend
    arrived: bool = False  # its first line is there
    stands: bool = False
    over: bool = False
    fault: str = ""  # of the path that it took
    race: VirtualRace | None = None


@dataclass(slots=True)
class Client:
    """One connection of a client's."""

    number: int  # of its request, for the checker
    relay: Relay
    cls: int
    life_us: float
    key: int
    group: int
    tries: int
    again: bool = False
    transaction: int = 0
    up: bool = False
    flows: dict[int, Flow] = field(default_factory=dict)


class VirtualRace:
    """`net.dialer` on virtual time: the same decider, modelled connects. Tells who won, or that none did."""

    def __init__(
        self,
        relay: Relay,
        server: str,
        backend: Backend,
        probe: bool,
        skip: Collection[Address],
        done: Callable[[Address | None], None],
    ) -> None:
        paths = relay.engine.address_selector
        assert paths is not None
        self.relay, self.server, self.backend, self.done, self.paths = relay, server, backend, done, paths
        self.clock = relay.world.clock
        self.race = paths.new_race(server, self.clock.now, probe, skip)
        self._do(self.race.start(self.clock.now))

    def stop(self) -> None:
        """Given up from outside."""
        self._do(self.race.cancel(self.clock.now))

    def _do(self, actions: list[RaceAction]) -> None:
        for action in actions:
            if isinstance(action, StartConnect):
                self._connect(action.address)
            elif isinstance(action, SetTimer):
                self.clock.after(action.after_us, lambda: self._do(self.race.timer_expired(self.clock.now)))
            elif isinstance(action, CloseConnection) and action.waited_us > 0:
                self.paths.record_lost_race(self.server, action.address, action.waited_us, self.clock.now)
            elif isinstance(action, RaceWon):
                self.paths.record_connected(self.server, action.address, action.connect_time_us)
                self.done(action.address)
            elif isinstance(action, RaceLost):
                self.done(None)

    def _connect(self, address: Address) -> None:
        fault = self.backend.paths.get(str(address), "refuse")
        way = 2 * self.relay.world.plan.one_way_us
        if fault == "hole" or self.backend.gone:
            return
        if fault == "refuse" or not self.backend.accepts():
            self.clock.after(way, lambda: self._failed(address))
        else:
            took = way + (150_000 if fault == "slow" else 0)
            self.clock.after(took, lambda: self._do(self.race.attempt_connected(address, self.clock.now)))

    def _failed(self, address: Address) -> None:
        if address in self.race.started_us:
            self.paths.record_connect_failure(self.server, address, self.clock.now)
            self._do(self.race.attempt_failed(address, self.clock.now))


class Relay:
    """One engine and what its drivers would do, on virtual time."""

    def __init__(self, world: World, name: str, seed: int, file: str, zone: int = 0) -> None:
        self.world, self.name, self.file, self.zone = world, name, file, zone
        self.dead_us = self.drains_us = 0  # since when it is dead, or was told to end
        self.missed: list[MembershipUpdate] = []  # while it is cut off
        told = world.plan.settings(zone)
        self.limits = replace(
            Limits(sockets=world.plan.sockets), connect_timeout_us=int(told.connect_timeout_us)
        )
        rules, reach = parse_operators_file(file, told, self.limits) if file else (None, None)
        self.settings = with_routed_classes(told, rules) if rules is not None else told
        keeper = RouteAdmission(rules, self.settings) if rules is not None else None
        known = world.whole()
        now = world.clock.now
        self.engine = e.Engine(
            self.settings, self.limits, seed, known, now, route_admission=keeper, address_rules=reach
        )
        self.clients: dict[int, Client] = {}  # by transaction
        self.logs: list[str] = []
        self.wake_us = 0
        self.on: dict[type, Callable[[Any], None]] = {
            e.OpenUpstream: self._open,
            e.CloseUpstream: self._close,
            e.StartForwarding: self._serve,
            e.RejectClient: lambda c: self._last(c, "busy", c.retry_after_us),
            e.FailClient: lambda c: self._last(c, "err", 0),
            e.MigrateClient: self._move,
            e.EndClient: self._end_client,
            e.EndUpstream: self._close_all,
            e.StartLoadProbe: self._probe,
            e.SetEndpointWatch: lambda c: None,
            e.WriteLogLine: self._log,
            e.Exit: lambda c: world.exited(self),
        }
        for member in known.endpoints:
            self.heard(member)
        self.carry_out()

    def heard(self, member: ListedEndpoint) -> None:
        """For the checker: it was told of this."""
        entry = member.entry
        self.world.checker.told(
            str(entry.endpoint_id),
            entry.state != EndpointStatus.READY,
            self.world.clock.now,
            self.name,
            entry.started_us,
        )

    def news(self, news: MembershipUpdate) -> None:
        """Discovery's, unless it is cut off."""
        if self.world.cut == self.zone:
            self.missed.append(news)
            return
        for member in news.endpoints:
            self.heard(member)
        self.tell(self.engine.endpoint_update_received, news)

    def reload(self, file: str) -> None:
        """Another operators' file, as at SIGHUP."""
        told = replace(self.settings, classes=platform_classes(self.settings))
        rules, reach = parse_operators_file(file, told, self.limits)
        self.settings = with_routed_classes(told, rules)
        keeper = self.engine.route_admission
        if keeper is None:
            keeper = RouteAdmission(rules, self.settings)
        else:
            keeper.apply(rules, self.settings)
        self.engine.reload(self.settings, self.limits, self.world.clock.now, keeper, reach)
        self.carry_out()

    def tell(self, call: Callable[..., Any], *args: Any) -> Any:
        """Tell the engine something and do what it commands. A dead one hears nothing."""
        if self.dead_us:
            return None
        result = call(*args, self.world.clock.now)
        self.carry_out()
        return result

    def carry_out(self) -> None:
        """Do what the engine has commanded; ask to be woken when it has something to do."""
        while self.engine.commands:
            command = self.engine.commands.popleft()
            self.on[type(command)](command)
        due = self.engine.next_due()
        if not self.world.clock.now < self.wake_us <= due:
            self.wake_us = due
            self.world.clock.after(due - self.world.clock.now, lambda: self._advance(due))

    def _advance(self, due_us: int) -> None:
        if due_us == self.wake_us:  # else an earlier one has taken its place
            self.wake_us = 0
            self.tell(self.engine.advance)

    # ---- clients

    def opened(self, client: Client, budget_us: int) -> None:
        """A client's first line is in."""
        flags = (RequestFlag.RETURNED if client.again else 0) | (
            RequestFlag.CLIENT_RETRY if client.tries else 0
        )
        key, group = client.key, client.group
        wanted = RequestArrived(0, client.cls, key=key, time_budget_us=budget_us, group=group, flags=flags)
        # its commands may name it at once
        self.clients[self.engine.last_request_id + 1] = client
        client.transaction = self.engine.last_request_id + 1
        self.tell(lambda now: self.engine.request_opened(wanted, "", now, f"{client.number:x}"))

    def _client(self, command: Any) -> Client | None:
        return self.clients.get(command.request_id)

    def _last(self, command: Any, answer: str, retry_us: int) -> None:
        client = self.clients.pop(command.request_id)
        self.world.answered(client, answer, retry_us)

    def _serve(self, command: e.StartForwarding) -> None:
        client = self.clients[command.request_id]
        client.up = True
        self.world.answered(client, "up", 0)

    def client_left(self, client: Client) -> None:
        """The client ends its connection, in good order."""
        if client.transaction in self.clients:
            self.tell(lambda now: self.engine.client_disconnected(client.transaction, False, now))

    def _move(self, command: e.MigrateClient) -> None:
        client = self.clients.pop(command.request_id)
        self._end_flows(client)
        self.world.moved(client)

    def _end_client(self, command: e.EndClient) -> None:
        client = self.clients.pop(command.request_id)
        self._end_flows(client)
        self.world.broken(client)

    def _close_all(self, command: e.EndUpstream) -> None:
        client = self.clients.pop(command.request_id)
        self._end_flows(client)

    # ---- flows

    def _open(self, order: e.OpenUpstream) -> None:
        client, world = self.clients[order.request_id], self.world
        backend = world.by_dial[order.address]
        flow = client.flows[order.attempt] = Flow(backend)
        if order.races_addresses:
            won = partial(self._won, client, order, flow)
            flow.race = VirtualRace(self, str(order.endpoint_id), backend, False, (), won)
            return
        after = 2 * world.plan.one_way_us
        if world.severed(self, backend):
            return
        if backend.accepts():
            after = max(after, backend.connect_us)
            world.clock.after(after, lambda: self._written(client, order, flow))
        elif not backend.gone:  # refused at once; a machine that is gone says nothing
            world.clock.after(after, lambda: self._ended(client, order, flow, AttemptStatus.CONNECT_FAILED))

    def _won(self, client: Client, order: e.OpenUpstream, flow: Flow, path: Address | None) -> None:
        """The race of a flow is over."""
        flow.race = None
        if path is None:
            self._ended(client, order, flow, AttemptStatus.CONNECT_FAILED)
            return
        self.engine.address_connected(order.request_id, order.attempt, path, self.world.clock.now)
        flow.fault = flow.backend.paths[str(path)]
        self._written(client, order, flow)

    def _written(self, client: Client, order: e.OpenUpstream, flow: Flow) -> None:
        if flow.over:
            return
        self.tell(self.engine.upstream_first_line_written, order.request_id, order.attempt)
        if flow.over:
            return
        world = self.world
        flow.arrived = True
        world.checker.attempt(client.number, order.attempt, flow.backend.name, world.clock.now, self.name)
        said = flow.backend.answer()
        after = said.after_us + world.plan.one_way_us
        if flow.fault == "reset":
            world.clock.after(
                world.plan.one_way_us, lambda: self._ended(client, order, flow, AttemptStatus.RESET)
            )
        elif flow.fault == "stall":
            pass
        elif said.word == "UP":
            world.clock.after(after, lambda: self._up(client, order, flow))
        elif said.word:
            status = AttemptStatus.FULL if said.word == "BUSY" else AttemptStatus.ERROR
            world.clock.after(after, lambda: self._ended(client, order, flow, status))

    def _up(self, client: Client, order: e.OpenUpstream, flow: Flow) -> None:
        if flow.over:
            return
        flow.stands = True
        flow.backend.held += 1
        # answered: it is out no more, and stands from here on
        self.world.checker.attempt_ended(client.number, order.attempt)
        self.tell(self.engine.upstream_established, order.request_id, order.attempt)

    def _ended(self, client: Client, order: e.OpenUpstream, flow: Flow, status: AttemptStatus) -> None:
        if flow.over:
            return
        self._over(client, order.attempt, flow)
        engine = self.engine
        self.tell(lambda now: engine.upstream_ended(order.request_id, order.attempt, status, (), False, now))

    def broken(self, client: Client, attempt: int, flow: Flow) -> None:
        """The backend has reset it."""
        number, status = (
            client.transaction,
            AttemptStatus.RESET if flow.arrived else AttemptStatus.CONNECT_FAILED,
        )
        self._over(client, attempt, flow)
        self.tell(lambda now: self.engine.upstream_ended(number, attempt, status, (), True, now))

    def _over(self, client: Client, attempt: int, flow: Flow) -> None:
        if flow.over:
            return
        flow.over = True
        if flow.race is not None:
            flow.race.stop()
        if flow.stands:
            flow.backend.held -= 1
        elif flow.arrived:
            self.world.checker.attempt_ended(client.number, attempt)

    def _close(self, command: e.CloseUpstream) -> None:
        client = self._client(command)
        if client is not None:
            self._over(client, command.attempt, client.flows[command.attempt])

    def _end_flows(self, client: Client) -> None:
        for attempt, flow in client.flows.items():
            self._over(client, attempt, flow)

    # ---- the rest

    def _probe(self, order: e.StartLoadProbe) -> None:
        backend = self.world.by_dial[order.address]
        if order.races_addresses:
            self._probe_paths(order, backend, [], self.world.clock.now + self.limits.load_probe_timeout_us)
            return
        report = backend.report() if not self.world.severed(self, backend) else None
        took = 2 * self.world.plan.one_way_us if report is not None else self.limits.load_probe_timeout_us
        status = AttemptStatus.OK if report is not None else AttemptStatus.TIMEOUT
        ended = self.engine.load_probe_ended
        self.world.clock.after(took, lambda: self.tell(ended, order.endpoint_id, status, report or ()))

    def _probe_paths(
        self, order: e.StartLoadProbe, backend: Backend, tried: list[Address], until_us: int
    ) -> None:
        """One address after another, as `net.probes` does."""
        clock, paths, server = self.world.clock, self.engine.address_selector, str(order.endpoint_id)
        assert paths is not None
        share = self.limits.load_probe_timeout_us // max(1, len(backend.paths))
        over: list[bool] = []

        def end(status: int, report: tuple[float, ...] = ()) -> None:
            if not over:
                over.append(True)
                race.stop()
                self.tell(self.engine.load_probe_ended, order.endpoint_id, status, report)

        def won(path: Address | None) -> None:
            if over:
                return
            if path is None:
                clock.after(0, lambda: end(AttemptStatus.CONNECT_FAILED))
                return
            report = None if backend.paths[str(path)] in ("stall", "reset") else backend.report()

            def answered() -> None:
                if report is not None:
                    paths.record_response(server, path, clock.now)
                    end(AttemptStatus.OK, report)
                    return
                paths.record_no_response(server, path, clock.now)
                tried.append(path)
                over.append(True)
                if len(tried) < len(backend.paths) and clock.now < until_us:
                    self._probe_paths(order, backend, tried, until_us)
                else:
                    self.tell(self.engine.load_probe_ended, order.endpoint_id, AttemptStatus.TIMEOUT, ())

            clock.after(2 * self.world.plan.one_way_us if report is not None else share, answered)

        race = VirtualRace(self, server, backend, True, tuple(tried), won)
        clock.after(max(1, until_us - clock.now), lambda: end(AttemptStatus.TIMEOUT))

    def _log(self, command: e.WriteLogLine) -> None:
        if len(self.logs) < 10_000:
            self.logs.append(command.text)


class World:
    """The fleet. `script` calls `at` for each thing that is to happen."""

    def __init__(self, plan: Plan, file: str = "") -> None:
        self.plan, self.clock, self.checker = plan, VirtualClock(), Checker()
        self.rng = random.Random(plan.seed)
        self.store = SessionStore(self.clock, plan.store_per_s)
        self.backends: dict[str, Backend] = {}
        for n in range(plan.backends):
            # a third each of slow, middle and fast ones, as in the fleet
            capacity = plan.capacity * KINDS[n % len(KINDS)]
            stream = random.Random(f"{plan.seed} backend {n}")
            zone = n % plan.zones
            backend = Backend(f"b{n}", zone, capacity, self.clock, self.store, stream)
            backend.kind = n % len(KINDS)
            self.backends[backend.name] = backend
        self.by_dial = {backend.dial: backend for backend in self.backends.values()}
        for n, backend in enumerate(self.backends.values() if plan.paths > 1 else ()):
            dials = f"10.0.{n >> 8}.{n & 255}:80", f"[fd00::{n + 1:x}]:80", f"unix:/run/b{n}.sock"
            backend.paths = dict.fromkeys(dials[: plan.paths], "")
        self.version = 1
        self.listed = {backend.name: self.member(backend) for backend in self.backends.values()}  # as told
        self.cut = -1  # the zone that is cut off from the others
        self.requests = 0
        self.served: list[tuple[int, str]] = []  # when each final answer came, and what it was
        self.file, self.starts = file, plan.relays
        self.relays = [
            Relay(self, f"n{n}", plan.seed * 1000 + n, file, n % plan.zones) for n in range(plan.relays)
        ]
        self.arrivals = random.Random(f"{plan.seed} arrivals")
        self.until = 1 << 62  # nobody comes after that
        self.burst = 1.0  # arrivals a second, over the plan's
        self._next_arrival()

    def member(self, backend: Backend) -> ListedEndpoint:
        """A backend as discovery tells it."""
        state = (
            EndpointStatus.REMOVED
            if backend.gone
            else EndpointStatus.DRAINING
            if backend.drains
            else EndpointStatus.READY
        )
        entry = EndpointEntry(
            backend.name, backend.zone, backend.kind, state=state, started_us=backend.started_us
        )
        return ListedEndpoint(entry, backend.dial, tuple(backend.paths))

    def whole(self) -> MembershipUpdate:
        """The list as discovery tells it now."""
        return MembershipUpdate(self.version, True, list(self.listed.values()))

    def severed(self, relay: Relay, backend: Backend) -> bool:
        """Does nothing pass between them?"""
        return self.cut >= 0 and (relay.zone == self.cut) != (backend.zone == self.cut)

    def at(self, seconds: float, call: Callable[[], None]) -> None:
        """Something is to happen so long after the start."""
        self.clock.after(seconds * SECOND - self.clock.passed_us, call)

    def announce(self, changed: Sequence[Backend], after_us: float = 0.0) -> None:
        """Discovery tells the relays what has become of these backends."""
        self.version += 1
        news = MembershipUpdate(self.version, False, [self.member(backend) for backend in changed])

        def tell() -> None:
            self.listed |= {str(member.entry.endpoint_id): member for member in news.endpoints}
            for relay in self.relays:
                relay.news(news)

        self.clock.after(after_us, tell)

    # ---- what happens to relays and backends

    def kill(self, relay: Relay) -> None:
        """It is gone at once; its clients come again, and the front goes on sending for a while."""
        relay.dead_us = self.clock.now
        clients, relay.clients = list(relay.clients.values()), {}
        for client in clients:
            relay._end_flows(client)
            if not client.up:
                self.checker.left(client.number)  # with the process; it was promised nothing
            self._again(client, self.rng.uniform(140_000, 1_000_000), 0, True)

    def start(self, relay: Relay) -> None:
        """The same relay again, with nothing but the list; the first watch tells what it holds once more."""
        self.starts += 1
        seed, place = self.plan.seed * 1000 + self.starts, self.relays.index(relay)
        self.relays[place] = fresh = Relay(self, relay.name, seed, self.file, relay.zone)
        self.clock.after(200_000, lambda: fresh.news(self.whole()))

    def restart(self, relay: Relay) -> None:
        """SIGTERM; `exited` starts it again."""
        relay.drains_us = self.clock.now
        relay.tell(relay.engine.drain)

    def exited(self, relay: Relay) -> None:
        """A drain is over; the engine may say so more than once."""
        if relay.dead_us:
            return
        for client in relay.clients.values():
            if client.up:
                self.checker.cut_off(client.number, self.clock.now)
        self.kill(relay)
        self.clock.after(400_000, lambda: self.start(relay))

    def replace(self, backend: Backend) -> None:
        """It has started anew: cold, and what it held is broken."""
        for relay in self.relays:
            for client in list(relay.clients.values()):
                for attempt, flow in list(client.flows.items()):
                    if flow.backend is backend and not flow.over:
                        relay.broken(client, attempt, flow)
        backend.drains = backend.gone = False
        backend.started_us = self.clock.now
        told, life = self.plan.settings(), sum(t.share * t.life_us for t in self.plan.traffic)
        per_s = told.overload_multiple * backend.capacity / (life / SECOND)
        warm_us = int(told.slow_start_window_us)
        self.checker.started(backend.name, Cold(self.clock.now, per_s, told.slow_start_min_share, warm_us))

    def cut_zone(self, zone: int) -> None:
        """Nothing passes between this zone and the others, lists included; -1 mends it."""
        self.cut = zone
        for relay in self.relays:
            missed, relay.missed = relay.missed, []
            for news in missed:
                relay.news(news)

    def run(self, seconds: float) -> Checker:
        """Play so long, then as long as the last answers take; what is broken is in the checker."""
        self.until = int(seconds * SECOND)
        self.clock.run(self.until)
        self.clock.run(self.until + 4 * SECOND)
        self.checker.close(self.clock.now)
        return self.checker

    # ---- clients

    def _next_arrival(self) -> None:
        rng = self.arrivals
        self.clock.after(rng.expovariate(self.plan.per_s * self.burst) * SECOND, self._arrive)

    def _arrive(self) -> None:
        if self.clock.passed_us >= self.until:
            return
        rng, plan = self.arrivals, self.plan
        cls = rng.choices(range(len(plan.traffic)), [t.share for t in plan.traffic])[0]
        life = rng.expovariate(1.0 / plan.traffic[cls].life_us)
        group = rng.randrange(1, plan.groups + 1) * 0x9E3779B97F4A7C15 & (1 << 64) - 1
        client = Client(0, self._front(rng), cls, life, rng.getrandbits(64), group, 0)
        self._open(client)
        self._next_arrival()

    def _front(self, rng: random.Random) -> Relay:
        """A relay for a client. The front sees that one drains by its next ping, and only some seconds later
        that one has died.
        """
        relay = rng.choice(self.relays)
        for _ in range(20):
            drains = relay.drains_us and self.clock.now > relay.drains_us + 300_000
            if not drains and not (relay.dead_us and self.clock.now > relay.dead_us + 3 * SECOND):
                break
            relay = rng.choice(self.relays)
        return relay

    def _open(self, client: Client) -> None:
        if client.relay.dead_us:  # its connect is refused
            self._again(client, 500_000, client.tries, client.again)
            return
        self.requests += 1
        client.number = self.requests
        told = self.plan.classes[client.cls]
        first = client.tries == 0 and not client.again
        self.checker.asked(client.number, told.name, int(told.deadline_us), first, self.clock.now)
        client.relay.opened(client, int(told.deadline_us))

    def answered(self, client: Client, answer: str, retry_us: int) -> None:
        """A client has its answer: it stays for its life, or it comes again after a wait."""
        self.checker.answered(client.number, answer, self.clock.now)
        self.served.append((self.clock.passed_us, answer))
        if answer == "up":
            self.clock.after(client.life_us, lambda: client.relay.client_left(client))
        elif client.tries < self.plan.traffic[client.cls].retries:
            wait = retry_us or self.rng.uniform(140_000, 1_000_000)
            self._again(client, wait, client.tries + 1, False)

    def moved(self, client: Client) -> None:
        """Asked to come again, it does, through any relay."""
        self._again(client, self.rng.uniform(140_000, 1_000_000), 0, True)

    broken = moved

    def _again(self, client: Client, wait_us: float, tries: int, again: bool) -> None:
        c, relay = client, self._front(self.rng)
        fresh = Client(0, relay, c.cls, c.life_us, c.key, c.group, tries, again)
        self.clock.after(wait_us, lambda: self._open(fresh) if self.clock.passed_us < self.until else None)
