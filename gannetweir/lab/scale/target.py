"""The size to be designed for: what is told, and what is not and is therefore assumed and swept."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import product

RELAYS = 1500
CONNECTIONS = 110_000_000
SHARDS = 750_000
LARGEST_TOPIC_LISTENERS = 270_000  # listeners
DELIVERIES_S = 32_000_000
DELIVERY_MS = 240.0  # for 99 in 100
REGIONS, ZONES = 6, 13
CHANGES_A_DAY = 1200
IN_FORCE_S = 12.0
CONTROL_CORE = 0.038
CONTROL_MB = 256.0
CONTROL_BYTES_S = 10_000.0
CONTROL_MACHINES = 15
RESTARTS_A_DAY = 340

RELAY_CONNECTIONS = CONNECTIONS / RELAYS
RELAY_DELIVERIES_S = DELIVERIES_S / RELAYS
ZONE_RELAYS = RELAYS // ZONES
CHANGE_BYTES = CONTROL_BYTES_S * IN_FORCE_S  # what one change may cost a relay

BACKENDS = 1500, 5000, 15000
CONNECTION_LIFETIMES_S = 40.0, 600.0, 7200.0
CHANGE_ENTRIES = 1, 100, 58_000  # of a change; the last is a zone's share of the shards, listed one by one


@dataclass(frozen=True, slots=True)
class Assumptions:
    """What the operators have not told."""

    backends: int = 5000
    lifetime_s: float = 600.0  # of a connection
    change_entries: int = 1  # of a change
    max_utilisation: float = 0.6  # share of a core that a process may use, so that lines do not queue
    cores: int = 8  # of a relay machine

    @property
    def setups_per_s(self) -> float:
        """Set-ups a second of one relay in the ordinary state."""
        return RELAY_CONNECTIONS / self.lifetime_s

    @property
    def name(self) -> str:
        """The two swept figures, for a table."""
        return f"{self.backends:,} backends, {format_lifetime(self.lifetime_s)}"


def format_lifetime(seconds: float) -> str:
    """A connection's life as the operators' page writes it."""
    if seconds < 60:
        return f"{seconds:.0f} s"
    return f"{seconds / 60:.0f} min" if seconds < 3600 else f"{seconds / 3600:.0f} h"


def swept_assumptions() -> Iterator[Assumptions]:
    """Every pair of the swept figures."""
    for backends, lifetime_s in product(BACKENDS, CONNECTION_LIFETIMES_S):
        yield Assumptions(backends, lifetime_s)
