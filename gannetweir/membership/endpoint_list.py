"""The endpoint list: each endpoint as discovery reports it, with the operators' overrides applied.

The list is the only owner of this state. It performs no I/O and reads no clock: callers pass in parsed
updates and the time, and receive the entries of which the balancer has to be notified.
"""

from __future__ import annotations

from dataclasses import replace

from gannetweir.membership.membership_update import ListedEndpoint, MembershipUpdate, number_in
from gannetweir.membership.operator_overrides import OperatorOverrides
from gannetweir.membership.start_times import StartTimes
from gannetweir.placement.events import EndpointEntry, EndpointId, EndpointStatus


def _without_stale_readiness(known: EndpointEntry | None, listed: ListedEndpoint) -> ListedEndpoint:
    """Return an endpoint of a stale update as it may be applied. A stale update may drain or remove an
    endpoint, but it must not make an endpoint ready that was already reported as draining or removed, unless
    the endpoint has restarted since.
    """
    reported = listed.entry
    if known is None or known.state == EndpointStatus.READY:
        return listed
    if reported.state != EndpointStatus.READY or reported.started_us > known.started_us:
        return listed
    return replace(listed, entry=replace(reported, state=known.state))


class EndpointList:
    """Every endpoint that discovery has ever listed. Removed endpoints stay, with the state REMOVED."""

    def __init__(self, overrides: OperatorOverrides | None = None, wall_offset_us: int | None = None) -> None:
        """`wall_offset_us`: see `StartTimes`."""
        self.version = 0
        self.overrides = overrides or OperatorOverrides()
        self.addresses: dict[EndpointId, str] = {}
        self.additional_addresses: dict[EndpointId, tuple[str, ...]] = {}  # only endpoints that have any
        self.entries: dict[EndpointId, EndpointEntry] = {}  # reported entries, without the overrides
        self.zone_names: dict[EndpointId, str] = {}
        self.machine_type_names: dict[EndpointId, str] = {}
        self.start_times = StartTimes(wall_offset_us)
        # The list that the process was started with does not count as a report.
        self._has_discovery_report = False

    def apply(
        self, update: MembershipUpdate, now_us: int, from_cache: bool = False, slow_start_window_us: int = 0
    ) -> list[EndpointEntry]:
        """Apply an update, and return its entries as the balancer has to see them. An endpoint that is listed
        without an address keeps its previous one.

        `from_cache`: the update is the list that the process was started with, which may be old.
        `slow_start_window_us`: the value from the settings.
        """
        is_first = not self._has_discovery_report
        if not from_cache:
            self._has_discovery_report = True
        self.version = update.version
        listed_endpoints = update.endpoints
        if update.is_stale:
            listed_endpoints = [
                _without_stale_readiness(self.entries.get(listed.entry.endpoint_id), listed)
                for listed in update.endpoints
            ]
        if update.complete:
            self._remove_unlisted(listed_endpoints)
        for listed in listed_endpoints:
            self._store(listed)
        entries = [listed.entry for listed in listed_endpoints]
        if is_first and update.complete:
            self.start_times.record_first_snapshot(entries, now_us, slow_start_window_us)
        else:
            self.start_times.record(entries, now_us)
        return [self._effective_entry(entry, now_us) for entry in entries]

    def _remove_unlisted(self, listed_endpoints: list[ListedEndpoint]) -> None:
        """Mark the endpoints that are missing in a snapshot as removed."""
        listed_ids = {listed.entry.endpoint_id for listed in listed_endpoints}
        unlisted_ids = [endpoint_id for endpoint_id in self.entries if endpoint_id not in listed_ids]
        for endpoint_id in unlisted_ids:
            self.entries[endpoint_id] = replace(self.entries[endpoint_id], state=EndpointStatus.REMOVED)

    def _store(self, listed: ListedEndpoint) -> None:
        endpoint_id = listed.entry.endpoint_id
        known = self.entries.get(endpoint_id)
        if known is not None and listed.entry.state == EndpointStatus.REMOVED:
            # A removal may be reported without the endpoint's location.
            self.entries[endpoint_id] = replace(
                listed.entry, zone=known.zone, machine_type=known.machine_type, cell=known.cell
            )
            return
        self.entries[endpoint_id] = listed.entry
        self.zone_names[endpoint_id] = listed.zone_name
        self.machine_type_names[endpoint_id] = listed.machine_type_name
        if listed.address:
            self.addresses[endpoint_id] = listed.address
        if listed.additional_addresses or endpoint_id in self.additional_addresses:
            self.additional_addresses[endpoint_id] = listed.additional_addresses

    def apply_overrides(self, overrides: OperatorOverrides, now_us: int) -> list[EndpointEntry]:
        """Replace the operators' overrides, and return the complete list as the balancer has to see it."""
        self.overrides = overrides
        return [
            self._effective_entry(entry, now_us)
            for entry in self.entries.values()
            if entry.state != EndpointStatus.REMOVED
        ]

    def renumber(self, zone_names: list[str], machine_types: list[str], now_us: int) -> list[EndpointEntry]:
        """Number the zones and machine types of all endpoints by the lists of new settings, and return the
        entries as the balancer has to see them.

        A removed endpoint is returned as draining: it gets no requests either way, but a retry of a request
        that it may have executed depends on its zone.
        """
        effective_entries: list[EndpointEntry] = []
        for endpoint_id, known in self.entries.items():
            entry = replace(
                known,
                zone=number_in(zone_names, self.zone_names[endpoint_id]),
                machine_type=number_in(machine_types, self.machine_type_names[endpoint_id]),
            )
            self.entries[endpoint_id] = entry
            if entry.state == EndpointStatus.REMOVED:
                entry = replace(entry, state=EndpointStatus.DRAINING)
            effective_entries.append(self._effective_entry(entry, now_us))
        return effective_entries

    def _effective_entry(self, entry: EndpointEntry, now_us: int) -> EndpointEntry:
        """Return the entry as the balancer sees it: with its start on this process's monotonic clock, and
        draining while the endpoint is offline or has no address. An endpoint that is back online counts as
        started no earlier than the operator's call, because it was restarted while it was offline, and
        discovery may not have reported the restart yet.
        """
        started_us = self.start_times.started_us(entry)
        if entry.state == EndpointStatus.READY and not self.accepts_requests(entry.endpoint_id):
            return replace(entry, state=EndpointStatus.DRAINING, started_us=started_us)
        override_us = self.overrides.online_since.get(str(entry.endpoint_id), 0)
        if override_us:
            online_since_us = self.start_times.online_since_us(entry.endpoint_id, override_us, now_us)
            started_us = max(started_us, online_since_us) if started_us else online_since_us
        return entry if started_us == entry.started_us else replace(entry, started_us=started_us)

    def was_listed(self, endpoint_id: EndpointId) -> bool:
        """Return whether discovery has ever listed the endpoint."""
        return endpoint_id in self.entries

    def address_of(self, endpoint_id: EndpointId) -> str:
        """Return the address to connect to; empty for an endpoint without one, to which nothing may
        be sent.
        """
        return self.addresses.get(endpoint_id, "")

    def is_offline(self, endpoint_id: EndpointId) -> bool:
        """Return whether the operators have taken the endpoint offline."""
        return endpoint_id in self.overrides.offline

    def accepts_requests(self, endpoint_id: EndpointId) -> bool:
        """Return whether new requests may be sent to the endpoint: it is ready, has an address, and is not
        offline.
        """
        entry = self.entries.get(endpoint_id)
        if entry is None or entry.state != EndpointStatus.READY:
            return False
        return endpoint_id in self.addresses and endpoint_id not in self.overrides.offline

    def started_us(self, endpoint_id: EndpointId) -> int:
        """Return the endpoint's last start on discovery's clock, in microseconds; 0 if none was reported."""
        entry = self.entries.get(endpoint_id)
        return entry.started_us if entry is not None else 0

    def has_ready_endpoint(self) -> bool:
        """Return whether any endpoint accepts requests."""
        return any(map(self.accepts_requests, self.entries))
