"""The parent process of a skeleton fleet: starts, commands and stops the processes of its relays and servers.

A skeleton relay is called hollow in the experiments and on the pages of results.
"""

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

POLL_S = 0.1  # interval between two counts of the relays that have a version
# Size of a wave, in list entries that one host waits for at once: the relays of larger waves would delay one
# another. Waves of the control plane are larger, since a control machine sends each relay 7.5 KB a second:
# they are limited by that rate and not by the processor.
WAVE_LIST_ENTRIES = {"direct": 24_000, "control": 48_000}


class Fleet:
    """Host processes with skeleton relays, the servers of a distribution, and true relays for comparison.

    Hosts are started by `start`; `stop` ends every process.
    """

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
        # Usage of each host process before it had any relay, the baseline for the memory of relays.
        self.initial_host_usage: list[Usage] = []

    def current_second(self) -> int:
        """Return the number of full seconds since the epoch of the byte counts."""
        return (time.monotonic_ns() - self.epoch_ns) // 1_000_000_000

    def relays_of_host(self, host: int) -> list[int]:
        """Return the numbers of the relays of one host; each zone's relays are spread over all hosts."""
        return list(range(host, self.relays, len(self.hosts)))

    async def start(self) -> None:
        """Start the servers, then the true relays, then the skeleton relays in waves.

        When it returns, every skeleton relay has its list.
        """
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
        """Send one command to each host concurrently; return the answers in the order of the hosts."""
        answers: dict[int, Message] = {}

        async def call(n: int) -> None:
            answers[n] = await self.hosts[n].call(messages[n])

        async with anyio.create_task_group() as tasks:
            for n in range(len(messages)):
                tasks.start_soon(call, n)
        return [answers[n] for n in range(len(messages))]

    async def count_in_force(self, version: int) -> int:
        """Return the number of skeleton relays that have this version or a later one."""
        answers = await self.call_all([AskInForce(version)] * len(self.hosts))
        return sum(answer.count for answer in answers if isinstance(answer, InForce))

    async def wait_in_force(
        self, version: int, within_s: float, report_progress: Callable[[int], None] = lambda _: None
    ) -> bool:
        """Wait until every skeleton relay has this version; return False after `within_s`.

        `report_progress` is called with the count of each poll that was too low.
        """
        with anyio.move_on_after(within_s):
            while (count := await self.count_in_force(version)) < self.relays:
                report_progress(count)
                await anyio.sleep(POLL_S)
            return True
        return False

    async def restart(self, relays: Sequence[int], known: bool = False) -> None:
        """Restart these skeleton relays at once, without a list or, if `known`, with their last lists."""
        await self.call_all([RestartRelays(list(relays), known)] * len(self.hosts))

    async def records(self) -> list[RelayRecord]:
        """Return the record of each skeleton relay."""
        answers = await self.call_all([AskRecords()] * len(self.hosts))
        return [record for answer in answers if isinstance(answer, Records) for record in answer.relays]

    def host_usage(self) -> list[Usage]:
        """Return the usage of each host process."""
        return [host.usage() for host in self.hosts]

    def stop(self) -> None:
        """Stop every process of the fleet."""
        for host in self.hosts:
            host.stop()
        self.distribution.stop()
        if self.true_relays is not None:
            self.true_relays.stop()


async def with_fleet(fleet: Fleet, use: Callable[[Fleet], Awaitable[Any]]) -> Any:
    """Start a fleet, return the result of `use`, and stop the fleet also after an exception."""
    try:
        await fleet.start()
        return await use(fleet)
    finally:
        fleet.stop()
