"""A relay on virtual time: the real engine, with simulated connections in place of the network drivers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from gannetweir import core
from gannetweir.addresses.rules import AddressRules
from gannetweir.config.operators_file import parse_operators_file
from gannetweir.lab.model.backends import SimulatedBackend
from gannetweir.lab.model.clients import SimulatedClient
from gannetweir.lab.model.environment import RelayEnvironment
from gannetweir.lab.model.load_probes import SimulatedLoadProbe
from gannetweir.lab.model.upstreams import SimulatedUpstreams
from gannetweir.limits import Limits
from gannetweir.membership.membership_update import ListedEndpoint, MembershipUpdate
from gannetweir.placement.events import EndpointStatus, RequestArrived, RequestFlag
from gannetweir.placement.settings import Settings
from gannetweir.routing.route_admission import RouteAdmission, platform_classes, with_routed_classes

MAX_LOG_LINES = 10_000  # log lines kept per relay for the tests

ClientCommand = (
    core.StartForwarding
    | core.RejectClient
    | core.FailClient
    | core.MigrateClient
    | core.EndClient
    | core.EndUpstream
)


def _apply_operators_file(
    text: str, platform_settings: Settings, limits: Limits
) -> tuple[Settings, RouteAdmission | None, AddressRules | None]:
    if not text:
        return platform_settings, None, None
    rules, address_rules = parse_operators_file(text, platform_settings, limits)
    settings = with_routed_classes(platform_settings, rules)
    return settings, RouteAdmission(rules, settings), address_rules


class SimulatedRelay:
    """A relay process from its start to its exit; a restart is a new object.

    Owns its clients and their attempts.
    """

    def __init__(
        self,
        environment: RelayEnvironment,
        name: str,
        seed: int,
        operators_file: str,
        zone: int,
        on_exit: Callable[[SimulatedRelay], None],
    ) -> None:
        self.environment = environment
        self.on_exit = on_exit
        self.name = name
        self.zone = zone
        self.dead_since_us = 0  # 0 means that the relay is running
        self.draining_since_us = 0  # 0 means that the relay is not draining
        self.deferred_updates: list[MembershipUpdate] = []  # received while the relay's zone is cut off
        self.clients: dict[int, SimulatedClient] = {}  # by the engine's request ids
        self.log_lines: list[str] = []
        self.wake_at_us = 0  # due time of the earliest timer; 0 means that no timer is set
        self.upstreams = SimulatedUpstreams(self, environment)
        platform_settings = environment.plan.settings(zone)
        self.limits = replace(
            Limits(sockets=environment.plan.sockets),
            connect_timeout_us=int(platform_settings.connect_timeout_us),
        )
        self.settings, route_admission, address_rules = _apply_operators_file(
            operators_file, platform_settings, self.limits
        )
        membership = environment.membership_snapshot()
        self.engine = core.Engine(
            self.settings,
            self.limits,
            seed,
            membership,
            environment.clock.now_us,
            core.EngineOptions(route_admission=route_admission, address_rules=address_rules),
        )
        for endpoint in membership.endpoints:
            self._report_known(endpoint)
        self.carry_out()

    def _report_known(self, endpoint: ListedEndpoint) -> None:
        """Report to the checker which state and start of an endpoint this relay knows from now on."""
        entry = endpoint.entry
        self.environment.checker.relay_notified(
            str(entry.endpoint_id),
            entry.state != EndpointStatus.READY,
            self.environment.clock.now_us,
            self.name,
            entry.started_us,
        )

    def membership_update_received(self, update: MembershipUpdate) -> None:
        """Apply an update from discovery, or defer it while the zone is cut off."""
        if self.environment.is_cut_off(self.zone):
            self.deferred_updates.append(update)
            return
        for endpoint in update.endpoints:
            self._report_known(endpoint)
        self.notify_engine(lambda now_us: self.engine.endpoint_update_received(update, now_us))

    def zone_connected(self) -> None:
        """Apply the updates deferred while the zone was cut off. A zone that is still cut off keeps them."""
        deferred = self.deferred_updates
        self.deferred_updates = []
        for update in deferred:
            self.membership_update_received(update)

    def reload(self, operators_file: str) -> None:
        """Apply a new operators' file, as on SIGHUP."""
        platform_settings = replace(self.settings, classes=platform_classes(self.settings))
        rules, address_rules = parse_operators_file(operators_file, platform_settings, self.limits)
        self.settings = with_routed_classes(platform_settings, rules)
        route_admission = self.engine.route_admission
        if route_admission is None:
            route_admission = RouteAdmission(rules, self.settings)
        else:
            route_admission.apply(rules, self.settings)
        now_us = self.environment.clock.now_us
        self.engine.reload(self.settings, self.limits, now_us, route_admission, address_rules)
        self.carry_out()

    def notify_engine(self, report: Callable[[int], object]) -> None:
        """Report an event at the current time, and carry out the engine's commands.

        Does nothing after the relay's death.
        """
        if self.dead_since_us:
            return
        report(self.environment.clock.now_us)
        self.carry_out()

    def carry_out(self) -> None:
        """Carry out the engine's commands, and set a timer if the engine is due before the current one."""
        while self.engine.commands:
            self._carry_out_command(self.engine.commands.popleft())
        clock, due_us = self.environment.clock, self.engine.next_due()
        if not clock.now_us < self.wake_at_us <= due_us:
            self.wake_at_us = due_us
            clock.call_later(due_us - clock.now_us, lambda: self._timer_expired(due_us))

    def _timer_expired(self, due_us: int) -> None:
        if due_us == self.wake_at_us:  # otherwise an earlier timer has replaced this one
            self.wake_at_us = 0
            self.notify_engine(self.engine.advance)

    def _carry_out_command(self, command: core.Command) -> None:
        match command:
            case core.OpenUpstream():
                self.upstreams.open(self.clients[command.request_id], command)
            case core.CloseUpstream():
                self._close_upstream(command)
            case core.StartLoadProbe():
                self._start_load_probe(command)
            case core.WriteLogLine():
                self._remember_log_line(command.text)
            case core.SetEndpointWatch():
                pass  # the world delivers every update without a watch
            case core.Exit():
                self.on_exit(self)
            case _:
                self._carry_out_for_client(command)

    def _carry_out_for_client(self, command: ClientCommand) -> None:
        request_id = command.request_id
        match command:
            case core.StartForwarding():
                self._start_forwarding(request_id)
            case core.RejectClient():
                self._send_final_answer(request_id, "busy", command.retry_after_us)
            case core.FailClient():
                self._send_final_answer(request_id, "err", 0)
            case core.MigrateClient():
                self.environment.client_migrated(self._end_client(request_id))
            case core.EndClient():
                self.environment.client_broken(self._end_client(request_id))
            case core.EndUpstream():
                self._end_client(request_id)

    def _remember_log_line(self, text: str) -> None:
        if len(self.log_lines) < MAX_LOG_LINES:
            self.log_lines.append(text)

    def first_line_received(self, client: SimulatedClient, time_budget_us: int) -> None:
        """A client's request has arrived. The client is registered first, as commands may name it at once."""
        flags = 0
        if client.has_returned:
            flags |= RequestFlag.RETURNED
        if client.retries_made:
            flags |= RequestFlag.CLIENT_RETRY
        request = RequestArrived(
            0,
            client.request_class,
            key=client.key,
            time_budget_us=time_budget_us,
            group=client.group,
            flags=flags,
        )
        client.request_id = self.engine.last_request_id + 1
        self.clients[client.request_id] = client
        label = f"{client.request_number:x}"
        self.notify_engine(lambda now_us: self.engine.request_opened(request, "", now_us, label))

    def client_disconnected(self, client: SimulatedClient) -> None:
        """The client has closed its connection without a reset."""
        request_id = client.request_id
        if request_id in self.clients:
            self.notify_engine(lambda now_us: self.engine.client_disconnected(request_id, False, now_us))

    def _send_final_answer(self, request_id: int, answer: str, retry_after_us: int) -> None:
        self.environment.client_answered(self.clients.pop(request_id), answer, retry_after_us)

    def _start_forwarding(self, request_id: int) -> None:
        client = self.clients[request_id]
        client.is_established = True
        self.environment.client_answered(client, "up", 0)

    def _end_client(self, request_id: int) -> SimulatedClient:
        client = self.clients.pop(request_id)
        self.upstreams.finish_all(client)
        return client

    def _close_upstream(self, command: core.CloseUpstream) -> None:
        client = self.clients.get(command.request_id)
        if client is not None:
            self.upstreams.finish(client.attempts[command.attempt])

    def _start_load_probe(self, command: core.StartLoadProbe) -> None:
        environment = self.environment
        backend = environment.backend_at(command.address)
        round_trip_us = 2 * environment.plan.one_way_delay_us
        probe = SimulatedLoadProbe(self, command, backend, environment.clock, round_trip_us)
        if command.races_addresses:
            probe.start_next_address()
        else:
            probe.start(environment.is_partitioned(self.zone, backend))

    def backend_restarted(self, backend: SimulatedBackend) -> None:
        """Reset every connection to a backend whose process has ended."""
        for client in list(self.clients.values()):
            for attempt in list(client.attempts.values()):
                if attempt.backend is backend and not attempt.is_over:
                    self.upstreams.reset(attempt)
