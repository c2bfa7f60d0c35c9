"""The target of the design: the given numbers, and the unknown ones, which are assumed and swept."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import product

RELAYS = 1500
CONNECTIONS = 110_000_000
SHARDS = 750_000
LARGEST_TOPIC_LISTENERS = 270_000
DELIVERIES_PER_S = 32_000_000
DELIVERY_MS = 240.0  # the 99th percentile
REGIONS, ZONES = 6, 13
CHANGES_PER_DAY = 1200
IN_FORCE_S = 12.0  # a change has to be in force within this time
# The control part of a relay may use this share of a core, this memory and this bandwidth.
CONTROL_CORES = 0.038
CONTROL_MB = 256.0
CONTROL_BYTES_PER_S = 10_000.0
CONTROL_MACHINES = 15
RESTARTS_PER_DAY = 340

RELAY_CONNECTIONS = CONNECTIONS / RELAYS
RELAY_DELIVERIES_PER_S = DELIVERIES_PER_S / RELAYS
ZONE_RELAYS = RELAYS // ZONES
CHANGE_BYTES = CONTROL_BYTES_PER_S * IN_FORCE_S  # budget of a relay for one change

BACKENDS = 1500, 5000, 15000
CONNECTION_LIFETIMES_S = 40.0, 600.0, 7200.0
# Entries of one change. The last number is a zone's share of the shards, with an entry for each shard.
CHANGE_ENTRIES = 1, 100, 58_000


@dataclass(frozen=True, slots=True)
class Assumptions:
    """Numbers that the operators have not given."""

    backends: int = 5000
    lifetime_s: float = 600.0  # lifetime of a client connection
    change_entries: int = 1  # entries of one change
    max_utilisation: float = 0.6  # share of a core for each process; lines queue above it
    cores: int = 8  # cores of a relay machine

    @property
    def setups_per_s(self) -> float:
        """Set-ups per second of one relay in the steady state."""
        return RELAY_CONNECTIONS / self.lifetime_s

    @property
    def name(self) -> str:
        """The two swept numbers, as a heading for tables."""
        return f"{self.backends:,} backends, {format_lifetime(self.lifetime_s)}"


def format_lifetime(seconds: float) -> str:
    """Format a connection's lifetime in seconds, minutes or hours, without a fraction."""
    if seconds < 60:
        return f"{seconds:.0f} s"
    return f"{seconds / 60:.0f} min" if seconds < 3600 else f"{seconds / 3600:.0f} h"


def swept_assumptions() -> Iterator[Assumptions]:
    """Yield the assumptions for every pair of the swept numbers."""
    for backends, lifetime_s in product(BACKENDS, CONNECTION_LIFETIMES_S):
        yield Assumptions(backends, lifetime_s)
