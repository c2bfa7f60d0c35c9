"""The store of record, as a control machine needs it.

An installation implements `Store` over its replicated store, which owns every version, the lease and the
reports; a control machine has copies only. The calls are made on the event loop and must return soon; only
`wait_for_change` waits. `gannetweir.lab.scale.store` has an implementation in memory.
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
    """All entries of a resource at one version."""

    version: Version
    entries: tuple[Entry, ...]


class Store(Protocol):
    """Reads, a watch, and what control machines report and decide.

    Who writes versions is not their concern.
    """

    def read(self, resource: Resource) -> StoreSnapshot:
        """The resource at its newest released version. Raises `OSError` while the store can't be reached."""

    def changes_since(self, resource: Resource, version: Version) -> Iterable[Change] | None:
        """The changes after a version, in their order.

        None where the store's log no longer reaches back to it, or where it is of another epoch. Raises
        `OSError`.
        """

    def released_number(self, resource: Resource) -> int:
        """The number of the newest version that all relays may apply. Raises `OSError`."""

    def release(self, resource: Resource, number: int) -> None:
        """Let all relays apply the versions up to this one. Raises `OSError`."""

    def halt(self, resource: Resource, number: int, reason: str) -> None:
        """Record for the operators why a staged version goes no further. Raises `OSError`."""

    def put_reports(self, machine: str, reports: Sequence[StatusReport]) -> None:
        """Replace a machine's reports; they expire after a few seconds. Raises `OSError`."""

    def reports(self) -> Mapping[str, Sequence[StatusReport]]:
        """The reports of all machines that have not expired, by the machines' names. Raises `OSError`."""

    def acquire_lease(self, machine: str) -> bool:
        """Acquire or renew the lease of the one machine that decides on staged versions.

        False while another machine is the lease holder. Raises `OSError`.
        """

    async def wait_for_change(self) -> None:
        """Return when there may be something new. Raises `OSError`; cancelling leaves nothing behind."""
