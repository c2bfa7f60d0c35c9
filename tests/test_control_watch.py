"""The control plane on the wire: objects both ways, hostile ones, and drivers on loopback."""

import random
import signal
import socket
import tracemalloc
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager, suppress
from typing import Any

import anyio
import anyio.to_thread
import orjson
import pytest

from gannetweir.config import SocketAddress
from gannetweir.control.follower import Follower
from gannetweir.control.stage import ServiceTotals
from gannetweir.control.versions import Ack, Entry, Nack, Reason, Resource, Slice, Version
from gannetweir.core import Engine
from gannetweir.lab.emulator.backend import spawn_in
from gannetweir.lab.scale.store import MemoryStore
from gannetweir.limits import Limits
from gannetweir.membership.membership_update import MembershipUpdate
from gannetweir.net.control_check import RelayCheck
from gannetweir.net.control_host import EngineHost
from gannetweir.net.control_server import ControlServer
from gannetweir.net.control_status import fleet_status
from gannetweir.net.control_watch import ControlDriver
from gannetweir.placement.settings import Settings
from gannetweir.proto.control_calls import chunk, watch_header
from gannetweir.proto.control_messages import canonical_json, read_answer, write_answer, write_slice
from gannetweir.proto.control_status import read_status, status_body
from gannetweir.proto.control_watch import ControlWatch, compress_line, stream_header
from gannetweir.proto.endpoint_watch import EndpointListError, Heartbeat, WatchFailed
from tests.helpers import settings
from tests.test_start import START, started

M, S = Resource.MEMBERSHIP, Resource.SETTINGS
SOON = 15.0  # only a failing test waits so long


def host(name: str, **fields: object) -> bytes:
    return canonical_json({"host": name, "dial": "10.0.0.1:80", "health": "Ready", "born_ms": 0} | fields)


def watch() -> ControlWatch:
    held = {M: Version(3, 41, 0), S: Version(0, 0, 0)}
    return ControlWatch("10.2.0.1:8500", "r 1", held, settings(), Limits())


PARTS = [
    Slice(M, Version(3, 43, 5), 41, 0, 2, (Entry("a", host("a")), Entry("b", host("b")))),
    Slice(M, Version(3, 43, 5), 41, 1, 2, (Entry("c", None),)),
    Slice(S, Version(3, 7, 6), None, 0, 1, (Entry("zones", b'["a"]'), Entry("limits", None))),
]


@pytest.mark.parametrize("gzip", [False, True])
@pytest.mark.parametrize("step", [1, 7, 8192])
def test_slices_come_through_in_pieces_of_any_size(gzip: bool, step: int) -> None:
    lines = [write_slice(part) for part in PARTS] + [b"\n"]
    blocks = [compress_line(line) for line in lines] if gzip else lines
    data = watch_header(gzip) + b"".join(map(chunk, [stream_header(gzip) + blocks[0], *blocks[1:]]))
    w, found = watch(), list[object]()
    for at in range(0, len(data), step):
        found += w.events(data[at : at + step])
    assert found == [*PARTS, Heartbeat()]
    assert b"since=41&relay=r%201&membership=3.41." in w.request


GOOD = orjson.loads(write_slice(PARTS[0]))


@pytest.mark.parametrize(
    "changes",
    [
        {"seq": "43"},
        {"seq": True},
        {"seq": -1},
        {"seq": 1 << 60},
        {"epoch": None},
        {"digest": "0"},
        {"digest": "g" * 32},
        {"digest": 5},
        {"resource": "secrets"},
        {"resource": ["membership"]},
        {"whole": "yes", "base": None},
        {"index": 1.5},
        {"count": [2]},
        {"hosts": {}},
        {"hosts": [5]},
        {"hosts": [{"host": 5}]},
        {"hosts": [{}]},
        {"hosts": [{"host": "a"}] * 1001},
        {"resource": "settings"},
        {"resource": "settings", "settings": []},
    ],
)
def test_a_hostile_object_breaks_the_watch_and_tells_nothing(changes: dict[str, Any]) -> None:
    (broken,) = watch().events(watch_header(False) + chunk(orjson.dumps(GOOD | changes) + b"\n"))
    assert isinstance(broken, WatchFailed)
    assert broken.reason


