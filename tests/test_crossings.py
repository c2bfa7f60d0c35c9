"""Pairs of events that occur at almost the same time, in either order, and what the relay must do in each
case. The tests use scenarios, and sockets where the order is certain: data that is sent together is read
together, because the test and the relay share one event loop.
"""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import Awaitable, Callable
from functools import partial

import anyio
import orjson
import pytest
from anyio.abc import TaskGroup

from gannetweir.config import SocketAddress
from gannetweir.core import StartLoadProbe
from gannetweir.limits import Limits
from gannetweir.net.load_probes import run_probe
from gannetweir.net.transport import Spawn, Transport
from gannetweir.placement.actions import ProbeLoad
from gannetweir.proto.endpoint_watch import read_membership
from tests.relay_harness import (
    DEADLINE_S,
    HEARTBEAT_CHUNK,
    SHORT_TIMES,
    WATCH_RESPONSE_HEAD,
    Peer,
    RelayHarness,
    Scenario,
    anyio_backend,  # noqa: F401
    established_client,
    listening_socket,
    run_scenario,
    unchanged_update_chunk,
)
from tests.scenario import run_script

UPDATE = '{"seq":42,"whole":%s,"hosts":[%s]}'
HOST_LINE = '{"host":"b%d","dial":"127.0.0.1:%d","health":"%s","born_ms":%d}'
READY_B3 = HOST_LINE % (3, 3, "Ready", 0)
OPEN_REQUEST = """
c1 send OPEN 0a 0b c=plain,d=2000
c1/upstream expect OPEN*
"""
UNAVAILABLE = {  # updates that arrive while an attempt at b1 is in flight
    "drains": UPDATE % ("false", HOST_LINE % (1, 1, "Terminating", 0) + "," + READY_B3),
    "is gone": UPDATE % ("false", HOST_LINE % (1, 1, "Gone", 0) + "," + READY_B3),
    "is missing in the snapshot": UPDATE % ("true", READY_B3),
    "has restarted": UPDATE % ("false", HOST_LINE % (1, 1, "Ready", 1_700_000_000_000) + "," + READY_B3),
}


@pytest.mark.parametrize("update", UNAVAILABLE.values(), ids=UNAVAILABLE.keys())
def test_an_unwritten_attempt_is_closed_at_an_endpoint_that(update: str) -> None:
    scenario = run_script(
        OPEN_REQUEST + f"discovery send {update}\nc1/upstream expect end\nc1/upstream expect OPEN*",
        backends=1,
    )
    assert scenario.upstreams["c1"][0].address == "127.0.0.1:3"
    scenario.run_script("c1/upstream send UP r1\nc1 expect UP r1\nrelay expect count attempts_started 2")


@pytest.mark.parametrize("update", UNAVAILABLE.values(), ids=UNAVAILABLE.keys())
def test_a_written_attempt_stays_at_an_endpoint_that(update: str) -> None:
    run_script(
        OPEN_REQUEST + f"c1/upstream written\ndiscovery send {update}\nc1/upstream expect nothing\n"
        "c1/upstream send UP r1\nc1 expect UP r1\nrelay expect count attempts_started 1",
        backends=1,
    )


def test_a_draining_endpoint_is_not_probed() -> None:
    scenario = run_script(f"discovery send {UNAVAILABLE['drains']}", backends=1)
    for endpoint_id in ("b1", "b3"):
        scenario.engine.placement_actions.carry_out(ProbeLoad(endpoint_id))
    probes = [command for command in scenario.engine.commands if isinstance(command, StartLoadProbe)]
    assert [probe.endpoint_id for probe in probes] == ["b3"]


@pytest.mark.parametrize("update", UNAVAILABLE.values(), ids=UNAVAILABLE.keys())
def test_a_connection_is_resumed_at_an_endpoint_that(update: str) -> None:
    run_script(
        f"c1 send OPEN 0a 0b c=plain,d=2000,at=b1\nc1/upstream expect OPEN*\ndiscovery send {update}\n"
        "c1/upstream expect nothing\nc1/upstream send UP r1\nc1 expect UP r1",
        backends=1,
    )


