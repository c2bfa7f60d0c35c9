"""Zones and machine types have numbers in the settings; a reload may give the same zone another number."""

from __future__ import annotations

from dataclasses import replace

import pytest

from gannetweir.core import Engine, OpenUpstream, StartLoadProbe
from gannetweir.limits import Limits
from gannetweir.placement.events import AttemptStatus, EndpointId, RequestArrived
from gannetweir.placement.settings import RequestClass, Settings
from gannetweir.proto.endpoint_watch import read_membership
from tests.helpers import SECOND, settings

KEYED = RequestClass("keyed", 500_000, 3_000_000, 1.0, "by_key", "zone", 5_000_000)
BEFORE = settings(
    classes=[KEYED], zone_names=["closed", "stays", "grows"], machine_types=["m1", "m2"], zone=1
)
AFTER = replace(BEFORE, zone_names=["stays", "grows"], machine_types=["m2"], zone=0)
LIMITS = Limits()
REQUESTS = 12
MIN_RETRIES = 3  # endpoints that failed are ejected for a while, so not every request is retried


def host(name: str, site: str, health: str = "Ready") -> dict[str, object]:
    return {"host": name, "dial": "127.0.0.1:1", "site": site, "class": "m2", "block": 3, "health": health}


class ReloadedRelay:
    """An engine with three endpoints in each of two zones; attempts and probes are answered by the test."""

    def __init__(self, seed: int) -> None:
        self.now_us = 100 * SECOND
        self.version = 1
        self.site_by_host: dict[EndpointId, str] = {}
        hosts = [host(f"{site}-{number}", site) for site in ("stays", "grows") for number in range(3)]
        known = read_membership({"seq": 1, "whole": True, "hosts": hosts}, BEFORE)
        self.record_sites(hosts)
        self.engine = Engine(BEFORE, LIMITS, seed, known, self.now_us)
        self.opened: list[OpenUpstream] = []
        self.take_commands()

    def record_sites(self, hosts: list[dict[str, object]]) -> None:
        self.site_by_host |= {str(entry["host"]): str(entry["site"]) for entry in hosts if "site" in entry}

    def take_commands(self) -> None:
        while self.engine.commands:
            match self.engine.commands.popleft():
                case OpenUpstream() as command:
                    self.opened.append(command)
                case StartLoadProbe(endpoint_id=endpoint_id):
                    self.engine.load_probe_ended(endpoint_id, AttemptStatus.OK, (10.0, 0.5), self.now_us)

    def reload(self, new: Settings) -> None:
        self.engine.reload(new, LIMITS, self.now_us)
        self.take_commands()

    def update(self, *hosts: dict[str, object]) -> None:
        """Receive changes that are read with the settings in force."""
        self.version += 1
        self.record_sites(list(hosts))
        changes = {"seq": self.version, "whole": False, "hosts": list(hosts)}
        self.engine.endpoint_update_received(
            read_membership(changes, self.engine.context.settings), self.now_us
        )
        self.take_commands()

    def arrive(self) -> OpenUpstream:
        """Receive a request and return its first attempt, whose first line is written."""
        self.now_us += 10_000
        self.engine.advance(self.now_us)
        self.take_commands()
        self.engine.request_opened(RequestArrived(0, time_budget_us=2 * SECOND), "", self.now_us, "")
        self.take_commands()
        attempt = self.opened[-1]
        self.engine.upstream_first_line_written(attempt.request_id, attempt.attempt, self.now_us)
        return attempt

    def fail(self, attempt: OpenUpstream) -> list[OpenUpstream]:
        """Answer an attempt with an error, establish the retry, if any, and return it."""
        before = len(self.opened)
        self.engine.upstream_ended(
            attempt.request_id, attempt.attempt, AttemptStatus.ERROR, (), False, self.now_us
        )
        self.take_commands()
        for retry in self.opened[before:]:
            self.engine.upstream_first_line_written(retry.request_id, retry.attempt, self.now_us)
            assert self.engine.upstream_established(retry.request_id, retry.attempt, self.now_us)
        self.take_commands()
        return self.opened[before:]

    def site_of(self, attempt: OpenUpstream) -> str:
        return self.site_by_host[attempt.endpoint_id]


@pytest.mark.parametrize("seed", range(5))
def test_a_keyed_retry_stays_in_its_zone_after_a_reload_that_drops_another(seed: int) -> None:
    """Guards against a second execution in another zone, which does not know the key (review case 2)."""
    relay = ReloadedRelay(seed)
    relay.reload(AFTER)
    relay.update(*(host(f"grows-{number}", "grows", "Terminating") for number in range(3)))
    relay.update(*(host(f"new-{number}", "grows") for number in range(3)))
    retries = 0
    for _ in range(REQUESTS):
        attempt = relay.arrive()
        for retry in relay.fail(attempt):
            retries += 1
            assert relay.site_of(retry) == relay.site_of(attempt)
    assert retries >= MIN_RETRIES
    assert not relay.engine.guard.violations


@pytest.mark.parametrize("health", ["Ready", "Terminating", "Gone"])
@pytest.mark.parametrize("seed", range(5))
def test_a_keyed_retry_stays_in_the_zone_of_an_attempt_before_the_reload(seed: int, health: str) -> None:
    relay = ReloadedRelay(seed)
    attempts = [relay.arrive() for _ in range(REQUESTS)]
    for name, site in list(relay.site_by_host.items()):
        if str(name).endswith("-0"):
            # A removal may be reported without the location.
            relay.update(
                {"host": name, "health": health} if health == "Gone" else host(str(name), site, health)
            )
    relay.reload(AFTER)
    retries = [(attempt, retry) for attempt in attempts for retry in relay.fail(attempt)]
    assert len(retries) >= MIN_RETRIES
    assert all(relay.site_of(retry) == relay.site_of(attempt) for attempt, retry in retries)


def test_a_reload_renumbers_all_that_is_known() -> None:
    relay = ReloadedRelay(1)
    relay.reload(AFTER)
    states = relay.engine.balancer.state
    assert {str(state.endpoint_id) for state in states.ready_endpoints.in_zone(0)} == {
        "stays-0",
        "stays-1",
        "stays-2",
    }
    assert {state.machine_type for state in states.endpoints.values()} == {0}
    assert {entry.machine_type for entry in relay.engine.endpoint_list.entries.values()} == {0}
    relay.reload(BEFORE)
    assert {state.machine_type for state in states.endpoints.values()} == {1}
    assert len(states.ready_endpoints.in_zone(1)) == 3
    assert len(states.ready_endpoints.all) == 6


def test_an_endpoint_that_is_removed_without_a_location_keeps_it() -> None:
    relay = ReloadedRelay(1)
    relay.update({"host": "grows-0", "health": "Gone"})
    entry = relay.engine.endpoint_list.entries["grows-0"]
    assert (entry.zone, entry.machine_type, entry.cell) == (2, 1, 3)
