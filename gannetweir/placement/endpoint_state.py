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
    state: int = EndpointStatus.REMOVED
    known: bool = False  # x and x0 are from a report
    x: float = 0.0  # open connections, own placements since the report included
    x0: float = 0.0  # load over capacity, likewise
    seen_us: int = 0  # when the last report came
    probed_us: int = 0
    moved_us: int = 0
    out_until: int = 0  # set aside until then
    strikes: int = 0
    placed: list[tuple[int, float]] = field(default_factory=list)  # when, and how many mean loads: the latest
    place: int = 0  # a number of its id, the same at every gateway
    kind: int = 0  # of its machine, as listed: capacities differ from kind to kind
    conns: dict[int, None] = field(default_factory=dict)  # own attempts and connections; a dict keeps order

    @classmethod
    def of(cls, entry: EndpointEntry) -> EndpointState:
        """A server that is new to the list."""
        place = zlib.crc32(str(entry.endpoint_id).encode())
        return cls(
            entry.endpoint_id, entry.zone, entry.cell, entry.started_us, place=place, kind=entry.machine_type
        )

    def warmth(self, now_us: int, s: Settings) -> float:
        """The share of its capacity that it has for certain, by the stated rule of cold servers."""
        age = now_us - self.started_us
        if not self.started_us or age >= s.slow_start_window_us:
            return 1.0
        return s.slow_start_min_share + (1.0 - s.slow_start_min_share) * max(
            0.0, age / s.slow_start_window_us
        )

    def restart(self, started_us: int) -> None:
        """A process that starts anew owes nothing to what was known of the one before."""
        self.started_us, self.known, self.x, self.x0 = started_us, False, 0.0, 0.0
        self.seen_us = self.probed_us = self.moved_us = self.out_until = self.strikes = 0


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that is owed an answer, or a connection that stands."""

    cls: RequestClass
    tenant: int
    group: int
    deadline_us: int
    hint: float
    back: bool = False  # its connection was broken or moved
    home: EndpointState | None = (
        None  # then where it most likely was until just now: reports there still count it
    )
    opened: bool = False
    attempts: int = 0
    node: EndpointState | None = None
    sent_us: int = 0
    tried: list[EndpointState] = field(default_factory=list)
    accused: list[EndpointState] = field(
        default_factory=list
    )  # failed it in a way that may be the client's fault
    wait_us: int = 0  # held until then, at most
    ran_node: EndpointState | None = None  # where the first attempt that may have run went
    ran_us: int = 0


@dataclass(slots=True, eq=False)
class PackingState:
    """The draw for arrivals without a group: the looks on the way, and what it named."""

    awaiting: EndpointState | None = None  # its probe is out
    spare: EndpointState | None = None  # lowest of the above-average answers of this draw
    target: EndpointState | None = None  # what the draw named, with what is left of its fill
    fill: int = 0
    looks: int = 0
    answered_us: int = 0
    waiting: list[int] = field(default_factory=list)  # requests held until the answer is in

    def end_fill(self, node: EndpointState) -> None:
        """Nothing more goes there before it has been drawn again."""
        self.target = None if self.target is node else self.target
        self.spare = None if self.spare is node else self.spare


@dataclass(slots=True, eq=False)
class CandidateSearch:
    """The draws for one arrival of a group, in the group's order of servers."""

    looked: list[EndpointState]  # drawn already, or tried before
    awaiting: EndpointState | None = None  # its probe is out
    answered: EndpointState | None = None  # its probe has been answered
    spare: EndpointState | None = None  # first of those that would do, though one more group is much for them

    def answer(self, node: EndpointState, ready: bool) -> None:
        """The answer is in: the walk goes on from there, or past it."""
        self.awaiting = None
        if ready:
            self.answered = node
            self.looked.remove(node)


class PendingRequests(dict[int, PendingRequest]):
    """The requests and connections of this gateway, by id."""

    def members(self, group: int) -> dict[EndpointState, int]:
        """How many of a group are at each server."""
        found: dict[EndpointState, int] = {}
        for flight in self.values():
            if flight.group == group and flight.node is not None:
                found[flight.node] = found.get(flight.node, 0) + 1
        return found

    def pending(self, node: EndpointState) -> int:
        """How many are being set up at a server."""
        return sum(not self[rid].opened for rid in node.conns)

    def others(self, rid: int, node: EndpointState) -> int:
        """How many more of a request's group are at a server."""
        return sum(self[other].group == self[rid].group for other in node.conns if other != rid)

    def groups(self, node: EndpointState) -> list[int]:
        """The group of each of a server's."""
        return [self[rid].group for rid in node.conns]


