"""Tests that the relay recovers from driver exceptions, a blocked event loop and transient I/O errors."""

from __future__ import annotations

import errno
import os
import socket
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import anyio
import orjson
import pytest

from gannetweir.config import SocketAddress, load_config
from gannetweir.limits import Limits
from gannetweir.net import listener
from gannetweir.net import relay as relay_module
from tests.relay_harness import (
    DEADLINE_S,
    HEARTBEAT_CHUNK,
    SHORT_TIMES,
    WATCH_RESPONSE_HEAD,
    RelayHarness,
    anyio_backend,  # noqa: F401
    established_client,
    run_scenario,
    unchanged_update_chunk,
)

pytestmark = pytest.mark.anyio
MINIMAL_CONFIG = {
    "name": "n0",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "known": {"seq": 1, "hosts": []},
    "settings": {"categories": [{"name": "plain", "hard-limit-us": 200_000}]},
}


def raise_once(call: Callable[..., Any], error: BaseException) -> Callable[..., Any]:
    """Wrap a function to raise the error on its first call."""
    pending = [error]

    def wrapped(*args: object, **named: object) -> object:
        if pending:
            raise pending.pop()
        return call(*args, **named)

    return wrapped


async def watch_is_reopened(harness: RelayHarness) -> None:
    engine = harness.relay.engine
    watcher = await harness.accept_watch(harness.discovery_listener, 1)
    watcher.send(WATCH_RESPONSE_HEAD + HEARTBEAT_CHUNK)
    await harness.wait_until(lambda: harness.relay.endpoint_watch.calls.has_answered)
    engine.endpoint_update_received = raise_once(
        engine.endpoint_update_received, RuntimeError("simulated fault")
    )
    watcher.send(unchanged_update_chunk(7))
    new_watcher = await harness.accept_watch(harness.discovery_listener, 1)
    new_watcher.send(WATCH_RESPONSE_HEAD + unchanged_update_chunk(8))
    await harness.wait_until(lambda: engine.endpoint_list.version == 8)
    assert engine.counters.counts.pop("driver_faults") == 1


async def delayed_loop_does_not_fail_connect(harness: RelayHarness) -> None:
    """The event loop is blocked for longer than the connect timeout between an attempt's command and the
    first turn of its task. All awaited input has arrived by then.
    """
    relay = harness.relay
    client = await harness.connect_client()
    attempts: Any = relay.engine.attempts
    open_upstream = attempts.open

    def open_then_delay(*args: object) -> None:
        open_upstream(*args)
        attempts.open = open_upstream
        relay.runtime.spawn(delay_the_loop)

    async def delay_the_loop() -> None:
        time.sleep(0.3)

    attempts.open = open_then_delay
    client.send(r"OPEN 0a 0b c=plain,d=2000\r\n")
    server = await harness.accept_upstream()
    await server.expect("OPEN 0a")
    server.send(r"UP r1\r\n")
    await client.expect("UP r1")
    assert relay.engine.counters.counts["attempts_started"] == 1


async def test_a_watch_is_reopened_after_its_driver_fails(capsys: pytest.CaptureFixture[str]) -> None:
    await run_scenario(RelayHarness(SHORT_TIMES), watch_is_reopened, capsys)


async def test_a_delayed_loop_reads_before_it_times_out(capsys: pytest.CaptureFixture[str]) -> None:
    await run_scenario(RelayHarness(SHORT_TIMES), delayed_loop_does_not_fail_connect, capsys)


def test_reading_the_configuration_is_retried_after_a_transient_error(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(MINIMAL_CONFIG))
    for code in (errno.ENFILE, errno.EMFILE, errno.EIO, errno.ENOMEM):
        with monkeypatch.context() as patch:
            patch.setattr(Path, "read_bytes", raise_once(Path.read_bytes, OSError(code, os.strerror(code))))
            assert load_config({"RELAY_CONFIG": str(path)}).name == "n0"


