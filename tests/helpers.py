"""A gateway and the events it is given, built without the wire."""

from __future__ import annotations

from collections.abc import Iterable

from gannetweir import interface as i
from gannetweir.placement.balancer import Balancer

SECOND = 1_000_000


def settings(**changes: object) -> i.Settings:
    """A fleet of one gateway with probes, full reports and repeatable requests, unless told otherwise."""
    values: dict[str, object] = {
        "classes": [i.RequestClass("plain", repeat="repeatable", window_us=5 * SECOND)],
        "report_names": ["concurrent", "x0"],
        "report_source": "probe",
        "probes": True,
        "max_attempts": 4,
        "message_aim_us": [100_000.0],
    }
    values.update(changes)
    return i.Settings(**values)  # type: ignore[arg-type]


def of(actions: Iterable[i.Action], kind: type) -> list:
    return [action for action in actions if isinstance(action, kind)]


class Gateway:
    """Drives one `Balancer`; `loads` are the reports that its probes are answered with."""

    def __init__(
        self,
        servers: int = 4,
        *,
        seed: int = 1,
        starts: dict[int, int] | None = None,
        places: dict[int, int] | None = None,
        cells: dict[int, int] | None = None,
        **changes: object,
    ) -> None:
        self.now = 100 * SECOND
        self.balancer = Balancer(settings(**changes), seed, self.now)
        self.loads: dict[int, tuple[float, float]] = dict.fromkeys(range(servers), (10.0, 0.5))
        self.silent: set[int] = set()
        self.sent: list[i.Send] = []
        self.log: list[i.Action] = []
        self.attempts: dict[int, int] = {}
        self.next_id = 1
        entries = [
            i.ServerEntry(
                n,
                (places or {}).get(n, 0),
                0,
                (cells or {}).get(n, 0),
                i.READY,
                1.0,
                (starts or {}).get(n, 0),
            )
            for n in range(servers)
        ]
        self.give(i.ServerList(i.LIST_CACHED, 1, entries))

    def give(self, event: i.Event) -> list[i.Action]:
        """One event, and the answers to the probes it led to."""
        actions = self.balancer.handle(event, self.now)
        self.log += actions
        for send in of(actions, i.Send):
            self.sent.append(send)
            self.attempts[send.request] = self.attempts.get(send.request, -1) + 1
        result = list(actions)
        for probe in of(actions, i.Probe):
            if probe.server not in self.silent:
                result += self.give(i.ProbeResult(probe.server, i.OK, 1000, self.loads[probe.server]))
        return result

    def arrive(self, **fields: int) -> list[i.Action]:
        """A request with two seconds to go."""
        fields.setdefault("budget_us", 2 * SECOND)
        rid, self.next_id = self.next_id, self.next_id + 1
        return self.give(i.Request(rid, **fields))

    def establish(self, send: i.Send) -> None:
        self.give(i.Established(send.request, self.attempts[send.request], send.server, 10_000))

    def end(self, send: i.Send, status: int, closed: int = 0) -> list[i.Action]:
        attempt = self.attempts[send.request]
        return self.give(i.Outcome(send.request, attempt, status, closed, send.server, 10_000))

    def mark(self, server: int, state: int, started_us: int = 0) -> list[i.Action]:
        entry = i.ServerEntry(server, state=state, started_us=started_us)
        return self.give(i.ServerList(i.LIST_DELTA, 2, [entry]))

    def pass_time(self, microseconds: int) -> None:
        self.now += microseconds

    def aside(self) -> list[i.ServerId]:
        """The servers that nothing is sent to for now, by what was seen of them."""
        return [node.id for node in self.balancer.nodes.values() if node.out_until > self.now]