def test_an_entry_that_is_held_takes_little_more_than_its_bytes() -> None:
    tracemalloc.start()
    held = [host(f"b{n}") for n in range(500)]
    taken = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert taken < 500 * 2 * max(map(len, held))


def test_what_unpacks_without_measure_breaks_the_watch() -> None:
    bomb = stream_header(True) + compress_line(b" " * (64 << 20))
    (broken,) = watch().events(watch_header(True) + chunk(bomb))
    assert isinstance(broken, WatchFailed)
    assert "too much" in broken.reason
    (broken,) = watch().events(watch_header(True) + chunk(stream_header(True) + b"\xff\xff\xff"))
    assert isinstance(broken, WatchFailed)
    assert "gzip" in broken.reason


@pytest.mark.parametrize(
    "answer", [Ack(M, Version(1, 2, 3)), Nack(S, Version(1, 2, 3), Reason.CHECK, "bad", Version(1, 1, 1))]
)
def test_answers_both_ways(answer: Ack | Nack) -> None:
    assert read_answer(write_answer("r", answer)) == ("r", answer, None)
    assert read_answer(write_answer("r", answer, ServiceTotals(5, 6))) == ("r", answer, ServiceTotals(5, 6))


@pytest.mark.parametrize(
    "body", [b"", b"[]", b"{}", b'{"relay":5}', write_answer("r", Ack(M, Version(1, 2, 3)))[:-9]]
)
def test_a_hostile_answer_is_none(body: bytes) -> None:
    with pytest.raises(EndpointListError):
        read_answer(body)


STATUS = (
    b'{"machine":"c0","resources":[{"resource":"settings","newest":3,"released":2,"lowest":1,"relays":4,'
    b'"at_newest":1,"behind":2,"refusing":1,"stragglers":["r1","r2"],"refusals":["r3: check: bad"],'
    b'"stage":{"version":"1.3.00000000000000000000000000000009","in_force":["r0"],"waiting":["r4"],'
    b'"against":["r3: check: bad"]}},'
    b'{"resource":"membership","newest":7,"released":7,"lowest":7,"relays":0,"at_newest":0,"behind":0,'
    b'"refusing":0,"stragglers":[],"refusals":[],"stage":null}]}'
)


def test_a_status_is_written_byte_for_byte_as_it_was_read() -> None:
    assert status_body(*read_status(STATUS)) == STATUS


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{}",
        b'{"machine":"c0","resources":[5]}',
        STATUS.replace(b'"behind"', b'"late"'),
        STATUS.replace(b'"stage":null', b'"stage":{}'),
        STATUS.replace(b'"behind":0', b'"behind":0,"more":0'),
        STATUS.replace(b'"settings"', b'"secrets"'),
        STATUS.replace(b'"stragglers":[]', b'"stragglers":5'),
    ],
)
def test_a_malformed_status_is_an_error(body: bytes) -> None:
    with pytest.raises(EndpointListError):
        read_status(body)


# ---- drivers


class HollowRelay:
    """A relay's control part over a real engine, and what it was told."""

    def __init__(self, name: str, tasks: Any) -> None:
        self.name, self.settings, self.limits, self.spawn = name, settings(), Limits(), spawn_in(tasks)
        self.engine = Engine(self.settings, self.limits, 1, MembershipUpdate(0, True), 0)
        self.versions: dict[Resource, int] = {}
        self.event = anyio.Event()

    def run_engine_call(self, call: Callable[..., Any], *args: Any) -> Any:
        return call(*args, 1_000_000)

    @property
    def hosts(self) -> dict[Any, int]:
        return {server: entry.state for server, entry in self.engine.endpoint_list.entries.items()}

    def host(self) -> EngineHost:
        return EngineHost(self, self.name, self.take_settings, self.in_force)

    def take_settings(self, given: Settings) -> None:
        self.settings = given

    def in_force(self, resource: Resource, version: Version) -> None:
        self.versions[resource] = version.number
        self.event.set()
        self.event = anyio.Event()

    async def reaches(self, resource: Resource, number: int) -> None:
        with anyio.fail_after(SOON):
            while self.versions.get(resource) != number:
                await self.event.wait()


