"""A store of record in memory, shared by the control machines of one process."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

import anyio

from gannetweir.control.status_report import StatusReport
from gannetweir.control.store import StoreSnapshot
from gannetweir.control.version_log import Change, VersionLog
from gannetweir.control.versions import Content, Entry, Resource, Version

LEASE_S = 3.0


class MemoryStore:
    """Implements `control.store.Store` for both resources; `put` makes a new version."""

    def __init__(self, epoch: int = 1, staged: frozenset[Resource] = frozenset()) -> None:
        self.held: dict[Resource, tuple[int, str]] = {}  # the halted version of a resource, and the reason
        self.report_leases: dict[str, tuple[float, Sequence[StatusReport]]] = {}
        self.lease = ("", 0.0)  # the machine that leads, and the end of its lease
        self.staged = staged  # resources whose new versions need `release`
        self.event: anyio.Event | None = None  # set at the next change; None if no caller waits for it
        self.down = False  # True makes calls raise `OSError`
        self._begin(epoch)

    def _begin(self, epoch: int) -> None:
        self.epoch = epoch
        self.contents = {resource: Content() for resource in Resource}
        self.logs = {resource: VersionLog(Version(epoch, 0, 0)) for resource in Resource}
        self.numbers = dict.fromkeys(Resource, 0)  # numbers of the released versions

    def load(self, resource: Resource, number: int, entries: Mapping[str, bytes]) -> None:
        """Start a resource at a version that was made elsewhere; earlier versions are unknown."""
        content = Content(Entry(key, body) for key, body in entries.items())
        self.contents[resource], self.numbers[resource] = content, number
        self.logs[resource] = VersionLog(Version(self.epoch, number, content.digest))
        self._notify_watchers()

    def put(self, resource: Resource, entries: Mapping[str, bytes | None]) -> Version:
        """Apply one change, where None removes an entry, and return the version that it makes."""
        content = self.contents[resource]
        for key, body in entries.items():
            content.put(key, body)
        version = Version(self.epoch, self.logs[resource].newest.number + 1, content.digest)
        self.logs[resource].add(Change(version, dict(entries)))
        if resource not in self.staged:
            self.numbers[resource] = version.number
        self._notify_watchers()
        return version

    def release(self, resource: Resource, number: int) -> None:
        """See `Store`."""
        self._check_reachable()
        self.numbers[resource] = max(number, self.numbers[resource])
        self._notify_watchers()

    def restore(self, number: int) -> Version:
        """Restore the membership from a backup at this version number, after a loss of the store.

        The restored content gets a new epoch and a new version, so that it can't be confused with a version
        that was lost.
        """
        entries_at_number = self.logs[Resource.MEMBERSHIP].changes_between(0, number)
        self._begin(self.epoch + 1)
        return self.put(Resource.MEMBERSHIP, entries_at_number)

    def _notify_watchers(self) -> None:
        if self.event is not None:
            self.event.set()
            self.event = None

    def _check_reachable(self) -> None:
        if self.down:
            raise OSError("the store is unreachable")

    def read(self, resource: Resource) -> StoreSnapshot:
        """See `Store`. Versions that are not released are left out: they follow as changes."""
        self._check_reachable()
        released, log = self.numbers[resource], self.logs[resource]
        entries = dict(self.contents[resource].entries)
        if released < log.newest.number:
            return self._replayed(resource, released)
        return StoreSnapshot(log.newest, tuple(Entry(key, body) for key, body in entries.items()))

    def _replayed(self, resource: Resource, number: int) -> StoreSnapshot:
        content, log = Content(), self.logs[resource]
        for key, body in log.changes_between(0, number).items():
            content.put(key, body)
        return StoreSnapshot(
            Version(self.epoch, number, content.digest),
            tuple(Entry(key, body) for key, body in content.entries.items()),
        )

    def changes_since(self, resource: Resource, version: Version) -> Iterable[Change] | None:
        """See `Store`."""
        self._check_reachable()
        log = self.logs[resource]
        if version.epoch != self.epoch or not log.contains(version):
            return None
        return [change for change in log.changes if change.version.number > version.number]

    def released_number(self, resource: Resource) -> int:
        """See `Store`."""
        self._check_reachable()
        return self.numbers[resource]

    def halt(self, resource: Resource, number: int, reason: str) -> None:
        """See `Store`."""
        self._check_reachable()
        self.held[resource] = (number, reason)

    def put_reports(self, machine: str, reports: Sequence[StatusReport]) -> None:
        """See `Store`."""
        self._check_reachable()
        self.report_leases[machine] = (anyio.current_time() + LEASE_S, reports)

    def reports(self) -> Mapping[str, Sequence[StatusReport]]:
        """See `Store`."""
        self._check_reachable()
        now = anyio.current_time()
        return {machine: reports for machine, (until, reports) in self.report_leases.items() if until > now}

    def acquire_lease(self, machine: str) -> bool:
        """See `Store`."""
        self._check_reachable()
        now, (leader, until) = anyio.current_time(), self.lease
        if machine != leader and until > now:
            return False
        self.lease = (machine, now + LEASE_S)
        return True

    async def wait_for_change(self) -> None:
        """See `Store`."""
        if self.event is None:
            self.event = anyio.Event()
        await self.event.wait()
