"""The machine's wall clock may be wrong or may be stepped; slow start depends on the monotonic clock only."""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path

import pytest

from gannetweir import core as e
from gannetweir.net.relay import Relay
from gannetweir.placement.events import RequestArrived
from gannetweir.proto.endpoint_watch import read_membership
from tests.relay_harness import RelayHarness
from tests.scenario import CLASSES

TRUE_OFFSET_S = 1_700_000_000
HOUR_S = 3600
CLOCK_ERRORS_S = (0, HOUR_S, -HOUR_S, 5, -5)
SLOW_START_WINDOW_US = 10_000_000
NEW_ENDPOINT = "b0"


class WallClock:
    """Replaces `time.time_ns` with a clock that is `TRUE_OFFSET_S` ahead of the monotonic clock, plus an
    error of `error_s`.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.error_s = 0
        monotonic = time.monotonic_ns
        true_ns = TRUE_OFFSET_S * 1_000_000_000
        monkeypatch.setattr(time, "time_ns", lambda: monotonic() + true_ns + self.error_s * 1_000_000_000)


def relay_with_six_endpoints(
    shared: Path | None = None, has_new_endpoint: bool = True, port: int = 0
) -> Relay:
    """Return a relay with six endpoints. With `has_new_endpoint`, one of them has just started by discovery's
    clock.
    """
    harness = RelayHarness()
    hosts: list[dict[str, str | int]] = [
        {"host": f"b{n}", "dial": f"127.0.0.1:{n + 1}", "health": "Ready"} for n in range(6)
    ]
    if has_new_endpoint:
        hosts[0]["born_ms"] = time.monotonic_ns() // 1_000_000 + TRUE_OFFSET_S * 1000
    if port:  # processes that share a folder serve the same address
        harness.config = replace(
            harness.config, listen_address=replace(harness.config.listen_address, port=port)
        )
    settings = replace(
        harness.config.settings,
        classes=CLASSES,
        slow_start_window_us=SLOW_START_WINDOW_US,
        groups_enabled=False,
    )
    return Relay(
        replace(
            harness.config,
            settings=settings,
            known_endpoints={"seq": 1, "hosts": hosts},
            shared_folder=shared,
        )
    )


def endpoints_chosen(relay: Relay, now_us: int, count: int = 60) -> Iterator[str]:
    """Yield the endpoints that are chosen for `count` requests that arrive at this time."""
    for _ in range(count):
        relay.engine.request_opened(RequestArrived(0, time_budget_us=2_000_000), None, now_us)
    commands = relay.engine.commands
    for command in list(commands):
        if isinstance(command, e.OpenUpstream):
            yield str(command.endpoint_id)
    commands.clear()


def test_an_endpoint_that_has_just_started_is_in_slow_start_whatever_the_wall_clock_says(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = WallClock(monkeypatch)
    for clock.error_s in CLOCK_ERRORS_S:
        relay = relay_with_six_endpoints()
        now = relay.runtime.clock()
        assert NEW_ENDPOINT not in set(endpoints_chosen(relay, now)), f"{clock.error_s} s"
        later = now + SLOW_START_WINDOW_US + 1_100_000
        relay.engine.advance(later)
        assert NEW_ENDPOINT in set(endpoints_chosen(relay, later, 300)), (
            f"slow start never ends: {clock.error_s} s"
        )


@pytest.mark.parametrize("error_s", [0, 5, -5])
def test_a_fleet_started_together_long_ago_has_warmed_up_when_a_relay_starts(
    monkeypatch: pytest.MonkeyPatch, error_s: int
) -> None:
    """Five of six endpoints started within 2 s of one another an hour ago. All six receive requests from the
    first request on.
    """
    clock = WallClock(monkeypatch)
    clock.error_s = error_s
    born_ms = (time.time_ns() // 1_000_000) - (HOUR_S + error_s) * 1000
    hosts = [
        {
            "host": f"b{n}",
            "dial": f"127.0.0.1:{n + 1}",
            "health": "Ready",
            "born_ms": born_ms + 400 * n if n else 0,
        }
        for n in range(6)
    ]
    harness = RelayHarness()
    settings = replace(
        harness.config.settings,
        classes=CLASSES,
        slow_start_window_us=SLOW_START_WINDOW_US,
        groups_enabled=False,
    )
    relay = Relay(replace(harness.config, settings=settings, known_endpoints={"seq": 1, "hosts": hosts}))
    assert len(set(endpoints_chosen(relay, relay.runtime.clock(), 200))) == 6
    update = read_membership({"seq": 2, "whole": True, "hosts": hosts}, settings)
    relay.engine.endpoint_update_received(update, relay.runtime.clock())
    relay.engine.commands.clear()
    assert len(set(endpoints_chosen(relay, relay.runtime.clock(), 200))) == 6


def test_an_endpoint_back_online_is_in_slow_start_for_its_time_at_both_processes(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    """The wall clock is stepped between the starts of processes that share a folder."""
    clock = WallClock(monkeypatch)
    relays = []
    for error_s in (HOUR_S, 0, -HOUR_S):
        clock.error_s = error_s
        relays.append(relay_with_six_endpoints(tmp_path, has_new_endpoint=False, port=1))
    for offline in (True, False):
        relays[0].runtime.operator_overrides.override_endpoint("b1", offline)
    for relay in relays:
        relay.runtime.operator_overrides.refresh()
        now = relay.runtime.clock()
        assert "b1" not in set(endpoints_chosen(relay, now))
        later = now + SLOW_START_WINDOW_US + 1_100_000
        relay.engine.advance(later)
        assert "b1" in set(endpoints_chosen(relay, later, 300))
        relay.handover.close()
