"""A process that runs many skeleton relays on one event loop: python -m gannetweir.lab.scale.skeleton_host"""

from __future__ import annotations

import anyio
import anyio.abc
import anyio.lowlevel

from gannetweir.config import parse_settings, parse_socket_address
from gannetweir.config.platform import parse_limits
from gannetweir.lab.scale.link import answer_calls
from gannetweir.lab.scale.membership_drivers import DRIVERS
from gannetweir.lab.scale.messages import (
    AskInForce,
    AskRecords,
    Configure,
    Done,
    InForce,
    Message,
    Records,
    RelayRecord,
    RestartRelays,
    StartRelays,
)
from gannetweir.lab.scale.skeleton_relay import KnownList, SkeletonConfig, SkeletonRelay
from gannetweir.net.runtime import Clock
from gannetweir.placement.settings import Settings


class SkeletonHost:
    """The relays of one process.

    Each relay has its own connection, engine, list and record; the event loop, the settings of a zone and the
    code are shared.
    """

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self.tasks, self.clock = tasks, Clock()
        self.relays: dict[int, SkeletonRelay] = {}
        self.records: dict[int, RelayRecord] = {}
        self.configuration: Configure
        self.settings: list[Settings] = []  # by zone

    async def handle(self, message: Message) -> Message:
        """Execute a command and return its answer. Raises `ValueError` for an unknown command."""
        if isinstance(message, Configure):
            self._configure(message)
        elif isinstance(message, StartRelays):
            await self._start_in_waves(message.relays, message.wave)
        elif isinstance(message, RestartRelays):
            local_relays = [relay for relay in message.relays if relay in self.relays]
            for relay in local_relays:
                previous = self.relays[relay]
                previous.stop()
                self._start(relay, previous.known() if message.known else None)
            # This lets the new relays start before the next command may stop them.
            await anyio.lowlevel.checkpoint()
        elif isinstance(message, AskInForce):
            return InForce(sum(r.version() >= message.version for r in self.relays.values()))
        elif isinstance(message, AskRecords):
            return Records(list(self.records.values()))
        else:
            raise ValueError(f"a host process got an unknown command: {type(message).__name__}")
        return Done()

    def _configure(self, configuration: Configure) -> None:
        self.configuration = configuration
        without_zone = parse_settings(configuration.settings)
        self.settings = [
            parse_settings({**configuration.settings, "zone": n}) for n in range(configuration.zones)
        ] or [without_zone]

    def _start(self, relay: int, known: KnownList | None = None) -> SkeletonRelay:
        settings = self.settings[relay % len(self.settings)]
        config = SkeletonConfig(
            settings,
            parse_limits(None, settings),
            seed=relay + 1,
            servers=tuple(parse_socket_address(server, "server") for server in self.configuration.servers),
            epoch_ns=self.configuration.epoch_ns,
            known=known,
        )
        record = self.records.setdefault(relay, RelayRecord(relay))
        skeleton = SkeletonRelay(config, self.clock, record, DRIVERS[self.configuration.distribution])
        self.relays[relay] = skeleton
        self.tasks.start_soon(skeleton.run)
        return skeleton

    async def _start_in_waves(self, relays: list[int], wave: int) -> None:
        for begin in range(0, len(relays), wave):
            started = [self._start(relay) for relay in relays[begin : begin + wave]]
            for relay in started:
                await relay.has_list.wait()


async def run() -> None:
    """Serve until the parent is gone."""
    async with anyio.create_task_group() as tasks:
        await answer_calls(SkeletonHost(tasks).handle)
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(run)
