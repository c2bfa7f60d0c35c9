"""The relay process: composes the engine, its drivers and the task group that owns their tasks."""

from __future__ import annotations

import contextlib
import signal
import socket
import time
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

import anyio

from gannetweir.config import Config, ConfigError
from gannetweir.core import Engine, EngineOptions
from gannetweir.net.client_registry import ClientRegistry
from gannetweir.net.command_execution import CommandExecutor
from gannetweir.net.configuration_reload import (
    ConfigurationReload,
    make_route_admission,
    within_descriptor_limit,
    within_memory_limit,
)
from gannetweir.net.endpoint_watch import EndpointWatchDriver
from gannetweir.net.errors import MAX_BACKOFF_S, is_shortage
from gannetweir.net.listener import LISTEN_TIMEOUT_S, ClientListener, open_listener
from gannetweir.net.process_memory import memory_without_clients_bytes
from gannetweir.net.runtime import Clock, RelayRuntime
from gannetweir.net.shutdown import GracefulShutdown
from gannetweir.net.signals import handled_signals
from gannetweir.observability.logs import FORMS, PLAIN, Log
from gannetweir.observability.standard_error import standard_error
from gannetweir.process_handover.handover import Handover
from gannetweir.proto.endpoint_watch import read_cached_membership

if TYPE_CHECKING:
    from gannetweir.net.admin import AdminListener
    from gannetweir.observability.trace import Trace

# Until an endpoint is ready, a process with an inherited listener checks at this interval and accepts
# nothing.
READY_POLL_INTERVAL_S = 0.02


class Relay:
    """A relay that runs until the drain that SIGTERM starts has ended.

    `reread_config` returns the configuration to activate at SIGHUP.
    """

    def __init__(
        self,
        config: Config,
        reread_config: Callable[[Config], Config] | None = None,
        log_form: str = PLAIN,
        traced: bool = False,
    ) -> None:
        config, clock = within_descriptor_limit(config), Clock()
        listen = config.listen_address
        self.handover = Handover(config.shared_folder, f"{config.name}-{listen.host}-{listen.port}")
        self.engine = _make_engine(config, clock, self.handover, traced)
        self.standard_error = standard_error()
        count_dropped = partial(self.engine.counters.add, "log_lines_dropped")
        log = Log(
            config.name, config.limits.log_lines_per_s, log_form, self.standard_error, on_drop=count_dropped
        )
        self.runtime = RelayRuntime(config, clock, self.engine, log, self.handover)
        self.clients = ClientRegistry(self.runtime)
        self.endpoint_watch = EndpointWatchDriver(self.runtime)
        self.shutdown = GracefulShutdown(self.runtime, self.clients)
        self.configuration = ConfigurationReload(
            self.runtime, self.clients, self.endpoint_watch, reread_config
        )
        self.runtime.execute_command = CommandExecutor(
            self.runtime, self.clients, self.endpoint_watch, self.shutdown
        ).execute
        self.listener: ClientListener  # set by `run`
        self.started = False  # True once the event loop runs

    def not_ready_reason(self) -> str:
        """Return why a new client would not be served now, or an empty string if it would be served."""
        if self.engine.is_draining:
            return "draining"
        if not self.listener.accepting:
            return "starting"
        return "" if self.engine.is_ready() else "no backend in use"

    def print_counters(self) -> None:
        """Write the counters and the current gauges as one line to standard error."""
        descriptors = self.runtime.descriptor_count
        figures = {
            "clients": self.clients.open_count,
            "descriptors": descriptors.open,
            "descriptors_peak": descriptors.peak,
        }
        line = self.engine.counters.to_json(**figures, **self.engine.current_figures())
        with contextlib.suppress(OSError):  # a closed standard error must not stop the relay
            self.standard_error.write(f"{line}\n")
            self.standard_error.flush()

    async def run(self) -> None:
        """Serve until the drain is over. Raises `OSError` if an address is not free for listening in time.

        On return and on cancellation the listeners are closed, this process is removed from the shared folder
        and the counters are printed. The drivers close the client connections.
        """
        self.started = True
        inherited = self.runtime.config.inherited_listener_fd is not None
        self.listener = self.shutdown.listener = ClientListener(
            self.runtime, self.clients.accept, self._open_socket(), inherited
        )
        try:
            await self._run_tasks()
        finally:
            self.listener.close()
            self.handover.close()
            self.print_counters()

    async def _run_tasks(self) -> None:
        admin = self._open_admin_listener()
        async with anyio.create_task_group() as tasks:
            self.runtime.tasks = tasks
            tasks.start_soon(self._handle_signals)
            tasks.start_soon(self.runtime.timers.run, self._advance)
            tasks.start_soon(self._accept_clients)
            if admin is not None:
                tasks.start_soon(admin.run)
            if self.handover.folder is not None:
                tasks.start_soon(self.runtime.operator_overrides.poll)
            self.runtime.execute_commands()  # commands that the engine issued before the tasks could run

    def _open_admin_listener(self) -> AdminListener | None:
        address = self.runtime.config.admin_address
        if address is None:
            return None
        from gannetweir.net.admin import AdminListener, RelayOperations  # loaded only if configured

        operations = RelayOperations(
            self.engine, self.not_ready_reason, self.runtime.operator_overrides.override_endpoint
        )
        return AdminListener(self.runtime, operations, address)

    def _open_socket(self) -> socket.socket:
        config = self.runtime.config
        if config.inherited_listener_fd is None:
            return open_listener(config.listen_address, config.limits)
        # The platform owns the inherited listener and other processes share it, so this process neither binds
        # it nor shuts it down.
        sock = socket.socket(fileno=config.inherited_listener_fd)
        sock.setblocking(False)
        return sock

    async def _handle_signals(self) -> None:
        with handled_signals() as signals:
            async for number in signals:
                with self.runtime.guarded():
                    self._handle_signal(number)

    def _handle_signal(self, number: signal.Signals) -> None:
        if number == signal.SIGUSR1:
            self.print_counters()
        elif number == signal.SIGHUP:
            self.configuration.reload()
        else:
            self.shutdown.drain()

    def _advance(self) -> None:
        with self.runtime.guarded():
            self.runtime.run_engine_call(self.engine.advance)

    async def _accept_clients(self) -> None:
        # Until an endpoint is ready, clients are better served by the other process, or wait in the shared
        # accept queue.
        while self.listener.inherited and not self.engine.endpoint_list.has_ready_endpoint():
            await anyio.sleep(READY_POLL_INTERVAL_S)
        if not (self.engine.is_draining and self.listener.inherited):
            await self.listener.run()


