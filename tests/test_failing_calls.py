"""Tests that transient errors of system calls neither lose answers to clients nor eject backends."""

from __future__ import annotations

import errno
import socket
from collections.abc import Awaitable, Callable

import anyio
import pytest

from tests.failing_calls import FailingCalls, is_connected_at_port, is_connected_to_port
from tests.relay_harness import (
    HEARTBEAT_CHUNK,
    SHORT_TIMES,
    WATCH_RESPONSE_HEAD,
    Peer,
    RelayHarness,
    anyio_backend,  # noqa: F401
    established_client,
    run_scenario,
)

pytestmark = pytest.mark.anyio
FailingScenario = Callable[[RelayHarness, FailingCalls], Awaitable[None]]
OPEN_LINE = r"OPEN {} 0b c=plain,d=2000\r\n"
TRANSIENT_ACCEPT_ERRORS = [
    errno.ECONNABORTED,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.EPROTO,
    errno.ENOMEM,
    errno.EMFILE,
]
NO_BUFFER_ERRORS = [errno.ENOBUFS, errno.ENOMEM]


async def run_with_failing_calls(
    scenario: FailingScenario,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    **limits: int,
) -> None:
    calls = FailingCalls(monkeypatch)

    async def run(harness: RelayHarness) -> None:
        await scenario(harness, calls)

    await run_scenario(RelayHarness(SHORT_TIMES | limits), run, capsys)
    assert not any(calls.remaining_errors.values()), calls.remaining_errors  # each error was raised


async def accept_queue_at_exit(harness: RelayHarness, calls: FailingCalls) -> None:
    """Requests wait in the accept queue when the relay exits, and accepts fail."""
    relay, original = harness.relay, socket.socket.accept
    clients = [await harness.connect_client() for _ in range(3)]

    def accept_only_when_exiting(sock: socket.socket) -> tuple[socket.socket, object]:
        if sock is relay.listener.sock and not relay.shutdown.is_exiting:
            raise BlockingIOError
        return original(sock)

    calls.monkeypatch.setattr(socket.socket, "accept", accept_only_when_exiting)
    clients += [await harness.connect_client() for _ in range(3)]
    for number, client in enumerate(clients):
        client.send(OPEN_LINE.format(f"a{number}"))
    calls.fail("accept", TRANSIENT_ACCEPT_ERRORS, lambda sock: relay.shutdown.is_exiting)
    relay.runtime.run_engine_call(relay.engine.drain)
    for client in clients[3:]:
        await client.expect("BUSY")
        await client.expect("end")


async def answers_delayed_by_shortage(harness: RelayHarness, calls: FailingCalls) -> None:
    """The first sends of the answer, of a line and of MOVE fail."""
    is_client_socket = is_connected_at_port(harness.relay.runtime.config.listen_address.port)
    calls.fail("send", NO_BUFFER_ERRORS, is_client_socket)
    client, server = await established_client(harness)
    for error in NO_BUFFER_ERRORS:
        calls.remaining_errors["send"].append(error)
        server.send(r"a line\r\n")
        await client.expect("a line")
    calls.remaining_errors["send"].append(errno.ENOBUFS)
    harness.relay.runtime.run_engine_call(harness.relay.engine.drain)
    await client.expect("MOVE")
    await client.expect("end")


async def first_lines_delayed_by_shortage(harness: RelayHarness, calls: FailingCalls) -> None:
    calls.fail("send", NO_BUFFER_ERRORS, is_connected_to_port(harness.endpoint_listener.getsockname()[1]))
    client, server = await established_client(harness)
    calls.remaining_errors["send"].append(errno.ENOBUFS)
    client.send(r"a line\r\n")
    await server.expect("a line")


async def reads_fail(harness: RelayHarness, calls: FailingCalls) -> None:
    calls.fail(
        "recv",
        [errno.ENOMEM, errno.ENOMEM],
        is_connected_at_port(harness.relay.runtime.config.listen_address.port),
    )
    client, server = await established_client(harness)
    calls.fail("recv", [errno.ENOMEM], is_connected_to_port(harness.endpoint_listener.getsockname()[1]))
    server.send(r"a line\r\n")
    await client.expect("a line")


async def short_socket_shortage(harness: RelayHarness, calls: FailingCalls) -> None:
    """A shortage of sockets neither uses up an attempt of a request nor counts as a failed connect."""
    client = await harness.connect_client()
    calls.fail_new_sockets([errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EMFILE])
    client.send(OPEN_LINE.format("0a"))
    await _expect_served_by_first_attempt(harness, client)


