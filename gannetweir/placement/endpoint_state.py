"""What a relay remembers of one endpoint."""

from __future__ import annotations

import zlib

from gannetweir.placement.events import EndpointEntry, EndpointId, EndpointStatus


class EndpointState:
    """What this relay knows of one endpoint.

    Written by `EndpointUpdates` (identity and status), `LoadReportTable` (the report), `LoadModel` (what came
    since), `ProbeResults` and `LoadProbing` (their times), `OutlierEjection` (the ejection), `Rebalancing`
    (`migrated_us`), and by `AttemptDispatch` and `RequestLifecycle` (`request_ids`).

    A plain class, as a dataclass of so many fields costs 2 ms at each start.
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
        """Make the state of an endpoint that is new to the list, before `EndpointUpdates` calls it ready."""
        self.endpoint_id: EndpointId = entry.endpoint_id
        self.zone = entry.zone
        self.cell = entry.cell
        self.machine_type = entry.machine_type  # capacities differ from type to type
        self.ranking_key = zlib.crc32(str(entry.endpoint_id).encode())  # the same at every relay
        self.status: int = EndpointStatus.REMOVED
        # Own attempts and connections; a dict, as a set that keeps its order.
        self.request_ids: dict[int, None] = {}
        # Placements that the next report may not know: when, and their size in mean connections.
        self.recent_placements: list[tuple[int, float]] = []
        self.restart(entry.started_us)

    @property
    def is_ready(self) -> bool:
        """Whether the list calls it ready."""
        return self.status == EndpointStatus.READY

    def accepts_attempts(self, now_us: int) -> bool:
        """Whether new attempts may go there: it is ready and not ejected."""
        return self.status == EndpointStatus.READY and self.ejected_until_us <= now_us

    def restart(self, started_us: int) -> None:
        """Forget what was known of the process before this one. Own requests and placements stay."""
        self.started_us = started_us  # 0: not known
        self.has_report = False  # whether `connections` and `load` are from a report
        self.connections = 0.0  # open ones, own placements since the report included
        self.load = 0.0  # over capacity, likewise: at 1 the endpoint is full
        self.reported_us = 0  # when the last report came
        self.probed_us = 0  # when the last probe went out
        self.migrated_us = 0  # when connections were last migrated off it
        self.ejected_until_us = 0
        self.ejection_count = 0  # in a row; an established connection ends the row
