"""Any wrong value of any setting is rejected in one line or tolerated, without an exception in the engine."""

import copy
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import orjson
import pytest

from gannetweir import core
from gannetweir.config import Config, ConfigError, load_config
from gannetweir.membership.membership_update import ListedEndpoint, MembershipUpdate
from gannetweir.placement.actions import Action
from gannetweir.placement.events import (
    AttemptStatus,
    EndpointEntry,
    Event,
    RequestArrived,
    RequestFlag,
    TimerExpired,
)
from tests.scenario import run_script

SETTINGS: dict[str, Any] = {
    "fleet-size": 3,
    "zone": 0,
    "zones": ["a", "b"],
    "kinds": ["m"],
    "registry-mode": "on_request",
    "contract": {"ask-within-us": 4e6, "cold-from": 0.1, "warm-within-us": 2e7, "fall-multiple": 4.0},
    "reporting": {"names": ["concurrent", "x0"], "source": "probe"},
    "limits": {
        "probes": True,
        "max-attempts": 4,
        "connect-timeout-us": 250_000,
        "may-duplicate": False,
        "max-retry-after-us": 1_000_000,
    },
    "family-info": {"message-aim-us": [100_000.0], "groups": True, "tells-load": True, "tells-delay": True},
    "fees": {"cross-zone": 0.1},
    "client-habits": {"marks-retry": True},
    "categories": [
        {
            "name": "plain",
            "aim-us": 500_000,
            "hard-limit-us": 2_000_000,
            "importance": 3.0,
            "idempotency": "by_key",
            "dedup-scope": "zone",
            "window-us": 5_000_000,
        }
    ],
}
WRONG_VALUES = [
    None,
    True,
    0,
    -1,
    1e308,
    -1e308,
    1 << 62,
    1e-300,
    "",
    "x",
    [],
    {},
    [0],
    [None],
    {"a": 1},
    [""],
]
CONFIG = {"name": "n3", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c", "known": {}}


def setting_paths(data: object, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Yield the path of every part of the settings: objects, lists and leaves."""
    if path:
        yield path
    parts = data.items() if isinstance(data, dict) else enumerate(data) if isinstance(data, list) else ()
    for name, part in parts:
        yield from setting_paths(part, (*path, name))


def with_value(path: tuple[Any, ...], value: object) -> dict[str, Any]:
    data = at = copy.deepcopy(SETTINGS)
    for name in path[:-1]:
        at = at[name]
    at[path[-1]] = value
    return data


def run_six_seconds(engine: core.Engine, now: int) -> int:
    """Run an engine for six seconds and return the time at the end.

    The run has cold and warm endpoints, groups, load reports, attempts of every outcome and list updates.
    """

    def listed_endpoints(state: int, started_us: int) -> list[ListedEndpoint]:
        ready = [ListedEndpoint(EndpointEntry(f"b{n}", n % 2), f"127.0.0.1:{n}") for n in range(1, 5)]
        return [
            *ready,
            ListedEndpoint(EndpointEntry("cold", 0, state=state, started_us=started_us), "127.0.0.1:9"),
        ]

    statuses = [
        AttemptStatus.OK,
        AttemptStatus.ERROR,
        AttemptStatus.FULL,
        AttemptStatus.TIMEOUT,
        AttemptStatus.CONNECT_FAILED,
        AttemptStatus.RESET,
    ]
    for step in range(60):
        now += 100_000
        if step % 20 == 0:
            engine.endpoint_update_received(
                MembershipUpdate(50 + step, step == 0, listed_endpoints(1 + step // 20 % 2, now - 1000)), now
            )
        if step % 3 == 0:
            flags = (
                RequestFlag.LOAD_HINT_VALID
                | RequestFlag.RETURNED * (step % 2)
                | RequestFlag.CLIENT_RETRY * (step % 4 == 0)
            )
            request = RequestArrived(
                0, 0, group=step % 5, time_budget_us=2_000_000, load_hint=50, flags=flags
            )
            engine.request_opened(request, "", now)
        engine.advance(now)
        while engine.commands:
            command = engine.commands.popleft()
            if isinstance(command, core.StartLoadProbe):
                engine.load_probe_ended(command.endpoint_id, AttemptStatus.OK, (10.0 + step, 0.5), now)
            elif isinstance(command, core.OpenUpstream):
                engine.upstream_first_line_written(command.request_id, command.attempt, now)
                if step % 2:
                    engine.upstream_established(command.request_id, command.attempt, now)
                else:
                    status = statuses[step // 2 % len(statuses)]
                    engine.upstream_ended(command.request_id, command.attempt, status, (), False, now)
    return now


@pytest.mark.parametrize("path", list(setting_paths(SETTINGS)), ids=lambda path: ".".join(map(str, path)))
def test_a_wrong_setting_is_rejected_or_tolerated(tmp_path: Path, path: tuple[Any, ...]) -> None:
    env = {"RELAY_CONFIG": str(tmp_path / "config.json")}

    def load_with(settings: dict[str, Any]) -> Config | ConfigError:
        (tmp_path / "config.json").write_bytes(orjson.dumps(CONFIG | {"settings": settings}))
        try:
            return load_config(env)
        except ConfigError as error:
            return error

    good = load_with(SETTINGS)
    assert isinstance(good, Config)
    for value in WRONG_VALUES:
        config = load_with(with_value(path, value))
        if isinstance(config, ConfigError):
            assert len(str(config).splitlines()) == 1
            assert len(str(config)) < 500
            continue
        known = MembershipUpdate(1, True, [])
        engines = [core.Engine(c.settings, c.limits, 7, known, 1_700_000_000_000_000) for c in (config, good)]
        now = run_six_seconds(engines[1], 1_700_000_000_000_000)
        engines[1].reload(config.settings, config.limits, now)  # a reload while connections are open
        for engine in engines:
            run_six_seconds(engine, now)
            counts = engine.counters.counts
            assert not counts["placement_faults"], (value, engine.commands)


@pytest.mark.parametrize("name", ["ask-within-us", "fall-multiple"])
def test_a_contract_value_of_0_leaves_the_default(tmp_path: Path, name: str) -> None:
    (tmp_path / "config.json").write_bytes(
        orjson.dumps(CONFIG | {"settings": with_value(("contract", name), 0)})
    )
    settings = load_config({"RELAY_CONFIG": str(tmp_path / "config.json")}).settings
    assert settings.poll_interval_us > 1_000_000  # the endpoint list is not polled without a pause


def test_timers_go_on_after_faults_of_the_balancer(monkeypatch: pytest.MonkeyPatch) -> None:
    scenario = run_script("", backends=1)
    handled_at_us: list[int] = []
    handle = scenario.engine.balancer.handle

    def faulty(event: Event, now: int) -> list[Action]:
        if isinstance(event, TimerExpired):
            handled_at_us.append(now)
            if len(handled_at_us) <= 3:
                raise ZeroDivisionError
        return handle(event, now)

    monkeypatch.setattr(scenario.engine.balancer, "handle", faulty)
    scenario.run_script("time wait 10000")
    assert len(handled_at_us) > 8
    assert scenario.engine.counters.counts["placement_faults"] == 3
