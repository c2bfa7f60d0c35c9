"""The slopes at the target: what a relay, its control part, discovery, a backend and the store would have to
bear.

Every figure is a formula over the record and the assumptions. One that needs a fit that was refused is
raised as `FitRefusedError`, and stands in the tables as missing.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from gannetweir.lab.scale import target
from gannetweir.lab.scale.record import Record
from gannetweir.lab.scale.slopes import FitRefusedError
from gannetweir.lab.scale.target import Assumptions
from gannetweir.limits import Limits

MEAN_LOAD, LOAD_LIMIT = 0.5, 0.8  # of a backend's capacity: assumed, and up to which it is sent to
MAX_PROCESSES = 2000  # beyond them a machine is no answer
PROBE_BYTES = len(b"STATS\r\n") + len(b"PONG tps=1,concurrent=90000,x0=0.2\r\n")  # of lines, no TCP headers


@dataclass(frozen=True, slots=True)
class CapacityLoad:
    """The load on one relay machine at the target, under some assumptions."""

    record: Record
    assumptions: Assumptions

    # ---- the data path

    def placement_us(self) -> float:
        """The module's part of a set-up whose group's order is not remembered, as for nearly all shards."""
        return self.record["decision.new_group"].at(self.assumptions.backends)

    def setup_us(self, sorted_order: bool = True) -> float:
        """A set-up through a relay; without the sort, as if every group's order were remembered."""
        return self.record["setup.relay"].mean_per_unit + self.placement_us() * sorted_order

    def setup_cores(self, sorted_order: bool = True) -> float:
        """Cores for set-ups in the ordinary state."""
        return self.assumptions.setups_per_s * self.setup_us(sorted_order) / 1e6

    def delivery_cores(self, processes: int) -> float:
        """Cores for deliveries, spread evenly over the processes."""
        return processes * self.record["line.push.relay"].at(target.RELAY_DELIVERIES_S / processes) / 1e6

    def connections_mb(self, processes: int) -> float:
        """Resident memory of all processes of a machine, lists aside."""
        memory_fit = self.record["connection.memory.relay"].accepted_line
        return (processes * memory_fit.fixed + memory_fit.per_unit * target.RELAY_CONNECTIONS) / 1024

    # ---- the control part

    def backend_share(self, processes: int) -> float:
        """The share of the backends at which one process holds a connection, were they drawn evenly."""
        return -math.expm1(-target.RELAY_CONNECTIONS / processes / self.assumptions.backends)

    def probes_per_s(self, processes: int) -> float:
        """Upkeep's probes a second of one process: it asks where it holds connections."""
        return self.record["upkeep.probes"].at(self.assumptions.backends) * self.backend_share(processes)

    def backend_maintenance_cores(self, processes: int) -> float:
        """Cores of one process for upkeep by backends: probes, their answers, ticks."""
        ticks = self.record["upkeep.backends"].at(self.assumptions.backends) * self.backend_share(processes)
        return (self.probes_per_s(processes) * self.record["probe"].mean_per_unit + ticks) / 1e6

    def connection_maintenance_cores(self) -> float:
        """Cores of all processes for upkeep by connections."""
        return self.record["upkeep.connections"].at(73300) / 1e6

    def control_cores(self, processes: int) -> float:
        """Cores of a machine for control: upkeep of both kinds."""
        return processes * self.backend_maintenance_cores(processes) + self.connection_maintenance_cores()

    def control_mb(self, processes: int) -> float:
        """Memory of a machine for control: its processes with their lists, without connections."""
        return processes * self.record["start.memory"].at(self.assumptions.backends) / 1024

    def snapshot_bytes(self) -> float:
        """A whole list on the wire, for one process."""
        return self.record["list.wire"].at(self.assumptions.backends)

    def snapshot_transfer_s(self) -> float:
        """Seconds that one whole list takes at a relay's bytes a second for control."""
        return self.snapshot_bytes() / target.CONTROL_BYTES_S

    def entry_bytes(self) -> float:
        """One entry on the wire."""
        return self.record["list.wire"].accepted_line.per_unit

    def stall_ms(self) -> float:
        """The longest wait of a line while a whole list is taken."""
        return self.record["list.stall"].at(self.assumptions.backends)

    # ---- the machine

    def processes(self, sorted_order: bool = True) -> int | None:
        """The fewest processes that carry a relay machine's load, each within its share of a core; none at
        all if what every process pays for itself leaves too little.
        """
        shared_cores = self.setup_cores(sorted_order) + self.connection_maintenance_cores()
        for count in range(1, MAX_PROCESSES + 1):
            per_process = count * self.backend_maintenance_cores(count)
            try:
                per_process += self.delivery_cores(count)
            except FitRefusedError:
                continue  # more lines to a process than were measured, and no fit
            if shared_cores + per_process <= count * self.assumptions.max_utilisation:
                return count
        return None

    # ---- everything else

    def backend_probes_per_s(self, processes: int) -> float:
        """Probes a second at one backend from the whole fleet."""
        return target.RELAYS * processes * self.probes_per_s(processes) / self.assumptions.backends

    def store_calls_per_s(self) -> float:
        """Session-store calls a second of the whole fleet, one a set-up."""
        return target.CONNECTIONS / self.assumptions.lifetime_s

    def topic_backends(self) -> float:
        """Backends that the largest topic fills, from a load of a half up to the limit of 0.8."""
        mean = target.CONNECTIONS / self.assumptions.backends
        return target.LARGEST_TOPIC_LISTENERS / (mean * LOAD_LIMIT / MEAN_LOAD)

    def spare_setups_per_s(self, processes: int) -> float:
        """Set-ups a second that a relay can take beside its ordinary load."""
        return processes * (1.0 - self.assumptions.max_utilisation) / self.setup_us() * 1e6


def max_snapshot_entries(record: Record) -> int:
    """Entries at which a whole list is longer than a line of the watch may be."""
    wire = record["list.wire"].accepted_line
    return math.floor((Limits().endpoint_watch_line_bytes - wire.fixed) / wire.per_unit)


def max_entries_per_change(record: Record) -> int:
    """Entries that a relay can be told within the time for a change, at its bytes a second."""
    return math.floor(target.CHANGE_BYTES / record["list.wire"].accepted_line.per_unit)
