"""The pool: discovery's list of backends, as the engine holds it, and what the operators laid over it by
hand. Knows nothing of how either came.
"""

from __future__ import annotations

from dataclasses import replace

from gannetweir.membership.membership_update import ListedEndpoint, MembershipUpdate
from gannetweir.membership.operator_overrides import OperatorOverrides
from gannetweir.membership.start_times import StartTimes
from gannetweir.placement.events import EndpointEntry, EndpointId, EndpointStatus


def _without_stale_readiness(known: EndpointEntry | None, listed: ListedEndpoint) -> ListedEndpoint:
    """What an older list says of a backend: it may take away, but not bring back a start that was told to
    drain or to be gone.
    """
    reported = listed.entry
    if (
        known is None
        or known.state == EndpointStatus.READY
        or reported.state != EndpointStatus.READY
        or reported.started_us > known.started_us
    ):
        return listed
    return replace(listed, entry=replace(reported, state=known.state))


class EndpointList:
    """Every backend that discovery has named, the ones that left included."""

    def __init__(self, overrides: OperatorOverrides | None = None, wall_ahead_us: int | None = None) -> None:
        self.version = 0
        self.overrides = overrides or OperatorOverrides()
        self.addresses: dict[EndpointId, str] = {}
        self.additional_addresses: dict[
            EndpointId, tuple[str, ...]
        ] = {}  # the other addresses, of those that have some
        self.entries: dict[EndpointId, EndpointEntry] = {}  # as discovery tells them
        self.start_times = StartTimes(wall_ahead_us)
        self._now_us = 0
        self._has_discovery_snapshot = False  # discovery itself has told a list

    def apply(
        self, update: MembershipUpdate, now_us: int, from_cache: bool = False, slow_start_window_us: int = 0
    ) -> list[EndpointEntry]:
        """Apply news; what the module is to hear of it. An entry without an address keeps the one it had.
        `known`: it is what the process was started with, and may be old. `warm_within_us`: the settings'.
        """
        self._now_us = now_us
        is_first, self._has_discovery_snapshot = (
            not self._has_discovery_snapshot,
            self._has_discovery_snapshot or not from_cache,
        )
        self.version, known_entries = update.version, self.entries
        if update.is_stale:
            update = replace(
                update,
                endpoints=[
                    _without_stale_readiness(known_entries.get(m.entry.endpoint_id), m)
                    for m in update.endpoints
                ],
            )
        if update.complete:
            listed = {member.entry.endpoint_id for member in update.endpoints}
            for server in [server for server in self.entries if server not in listed]:
                self.entries[server] = replace(self.entries[server], state=EndpointStatus.REMOVED)
        for member in update.endpoints:
            self.entries[member.entry.endpoint_id] = member.entry
            if member.address:
                self.addresses[member.entry.endpoint_id] = member.address
            if member.additional_addresses or member.entry.endpoint_id in self.additional_addresses:
                self.additional_addresses[member.entry.endpoint_id] = member.additional_addresses
        entries = [member.entry for member in update.endpoints]
        if is_first and update.complete:
            self.start_times.record_first_snapshot(entries, now_us, slow_start_window_us)
        else:
            self.start_times.record(entries, now_us)
        return [self._effective(member.entry) for member in update.endpoints]

    def apply_overrides(self, overrides: OperatorOverrides, now_us: int) -> list[EndpointEntry]:
        """Lay the operators' word over the list; the whole list as it is now seen."""
        self.overrides, self._now_us = overrides, now_us
        return [
            self._effective(entry) for entry in self.entries.values() if entry.state != EndpointStatus.REMOVED
        ]

    def _effective(self, entry: EndpointEntry) -> EndpointEntry:
        """With its start on this process's clock. Out by hand is draining. One called back has started no
        earlier than the call: it restarted while it was out, and discovery may not know of that yet.
        """
        started_us = self.start_times.started_us(entry)
        if entry.endpoint_id in self.overrides.offline and entry.state == EndpointStatus.READY:
            return replace(entry, state=EndpointStatus.DRAINING, started_us=started_us)
        override_us = self.overrides.online_since.get(str(entry.endpoint_id), 0)
        if override_us:
            online_since_us = self.start_times.online_since_us(entry.endpoint_id, override_us, self._now_us)
            started_us = max(started_us, online_since_us) if started_us else online_since_us
        return entry if started_us == entry.started_us else replace(entry, started_us=started_us)

    def was_listed(self, endpoint_id: EndpointId) -> bool:
        """Has discovery ever named it?"""
        return endpoint_id in self.entries

    def address_of(self, endpoint_id: EndpointId) -> str:
        """Where to reach a backend; empty for one never listed, which must not be sent to."""
        return self.addresses.get(endpoint_id, "")

    def is_offline(self, endpoint_id: EndpointId) -> bool:
        """Have the operators left it out?"""
        return endpoint_id in self.overrides.offline

    def accepts_requests(self, endpoint_id: EndpointId) -> bool:
        """May something new go there, as far as discovery and the operators have told?"""
        entry = self.entries.get(endpoint_id)
        return (
            entry is not None
            and entry.state == EndpointStatus.READY
            and endpoint_id not in self.overrides.offline
        )

    def started_us(self, endpoint_id: EndpointId) -> int:
        """When the backend started last, as discovery tells it."""
        entry = self.entries.get(endpoint_id)
        return entry.started_us if entry is not None else 0

    def has_ready_endpoint(self) -> bool:
        """Is there anything to send to?"""
        return any(map(self.accepts_requests, self.entries))
