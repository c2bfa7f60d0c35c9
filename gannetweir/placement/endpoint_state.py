"""The state that a relay keeps for one endpoint."""

from __future__ import annotations

import zlib

from gannetweir.placement.events import EndpointEntry, EndpointId, EndpointStatus


class EndpointState:
    """The state that this relay keeps for one endpoint.

    Written by `EndpointUpdates` (identity and status), `LoadReportTable` (the report), `LoadModel` (recent
    placements), `ProbeResults` and `LoadProbing` (times of reports and probes), `OutlierEjection` (the
    ejection), `Rebalancing` (`migrated_us`), and by `AttemptDispatch` and `RequestLifecycle` (`request_ids`).

    A plain class, as a dataclass with this many fields adds 2 ms to each start of the process.
    """

    __slots__ = (
        "cell",
        "connections",
        "ejected_until_us",
        "ejection_count",
        "endpoint_id",
        "has_report",
        "load",
        "machine_type",
        "migrated_us",
        "probed_us",
        "ranking_key",
        "recent_placements",
        "reported_us",
        "request_ids",
        "started_us",
        "status",
        "zone",
    )

    def __init__(self, entry: EndpointEntry) -> None:
        """Create the state of a newly listed endpoint, which is not ready until `EndpointUpdates` says so."""
        self.endpoint_id: EndpointId = entry.endpoint_id
        self.zone = entry.zone
        self.cell = entry.cell
        self.machine_type = entry.machine_type  # endpoints of one type have equal capacity
        self.ranking_key = zlib.crc32(str(entry.endpoint_id).encode())  # the same at every relay
        self.status: int = EndpointStatus.REMOVED
        # Attempts and connections of this relay; a dict serves as an ordered set.
        self.request_ids: dict[int, None] = {}
        # Placements that the next report may not count: time, and size relative to the mean connection.
        self.recent_placements: list[tuple[int, float]] = []
        self.restart(entry.started_us)

    @property
    def is_ready(self) -> bool:
        """Whether the endpoint list states that it is ready."""
        return self.status == EndpointStatus.READY

    def accepts_attempts(self, now_us: int) -> bool:
        """Whether new attempts are allowed: the endpoint is ready and not ejected."""
        return self.status == EndpointStatus.READY and self.ejected_until_us <= now_us

    def restart(self, started_us: int) -> None:
        """Discard the state of the previous process; this relay's requests and placements are kept."""
        self.started_us = started_us  # 0 if unknown
        self.has_report = False  # whether `connections` and `load` come from a report
        self.connections = 0.0  # open connections, including placements of this relay since the report
        self.load = 0.0  # share of capacity (1 is full), including those placements
        self.reported_us = 0  # time of the last report
        self.probed_us = 0  # time of the last probe
        self.migrated_us = 0  # time of the last migration of connections off the endpoint
        self.ejected_until_us = 0
        self.ejection_count = 0  # consecutive ejections; an established connection resets the count
