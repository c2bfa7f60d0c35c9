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
GROUP_COST = 3.0  # mean connection loads that a server pays for each group it holds any of
OWN_ZONE_LOAD_LIMIT = (
    0.7  # load up to which a group gets a place in a gateway's own zone beside where it belongs
)
GROUP_ENDPOINTS = 2  # servers that a group belongs to: one takes it, one more what that has no room for
MAX_CANDIDATES = 8  # as REDRAWS, for a group: its order of servers is fixed, so no look is made twice
MAX_SAMPLES = 3  # answers looked at, at most, before an above-average server is taken all the same
LIMIT, LIMIT_MIN, LIMIT_MAX = 0.8, 0.6, 0.9  # load up to which a server is sent to: at first, and its range
RESERVE = 0.1  # of that, kept for the worth most; and the overshoot at which a server is relieved
THROTTLE_US = 4e6  # memory of the throttle: a few times a client's wait
COLD_SHARE = 0.6  # of a cold server's budget: the rest is for chance, probes and heavy connections
LIFE_PRIOR = 0.1, 4e6  # ends and time as if seen: until measured, a life passes for a long one
TICK_INTERVAL_US = 1_000_000  # upkeep, each instance at its own phase; nothing here must be noticed sooner
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
TICK_TIMER, POLL_TIMER, RETRY_TIMER = 1, 2, 3