class LogThrottle:
    """Log lines, rarely enough."""

    AGAIN_US = 10_000_000  # a kind of line comes at most this often

    def __init__(self) -> None:
        self.last: dict[str, int] = {}

    def line(self, kind: str, text: str, now_us: int) -> list[WriteLog]:
        """The line, if its time has come."""
        if now_us - self.last.get(kind, now_us - self.AGAIN_US) < self.AGAIN_US:
            return []
        self.last[kind] = now_us
        return [WriteLog(f"{kind}: {text}")]


class LoadReportTable:
    """The servers with an answer, oldest first; W, n and the summed loads are kept by increments."""

    def __init__(self) -> None:
        self.nodes: dict[EndpointState, None] = {}
        self.sum_x = self.sum_x0 = 0.0

    @property
    def mean_x(self) -> float:
        """W/n."""
        return self.sum_x / len(self.nodes) if self.nodes else 0.0

    @property
    def mean_x0(self) -> float:
        """The mean load over capacity."""
        return self.sum_x0 / len(self.nodes) if self.nodes else 0.0

    def fills(self, cold: Container[EndpointState], least: float) -> dict[int, float]:
        """The connections that load a server of each kind fully, by the reports of the warm ones, or of all
        where none is warm. A kind's mean load counts as `least` or more: near zero it tells no capacity.
        """
        kinds: dict[int, list[EndpointState]] = {}
        for node in [n for n in self.nodes if n not in cold] or self.nodes:  # a cold one's x0 is of less
            kinds.setdefault(node.kind, []).append(node)
        return {
            kind: sum(n.x for n in nodes) / max(sum(n.x0 for n in nodes), least * len(nodes))
            for kind, nodes in kinds.items()
        }

    def enter(self, node: EndpointState, x: float, x0: float) -> None:
        """Put new figures in; the entry becomes the newest."""
        self.drop(node)
        self.nodes[node] = None
        node.known, node.x, node.x0 = True, x, x0
        self.sum_x += x
        self.sum_x0 += x0

    def drop(self, node: EndpointState) -> None:
        """Forget one server's figures."""
        if node in self.nodes:
            del self.nodes[node]
            self.sum_x -= node.x
            self.sum_x0 -= node.x0
        if not self.nodes:
            self.sum_x = self.sum_x0 = 0.0  # rounding must not outlive the entries
        node.known = False

    def age(self, before_us: int) -> None:
        """Forget the oldest entry if its report is older than that."""
        node = next(iter(self.nodes), None)
        if node is not None and node.seen_us < before_us:
            self.drop(node)


def spread(group: int, place: int) -> int:
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

    ORDERS = 256  # groups whose order is remembered: 2 MB of references where there are 1,024 servers

    def __init__(self) -> None:
        self.all: list[EndpointState] = []
        self.parts: dict[tuple[str, int], list[EndpointState]] = {}
        self.orders: dict[int, list[EndpointState]] = {}

    def _of(self, node: EndpointState) -> list[list[EndpointState]]:
        keys = (("zone", node.zone), ("cell", node.cell))
        return [self.all, *(self.parts.setdefault(key, []) for key in keys)]

    def add(self, node: EndpointState) -> None:
        """A server has become ready."""
        self.orders.clear()
        for pool in self._of(node):
            pool.append(node)

    def remove(self, node: EndpointState) -> None:
        """A server is no longer ready."""
        self.orders.clear()
        for pool in self._of(node):
            pool.remove(node)

    def order(self, group: int) -> list[EndpointState]:
        """A group's order of the ready servers, the same at every gateway; sorted once for each list."""
        found = self.orders.get(group)
        if found is None:
            while len(self.orders) >= self.ORDERS:
                del self.orders[next(iter(self.orders))]
            found = sorted(self.all, key=lambda n: spread(group, n.place))
            self.orders[group] = found
        return found

    def first(
        self, group: int, count: int, but: Container[EndpointState], zone: int | None = None
    ) -> list[EndpointState]:
        """The first few of a group's order, some left out, or those of one zone."""
        fit = (n for n in self.order(group) if n not in but and zone in (None, n.zone))
        return list(islice(fit, count))

    def part(self, kind: str, number: int) -> list[EndpointState]:
        """The ready servers of one zone or one cell."""
        return self.parts.get((kind, number), [])
