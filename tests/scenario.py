"""The scenario language: one step a line, `WHO VERB [WORDS]`, played on the engine and the protocol machines.

    c1 send LINE        a client's line (CRLF added; `raw` sends the words as they are, escapes read)
    c1/flow expect P    the next line on that client's server-side flow matches the pattern P
    c1 expect end       and so for `reset` and `nothing`
    c1 close | reset    an end, in good order or not; on a flow that is not up yet, `refuse`
    c1/flow written     the first line's last byte is out, and nothing comes back
    time wait MS        the clock goes on, timers fall due
    pool send JSON      discovery's news; `pool close` ends the watch; `pool expect watch SINCE`
    pool again JSON     the first answer of a new watch
    probes send | wait  probes are answered at once, as at the start, or hang
    module raise | hold the decision module fails, or never answers
    settings reload N CLASS:EFFECT,...  a new file: at most N attempts, these classes
    routes reload NAME  another operators' file; `play` is given them by name
    hand out | back ID  an operator's call, at whichever process
    relay term          SIGTERM; `term replaced` where another process takes the clients
    relay expect exit   the drain is over; `relay expect log P`; `relay expect count NAME N`

Time stands still but for `wait`, and nothing here has a socket.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from fnmatch import fnmatchcase

import orjson

from gannetweir import core as e
from gannetweir.config.operators_file import parse_routing_rules
from gannetweir.limits import Limits
from gannetweir.membership.membership_update import ListedEndpoint, MembershipUpdate
from gannetweir.placement.actions import Action
from gannetweir.placement.events import AttemptStatus, EndpointEntry, Event
from gannetweir.placement.settings import RequestClass
from gannetweir.proto import client_connection as v
from gannetweir.proto import upstream_connection as f
from gannetweir.proto.endpoint_watch import EndpointWatch, read_membership
from gannetweir.routing.route_admission import RouteAdmission, platform_classes, with_routed_classes
from tests.helpers import settings

CLASSES = [RequestClass("plain", 500_000, 2_000_000, 3.0, "repeatable", "all", 5_000_000)]


class PeerView:
    """One end of a connection as its peer sees it: lines, then perhaps an end."""

    def __init__(self) -> None:
        self.unread: list[str] = []

    def write(self, data: bytes) -> None:
        self.unread += [line.decode() for line in data.split(b"\r\n") if line]

    def expect(self, pattern: str, step: str) -> None:
        if pattern == "nothing":
            assert not self.unread, f"{step}: saw {self.unread}"
            return
        assert self.unread, f"{step}: saw nothing"
        assert fnmatchcase(self.unread[0], pattern), f"{step}: saw {self.unread[0]!r}"
        del self.unread[0]


class World:
    """The relay's machines, with lists in place of sockets."""

    def __init__(
        self, backends: int = 2, files: Mapping[str, str] | None = None, pushed: bool = False, **limits: int
    ) -> None:
        self.settings = settings(
            classes=CLASSES,
            polls_endpoint_list=not pushed,
            reports_message_delay=True,
            reports_connection_load=True,
            zone_names=["a"],
            max_attempts=3,
            groups_enabled=files is not None,
        )
        self.operators_files = files or {}
        self.limits = Limits(**limits)
        self.now_us = 1_700_000_000_000_000
        entries = [ListedEndpoint(EndpointEntry(f"b{n}"), f"127.0.0.1:{n}") for n in range(1, backends + 1)]
        known = MembershipUpdate(41, True, entries)
        rules = parse_routing_rules(self.operators_files["start"], self.settings, self.limits) if files else None
        self.settings = with_routed_classes(self.settings, rules)
        keeper = RouteAdmission(rules, self.settings) if rules else None
        self.engine = e.Engine(self.settings, self.limits, 7, known, self.now_us, route_admission=keeper)
        self.client_connections: dict[str, v.ClientConnection] = {}
        self.first_lines: dict[str, v.FirstLine] = {}
        self.request_ids: dict[str, int] = {}
        self.upstreams: dict[str, tuple[e.OpenUpstream, f.UpstreamConnection]] = {}
        self.peers: dict[str, PeerView] = {name: PeerView() for name in ("pool", "relay")}
        self.probes_hang = False
        self.carry_out_commands()

    def peer(self, name: str) -> PeerView:
        return self.peers.setdefault(name, PeerView())

    def play(self, script: str) -> None:
        for step in filter(None, map(str.strip, script.splitlines())):
            who, verb, *rest = step.split(" ", 2)
            words = rest[0] if rest else ""
            if verb == "expect" and words.startswith("count "):
                _, name, count = words.split()
                counts = self.engine.counters.counts
                assert counts[name] == int(count), f"{step}: {counts}"
            elif verb == "expect":
                self.peer(who).expect(words, step)
            else:
                kind = who if hasattr(self, "do_" + who) else "client"
                kind = "flow" if who.endswith("/flow") else kind
                getattr(self, "do_" + kind)(who.removesuffix("/flow"), verb, words)
            self.carry_out_commands()

    # ---- the parties

    def do_client(self, who: str, verb: str, words: str) -> None:
        classes = {c.name: n for n, c in enumerate(platform_classes(self.settings))}
        machine = self.client_connections.setdefault(who, v.ClientConnection(classes, self.limits))
        machine.class_index_by_name = classes
        if verb in ("close", "reset"):
            if who in self.request_ids:
                self.engine.client_disconnected(self.request_ids[who], verb == "reset", self.now_us)
            return
        raw = words.encode() + b"\r\n"
        if verb == "raw":
            raw = words.encode().decode("unicode_escape").encode("latin1")
        for event in machine.feed(raw):
            self.on_client_event(who, event)

    def on_client_event(self, who: str, event: v.ClientEvent) -> None:
        if isinstance(event, v.PingReceived):
            self.peer(who).write(self.client_connections[who].ping_answer(self.engine.is_ready()))
        elif isinstance(event, v.RequestOpened):
            self.first_lines[who] = event.first_line
            first = event.first_line
            number = self.engine.request_opened(
                first.request, first.current_endpoint, self.now_us, first.client_id
            )
            if not number:
                self.peer(who).write(self.client_connections[who].end_failed())
                return
            self.request_ids[who] = number
        elif isinstance(event, v.MalformedInput):
            if who in self.request_ids:
                self.engine.client_disconnected(self.request_ids[who], True, self.now_us)
            if event.answer_owed:
                self.peer(who).write(self.client_connections[who].end_failed())
        else:
            self.peer(who + "/flow").write(event.line)
            self.engine.client_line_forwarded(self.request_ids[who], self.now_us)

    def do_flow(self, who: str, verb: str, words: str) -> None:
        order, flow = self.upstreams[who]
        if verb == "send":
            for event in flow.feed(words.encode() + b"\r\n"):
                self.on_upstream_event(who, order, event)
        elif verb == "written":
            self.write_first_line(order, flow)
        else:
            if verb != "refuse":
                self.write_first_line(order, flow)
            del self.upstreams[who]
            self.on_upstream_event(who, order, flow.connection_ended(), verb == "reset")

    def write_first_line(self, order: e.OpenUpstream, flow: f.UpstreamConnection) -> None:
        flow.first_line_sent(len(flow.unsent_first_line))
        self.engine.upstream_first_line_written(order.request_id, order.attempt, self.now_us)

    def on_upstream_event(
        self, who: str, order: e.OpenUpstream, event: f.UpstreamEvent, reset: bool = False
    ) -> None:
        number = order.request_id
        if isinstance(event, f.UpstreamEstablished):
            self.write_first_line(order, self.upstreams[who][1])
            if self.engine.upstream_established(number, order.attempt, self.now_us):
                self.peer(who).write(event.line)
        elif isinstance(event, f.EndpointLine):
            self.peer(who).write(event.line)
            if event.may_answer:
                self.engine.answer_line_received(number, self.now_us)
        elif isinstance(event, f.LoadReported):
            self.engine.connection_load_reported(number, event.load, self.now_us)
        else:
            self.upstreams.pop(who, None)  # its descriptor is given back before the engine hears of it
            self.engine.upstream_ended(number, order.attempt, event.status, event.report, reset, self.now_us)

    def do_time(self, _who: str, _verb: str, words: str) -> None:
        until = self.now_us + int(words) * 1000
        while self.engine.next_due() <= until:
            self.now_us = max(self.now_us, self.engine.next_due())
            self.engine.advance(self.now_us)
            self.carry_out_commands()
        self.now_us = until

    def do_pool(self, _who: str, verb: str, words: str) -> None:
        if verb == "send":
            self.engine.endpoint_update_received(
                read_membership(orjson.loads(words), self.settings), self.now_us
            )
        elif verb == "again":
            watch = EndpointWatch("d:1", self.engine.endpoint_list.version, self.settings, self.limits)
            data = f"{len(words) + 1:x}\r\n{words}\n\r\n"
            for event in watch.feed(f"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{data}".encode()):
                assert isinstance(event, MembershipUpdate)
                self.engine.endpoint_update_received(event, self.now_us)
        else:
            self.engine.endpoint_watch_failed("the watch ended", self.now_us)

    def do_probes(self, _who: str, verb: str, _words: str) -> None:
        self.probes_hang = verb == "wait"

    def do_module(self, _who: str, verb: str, _words: str) -> None:
        def handle(_event: Event, _now: int) -> list[Action]:
            if verb == "raise":
                raise IndexError("made to fail")
            return []

        self.engine.balancer.handle = handle  # type: ignore[method-assign]

    def do_settings(self, _who: str, _verb: str, words: str) -> None:
        attempts, classes = words.split()
        pairs = [part.split(":") for part in classes.split(",")]
        new = [RequestClass(name, 500_000, 2_000_000, 3.0, effect, "all") for name, effect in pairs]
        self.settings = replace(self.settings, classes=new, max_attempts=int(attempts))
        self.engine.reload(self.settings, self.limits, self.now_us)

    def do_routes(self, _who: str, _verb: str, words: str) -> None:
        keeper, told = (
            self.engine.route_admission,
            replace(self.settings, classes=platform_classes(self.settings)),
        )
        assert keeper is not None
        rules = parse_routing_rules(self.operators_files[words], told, self.limits)
        self.settings = with_routed_classes(told, rules)
        keeper.apply(rules, self.settings)
        self.engine.reload(self.settings, self.limits, self.now_us, keeper)

    def do_hand(self, _who: str, verb: str, words: str) -> None:
        self.engine.apply_operator_overrides(
            self.engine.endpoint_list.overrides.with_override(words, verb == "out", self.now_us), self.now_us
        )

    def do_relay(self, _who: str, _verb: str, words: str) -> None:
        self.engine.drain(self.now_us, words == "replaced")

    # ---- the engine's commands

    def carry_out_commands(self) -> None:
        names = {number: who for who, number in self.request_ids.items()}
        while self.engine.commands:
            command = self.engine.commands.popleft()
            names = {number: who for who, number in self.request_ids.items()}
            self.carry_out(command, names.get(getattr(command, "request_id", -1), ""))

    def carry_out(self, command: e.Command, who: str) -> None:
        client, flow = self.peer(who), self.peer(who + "/flow")
        if isinstance(command, e.OpenUpstream):
            assert who not in self.upstreams, "two flows of one transaction"
            line = self.first_lines[who].for_endpoint(command.timeout_us)
            self.upstreams[who] = (
                command,
                f.UpstreamConnection(line, self.settings.load_report_fields, self.limits),
            )
            flow.write(line)
        elif isinstance(command, e.CloseUpstream | e.EndUpstream):
            self.upstreams.pop(who, None)
            flow.unread.append("reset" if isinstance(command, e.EndUpstream) and command.reset else "end")
        elif isinstance(command, e.StartForwarding):
            for event in self.client_connections[who].establish():
                self.on_client_event(who, event)
        elif isinstance(command, e.RejectClient):
            client.write(self.client_connections[who].end_rejected(command.retry_after_us))
            client.unread.append("end")
        elif isinstance(command, e.FailClient):
            client.write(self.client_connections[who].end_failed())
            client.unread.append("end")
        elif isinstance(command, e.MigrateClient):
            client.write(self.client_connections[who].end_migrated())
            client.unread.append("end")
            self.upstreams.pop(who, None)
            flow.unread.append("end")
        elif isinstance(command, e.EndClient):
            client.unread.append("reset" if command.reset else "end")
        elif isinstance(command, e.StartLoadProbe):
            if not self.probes_hang:
                self.engine.load_probe_ended(command.endpoint_id, AttemptStatus.OK, (10.0, 0.5), self.now_us)
        elif isinstance(command, e.SetEndpointWatch):
            self.peers["pool"].unread.append(f"watch {command.since_version}")
        elif isinstance(command, e.WriteLogLine):
            self.peers["relay"].unread.append(f"log {command.text}")
        else:
            self.peers["relay"].unread.append("exit")


def play(
    script: str,
    backends: int = 2,
    files: Mapping[str, str] | None = None,
    pushed: bool = False,
    **limits: int,
) -> World:
    """Play one scenario from the start; `files` are operators' files, the one named `start` among them. A
    `pushed` list is watched unasked.
    """
    world = World(backends, files, pushed, **limits)
    world.play(script)
    return world
