"""The settings of a small deployment, as the pages show them."""

from __future__ import annotations

ZONES = ("kaloor", "edappally", "vyttila")
CLASSES = (("zone-view", 2, 1.0), ("rider-area", 3, 3.0), ("closure-feed", 2, 3.0), ("outlet-status", 3, 1.0))


def settings(fleet_size: int = 3, registry_mode: str = "on_request") -> dict[str, object]:
    """Return the settings object that a relay is given."""
    return {
        "categories": [
            {
                "name": name,
                "aim-us": 500_000,
                "hard-limit-us": deadline_s * 1_000_000,
                "idempotency": "repeatable",
                "dedup-scope": "all",
                "importance": worth,
                "late-worth": 0.0,
                "stream": True,
                "window-us": 5_000_000,
            }
            for name, deadline_s, worth in CLASSES
        ],
        "client-habits": {"marks-retry": True},
        "contract": {
            "answer-slack-us": 20_000,
            "ask-within-us": 10_000_000,
            "cold-from": 0.12,
            "fall-multiple": 4.0,
            "stop-sending-within-us": 500_000,
            "tip-after-us": 1_500_000,
            "warm-within-us": 23_000_000,
        },
        "family-info": {
            "groups": True,
            "message-aim-us": [100_000.0, 60_000.0, 100_000.0, 100_000.0],
            "mode": "proxy",
            "tells-delay": True,
            "tells-load": True,
        },
        "fees": {"cross-zone": 0.16, "moves": 0.017, "probe": 0.002, "waste": 0.25},
        "fleet-size": fleet_size,
        "kinds": ["std-fast", "std-mid", "std-slow"],
        "limits": {
            "cancel": True,
            "connect-timeout-us": 250_000,
            "max-attempts": 6,
            "max-retry-after-us": 1_500_000,
            "may-duplicate": False,
            "open-cap": 1_000_000,
            "peers": False,
            "probes": True,
            "retry-after": False,
        },
        "rank": 0,
        "registry-mode": registry_mode,
        "reporting": {"names": ["tps", "concurrent", "x0"], "source": "probe"},
        "zone": 0,
        "zones": list(ZONES),
    }
