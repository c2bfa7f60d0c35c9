"""The store of record, as a control machine needs it: an installation puts its replicated store here."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

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

    def since(self, resource: Resource, version: Version) -> Iterable[Change] | None:
        """The changes after a version, in their order; None where the log does not reach back to it, or it is
        of another epoch. Raises `OSError`."""

    def released(self, resource: Resource) -> int:
        """The number up to which all relays may have the resource. Raises `OSError`."""

    async def changed(self) -> None:
        """Returns when there may be something new. Raises `OSError`; cancelling leaves nothing behind."""