@pytest.mark.parametrize(
    ("idempotency", "before", "answer"),
    [
        # The request may have been executed, and a retry could execute it a second time.
        ("once", "c1/upstream written", "ERR"),
        ("once", "", "BUSY*"),
        ("repeatable", "c1/upstream written", "BUSY*"),
        # All endpoints know the idempotency keys of the scenarios' classes.
        ("by_key", "c1/upstream written", "BUSY*"),
    ],
)
def test_the_exit_rejects_only_what_may_be_retried(idempotency: str, before: str, answer: str) -> None:
    run_script(
        f"settings reload 3 plain:{idempotency}"
        + OPEN_REQUEST
        + before
        + f"""
        relay term
        time wait 700
        c1/upstream expect end
        c1 expect {answer}""",
        drain_grace_us=100_000,
        drain_migration_us=100_000,
        drain_end_us=400_000,
        connect_timeout_us=5_000_000,
    )


@pytest.mark.parametrize(
    ("before", "listed", "stays_unavailable"),
    [
        (HOST_LINE % (1, 1, "Terminating", 0), HOST_LINE % (1, 1, "Ready", 0), True),
        (HOST_LINE % (1, 1, "Gone", 0), HOST_LINE % (1, 1, "Ready", 0), True),
        # The endpoint has restarted since.
        (HOST_LINE % (1, 1, "Gone", 0), HOST_LINE % (1, 1, "Ready", 1_700_000_000_000), False),
    ],
)
def test_an_older_snapshot_does_not_undo_a_drain(before: str, listed: str, stays_unavailable: bool) -> None:
    run_script(
        f"""
        discovery send {UPDATE % ("false", before + "," + READY_B3)}
        discovery close
        discovery reopen {(UPDATE % ("true", listed)).replace("42", "7")}
        c1 send OPEN 0a 0b c=plain,d=2000
        time wait {1000 if stays_unavailable else 0}
        c1/upstream expect {"nothing" if stays_unavailable else "OPEN*"}
        c1{"" if stays_unavailable else "/upstream"} expect {"BUSY*" if stays_unavailable else "nothing"}""",
        backends=1,
    )


def test_nothing_is_admitted_after_the_exit_however_short_the_deadlines_are() -> None:
    run_script(
        """
        relay term
        time wait 300
        relay expect exit
        c1 send OPEN 0a 0b c=plain,d=2000
        c1/upstream expect nothing
        c1 expect BUSY*
        c2 send OPEN 0c 0d c=plain,d=2000,at=b1
        c2/upstream expect nothing
        c2 expect BUSY*""",
        drain_grace_us=500_000,
        drain_migration_us=0,
        drain_end_us=300_000,
    )


def test_a_pushed_list_is_watched_from_the_start_and_again_at_once() -> None:
    run_script(
        f"""
        discovery expect watch 41
        discovery send {UNAVAILABLE["drains"]}
        discovery close
        time wait 0
        discovery expect watch 42
        discovery close
        time wait 99
        discovery expect nothing
        time wait 1
        discovery expect watch 42
        discovery send {UPDATE.replace("42", "43") % ("true", READY_B3)}
        discovery close
        time wait 0
        discovery expect watch 43
        time wait 20000
        discovery expect nothing""",
        pushed=True,
    )


