"""The protocol byte by byte: first lines in single bytes, answers after the deadline, a start on the address
of a killed relay, and any split of the forwarded bytes.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gannetweir.net.client_connection import ClientConnectionDriver
from tests.relay_harness import (
    SHORT_TIMES,
    Peer,
    RelayHarness,
    anyio_backend,  # noqa: F401
    established_client,
    run_scenario,
)
from tests.test_client_left import list_two_endpoints
from tests.test_descriptors import TIMEOUT_S, RelayProcess

FIRST_LINE = r"OPEN 0a 0b c=plain,d=300\r\n"
MARGIN_MS = 40  # between the relay's final answer and the deadline of the client


def advance_clocks(harness: RelayHarness, seconds: float) -> None:
    """Advance the relay's clock and that of its event loop."""
    loop = asyncio.get_running_loop()
    now = loop.time
    loop.time = lambda: now() + seconds  # type: ignore[method-assign]
    harness.relay.runtime.clock.offset_ns += int(seconds * 1e9)


async def connection_awaiting_its_first_line(harness: RelayHarness) -> ClientConnectionDriver:
    await harness.wait_until(lambda: bool(harness.relay.runtime.descriptor_budget.awaiting_first_line))
    connection = next(iter(harness.relay.runtime.descriptor_budget.awaiting_first_line))
    assert isinstance(connection, ClientConnectionDriver)
    return connection


async def first_line_without_its_last_byte(harness: RelayHarness) -> Peer:
    """A client that has sent all but the last byte of its first line, each byte in its own segment."""
    client = await harness.connect_client()
    connection = await connection_awaiting_its_first_line(harness)
    raw = FIRST_LINE.encode().decode("unicode_escape").encode()
    for count, byte in enumerate(raw[:-1], 1):
        client.sock.send(bytes([byte]))
        await harness.wait_until(lambda count=count: len(connection.protocol.lines.partial_line) == count)  # type: ignore[misc]
    return client


async def last_byte_in_time(harness: RelayHarness) -> None:
    client = await first_line_without_its_last_byte(harness)
    advance_clocks(harness, 2.4)
    client.sock.send(b"\n")
    server = await harness.accept_upstream()
    await server.expect(f"OPEN 0a 0b c=plain,d={300 - MARGIN_MS}")  # the deadline counts from the last byte
    server.send(r"UP r1\r\n")
    await client.expect("UP r1")
    assert harness.relay.engine.counters.counts["attempts_started"] == 1


async def last_byte_after_the_timeout(harness: RelayHarness) -> None:
    client = await first_line_without_its_last_byte(harness)
    advance_clocks(harness, 2.7)
    await client.expect("ERR")
    client.sock.send(b"\n")
    await client.expect("end")
    assert harness.relay.engine.counters.counts["attempts_started"] == 0


async def answer_is_read_before_timers(harness: RelayHarness) -> None:
    client = await harness.connect_client()
    client.send(FIRST_LINE)
    server = await harness.accept_upstream()
    await server.expect("OPEN 0a")
    # The client's deadline has passed, but the timers have not run yet.
    harness.relay.runtime.clock.offset_ns += 400_000_000
    server.send(r"UP late\r\n")
    await client.expect("UP late")  # the only final answer
    harness.relay.runtime.timers.wake.set()
    await harness.wait_until(lambda: harness.relay.engine.next_due() > harness.relay.runtime.clock())
    client.finish()
    await client.expect("end")
    await server.expect("end")


async def answer_after_the_final_answer(harness: RelayHarness) -> None:
    for answer in (r"UP late\r\n", r"UP la"):
        client = await harness.connect_client()
        client.send(FIRST_LINE)
        server = await harness.accept_upstream()
        await server.expect("OPEN 0a")
        server.send(answer[:2])  # the first bytes of the answer
        harness.relay.runtime.clock.offset_ns += 400_000_000
        harness.relay.runtime.timers.wake.set()
        await client.expect("BUSY")
        await harness.wait_until(lambda: harness.relay.runtime.descriptor_count.open <= 1)
        with contextlib.suppress(ConnectionError):  # the connection may be closed already
            server.send(answer[2:])
        await client.expect("end")
        assert await server.next_line() in ("end", "reset")
        await harness.wait_until(lambda: harness.relay.clients.open_count == 0)