class Balancer:
    """One gateway's decisions: pure, no clock, no input or output."""

    def __init__(self, settings: Settings, seed: int, now_us: int) -> None:
        self.rng, self.actions = random.Random(seed), list[Action]()
        self.endpoints: dict[EndpointId, EndpointState] = {}
        self.ready_endpoints, self.table, self.requests, self.logs = (
            ReadyEndpoints(),
            LoadReportTable(),
            PendingRequests(),
            LogThrottle(),
        )
        self.ready, self.last_reporter, self.draw = (
            self.ready_endpoints.all,
            list[EndpointState](),
            PackingState(),
        )  # drawn: who answered last
        self.searches, self.retry_due_us = (
            dict[int, CandidateSearch](),
            dict[int, int](),
        )  # with one; when to try again
        self.warming_up, self.permits = dict[EndpointState, None](), list[EndpointState]()
        self.load_limit, self.timeout_doublings, self.late, self.refused = LIMIT, 0, False, False
        self.recent_arrivals = self.recent_accepted = self.failure_share = self.let_us = (
            0.0  # recent arrivals, set-ups, share that failed
        )
        (
            self.started_us,
            self.last_us,
            self.mean_load_hint,
            self.connection_time_us,
            self.ended_connections,
        ) = now_us, now_us, 0.0, 0.0, 0
        self.subscribed, self.asking, self.ask_us, self.ask_fails = (
            not settings.polls_endpoint_list,
            False,
            0,
            0,
        )
        self.first: list[Action] = [SetTimer(TICK_TIMER, self.rng.randrange(TICK_INTERVAL_US) + 1)]
        if settings.polls_endpoint_list:
            spread = min(settings.poll_interval_us / 4, ASK_US * settings.relay_count, ROUND_US)
            self.first.append(SetTimer(POLL_TIMER, int(spread * self.rng.random()) + 1))
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
        self.settings = settings
        self.worth = max(c.priority_weight for c in settings.classes) or 1.0
        names = settings.load_report_fields if settings.load_report_source != "none" else []
        self.at_x = names.index("concurrent") if "concurrent" in names else -1
        self.at_x0 = names.index("x0") if "x0" in names else -1
        self.probes = settings.load_probes_enabled and self.at_x >= 0
        self.near = settings.cross_zone_cost > 0 and len(settings.zone_names) > 1

    def handle(self, event: Event, now_us: int) -> list[Action]:
        """Take one event, return the actions in the order in which they are to be carried out."""
        self.actions, self.first = self.first, []
        self.on.get(type(event), lambda *_: None)(event, now_us)
        return self.actions

    # ---- the server list

    def _list(self, event: EndpointListUpdate, now: int) -> None:
        if event.kind == UpdateKind.FAILED:  # the old list holds; ask again, later each time, up to a round
            left = max(0, ROUND_US - (now - self.ask_us if self.asking else 0))
            wait = min(self.settings.poll_interval_us, AGAIN_US << min(self.ask_fails, 4), left)
            self.subscribed, self.asking, self.ask_fails = (
                not self.settings.polls_endpoint_list,
                False,
                self.ask_fails + 1,
            )
            self.actions.append(SetTimer(POLL_TIMER, int(wait * self.rng.uniform(0.5, 1.0)) + 1))
            return
        if event.kind != UpdateKind.CACHED and self.asking:
            self.subscribed, self.asking, self.ask_fails = True, False, 0
        if event.kind != UpdateKind.DELTA:
            listed = {entry.endpoint_id for entry in event.entries}
            for node in [n for n in self.endpoints.values() if n.id not in listed]:
                self._leave(node, EndpointStatus.REMOVED)
        for entry in event.entries:
            node = self.endpoints.setdefault(entry.endpoint_id, EndpointState.from_entry(entry))
            if entry.started_us != node.started_us:
                self.table.discard(node)
                self.draw.end_fill(node)  # a draw from before the start knew a warm one
                node.restart(entry.started_us)
            if entry.state != EndpointStatus.READY:
                self._leave(node, entry.state)
            elif node.status != EndpointStatus.READY:
                node.status, node.zone, node.cell = EndpointStatus.READY, entry.zone, entry.cell
                self.ready_endpoints.add(node)
            if node.status == EndpointStatus.READY and node.slow_start_share(now, self.settings) < 1.0:
                self.warming_up[node] = None
        if self.draw.target is None:
            self._draw_ahead(now)

    def _leave(self, node: EndpointState, state: int) -> None:
        """Draining or gone: nothing new from this moment on, whatever grace is stated."""
        if node.status == EndpointStatus.READY:
            self.ready_endpoints.remove(node)
            self.last_reporter = []
            self.table.discard(node)
            self.warming_up.pop(node, None)
            self.permits = [n for n in self.permits if n is not node]
            self.draw.end_fill(node)
        node.status = state

    def _ask(self, now: int) -> None:
        """Subscribe where the list must be asked; an answer that never comes must not end the asking."""
        if not self.subscribed and not (self.asking and now - self.ask_us < 2 * ROUND_US):
            self.asking, self.ask_us = True, now
            self.actions.append(WatchEndpoints(1))

    # ---- PACKING

    def _draw(self, pool: list[EndpointState], now: int, skip: list[EndpointState]) -> EndpointState | None:
        """A uniform draw among the servers that may be sent to; cold ones have turns, unless all are cold."""
        all_cold = len(self.warming_up) >= len(self.ready)
        for _ in range(12 if pool else 0):
            node = pool[int(self.rng.random() * len(pool))]
            if (
                node.ejected_until_us <= now
                and node not in skip
                and (all_cold or node not in self.warming_up)
            ):
                return node
        return None

    def grant_permits(self, now: int) -> None:
        """Cold servers are drawn, over all gateways, as fits their budget. Turns not used in a tick lapse."""
        self.permits, self.warming_up = (
            [],
            {n: None for n in self.warming_up if n.slow_start_share(now, self.settings) < 1.0},
        )
        fills = self.table.connections_at_full_load(self.warming_up, 0.3 if self.at_x0 >= 0 else 1.0)
        ends = (self.ended_connections + LIFE_PRIOR[0]) / (self.connection_time_us + LIFE_PRIOR[1])
        share = COLD_SHARE * self.settings.overload_multiple / self.settings.relay_count * ends
        for node in self.warming_up:  # the mean of all kinds would let the slowest fall
            rate = (
                share
                * node.slow_start_share(now, self.settings)
                * fills.get(node.machine_type, min(fills.values(), default=0.0))
            )
            self.permits.extend(
                [node] * int(min(1e3, rate * TICK_INTERVAL_US + self.rng.random()))
            )  # they are kept

    def _draw_ahead(self, now: int) -> None:
        if self.draw.awaiting is not None:
            return
        near = (
            self.ready_endpoints.in_location("zone", self.settings.zone)
            if self.near and self.draw.samples < MAX_SAMPLES - 1
            else []
        )
        # A turn is for an arrival: where all have groups, a draw got ahead for none would use it up.
        node = (
            self.permits.pop()
            if self.permits and (self.draw.waiting_request_ids or not self.settings.groups_enabled)
            else None
        )
        if node := node or self._draw(near, now, []) or self._draw(self.ready, now, []):
            self._look(node, now)

    def _look(self, node: EndpointState, now: int) -> None:
        self.draw.samples += 1
        if self.probes:
            self.draw.awaiting = node
            self._probe(node, now)
            return
        node.connections = float(len(node.request_ids))
        self._settle(node, now)

    def allotment(self, node: EndpointState, now: int) -> int:
        """Arrivals that fill the server to the mean, or 0 if it is not below it."""
        mean = self.table.mean_connections if self.probes else len(self.requests) / max(1, len(self.ready))
        if self.at_x0 >= 0 and node.connections > 0.0 and node.load > 0.05 * self.table.mean_load:
            # Unequal servers: the count that loads this one as the mean one; near zero x0 tells no capacity.
            mean = node.connections * self.table.mean_load / node.load
        if node.connections >= mean:
            return 0
        if node in self.warming_up or (self.probes and not node.has_report):
            return 1  # all gateways' fills would push a cold one over, and what is unknown may be full
        # About gateways/servers of us fill the same server: take this one's share of the fill.
        crowd = max(1.0, self.settings.relay_count / max(1, len(self.ready)))
        return max(
            1, int((math.ceil(mean) + 1 - node.connections) / crowd + self.rng.random() * (crowd > 1.0))
        )

    def _settle(self, node: EndpointState, now: int) -> None:
        """The drawn server's answer is in: it becomes the target, or the draw goes on."""
        d, fill = self.draw, self.allotment(node, now)
        if not fill and (
            self.settings.relay_count > 1 or (self.at_x0 >= 0 and len(self.table.endpoints) > 1)
        ):
            d.fallback = min(d.fallback or node, node, key=lambda n: (n.load, n.connections))
            if d.samples < MAX_SAMPLES:
                self._draw_ahead(now)
                return
            node = d.fallback
        d.target, d.remaining_fill, d.sampled_us, d.fallback, d.samples = node, max(1, fill), now, None, 0
        while d.waiting_request_ids and d.target is not None:
            rid = d.waiting_request_ids.pop(0)
            if rid in self.requests:
                self._send(rid, self.requests[rid], now)

    def _pick(self, rid: int, flight: PendingRequest, now: int) -> EndpointState | None:
        """The server for this arrival, or none while it waits for an answer that is on its way."""
        if flight.group and self.probes:
            return self._walk(rid, flight, now)
        if self.ready and all(n in flight.tried_endpoints for n in self.ready):
            return None  # no draw could name one; waiting for it would probe the same ones over and over
        d = self.draw
        node = d.target
        stale = node is None or now - d.sampled_us > FRESH_US
        heavy = (
            flight.load_hint > self.mean_load_hint
        )  # one heavy connection would spend a cold server's budget
        spent = node in self.warming_up and (stale or heavy or d.remaining_fill > 1)
        if node is not None and (spent or node.ejected_until_us > now or node in flight.tried_endpoints):
            node, d.target, stale = None, None, True
        if self.probes and stale and not now >= flight.waits_until_us > 0:
            self._hold(flight, now)  # an answer got ahead is stale by the time that few arrivals need it
            d.waiting_request_ids.append(rid)
            if node is not None and d.awaiting is None:
                d.target = None
                self._look(node, now)
            else:
                self._draw_ahead(now)
            return HELD_BACK
        d.remaining_fill, d.target = d.remaining_fill - 1, node if d.remaining_fill > 1 else None
        # No answer in time: an unprobed draw may find a hung server, the last one that answered is not.
        node = (
            node
            or self._draw(self.last_reporter, now, flight.tried_endpoints)
            or self._draw(self.ready, now, flight.tried_endpoints)
        )
        if (
            (most := flight.request_class.max_setups_per_endpoint)
            and node is not None
            and self.requests.setups_at(node) >= most
        ):
            node = self._draw(
                [n for n in self.ready if self.requests.setups_at(n) < most], now, flight.tried_endpoints
            )
        self.last_reporter = [] if node in self.last_reporter else self.last_reporter
        if d.target is None:
            self._draw_ahead(now)
        return node

    def _hold(self, flight: PendingRequest, now: int) -> None:
        if not flight.waits_until_us:
            flight.waits_until_us = now + min(
                int(flight.request_class.latency_objective_us / 3), (flight.deadline_us - now) // 2
            )
            self.actions.append(SetTimer(RETRY_TIMER, flight.waits_until_us - now))

    def _walk(self, rid: int, flight: PendingRequest, now: int) -> EndpointState | None:
        """A group's draws begin where it stands, or in the own zone; they go on where the group belongs."""
        walk = self.searches.setdefault(rid, CandidateSearch(list(flight.tried_endpoints)))
        homes, all_cold = self.requests.group_endpoints(flight.group), len(self.warming_up) >= len(self.ready)
        first = sorted(
            self.ready_endpoints.highest_ranked(flight.group, GROUP_ENDPOINTS, self.warming_up),
            key=lambda n: n.zone != self.settings.zone,
        )
        held = sorted(homes, key=lambda n: (self.near and n.zone != self.settings.zone, -homes[n]))
        late, crowded = now >= flight.waits_until_us > 0, False
        turns = [n for n in (walk.reported, *self.permits[-1:]) if n is not None]
        own = (
            self.ready_endpoints.highest_ranked(flight.group, 1, self.warming_up, self.settings.zone)
            if self.near
            else []
        )
        here = [n for n in held if not self.near or n.zone == self.settings.zone]
        path = chain(turns, here, own, held, first, self.ready_endpoints.ranking(flight.group))
        free = (
            n
            for n in path
            if n not in walk.examined and n.ejected_until_us <= now and n.status == EndpointStatus.READY
        )
        fit = (n for n in free if all_cold or n not in self.warming_up or n in turns)
        for node in islice(fit, max(0, MAX_CANDIDATES - len(walk.examined))):
            walk.examined.append(node)
            if flight.was_returned and node not in self.warming_up and now - self.started_us < 5 * FRESH_US:
                flight.previous_endpoint = flight.previous_endpoint or node
            if node in self.warming_up and node is not walk.reported and not all_cold:
                self.permits.pop()
            age = now - node.reported_us if node.has_report else FRESH_US
            fresh = node is walk.reported or age < (FRESH_US if len(walk.examined) > 4 else FRESH_US // 10)
            if not fresh and not late:
                self._hold(flight, now)
                if all(other.awaiting is not node for other in self.searches.values()):
                    self._probe(node, now)
                walk.awaiting = node
                return HELD_BACK
            if self.requests.setups_at(node) >= (
                flight.request_class.max_setups_per_endpoint or PENDING << late
            ):
                crowded = True
            elif self._fits(
                node, flight, node in homes, OWN_ZONE_LOAD_LIMIT if node in own else self.load_limit
            ):
                return node
            elif (node in first or node not in own) and not self._full(node, flight):
                walk.fallback = walk.fallback or node  # never the own zone's extra place: one more to pay for
        if crowded and not late and walk.fallback is None:
            self._hold(flight, now)
            self.searches[rid] = CandidateSearch(list(flight.tried_endpoints))
            return HELD_BACK
        return walk.fallback if walk.fallback and walk.fallback.status == EndpointStatus.READY else None

    def _fits(self, node: EndpointState, flight: PendingRequest, held: bool, most: float) -> bool:
        """Is there room, also for a group that is new there? The server pays for each."""
        more = node.load + self._need(node, 1.0 + GROUP_COST * (flight.group > 0)) * (
            node is not flight.previous_endpoint
        )
        return not self._full(node, flight) and (held or node in self.warming_up or more < most)

    # ---- requests

    def _flight(self, event: RequestArrived | ConnectionResumed, due_us: int) -> PendingRequest:
        hint = event.load_hint if event.flags & RequestFlag.LOAD_HINT_VALID else 0
        back = event.flags & RequestFlag.RETURNED > 0
        cls = self.settings.classes[
            event.class_index if event.class_index < len(self.settings.classes) else -1
        ]
        group = event.group if self.settings.groups_enabled else 0
        return self.requests.setdefault(
            event.request_id, PendingRequest(cls, event.tenant, group, due_us, hint, back)
        )

    def _request(self, event: RequestArrived, now: int) -> None:
        flight = self._flight(event, now + event.time_budget_us)
        keep, self.last_us = math.exp((self.last_us - now) / THROTTLE_US), now
        self.recent_arrivals, self.recent_accepted = (
            self.recent_arrivals * keep + 1.0,
            self.recent_accepted * keep,
        )
        again = event.flags & RequestFlag.CLIENT_RETRY > 0  # it tells of a failure, at whichever gateway
        most = (
            1.0 + 2.0 * flight.request_class.priority_weight / self.worth
        ) * self.recent_accepted + FEW / (1 + 3 * again)
        # Where most set-ups fail, abandoned tries keep it so. After a while one passes whatever the chance.
        if stop := now < self.let_us and self.rng.random() < 1.0 - most / (
            self.recent_arrivals - 0.5 * again
        ):
            self.actions += self.logs.line(
                "throttle", f"{self.recent_accepted:.1f} of {self.recent_arrivals:.1f} arrivals stand", now
            )
        self.recent_accepted, self.let_us = (
            self.recent_accepted + 1.0,
            self.let_us if stop else now + 3 * THROTTLE_US,
        )  # a while
        (self._finish if stop else self._send)(event.request_id, flight, now)

    def _send(self, rid: int, flight: PendingRequest, now: int) -> None:
        """The next attempt, or the final answer where none is allowed or left."""
        cls, left, node = flight.request_class, flight.deadline_us - now, None
        if flight.attempts < (cls.max_attempts or self.settings.max_attempts) and left > 0:
            # May have run: only where repeats are dropped, and while they will be remembered on arrival.
            late = now + (cls.connect_timeout_us or self.settings.connect_timeout_us)
            kept = cls.idempotency == "by_key" and late - flight.executed_us < cls.idempotency_window_us
            again = cls.retries_executed_attempts and (kept or cls.idempotency == "repeatable")
            if flight.executed_at is None or (again and cls.is_idempotent_everywhere):
                node = self._pick(rid, flight, now)
            elif again:
                number = (
                    flight.executed_at.zone if cls.idempotency_scope == "zone" else flight.executed_at.cell
                )
                node = self._draw(
                    self.ready_endpoints.in_location(cls.idempotency_scope, number),
                    now,
                    flight.tried_endpoints,
                )
            if node is HELD_BACK:
                return
        self.searches.pop(rid, None)
        if node is None or self._full(node, flight):
            if node is not None or flight.group:
                self.refused = True
                self.actions += self.logs.line("overload", f"mean {self.table.mean_load:.2f}", now)
            self._finish(rid, flight, now)
            return
        # Leave time for another attempt, a longer one each time; a slow store is not asked again and again.
        timeout, last = (
            int(cls.latency_objective_us) << len(flight.tried_endpoints) + self.timeout_doublings,
            cls.max_attempts or self.settings.max_attempts,
        )
        if flight.attempts + 1 >= last or timeout * 2 > left or self.failure_share > 0.4:
            timeout = left
        flight.attempts, flight.endpoint, flight.attempt_started_us = flight.attempts + 1, node, now
        flight.tried_endpoints.append(node)
        node.request_ids[rid] = None
        paid = (
            flight.group == 0
            or self.requests.group_peers_at(rid, node) > 0
            or node is flight.previous_endpoint
        )
        size = self._size(flight) + GROUP_COST * (not paid)
        node.recent_placements = [p for p in node.recent_placements if now - p[0] < REPORT_US] + [(now, size)]
        if node.has_report:  # until the next report, this placement is known to nobody else
            self.table.record(node, node.connections + 1.0, node.load + self._need(node, size))
        self.actions.append(StartAttempt(rid, node.id, max(1, cls.attempt_timeout_us or timeout)))

    def _size(self, flight: PendingRequest) -> float:
        return flight.load_hint / self.mean_load_hint if flight.load_hint and self.mean_load_hint else 1.0

    def _need(self, node: EndpointState, size: float) -> float:
        """What so many mean loads add to x0 there, judged by what the others make."""
        own = node.connections >= 3.0 and node.load > 0.0
        x, x0 = (
            (node.connections, node.load) if own else (self.table.total_connections, self.table.total_load)
        )
        groups = (
            len(set(self.requests.groups_at(node)) if own else self.table.endpoints)
            if self.settings.groups_enabled
            else 0
        )
        unit = x0 / (x + GROUP_COST * groups) if x0 > 0.0 and x > 0.0 else BLIND  # part of x0 is the groups'
        return size * unit

    def _full(self, node: EndpointState, flight: PendingRequest) -> bool:
        """In overload a server that takes all serves none: past the limit refuse, the least worth first."""
        if self.at_x0 < 0 or not node.has_report:
            return (
                flight.group > 0 and len(node.recent_placements) >= 4
            )  # a group's would all go there unseen
        limit = self.load_limit - 0.5 * RESERVE * (1.0 - flight.request_class.priority_weight / self.worth)
        return (
            node.load + 0.5 * self._need(node, self._size(flight)) * (node is not flight.previous_endpoint)
            >= limit
        )

    def _finish(self, rid: int, flight: PendingRequest, _now: int) -> None:
        del self.requests[rid]
        self.recent_accepted = max(0.0, self.recent_accepted - (flight.attempts == 0))
        refuse = (
            flight.executed_at is None or flight.request_class.is_idempotent_everywhere
        )  # trying again is known to do no harm
        wait = (
            int(self.settings.max_retry_after_us * self.rng.uniform(*ADVICE))
            * self.settings.sends_retry_after
        )
        self.actions.append(RejectRequest(rid, wait) if refuse else FailRequest(rid))

    def _resumed(self, event: ConnectionResumed, now: int) -> None:
        node = self.endpoints.get(event.endpoint_id)
        flight = self._flight(event, now)
        flight.is_established, flight.attempts, flight.endpoint, self.started_us = (
            True,
            1,
            node,
            0,
        )  # none came before
        if node is not None:
            node.request_ids[event.request_id] = None
            self.table.discard(node)  # a report from before it came does not count it
            node.probed_us = 0
            self.draw.end_fill(node)

    def _established(self, event: ConnectionEstablished, now: int) -> None:
        flight = self.requests.get(event.request_id)
        if flight is not None and not flight.is_established and flight.endpoint is not None:
            flight.is_established, flight.previous_endpoint, flight.endpoint.ejection_count = True, None, 0
            for node in flight.suspects:
                self._set_aside(node, now)
            self.failure_share -= self.failure_share / 8
            self.timeout_doublings = min(
                SLOW,
                int(2 * event.elapsed_us / max(1.0, flight.request_class.latency_objective_us)).bit_length(),
            )

    def _gone(self, event: ClientDisconnected, now: int) -> None:
        flight, _ = self.requests.pop(event.request_id, None), self.searches.pop(event.request_id, None)
        if flight is not None and flight.endpoint is not None:
            flight.endpoint.request_ids.pop(event.request_id, None)

    def _outcome(self, event: AttemptEnded, now: int) -> None:
        flight = self.requests.get(event.request_id)
        if flight is None or event.attempt != flight.attempts - 1:
            return
        if (node := flight.endpoint) is not None:
            node.request_ids.pop(event.request_id, None)
        if event.closed or flight.is_established or node is None:
            self.ended_connections += flight.is_established
            del self.requests[event.request_id]
            return
        if flight.executed_at is None and event.status not in NOT_EXECUTED:
            flight.executed_at, flight.executed_us = node, flight.attempt_started_us
        if event.status in (AttemptStatus.ERROR, AttemptStatus.RESET) or event.address_fault:
            # So servers end what they can't use of a client's: at fault only once another has taken it.
            flight.suspects += [node] * (not event.address_fault)
        else:
            self.failure_share += (1.0 - self.failure_share) / 8
            self.timeout_doublings = min(
                SLOW, self.timeout_doublings + (event.status == AttemptStatus.TIMEOUT)
            )
            self.recent_accepted = max(0.0, self.recent_accepted - (flight.attempts == 1))
            if event.status in (AttemptStatus.TIMEOUT, AttemptStatus.CONNECT_FAILED):
                self._set_aside(node, now)
        self.draw.end_fill(node)  # refused or failed: a fresh draw places this one
        flight.tried_endpoints = [
            n for n in flight.tried_endpoints if n is not node or not event.address_fault
        ]  # by another way
        stop = (
            event.status in (AttemptStatus.NOT_STARTED, AttemptStatus.CANCELLED) or self.failure_share > 0.5
        )  # more tries add to the load
        wait = (
            0
            if stop
            else flight.request_class.backoff_us(
                flight.attempts, flight.attempt_started_us, now, self.rng.random
            )
        )
        if 0 < wait < flight.deadline_us - now:  # else no time is left for it: answered at once
            self.retry_due_us[event.request_id] = now + wait
            self.actions.append(SetTimer(RETRY_TIMER, wait))
        else:
            (self._finish if stop or wait else self._send)(event.request_id, flight, now)

    # ---- health and load

    def _set_aside(self, node: EndpointState, now: int) -> bool:
        """A hung server's count looks ordinary: time-outs are the evidence. Back after growing waits."""
        if node.status != EndpointStatus.READY or node.ejected_until_us > now:
            return node.ejected_until_us > now
        aside = sum(n.ejected_until_us > now for n in self.ready)
        if 3 * (aside + 1) > len(self.ready):  # many at once have a shared cause (store, overload)
            self.actions += self.logs.line("shared cause", f"{aside} servers set aside, no more", now)
            return False
        node.ejection_count = min(node.ejection_count + 1, 5)
        node.ejected_until_us = now + int((500_000 << node.ejection_count) * self.rng.uniform(0.75, 1.25))
        self.draw.end_fill(node)
        self.actions += self.logs.line("set aside", f"strike {node.ejection_count}, {aside + 1} in all", now)
        return True

    def _probed(self, event: LoadProbeResult, now: int) -> None:
        node = self.endpoints.get(event.endpoint_id)
        if node is None:
            return
        if drawn := node is self.draw.awaiting:
            self.draw.awaiting = None
        if (
            event.status == AttemptStatus.OK
            and 0 <= self.at_x < len(r := event.load_report)
            and all(map(math.isfinite, r))
        ):
            node.reported_us = now
            if node.status == EndpointStatus.READY:
                self.last_reporter = [node] if drawn else self.last_reporter
                x0 = r[self.at_x0] if 0 <= self.at_x0 < len(r) else 0.0
                self._enter(node, max(0.0, r[self.at_x]), max(0.0, x0), now)
                self._relieve(node, now)
        elif event.status in (AttemptStatus.TIMEOUT, AttemptStatus.CONNECT_FAILED) and self._set_aside(
            node, now
        ):
            self.actions.extend(
                MigrateConnection(rid) for rid in node.request_ids if self.requests[rid].is_established
            )
        ready = node.status == EndpointStatus.READY and node.ejected_until_us <= now
        if drawn and ready:
            self._settle(node, now)  # an answer without a report counts as a look, or looks would never end
        elif drawn and (self.draw.waiting_request_ids or self.draw.target is None):
            self._draw_ahead(now)
        for rid in [rid for rid, walk in self.searches.items() if walk.awaiting is node]:
            self.searches[rid].answer(node, ready)
            self._send(rid, self.requests[rid], now)

    def _enter(self, node: EndpointState, x: float, x0: float, now: int) -> None:
        """A report is a second or two old when it is read: what came since is put on top of it."""
        self.table.record(node, x, x0)
        node.recent_placements = [(at, load) for at, load in node.recent_placements if now - at < REPORT_US]
        # one that counts fewer than this gateway alone holds there is older than those, whatever its age
        lacks = max(
            0,
            int(
                sum(self.requests[r].is_established for r in node.request_ids)
                - x
                - len(node.recent_placements)
            ),
        )
        late = [load for _, load in node.recent_placements] + [1.0] * lacks
        if lacks:  # the next one may know them, and what is overloaded from the start is to be relieved soon
            node.probed_us = 0
            self.actions.append(SetTimer(RETRY_TIMER, TICK_INTERVAL_US // 4))
        if late:
            self.table.record(node, x + len(late), x0 + self._need(node, sum(late)))

    def _probe(self, node: EndpointState, now: int) -> None:
        node.probed_us = now
        self.actions.append(ProbeLoad(node.id))

    def _note(self, event: ConnectionMetric, now: int) -> None:
        node, flight = self.endpoints.get(event.endpoint_id), self.requests.get(event.request_id)
        if node is None or flight is None or not math.isfinite(event.value):
            return
        if event.kind == MetricKind.LOAD:
            flight.load_hint = max(0.0, event.value)
        elif event.kind == MetricKind.MESSAGE_DELAY and event.value * 1000 >= min(
            self.settings.message_latency_objectives_us, default=1e5
        ):
            self.late |= (
                node.has_report and node.load < self.load_limit and now - node.reported_us < 4 * FRESH_US
            )
            if self.probes and now - node.probed_us > 2 * FRESH_US:
                self._probe(node, now)

    def _refresh(self, now: int) -> None:
        """What resumed at a server, or came while its reports were old, may overload it unseen."""
        for node in (n for n in self.ready if n.request_ids and self.probes):
            wait = (2 if node.load > 0.7 * self.load_limit else 5) if node.has_report else 1
            if node.has_report and node.load < self.load_limit:  # all that hold some there ask: they share it
                wait *= int(
                    min(
                        4,
                        max(1, min(self.settings.relay_count, node.connections / len(node.request_ids)) / 4),
                    )
                )
            if now - node.probed_us >= wait * FRESH_US:
                self._probe(node, now)

    def _go_home(self, now: int) -> None:
        """A crossing is paid for as long as it stands: one moves to its group's place in the own zone."""
        away = [
            (r, f)
            for r, f in self.requests.items()
            if f.is_established and f.endpoint and f.endpoint.zone != self.settings.zone
        ]
        if self.rng.random() >= HOMING * len(away):
            return
        rid, flight = self.rng.choice(away)
        own = self.ready_endpoints.highest_ranked(flight.group or rid, 1, self.warming_up, self.settings.zone)
        if own and (not own[0].has_report or now - own[0].reported_us > 2 * FRESH_US):
            self._probe(own[0], now)
        elif (
            own and own[0].ejected_until_us <= now and self._fits(own[0], flight, False, OWN_ZONE_LOAD_LIMIT)
        ):
            self.actions.append(MigrateConnection(rid))

    def _relieve(self, node: EndpointState, now: int) -> None:
        """Past its capacity a server serves nobody: move off the excess."""
        if (
            node.load <= self.load_limit + RESERVE
            or not node.request_ids
            or now - node.migrated_us < 2 * FRESH_US
        ):
            return
        node.migrated_us, part, mean = now, 1.0 - self.load_limit / node.load, self.table.mean_load
        own = [(rid, self.requests[rid]) for rid in node.request_ids if self.requests[rid].is_established]
        excess = part * sum(f.load_hint for _, f in own)  # this gateway's share of it
        # Most load is in a few heavy connections: moving those ends the excess with the fewest moves.
        for rid, flight in sorted(own, key=lambda c: -c[1].load_hint):
            # What would overload the mean server too only wanders; where all are past the limit, it is lost.
            if mean <= self.load_limit and mean + self._need(node, self._size(flight)) >= node.load:
                continue
            if self.rng.random() < (excess / flight.load_hint if flight.load_hint else part):
                self.actions.append(MigrateConnection(rid))
                excess = max(0.0, excess - flight.load_hint)

    def _timer(self, event: TimerExpired, now: int) -> None:
        if event.token == POLL_TIMER:
            self._ask(now)
        elif event.token == TICK_TIMER:
            self.actions.append(SetTimer(TICK_TIMER, TICK_INTERVAL_US))
            self.table.expire(now - MEMORY_US)
            if loads := [f.load_hint for f in self.requests.values() if f.load_hint]:
                self.mean_load_hint = sum(loads) / len(loads)
            self.connection_time_us += TICK_INTERVAL_US * len(self.requests)
            self.grant_permits(now)
            # Late messages at servers within the limit: it is too high. Refusals and none late: too low.
            step = -0.02 if self.late else 0.01 * self.refused
            self.load_limit = min(LIMIT_MAX, max(LIMIT_MIN, self.load_limit + step))
            self.late = self.refused = False
            if self.asking:
                self._ask(now)
            if self.draw.target is None or (self.permits and not self.settings.groups_enabled):
                self._draw_ahead(now)
            self._refresh(now)
            if self.near:  # where crossings are free, nobody's connections are walked through
                self._go_home(now)
        elif event.token == RETRY_TIMER:
            self._refresh(now)
            held, self.draw.waiting_request_ids = self.draw.waiting_request_ids, []
            held += [rid for rid, walk in self.searches.items() if now >= self.requests[rid].waits_until_us]
            held += [rid for rid, due in self.retry_due_us.items() if due <= now]
            self.retry_due_us = {rid: due for rid, due in self.retry_due_us.items() if due > now}
            for rid in (r for r in held if r in self.requests):
                self._send(rid, self.requests[rid], now)
