"""A hollow relay: the true control part of a relay, without a listener, clients or flows.

The membership driver, its protocol, the engine, the decision module, the settings and all timers are those
that serve; what is left out is said on the page of results.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

import anyio
import anyio.abc
import orjson

from gannetweir import core as e
from gannetweir.config import SocketAddress
from gannetweir.lab.scale.messages import RelayRecord
from gannetweir.limits import Limits
from gannetweir.membership.membership_update import MembershipUpdate
from gannetweir.net.ports import Arguments, Result
from gannetweir.net.transport import Spawn, Transport
from gannetweir.placement.settings import Settings
from gannetweir.proto.endpoint_watch import read_cached_membership

SECOND_NS = 1_000_000_000


class MembershipDriver(Protocol):
    """What brings a relay its membership."""

    def apply_command(self, command: e.SetEndpointWatch) -> None:
        """Start a watch in place of the one before, or only end that."""


@dataclass(frozen=True, slots=True)
class KnownList:
    """A membership as a relay has it: each entry as canonical JSON, by its name."""

    version: int
    members: Mapping[str, bytes]


@dataclass(frozen=True, slots=True)
class SkeletonConfig:
    """What one hollow relay is told."""

    settings: Settings
    limits: Limits
    seed: int
    servers: tuple[SocketAddress, ...]  # that tell the membership
    epoch_ns: int
    known: KnownList | None = None  # what it is started with


class CountedTransport(Transport):
    """A connection whose received bytes are counted."""

    def __init__(
        self, sock: socket.socket, limits: Limits, spawn: Spawn, count: Callable[[int], None]
    ) -> None:
        super().__init__(sock, limits, spawn)
        self.count = count

    async def read(self) -> bytes:
        """As any connection's; see there."""
        data = await super().read()
        self.count(len(data))
        return data


class SkeletonRelay:
    """One life of a relay, from a start without a list until it is stopped. The record outlives it."""

    def __init__(
        self,
        config: SkeletonConfig,
        clock: Callable[[], int],
        record: RelayRecord,
        driver: Callable[[SkeletonRelay], MembershipDriver],
    ) -> None:
        self.config, self.clock, self.record = config, clock, record
        self.engine = e.Engine(
            config.settings, config.limits, config.seed, self._initial_membership(), clock()
        )
        # The version that is in force as a whole, and the list that a next start may be given: a driver that
        # brings a version in parts sets its own.
        self.version: Callable[[], int] = lambda: self.engine.endpoint_list.version
        self.known: Callable[[], KnownList | None] = lambda: None
        self.driver = driver(self)
        self.has_list = anyio.Event()  # it has a list
        self.wake = anyio.Event()
        self.sleep_until = 0
        self.tasks: anyio.abc.TaskGroup  # from `run` on

    def _initial_membership(self) -> MembershipUpdate:
        known = self.config.known
        if known is None:
            return MembershipUpdate(0, True)
        hosts = [orjson.loads(body) for body in known.members.values()]
        return read_cached_membership({"seq": known.version, "hosts": hosts}, self.config.settings)

    # ---- what a driver may know of a relay (`net.host.Host` and `net.pool_watch.Watcher`)

    @property
    def settings(self) -> Settings:
        """The platform's."""
        return self.config.settings

    @property
    def limits(self) -> Limits:
        """Every size, count and time."""
        return self.config.limits

    @property
    def discovery(self) -> SocketAddress:
        """Where the membership is watched."""
        return self.config.servers[0]

    def spawn(self, run: Callable[[], Awaitable[Any]]) -> None:
        """Start a task that can't take the others down."""
        self.tasks.start_soon(self._guard, run)

    def run_engine_call(self, call: Callable[[*Arguments, int], Result], *args: *Arguments) -> Result:
        """Tell the engine something and do what it commands."""
        result = call(*args, self.clock())
        self._execute_commands()
        self.note_version()
        return result

    # ---- what is recorded

    def received(self, count: int) -> None:
        """So many bytes have come."""
        second = (time.monotonic_ns() - self.config.epoch_ns) // SECOND_NS
        self.record.received[second] = self.record.received.get(second, 0) + count

    def counted_transport(self, sock: socket.socket, limits: Limits, spawn: Spawn) -> Transport:
        """For a driver: a connection whose bytes are counted as this relay's."""
        return CountedTransport(sock, limits, spawn, self.received)

    def note_version(self) -> None:
        """Record the version that is in force, if it is another than before."""
        version = self.version()
        if version and (not self.has_list.is_set() or self.record.versions[-1] != version):
            self.record.versions.append(version)
            self.record.applied_ns.append(time.monotonic_ns())
            self.has_list.set()

    # ---- the life of it

    async def run(self) -> None:
        """Until `stop`."""
        self.record.started_ns.append(time.monotonic_ns())
        async with anyio.create_task_group() as self.tasks:
            self.tasks.start_soon(self._timers)
            self._execute_commands()
            self.note_version()

    def stop(self) -> None:
        """End it at once, as SIGKILL would: its connections are closed by the host's kernel."""
        self.tasks.cancel_scope.cancel()

    async def _guard(self, run: Callable[[], Awaitable[Any]]) -> None:
        try:
            await run()
        except Exception as error:  # noqa: BLE001 - guarded edge of a task
            self.record.faults.append(f"{type(error).__name__}: {error}")

    async def _timers(self) -> None:
        while True:
            self.wake = anyio.Event()
            self.sleep_until = self.engine.next_due()
            with anyio.move_on_after(max(0, self.sleep_until - self.clock()) / 1e6):
                await self.wake.wait()
            self.run_engine_call(self.engine.advance)

    def _execute_commands(self) -> None:
        commands = self.engine.commands
        while commands:
            command = commands.popleft()
            if isinstance(command, e.SetEndpointWatch):
                self.driver.apply_command(command)
            elif isinstance(command, e.StartLoadProbe):  # there is nothing to probe
                self.record.unsent_probes += 1
            elif isinstance(command, e.WriteLogLine) and command.text.startswith("endpoint watch: "):
                self.record.watch_failures += 1
        if self.engine.next_due() < self.sleep_until:
            self.wake.set()