async def answer_of_an_attempt_that_timed_out(harness: RelayHarness) -> None:
    await harness.connect_client()  # the relay is running after this
    list_two_endpoints(harness)
    for client_id, answer in (("0a", r"UP r2\r\n"), ("0b", r"BUSY\r\n")):
        client = await harness.connect_client()
        client.send(rf"OPEN {client_id} 0b c=plain,d=2000\r\n")
        timed_out = await harness.accept_upstream()
        await timed_out.expect(f"OPEN {client_id}")
        harness.relay.runtime.clock.offset_ns += 600_000_000  # the attempt has timed out
        harness.relay.runtime.timers.wake.set()
        timed_out.send(r"UP late\r\n")  # in the same iteration of the event loop
        retried = await harness.accept_upstream()
        await retried.expect(f"OPEN {client_id}")
        assert await timed_out.next_line() in ("end", "reset")  # precedes the answer of the second attempt
        retried.send(answer)
        await client.expect(answer[:4].strip())
        client.finish()
        await client.expect("end")
    counts = harness.relay.engine.counters.counts
    assert (counts["attempts_started"], counts["served"], counts["attempts.timeout"]) == (4, 1, 2)


SCENARIOS: list[Callable[[RelayHarness], Awaitable[None]]] = [
    last_byte_in_time,
    last_byte_after_the_timeout,
    answer_is_read_before_timers,
    answer_after_the_final_answer,
    answer_of_an_attempt_that_timed_out,
]


@pytest.mark.anyio
@pytest.mark.parametrize("scenario", SCENARIOS)
async def test_on_sockets(
    scenario: Callable[[RelayHarness], Awaitable[None]], capsys: pytest.CaptureFixture[str]
) -> None:
    await run_scenario(RelayHarness(SHORT_TIMES), scenario, capsys)


@pytest.fixture
def relay_process(tmp_path: Path) -> Iterator[RelayProcess]:
    relay_process = RelayProcess(tmp_path, 256, 256)
    yield relay_process
    relay_process.end()


def connections_in_time_wait(port: int) -> int:
    """The number of connections at this port in the state TIME_WAIT."""
    rows = [row.split() for row in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return sum(row[1].endswith(f":{port:04X}") and row[3] == "06" for row in rows)


def test_a_relay_starts_at_once_on_the_address_of_a_killed_relay(relay_process: RelayProcess) -> None:
    relay_process.establish(b"01")
    answered = relay_process.client(b"OPEN 0a 0b c=none,d=2000\r\n")
    while answered.recv(100):
        pass
    answered.close()  # the relay closed the connection first, so TIME_WAIT is on its side
    for data in (b"", b"OPEN 0b 0b c=pl", b"PING\r\n"):
        relay_process.client(data)
    for _ in range(50):
        relay_process.client(b"OPEN 0c 0b c=pl")  # some accepted, some still in the backlog
    relay_process.process.kill()
    relay_process.process.wait(TIMEOUT_S)
    end = time.monotonic() + TIMEOUT_S
    while not connections_in_time_wait(relay_process.listen_address[1]):
        assert time.monotonic() < end
    relay_process.start()
    client = relay_process.client(b"PING\r\n")
    assert client.recv(100) == b"PONG\r\n"
    relay_process.establish(b"02")


@settings(max_examples=15, deadline=None)
@given(
    lines=st.lists(
        st.sampled_from([b"x\r\n", b"LOAD 2\r\n", b"\r\n", b"long " * 300 + b"\r\n"]), max_size=40
    ),
    cuts=st.lists(st.integers(0, 20_000), max_size=6),
)
def test_bytes_and_their_order_stay_for_any_split(lines: list[bytes], cuts: list[int]) -> None:
    raw = b"".join(lines)
    ends = sorted({min(cut, len(raw)) for cut in cuts} | {len(raw)})

    async def send_and_compare(sender: Peer, receiver: Peer) -> None:
        start, got = 0, b""
        for end in ends:
            sender.sock.send(raw[start:end])
            start = end
            await anyio.sleep(0)
        with anyio.fail_after(5.0):
            while len(got) < len(raw):
                await anyio.wait_readable(receiver.sock)
                got += receiver.sock.recv(65536)
        assert got == raw

    async def scenario() -> None:
        harness = RelayHarness(SHORT_TIMES)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(harness.relay.run)
            client, server = await established_client(harness)
            await send_and_compare(client, server)
            await send_and_compare(server, client)
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