def disconnects_with_its_first_line(reset: bool) -> Scenario:
    async def disconnects(harness: RelayHarness) -> None:
        for number in range(20):
            client = await harness.connect_client()
            await harness.wait_until(lambda: harness.relay.clients.open_count == 1)
            client.send(rf"OPEN {number:x} 0b c=plain,d=2000\r\n")
            if reset:
                client.close(True)
            else:
                client.finish()
                await client.expect("end")
            await harness.wait_until(lambda: harness.relay.clients.open_count == 0)
        with pytest.raises(BlockingIOError):  # no connect was started
            harness.endpoint_listener.accept()
        assert reset or harness.relay.engine.counters.counts["requests"] == 20  # a reset may precede the line
        await established_client(harness, "ff")

    disconnects.__name__ = f"the first line and the client's {'reset' if reset else 'end'} together"
    return disconnects


async def a_watch_that_sends_no_complete_line(harness: RelayHarness) -> None:
    watcher = await harness.accept_watch(harness.discovery_listener, 1)
    watcher.send(WATCH_RESPONSE_HEAD + HEARTBEAT_CHUNK + r"fff\r\n")
    with contextlib.suppress(BrokenPipeError, ConnectionResetError):
        for _ in range(400):  # only a complete line or a heartbeat extends the timeout
            watcher.send(" ")
            await anyio.sleep(0.005)
            if harness.relay.engine.counters.counts["endpoint_watch_failures"]:
                break
    assert harness.relay.engine.counters.counts["endpoint_watch_failures"] == 1


async def the_previous_discovery_address_sends_once_more(harness: RelayHarness) -> None:
    old = await harness.accept_watch(harness.discovery_listener, 1)
    old.send(WATCH_RESPONSE_HEAD + HEARTBEAT_CHUNK)
    await harness.wait_until(lambda: harness.relay.endpoint_watch.calls.has_answered)
    discovery = listening_socket()
    harness.reload(discovery_address=SocketAddress(*discovery.getsockname()))
    new = await harness.accept_watch(discovery, 0)
    new.send(WATCH_RESPONSE_HEAD + unchanged_update_chunk(9))
    old.send(unchanged_update_chunk(8))  # both are read in one turn of the loop, the new watch first
    await harness.wait_until(lambda: harness.relay.engine.endpoint_list.version >= 8)
    await old.expect("end")
    assert harness.relay.engine.endpoint_list.version == 9


async def a_first_line_as_its_timeout_expires(harness: RelayHarness) -> None:
    for has_pinged in (True, False):
        client = await harness.connect_client()
        if has_pinged:  # the front keeps the connections open on which it pings
            client.send(r"PING\r\n")
            await client.expect("PONG")
        await harness.wait_until(lambda: harness.relay.clients.open_count == 1)
        time.sleep(0.07)  # the timeout has expired, but no task has run since
        client.send(r"OPEN 0a 0b c=plain,d=2000\r\n")
        server = await harness.accept_upstream()
        await server.expect("OPEN 0a 0b")
        server.send(r"UP r1\r\n")
        await client.expect("UP r1")
        client.close()
        await harness.wait_until(lambda: harness.relay.clients.open_count == 0)


async def a_first_line_as_its_connection_is_evicted(harness: RelayHarness) -> None:
    established_peers = await established_client(harness, "0c")
    silent = [await harness.connect_client() for _ in range(2)]
    await harness.wait_until(lambda: len(harness.relay.runtime.descriptor_budget.awaiting_first_line) == 2)
    for session, client in zip(
        list(harness.relay.runtime.descriptor_budget.awaiting_first_line), silent, strict=True
    ):

        def sends_first_line(client: Peer = client) -> bool:
            client.send(r"OPEN 0a 0b c=plain,d=2000\r\n")  # sent just after the relay checked for input
            return False

        session.client.has_unread_input = sends_first_line  # type: ignore[method-assign]
    new_client = await harness.connect_client()
    await silent[0].expect("BUSY 250")
    await silent[0].expect("end")  # a reset could discard the answer
    for peer in (new_client, *established_peers):
        peer.close()
    with pytest.raises(BlockingIOError):
        harness.endpoint_listener.accept()


