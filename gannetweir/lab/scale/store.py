"""A store of record in memory, for one process of many control machines."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

import anyio

from gannetweir.control.status_report import StatusReport
from gannetweir.control.store import StoreSnapshot
from gannetweir.control.version_log import Change, VersionLog
from gannetweir.control.versions import Content, Entry, Resource, Version

LEASE_S = 3.0


class MemoryStore:
    """Holds both resources; `put` makes a version."""

    def __init__(self, epoch: int = 1, staged: frozenset[Resource] = frozenset()) -> None:
        self.held: dict[Resource, tuple[int, str]] = {}
        self.report_leases: dict[str, tuple[float, Sequence[StatusReport]]] = {}
        self.lease = ("", 0.0)  # who leads, and until when
        self.staged = staged  # resources whose versions wait for `release`
        self.event: anyio.Event | None = None
        self.down = False
        self._begin(epoch)

    def _begin(self, epoch: int) -> None:
        self.epoch = epoch
        self.contents = {resource: Content() for resource in Resource}
        self.logs = {resource: VersionLog(Version(epoch, 0, 0)) for resource in Resource}
        self.numbers = dict.fromkeys(Resource, 0)  # released

    def load(self, resource: Resource, number: int, entries: Mapping[str, bytes]) -> None:
        """Begin a resource at a version that was made elsewhere; nothing is known of earlier ones."""
        content = Content(Entry(key, body) for key, body in entries.items())
        self.contents[resource], self.numbers[resource] = content, number
        self.logs[resource] = VersionLog(Version(self.epoch, number, content.digest))
        self._notify_watchers()

    def put(self, resource: Resource, entries: Mapping[str, bytes | None]) -> Version:
        """One change; the version that it makes."""
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
        """The store is lost and comes back from a copy of that version's membership: another epoch, one more
        version, so that nothing of what was lost is taken for this.
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
            raise OSError("the store can't be reached")

    def read(self, resource: Resource) -> StoreSnapshot:
        """See `Store`. A staged version is left out: it follows as a change."""
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
