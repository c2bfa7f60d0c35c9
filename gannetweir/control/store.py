"""The interface to the store of record that a control machine uses.

An installation implements `Store` over its replicated store, which owns every version, the lease and the
reports; a control machine only has copies. The methods are called on the event loop and must return quickly;
only `wait_for_change` waits. `gannetweir.lab.scale.store` has an in-memory implementation.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from gannetweir.control.status_report import StatusReport
from gannetweir.control.version_log import Change
from gannetweir.control.versions import Entry, Resource, Version


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """All entries of a resource at a version."""

    version: Version
    entries: tuple[Entry, ...]


class Store(Protocol):
    """Reads and a watch of versions, and the reports and decisions of control machines.

    The interface does not cover writing versions.
    """

    def read(self, resource: Resource) -> StoreSnapshot:
        """Return the resource at its newest released version.

        Raises `OSError` if the store can't be reached.
        """

    def changes_since(self, resource: Resource, version: Version) -> Iterable[Change] | None:
        """Return the changes after a version, in ascending order.

        Returns None if the store's log no longer covers the version, or if the version has another epoch.
        Raises `OSError` if the store can't be reached.
        """

    def released_number(self, resource: Resource) -> int:
        """Return the number of the newest version that all relays may apply. Raises `OSError`."""

    def release(self, resource: Resource, number: int) -> None:
        """Release the versions up to this number to all relays. Raises `OSError`."""

    def halt(self, resource: Resource, number: int, reason: str) -> None:
        """Record for the operators why the rollout of a staged version was halted. Raises `OSError`."""

    def put_reports(self, machine: str, reports: Sequence[StatusReport]) -> None:
        """Replace a machine's reports; they expire after a few seconds. Raises `OSError`."""

    def reports(self) -> Mapping[str, Sequence[StatusReport]]:
        """Return the unexpired reports of all machines, by machine name. Raises `OSError`."""

    def acquire_lease(self, machine: str) -> bool:
        """Acquire or renew the lease; only its holder decides on staged versions.

        Returns False while another machine is the lease holder. Raises `OSError`.
        """

    async def wait_for_change(self) -> None:
        """Wait until a version or a release may have changed. Can be cancelled safely. Raises `OSError`."""