async def established_as_the_attempt_times_out(harness: RelayHarness) -> None:
    client = await harness.connect_client()
    client.send(r"OPEN 0a 0b c=plain,d=2000\r\n")
    server = await harness.accept_upstream()
    await server.expect("OPEN 0a 0b c=plain,d=500")
    # The attempt has timed out, and its timer runs before the answer is read.
    harness.relay.runtime.clock.offset_ns += 600_000_000
    harness.relay.runtime.timers.wake.set()
    server.send(r"UP late\r\n")
    await server.expect("reset")  # the relay closes the attempt although it was just answered
    await client.expect("BUSY")  # the only final answer: there is no other endpoint
    await client.expect("end")
    counts = harness.relay.engine.counters.counts
    assert (counts["attempts_started"], counts["attempts.timeout"], counts["served"]) == (1, 1, 0)


def established_as_the_client_disconnects(reset: bool) -> Scenario:
    async def disconnects(harness: RelayHarness) -> None:
        client = await harness.connect_client()
        client.send(r"OPEN 0a 0b c=plain,d=2000\r\n")
        server = await harness.accept_upstream()
        await server.expect("OPEN 0a 0b")
        server.send(r"UP r1\r\n")  # read in the same turn as the client's end, in either order
        client.close(reset)
        ended = "reset" if reset and harness.relay.engine.counters.counts["served"] else "end"
        with anyio.fail_after(DEADLINE_S):
            assert await server.next_line() in (ended, "reset", "end")
        await harness.wait_until(lambda: harness.relay.clients.open_count == 0)
        with pytest.raises(BlockingIOError):
            harness.endpoint_listener.accept()  # no further attempt for a client that has disconnected

    disconnects.__name__ = f"an UP and the client's {'reset' if reset else 'end'} together"
    return disconnects


async def two_answers(harness: RelayHarness) -> None:
    client, _ = await established_client(harness, "0a")
    client.close()
    for answer, line in ((r"UP r1\r\n", r"UP r1\r\n"), (r"UP r1\r\n", r"BUSY\r\n")):
        client = await harness.connect_client()
        client.send(r"OPEN 0b 0b c=plain,d=2000\r\n")
        server = await harness.accept_upstream()
        await server.expect("OPEN 0b 0b")
        server.send(answer + line)
        await client.expect("UP r1")  # the answer; any later line is forwarded unchanged
        await client.expect(line[:2])
        client.send(r"still here\r\n")
        await server.expect("still here")
        client.close()
        await server.expect("end")
    for answer in (r"BUSY\r\n", r"ERR\r\n"):
        client = await harness.connect_client()
        client.send(r"OPEN 0c 0b c=plain,d=2000\r\n")
        server = await harness.accept_upstream()
        await server.expect("OPEN 0c 0b")
        server.send(answer + r"UP late\r\n")  # the second answer is ignored
        await client.expect("BUSY")
        await client.expect("end")


async def a_client_disconnects_while_the_connect_is_pending(harness: RelayHarness) -> None:
    full_listener = socket.socket()
    full_listener.bind(("127.0.0.1", 0))
    full_listener.listen(0)
    pending = [socket.socket() for _ in range(4)]  # the backlog is full, so no further connect succeeds
    for sock in pending:
        sock.setblocking(False)
        sock.connect_ex(full_listener.getsockname())
    await harness.connect_client()
    membership_update = UPDATE % ("true", HOST_LINE % (1, full_listener.getsockname()[1], "Ready", 0))
    harness.relay.runtime.run_engine_call(
        harness.relay.engine.endpoint_update_received,
        read_membership(orjson.loads(membership_update), harness.relay.runtime.settings),
    )
    clients = harness.relay.runtime.descriptor_count.open
    client = await harness.connect_client()
    client.send(r"OPEN 0a 0b c=plain,d=2000\r\n")
    # The connect is in progress.
    await harness.wait_until(lambda: harness.relay.runtime.descriptor_count.open == clients + 2)
    client.finish()
    await client.expect("end")
    await harness.wait_until(lambda: harness.relay.runtime.descriptor_count.open == clients)
    assert harness.relay.engine.counters.counts["attempts_started"] == 1
    for sock in (full_listener, *pending):
        sock.close()


