"""One relay: the engine, its drivers, and the task group that holds them all."""

from __future__ import annotations

import contextlib
import resource
import signal
import socket
import time
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING, Any

import anyio
import anyio.abc
import anyio.lowlevel

from gannetweir import core as e
from gannetweir.config import Config, ConfigError, SocketAddress, parse_socket_address
from gannetweir.limits import Limits
from gannetweir.net.admin import AdminListener
from gannetweir.net.client_connection import ClientConnectionDriver
from gannetweir.net.descriptors import DescriptorBudget
from gannetweir.net.endpoint_watch import EndpointWatchDriver
from gannetweir.net.errors import MAX_BACKOFF_S, is_shortage
from gannetweir.net.listener import LISTEN_TIMEOUT_S, ClientListener, open_listener
from gannetweir.net.load_probes import run_probe
from gannetweir.net.ports import Evictable
from gannetweir.net.signals import handled_signals
from gannetweir.net.transport import DescriptorCount, Transport, set_low_latency
from gannetweir.observability.logs import FORMS, PLAIN, Log
from gannetweir.observability.standard_error import standard_error
from gannetweir.placement.settings import Settings
from gannetweir.process_handover.handover import Handover
from gannetweir.proto.client_connection import FirstLine, rejection_line
from gannetweir.proto.endpoint_watch import read_cached_membership

if TYPE_CHECKING:
    from gannetweir.observability.trace import Trace
    from gannetweir.routing.route_admission import RouteAdmission


class Clock:
    """The clock of a relay: microseconds of the machine's monotonic clock. Every deadline, wait and age is a
    span of real time; the wall clock may be stepped. It is asked at the start alone, where nothing else tells
    the ages of a fleet, and for the time stamps of log lines.
    """

    def __init__(self) -> None:
        self.offset_ns = 0  # nanoseconds that are added

    def __call__(self) -> int:
        return (self.offset_ns + time.monotonic_ns()) // 1000


