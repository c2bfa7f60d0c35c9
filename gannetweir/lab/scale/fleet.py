"""The parent of a hollow fleet: its processes, its relays, and what is asked of them."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import anyio

from gannetweir.lab.scale.child import Child, Usage
from gannetweir.lab.scale.distribution import Distribution, Store
from gannetweir.lab.scale.distributions import FACTORIES
from gannetweir.lab.scale.fleet_experiment import REGISTRY_MODES, FleetExperiment
from gannetweir.lab.scale.messages import (
    AskInForce,
    AskRecords,
    Configure,
    InForce,
    Message,
    Records,
    RelayRecord,
    RestartRelays,
    StartRelays,
)
from gannetweir.lab.scale.true_relay import TrueRelays, platform_settings

POLL_S = 0.1  # between two looks at how many relays have a version
# Of the first lists that one host waits for at once: more would delay one another. A control machine sends
# each relay 7.5 KB a second, so that a wave waits for bytes and not for the processor: more at once.
WAVE_LIST_ENTRIES = {"direct": 24_000, "control": 48_000}


class Fleet:
    """Hosts with hollow relays, the servers of a distribution, and true relays beside them."""

    def __init__(self, experiment: FleetExperiment, relays: int, backends: int) -> None:
        self.experiment, self.relays = experiment, relays
        self.store = Store(experiment.zones)
        self.store.fill(backends)
        distribution = experiment.distribution
        self.settings = platform_settings(
            relays, experiment.zones, experiment.ask_within_s, REGISTRY_MODES[distribution]
        )
        self.distribution: Distribution = FACTORIES[distribution](self.store, experiment, self.settings)
        self.hosts: list[Child] = []
        self.true_relays: TrueRelays | None = None
        self.epoch_ns = time.monotonic_ns()
        self.initial_host_usage: list[Usage] = []  # of the hosts, before they had any relay

    def current_second(self) -> int:
        """Whole seconds since the epoch of the byte counts."""
        return (time.monotonic_ns() - self.epoch_ns) // 1_000_000_000

    def relays_of_host(self, host: int) -> list[int]:
        """The relays of one host. The relays of a zone are spread over all hosts."""
        return list(range(host, self.relays, len(self.hosts)))

    async def start(self) -> None:
        """Servers first, then true relays, then the hollow ones in waves: each has its list at the end."""
        await self.distribution.start()
        self.hosts = [
            Child("gannetweir.lab.scale.skeleton_host")
            for _ in range(min(self.experiment.hosts, self.relays))
        ]
        configuration = Configure(
            self.experiment.distribution,
            self.distribution.servers,
            self.settings,
            self.experiment.zones,
            self.epoch_ns,
        )
        await self.call_all([configuration] * len(self.hosts))
        self.initial_host_usage = self.host_usage()
        wave = max(1, WAVE_LIST_ENTRIES[self.experiment.distribution] // max(1, len(self.store.members)))
        self.true_relays = TrueRelays(self.settings, self.distribution.true_relay_servers)
        await self.call_all([StartRelays(self.relays_of_host(n), wave) for n in range(len(self.hosts))])

    async def call_all(self, messages: Sequence[Message]) -> list[Message]:
        """One command to each host at the same time; their answers."""
        answers: dict[int, Message] = {}

        async def one(n: int) -> None:
            answers[n] = await self.hosts[n].call(messages[n])

        async with anyio.create_task_group() as tasks:
            for n in range(len(messages)):
                tasks.start_soon(one, n)
        return [answers[n] for n in range(len(messages))]

    async def count_in_force(self, version: int) -> int:
        """How many hollow relays have a version or a later one."""
        answers = await self.call_all([AskInForce(version)] * len(self.hosts))
        return sum(answer.count for answer in answers if isinstance(answer, InForce))

    async def wait_in_force(
        self, version: int, within_s: float, report_progress: Callable[[int], None] = lambda _: None
    ) -> bool:
        """Until every hollow relay has a version; False if it takes longer."""
        with anyio.move_on_after(within_s):
            while (count := await self.count_in_force(version)) < self.relays:
                report_progress(count)
                await anyio.sleep(POLL_S)
            return True
        return False

    async def restart(self, relays: Sequence[int], known: bool = False) -> None:
        """Restart these hollow relays at once, without a list or with the one that each had."""
        await self.call_all([RestartRelays(list(relays), known)] * len(self.hosts))

    async def records(self) -> list[RelayRecord]:
        """What was recorded of each hollow relay."""
        answers = await self.call_all([AskRecords()] * len(self.hosts))
        return [record for answer in answers if isinstance(answer, Records) for record in answer.relays]

    def host_usage(self) -> list[Usage]:
        """Of each host."""
        return [host.usage() for host in self.hosts]

    def stop(self) -> None:
        """End every process."""
        for host in self.hosts:
            host.stop()
        self.distribution.stop()
        if self.true_relays is not None:
            self.true_relays.stop()


async def with_fleet(fleet: Fleet, use: Callable[[Fleet], Awaitable[Any]]) -> Any:
    """Start a fleet, use it, and end it whatever happens."""
    try:
        await fleet.start()
        return await use(fleet)
    finally:
        fleet.stop()