async def discovery_moves_to_a_closed_port(harness: RelayHarness) -> None:
    old = await harness.accept_watch(harness.discovery_listener, 1)
    old.send(WATCH_RESPONSE_HEAD + HEARTBEAT_CHUNK)
    await harness.wait_until(lambda: harness.relay.endpoint_watch.calls.has_answered)
    live_discovery = listening_socket()
    closed_address = SocketAddress("127.0.0.1", harness.free_port())
    harness.reload(discovery_address=closed_address)
    await harness.wait_until(lambda: harness.relay.engine.counters.counts["endpoint_watch_failures"] == 1)
    # Nothing listens at the new address, so updates from the previous one still count.
    old.send(unchanged_update_chunk(7))
    await harness.wait_until(lambda: harness.relay.engine.endpoint_list.version == 7)
    harness.reload(discovery_address=closed_address)  # the same address again, and the next one at once
    harness.reload(discovery_address=SocketAddress(*live_discovery.getsockname()))
    new = await harness.accept_watch(live_discovery, 0)
    old.send(unchanged_update_chunk(8))
    await harness.wait_until(lambda: harness.relay.engine.endpoint_list.version == 8)
    new.send(WATCH_RESPONSE_HEAD + unchanged_update_chunk(9))
    await old.expect("end")
    assert harness.relay.engine.endpoint_list.version == 9
    assert harness.relay.engine.endpoint_list.has_ready_endpoint()


async def a_probe_of_an_endpoint_that_drains(harness: RelayHarness) -> None:
    relay, dial = harness.relay, harness.relay.engine.endpoint_list.address_of("b1")
    (await harness.connect_client()).close()  # the relay is running once it accepts a client
    for health in ("Terminating", "Gone"):
        relay.runtime.spawn(partial(run_probe, relay.runtime, StartLoadProbe("b1", dial)))
        membership_update = read_membership(
            orjson.loads(UPDATE % ("false", HOST_LINE % (1, 1, health, 0))), relay.runtime.settings
        )
        # The update arrives before the probe's connect succeeds.
        relay.runtime.run_engine_call(relay.engine.endpoint_update_received, membership_update)
        await (await harness.accept_upstream()).expect("end")  # no probe was written


async def a_fault_in_a_timer_and_in_a_reload(harness: RelayHarness) -> None:
    client, server = await established_client(harness)
    relay = harness.relay

    def fails(*_: object) -> None:
        raise KeyError("made to fail")

    advance, relay.engine.advance = relay.engine.advance, fails  # type: ignore[assignment,method-assign]
    relay.runtime.timers.wake.set()
    await harness.wait_until(lambda: relay.engine.counters.counts["driver_faults"] > 0)
    relay.engine.advance = advance  # type: ignore[method-assign]
    relay.engine.counters.counts["driver_faults"] = 0
    relay.configuration.reread = fails  # type: ignore[assignment]
    harness.reload()
    await harness.wait_until(lambda: relay.engine.counters.counts["driver_faults"] == 1)
    client.send(r"still here\r\n")
    await server.expect("still here")
    await established_client(harness, "0c")
    del relay.engine.counters.counts["driver_faults"]  # both faults were expected