class Relay:
    """Runs until SIGTERM and the drain after it. `read_again` reads the configuration anew at SIGHUP."""

    def __init__(
        self,
        config: Config,
        read_again: Callable[[Config], Config] | None = None,
        log_form: str = PLAIN,
        traced: bool = False,
    ) -> None:
        config = _within_descriptors(config)
        self.config, self.clock, self.reread_config = config, Clock(), read_again
        self.handover = Handover(
            config.shared_folder, f"{config.name}-{config.listen_address.host}-{config.listen_address.port}"
        )
        known = read_cached_membership(config.known_endpoints, config.settings)
        trace = _trace(config) if traced else None
        self.engine = e.Engine(
            config.settings,
            config.limits,
            config.seed,
            known,
            self.clock(),
            operator_overrides=self.handover.overrides,
            replaces_process=bool(self.handover.peers),
            route_admission=_keeper(config, None),
            address_rules=config.address_rules,
            trace=trace,
            request_trace=trace.request if trace is not None else None,
            wall_clock_ahead_us=time.time_ns() // 1000 - self.clock(),
        )
        dropped = partial(self.engine.counters.add, "log_lines_dropped")
        self.standard_error = standard_error()
        self.log = Log(config.name, config.limits.log_lines, log_form, self.standard_error, dropped=dropped)
        self.class_index_by_name = _told(config.settings)
        self.clients_by_request: dict[int, ClientConnectionDriver] = {}  # by transaction
        self.open_clients = 0
        self.max_descriptors = _most_held(config.limits)
        self.descriptor_count = DescriptorCount(self._report_descriptors)
        self.descriptor_budget = DescriptorBudget(
            self.descriptor_count, self.handover, self.engine.counters, lambda: self.config.limits
        )
        self.discard_buffer = bytearray(config.limits.waste_bytes)
        self.endpoint_watch = EndpointWatchDriver(self)
        self.tasks: anyio.abc.TaskGroup
        self.wake = anyio.Event()
        self.sleep_until = 0
        self.listener: ClientListener
        self.client_removed = anyio.Event()  # a client's connection is over
        self.is_shutting_down = False
        self.started = False  # the loop runs
        self.on: dict[type, Callable[[Any], None]] = {
            e.OpenUpstream: lambda c: self._at(c, lambda s: s.open_upstream(c)),
            e.CloseUpstream: lambda c: self._at(c, lambda s: s.close_upstream()),
            e.StartForwarding: lambda c: self._at(c, lambda s: s.start_forwarding()),
            e.RejectClient: lambda c: self._last(c, lambda s: s.end_rejected(c.retry_after_us)),
            e.FailClient: lambda c: self._last(c, lambda s: s.end_failed()),
            e.MigrateClient: lambda c: self._last(c, lambda s: s.end_migrated()),
            e.EndClient: lambda c: self._last(c, lambda s: s.end_as_upstream(c.reset)),
            e.EndUpstream: lambda c: self._last(c, lambda s: s.end_upstream(c.reset)),
            e.StartLoadProbe: lambda c: self.spawn(partial(run_probe, self, c)),
            e.SetEndpointWatch: self.endpoint_watch.apply_command,
            e.WriteLogLine: lambda c: self.log(c.text, **c.fields),
            e.Exit: lambda c: self.shut_down(),
        }

    # ---- what the drivers may know; a reload replaces it, so none of them keeps it

    @property
    def settings(self) -> Settings:
        """The platform's, with the operators' timing in them."""
        return self.config.settings

    @property
    def limits(self) -> Limits:
        """Every size, count and time."""
        return self.config.limits

    @property
    def discovery(self) -> SocketAddress:
        """Where the pool is watched."""
        return self.config.discovery_address

    @property
    def address_races(self) -> dict[Evictable, None]:
        """Races between the addresses of a server, oldest first."""
        return self.descriptor_budget.address_races

    def has_capacity(self) -> bool:
        """Is a descriptor free for one more client or attempt?"""
        return self.descriptor_budget.has_capacity()

    # ---- the engine's turn

    def run_engine_call(self, call: Callable[..., Any], *args: Any) -> Any:
        """Tell the engine something and do what it commands."""
        result = call(*args, self.clock())
        self.execute_commands()
        return result

    def notify_engine(self, call: Callable[..., Any], *args: Any) -> None:
        """The same for what never leads to a command."""
        call(*args, self.clock())

    def execute_commands(self) -> None:
        """Do what the engine has commanded, in its order."""
        commands = self.engine.commands
        while commands:
            command = commands.popleft()
            self.on[type(command)](command)
        if self.engine.next_due() < self.sleep_until:
            self.wake.set()

    def _at(self, command: Any, do: Callable[[ClientConnectionDriver], None]) -> None:
        session = self.clients_by_request.get(command.request_id)
        if session is not None:
            do(session)

    def _last(self, command: Any, do: Callable[[ClientConnectionDriver], None]) -> None:
        """The engine has ended this transaction."""
        session = self.clients_by_request.pop(command.request_id, None)
        if session is not None:
            do(session)

    def open_request(self, session: ClientConnectionDriver, first: FirstLine) -> None:
        """A client's first line is in. Its number must be known before the engine's commands are done."""
        self.descriptor_budget.note_request(session)
        session.request_id = self.engine.request_opened(
            first.request, first.current_endpoint, self.clock(), first.client_id
        )
        if session.request_id:
            self.clients_by_request[session.request_id] = session
        else:  # another client's open request has this id, and must not hear of it
            session.end_failed()
        self.execute_commands()

    def remove_client(self, session: ClientConnectionDriver) -> None:
        """A client's connection is over."""
        self.open_clients -= 1
        self.client_removed.set()
        self.clients_by_request.pop(session.request_id, None)
        self.descriptor_budget.remove(session)

    def _report_descriptors(self, count: int) -> None:
        self.handover.report_descriptor_count(count)
        if count > self.max_descriptors:
            self.engine.guard.check_descriptors(count, self.max_descriptors)

    # ---- the operators

    def not_ready_reason(self) -> str:
        """Why a client would not be served here now; nothing if it would."""
        if self.engine.is_draining:
            return "draining"
        if not self.listener.accepting:
            return "starting"
        return "" if self.engine.is_ready() else "no backend in use"

    def override_endpoint(self, server: str, out: bool) -> None:
        """Holds for every process of this relay, and for those to come, before it is answered."""
        self.handover.set_override(server, out, self.clock())
        self.refresh_operator_overrides()

    def refresh_operator_overrides(self) -> None:
        """Take over what was called at this door or at the other process's."""
        self.handover.refresh_overrides()
        if self.handover.overrides != self.engine.endpoint_list.overrides:
            self.log(f"out by hand: {', '.join(sorted(map(str, self.handover.overrides.offline))) or 'none'}")
            self.run_engine_call(self.engine.apply_operator_overrides, self.handover.overrides)

    async def _poll_operator_overrides(self) -> None:
        while True:
            await anyio.sleep(self.config.limits.handover_us / 1e6)
            try:
                self.handover.refresh_peers()
            except OSError as error:  # the folder is gone, or may not be read
                self.log(f"handover: {error.strerror}")
            self.refresh_operator_overrides()

    # ---- for the drivers

    def dial(self, text: str) -> tuple[str, int]:
        """A backend's address, or `OSError`: what can't be reached is a connection that failed."""
        try:
            at = parse_socket_address(text, "dial")
        except ValueError as error:
            raise OSError(str(error)) from None
        return at.host, at.port

    def spawn(self, run: Callable[[], Awaitable[Any]]) -> None:
        """Start a task that can't take the others down."""
        self.tasks.start_soon(self._run_guarded, run)

    async def _run_guarded(self, run: Callable[[], Awaitable[Any]]) -> None:
        with self._guarded():
            await run()

    @contextlib.contextmanager
    def _guarded(self) -> Iterator[None]:
        """A fault in one connection's driver, in one timer or in one signal must not end the relay."""
        try:
            yield
        except Exception as error:
            self.engine.counters.add("driver_faults")
            self.log("a driver failed", reason=f"{type(error).__name__}: {error}")

    def print_counters(self) -> None:
        """The counters and the figures of this moment."""
        figures = {"clients": self.open_clients, "descriptors": self.descriptor_count.open}
        figures["descriptors_most"] = self.descriptor_count.peak
        line = self.engine.counters.line(**figures, **self.engine.current_figures())
        with contextlib.suppress(OSError):  # nobody reads them any more: no reason to fail
            self.standard_error.write(f"{line}\n")
            self.standard_error.flush()

    def reload(self) -> None:
        """Take the new configuration whole, or keep the old one whole."""
        try:
            config = self.reread_config(self.config) if self.reread_config is not None else self.config
            config = _within_descriptors(config)
        except (ValueError, OverflowError) as error:  # `ConfigError` is one
            self.engine.counters.add("reload_failures")
            for line in str(error).splitlines():
                self.log(f"reload: {line}; the old configuration stays")
            return
        old = self.config
        if (config.name, config.listen_address, config.admin_address) != (
            old.name,
            old.listen_address,
            old.admin_address,
        ):
            self.log("reload: another name, listen or admin address needs a restart; they stay")
        # a client whose first line is still to come is read by the new classes
        self.config = replace(
            config, name=old.name, listen_address=old.listen_address, admin_address=old.admin_address
        )
        self.max_descriptors = _most_held(config.limits)
        self.class_index_by_name = _told(config.settings)
        keeper = _keeper(config, self.engine.route_admission)
        new = config.settings, config.limits
        self.run_engine_call(lambda now_us: self.engine.reload(*new, now_us, keeper, config.address_rules))
        if config.discovery_address != old.discovery_address:
            self.endpoint_watch.change_discovery()
        self.log(
            f"reload: done, discovery at {config.discovery_address.host}:{config.discovery_address.port}"
        )

    # ---- the tasks

    async def run(self) -> None:
        """Serve until the drain is over."""
        self.started = True
        inherited = self.config.inherited_listener_fd is not None
        self.listener = ClientListener(self, self._listen(), inherited)
        try:
            door = AdminListener(self, self.config.admin_address) if self.config.admin_address else None
            async with anyio.create_task_group() as self.tasks:
                self.tasks.start_soon(self._signals)
                self.tasks.start_soon(self._timers)
                self.tasks.start_soon(self._accept)
                if door is not None:
                    self.tasks.start_soon(door.run)
                if self.handover.folder is not None:
                    self.tasks.start_soon(self._poll_operator_overrides)
                self.execute_commands()
        finally:
            self.listener.close()
            self.handover.close()
            self.print_counters()

    def _listen(self) -> socket.socket:
        if self.config.inherited_listener_fd is None:
            return open_listener(self.config.listen_address, self.config.limits)
        # The platform holds this one and other processes share it: it is neither bound nor shut down here.
        sock = socket.socket(fileno=self.config.inherited_listener_fd)
        sock.setblocking(False)
        return sock

    async def _signals(self) -> None:
        with handled_signals() as signals:
            async for number in signals:
                with self._guarded():
                    if number == signal.SIGUSR1:
                        self.print_counters()
                    elif number == signal.SIGHUP:  # without a handler it would end the process
                        self.reload()
                    else:
                        self.drain()

    def drain(self) -> None:
        """SIGTERM. Where the platform holds the listener no client is lost by not accepting it here: the
        process that replaces this one does. Elsewhere the front still sends clients for a while.
        """
        replaced = self.config.inherited_listener_fd is not None
        if replaced:
            self.listener.stop()
        self.run_engine_call(lambda now_us: self.engine.drain(now_us, replaced))

    async def _timers(self) -> None:
        while True:
            self.wake = anyio.Event()
            self.sleep_until = self.engine.next_due()
            with anyio.move_on_after(max(0, self.sleep_until - self.clock()) / 1e6):
                await self.wake.wait()
            with self._guarded():
                self.run_engine_call(self.engine.advance)

    async def _accept(self) -> None:
        while self.listener.inherited and not self.engine.endpoint_list.has_ready_endpoint():
            await anyio.sleep(0.02)  # the other process, or the platform's queue, has better use for them
        if not (self.engine.is_draining and self.listener.inherited):
            await self.listener.run()

    def serve_client(self, sock: socket.socket) -> None:
        """A client has been accepted. One past what may be served is read, and its request refused."""
        with self._guarded():
            set_low_latency(sock)
            room = self.descriptor_budget.make_capacity()
            client = Transport(sock, self.config.limits, self.spawn, self.descriptor_count)
            if room:
                self.open_clients += 1
                session = ClientConnectionDriver(self, client)
                self.descriptor_budget.note_accepted(session)
                self.spawn(session.run)
            else:  # before the descriptors run out
                self.engine.counters.add("turned_away")
                client.write(rejection_line(self.config.limits.reject_retry_us))
                client.close_now(self.discard_buffer)

    def shut_down(self) -> None:
        """The drain is over: nothing stands any more, and the last answers are on their way."""
        if not self.is_shutting_down:
            self.is_shutting_down = True
            self.spawn(self._shut_down)

    async def _shut_down(self) -> None:
        """Whoever has not said what it wants is rejected, those in the listener's queue as well: to end the
        process now would reset them, and all that have not read their last answer.
        """
        linger_s = self.limits.linger_us / 1e6
        with anyio.move_on_after(linger_s):
            if not self.listener.inherited:  # else the queue is the next process's
                self.listener.stop()
                await self.listener.stopped.wait()
                await self.listener.drain_accept_queue(linger_s / 2)
                self.listener.close()
            for session in list(self.descriptor_budget.awaiting_first_line):
                session.close_before_request()
            while self.open_clients:
                self.client_removed = anyio.Event()
                await self.client_removed.wait()
        self.tasks.cancel_scope.cancel()


