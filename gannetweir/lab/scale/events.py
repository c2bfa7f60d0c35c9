"""What an event asks of the fleet: clients that come again, set-ups, store calls, and when all is in
force.
"""

from __future__ import annotations

from dataclasses import dataclass

from gannetweir.lab.scale import target
from gannetweir.lab.scale.model import CapacityLoad
from gannetweir.limits import Limits

WATCH_RETRY_S = 0.35  # until a watch that was lost is asked for again, at most
CUT_S = 3600.0


@dataclass(frozen=True, slots=True)
class Event:
    """One event under one pair of assumptions; times are in seconds."""

    name: str
    clients: float | None  # that come again; None: not told
    setups_each: float | None  # at each relay that is left
    setups_s: float | None  # until those relays have set them up, beside their ordinary load
    store_calls: float | None
    sent_kb: float  # to each relay that has to hear of it, one process each
    in_force_s: float  # until what was told is in force, at a relay's bytes a second
    why: str


def _watch_back_s() -> float:
    """From a silent watch to the first byte of the next."""
    return Limits().endpoint_watch_silence_us / 1e6 + WATCH_RETRY_S


def events(load: CapacityLoad, processes: int) -> list[Event]:
    """A relay's restart, a zone's loss and return, an hour's cut, a control machine's death, a backend's
    end.
    """
    whole_kb, entry_kb = load.list_bytes() / 1e3, load.entry_bytes() / 1e3
    rate_kb = target.CONTROL_BYTES_S / 1e3
    start_s = load.record["start.time"].at(load.assumptions.backends) / 1e3
    spare = load.spare_setups_s(processes)

    def event(name: str, clients: float | None, left: int, told_kb: float, wait_s: float, why: str) -> Event:
        each = None if clients is None else clients / left
        busy_s = None if each is None else each / spare
        return Event(name, clients, each, busy_s, clients, told_kb, wait_s + told_kb / rate_kb, why)

    zone = target.ZONE_RELAYS * target.RELAY_CONNECTIONS
    zone_kb = entry_kb * load.assumptions.backends / target.ZONES
    hour_kb = entry_kb * target.CHANGES_A_DAY * CUT_S / 86400
    left, back = target.RELAYS - target.ZONE_RELAYS, _watch_back_s()
    listed = "a whole list, if the watch has to begin again without its base"
    crossing = "clients that cross regions are not told"
    return [
        event(
            "a relay's restart",
            target.RELAY_CONNECTIONS,
            target.RELAYS - 1,
            whole_kb,
            start_s,
            f"its start, then {listed}",
        ),
        event("a zone's loss", zone, left, zone_kb, 0.0, "an entry for each of its backends"),
        event(
            "the same, its shards listed", zone, left, entry_kb * target.ENTRIES[-1], 0.0, "58,000 entries"
        ),
        event(
            "a zone's cold return",
            0.0,
            target.RELAYS,
            whole_kb,
            start_s,
            f"115 relays start; {listed}; no client moves at once",
        ),
        event(
            "an hour's cut between regions, deltas",
            None,
            target.RELAYS,
            hour_kb,
            back,
            f"50 changes of one entry; {crossing}",
        ),
        event("the same, whole lists", None, target.RELAYS, whole_kb, back, listed),
        event(
            "a control machine's death, deltas", 0.0, target.RELAYS, 0.0, back, "100 relays go to 14 others"
        ),
        event("the same, whole lists", 0.0, target.RELAYS, whole_kb, back, listed),
        event(
            "a backend's end",
            target.CONNECTIONS / load.assumptions.backends,
            target.RELAYS,
            entry_kb,
            0.0,
            "one entry",
        ),
    ]
