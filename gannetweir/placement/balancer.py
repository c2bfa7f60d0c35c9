"""Every decision of the balancer: PACKING, from "The Power of Filling", and the rest of docs/design.md."""

from __future__ import annotations

import math
import random
from itertools import chain, islice
from typing import Any

from gannetweir.placement.actions import (
    Action,
    FailRequest,
    MigrateConnection,
    ProbeLoad,
    RejectRequest,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from gannetweir.placement.endpoint_state import (
    CandidateSearch,
    EndpointState,
    LoadReportTable,
    LogThrottle,
    PackingState,
    PendingRequest,
    PendingRequests,
    ReadyEndpoints,
)
from gannetweir.placement.events import (
    NOT_EXECUTED,
    AttemptEnded,
    AttemptStatus,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionMetric,
    ConnectionResumed,
    EndpointId,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    LoadProbeResult,
    MetricKind,
    RequestArrived,
    RequestFlag,
    TimerExpired,
    UpdateKind,
)
from gannetweir.placement.settings import Settings

FRESH_US = 1_000_000  # reports are up to about a second old when read; a fill does not outlive another
MEMORY_US = 20_000_000  # table entries older than this no longer describe the fleet
GROUP = 3.0  # mean connection loads that a server pays for each group it holds any of
NEW = 0.7  # load up to which a group gets a place in a gateway's own zone beside where it belongs
KEEP = 2  # servers that a group belongs to: one takes it, one more what that has no room for
LOOKS = 8  # as REDRAWS, for a group: its order of servers is fixed, so no look is made twice
REDRAWS = 3  # answers looked at, at most, before an above-average server is taken all the same
LIMIT, LIMIT_MIN, LIMIT_MAX = 0.8, 0.6, 0.9  # load up to which a server is sent to: at first, and its range
RESERVE = 0.1  # of that, kept for the worth most; and the overshoot at which a server is relieved
THROTTLE_US = 4e6  # memory of the throttle: a few times a client's wait
COLD_SHARE = 0.6  # of a cold server's budget: the rest is for chance, probes and heavy connections
LIFE_PRIOR = 0.1, 4e6  # ends and time as if seen: until measured, a life passes for a long one
TICK_US = 1_000_000  # upkeep, each instance at its own phase; nothing here must be noticed sooner
ASK_US = 100_000  # how far apart the instances' first calls to the server list lie on average
AGAIN_US, ROUND_US = 350_000, 3_100_000  # the first wait, then doubled; from call to call at most: fits 6 s
PENDING = 5  # set-ups at a server at once, from this gateway
HELD_BACK = EndpointState(None, 0, 0, 0)  # no server: the answer to a draw is awaited
REPORT_US = 1_300_000  # age of a report when it is read: its period and its delay
BLIND = 0.05  # load that a mean connection adds where nothing is known
ADVICE = 0.5, 1.0  # of the longest advice on when to come again; sooner, those refused keep a rush going
SLOW = 3  # doublings of a set-up's time, at most: eight aims outlast clients, who give up after four to six
FEW = 2.0  # arrivals that the throttle lets pass before it judges: each of many relays lets as many pass
HOMING = 0.1  # of the connections that cross zones, how many move home in a second
TICK, ASK, HELD = 1, 2, 3


class Balancer:
    """One gateway's decisions: pure, no clock, no input or output."""

    def __init__(self, settings: Settings, seed: int, now_us: int) -> None:
        self.rng, self.out = random.Random(seed), list[Action]()
        self.nodes: dict[EndpointId, EndpointState] = {}
        self.pools, self.table, self.flights, self.logs = (
            ReadyEndpoints(),
            LoadReportTable(),
            PendingRequests(),
            LogThrottle(),
        )
        self.ready, self.drawn, self.draw = (
            self.pools.all,
            list[EndpointState](),
            PackingState(),
        )  # drawn: who answered last
        self.walks, self.later = dict[int, CandidateSearch](), dict[int, int]()  # with one; when to try again
        self.cold, self.turns = dict[EndpointState, None](), list[EndpointState]()
        self.limit, self.slow, self.late, self.refused = LIMIT, 0, False, False
        self.asked = self.took = self.bad = self.let_us = 0.0  # recent arrivals, set-ups, share that failed
        self.start_us, self.last_us, self.hint_mean, self.lived_us, self.ended = now_us, now_us, 0.0, 0.0, 0
        self.subscribed, self.asking, self.ask_us, self.ask_fails = (
            not settings.polls_endpoint_list,
            False,
            0,
            0,
        )
        self.first: list[Action] = [SetTimer(TICK, self.rng.randrange(TICK_US) + 1)]
        if settings.polls_endpoint_list:
            spread = min(settings.poll_interval_us / 4, ASK_US * settings.relay_count, ROUND_US)
            self.first.append(SetTimer(ASK, int(spread * self.rng.random()) + 1))
        self.configure(settings)
        self.on: dict[type, Any] = {
            EndpointListUpdate: self._list,
            ConnectionMetric: self._note,
            TimerExpired: self._timer,
        }
        self.on |= {
            RequestArrived: self._request,
            ConnectionResumed: self._resumed,
            ConnectionEstablished: self._established,
        }
        self.on |= {
            AttemptEnded: self._outcome,
            ClientDisconnected: self._gone,
            LoadProbeResult: self._probed,
        }

    def configure(self, settings: Settings) -> None:
        """Decide by these settings from now on. What is known of servers and connections stays."""
        self.s = settings
        self.worth = max(c.priority_weight for c in settings.classes) or 1.0
        names = settings.load_report_fields if settings.load_report_source != "none" else []
        self.at_x = names.index("concurrent") if "concurrent" in names else -1
        self.at_x0 = names.index("x0") if "x0" in names else -1
        self.probes = settings.load_probes_enabled and self.at_x >= 0
        self.near = settings.cross_zone_cost > 0 and len(settings.zone_names) > 1

    def handle(self, event: Event, now_us: int) -> list[Action]:
        """Take one event, return the actions in the order in which they are to be carried out."""
        self.out, self.first = self.first, []
        self.on.get(type(event), lambda *_: None)(event, now_us)
        return self.out

    # ---- the server list

    def _list(self, event: EndpointListUpdate, now: int) -> None:
        if event.kind == UpdateKind.FAILED:  # the old list holds; ask again, later each time, up to a round
            left = max(0, ROUND_US - (now - self.ask_us if self.asking else 0))
            wait = min(self.s.poll_interval_us, AGAIN_US << min(self.ask_fails, 4), left)
            self.subscribed, self.asking, self.ask_fails = (
                not self.s.polls_endpoint_list,
                False,
                self.ask_fails + 1,
            )
            self.out.append(SetTimer(ASK, int(wait * self.rng.uniform(0.5, 1.0)) + 1))
            return
        if event.kind != UpdateKind.CACHED and self.asking:
            self.subscribed, self.asking, self.ask_fails = True, False, 0
        if event.kind != UpdateKind.DELTA:
            listed = {entry.endpoint_id for entry in event.entries}
            for node in [n for n in self.nodes.values() if n.id not in listed]:
                self._leave(node, EndpointStatus.REMOVED)
        for entry in event.entries:
            node = self.nodes.setdefault(entry.endpoint_id, EndpointState.of(entry))
            if entry.started_us != node.started_us:
                self.table.drop(node)
                self.draw.end_fill(node)  # a draw from before the start knew a warm one
                node.restart(entry.started_us)
            if entry.state != EndpointStatus.READY:
                self._leave(node, entry.state)
            elif node.state != EndpointStatus.READY:
                node.state, node.zone, node.cell = EndpointStatus.READY, entry.zone, entry.cell
                self.pools.add(node)
            if node.state == EndpointStatus.READY and node.warmth(now, self.s) < 1.0:
                self.cold[node] = None
        if self.draw.target is None:
            self._draw_ahead(now)

    def _leave(self, node: EndpointState, state: int) -> None:
        """Draining or gone: nothing new from this moment on, whatever grace is stated."""
        if node.state == EndpointStatus.READY:
            self.pools.remove(node)
            self.drawn = []
            self.table.drop(node)
            self.cold.pop(node, None)
            self.turns = [n for n in self.turns if n is not node]
            self.draw.end_fill(node)
        node.state = state

    def _ask(self, now: int) -> None:
        """Subscribe where the list must be asked; an answer that never comes must not end the asking."""
        if not self.subscribed and not (self.asking and now - self.ask_us < 2 * ROUND_US):
            self.asking, self.ask_us = True, now
            self.out.append(WatchEndpoints(1))

    # ---- PACKING

    def _draw(self, pool: list[EndpointState], now: int, skip: list[EndpointState]) -> EndpointState | None:
        """A uniform draw among the servers that may be sent to; cold ones have turns, unless all are cold."""
        all_cold = len(self.cold) >= len(self.ready)
        for _ in range(12 if pool else 0):
            node = pool[int(self.rng.random() * len(pool))]
            if node.out_until <= now and node not in skip and (all_cold or node not in self.cold):
                return node
        return None

    def _give_turns(self, now: int) -> None:
        """Cold servers are drawn, over all gateways, as fits their budget. Turns not used in a tick lapse."""
        self.turns, self.cold = [], {n: None for n in self.cold if n.warmth(now, self.s) < 1.0}
        fills = self.table.fills(self.cold, 0.3 if self.at_x0 >= 0 else 1.0)
        ends = (self.ended + LIFE_PRIOR[0]) / (self.lived_us + LIFE_PRIOR[1])
        share = COLD_SHARE * self.s.overload_multiple / self.s.relay_count * ends
        for node in self.cold:  # the mean of all kinds would let the slowest fall
            rate = share * node.warmth(now, self.s) * fills.get(node.kind, min(fills.values(), default=0.0))
            self.turns.extend([node] * int(min(1e3, rate * TICK_US + self.rng.random())))  # they are kept

    def _draw_ahead(self, now: int) -> None:
        if self.draw.awaiting is not None:
            return
        near = self.pools.part("zone", self.s.zone) if self.near and self.draw.looks < REDRAWS - 1 else []
        # A turn is for an arrival: where all have groups, a draw got ahead for none would use it up.
        node = self.turns.pop() if self.turns and (self.draw.waiting or not self.s.groups_enabled) else None
        if node := node or self._draw(near, now, []) or self._draw(self.ready, now, []):
            self._look(node, now)

    def _look(self, node: EndpointState, now: int) -> None:
        self.draw.looks += 1
        if self.probes:
            self.draw.awaiting = node
            self._probe(node, now)
            return
        node.x = float(len(node.conns))
        self._settle(node, now)

    def _allotment(self, node: EndpointState, now: int) -> int:
        """Arrivals that fill the server to the mean, or 0 if it is not below it."""
        mean = self.table.mean_x if self.probes else len(self.flights) / max(1, len(self.ready))
        if self.at_x0 >= 0 and node.x > 0.0 and node.x0 > 0.05 * self.table.mean_x0:
            # Unequal servers: the count that loads this one as the mean one; near zero x0 tells no capacity.
            mean = node.x * self.table.mean_x0 / node.x0
        if node.x >= mean:
            return 0
        if node in self.cold or (self.probes and not node.known):
            return 1  # all gateways' fills would push a cold one over, and what is unknown may be full
        # About gateways/servers of us fill the same server: take this one's share of the fill.
        crowd = max(1.0, self.s.relay_count / max(1, len(self.ready)))
        return max(1, int((math.ceil(mean) + 1 - node.x) / crowd + self.rng.random() * (crowd > 1.0)))

    def _settle(self, node: EndpointState, now: int) -> None:
        """The drawn server's answer is in: it becomes the target, or the draw goes on."""
        d, fill = self.draw, self._allotment(node, now)
        if not fill and (self.s.relay_count > 1 or (self.at_x0 >= 0 and len(self.table.nodes) > 1)):
            d.spare = min(d.spare or node, node, key=lambda n: (n.x0, n.x))
            if d.looks < REDRAWS:
                self._draw_ahead(now)
                return
            node = d.spare
        d.target, d.fill, d.answered_us, d.spare, d.looks = node, max(1, fill), now, None, 0
        while d.waiting and d.target is not None:
            rid = d.waiting.pop(0)
            if rid in self.flights:
                self._send(rid, self.flights[rid], now)

    def _pick(self, rid: int, flight: PendingRequest, now: int) -> EndpointState | None:
        """The server for this arrival, or none while it waits for an answer that is on its way."""
        if flight.group and self.probes:
            return self._walk(rid, flight, now)
        if self.ready and all(n in flight.tried for n in self.ready):
            return None  # no draw could name one; waiting for it would probe the same ones over and over
        d = self.draw
        node = d.target
        stale = node is None or now - d.answered_us > FRESH_US
        heavy = flight.hint > self.hint_mean  # one heavy connection would spend a cold server's budget
        spent = node in self.cold and (stale or heavy or d.fill > 1)
        if node is not None and (spent or node.out_until > now or node in flight.tried):
            node, d.target, stale = None, None, True
        if self.probes and stale and not now >= flight.wait_us > 0:
            self._hold(flight, now)  # an answer got ahead is stale by the time that few arrivals need it
            d.waiting.append(rid)
            if node is not None and d.awaiting is None:
                d.target = None
                self._look(node, now)
            else:
                self._draw_ahead(now)
            return HELD_BACK
        d.fill, d.target = d.fill - 1, node if d.fill > 1 else None
        # No answer in time: an unprobed draw may find a hung server, the last one that answered is not.
        node = node or self._draw(self.drawn, now, flight.tried) or self._draw(self.ready, now, flight.tried)
        if (
            (most := flight.cls.max_setups_per_endpoint)
            and node is not None
            and self.flights.pending(node) >= most
        ):
            node = self._draw([n for n in self.ready if self.flights.pending(n) < most], now, flight.tried)
        self.drawn = [] if node in self.drawn else self.drawn
        if d.target is None:
            self._draw_ahead(now)
        return node

    def _hold(self, flight: PendingRequest, now: int) -> None:
        if not flight.wait_us:
            flight.wait_us = now + min(
                int(flight.cls.latency_objective_us / 3), (flight.deadline_us - now) // 2
            )
            self.out.append(SetTimer(HELD, flight.wait_us - now))

    def _walk(self, rid: int, flight: PendingRequest, now: int) -> EndpointState | None:
        """A group's draws begin where it stands, or in the own zone; they go on where the group belongs."""
        walk = self.walks.setdefault(rid, CandidateSearch(list(flight.tried)))
        homes, all_cold = self.flights.members(flight.group), len(self.cold) >= len(self.ready)
        first = sorted(self.pools.first(flight.group, KEEP, self.cold), key=lambda n: n.zone != self.s.zone)
        held = sorted(homes, key=lambda n: (self.near and n.zone != self.s.zone, -homes[n]))
        late, crowded = now >= flight.wait_us > 0, False
        turns = [n for n in (walk.answered, *self.turns[-1:]) if n is not None]
        own = self.pools.first(flight.group, 1, self.cold, self.s.zone) if self.near else []
        here = [n for n in held if not self.near or n.zone == self.s.zone]
        path = chain(turns, here, own, held, first, self.pools.order(flight.group))
        free = (
            n for n in path if n not in walk.looked and n.out_until <= now and n.state == EndpointStatus.READY
        )
        fit = (n for n in free if all_cold or n not in self.cold or n in turns)
        for node in islice(fit, max(0, LOOKS - len(walk.looked))):
            walk.looked.append(node)
            if flight.back and node not in self.cold and now - self.start_us < 5 * FRESH_US:
                flight.home = flight.home or node
            if node in self.cold and node is not walk.answered and not all_cold:
                self.turns.pop()
            age = now - node.seen_us if node.known else FRESH_US
            fresh = node is walk.answered or age < (FRESH_US if len(walk.looked) > 4 else FRESH_US // 10)
            if not fresh and not late:
                self._hold(flight, now)
                if all(other.awaiting is not node for other in self.walks.values()):
                    self._probe(node, now)
                walk.awaiting = node
                return HELD_BACK
            if self.flights.pending(node) >= (flight.cls.max_setups_per_endpoint or PENDING << late):
                crowded = True
            elif self._fits(node, flight, node in homes, NEW if node in own else self.limit):
                return node
            elif (node in first or node not in own) and not self._full(node, flight):
                walk.spare = walk.spare or node  # never the own zone's extra place: one more to pay for
        if crowded and not late and walk.spare is None:
            self._hold(flight, now)
            self.walks[rid] = CandidateSearch(list(flight.tried))
            return HELD_BACK
        return walk.spare if walk.spare and walk.spare.state == EndpointStatus.READY else None

    def _fits(self, node: EndpointState, flight: PendingRequest, held: bool, most: float) -> bool:
        """Is there room, also for a group that is new there? The server pays for each."""
        more = node.x0 + self._need(node, 1.0 + GROUP * (flight.group > 0)) * (node is not flight.home)
        return not self._full(node, flight) and (held or node in self.cold or more < most)

    # ---- requests

    def _flight(self, event: RequestArrived | ConnectionResumed, due_us: int) -> PendingRequest:
        hint = event.load_hint if event.flags & RequestFlag.LOAD_HINT_VALID else 0
        back = event.flags & RequestFlag.RETURNED > 0
        cls = self.s.classes[event.class_index if event.class_index < len(self.s.classes) else -1]
        group = event.group if self.s.groups_enabled else 0
        return self.flights.setdefault(
            event.request_id, PendingRequest(cls, event.tenant, group, due_us, hint, back)
        )

    def _request(self, event: RequestArrived, now: int) -> None:
        flight = self._flight(event, now + event.time_budget_us)
        keep, self.last_us = math.exp((self.last_us - now) / THROTTLE_US), now
        self.asked, self.took = self.asked * keep + 1.0, self.took * keep
        again = event.flags & RequestFlag.CLIENT_RETRY > 0  # it tells of a failure, at whichever gateway
        most = (1.0 + 2.0 * flight.cls.priority_weight / self.worth) * self.took + FEW / (1 + 3 * again)
        # Where most set-ups fail, abandoned tries keep it so. After a while one passes whatever the chance.
        if stop := now < self.let_us and self.rng.random() < 1.0 - most / (self.asked - 0.5 * again):
            self.out += self.logs.line("throttle", f"{self.took:.1f} of {self.asked:.1f} arrivals stand", now)
        self.took, self.let_us = self.took + 1.0, self.let_us if stop else now + 3 * THROTTLE_US  # a while
        (self._finish if stop else self._send)(event.request_id, flight, now)

    def _send(self, rid: int, flight: PendingRequest, now: int) -> None:
        """The next attempt, or the final answer where none is allowed or left."""
        cls, left, node = flight.cls, flight.deadline_us - now, None
        if flight.attempts < (cls.max_attempts or self.s.max_attempts) and left > 0:
            # May have run: only where repeats are dropped, and while they will be remembered on arrival.
            late = now + (cls.connect_timeout_us or self.s.connect_timeout_us)
            kept = cls.idempotency == "by_key" and late - flight.ran_us < cls.idempotency_window_us
            again = cls.retries_executed_attempts and (kept or cls.idempotency == "repeatable")
            if flight.ran_node is None or (again and cls.is_idempotent_everywhere):
                node = self._pick(rid, flight, now)
            elif again:
                number = flight.ran_node.zone if cls.idempotency_scope == "zone" else flight.ran_node.cell
                node = self._draw(self.pools.part(cls.idempotency_scope, number), now, flight.tried)
            if node is HELD_BACK:
                return
        self.walks.pop(rid, None)
        if node is None or self._full(node, flight):
            if node is not None or flight.group:
                self.refused = True
                self.out += self.logs.line("overload", f"mean {self.table.mean_x0:.2f}", now)
            self._finish(rid, flight, now)
            return
        # Leave time for another attempt, a longer one each time; a slow store is not asked again and again.
        timeout, last = (
            int(cls.latency_objective_us) << len(flight.tried) + self.slow,
            cls.max_attempts or self.s.max_attempts,
        )
        if flight.attempts + 1 >= last or timeout * 2 > left or self.bad > 0.4:
            timeout = left
        flight.attempts, flight.node, flight.sent_us = flight.attempts + 1, node, now
        flight.tried.append(node)
        node.conns[rid] = None
        paid = flight.group == 0 or self.flights.others(rid, node) > 0 or node is flight.home
        size = self._size(flight) + GROUP * (not paid)
        node.placed = [p for p in node.placed if now - p[0] < REPORT_US] + [(now, size)]
        if node.known:  # until the next report, this placement is known to nobody else
            self.table.enter(node, node.x + 1.0, node.x0 + self._need(node, size))
        self.out.append(StartAttempt(rid, node.id, max(1, cls.attempt_timeout_us or timeout)))

    def _size(self, flight: PendingRequest) -> float:
        return flight.hint / self.hint_mean if flight.hint and self.hint_mean else 1.0

    def _need(self, node: EndpointState, size: float) -> float:
        """What so many mean loads add to x0 there, judged by what the others make."""
        own = node.x >= 3.0 and node.x0 > 0.0
        x, x0 = (node.x, node.x0) if own else (self.table.sum_x, self.table.sum_x0)
        groups = (
            len(set(self.flights.groups(node)) if own else self.table.nodes) if self.s.groups_enabled else 0
        )
        unit = x0 / (x + GROUP * groups) if x0 > 0.0 and x > 0.0 else BLIND  # part of x0 is the groups'
        return size * unit

    def _full(self, node: EndpointState, flight: PendingRequest) -> bool:
        """In overload a server that takes all serves none: past the limit refuse, the least worth first."""
        if self.at_x0 < 0 or not node.known:
            return flight.group > 0 and len(node.placed) >= 4  # a group's would all go there unseen
        limit = self.limit - 0.5 * RESERVE * (1.0 - flight.cls.priority_weight / self.worth)
        return node.x0 + 0.5 * self._need(node, self._size(flight)) * (node is not flight.home) >= limit

    def _finish(self, rid: int, flight: PendingRequest, _now: int) -> None:
        del self.flights[rid]
        self.took = max(0.0, self.took - (flight.attempts == 0))
        refuse = (
            flight.ran_node is None or flight.cls.is_idempotent_everywhere
        )  # trying again is known to do no harm
        wait = int(self.s.max_retry_after_us * self.rng.uniform(*ADVICE)) * self.s.sends_retry_after
        self.out.append(RejectRequest(rid, wait) if refuse else FailRequest(rid))

    def _resumed(self, event: ConnectionResumed, now: int) -> None:
        node = self.nodes.get(event.endpoint_id)
        flight = self._flight(event, now)
        flight.opened, flight.attempts, flight.node, self.start_us = True, 1, node, 0  # none came before
        if node is not None:
            node.conns[event.request_id] = None
            self.table.drop(node)  # a report from before it came does not count it
            node.probed_us = 0
            self.draw.end_fill(node)

    def _established(self, event: ConnectionEstablished, now: int) -> None:
        flight = self.flights.get(event.request_id)
        if flight is not None and not flight.opened and flight.node is not None:
            flight.opened, flight.home, flight.node.strikes = True, None, 0
            for node in flight.accused:
                self._set_aside(node, now)
            self.bad -= self.bad / 8
            self.slow = min(
                SLOW, int(2 * event.elapsed_us / max(1.0, flight.cls.latency_objective_us)).bit_length()
            )

    def _gone(self, event: ClientDisconnected, now: int) -> None:
        flight, _ = self.flights.pop(event.request_id, None), self.walks.pop(event.request_id, None)
        if flight is not None and flight.node is not None:
            flight.node.conns.pop(event.request_id, None)

    def _outcome(self, event: AttemptEnded, now: int) -> None:
        flight = self.flights.get(event.request_id)
        if flight is None or event.attempt != flight.attempts - 1:
            return
        if (node := flight.node) is not None:
            node.conns.pop(event.request_id, None)
        if event.closed or flight.opened or node is None:
            self.ended += flight.opened
            del self.flights[event.request_id]
            return
        if flight.ran_node is None and event.status not in NOT_EXECUTED:
            flight.ran_node, flight.ran_us = node, flight.sent_us
        if event.status in (AttemptStatus.ERROR, AttemptStatus.RESET) or event.address_fault:
            # So servers end what they can't use of a client's: at fault only once another has taken it.
            flight.accused += [node] * (not event.address_fault)
        else:
            self.bad += (1.0 - self.bad) / 8
            self.slow = min(SLOW, self.slow + (event.status == AttemptStatus.TIMEOUT))
            self.took = max(0.0, self.took - (flight.attempts == 1))
            if event.status in (AttemptStatus.TIMEOUT, AttemptStatus.CONNECT_FAILED):
                self._set_aside(node, now)
        self.draw.end_fill(node)  # refused or failed: a fresh draw places this one
        flight.tried = [n for n in flight.tried if n is not node or not event.address_fault]  # by another way
        stop = (
            event.status in (AttemptStatus.NOT_STARTED, AttemptStatus.CANCELLED) or self.bad > 0.5
        )  # more tries add to the load
        wait = 0 if stop else flight.cls.backoff_us(flight.attempts, flight.sent_us, now, self.rng.random)
        if 0 < wait < flight.deadline_us - now:  # else no time is left for it: answered at once
            self.later[event.request_id] = now + wait
            self.out.append(SetTimer(HELD, wait))
        else:
            (self._finish if stop or wait else self._send)(event.request_id, flight, now)

    # ---- health and load

    def _set_aside(self, node: EndpointState, now: int) -> bool:
        """A hung server's count looks ordinary: time-outs are the evidence. Back after growing waits."""
        if node.state != EndpointStatus.READY or node.out_until > now:
            return node.out_until > now
        aside = sum(n.out_until > now for n in self.ready)
        if 3 * (aside + 1) > len(self.ready):  # many at once have a shared cause (store, overload)
            self.out += self.logs.line("shared cause", f"{aside} servers set aside, no more", now)
            return False
        node.strikes = min(node.strikes + 1, 5)
        node.out_until = now + int((500_000 << node.strikes) * self.rng.uniform(0.75, 1.25))
        self.draw.end_fill(node)
        self.out += self.logs.line("set aside", f"strike {node.strikes}, {aside + 1} in all", now)
        return True

    def _probed(self, event: LoadProbeResult, now: int) -> None:
        node = self.nodes.get(event.endpoint_id)
        if node is None:
            return
        if drawn := node is self.draw.awaiting:
            self.draw.awaiting = None
        if (
            event.status == AttemptStatus.OK
            and 0 <= self.at_x < len(r := event.load_report)
            and all(map(math.isfinite, r))
        ):
            node.seen_us = now
            if node.state == EndpointStatus.READY:
                self.drawn = [node] if drawn else self.drawn
                x0 = r[self.at_x0] if 0 <= self.at_x0 < len(r) else 0.0
                self._enter(node, max(0.0, r[self.at_x]), max(0.0, x0), now)
                self._relieve(node, now)
        elif event.status in (AttemptStatus.TIMEOUT, AttemptStatus.CONNECT_FAILED) and self._set_aside(
            node, now
        ):
            self.out.extend(MigrateConnection(rid) for rid in node.conns if self.flights[rid].opened)
        ready = node.state == EndpointStatus.READY and node.out_until <= now
        if drawn and ready:
            self._settle(node, now)  # an answer without a report counts as a look, or looks would never end
        elif drawn and (self.draw.waiting or self.draw.target is None):
            self._draw_ahead(now)
        for rid in [rid for rid, walk in self.walks.items() if walk.awaiting is node]:
            self.walks[rid].answer(node, ready)
            self._send(rid, self.flights[rid], now)

    def _enter(self, node: EndpointState, x: float, x0: float, now: int) -> None:
        """A report is a second or two old when it is read: what came since is put on top of it."""
        self.table.enter(node, x, x0)
        node.placed = [(at, load) for at, load in node.placed if now - at < REPORT_US]
        # one that counts fewer than this gateway alone holds there is older than those, whatever its age
        lacks = max(0, int(sum(self.flights[r].opened for r in node.conns) - x - len(node.placed)))
        late = [load for _, load in node.placed] + [1.0] * lacks
        if lacks:  # the next one may know them, and what is overloaded from the start is to be relieved soon
            node.probed_us = 0
            self.out.append(SetTimer(HELD, TICK_US // 4))
        if late:
            self.table.enter(node, x + len(late), x0 + self._need(node, sum(late)))

    def _probe(self, node: EndpointState, now: int) -> None:
        node.probed_us = now
        self.out.append(ProbeLoad(node.id))

    def _note(self, event: ConnectionMetric, now: int) -> None:
        node, flight = self.nodes.get(event.endpoint_id), self.flights.get(event.request_id)
        if node is None or flight is None or not math.isfinite(event.value):
            return
        if event.kind == MetricKind.LOAD:
            flight.hint = max(0.0, event.value)
        elif event.kind == MetricKind.MESSAGE_DELAY and event.value * 1000 >= min(
            self.s.message_latency_objectives_us, default=1e5
        ):
            self.late |= node.known and node.x0 < self.limit and now - node.seen_us < 4 * FRESH_US
            if self.probes and now - node.probed_us > 2 * FRESH_US:
                self._probe(node, now)

    def _refresh(self, now: int) -> None:
        """What resumed at a server, or came while its reports were old, may overload it unseen."""
        for node in (n for n in self.ready if n.conns and self.probes):
            wait = (2 if node.x0 > 0.7 * self.limit else 5) if node.known else 1
            if node.known and node.x0 < self.limit:  # all that hold some there ask: they share it
                wait *= int(min(4, max(1, min(self.s.relay_count, node.x / len(node.conns)) / 4)))
            if now - node.probed_us >= wait * FRESH_US:
                self._probe(node, now)

    def _go_home(self, now: int) -> None:
        """A crossing is paid for as long as it stands: one moves to its group's place in the own zone."""
        away = [(r, f) for r, f in self.flights.items() if f.opened and f.node and f.node.zone != self.s.zone]
        if self.rng.random() >= HOMING * len(away):
            return
        rid, flight = self.rng.choice(away)
        own = self.pools.first(flight.group or rid, 1, self.cold, self.s.zone)
        if own and (not own[0].known or now - own[0].seen_us > 2 * FRESH_US):
            self._probe(own[0], now)
        elif own and own[0].out_until <= now and self._fits(own[0], flight, False, NEW):
            self.out.append(MigrateConnection(rid))

    def _relieve(self, node: EndpointState, now: int) -> None:
        """Past its capacity a server serves nobody: move off the excess."""
        if node.x0 <= self.limit + RESERVE or not node.conns or now - node.moved_us < 2 * FRESH_US:
            return
        node.moved_us, part, mean = now, 1.0 - self.limit / node.x0, self.table.mean_x0
        own = [(rid, self.flights[rid]) for rid in node.conns if self.flights[rid].opened]
        excess = part * sum(f.hint for _, f in own)  # this gateway's share of it
        # Most load is in a few heavy connections: moving those ends the excess with the fewest moves.
        for rid, flight in sorted(own, key=lambda c: -c[1].hint):
            # What would overload the mean server too only wanders; where all are past the limit, it is lost.
            if mean <= self.limit and mean + self._need(node, self._size(flight)) >= node.x0:
                continue
            if self.rng.random() < (excess / flight.hint if flight.hint else part):
                self.out.append(MigrateConnection(rid))
                excess = max(0.0, excess - flight.hint)

    def _timer(self, event: TimerExpired, now: int) -> None:
        if event.token == ASK:
            self._ask(now)
        elif event.token == TICK:
            self.out.append(SetTimer(TICK, TICK_US))
            self.table.age(now - MEMORY_US)
            if loads := [f.hint for f in self.flights.values() if f.hint]:
                self.hint_mean = sum(loads) / len(loads)
            self.lived_us += TICK_US * len(self.flights)
            self._give_turns(now)
            # Late messages at servers within the limit: it is too high. Refusals and none late: too low.
            step = -0.02 if self.late else 0.01 * self.refused
            self.limit = min(LIMIT_MAX, max(LIMIT_MIN, self.limit + step))
            self.late = self.refused = False
            if self.asking:
                self._ask(now)
            if self.draw.target is None or (self.turns and not self.s.groups_enabled):
                self._draw_ahead(now)
            self._refresh(now)
            if self.near:  # where crossings are free, nobody's connections are walked through
                self._go_home(now)
        elif event.token == HELD:
            self._refresh(now)
            held, self.draw.waiting = self.draw.waiting, []
            held += [rid for rid, walk in self.walks.items() if now >= self.flights[rid].wait_us]
            held += [rid for rid, due in self.later.items() if due <= now]
            self.later = {rid: due for rid, due in self.later.items() if due > now}
            for rid in (r for r in held if r in self.flights):
                self._send(rid, self.flights[rid], now)
