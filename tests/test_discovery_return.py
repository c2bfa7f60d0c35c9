"""Discovery is away and comes back: what it has to tell holds within 6 s, whatever failed before.

The real engine and module on a fed clock, beside models of discovery and of the driver of the watch. The
driver's own times (what winds its clock, what it takes after a move) are shown on loopback sockets.
"""

from __future__ import annotations

import contextlib
import random
from dataclasses import dataclass, field, replace

import anyio
import pytest

from gannetweir import core as e
from gannetweir.config import SocketAddress
from gannetweir.limits import Limits
from gannetweir.membership.membership_update import ListedEndpoint, MembershipUpdate
from gannetweir.placement import endpoint_polling
from gannetweir.placement.events import AttemptStatus, EndpointEntry, EndpointStatus
from tests.helpers import SECOND, settings
from tests.place import BEAT, HEAD, QUICK, Peer, Place, Play, anyio_backend, bound, played  # noqa: F401
from tests.scenario import CLASSES, play

CHANGE_IN_FORCE_US = 6 * SECOND  # after discovery had a change and could be reached, it counts as told
HEARTBEAT_US = 2 * SECOND
LIMITS = Limits()
NEVER = 1 << 62
RELAY_COUNT = 200


def listed(host: str, state: int = EndpointStatus.READY) -> ListedEndpoint:
    return ListedEndpoint(EndpointEntry(host, state=state), "127.0.0.1:1")


@dataclass
class DiscoveryModel:
    """Back at a moment; before it, calls fail in ways drawn from the seed. From then on it answers."""

    rng: random.Random
    reachable_us: int
    max_latency_us: int  # to its first answer, once it is back
    failures: tuple[str, ...] = ("refused", "silent", "slow", "half", "503")
    calls_us: list[int] = field(default_factory=list)
    b1_drains: bool = False  # b1 does, by now

    def answer(self) -> MembershipUpdate:
        return (
            MembershipUpdate(9, False, [listed("b1", EndpointStatus.DRAINING)])
            if self.b1_drains
            else MembershipUpdate(1, False)
        )

    def call(self, now: int) -> tuple[int, bool]:
        """When this call ends, and whether with an answer, as the driver of the watch sees it."""
        self.calls_us.append(now)
        if now >= self.reachable_us:
            return now + self.rng.randrange(self.max_latency_us), True
        kind = self.rng.choice(self.failures)
        if kind == "refused":
            return now + self.rng.randrange(2_000), False
        if kind == "503":  # it was there until then
            return min(self.reachable_us, now + self.rng.randrange(2 * SECOND)), False
        if kind == "half":  # a head, and from then on nothing: no later than what cut it off ended
            head = min(self.reachable_us, now + self.rng.randrange(LIMITS.endpoint_watch_response_timeout_us))
            return head + LIMITS.endpoint_watch_silence_us, False
        return (
            now + LIMITS.endpoint_watch_response_timeout_us,
            False,
        )  # no head, or bytes of one that never ends


class RelayModel:
    """One engine, its clock, and what the driver does for its orders."""

    def __init__(self, seed: int, discovery: DiscoveryModel, now: int, **changes: object) -> None:
        self.now_us, self.discovery = now, discovery
        values: dict[str, object] = {
            "polls_endpoint_list": True,
            "relay_count": RELAY_COUNT,
            "classes": CLASSES,
        }
        s = settings(**(values | changes))
        self.call_ends_us, self.call_succeeds = NEVER, False
        known = MembershipUpdate(1, True, [listed("b1"), listed("b2")])
        self.engine = e.Engine(s, LIMITS, seed, known, now)
        self.carry_out_commands()

    def carry_out_commands(self) -> None:
        commands = self.engine.commands
        while commands:
            command = commands.popleft()
            if isinstance(command, e.SetEndpointWatch):
                self.call_ends_us, self.call_succeeds = self.discovery.call(self.now_us)
            elif isinstance(command, e.StartLoadProbe):
                self.engine.load_probe_ended(command.endpoint_id, AttemptStatus.OK, (10.0, 0.5), self.now_us)

    def run(self, until: int) -> None:
        while (due := min(self.engine.next_due(), self.call_ends_us)) <= until:
            self.now_us = max(self.now_us, due)
            if self.call_ends_us <= self.now_us:
                self.call_ends_us = NEVER
                if self.call_succeeds:
                    self.engine.endpoint_update_received(self.discovery.answer(), self.now_us)
                else:
                    self.engine.endpoint_watch_failed("failed", self.now_us)
            else:
                self.engine.advance(self.now_us)
            self.carry_out_commands()
        self.now_us = until

    def open_watch(self) -> None:
        """Its watch is open by now."""
        self.engine.endpoint_update_received(MembershipUpdate(1, False), self.now_us)
        self.call_ends_us = NEVER
        self.carry_out_commands()

    def knows_of_the_drain(self) -> bool:
        endpoint = self.engine.balancer.state.endpoints["b1"]
        return (
            not self.engine.endpoint_list.accepts_requests("b1")
            and endpoint.status == EndpointStatus.DRAINING
        )