def _make_engine(config: Config, clock: Clock, handover: Handover, traced: bool) -> Engine:
    membership = read_cached_membership(config.known_endpoints, config.settings)
    trace = _make_trace(config) if traced else None
    return Engine(
        config.settings,
        config.limits,
        config.seed,
        membership,
        clock(),
        EngineOptions(
            operator_overrides=handover.overrides,
            replaces_process=bool(handover.peers),
            route_admission=make_route_admission(config, None),
            address_rules=config.address_rules,
            placement_trace=trace,
            request_trace=trace.record_request if trace is not None else None,
            wall_clock_offset_us=time.time_ns() // 1000 - clock(),
            shared_executions=handover.executed_requests,
        ),
    )


def _make_trace(config: Config) -> Trace:
    from gannetweir.observability.trace import Trace  # loaded only if tracing is enabled

    return Trace(config.name, config.settings, standard_error())


def serve(
    config: Config,
    reread_config: Callable[[Config], Config] | None = None,
    log_form: str = PLAIN,
    traced: bool = False,
) -> None:
    """Run one relay in this process until it has drained.

    `log_form` is one of `logs.FORMS`. `traced` writes every event and action of placement to standard error.
    Raises `ConfigError` for an unknown log form, and `OSError` if an address is not free in time.
    """
    if log_form not in FORMS:
        raise ConfigError(f"--log: {log_form[:40]!r} is not one of {', '.join(FORMS)}")
    config = within_memory_limit(config, memory_without_clients_bytes(config.limits.process_bytes))
    relay = Relay(config, reread_config, log_form, traced)
    deadline_s = time.monotonic() + LISTEN_TIMEOUT_S
    while not relay.started:
        try:
            anyio.run(relay.run)
        except OSError as error:  # creating the event loop fails while no descriptors are free
            if relay.started or not is_shortage(error) or time.monotonic() >= deadline_s:
                raise
            time.sleep(MAX_BACKOFF_S)
