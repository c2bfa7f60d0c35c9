"""What a relay remembers of one endpoint."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

from gannetweir.placement.events import EndpointEntry, EndpointId, EndpointStatus


@dataclass(slots=True, eq=False)
class EndpointState:
    """What this relay knows of one endpoint.

    Written by `EndpointUpdates` (identity and status), `LoadReportTable` (the report), `LoadModel` (what came
    since), `ProbeResults` and `LoadProbing` (their times), `OutlierEjection` (the ejection), `Rebalancing`
    (`migrated_us`), and by `AttemptDispatch` and `RequestLifecycle` (`request_ids`).
    """

    id: EndpointId
    zone: int
    cell: int
    started_us: int  # 0: not known
    status: int = EndpointStatus.REMOVED
    has_report: bool = False  # `connections` and `load` are from a report
    connections: float = 0.0  # open ones, own placements since the report included
    load: float = 0.0  # over capacity, likewise: at 1 the endpoint is full
    reported_us: int = 0  # when the last report came
    probed_us: int = 0
    migrated_us: int = 0  # when connections were last migrated off it
    ejected_until_us: int = 0
    ejection_count: int = 0  # in a row; an established connection ends the row
    # Placements since the last report may have been read: when, and their size in mean connections.
    recent_placements: list[tuple[int, float]] = field(default_factory=list)
    ranking_key: int = 0  # a number of its id, the same at every relay
    machine_type: int = 0  # capacities differ from type to type
    # Own attempts and connections; a dict, as a set that keeps its order.
    request_ids: dict[int, None] = field(default_factory=dict)

    @classmethod
    def from_entry(cls, entry: EndpointEntry) -> EndpointState:
        """Make the state of an endpoint that is new to the list."""
        return cls(
            entry.endpoint_id,
            entry.zone,
            entry.cell,
            entry.started_us,
            ranking_key=zlib.crc32(str(entry.endpoint_id).encode()),
            machine_type=entry.machine_type,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the list calls it ready."""
        return self.status == EndpointStatus.READY

    def may_be_sent_to(self, now_us: int) -> bool:
        """Whether new attempts may go there: it is ready and not ejected."""
        return self.status == EndpointStatus.READY and self.ejected_until_us <= now_us

    def restart(self, started_us: int) -> None:
        """Forget what was known of the process before this one."""
        self.started_us = started_us
        self.has_report = False
        self.connections = 0.0
        self.load = 0.0
        self.reported_us = 0
        self.probed_us = 0
        self.migrated_us = 0
        self.ejected_until_us = 0
        self.ejection_count = 0