class Plane:
    """A store, control machines and relays in one loop."""

    def __init__(self, tasks: Any, staged: frozenset[Resource]) -> None:
        self.tasks, self.store = tasks, MemoryStore(staged=staged)
        self.store.put(M, {"a": host("a"), "b": host("b")})
        self.store.put(S, {"categories": canonical_json([{"name": "chat"}])})
        self.store.release(S, 1)
        self.machines: dict[str, SocketAddress] = {}
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.servers: dict[str, ControlServer] = {}
        self.drivers: dict[str, ControlDriver] = {}

    def start(self, name: str) -> None:
        at = self.machines.get(name, SocketAddress("127.0.0.1", 0))
        server = ControlServer(name, self.store, at, Limits())
        self.machines[name], self.servers[name] = server.address, server
        self.scopes[name] = scope = anyio.CancelScope()

        async def run() -> None:
            with scope:
                await server.run()

        self.tasks.start_soon(run)

    def relay(self, name: str) -> HollowRelay:
        relay = HollowRelay(name, self.tasks)
        check = RelayCheck(lambda: relay.settings)
        followers = {resource: Follower(resource, check) for resource in Resource}
        self.drivers[name] = ControlDriver(relay.host(), self.machines, followers, random.Random(1).random)
        self.tasks.start_soon(self.drivers[name].run)
        return relay

    async def stop(self, name: str) -> None:
        self.scopes[name].cancel()
        with anyio.fail_after(SOON):
            while self.servers[name].listener.fileno() >= 0:
                await anyio.lowlevel.checkpoint()


@asynccontextmanager
async def _plane(machines: int, staged: frozenset[Resource] = frozenset()) -> Any:
    async with anyio.create_task_group() as tasks:
        plane = Plane(tasks, staged)
        for number in range(machines):
            plane.start(f"c{number}")
        yield plane
        tasks.cancel_scope.cancel()


plane_of: Callable[..., AbstractAsyncContextManager[Plane]] = _plane


def test_a_change_comes_into_force_and_a_bad_one_is_refused_and_told() -> None:
    async def run() -> None:
        async with plane_of(1) as plane:
            relay = plane.relay("r0")
            await relay.reaches(M, 1)
            await relay.reaches(S, 1)
            assert relay.hosts == {"a": 1, "b": 1}
            assert relay.settings.classes[0].name == "chat"
            plane.store.put(M, {"a": None, "b": host("b", health="Terminating")})
            await relay.reaches(M, 2)
            assert relay.hosts == {"a": 0, "b": 2}
            plane.store.put(S, {"categories": canonical_json([{"name": "chat", "hard-limit-us": 1000}])})
            machine = plane.servers["c0"].machine
            assert machine is not None
            with anyio.fail_after(SOON):
                while not (refusals := machine.status_reports()[1].rejections):
                    await anyio.lowlevel.checkpoint()
            assert "before SIGKILL" in refusals[0]
            assert relay.versions[S] == 1
            assert relay.settings.classes[0].deadline_us > 1000

    anyio.run(run)


@pytest.mark.parametrize("trickles", [False, True])
def test_a_machine_that_says_nothing_whole_is_left_for_the_second_choice(trickles: bool) -> None:
    async def run() -> None:
        async with plane_of(2) as plane:
            silent = socket.create_server(("127.0.0.1", 0))
            silent.setblocking(False)

            async def trickle() -> None:
                await anyio.wait_readable(silent)
                sock = silent.accept()[0]
                with suppress(OSError):  # the relay leaves in the middle of it
                    for byte in (watch_header(False) + b'ff\r\n{"seq":1') if trickles else b"":
                        sock.send(bytes([byte]))
                        await anyio.sleep(0.05)
                await anyio.sleep_forever()

            plane.tasks.start_soon(trickle)
            probe = plane.relay("r0")
            first = plane.drivers["r0"].selector.ranked[0]
            plane.machines[first] = SocketAddress(*silent.getsockname()[:2])
            await probe.reaches(M, 1)
            assert plane.drivers["r0"].selector.machine != first
            silent.close()

    anyio.run(run)


def test_a_machine_that_starts_anew_sends_a_delta_from_what_a_relay_holds() -> None:
    async def run() -> None:
        async with plane_of(1) as plane:
            relay = plane.relay("r0")
            await relay.reaches(M, 1)
            await plane.stop("c0")
            for born_ms in (5, 6):
                plane.store.put(M, {"a": host("a", born_ms=born_ms)})
            plane.start("c0")
            await relay.reaches(M, 3)
            machine = plane.servers["c0"].machine
            assert machine is not None
            assert list(machine.publishers[M].history.cached_slices) == [(1, 3)]

    anyio.run(run)


