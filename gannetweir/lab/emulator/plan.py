"""The plan of an emulated fleet, and the platform settings with which its relays are started."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class EmulatedRequestClass:
    """A request class of the platform's settings, with its share of the load."""

    name: str
    time_budget_ms: int
    importance: float
    arrival_share: float  # the class's share of all arrivals


CLASSES = (
    EmulatedRequestClass("zone-view", 2_000, 1.0, 0.36),
    EmulatedRequestClass("rider-area", 3_000, 3.0, 0.34),
    EmulatedRequestClass("closure-feed", 2_000, 3.0, 0.15),
    EmulatedRequestClass("outlet-status", 3_000, 1.0, 0.15),
)


@dataclass(frozen=True, slots=True)
class EmulatorPlan:
    """The size of a fleet, its addresses and its load."""

    seed: int = 1
    relays: int = 1
    backends: int = 4
    families: tuple[str, ...] = ("ipv4",)
    capacity: int = 400
    store_calls_per_s: float = 2000.0
    sockets: int = 1024
    operators_file: str = ""  # the file's text; empty means no operators' file
    other_connections: int = 0  # connections that each backend adds to its own in load reports and limits


def platform_settings(relays: int) -> dict[str, Any]:
    """Return the platform's settings for a relay of a fleet of this size."""
    return {
        "categories": [
            {
                "name": request_class.name,
                "aim-us": 500_000,
                "hard-limit-us": request_class.time_budget_ms * 1000,
                "idempotency": "repeatable",
                "dedup-scope": "all",
                "importance": request_class.importance,
            }
            for request_class in CLASSES
        ],
        "fleet-size": relays,
        "zone": 0,
        "zones": ["a"],
        "kinds": ["m"],
        "registry-mode": "on_request",
        "contract": {"cold-from": 0.12, "warm-within-us": 23_000_000, "fall-multiple": 4.0},
        "reporting": {"names": ["tps", "concurrent", "x0"], "source": "probe"},
        "family-info": {
            "groups": True,
            "tells-delay": True,
            "tells-load": True,
            "message-aim-us": [100_000.0],
        },
        "limits": {
            "probes": True,
            "max-attempts": 6,
            "connect-timeout-us": 250_000,
            "max-retry-after-us": 1_500_000,
        },
    }