async def first_lines_at_the_exit(harness: RelayHarness) -> None:
    client, server = await established_client(harness)
    idle_client, silent = await harness.connect_client(), await harness.connect_client()
    idle_client.send(r"PING\r\n")
    await idle_client.expect("PONG")
    await harness.wait_until(lambda: len(harness.relay.runtime.descriptor_budget.awaiting_first_line) == 2)
    harness.relay.runtime.run_engine_call(harness.relay.engine.drain)
    harness.relay.runtime.run_engine_call(lambda _now_us: harness.relay.engine.draining.exit())
    # From here on: input that no task has read yet, on a connection and in the listener's backlog.
    idle_client.send(r"OPEN 0a 0b c=plain,d=2000\r\n")
    relay_address = harness.relay.runtime.config.listen_address
    queued = [Peer(socket.create_connection((relay_address.host, relay_address.port))) for _ in range(3)]
    for new_client in queued[1:]:
        new_client.send(r"OPEN 0a 0b c=plain,d=2000\r\n" * 2)
    await client.expect("MOVE")
    await client.expect("end")
    await server.expect("end")
    for new_client in (idle_client, silent, *queued):
        await new_client.expect("BUSY 250")
        await new_client.expect("end")
    with pytest.raises(BlockingIOError):
        harness.endpoint_listener.accept()


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("crossing", "limits"),
    [
        (disconnects_with_its_first_line(False), {}),
        (disconnects_with_its_first_line(True), {}),
        (a_watch_that_sends_no_complete_line, {"endpoint_watch_silence_us": 60_000}),
        (the_previous_discovery_address_sends_once_more, {}),
        (a_first_line_as_its_timeout_expires, {"first_line_timeout_us": 60_000}),
        (a_first_line_as_its_connection_is_evicted, {"sockets": 30}),
        (a_probe_of_an_endpoint_that_drains, {}),
        (established_as_the_attempt_times_out, {}),
        (established_as_the_client_disconnects(False), {}),
        (established_as_the_client_disconnects(True), {}),
        (two_answers, {}),
        (a_client_disconnects_while_the_connect_is_pending, {"connect_timeout_us": 5_000_000}),
        (discovery_moves_to_a_closed_port, {}),
        (a_fault_in_a_timer_and_in_a_reload, {}),
        (first_lines_at_the_exit, {}),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
async def test_on_sockets(
    crossing: Scenario, limits: dict[str, int], capsys: pytest.CaptureFixture[str]
) -> None:
    await run_scenario(RelayHarness(SHORT_TIMES | limits), crossing, capsys)


def spawn_in(tasks: TaskGroup) -> Spawn:
    async def run(task: Callable[[], Awaitable[object]]) -> None:
        await task()

    def spawn(task: Callable[[], Awaitable[object]]) -> None:
        tasks.start_soon(run, task)

    return spawn


async def read_forever(transport: Transport) -> None:
    while True:
        await transport.read()


@pytest.mark.anyio
async def test_an_endless_peer_does_not_starve_other_tasks() -> None:
    near, far = socket.socketpair()
    near.setblocking(False)
    reads = list[int]()

    class EndlessPeer(socket.socket):
        def recv(self, _count: int, _flags: int = 0, /) -> bytes:
            reads.append(1)
            assert len(reads) < 1000, "no other task got a turn"
            return b"x"

    async def closes() -> None:
        endpoint.close()

    async with anyio.create_task_group() as tasks:
        endpoint = Transport(EndlessPeer(fileno=near.detach()), Limits(), spawn_in(tasks))
        tasks.start_soon(closes)
        with pytest.raises(OSError, match="closed locally"):
            await read_forever(endpoint)
    far.close()


@pytest.mark.anyio
async def test_unsent_bytes_survive_a_spurious_writable_event() -> None:
    near, far = socket.socketpair()
    near.setblocking(False)
    refusals = [True, True, False]

    class SpuriouslyWritable(socket.socket):
        def send(self, data: bytes, flags: int = 0, /) -> int:  # type: ignore[override]
            if refusals and refusals.pop(0):
                raise BlockingIOError
            return super().send(data, flags)

    async with anyio.create_task_group() as tasks:
        endpoint = Transport(SpuriouslyWritable(fileno=near.detach()), Limits(), spawn_in(tasks))
        endpoint.write(b"MOVE\r\n")  # the last line, which the end that follows must not overtake
        endpoint.finish()
        await Peer(far).expect("MOVE")
        endpoint.close()