def test_a_machine_dies_after_half_of_its_relays_have_the_version_and_then_all_restart() -> None:
    async def run() -> None:
        async with plane_of(3) as plane:
            relays = [plane.relay(f"r{n}") for n in range(6)]
            for relay in relays:
                await relay.reaches(M, 1)
            plane.store.put(M, {"a": host("a", born_ms=5)})
            await relays[0].reaches(M, 2)  # the others may or may not have it
            await plane.stop(plane.drivers["r0"].selector.machine)
            for relay in relays:
                await relay.reaches(M, 2)
            for name in plane.machines:
                await plane.stop(name)
            plane.store.put(M, {"a": host("a", born_ms=6)})
            assert all(relay.hosts["b"] == 1 for relay in relays)  # they go on with what they have
            for name in plane.machines:
                plane.start(name)
            for relay in relays:
                await relay.reaches(M, 3)

    anyio.run(run)


def test_a_cut_region_keeps_its_last_good_version_and_catches_up() -> None:
    async def run() -> None:
        async with plane_of(1) as plane:
            relay = plane.relay("r0")
            await relay.reaches(M, 1)
            plane.store.down = True  # seen from this region
            plane.store.put(M, {"a": host("a", born_ms=5)})
            with anyio.fail_after(SOON):
                while not plane.servers["c0"].store_sync.last_error:
                    await anyio.sleep(0.01)
            assert relay.versions[M] == 1
            plane.store.down = False
            await relay.reaches(M, 2)
            # what was written on the wrong side of a cut is given up: the store's next epoch says so
            plane.store.restore(1)
            plane.store.put(M, {"b": None})
            await relay.reaches(M, 2)
            with anyio.fail_after(SOON):
                while relay.hosts["b"]:
                    await relay.event.wait()
            assert plane.drivers["r0"].followers[M].applied_version.epoch == 2

    anyio.run(run)


def test_settings_go_to_a_few_relays_first_and_are_held_there() -> None:
    async def run() -> None:
        async with plane_of(2, frozenset({S})) as plane:
            relays = [plane.relay(f"r{n}") for n in range(5)]
            for relay in relays:
                await relay.reaches(S, 1)
            plane.store.put(S, {"categories": canonical_json([{"name": "chat", "hard-limit-us": 1000}])})
            with anyio.fail_after(SOON):
                while S not in plane.store.held:
                    await anyio.sleep(0.05)
            lines, fine = await anyio.to_thread.run_sync(fleet_status, plane.machines.values())
            shown = "\n".join(lines)
            assert not fine
            assert "settings: version 2, released 1" in shown
            assert "5 relays at 2 machines" in shown
            assert "staged version 2 at r" in shown
            assert "before SIGKILL" in shown
            assert "refused by r" in shown
            assert plane.store.held[S][0] == 2
            assert "before SIGKILL" in plane.store.held[S][1]
            assert {relay.versions[S] for relay in relays} == {1}
            plane.store.put(S, {"categories": canonical_json([{"name": "chat", "hard-limit-us": 2_000_000}])})
            for relay in relays:
                await relay.reaches(S, 3)
            await plane.stop("c0")
            lines, fine = await anyio.to_thread.run_sync(fleet_status, plane.machines.values())
            assert not fine
            assert "refused" in lines[0]
            assert len(lines) > 3

    anyio.run(run)


def test_an_ordinary_relay_does_not_load_the_control_plane(tmp_path: Any) -> None:
    shown = 'print("loaded:", *(m for m in sys.modules if m.startswith("gannetweir")), file=sys.stderr)'
    last = 'runpy.run_module("gannetweir", run_name="__main__")'
    code = START.replace(last, f"try:\n    {last}\nfinally:\n    {shown}")
    relay = started(tmp_path, code.format(module="gannetweir.net.relay", number=int(signal.SIGTERM)))
    loaded = relay.communicate(timeout=20)[1].split("loaded:")[1].split()
    assert "gannetweir.net.relay" in loaded
    assert not [name for name in loaded if "control" in name]
