"""What all drivers of one relay share: the engine, the configuration in force, tasks and descriptors."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Awaitable, Callable, Iterator

import anyio
import anyio.abc

from gannetweir.config import Config, SocketAddress, parse_socket_address
from gannetweir.core import Command, Engine
from gannetweir.limits import Limits
from gannetweir.net.descriptors import DescriptorBudget, max_descriptors
from gannetweir.net.operator_overrides import OverridesSync
from gannetweir.net.ports import Arguments, Evictable, Result
from gannetweir.net.transport import DescriptorCount
from gannetweir.observability.logs import Log
from gannetweir.placement.settings import Settings
from gannetweir.process_handover.handover import Handover


class Clock:
    """The clock of a relay: microseconds of the machine's monotonic clock. Every deadline, wait and age is a
    span of real time; the wall clock may be stepped. It is asked at the start alone, where nothing else says
    how old a fleet is, and for the time stamps of log lines.
    """

    def __init__(self) -> None:
        self.offset_ns = 0

    def __call__(self) -> int:
        """Microseconds since a moment that is the same for the whole run."""
        return (self.offset_ns + time.monotonic_ns()) // 1000


class EngineTimers:
    """Wakes the engine when its next timer is due. `sleep_until` is in microseconds of the relay's clock."""

    def __init__(self, engine: Engine, clock: Callable[[], int]) -> None:
        self.engine, self.clock = engine, clock
        self.wake = anyio.Event()
        self.sleep_until = 0

    def reschedule(self) -> None:
        """Wake the task if a timer has been set that is due before the one it sleeps for."""
        if self.engine.next_due() < self.sleep_until:
            self.wake.set()

    async def run(self, advance: Callable[[], None]) -> None:
        """Call `advance` whenever a timer is due, until cancelled. Raises what `advance` raises."""
        while True:
            self.wake = anyio.Event()
            self.sleep_until = self.engine.next_due()
            with anyio.move_on_after(max(0, self.sleep_until - self.clock()) / 1e6):
                await self.wake.wait()
            advance()


class RelayRuntime:
    """Implements every protocol of `net.ports`. `config` is replaced as a whole, by a reload alone."""

    def __init__(self, config: Config, clock: Clock, engine: Engine, log: Log, handover: Handover) -> None:
        self.config, self.clock, self.engine, self.log, self.handover = config, clock, engine, log, handover
        self.max_descriptors = max_descriptors(config.limits)
        self.descriptor_count = DescriptorCount(self._report_descriptors)
        self.descriptor_budget = DescriptorBudget(
            self.descriptor_count, handover, engine.counters, lambda: self.config.limits
        )
        self.timers = EngineTimers(engine, clock)
        self.operator_overrides = OverridesSync(self, handover)
        self.tasks: anyio.abc.TaskGroup  # from the time that the relay runs
        self.execute_command: Callable[[Command], None]  # set by the relay that composes the drivers

    @property
    def settings(self) -> Settings:
        """The platform's settings in force, with the operators' timing in them."""
        return self.config.settings

    @property
    def limits(self) -> Limits:
        """Every size, count and time in force."""
        return self.config.limits

    @property
    def discovery(self) -> SocketAddress:
        """Where the endpoint list is watched."""
        return self.config.discovery_address

    @property
    def address_races(self) -> dict[Evictable, None]:
        """Races between the addresses of an endpoint, oldest first."""
        return self.descriptor_budget.address_races

    def has_capacity(self) -> bool:
        """Whether a descriptor is free for one more client or attempt."""
        return self.descriptor_budget.has_capacity()

    def apply_config(self, config: Config) -> None:
        """From now on this configuration is in force for the drivers; the reload reports it to the engine."""
        self.config = config
        self.max_descriptors = max_descriptors(config.limits)

    def run_engine_call(self, call: Callable[[*Arguments, int], Result], *arguments: *Arguments) -> Result:
        """Call the engine with the present time as the last argument, then execute what it commands."""
        result = call(*arguments, self.clock())
        self.execute_commands()
        return result

    def notify_engine(self, call: Callable[[*Arguments, int], object], *arguments: *Arguments) -> None:
        """The same for a call that never leads to a command."""
        call(*arguments, self.clock())

    def execute_commands(self) -> None:
        """Do what the engine has commanded, in its order; what that leads to comes behind it."""
        commands = self.engine.commands
        while commands:
            self.execute_command(commands.popleft())
        self.timers.reschedule()

    def parse_endpoint_address(self, text: str) -> tuple[str, int]:
        """Host and port of an endpoint. Raises `OSError` for what can't be connected to: to an attempt it is
        a connection that failed.
        """
        try:
            parsed = parse_socket_address(text, "dial")
        except ValueError as error:
            raise OSError(str(error)) from None
        return parsed.host, parsed.port

    def spawn(self, run: Callable[[], Awaitable[object]]) -> None:
        """Start a task in the relay's task group; a fault in it is logged and ends no other task."""
        self.tasks.start_soon(self._run_guarded, run)

    async def _run_guarded(self, run: Callable[[], Awaitable[object]]) -> None:
        with self.guarded():
            await run()

    @contextlib.contextmanager
    def guarded(self) -> Iterator[None]:
        """A fault in one connection's driver, in one timer or in one signal must not end the relay: it is
        counted and logged here. Cancelling passes through.
        """
        try:
            yield
        except Exception as error:  # noqa: BLE001 - guarded edge of a task
            self.engine.counters.add("driver_faults")
            self.log("a driver failed", reason=f"{type(error).__name__}: {error}")

    def _report_descriptors(self, count: int) -> None:
        self.handover.report_descriptor_count(count)
        if count > self.max_descriptors:
            self.engine.guard.check_descriptors(count, self.max_descriptors)
