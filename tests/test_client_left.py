"""No attempt begins for a client that has left. The client ends its side in the turn of the loop in which the
relay decides to try: the end is in the kernel, but the loop has not been told of it. That is what a long turn
(a whole list, a rush of other clients) looks like, without one.
"""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Any

import anyio
import pytest

from gannetweir.net import connecting
from gannetweir.placement.actions import Action, StartAttempt
from gannetweir.proto.endpoint_watch import read_membership
from tests.place import (
    QUICK,
    Peer,
    Place,
    anyio_backend,  # noqa: F401
    played,
    served,
)
from tests.scenario import CLASSES

LINE = r"OPEN 0a 0b c=plain,d=2000\r\n"
MORE = "x" * 4000 + r"\r\n"  # three of these go beyond one read, and are still within what may come early


def finishes(client: Peer) -> None:
    client.finish()


def closes(client: Peer) -> None:
    client.close()


def resets(client: Peer) -> None:
    client.close(True)


Leave = Callable[[Peer], None]


@dataclass
class Leaver:
    """One client, and how it leaves."""

    place: Place
    client: Peer
    leave: Leave

    def leave_after(self, name: str, more: str = "") -> None:
        """Leave at the end of the engine's next call of this name, with so much sent before the end."""
        engine = self.place.relay.engine
        call = getattr(engine, name)

        def then_leave(*args: Any) -> Any:
            setattr(engine, name, call)
            result = call(*args)
            if more:
                self.client.send(more)
            self.leave(self.client)
            return result

        setattr(engine, name, then_leave)


def tell_hosts(place: Place, *hosts: tuple[str, int, str]) -> None:
    """The whole list, as discovery tells it."""
    entries = [{"host": h, "dial": f"127.0.0.1:{port}", "health": health} for h, port, health in hosts]
    news = read_membership({"seq": 7, "whole": True, "hosts": entries}, place.relay.runtime.settings)
    place.relay.runtime.run_engine_call(place.relay.engine.endpoint_update_received, news)


def two_backends(place: Place) -> None:
    """Two names for one listener, so that whichever is tried next is seen there."""
    port = place.backend.getsockname()[1]
    tell_hosts(place, ("b1", port, "Ready"), ("b2", port, "Ready"))


async def as_its_first_line_is_read(at: Leaver) -> None:
    at.leave_after("request_opened")
    at.client.send(LINE)


async def behind_more_than_one_read(at: Leaver) -> None:
    at.client.send(LINE + MORE * 3)
    at.leave(at.client)


async def behind_more_that_comes_later(at: Leaver) -> None:
    at.leave_after("request_opened", MORE * 3)
    at.client.send(LINE)


async def with_the_last_piece_of_its_line(at: Leaver) -> None:
    for piece in LINE[:-4]:
        at.client.send(piece)
        await anyio.sleep(0)
    at.client.send(r"\r\n")
    at.leave(at.client)


async def as_an_attempt_ends(at: Leaver) -> None:
    two_backends(at.place)
    at.client.send(LINE)
    server = await at.place.accept()
    await server.expect("OPEN 0a")
    at.leave_after("upstream_ended")
    server.send(r"BUSY\r\n")
    await server.expect("end")


async def as_the_wait_before_a_repeat_ends(at: Leaver) -> None:
    two_backends(at.place)
    relay = at.place.relay
    waits = [replace(CLASSES[0], retry_backoff_us=[20_000, 20_000])]
    relay.runtime.run_engine_call(
        relay.engine.reload, replace(relay.runtime.settings, classes=waits), relay.runtime.limits
    )
    at.client.send(LINE)
    server = await at.place.accept()
    await server.expect("OPEN 0a")
    server.send(r"BUSY\r\n")
    await server.expect("end")
    await at.place.until(lambda: bool(relay.engine.balancer.retry_policy.retry_due_us))
    carry_out = relay.engine.placement_actions.carry_out

    def leaves_at_its_turn(action: Action) -> None:
        if isinstance(action, StartAttempt):
            at.leave(at.client)
        carry_out(action)

    relay.engine.placement_actions.carry_out = leaves_at_its_turn  # type: ignore[method-assign]


