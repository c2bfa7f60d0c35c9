"""Tests of the control protocol: valid and hostile messages, and relays and machines on loopback."""

import random
import signal
import socket
import tracemalloc
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import anyio
import anyio.abc
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
from gannetweir.net.ports import Arguments, Result
from gannetweir.placement.settings import Settings
from gannetweir.proto.control_calls import chunk, watch_header
from gannetweir.proto.control_messages import canonical_json, read_answer, write_answer, write_slice
from gannetweir.proto.control_status import read_status, status_body
from gannetweir.proto.control_watch import ControlWatch, compress_line, stream_header
from gannetweir.proto.endpoint_watch import EndpointListError, Heartbeat, WatchFailed
from tests.helpers import settings
from tests.test_start import SIGNAL_AT_IMPORT, start_relay

MEMBERSHIP, SETTINGS = Resource.MEMBERSHIP, Resource.SETTINGS
TEST_TIMEOUT_S = 15.0  # only a failing test waits for the full time


def host_body(name: str, **fields: object) -> bytes:
    return canonical_json({"host": name, "dial": "10.0.0.1:80", "health": "Ready", "born_ms": 0} | fields)


def new_watch() -> ControlWatch:
    applied = {MEMBERSHIP: Version(3, 41, 0), SETTINGS: Version(0, 0, 0)}
    return ControlWatch("10.2.0.1:8500", "r 1", applied, settings(), Limits())


SLICES = [
    Slice(MEMBERSHIP, Version(3, 43, 5), 41, 0, 2, (Entry("a", host_body("a")), Entry("b", host_body("b")))),
    Slice(MEMBERSHIP, Version(3, 43, 5), 41, 1, 2, (Entry("c", None),)),
    Slice(SETTINGS, Version(3, 7, 6), None, 0, 1, (Entry("zones", b'["a"]'), Entry("limits", None))),
]


@pytest.mark.parametrize("gzip", [False, True])
@pytest.mark.parametrize("step", [1, 7, 8192])
def test_slices_are_read_from_pieces_of_any_size(gzip: bool, step: int) -> None:
    lines = [write_slice(part) for part in SLICES] + [b"\n"]
    blocks = [compress_line(line) for line in lines] if gzip else lines
    data = watch_header(gzip) + b"".join(map(chunk, [stream_header(gzip) + blocks[0], *blocks[1:]]))
    watch = new_watch()
    events = list[object]()
    for at in range(0, len(data), step):
        events += watch.events(data[at : at + step])
    assert events == [*SLICES, Heartbeat()]
    assert b"since=41&relay=r%201&membership=3.41." in watch.request


WELL_FORMED = orjson.loads(write_slice(SLICES[0]))


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
def test_a_malformed_slice_ends_the_watch_and_is_not_returned(changes: dict[str, object]) -> None:
    (failure,) = new_watch().events(watch_header(False) + chunk(orjson.dumps(WELL_FORMED | changes) + b"\n"))
    assert isinstance(failure, WatchFailed)
    assert failure.reason


def test_an_entrys_body_takes_little_more_memory_than_its_bytes() -> None:
    tracemalloc.start()
    bodies = [host_body(f"b{number}") for number in range(500)]
    allocated_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert allocated_bytes < 500 * 2 * max(map(len, bodies))


def test_a_compression_bomb_ends_the_watch() -> None:
    compression_bomb = stream_header(True) + compress_line(b" " * (64 << 20))
    (failure,) = new_watch().events(watch_header(True) + chunk(compression_bomb))
    assert isinstance(failure, WatchFailed)
    assert "too much" in failure.reason
    (failure,) = new_watch().events(watch_header(True) + chunk(stream_header(True) + b"\xff\xff\xff"))
    assert isinstance(failure, WatchFailed)
    assert "gzip" in failure.reason


