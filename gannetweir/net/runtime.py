"""State that all drivers of a relay share: the engine, the active configuration, tasks and descriptors."""

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
    """The monotonic clock of a relay, in microseconds.

    Deadlines, waits and ages are measured with this clock, because the wall clock may be stepped. The wall
    clock is read only for timestamps of log lines and once at startup, because no other clock shows how long
    ago the endpoints started.
    """

    def __init__(self) -> None:
        self.offset_ns = 0

    def __call__(self) -> int:
        """Return microseconds since a reference point that is fixed for the whole run."""
        return (self.offset_ns + time.monotonic_ns()) // 1000


class EngineTimers:
    """Advances the engine when its next timer is due. `sleep_until` is a time of the relay's clock."""

    def __init__(self, engine: Engine, clock: Callable[[], int]) -> None:
        self.engine, self.clock = engine, clock
        self.wake = anyio.Event()
        self.sleep_until = 0

    def reschedule(self) -> None:
        """Wake the timer task if a timer is now due earlier than the one that the task sleeps for."""
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
    """Implements every protocol of `net.ports`. Only a reload replaces `config`, always completely."""

    def __init__(self, config: Config, clock: Clock, engine: Engine, log: Log, handover: Handover) -> None:
        self.config, self.clock, self.engine, self.log, self.handover = config, clock, engine, log, handover
        self.max_descriptors = max_descriptors(config.limits)
        self.descriptor_count = DescriptorCount(self._report_descriptors)
        self.descriptor_budget = DescriptorBudget(
            self.descriptor_count, handover, engine.counters, lambda: self.config.limits
        )
        self.timers = EngineTimers(engine, clock)
        self.operator_overrides = OverridesSync(self, handover)
        self.tasks: anyio.abc.TaskGroup  # set when the relay starts to run
        self.execute_command: Callable[[Command], None]  # set by `Relay`

    @property
    def settings(self) -> Settings:
        """The active platform settings, including the timing that operators set."""
        return self.config.settings

    @property
    def limits(self) -> Limits:
        """The active limits."""
        return self.config.limits

    @property
    def discovery(self) -> SocketAddress:
        """Address of the discovery service whose endpoint list is watched."""
        return self.config.discovery_address

    @property
    def address_races(self) -> dict[Evictable, None]:
        """Connection races between the addresses of an endpoint, oldest first."""
        return self.descriptor_budget.address_races

    def has_capacity(self) -> bool:
        """Return whether a descriptor is free for another client or attempt."""
        return self.descriptor_budget.has_capacity()

    def apply_config(self, config: Config) -> None:
        """Make this configuration the active one for the drivers. The caller reloads the engine itself."""
        self.config = config
        self.max_descriptors = max_descriptors(config.limits)

    def run_engine_call(self, call: Callable[[*Arguments, int], Result], *arguments: *Arguments) -> Result:
        """Call the engine with the current time as the last argument, then execute its commands."""
        result = call(*arguments, self.clock())
        self.execute_commands()
        return result

    def notify_engine(self, call: Callable[[*Arguments, int], object], *arguments: *Arguments) -> None:
        """Call the engine like `run_engine_call`, for a call that never produces commands."""
        call(*arguments, self.clock())

    def execute_commands(self) -> None:
        """Execute the engine's pending commands in order, including commands added during execution."""
        commands = self.engine.commands
        while commands:
            self.execute_command(commands.popleft())
        self.timers.reschedule()

    def parse_endpoint_address(self, text: str) -> tuple[str, int]:
        """Return the host and port of an endpoint's address.

        Raises `OSError` for an invalid address, so that an attempt treats it as a failed connection.
        """
        try:
            parsed = parse_socket_address(text, "dial")
        except ValueError as error:
            raise OSError(str(error)) from None
        return parsed.host, parsed.port

    def spawn(self, run: Callable[[], Awaitable[object]]) -> None:
        """Start a task in the relay's task group. An exception in it is logged and ends only that task."""
        self.tasks.start_soon(self._run_guarded, run)

    async def _run_guarded(self, run: Callable[[], Awaitable[object]]) -> None:
        with self.guarded():
            await run()

    @contextlib.contextmanager
    def guarded(self) -> Iterator[None]:
        """Count and log any exception of the body, so that a fault in the driver of one connection, in one
        timer or in one signal handler does not end the relay. Cancellation passes through.
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
