"""The measured slopes applied to the target: the loads on a relay, its control part, discovery, a backend and
the session store.

Every load is a formula over the record and the assumptions. A formula that needs a refused fit raises
`FitRefusedError`, and the tables show the load as missing.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from gannetweir.lab.scale import target
from gannetweir.lab.scale.record import Record
from gannetweir.lab.scale.slopes import FitRefusedError
from gannetweir.lab.scale.target import Assumptions
from gannetweir.limits import Limits

# Shares of a backend's capacity: the assumed mean load, and the load above which a backend gets no more
# connections.
MEAN_LOAD, LOAD_LIMIT = 0.5, 0.8
MAX_PROCESSES = 2000  # upper bound of the search for a number of processes
# Payload of a load probe and its report, without TCP headers.
PROBE_BYTES = len(b"STATS\r\n") + len(b"PONG tps=1,concurrent=90000,x0=0.2\r\n")


@dataclass(frozen=True, slots=True)
class CapacityLoad:
    """The load on a relay machine at the target, under the given assumptions."""

    record: Record
    assumptions: Assumptions

    # ---- the data path

    def placement_us(self) -> float:
        """The balancer's time for a set-up without a cached ranking, which is the case for nearly all
        shards.
        """
        return self.record["decision.new_group"].at(self.assumptions.backends)

    def setup_us(self, sorted_order: bool = True) -> float:
        """The time of a set-up through a relay. If `sorted_order` is false, the time for the sort of the
        backends is left out, as if every group's ranking were cached.
        """
        return self.record["setup.relay"].mean_per_unit + self.placement_us() * sorted_order

    def setup_cores(self, sorted_order: bool = True) -> float:
        """Cores of a machine for set-ups in the steady state."""
        return self.assumptions.setups_per_s * self.setup_us(sorted_order) / 1e6

    def delivery_cores(self, processes: int) -> float:
        """Cores of a machine for deliveries, which are spread evenly over the processes."""
        return processes * self.record["line.push.relay"].at(target.RELAY_DELIVERIES_PER_S / processes) / 1e6

    def connections_mb(self, processes: int) -> float:
        """Resident memory of all processes of a machine, without their endpoint lists."""
        memory_fit = self.record["connection.memory.relay"].accepted_line
        return (processes * memory_fit.fixed + memory_fit.per_unit * target.RELAY_CONNECTIONS) / 1024

    # ---- the control part

    def backend_share(self, processes: int) -> float:
        """Share of the backends at which a process has a connection, if backends are drawn uniformly."""
        return -math.expm1(-target.RELAY_CONNECTIONS / processes / self.assumptions.backends)

    def probes_per_s(self, processes: int) -> float:
        """Load probes per second of one process, which probes the backends at which it has connections."""
        return self.record["upkeep.probes"].at(self.assumptions.backends) * self.backend_share(processes)

    def backend_maintenance_cores(self, processes: int) -> float:
        """Cores of one process for maintenance by backends: load probes, their answers and ticks."""
        ticks = self.record["upkeep.backends"].at(self.assumptions.backends) * self.backend_share(processes)
        return (self.probes_per_s(processes) * self.record["probe"].mean_per_unit + ticks) / 1e6

    def connection_maintenance_cores(self) -> float:
        """Cores of all processes for maintenance by connections."""
        return self.record["upkeep.connections"].at(73300) / 1e6

    def control_cores(self, processes: int) -> float:
        """Cores of a machine for control: maintenance by backends and by connections."""
        return processes * self.backend_maintenance_cores(processes) + self.connection_maintenance_cores()

    def control_mb(self, processes: int) -> float:
        """Memory of a machine for control: its processes with their endpoint lists, without connections."""
        return processes * self.record["start.memory"].at(self.assumptions.backends) / 1024

    def snapshot_bytes(self) -> float:
        """Bytes of a snapshot on the wire, for one process."""
        return self.record["list.wire"].at(self.assumptions.backends)

    def snapshot_transfer_s(self) -> float:
        """Seconds to transfer one snapshot at a relay's bandwidth for control."""
        return self.snapshot_bytes() / target.CONTROL_BYTES_PER_S

    def entry_bytes(self) -> float:
        """Bytes of one entry on the wire."""
        return self.record["list.wire"].accepted_line.per_unit

    def stall_ms(self) -> float:
        """The longest wait of a line while a snapshot is applied."""
        return self.record["list.stall"].at(self.assumptions.backends)

    # ---- the machine

    def processes(self, sorted_order: bool = True) -> int | None:
        """Return the fewest processes that carry a relay machine's load, each within `max_utilisation` of a
        core. Returns None if no number up to `MAX_PROCESSES` does, because the fixed cost of each process
        (maintenance and deliveries) leaves too little of its share of a core.
        """
        shared_cores = self.setup_cores(sorted_order) + self.connection_maintenance_cores()
        for count in range(1, MAX_PROCESSES + 1):
            per_process = count * self.backend_maintenance_cores(count)
            try:
                per_process += self.delivery_cores(count)
            except FitRefusedError:
                continue  # more lines per process than were measured, and the fit is refused
            if shared_cores + per_process <= count * self.assumptions.max_utilisation:
                return count
        return None

    # ---- everything else

    def backend_probes_per_s(self, processes: int) -> float:
        """Load probes per second at one backend from all relays of the fleet."""
        return target.RELAYS * processes * self.probes_per_s(processes) / self.assumptions.backends

    def store_calls_per_s(self) -> float:
        """Session-store calls per second of the fleet, one for each set-up."""
        return target.CONNECTIONS / self.assumptions.lifetime_s

    def topic_backends(self) -> float:
        """Backends that the largest topic fills from `MEAN_LOAD` up to `LOAD_LIMIT`."""
        mean = target.CONNECTIONS / self.assumptions.backends
        return target.LARGEST_TOPIC_LISTENERS / (mean * LOAD_LIMIT / MEAN_LOAD)

    def spare_setups_per_s(self, processes: int) -> float:
        """Set-ups per second that a relay can take in addition to its steady load."""
        return processes * (1.0 - self.assumptions.max_utilisation) / self.setup_us() * 1e6


def max_snapshot_entries(record: Record) -> int:
    """Return the most entries of a snapshot that fits in a line of the watch."""
    wire = record["list.wire"].accepted_line
    return math.floor((Limits().endpoint_watch_line_bytes - wire.fixed) / wire.per_unit)


def max_entries_per_change(record: Record) -> int:
    """Return the most entries that a relay can receive in the time for a change, at its control bandwidth."""
    return math.floor(target.CHANGE_BYTES / record["list.wire"].accepted_line.per_unit)
