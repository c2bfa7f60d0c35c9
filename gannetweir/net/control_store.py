"""A control machine's copy of the store of record: follows the store, reports to it, and decides rollouts.

The `ControlServer` runs two tasks of this module. `follow` updates the publishers to the store's versions and
calls `on_change`; `report` writes the machine's reports, and decides on rollouts while this machine is the
lease holder. While the store can't be reached, the relays keep their applied versions, and `last_error` has
the reason.

The `StoreSync` owns the `ControlMachine`, which is None until the store was first read.
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

# The interval must be well below the duration of the lease and of a canary stage.
REPORT_INTERVAL_S = 0.5
# The delay before the next attempt when the store can't be reached.
STORE_RETRY_S = 0.5
# A change that the store's watch missed is detected within this time.
STORE_POLL_S = 5.0
_US_PER_S = 1e6


def monotonic_us() -> int:
    """Return the time of the event loop's clock in microseconds, as `gannetweir.control` expects it."""
    return int(anyio.current_time() * _US_PER_S)


class StoreSync:
    """Synchronizes a control machine with the store of record."""

    def __init__(self, name: str, store: Store, on_change: Callable[[], None]) -> None:
        """`name` is the machine's name; `on_change` is called after each synchronization with the store."""
        self.name = name
        self.store = store
        self.on_change = on_change
        self.machine: ControlMachine | None = None
        self.coordinator = RolloutCoordinator()
        self.last_error = ""

    async def follow(self) -> None:
        """Synchronize the publishers with the store until cancelled."""
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
        if changes is None:  # the store's log does not cover this copy's version, or the copy is wrong
            snapshot = self.store.read(publisher.resource)
            publisher.load(snapshot.version, snapshot.entries)

    async def report(self) -> None:
        """Report to the store, and decide on rollouts as lease holder, until cancelled."""
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
        """Extend the publishers' logs back to the versions that a relay has applied.

        This is needed where the machine started at a later version. The store is queried once per such
        version: sending a snapshot to every relay would take far longer. If the store can't be reached, the
        relay gets a snapshot.
        """
        for resource, publisher in machine.publishers.items():
            version = applied.get(resource)
            if version is None or not publisher.history.is_compacted(version):
                continue
            with suppress(OSError):
                publisher.history.extend_back(version, self.store.changes_since(resource, version) or ())
