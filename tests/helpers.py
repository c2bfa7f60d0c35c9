"""Drives a balancer with events, without the wire."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import TypeVar

from gannetweir.placement.actions import Action, ProbeLoad, StartAttempt
from gannetweir.placement.balancer import Balancer
from gannetweir.placement.endpoint_state import EndpointState
from gannetweir.placement.events import (
    AttemptEnded,
    AttemptStatus,
    ConnectionEstablished,
    EndpointEntry,
    EndpointId,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    LoadProbeResult,
    RequestArrived,
    UpdateKind,
)
from gannetweir.placement.settings import RequestClass, Settings

SECOND = 1_000_000
ActionKind = TypeVar("ActionKind", bound=Action)


def settings(**changes: object) -> Settings:
    """Return settings of one relay with probes, full reports and repeatable requests, plus `changes`."""
    values: dict[str, object] = {
        "classes": [RequestClass("plain", idempotency="repeatable", idempotency_window_us=5 * SECOND)],
        "load_report_fields": ["concurrent", "x0"],
        "load_report_source": "probe",
        "load_probes_enabled": True,
        "max_attempts": 4,
        "message_latency_objectives_us": [100_000.0],
    }
    values.update(changes)
    return Settings(**values)  # type: ignore[arg-type]


def actions_of(actions: Iterable[Action], kind: type[ActionKind]) -> list[ActionKind]:
    return [action for action in actions if isinstance(action, kind)]


def number_of(record: StartAttempt | ProbeLoad | EndpointState) -> int:
    """Return the endpoint's id, which is a number in these tests."""
    assert isinstance(record.endpoint_id, int)
    return record.endpoint_id


class BalancerDriver:
    """Drives one `Balancer`; `loads` are the load reports with which its probes are answered."""

    def __init__(
        self,
        servers: int = 4,
        *,
        seed: int = 1,
        started_us_by_endpoint: dict[int, int] | None = None,
        zones: dict[int, int] | None = None,
        cells: dict[int, int] | None = None,
        **changes: object,
    ) -> None:
        self.now = 100 * SECOND
        self.balancer = Balancer(settings(**changes), seed, self.now)
        self.loads: dict[int, tuple[float, float]] = dict.fromkeys(range(servers), (10.0, 0.5))
        self.silent_endpoints: set[int] = set()
        self.started_attempts: list[StartAttempt] = []
        self.all_actions: list[Action] = []
        self.attempts: dict[int, int] = {}
        self.next_id = 1
        entries = [
            EndpointEntry(
                n,
                (zones or {}).get(n, 0),
                0,
                (cells or {}).get(n, 0),
                EndpointStatus.READY,
                1.0,
                (started_us_by_endpoint or {}).get(n, 0),
            )
            for n in range(servers)
        ]
        self.entries = dict(enumerate(entries))  # an endpoint that returns has the same zone and cell
        self.handle(EndpointListUpdate(UpdateKind.CACHED, 1, entries))

    def handle(self, event: Event) -> list[Action]:
        """Handle an event, and then the answers to the probes that it causes; return all actions."""
        actions = self.balancer.handle(event, self.now)
        self.all_actions += actions
        for start in actions_of(actions, StartAttempt):
            self.started_attempts.append(start)
            self.attempts[start.request_id] = self.attempts.get(start.request_id, -1) + 1
        result = list(actions)
        for probe in actions_of(actions, ProbeLoad):
            if probe.endpoint_id not in self.silent_endpoints:
                result += self.handle(
                    LoadProbeResult(probe.endpoint_id, AttemptStatus.OK, 1000, self.loads[number_of(probe)])
                )
        return result

    def arrive(self, **fields: int) -> list[Action]:
        """Send a request; its deadline is in two seconds unless `fields` states another."""
        fields.setdefault("time_budget_us", 2 * SECOND)
        request_id, self.next_id = self.next_id, self.next_id + 1
        return self.handle(RequestArrived(request_id, **fields))

    def establish(self, start: StartAttempt) -> None:
        self.handle(
            ConnectionEstablished(
                start.request_id, self.attempts[start.request_id], start.endpoint_id, 10_000
            )
        )

    def end(self, start: StartAttempt, status: int, closed: int = 0) -> list[Action]:
        attempt = self.attempts[start.request_id]
        return self.handle(AttemptEnded(start.request_id, attempt, status, closed, start.endpoint_id, 10_000))

    def change_status(self, server: int, state: int, started_us: int = 0) -> list[Action]:
        entry = replace(self.entries[server], state=state, started_us=started_us)
        return self.handle(EndpointListUpdate(UpdateKind.DELTA, 2, [entry]))

    def advance(self, microseconds: int) -> None:
        self.now += microseconds

    def ejected_endpoints(self) -> list[EndpointId]:
        """Return the endpoints that are ejected as outliers now."""
        return [
            node.endpoint_id
            for node in self.balancer.state.endpoints.values()
            if node.ejected_until_us > self.now
        ]