@pytest.mark.parametrize(
    "answer",
    [
        Ack(MEMBERSHIP, Version(1, 2, 3)),
        Nack(SETTINGS, Version(1, 2, 3), Reason.CHECK, "bad", Version(1, 1, 1)),
    ],
)
def test_an_answer_is_read_as_it_was_written(answer: Ack | Nack) -> None:
    assert read_answer(write_answer("r", answer)) == ("r", answer, None)
    assert read_answer(write_answer("r", answer, ServiceTotals(5, 6))) == ("r", answer, ServiceTotals(5, 6))


@pytest.mark.parametrize(
    "body", [b"", b"[]", b"{}", b'{"relay":5}', write_answer("r", Ack(MEMBERSHIP, Version(1, 2, 3)))[:-9]]
)
def test_a_malformed_answer_is_an_error(body: bytes) -> None:
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


class ControlOnlyRelay:
    """The control plane's part of a relay, with a real engine; records the versions that were applied."""

    def __init__(self, name: str, tasks: anyio.abc.TaskGroup) -> None:
        self.name = name
        self.settings = settings()
        self.limits = Limits()
        self.spawn = spawn_in(tasks)
        self.engine = Engine(self.settings, self.limits, 1, MembershipUpdate(0, True), 0)
        self.versions: dict[Resource, int] = {}
        self.event = anyio.Event()

    def run_engine_call(self, call: Callable[[*Arguments, int], Result], *arguments: *Arguments) -> Result:
        return call(*arguments, 1_000_000)

    @property
    def endpoint_states(self) -> dict[object, int]:
        return {server: entry.state for server, entry in self.engine.endpoint_list.entries.items()}

    def engine_host(self) -> EngineHost:
        return EngineHost(self, self.name, self.apply_checked_settings, self.version_applied)

    def apply_checked_settings(self, new_settings: Settings) -> None:
        self.settings = new_settings

    def version_applied(self, resource: Resource, version: Version) -> None:
        self.versions[resource] = version.number
        self.event.set()
        self.event = anyio.Event()

    async def wait_for_version(self, resource: Resource, number: int) -> None:
        with anyio.fail_after(TEST_TIMEOUT_S):
            while self.versions.get(resource) != number:
                await self.event.wait()


class ControlPlane:
    """A store, control machines and relays on one event loop."""

    def __init__(self, tasks: anyio.abc.TaskGroup, staged: frozenset[Resource]) -> None:
        self.tasks = tasks
        self.store = MemoryStore(staged=staged)
        self.store.put(MEMBERSHIP, {"a": host_body("a"), "b": host_body("b")})
        self.store.put(SETTINGS, {"categories": canonical_json([{"name": "chat"}])})
        self.store.release(SETTINGS, 1)
        self.machines: dict[str, SocketAddress] = {}
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.servers: dict[str, ControlServer] = {}
        self.drivers: dict[str, ControlDriver] = {}

    def start(self, name: str) -> None:
        at = self.machines.get(name, SocketAddress("127.0.0.1", 0))
        server = ControlServer(name, self.store, at, Limits())
        scope = anyio.CancelScope()
        self.machines[name] = server.address
        self.servers[name] = server
        self.scopes[name] = scope

        async def run() -> None:
            with scope:
                await server.run()

        self.tasks.start_soon(run)

    def relay(self, name: str) -> ControlOnlyRelay:
        relay = ControlOnlyRelay(name, self.tasks)
        check = RelayCheck(lambda: relay.settings)
        followers = {resource: Follower(resource, check) for resource in Resource}
        self.drivers[name] = ControlDriver(
            relay.engine_host(), self.machines, followers, random.Random(1).random
        )
        self.tasks.start_soon(self.drivers[name].run)
        return relay

    async def stop(self, name: str) -> None:
        self.scopes[name].cancel()
        with anyio.fail_after(TEST_TIMEOUT_S):
            while self.servers[name].listener.fileno() >= 0:
                await anyio.lowlevel.checkpoint()


