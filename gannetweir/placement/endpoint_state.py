"""What the decision module remembers: servers, requests, and the table of probe answers. No decisions."""

from __future__ import annotations

import zlib
from collections.abc import Container
from dataclasses import dataclass, field
from itertools import islice

from gannetweir.placement.actions import WriteLog
from gannetweir.placement.events import EndpointEntry, EndpointId, EndpointStatus
from gannetweir.placement.settings import RequestClass, Settings


@dataclass(slots=True, eq=False)
class EndpointState:
    """What this gateway knows of one server."""

    id: EndpointId
    zone: int
    cell: int
    started_us: int
    status: int = EndpointStatus.REMOVED
    has_report: bool = False  # x and x0 are from a report
    connections: float = 0.0  # open connections, own placements since the report included
    load: float = 0.0  # load over capacity, likewise
    reported_us: int = 0  # when the last report came
    probed_us: int = 0
    migrated_us: int = 0
    ejected_until_us: int = 0  # set aside until then
    ejection_count: int = 0
    recent_placements: list[tuple[int, float]] = field(
        default_factory=list
    )  # when, and how many mean loads: the latest
    ranking_key: int = 0  # a number of its id, the same at every gateway
    machine_type: int = 0  # of its machine, as listed: capacities differ from kind to kind
    request_ids: dict[int, None] = field(
        default_factory=dict
    )  # own attempts and connections; a dict keeps order

    @classmethod
    def from_entry(cls, entry: EndpointEntry) -> EndpointState:
        """A server that is new to the list."""
        place = zlib.crc32(str(entry.endpoint_id).encode())
        return cls(
            entry.endpoint_id,
            entry.zone,
            entry.cell,
            entry.started_us,
            ranking_key=place,
            machine_type=entry.machine_type,
        )

    def slow_start_share(self, now_us: int, settings: Settings) -> float:
        """The share of its capacity that it has for certain, by the stated rule of cold servers."""
        age = now_us - self.started_us
        if not self.started_us or age >= settings.slow_start_window_us:
            return 1.0
        return settings.slow_start_min_share + (1.0 - settings.slow_start_min_share) * max(
            0.0, age / settings.slow_start_window_us
        )

    def restart(self, started_us: int) -> None:
        """A process that starts anew owes nothing to what was known of the one before."""
        self.started_us, self.has_report, self.connections, self.load = started_us, False, 0.0, 0.0
        self.reported_us = self.probed_us = self.migrated_us = self.ejected_until_us = self.ejection_count = 0


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that is owed an answer, or a connection that stands."""

    request_class: RequestClass
    tenant: int
    group: int
    deadline_us: int
    load_hint: float
    was_returned: bool = False  # its connection was broken or moved
    previous_endpoint: EndpointState | None = (
        None  # then where it most likely was until just now: reports there still count it
    )
    is_established: bool = False
    attempts: int = 0
    endpoint: EndpointState | None = None
    attempt_started_us: int = 0
    tried_endpoints: list[EndpointState] = field(default_factory=list)
    suspects: list[EndpointState] = field(
        default_factory=list
    )  # failed it in a way that may be the client's fault
    waits_until_us: int = 0  # held until then, at most
    executed_at: EndpointState | None = None  # where the first attempt that may have run went
    executed_us: int = 0


@dataclass(slots=True, eq=False)
class PackingState:
    """The draw for arrivals without a group: the looks on the way, and what it named."""

    awaiting: EndpointState | None = None  # its probe is out
    fallback: EndpointState | None = None  # lowest of the above-average answers of this draw
    target: EndpointState | None = None  # what the draw named, with what is left of its fill
    remaining_fill: int = 0
    samples: int = 0
    sampled_us: int = 0
    waiting_request_ids: list[int] = field(default_factory=list)  # requests held until the answer is in

    def end_fill(self, node: EndpointState) -> None:
        """Nothing more goes there before it has been drawn again."""
        self.target = None if self.target is node else self.target
        self.fallback = None if self.fallback is node else self.fallback


@dataclass(slots=True, eq=False)
class CandidateSearch:
    """The draws for one arrival of a group, in the group's order of servers."""

    examined: list[EndpointState]  # drawn already, or tried before
    awaiting: EndpointState | None = None  # its probe is out
    reported: EndpointState | None = None  # its probe has been answered
    fallback: EndpointState | None = (
        None  # first of those that would do, though one more group is much for them
    )

    def answer(self, node: EndpointState, ready: bool) -> None:
        """The answer is in: the walk goes on from there, or past it."""
        self.awaiting = None
        if ready:
            self.reported = node
            self.examined.remove(node)


class PendingRequests(dict[int, PendingRequest]):
    """The requests and connections of this gateway, by id."""

    def group_endpoints(self, group: int) -> dict[EndpointState, int]:
        """How many of a group are at each server."""
        found: dict[EndpointState, int] = {}
        for flight in self.values():
            if flight.group == group and flight.endpoint is not None:
                found[flight.endpoint] = found.get(flight.endpoint, 0) + 1
        return found

    def setups_at(self, node: EndpointState) -> int:
        """How many are being set up at a server."""
        return sum(not self[rid].is_established for rid in node.request_ids)

    def group_peers_at(self, rid: int, node: EndpointState) -> int:
        """How many more of a request's group are at a server."""
        return sum(self[other].group == self[rid].group for other in node.request_ids if other != rid)

    def groups_at(self, node: EndpointState) -> list[int]:
        """The group of each of a server's."""
        return [self[rid].group for rid in node.request_ids]