def _most_held(limits: Limits) -> int:
    """What clients and their attempts may hold, with all that is kept for others but the fixed ones."""
    return max(limits.client_sockets, limits.sockets - limits.fixed_sockets)


def _told(settings: Settings) -> dict[str, int]:
    """The classes by the names that clients use; those that routes derived from them have the same names."""
    return {c.name: n for n, c in enumerate(settings.classes) if not c.route}


def _keeper(config: Config, standing: RouteAdmission | None) -> RouteAdmission | None:
    """The keeper of the operators' routes; one that stands goes on: what it has counted still counts."""
    if config.routing_rules is None:
        return None
    from gannetweir.routing.route_admission import RouteAdmission  # only where it is switched on

    if standing is None:
        return RouteAdmission(config.routing_rules, config.settings)
    standing.apply(config.routing_rules, config.settings)
    return standing


def _within_descriptors(config: Config) -> Config:
    """The same, held to the descriptors that this process may have: what is kept for the watch and the probes
    must not lie beyond them.
    """
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if allowed == resource.RLIM_INFINITY or allowed >= config.limits.sockets:
        return config
    return replace(config, limits=replace(config.limits, sockets=allowed))


def _trace(config: Config) -> Trace:
    from gannetweir.observability.trace import Trace  # only where it is switched on

    return Trace(config.name, config.settings, standard_error())


def serve(
    config: Config,
    read_again: Callable[[Config], Config] | None = None,
    log_form: str = PLAIN,
    traced: bool = False,
) -> None:
    """Run one relay in this process until it has drained. `log_form` is one of `logs.FORMS`; `traced` writes
    all that the module hears and answers to standard error.
    """
    if log_form not in FORMS:
        raise ConfigError(f"--log: {log_form[:40]!r} is none of {', '.join(FORMS)}")
    relay = Relay(config, read_again, log_form, traced)
    give_up = time.monotonic() + LISTEN_TIMEOUT_S
    while not relay.started:
        try:
            anyio.run(relay.run)
        except OSError as error:  # the loop itself needs descriptors
            if relay.started or not is_shortage(error) or time.monotonic() >= give_up:
                raise
            time.sleep(MAX_BACKOFF_S)