@asynccontextmanager
async def run_control_plane(
    machines: int, staged: frozenset[Resource] = frozenset()
) -> AsyncIterator[ControlPlane]:
    async with anyio.create_task_group() as tasks:
        plane = ControlPlane(tasks, staged)
        for number in range(machines):
            plane.start(f"c{number}")
        yield plane
        tasks.cancel_scope.cancel()


def test_a_change_is_applied_and_a_bad_one_is_rejected_and_reported() -> None:
    async def run() -> None:
        async with run_control_plane(1) as plane:
            relay = plane.relay("r0")
            await relay.wait_for_version(MEMBERSHIP, 1)
            await relay.wait_for_version(SETTINGS, 1)
            assert relay.endpoint_states == {"a": 1, "b": 1}
            assert relay.settings.classes[0].name == "chat"
            plane.store.put(MEMBERSHIP, {"a": None, "b": host_body("b", health="Terminating")})
            await relay.wait_for_version(MEMBERSHIP, 2)
            assert relay.endpoint_states == {"a": 0, "b": 2}
            plane.store.put(
                SETTINGS, {"categories": canonical_json([{"name": "chat", "hard-limit-us": 1000}])}
            )
            machine = plane.servers["c0"].machine
            assert machine is not None
            with anyio.fail_after(TEST_TIMEOUT_S):
                while not (nack_texts := machine.status_reports()[1].rejections):
                    await anyio.lowlevel.checkpoint()
            assert "before SIGKILL" in nack_texts[0]
            assert relay.versions[SETTINGS] == 1
            assert relay.settings.classes[0].deadline_us > 1000

    anyio.run(run)


@pytest.mark.parametrize("trickles", [False, True])
def test_a_machine_without_a_complete_message_is_abandoned_for_the_second_choice(trickles: bool) -> None:
    async def run() -> None:
        async with run_control_plane(2) as plane:
            silent = socket.create_server(("127.0.0.1", 0))
            silent.setblocking(False)

            async def trickle() -> None:
                await anyio.wait_readable(silent)
                sock = silent.accept()[0]
                with suppress(OSError):  # the relay disconnects before all bytes were sent
                    for byte in (watch_header(False) + b'ff\r\n{"seq":1') if trickles else b"":
                        sock.send(bytes([byte]))
                        await anyio.sleep(0.05)
                await anyio.sleep_forever()

            plane.tasks.start_soon(trickle)
            relay = plane.relay("r0")
            first = plane.drivers["r0"].selector.ranked[0]
            plane.machines[first] = SocketAddress(*silent.getsockname()[:2])
            await relay.wait_for_version(MEMBERSHIP, 1)
            assert plane.drivers["r0"].selector.machine != first
            silent.close()

    anyio.run(run)


def test_a_restarted_machine_sends_a_delta_from_what_a_relay_has_applied() -> None:
    async def run() -> None:
        async with run_control_plane(1) as plane:
            relay = plane.relay("r0")
            await relay.wait_for_version(MEMBERSHIP, 1)
            await plane.stop("c0")
            for born_ms in (5, 6):
                plane.store.put(MEMBERSHIP, {"a": host_body("a", born_ms=born_ms)})
            plane.start("c0")
            await relay.wait_for_version(MEMBERSHIP, 3)
            machine = plane.servers["c0"].machine
            assert machine is not None
            assert list(machine.publishers[MEMBERSHIP].history.cached_slices) == [(1, 3)]

    anyio.run(run)


def test_relays_converge_after_one_machine_stops_and_all_restart() -> None:
    async def run() -> None:
        async with run_control_plane(3) as plane:
            relays = [plane.relay(f"r{number}") for number in range(6)]
            for relay in relays:
                await relay.wait_for_version(MEMBERSHIP, 1)
            plane.store.put(MEMBERSHIP, {"a": host_body("a", born_ms=5)})
            await relays[0].wait_for_version(MEMBERSHIP, 2)  # the other relays may or may not have applied it
            await plane.stop(plane.drivers["r0"].selector.machine)
            for relay in relays:
                await relay.wait_for_version(MEMBERSHIP, 2)
            for name in plane.machines:
                await plane.stop(name)
            plane.store.put(MEMBERSHIP, {"a": host_body("a", born_ms=6)})
            # The applied version stays in use while all machines are down.
            assert all(relay.endpoint_states["b"] == 1 for relay in relays)
            for name in plane.machines:
                plane.start(name)
            for relay in relays:
                await relay.wait_for_version(MEMBERSHIP, 3)

    anyio.run(run)