class LogThrottle:
    """Log lines, rarely enough."""

    REPEAT_INTERVAL_US = 10_000_000  # a kind of line comes at most this often

    def __init__(self) -> None:
        self.last_us: dict[str, int] = {}

    def line(self, kind: str, text: str, now_us: int) -> list[WriteLog]:
        """The line, if its time has come."""
        if now_us - self.last_us.get(kind, now_us - self.REPEAT_INTERVAL_US) < self.REPEAT_INTERVAL_US:
            return []
        self.last_us[kind] = now_us
        return [WriteLog(f"{kind}: {text}")]


class LoadReportTable:
    """The servers with an answer, oldest first; W, n and the summed loads are kept by increments."""

    def __init__(self) -> None:
        self.endpoints: dict[EndpointState, None] = {}
        self.total_connections = self.total_load = 0.0

    @property
    def mean_connections(self) -> float:
        """W/n."""
        return self.total_connections / len(self.endpoints) if self.endpoints else 0.0

    @property
    def mean_load(self) -> float:
        """The mean load over capacity."""
        return self.total_load / len(self.endpoints) if self.endpoints else 0.0

    def connections_at_full_load(self, cold: Container[EndpointState], least: float) -> dict[int, float]:
        """The connections that load a server of each kind fully, by the reports of the warm ones, or of all
        where none is warm. A kind's mean load counts as `least` or more: near zero it tells no capacity.
        """
        kinds: dict[int, list[EndpointState]] = {}
        for node in [
            n for n in self.endpoints if n not in cold
        ] or self.endpoints:  # a cold one's x0 is of less
            kinds.setdefault(node.machine_type, []).append(node)
        return {
            kind: sum(n.connections for n in nodes) / max(sum(n.load for n in nodes), least * len(nodes))
            for kind, nodes in kinds.items()
        }

    def record(self, node: EndpointState, x: float, x0: float) -> None:
        """Put new figures in; the entry becomes the newest."""
        self.discard(node)
        self.endpoints[node] = None
        node.has_report, node.connections, node.load = True, x, x0
        self.total_connections += x
        self.total_load += x0

    def discard(self, node: EndpointState) -> None:
        """Forget one server's figures."""
        if node in self.endpoints:
            del self.endpoints[node]
            self.total_connections -= node.connections
            self.total_load -= node.load
        if not self.endpoints:
            self.total_connections = self.total_load = 0.0  # rounding must not outlive the entries
        node.has_report = False

    def expire(self, before_us: int) -> None:
        """Forget the oldest entry if its report is older than that."""
        node = next(iter(self.endpoints), None)
        if node is not None and node.reported_us < before_us:
            self.discard(node)


def rendezvous_rank(group: int, place: int) -> int:
    """The rank of a server in a group's order. A crc of both is linear: groups that began at one server then
    went on to the same next one, and a few servers came first for many groups. This mixes (splitmix64).
    """
    most = (1 << 64) - 1
    x = (group + place * 0x9E3779B97F4A7C15) & most
    x = ((x ^ x >> 30) * 0xBF58476D1CE4E5B9) & most
    x = ((x ^ x >> 27) * 0x94D049BB133111EB) & most
    return x ^ x >> 31


class ReadyEndpoints:
    """The ready servers: all of them, and by zone and by cell."""

    MAX_RANKINGS = 256  # groups whose order is remembered: 2 MB of references where there are 1,024 servers

    def __init__(self) -> None:
        self.all: list[EndpointState] = []
        self.by_location: dict[tuple[str, int], list[EndpointState]] = {}
        self.rankings: dict[int, list[EndpointState]] = {}

    def _of(self, node: EndpointState) -> list[list[EndpointState]]:
        keys = (("zone", node.zone), ("cell", node.cell))
        return [self.all, *(self.by_location.setdefault(key, []) for key in keys)]

    def add(self, node: EndpointState) -> None:
        """A server has become ready."""
        self.rankings.clear()
        for pool in self._of(node):
            pool.append(node)

    def remove(self, node: EndpointState) -> None:
        """A server is no longer ready."""
        self.rankings.clear()
        for pool in self._of(node):
            pool.remove(node)

    def ranking(self, group: int) -> list[EndpointState]:
        """A group's order of the ready servers, the same at every gateway; sorted once for each list."""
        found = self.rankings.get(group)
        if found is None:
            while len(self.rankings) >= self.MAX_RANKINGS:
                del self.rankings[next(iter(self.rankings))]
            found = sorted(self.all, key=lambda n: rendezvous_rank(group, n.ranking_key))
            self.rankings[group] = found
        return found

    def highest_ranked(
        self, group: int, count: int, but: Container[EndpointState], zone: int | None = None
    ) -> list[EndpointState]:
        """The first few of a group's order, some left out, or those of one zone."""
        fit = (n for n in self.ranking(group) if n not in but and zone in (None, n.zone))
        return list(islice(fit, count))

    def in_location(self, kind: str, number: int) -> list[EndpointState]:
        """The ready servers of one zone or one cell."""
        return self.by_location.get((kind, number), [])
