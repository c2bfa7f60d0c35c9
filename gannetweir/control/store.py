"""The store of record, as a control machine needs it: an installation puts its replicated store here."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from gannetweir.control.status_report import StatusReport
from gannetweir.control.version_log import Change
from gannetweir.control.versions import Entry, Resource, Version


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """All of a resource."""

    version: Version
    entries: tuple[Entry, ...]


class Store(Protocol):
    """Reads and a watch. Whoever writes is not a control machine's concern."""

    def read(self, resource: Resource) -> StoreSnapshot:
        """All of the resource as it is now. Raises `OSError` while the store can't be reached."""

    def changes_since(self, resource: Resource, version: Version) -> Iterable[Change] | None:
        """The changes after a version, in their order; None where the log does not reach back to it, or it is
        of another epoch. Raises `OSError`.
        """

    def released_number(self, resource: Resource) -> int:
        """The number up to which all relays may have the resource. Raises `OSError`."""

    def release(self, resource: Resource, number: int) -> None:
        """All relays may have the versions up to this one. Raises `OSError`."""

    def halt(self, resource: Resource, number: int, reason: str) -> None:
        """Note for the operators why a version goes no further. Raises `OSError`."""

    def put_reports(self, machine: str, reports: Sequence[StatusReport]) -> None:
        """Keep a machine's last reports for a few seconds. Raises `OSError`."""

    def reports(self) -> Mapping[str, Sequence[StatusReport]]:
        """Those of all machines. Raises `OSError`."""

    def acquire_lease(self, machine: str) -> bool:
        """Take or renew the lease of the one machine that decides on staged versions. Raises `OSError`."""

    async def wait_for_change(self) -> None:
        """Returns when there may be something new. Raises `OSError`; cancelling leaves nothing behind."""