async def short_connect_shortage(harness: RelayHarness, calls: FailingCalls) -> None:
    client = await harness.connect_client()
    local_errors = [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EAGAIN]
    calls.fail("connect_ex", local_errors, lambda sock: True)
    client.send(OPEN_LINE.format("0a"))
    await _expect_served_by_first_attempt(harness, client)


async def _expect_served_by_first_attempt(harness: RelayHarness, client: Peer) -> None:
    server = await harness.accept_upstream()
    await server.expect("OPEN 0a")
    server.send(r"UP r1\r\n")
    await client.expect("UP r1")
    counts = harness.relay.engine.counters.counts
    assert counts["attempts_started"] == 1, counts
    assert not counts["attempts.connect_failed"], counts


async def long_socket_shortage(harness: RelayHarness, calls: FailingCalls) -> None:
    """One attempt fails because no socket can be opened. The backend is not ejected, and the next attempt
    serves the request.
    """
    # The watch is accepted first, so that its socket takes none of the errors.
    watcher = await harness.accept_watch(harness.discovery_listener, 1)
    watcher.send(WATCH_RESPONSE_HEAD + HEARTBEAT_CHUNK)
    client = await harness.connect_client()
    calls.fail_new_sockets([errno.ENFILE] * 20)
    client.send(OPEN_LINE.format("0a"))
    server = await harness.accept_upstream()
    await server.expect("OPEN 0a")
    server.send(r"UP r1\r\n")
    await client.expect("UP r1")
    counts = harness.relay.engine.counters.counts
    assert counts["attempts.connect_failed"] == 1, counts
    assert counts["local_errors"] > 10, counts
    assert harness.relay.engine.balancer.state.endpoints["b1"].ejected_until_us == 0


async def load_probe_without_socket(harness: RelayHarness, calls: FailingCalls) -> None:
    """A load probe that gets no socket says nothing about the backend, whose clients stay connected."""
    watcher = await harness.accept_watch(harness.discovery_listener, 1)
    watcher.send(WATCH_RESPONSE_HEAD + HEARTBEAT_CHUNK)
    client, server = await established_client(harness)
    calls.fail_new_sockets([errno.ENFILE] * 15)
    harness.relay.engine.load_probes.start("b1")
    harness.relay.runtime.execute_commands()
    counts = harness.relay.engine.counters.counts
    await harness.wait_until(lambda: counts["load_probes.not_started"] == 1)
    assert harness.relay.engine.balancer.state.endpoints["b1"].ejected_until_us == 0
    calls.remaining_errors["socket"].clear()
    server.send(r"still here\r\n")
    await client.expect("still here")


async def test_queued_clients_are_answered_at_exit_while_accepts_fail(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    await run_with_failing_calls(accept_queue_at_exit, monkeypatch, capsys)


async def test_sends_and_reads_are_retried_after_a_shortage(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    await run_with_failing_calls(answers_delayed_by_shortage, monkeypatch, capsys)
    await run_with_failing_calls(first_lines_delayed_by_shortage, monkeypatch, capsys)
    await run_with_failing_calls(reads_fail, monkeypatch, capsys)


async def test_a_local_error_uses_no_attempt_and_ejects_no_backend(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    await run_with_failing_calls(short_socket_shortage, monkeypatch, capsys)
    await run_with_failing_calls(short_connect_shortage, monkeypatch, capsys)


async def test_a_long_shortage_ejects_no_backend(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    await run_with_failing_calls(long_socket_shortage, monkeypatch, capsys)
    await run_with_failing_calls(load_probe_without_socket, monkeypatch, capsys, connect_timeout_us=100_000)


async def no_descriptors_and_no_buffers(harness: RelayHarness, calls: FailingCalls) -> None:
    """Silent clients use all descriptors, and the first sends of the answer to each evicted client fail."""
    capacity = harness.relay.runtime.limits.client_sockets
    clients = [await harness.connect_client() for _ in range(capacity)]
    calls.fail("send", [], is_connected_at_port(harness.relay.runtime.config.listen_address.port))
    for _ in range(3):
        calls.remaining_errors["send"].extend(NO_BUFFER_ERRORS)
        clients.append(await harness.connect_client())
        await harness.wait_until(lambda: not calls.remaining_errors["send"])
    await anyio.sleep(0)
    # One descriptor more may be open for the client that has just been accepted.
    assert harness.relay.runtime.descriptor_count.peak <= capacity + 1
    for client in clients[:3]:
        await client.expect("BUSY")
        await client.expect("end")


async def test_an_evicted_client_is_answered_and_its_descriptor_closed_at_once(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    await run_with_failing_calls(no_descriptors_and_no_buffers, monkeypatch, capsys, sockets=30)
