"""The plan of a simulated fleet: relays, backends, traffic and the settings of the platform."""

from __future__ import annotations

from dataclasses import dataclass
from string import ascii_lowercase

from gannetweir.placement.settings import RequestClass, Settings

SECOND_US = 1_000_000
MACHINE_TYPE_CAPACITIES = 0.6, 1.0, 1.4  # slow, middle and fast machines, relative to the mean capacity
CROSS_ZONE_COST = 0.16  # used only if the fleet has several zones


@dataclass(frozen=True, slots=True)
class Traffic:
    """The traffic of one request class. A plan lists traffic in the order of its classes."""

    arrival_share: float  # the class's share of all arrivals
    mean_duration_us: float = 40 * SECOND_US  # how long a served client stays connected, on average
    retries: int = 1  # retries that the client itself makes, each after a wait


@dataclass(frozen=True, slots=True)
class WorldPlan:
    """The parameters of a simulated world. Equal plans, seed included, give equal runs."""

    seed: int = 1
    relays: int = 3
    backends: int = 12
    arrivals_per_s: float = 2.5  # new connections
    capacity: float = 30.0  # connections per backend, on average
    store_calls_per_s: float = 50.0  # the rate at which the session store serves calls
    groups: int = 40
    sockets: int = 8192
    one_way_delay_us: float = 400.0
    zones: int = 1
    addresses_per_backend: int = 1  # in this order: IPv4, IPv6, a Unix socket
    classes: tuple[RequestClass, ...] = (
        RequestClass("zone-view", 500_000, 2 * SECOND_US, 1.0, "repeatable", "all"),
        RequestClass("rider-area", 500_000, 3 * SECOND_US, 3.0, "repeatable", "all"),
        RequestClass("closure-feed", 500_000, 2 * SECOND_US, 3.0, "repeatable", "all"),
        RequestClass("outlet-status", 500_000, 3 * SECOND_US, 1.0, "repeatable", "all"),
    )
    traffic: tuple[Traffic, ...] = (Traffic(0.36), Traffic(0.34), Traffic(0.15), Traffic(0.15))

    def settings(self, zone: int = 0) -> Settings:
        """Return the settings with which the platform would start a relay in this zone."""
        return Settings(
            classes=list(self.classes),
            relay_count=self.relays,
            zone=zone,
            zone_names=list(ascii_lowercase[: self.zones]),
            machine_types=["slow", "middle", "fast"],
            slow_start_min_share=0.12,
            cross_zone_cost=CROSS_ZONE_COST if self.zones > 1 else 0.0,
            slow_start_window_us=23 * SECOND_US,
            overload_multiple=4.0,
            load_report_fields=["concurrent", "x0"],
            load_report_source="probe",
            load_probes_enabled=True,
            max_attempts=6,
            connect_timeout_us=250_000,
            max_retry_after_us=1_500_000,
            message_latency_objectives_us=[100_000.0],
            groups_enabled=True,
        )
