"""A skeleton relay: the control part of a relay, without a listener, clients or flows.

The membership driver, its protocol, the engine, the decision module, the settings and all timers are those of
`gannetweir serve`; the page of results lists what is left out.
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

from gannetweir import core
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
    """The interface of a driver that keeps a relay's membership up to date."""

    def apply_command(self, command: core.SetEndpointWatch) -> None:
        """Replace the present watch with a new one, or only end the present watch."""


@dataclass(frozen=True, slots=True)
class KnownList:
    """A membership that a relay has: the entries as canonical JSON, by name."""

    version: int
    members: Mapping[str, bytes]


@dataclass(frozen=True, slots=True)
class SkeletonConfig:
    """The configuration of one skeleton relay."""

    settings: Settings
    limits: Limits
    seed: int
    servers: tuple[SocketAddress, ...]  # servers of the membership
    epoch_ns: int
    known: KnownList | None = None  # the list that the relay starts with


class CountedTransport(Transport):
    """A transport that passes the number of received bytes to `count`."""

    def __init__(
        self, sock: socket.socket, limits: Limits, spawn: Spawn, count: Callable[[int], None]
    ) -> None:
        super().__init__(sock, limits, spawn)
        self.count = count

    async def read(self) -> bytes:
        """See `Transport.read`."""
        data = await super().read()
        self.count(len(data))
        return data


class SkeletonRelay:
    """A relay from its start, with or without a list, until `stop`.

    A restart creates another instance with the same record.
    """

    def __init__(
        self,
        config: SkeletonConfig,
        clock: Callable[[], int],
        record: RelayRecord,
        driver: Callable[[SkeletonRelay], MembershipDriver],
    ) -> None:
        self.config, self.clock, self.record = config, clock, record
        self.engine = core.Engine(
            config.settings, config.limits, config.seed, self._initial_membership(), clock()
        )
        # `version` returns the version of which every part is in force, and `known` the list for a restart.
        # A driver that gets a version in parts replaces both.
        self.version: Callable[[], int] = lambda: self.engine.endpoint_list.version
        self.known: Callable[[], KnownList | None] = lambda: None
        self.driver = driver(self)
        self.has_list = anyio.Event()
        self.wake = anyio.Event()
        self.sleep_until = 0
        self.tasks: anyio.abc.TaskGroup  # set by `run`

    def _initial_membership(self) -> MembershipUpdate:
        known = self.config.known
        if known is None:
            return MembershipUpdate(0, True)
        hosts = [orjson.loads(body) for body in known.members.values()]
        return read_cached_membership({"seq": known.version, "hosts": hosts}, self.config.settings)

    # ---- interface for drivers (`net.ports.DriverContext` and `net.endpoint_watch.WatchContext`)

    @property
    def settings(self) -> Settings:
        """The platform's settings."""
        return self.config.settings

    @property
    def limits(self) -> Limits:
        """All limits of sizes, counts and times."""
        return self.config.limits

    @property
    def discovery(self) -> SocketAddress:
        """The address of the server whose membership is watched."""
        return self.config.servers[0]

    def spawn(self, run: Callable[[], Awaitable[Any]]) -> None:
        """Start a task whose exception is recorded and does not end other tasks."""
        self.tasks.start_soon(self._guard, run)

    def run_engine_call(self, call: Callable[[*Arguments, int], Result], *args: *Arguments) -> Result:
        """Call the engine, execute its commands, and return the result of the call."""
        result = call(*args, self.clock())
        self._execute_commands()
        self.note_version()
        return result

    # ---- records

    def received(self, count: int) -> None:
        """Count received bytes in the present second."""
        second = (time.monotonic_ns() - self.config.epoch_ns) // SECOND_NS
        self.record.received[second] = self.record.received.get(second, 0) + count

    def counted_transport(self, sock: socket.socket, limits: Limits, spawn: Spawn) -> Transport:
        """Return a transport for a driver's connection, whose received bytes are counted for this relay."""
        return CountedTransport(sock, limits, spawn, self.received)

    def note_version(self) -> None:
        """Record the version in force, if it differs from the last recorded one."""
        version = self.version()
        if version and (not self.has_list.is_set() or self.record.versions[-1] != version):
            self.record.versions.append(version)
            self.record.applied_ns.append(time.monotonic_ns())
            self.has_list.set()

    # ---- lifecycle

    async def run(self) -> None:
        """Run until `stop`."""
        self.record.started_ns.append(time.monotonic_ns())
        async with anyio.create_task_group() as self.tasks:
            self.tasks.start_soon(self._timers)
            self._execute_commands()
            self.note_version()

    def stop(self) -> None:
        """Stop the relay at once, as SIGKILL would: its connections are closed, and nothing more is sent."""
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
            if isinstance(command, core.SetEndpointWatch):
                self.driver.apply_command(command)
            elif isinstance(command, core.StartLoadProbe):  # there are no backends to probe
                self.record.unsent_probes += 1
            elif isinstance(command, core.WriteLogLine) and command.text.startswith("endpoint watch: "):
                self.record.watch_failures += 1
        if self.engine.next_due() < self.sleep_until:
            self.wake.set()
