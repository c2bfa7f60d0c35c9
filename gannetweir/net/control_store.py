"""A control machine's copy of the store of record: follows the store, reports to it, and decides.

Two tasks of the `ControlServer` run here. `follow` brings the publishers up to the store's versions and
calls `on_change`; `report` puts the machine's reports, and decides on rollouts while this machine is the
lease holder. While the store can't be reached, the relays go on with what they have, and `last_error` says
why.

The `StoreSync` owns the `ControlMachine`, None until the store was read for the first time.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from contextlib import suppress

import anyio

from gannetweir.control.machine import ControlMachine
from gannetweir.control.publisher import Publisher
from gannetweir.control.rollout import Decision, RolloutCoordinator, Verdict
from gannetweir.control.store import Store
from gannetweir.control.versions import RejectedError, Resource, Version

REPORT_INTERVAL_S = 0.5  # well below the lease's duration and the time a canary stage takes
STORE_RETRY_S = 0.5  # while the store can't be reached
STORE_POLL_S = 5.0  # a change that the store's watch did not bring is found within this
_US_PER_S = 1e6


def monotonic_us() -> int:
    """The event loop's clock, in microseconds, as the deciders of `gannetweir.control` take it."""
    return int(anyio.current_time() * _US_PER_S)


class StoreSync:
    """Keeps a control machine in step with the store of record."""

    def __init__(self, name: str, store: Store, on_change: Callable[[], None]) -> None:
        """`name` is the machine's; `on_change` is called whenever there may be something new for relays."""
        self.name = name
        self.store = store
        self.on_change = on_change
        self.machine: ControlMachine | None = None
        self.coordinator = RolloutCoordinator()
        self.last_error = ""

    async def follow(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                self._sync()
                with anyio.move_on_after(STORE_POLL_S):
                    await self.store.wait_for_change()
            except (OSError, RejectedError) as error:
                self.last_error = str(error)
                await anyio.sleep(STORE_RETRY_S)

    def _sync(self) -> None:
        if self.machine is None:
            self.machine = self._read_machine()
        for publisher in self.machine.publishers.values():
            self._sync_publisher(publisher)
        self.on_change()

    def _read_machine(self) -> ControlMachine:
        snapshots = {resource: self.store.read(resource) for resource in Resource}
        publishers = {
            resource: Publisher(resource, snapshot.version, snapshot.entries)
            for resource, snapshot in snapshots.items()
        }
        return ControlMachine(publishers)

    def _sync_publisher(self, publisher: Publisher) -> None:
        changes = self.store.changes_since(publisher.resource, publisher.newest)
        released = self.store.released_number(publisher.resource)
        try:
            for change in changes or ():
                publisher.publish(change, staged=change.version.number > released)
            publisher.release(released)
        except RejectedError as error:
            self.last_error = str(error)
            changes = None
        if changes is None:  # the store's log does not reach back to this copy, or the copy is wrong
            snapshot = self.store.read(publisher.resource)
            publisher.load(snapshot.version, snapshot.entries)

    async def report(self) -> None:
        """Report to the store, and decide as lease holder, until cancelled."""
        while True:
            await anyio.sleep(REPORT_INTERVAL_S)
            if self.machine is None:
                continue
            try:
                self.store.put_reports(self.name, self.machine.status_reports())
                if self.store.acquire_lease(self.name):
                    self._decide()
            except OSError as error:
                self.last_error = str(error)

    def _decide(self) -> None:
        for decision in self.coordinator.decide(self.store.reports(), monotonic_us()):
            self._carry_out(decision)

    def _carry_out(self, decision: Decision) -> None:
        match decision.verdict:
            case Verdict.RELEASE:
                self.store.release(decision.resource, decision.number)
            case Verdict.HALT:
                self.store.halt(decision.resource, decision.number, decision.reason)
            case Verdict.WAIT:
                pass

    def extend_logs_back(self, machine: ControlMachine, applied: Mapping[Resource, Version]) -> None:
        """Cover the versions that a relay has applied, where this machine started after them.

        The store is asked once for each such version: complete lists for all relays would take far longer.
        Where it can't be reached, the relay gets a snapshot.
        """
        for resource, publisher in machine.publishers.items():
            version = applied.get(resource)
            if version is None or not publisher.history.is_compacted(version):
                continue
            with suppress(OSError):
                publisher.history.extend_back(version, self.store.changes_since(resource, version) or ())