def relay_with_open_watch(rng: random.Random, back_us: int, begin: int, **changes: object) -> RelayModel:
    """A relay whose watch is open at `begin`; discovery is away from then until `back_us`."""
    slow = rng.choice([50_000, SECOND, LIMITS.endpoint_watch_response_timeout_us - 20_000])
    discovery = DiscoveryModel(rng, 0, slow)
    relay = RelayModel(rng.getrandbits(32), discovery, begin - 5 * SECOND, **changes)
    relay.run(begin)
    relay.open_watch()
    discovery.calls_us.clear()
    discovery.reachable_us, discovery.b1_drains = back_us, True
    return relay


@pytest.mark.parametrize("seed", range(300))
def test_a_drain_is_in_force_6_s_after_discovery_had_it_and_could_be_reached(seed: int) -> None:
    rng, begin = random.Random(seed), 1_700_000_000 * SECOND
    away = rng.choice(
        [0, rng.randrange(SECOND), rng.randrange(8 * SECOND), rng.randrange(8 * SECOND, 60 * SECOND)]
    )
    asked_within = rng.choice([100_000, SECOND, 10 * SECOND, 60 * SECOND, 3_600 * SECOND])
    relay = relay_with_open_watch(
        rng, begin + away, begin, polls_endpoint_list=seed % 4 > 0, poll_interval_us=asked_within
    )
    lost = rng.choice(["reset", "silent", "silent"])  # the watch that was open
    relay.call_ends_us = begin + (
        LIMITS.endpoint_watch_silence_us if lost == "silent" else rng.randrange(1 + away // 2)
    )
    relay.call_succeeds = False
    relay.run(begin + away + CHANGE_IN_FORCE_US)
    assert relay.knows_of_the_drain(), (lost, away / SECOND, asked_within / SECOND)


@pytest.mark.parametrize("asked_within", [SECOND, 10 * SECOND, 3_600 * SECOND])
def test_a_new_relay_applies_a_drain_within_6_s(asked_within: int) -> None:
    for seed in range(50):
        rng, begin = random.Random(seed), 1_700_000_000 * SECOND
        there = DiscoveryModel(rng, 0, LIMITS.endpoint_watch_response_timeout_us, b1_drains=True)
        relay = RelayModel(seed, there, begin, poll_interval_us=asked_within)
        relay.run(begin + CHANGE_IN_FORCE_US)
        assert relay.knows_of_the_drain()


def test_the_timeouts_of_a_poll_add_up_to_less_than_6_s() -> None:
    """A call that hangs, a refused one and a silent watch; then the wait, and the slowest answer."""
    again, call = endpoint_polling.FIRST_BACKOFF_US, LIMITS.endpoint_watch_response_timeout_us
    assert max(call, endpoint_polling.MAX_ROUND_US) + call < CHANGE_IN_FORCE_US - 50_000
    assert LIMITS.endpoint_watch_silence_us + again + call < CHANGE_IN_FORCE_US - 50_000
    assert (
        call + again + call <= CHANGE_IN_FORCE_US - 50_000
    )  # after a move, whose call the module has not asked for
    assert LIMITS.endpoint_watch_silence_us >= HEARTBEAT_US + 500_000


def test_a_slow_answer_is_awaited_however_short_the_poll_interval() -> None:
    """Discovery takes one call at a time: a call that is in its queue must not be given up for another."""
    rng, begin = random.Random(3), 1_700_000_000 * SECOND
    relay = relay_with_open_watch(rng, begin, begin, poll_interval_us=50_000)
    relay.discovery.max_latency_us = 9 * SECOND
    relay.call_ends_us, relay.call_succeeds = begin, False
    calls = relay.discovery.calls_us
    while not calls:
        relay.run(relay.now_us + 10_000)
    relay.call_ends_us = relay.now_us + 2_700_000  # not yet
    relay.run(relay.call_ends_us - 1)
    assert len(calls) == 1
    relay.run(relay.now_us + 2)
    assert relay.knows_of_the_drain()


def test_200_relays_back_off_while_discovery_is_unreachable_and_return_spread() -> None:
    begin, calls = 1_700_000_000 * SECOND, list[int]()
    for seed in range(RELAY_COUNT):
        rng = random.Random(seed)
        relay = relay_with_open_watch(rng, begin + 30 * SECOND, begin)
        relay.discovery.failures, relay.discovery.max_latency_us = ("refused",), 50_000
        relay.call_ends_us, relay.call_succeeds = begin, False  # all watches end at once
        relay.run(begin + 40 * SECOND)
        calls += [at - begin for at in relay.discovery.calls_us]
    long = [at for at in calls if 10 * SECOND <= at < 30 * SECOND]
    assert len(long) / 20 < 100
    back = [at - 30 * SECOND for at in calls if at >= 30 * SECOND]
    assert len(back) == RELAY_COUNT  # each once
    busiest = max(sum(at <= other < at + 250_000 for other in back) for at in back)
    assert busiest < 40  # of 200, in a quarter of a second


# ---- by scenario: what was told stays told

UPDATE = '{"seq":%d,"whole":%s,"hosts":[%s]}'
B1 = '{"host":"b1","dial":"127.0.0.1:1","health":"%s","born_ms":0}'
B2 = '{"host":"b2","dial":"127.0.0.1:2","health":"Ready"}'
DRAIN_B1 = "discovery send " + UPDATE % (42, "false", B1 % "Terminating")


@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize(
    "then",
    [
        "settings reload 2 plain:repeatable",
        "discovery close\nsettings reload 2 plain:repeatable\ntime wait 4000",
        "\n".join(
            "discovery send " + UPDATE % (seq, "true", B2) for seq in range(43, 63)
        ),  # it is not listed
        "\n".join(
            "discovery send " + UPDATE % (seq, "true", B1 % "Terminating" + "," + B2) for seq in range(43, 63)
        ),
        f"discovery close\ndiscovery reopen {UPDATE % (7, 'true', B1 % 'Ready' + ',' + B2)}",
    ],
    ids=["reload", "reload, no watch", "whole lists without it", "whole lists with it", "an old whole list"],
)
def test_a_drain_stays_in_force_after(then: str, pushed: bool) -> None:
    script = "\n".join(f"c{n} send OPEN {n}a 0b c=plain,d=2000" for n in range(1, 6))
    world = play(f"{DRAIN_B1}\n{then}\n{script}", pushed=pushed)
    assert {order.endpoint_id for order, _ in world.upstreams.values()} == {"b2"}
    assert len(world.upstreams) == 5


def test_a_list_that_a_reload_makes_polled_is_polled() -> None:
    """The reload comes between two calls of a pushed list's watch: nobody else would open it again."""
    world = play(
        "discovery expect watch 41\ndiscovery close\ntime wait 0\ndiscovery expect watch 41\ndiscovery close",
        pushed=True,
    )
    world.engine.reload(replace(world.settings, polls_endpoint_list=True), world.limits, world.now_us)
    world.play("discovery expect nothing\ntime wait 450\ndiscovery expect watch 41")


# ---- on sockets: the driver's own times, and its move


def chunk_of(version: int, whole: bool, health: str) -> str:
    line = UPDATE % (version, "true" if whole else "false", B1 % health)
    return rf"{len(line) + 1:x}\r\n{line}\n\r\n"


def watch_failures(place: Place) -> int:
    return place.relay.engine.counters.counts["pool_failures"]


async def heartbeats_then_silence(place: Place) -> None:
    watcher = await place.watcher(place.discovery, 1)
    watcher.send(HEAD + BEAT)
    for version in range(2, 12):  # over three times the time for silence
        await place.until(lambda seen=version - 1: place.relay.engine.endpoint_list.version == seen)  # type: ignore[misc]
        await anyio.sleep(0.02)
        watcher.send(chunk_of(version, False, "Ready"))
    await place.until(lambda: place.relay.engine.endpoint_list.version == 11)
    assert not watch_failures(place)
    again = await place.watcher(place.discovery, 11)
    await watcher.expect("end")
    assert watch_failures(place) == 1
    again.send(HEAD + chunk_of(12, False, "Terminating"))
    await place.until(lambda: not place.relay.engine.endpoint_list.accepts_requests("b1"))


async def a_head_that_trickles(place: Place) -> None:
    watcher = await place.watcher(place.discovery, 1)
    watcher.send(HEAD[:20])
    with contextlib.suppress(BrokenPipeError, ConnectionResetError):
        for _ in range(400):
            watcher.send("x")
            await anyio.sleep(0.005)
            if watch_failures(place):
                break
    assert watch_failures(place) == 1
    again = await place.watcher(place.discovery, 1)
    again.send(HEAD + BEAT)
    await place.until(lambda: place.relay.endpoint_watch.has_answered)


async def truncated_answer(place: Place) -> None:
    first = await place.watcher(place.discovery, 1)
    first.send(HEAD + chunk_of(2, True, "Ready")[:40])
    second = await place.watcher(place.discovery, 1)
    second.send(HEAD + chunk_of(2, True, "Terminating"))
    await place.until(lambda: not place.relay.engine.endpoint_list.accepts_requests("b1"))
    assert watch_failures(place) == 1


async def new_address_hangs(place: Place) -> None:
    old, new = await place.watcher(place.discovery, 1), bound()
    old.send(HEAD + BEAT)
    await place.until(lambda: place.relay.endpoint_watch.has_answered)
    place.hup(discovery_address=SocketAddress(*new.getsockname()))
    hung: list[Peer] = []
    for count in range(3):  # no word from the new one: the old one is heard all the time
        hung.append(await place.watcher(new, 0))
        assert watch_failures(place) == count
        old.send(chunk_of(40 + count, False, "Terminating" if count == 1 else "Ready"))
        await place.until(lambda seen=40 + count: place.relay.engine.endpoint_list.version == seen)  # type: ignore[misc]
        assert place.relay.engine.endpoint_list.accepts_requests("b1") is (count != 1)
        old.send(BEAT)
    answers = await place.watcher(new, 0)
    answers.send(HEAD + chunk_of(50, True, "Terminating"))
    await place.until(lambda: not place.relay.engine.endpoint_list.accepts_requests("b1"))
    await old.expect("end")


async def new_address_has_an_older_list(place: Place) -> None:
    old, new = await place.watcher(place.discovery, 1), bound()
    old.send(HEAD + chunk_of(42, False, "Terminating"))
    await place.until(lambda: place.relay.engine.endpoint_list.version == 42)
    place.hup(discovery_address=SocketAddress(*new.getsockname()))
    peer = await place.watcher(new, 0)
    peer.send(HEAD + chunk_of(41, True, "Ready"))
    await place.until(lambda: place.relay.engine.endpoint_list.version == 41)
    assert not place.relay.engine.endpoint_list.accepts_requests("b1")
    peer.send(chunk_of(43, False, "Ready"))  # called back, in a change that is newer than the drain
    await place.until(lambda: place.relay.engine.endpoint_list.accepts_requests("b1"))


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("crossing", "limits"),
    [
        (heartbeats_then_silence, {"endpoint_watch_silence_us": 60_000}),
        (a_head_that_trickles, {"endpoint_watch_response_timeout_us": 60_000}),
        (truncated_answer, {"endpoint_watch_silence_us": 60_000}),
        (new_address_hangs, {"endpoint_watch_response_timeout_us": 60_000}),
        (new_address_has_an_older_list, {}),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
async def test_on_sockets(crossing: Play, limits: dict[str, int], capsys: pytest.CaptureFixture[str]) -> None:
    await played(Place(**QUICK | limits), crossing, capsys)
