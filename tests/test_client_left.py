"""No attempt starts for a client that has disconnected. The client ends its side in the same turn of the
event loop in which the relay decides to start an attempt: the end has reached the kernel, but the loop has
not read it yet. In production a long turn (a complete endpoint list, many other clients) leaves time for
this; the tests force it without one.
"""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import anyio
import pytest

from gannetweir.net import connecting
from gannetweir.net.sockets import SocketName, connect
from gannetweir.placement.actions import Action, StartAttempt
from gannetweir.proto.endpoint_watch import read_membership
from tests.relay_harness import (
    SHORT_TIMES,
    Peer,
    RelayHarness,
    anyio_backend,  # noqa: F401
    established_client,
    run_scenario,
)
from tests.scenario import CLASSES

OPEN_LINE = r"OPEN 0a 0b c=plain,d=2000\r\n"
# Three of these lines exceed one read, but not the limit on input before the answer.
EARLY_LINE = "x" * 4000 + r"\r\n"


def finishes(client: Peer) -> None:
    client.finish()


def closes(client: Peer) -> None:
    client.close()


def resets(client: Peer) -> None:
    client.close(True)


Disconnection = Callable[[Peer], None]


@dataclass
class DisconnectingClient:
    """A client, and the way in which it disconnects."""

    harness: RelayHarness
    client: Peer
    disconnect: Disconnection

    def disconnect_after(self, name: str, sent_before: str = "") -> None:
        """Send `sent_before` and disconnect at the end of the engine's next call of this name."""
        engine = self.harness.relay.engine
        call = getattr(engine, name)

        def then_disconnect(*args: object) -> object:
            setattr(engine, name, call)
            result = call(*args)
            if sent_before:
                self.client.send(sent_before)
            self.disconnect(self.client)
            return result

        setattr(engine, name, then_disconnect)


def send_endpoint_list(harness: RelayHarness, *hosts: tuple[str, int, str]) -> None:
    """Pass the complete list to the engine, as if discovery had sent it."""
    entries = [{"host": name, "dial": f"127.0.0.1:{port}", "health": health} for name, port, health in hosts]
    update = read_membership({"seq": 7, "whole": True, "hosts": entries}, harness.relay.runtime.settings)
    harness.relay.runtime.run_engine_call(harness.relay.engine.endpoint_update_received, update)


def list_two_endpoints(harness: RelayHarness) -> None:
    """List two endpoints that share one listener, so that the listener sees whichever is tried next."""
    port = harness.endpoint_listener.getsockname()[1]
    send_endpoint_list(harness, ("b1", port, "Ready"), ("b2", port, "Ready"))


async def as_its_first_line_is_read(disconnecting: DisconnectingClient) -> None:
    disconnecting.disconnect_after("request_opened")
    disconnecting.client.send(OPEN_LINE)


async def after_more_than_one_read(disconnecting: DisconnectingClient) -> None:
    disconnecting.client.send(OPEN_LINE + EARLY_LINE * 3)
    disconnecting.disconnect(disconnecting.client)


async def after_input_that_arrives_later(disconnecting: DisconnectingClient) -> None:
    disconnecting.disconnect_after("request_opened", EARLY_LINE * 3)
    disconnecting.client.send(OPEN_LINE)


async def with_the_last_byte_of_its_first_line(disconnecting: DisconnectingClient) -> None:
    for piece in OPEN_LINE[:-4]:
        disconnecting.client.send(piece)
        await anyio.sleep(0)
    disconnecting.client.send(r"\r\n")
    disconnecting.disconnect(disconnecting.client)


async def as_an_attempt_ends(disconnecting: DisconnectingClient) -> None:
    list_two_endpoints(disconnecting.harness)
    disconnecting.client.send(OPEN_LINE)
    server = await disconnecting.harness.accept_upstream()
    await server.expect("OPEN 0a")
    disconnecting.disconnect_after("upstream_ended")
    server.send(r"BUSY\r\n")
    await server.expect("end")


async def as_the_backoff_before_a_retry_ends(disconnecting: DisconnectingClient) -> None:
    list_two_endpoints(disconnecting.harness)
    relay = disconnecting.harness.relay
    classes = [replace(CLASSES[0], retry_backoff_us=(20_000, 20_000))]
    relay.runtime.run_engine_call(
        relay.engine.reload, replace(relay.runtime.settings, classes=classes), relay.runtime.limits
    )
    disconnecting.client.send(OPEN_LINE)
    server = await disconnecting.harness.accept_upstream()
    await server.expect("OPEN 0a")
    server.send(r"BUSY\r\n")
    await server.expect("end")
    await disconnecting.harness.wait_until(lambda: bool(relay.engine.balancer.retry_policy.retry_due_us))
    carry_out = relay.engine.placement_actions.carry_out

    def disconnects_before_the_retry(action: Action) -> None:
        if isinstance(action, StartAttempt):
            disconnecting.disconnect(disconnecting.client)
        carry_out(action)

    relay.engine.placement_actions.carry_out = disconnects_before_the_retry  # type: ignore[method-assign]


