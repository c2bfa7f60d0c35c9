"""The load that an event puts on the fleet: returning clients, set-ups, session-store calls, and the time
until the changes are in force.
"""

from __future__ import annotations

from dataclasses import dataclass

from gannetweir.lab.scale import target
from gannetweir.lab.scale.model import CapacityLoad
from gannetweir.limits import Limits

WATCH_RETRY_S = 0.35  # the longest delay before a relay opens a lost watch again
PARTITION_S = 3600.0


@dataclass(frozen=True, slots=True)
class Event:
    """An event in the fleet under one pair of assumptions, and the load it causes; times are in seconds."""

    name: str
    clients: float | None  # clients that return; None if not given
    setups_per_relay: float | None  # set-ups at each remaining relay
    # Time for the remaining relays to set up the returning clients in addition to their steady load.
    setup_duration_s: float | None
    store_calls: float | None
    update_kb: float  # KB sent to each relay that needs the change, for one process
    in_force_s: float  # time until the change is in force, at a relay's control bandwidth
    explanation: str


def _watch_reconnect_s() -> float:
    """Return the seconds from the last byte of a silent watch to the first byte of the next watch."""
    return Limits().endpoint_watch_silence_us / 1e6 + WATCH_RETRY_S


def events(load: CapacityLoad, processes: int) -> list[Event]:
    """Return the loads of these events: a relay's restart, the loss and the return of a zone, an hour's
    partition between regions, the loss of a control machine and the loss of a backend.
    """
    snapshot_kb, entry_kb = load.snapshot_bytes() / 1e3, load.entry_bytes() / 1e3
    rate_kb_per_s = target.CONTROL_BYTES_PER_S / 1e3
    start_s = load.record["start.time"].at(load.assumptions.backends) / 1e3
    spare = load.spare_setups_per_s(processes)

    def event(
        name: str, clients: float | None, remaining: int, sent_kb: float, delay_s: float, explanation: str
    ) -> Event:
        setups_each = None if clients is None else clients / remaining
        setup_s = None if setups_each is None else setups_each / spare
        return Event(
            name,
            clients,
            setups_each,
            setup_s,
            clients,
            sent_kb,
            delay_s + sent_kb / rate_kb_per_s,
            explanation,
        )

    zone_clients = target.ZONE_RELAYS * target.RELAY_CONNECTIONS
    zone_kb = entry_kb * load.assumptions.backends / target.ZONES
    partition_kb = entry_kb * target.CHANGES_PER_DAY * PARTITION_S / 86400
    remaining, reconnect_s = target.RELAYS - target.ZONE_RELAYS, _watch_reconnect_s()
    snapshot_note = "a whole list, if the watch has to begin again without its base"
    cross_region_note = "clients that cross regions are not told"
    return [
        event(
            "a relay's restart",
            target.RELAY_CONNECTIONS,
            target.RELAYS - 1,
            snapshot_kb,
            start_s,
            f"its start, then {snapshot_note}",
        ),
        event("a zone's loss", zone_clients, remaining, zone_kb, 0.0, "an entry for each of its backends"),
        event(
            "the same, its shards listed",
            zone_clients,
            remaining,
            entry_kb * target.CHANGE_ENTRIES[-1],
            0.0,
            "58,000 entries",
        ),
        event(
            "a zone's cold return",
            0.0,
            target.RELAYS,
            snapshot_kb,
            start_s,
            f"115 relays start; {snapshot_note}; no client moves at once",
        ),
        event(
            "an hour's cut between regions, deltas",
            None,
            target.RELAYS,
            partition_kb,
            reconnect_s,
            f"50 changes of one entry; {cross_region_note}",
        ),
        event("the same, whole lists", None, target.RELAYS, snapshot_kb, reconnect_s, snapshot_note),
        event(
            "a control machine's death, deltas",
            0.0,
            target.RELAYS,
            0.0,
            reconnect_s,
            "100 relays go to 14 others",
        ),
        event("the same, whole lists", 0.0, target.RELAYS, snapshot_kb, reconnect_s, snapshot_note),
        event(
            "a backend's end",
            target.CONNECTIONS / load.assumptions.backends,
            target.RELAYS,
            entry_kb,
            0.0,
            "one entry",
        ),
    ]