async def load_probes_fail(harness: RelayHarness) -> None:
    """The driver of a load probe raises, or a reload changes the fields of load reports during a probe. Both
    probes end without a load report, and the next probe can start.
    """
    await harness.connect_client()
    engine = harness.relay.engine
    original = harness.relay.runtime.parse_endpoint_address
    harness.relay.runtime.parse_endpoint_address = raise_once(original, RuntimeError("simulated fault"))  # type: ignore[method-assign]
    for number in (1, 2):
        engine.load_probes.start("b1")
        harness.relay.runtime.execute_commands()
        if number == 2:
            server = await harness.accept_upstream()
            await server.expect("STATS")
            harness.reload(settings=replace(harness.config.settings, load_report_fields=["x0", "concurrent"]))
            await harness.wait_until(lambda: engine.counters.counts["reloads"] == 1)
            server.send(r"PONG concurrent=1,x0=0.5\r\n")
        await harness.wait_until(lambda n=number: engine.counters.counts["load_probes.not_started"] == n)  # type: ignore[misc]
    assert engine.counters.counts.pop("driver_faults") == 1


async def test_every_load_probe_ends_with_a_result(capsys: pytest.CaptureFixture[str]) -> None:
    await run_scenario(RelayHarness(SHORT_TIMES), load_probes_fail, capsys)


def test_creating_the_event_loop_is_retried_after_a_shortage(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = RelayHarness(SHORT_TIMES)
    original = anyio.run

    def run_until_drained(run: Callable[..., Any]) -> None:
        async def serve_and_end() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(run)
                await (await harness.connect_client()).expect("BUSY")

        harness.relay.engine.drain(harness.relay.runtime.clock())
        original(serve_and_end)

    monkeypatch.setattr(anyio, "run", raise_once(run_until_drained, OSError(errno.ENFILE, "no descriptors")))
    monkeypatch.setattr(relay_module, "Relay", lambda *_: harness.relay)
    relay_module.serve(harness.config)
    assert harness.relay.started


async def client_driver_fails(harness: RelayHarness) -> None:
    """The request is released at once, the backend's side is closed, and the invariant guard reports the
    connection as cut off.
    """
    client, server = await established_client(harness)
    (client_connection,) = harness.relay.clients.by_request.values()
    client_connection.client.read = raise_once(client_connection.client.read, RuntimeError("simulated fault"))  # type: ignore[method-assign]
    client.send(r"one\r\ntwo\r\n")
    await server.expect("one")
    client.send(r"three\r\n")
    await server.expect("two")
    with anyio.fail_after(DEADLINE_S):
        while await server.next_line() not in ("end", "reset"):
            pass
    engine = harness.relay.engine
    assert not engine.requests
    assert engine.counters.counts.pop("driver_faults") == 1
    assert engine.counters.counts["violations.cut_off"] == 1
    engine.guard.violations = 0  # this violation is expected


async def test_a_failed_client_driver_is_cleaned_up(capsys: pytest.CaptureFixture[str]) -> None:
    await run_scenario(RelayHarness(SHORT_TIMES), client_driver_fails, capsys)


def test_listening_waits_until_the_address_is_free(monkeypatch: pytest.MonkeyPatch) -> None:
    """The previous process still uses the address and ends while the new one waits."""
    with socket.socket() as other:
        other.bind(("127.0.0.1", 0))
        other.listen()
        address = SocketAddress(*other.getsockname())
        delays: list[float] = []

        def close_other_listener(seconds: float) -> None:
            delays.append(seconds)
            other.close()

        monkeypatch.setattr(time, "sleep", close_other_listener)
        with listener.open_listener(address, Limits()) as opened:
            assert opened.getsockname()[1] == address.port
            assert len(delays) == 1


def test_listening_fails_if_the_address_stays_in_use(monkeypatch: pytest.MonkeyPatch) -> None:
    now = [100.0]

    def advance_time(seconds: float) -> None:
        now[0] += seconds

    monkeypatch.setattr(time, "sleep", advance_time)
    monkeypatch.setattr(time, "monotonic", lambda: now[0])
    with socket.socket() as other:
        other.bind(("127.0.0.1", 0))
        other.listen()
        with pytest.raises(OSError, match="in use"):
            listener.open_listener(SocketAddress(*other.getsockname()), Limits())
    assert listener.LISTEN_TIMEOUT_S <= now[0] - 100.0 < 10.0