async def as_a_probe_is_answered(disconnecting: DisconnectingClient) -> None:
    relay = disconnecting.harness.relay
    settings = replace(
        relay.runtime.settings,
        load_probes_enabled=True,
        load_report_source="probe",
        load_report_fields=["concurrent", "x0"],
    )
    relay.runtime.run_engine_call(relay.engine.reload, settings, relay.runtime.limits)
    relay.runtime.config = replace(relay.runtime.config, settings=settings)
    send_endpoint_list(
        disconnecting.harness, ("b1", disconnecting.harness.endpoint_listener.getsockname()[1], "Ready")
    )
    # The known load of the endpoint is stale by now, so a probe precedes the attempt.
    relay.runtime.clock.offset_ns += 2_000_000_000
    disconnecting.client.send(OPEN_LINE)
    probe = await disconnecting.harness.accept_upstream()
    await probe.expect("STATS")
    disconnecting.disconnect_after("load_probe_ended")
    probe.send(r"PONG inflight=1,util=0.1\r\n")
    await probe.expect("end")
    await (await disconnecting.harness.accept_upstream()).expect("STATS")  # a probe ahead of the next client


async def as_a_long_list_removes_its_endpoint(disconnecting: DisconnectingClient) -> None:
    unreachable = socket.socket()
    unreachable.bind(("127.0.0.1", 0))
    unreachable.listen(0)
    # The backlog is full, so no further connect succeeds.
    queued_sockets = [socket.socket() for _ in range(4)]
    for sock in queued_sockets:
        sock.setblocking(False)
        sock.connect_ex(unreachable.getsockname())
    send_endpoint_list(disconnecting.harness, ("b1", unreachable.getsockname()[1], "Ready"))
    disconnecting.client.send(OPEN_LINE)
    descriptors = disconnecting.harness.relay.runtime.descriptor_count
    await disconnecting.harness.wait_until(lambda: descriptors.open == 2)  # the connect is in progress
    disconnecting.disconnect_after("endpoint_update_received")
    port = disconnecting.harness.endpoint_listener.getsockname()[1]
    send_endpoint_list(
        disconnecting.harness, ("b1", port, "Gone"), *((f"s{n}", port, "Ready") for n in range(1024))
    )
    assert disconnecting.harness.relay.engine.counters.counts["attempts_started"] == 2
    for sock in (unreachable, *queued_sockets):
        sock.close()


MOMENTS: list[Callable[[DisconnectingClient], Awaitable[None]]] = [
    as_its_first_line_is_read,
    after_more_than_one_read,
    after_input_that_arrives_later,
    with_the_last_byte_of_its_first_line,
    as_an_attempt_ends,
    as_the_backoff_before_a_retry_ends,
    as_a_probe_is_answered,
    as_a_long_list_removes_its_endpoint,
]


@pytest.mark.anyio
@pytest.mark.parametrize("disconnect", [finishes, closes, resets])
@pytest.mark.parametrize("moment", MOMENTS)
async def test_nothing_is_connected_for_a_client_that_disconnects(
    moment: Callable[[DisconnectingClient], Awaitable[None]],
    disconnect: Disconnection,
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def scenario(harness: RelayHarness) -> None:
        client = await harness.connect_client()
        await harness.wait_until(lambda: harness.relay.clients.open_count == 1)
        await moment(DisconnectingClient(harness, client, disconnect))
        await harness.wait_until(lambda: harness.relay.clients.open_count == 0)
        with pytest.raises(BlockingIOError):
            harness.endpoint_listener.accept()
        assert not harness.relay.engine.requests

    await run_scenario(RelayHarness(SHORT_TIMES | {"connect_timeout_us": 5_000_000}), scenario, capsys)


@pytest.mark.anyio
@pytest.mark.parametrize("disconnect", [finishes, closes, resets])
async def test_nothing_is_written_on_a_connect_whose_client_has_disconnected(
    disconnect: Disconnection, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(harness: RelayHarness) -> None:
        client = await harness.connect_client()

        async def disconnects_once_connected(
            sock: socket.socket, address: SocketName, on_started: Callable[[], None]
        ) -> None:
            await connect(sock, address, on_started)
            if address[1] == harness.endpoint_listener.getsockname()[1]:
                disconnect(client)

        monkeypatch.setattr(connecting, "connect", disconnects_once_connected)
        client.send(OPEN_LINE)
        await (await harness.accept_upstream()).expect("end")  # no line was written
        await harness.wait_until(lambda: harness.relay.clients.open_count == 0)
        monkeypatch.setattr(connecting, "connect", connect)
        await established_client(harness, "ff")

    await run_scenario(RelayHarness(SHORT_TIMES), scenario, capsys)


@pytest.mark.anyio
async def test_reading_pending_input_changes_no_order_of_lines(capsys: pytest.CaptureFixture[str]) -> None:
    async def scenario(harness: RelayHarness) -> None:
        client = await harness.connect_client()
        await harness.wait_until(lambda: harness.relay.clients.open_count == 1)
        # Together these lines exceed one read, but not the limit on input before the answer.
        early = [f"{n:04d}" + "y" * 3000 for n in range(5)]
        client.send(OPEN_LINE + "".join(line + r"\r\n" for line in early))
        server = await harness.accept_upstream()
        await server.expect("OPEN 0a")
        server.send(r"UP r1\r\n")
        await client.expect("UP r1")
        for line in early:
            await server.expect(line)

    await run_scenario(RelayHarness(SHORT_TIMES), scenario, capsys)