def test_a_partitioned_region_serves_its_last_good_version_and_catches_up() -> None:
    async def run() -> None:
        async with run_control_plane(1) as plane:
            relay = plane.relay("r0")
            await relay.wait_for_version(MEMBERSHIP, 1)
            plane.store.down = True  # the region can't reach the store
            plane.store.put(MEMBERSHIP, {"a": host_body("a", born_ms=5)})
            with anyio.fail_after(TEST_TIMEOUT_S):
                while not plane.servers["c0"].store_sync.last_error:
                    await anyio.sleep(0.01)
            assert relay.versions[MEMBERSHIP] == 1
            plane.store.down = False
            await relay.wait_for_version(MEMBERSHIP, 2)
            # The store discards the writes of the partition's minority side and starts a new epoch.
            plane.store.restore(1)
            plane.store.put(MEMBERSHIP, {"b": None})
            await relay.wait_for_version(MEMBERSHIP, 2)
            with anyio.fail_after(TEST_TIMEOUT_S):
                while relay.endpoint_states["b"]:
                    await relay.event.wait()
            assert plane.drivers["r0"].followers[MEMBERSHIP].applied_version.epoch == 2

    anyio.run(run)


def test_bad_settings_are_halted_at_the_canaries() -> None:
    async def run() -> None:
        async with run_control_plane(2, frozenset({SETTINGS})) as plane:
            relays = [plane.relay(f"r{number}") for number in range(5)]
            for relay in relays:
                await relay.wait_for_version(SETTINGS, 1)
            plane.store.put(
                SETTINGS, {"categories": canonical_json([{"name": "chat", "hard-limit-us": 1000}])}
            )
            with anyio.fail_after(TEST_TIMEOUT_S):
                while SETTINGS not in plane.store.held:
                    await anyio.sleep(0.05)
            lines, all_applied = await anyio.to_thread.run_sync(fleet_status, plane.machines.values())
            shown = "\n".join(lines)
            assert not all_applied
            assert "settings: version 2, released 1" in shown
            assert "5 relays at 2 machines" in shown
            assert "staged version 2 at r" in shown
            assert "before SIGKILL" in shown
            assert "refused by r" in shown
            assert plane.store.held[SETTINGS][0] == 2
            assert "before SIGKILL" in plane.store.held[SETTINGS][1]
            assert {relay.versions[SETTINGS] for relay in relays} == {1}
            plane.store.put(
                SETTINGS, {"categories": canonical_json([{"name": "chat", "hard-limit-us": 2_000_000}])}
            )
            for relay in relays:
                await relay.wait_for_version(SETTINGS, 3)
            await plane.stop("c0")
            lines, all_applied = await anyio.to_thread.run_sync(fleet_status, plane.machines.values())
            assert not all_applied
            assert "refused" in lines[0]
            assert len(lines) > 3

    anyio.run(run)


def test_a_relay_without_control_machines_does_not_load_the_control_plane(tmp_path: Path) -> None:
    shown = 'print("loaded:", *(m for m in sys.modules if m.startswith("gannetweir")), file=sys.stderr)'
    last = 'runpy.run_module("gannetweir", run_name="__main__")'
    code = SIGNAL_AT_IMPORT.replace(last, f"try:\n    {last}\nfinally:\n    {shown}")
    relay = start_relay(tmp_path, code.format(module="gannetweir.net.relay", number=int(signal.SIGTERM)))
    loaded = relay.communicate(timeout=20)[1].split("loaded:")[1].split()
    assert "gannetweir.net.relay" in loaded
    assert not [name for name in loaded if "control" in name]