async def as_a_probe_is_answered(at: Leaver) -> None:
    relay = at.place.relay
    settings = replace(
        relay.runtime.settings,
        load_probes_enabled=True,
        load_report_source="probe",
        load_report_fields=["concurrent", "x0"],
    )
    relay.runtime.run_engine_call(relay.engine.reload, settings, relay.runtime.limits)
    relay.runtime.config = replace(relay.runtime.config, settings=settings)
    tell_hosts(at.place, ("b1", at.place.backend.getsockname()[1], "Ready"))
    relay.runtime.clock.offset_ns += 2_000_000_000  # what was known of it is stale: it has to be asked first
    at.client.send(LINE)
    asked = await at.place.accept()
    await asked.expect("STATS")
    at.leave_after("load_probe_ended")
    asked.send(r"PONG inflight=1,util=0.1\r\n")
    await asked.expect("end")
    await (await at.place.accept()).expect("STATS")  # got ahead for the next client


async def as_a_long_list_moves_it_elsewhere(at: Leaver) -> None:
    full = socket.socket()
    full.bind(("127.0.0.1", 0))
    full.listen(0)
    held = [socket.socket() for _ in range(4)]  # its queue is full: no further connect comes up
    for sock in held:
        sock.setblocking(False)
        sock.connect_ex(full.getsockname())
    tell_hosts(at.place, ("b1", full.getsockname()[1], "Ready"))
    at.client.send(LINE)
    await at.place.until(
        lambda: at.place.relay.runtime.descriptor_count.open == 2
    )  # its connect is under way
    at.leave_after("endpoint_update_received")
    port = at.place.backend.getsockname()[1]
    tell_hosts(at.place, ("b1", port, "Gone"), *((f"s{n}", port, "Ready") for n in range(1024)))
    assert at.place.relay.engine.counters.counts["flows"] == 2
    for sock in (full, *held):
        sock.close()


CASES: list[Callable[[Leaver], Awaitable[None]]] = [
    as_its_first_line_is_read,
    behind_more_than_one_read,
    behind_more_that_comes_later,
    with_the_last_piece_of_its_line,
    as_an_attempt_ends,
    as_the_wait_before_a_repeat_ends,
    as_a_probe_is_answered,
    as_a_long_list_moves_it_elsewhere,
]


@pytest.mark.anyio
@pytest.mark.parametrize("leave", [finishes, closes, resets])
@pytest.mark.parametrize("case", CASES)
async def test_nothing_is_dialled_for_a_client_that_leaves(
    case: Callable[[Leaver], Awaitable[None]], leave: Leave, capsys: pytest.CaptureFixture[str]
) -> None:
    async def play(place: Place) -> None:
        client = await place.client()
        await place.until(lambda: place.relay.clients.open_count == 1)
        await case(Leaver(place, client, leave))
        await place.until(lambda: place.relay.clients.open_count == 0)
        with pytest.raises(BlockingIOError):
            place.backend.accept()
        assert not place.relay.engine.requests

    await played(Place(**QUICK | {"connect_timeout_us": 5_000_000}), play, capsys)


@pytest.mark.anyio
@pytest.mark.parametrize("leave", [finishes, closes, resets])
async def test_nothing_is_written_once_a_held_connect_is_up(
    leave: Leave, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play(place: Place) -> None:
        client = await place.client()
        connect = connecting.connect

        async def leaves_as_it_is_up(sock: socket.socket, address: Any, *told: Any) -> None:
            await connect(sock, address, *told)
            if address[1] == place.backend.getsockname()[1]:
                leave(client)

        monkeypatch.setattr(connecting, "connect", leaves_as_it_is_up)
        client.send(LINE)
        await (await place.accept()).expect("end")  # without a line
        await place.until(lambda: place.relay.clients.open_count == 0)
        monkeypatch.setattr(connecting, "connect", connect)
        await served(place, "ff")

    await played(Place(**QUICK), play, capsys)


@pytest.mark.anyio
async def test_a_last_look_changes_no_order_of_lines(capsys: pytest.CaptureFixture[str]) -> None:
    async def play(place: Place) -> None:
        client = await place.client()
        await place.until(lambda: place.relay.clients.open_count == 1)
        early = [f"{n:04d}" + "y" * 3000 for n in range(5)]  # over one read, within what may come early
        client.send(LINE + "".join(line + r"\r\n" for line in early))
        server = await place.accept()
        await server.expect("OPEN 0a")
        server.send(r"UP r1\r\n")
        await client.expect("UP r1")
        for line in early:
            await server.expect(line)

    await played(Place(**QUICK), play, capsys)
