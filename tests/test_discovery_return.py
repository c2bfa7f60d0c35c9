"""Tests that a change is applied within 6 s after discovery becomes reachable again, whatever failed before.

Most tests run the real engine and balancer on a simulated clock, with models of discovery and of the watch's
driver. The driver's timeouts (what extends them, and their use after a change of address) are tested on
loopback sockets.
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
from tests.relay_harness import (  # noqa: F401
    HEARTBEAT_CHUNK,
    SHORT_TIMES,
    WATCH_RESPONSE_HEAD,
    Peer,
    RelayHarness,
    Scenario,
    anyio_backend,
    listening_socket,
    run_scenario,
)
from tests.scenario import CLASSES, run_script

# A change must be applied this long after discovery has the change and is reachable.
CHANGE_IN_FORCE_US = 6 * SECOND
# Nothing new may be sent to a draining endpoint this long after its drain must be applied.
DRAIN_GRACE_US = 500_000
# A relay may be held up for this long between reading its clock and writing.
MAX_HOLD_UP_US = 150_000
# Discovery fails a call that has waited longer than this for its turn.
MAX_CALL_US = 3 * SECOND
HEARTBEAT_US = 2 * SECOND
LIMITS = Limits()
NEVER = 1 << 62
RELAY_COUNT = 200


def listed(host: str, state: int = EndpointStatus.READY) -> ListedEndpoint:
    return ListedEndpoint(EndpointEntry(host, state=state), "127.0.0.1:1")


@dataclass
class DiscoveryModel:
    """A model of discovery, reachable from `reachable_us` on. Earlier calls fail in randomly drawn ways."""

    random: random.Random
    reachable_us: int
    max_latency_us: int  # upper bound for the first answer of a reachable discovery
    min_latency_us: int = 0
    failures: tuple[str, ...] = ("refused", "silent", "slow", "half", "503")
    calls_us: list[int] = field(default_factory=list)
    b1_drains: bool = False  # the endpoint list reports b1 as draining

    def answer(self) -> MembershipUpdate:
        return (
            MembershipUpdate(9, False, [listed("b1", EndpointStatus.DRAINING)])
            if self.b1_drains
            else MembershipUpdate(1, False)
        )

    def call(self, now_us: int) -> tuple[int, bool]:
        """Return when this call ends and whether it gets an answer, as the driver of the watch sees it."""
        self.calls_us.append(now_us)
        if now_us >= self.reachable_us:
            return now_us + self.random.randrange(self.min_latency_us, self.max_latency_us), True
        kind = self.random.choice(self.failures)
        if kind == "refused":
            return now_us + self.random.randrange(2_000), False
        if kind == "503":  # the error response arrives at the latest when the outage ends
            return min(self.reachable_us, now_us + self.random.randrange(2 * SECOND)), False
        if kind == "half":  # the response head arrives by the end of the outage, and nothing follows it
            head_us = min(
                self.reachable_us, now_us + self.random.randrange(LIMITS.endpoint_watch_response_timeout_us)
            )
            return head_us + LIMITS.endpoint_watch_silence_us, False
        # There is no response head, or an incomplete one.
        return now_us + LIMITS.endpoint_watch_response_timeout_us, False


class RelayModel:
    """An engine on a simulated clock, with a model of the driver that executes its commands."""

    def __init__(self, seed: int, discovery: DiscoveryModel, now_us: int, **changes: object) -> None:
        self.now_us, self.discovery = now_us, discovery
        values: dict[str, object] = {
            "polls_endpoint_list": True,
            "relay_count": RELAY_COUNT,
            "classes": CLASSES,
        }
        self.call_ends_us, self.call_succeeds = NEVER, False
        self.call_overdue_us = NEVER  # end of the current call's timeout, if it is not answered before
        self.overdue_call_ends_us, self.overdue_call_succeeds = NEVER, False
        self.answered_late = False  # the overdue call was answered before the engine commanded the next call
        membership = MembershipUpdate(1, True, [listed("b1"), listed("b2")])
        self.engine = e.Engine(settings(**(values | changes)), LIMITS, seed, membership, now_us)
        self.execute_commands()

    def execute_commands(self) -> None:
        commands = self.engine.commands
        while commands:
            command = commands.popleft()
            if isinstance(command, e.SetEndpointWatch):
                self.open_call()
            elif isinstance(command, e.StartLoadProbe):
                self.engine.load_probe_ended(command.endpoint_id, AttemptStatus.OK, (10.0, 0.5), self.now_us)

    def open_call(self) -> None:
        """Make a call, unless the overdue call has become the watch in the meantime."""
        if self.answered_late:
            self.answered_late = False
            self.engine.endpoint_update_received(MembershipUpdate(1, False), self.now_us)
            return
        self.call_ends_us, self.call_succeeds = self.discovery.call(self.now_us)
        self.call_overdue_us = NEVER
        if self.call_ends_us > self.now_us + LIMITS.endpoint_watch_response_timeout_us:
            self.call_overdue_us = self.now_us + LIMITS.endpoint_watch_response_timeout_us

    def next_due(self) -> int:
        calls_us = (self.call_ends_us, self.call_overdue_us, self.overdue_call_ends_us)
        return min(self.engine.next_due(), *calls_us)

    def run(self, until_us: int) -> None:
        while (due := self.next_due()) <= until_us:
            self.now_us = max(self.now_us, due)
            if self.overdue_call_ends_us <= self.now_us:
                self.end_overdue_call()
            elif self.call_overdue_us <= self.now_us:
                self.make_call_overdue()
            elif self.call_ends_us <= self.now_us:
                self.end_call()
            else:
                self.engine.advance(self.now_us)
            self.execute_commands()
        self.now_us = until_us

    def end_call(self) -> None:
        self.call_ends_us = NEVER
        if self.call_succeeds:
            self.overdue_call_ends_us = NEVER
            self.engine.endpoint_update_received(self.discovery.answer(), self.now_us)
        else:
            self.engine.endpoint_watch_failed("failed", self.now_us)

    def make_call_overdue(self) -> None:
        self.overdue_call_ends_us, self.overdue_call_succeeds = self.call_ends_us, self.call_succeeds
        self.call_ends_us = self.call_overdue_us = NEVER
        self.engine.endpoint_watch_failed("no answer yet", self.now_us)

    def end_overdue_call(self) -> None:
        self.overdue_call_ends_us = NEVER
        if self.overdue_call_succeeds:
            self.answered_late = self.call_ends_us == NEVER
            self.call_ends_us = self.call_overdue_us = NEVER
            self.engine.endpoint_update_received(self.discovery.answer(), self.now_us)

    def open_watch(self) -> None:
        """Answer the current call, which opens the watch."""
        self.engine.endpoint_update_received(MembershipUpdate(1, False), self.now_us)
        self.call_ends_us = NEVER
        self.execute_commands()

    def has_applied_drain(self) -> bool:
        endpoint = self.engine.balancer.state.endpoints["b1"]
        return (
            not self.engine.endpoint_list.accepts_requests("b1")
            and endpoint.status == EndpointStatus.DRAINING
        )


def relay_with_open_watch(
    rng: random.Random, reachable_us: int, begin_us: int, **changes: object
) -> RelayModel:
    """Return a relay whose watch is open at `begin_us`. Discovery is unreachable until `reachable_us`."""
    max_answer_us = rng.choice([50_000, SECOND, LIMITS.endpoint_watch_response_timeout_us - 20_000])
    discovery = DiscoveryModel(rng, 0, max_answer_us)
    relay = RelayModel(rng.getrandbits(32), discovery, begin_us - 5 * SECOND, **changes)
    relay.run(begin_us)
    relay.open_watch()
    discovery.calls_us.clear()
    discovery.reachable_us, discovery.b1_drains = reachable_us, True
    return relay


@pytest.mark.parametrize("seed", range(300))
def test_a_drain_is_in_force_6_s_after_discovery_had_it_and_could_be_reached(seed: int) -> None:
    rng, begin = random.Random(seed), 1_700_000_000 * SECOND
    unreachable_us = rng.choice(
        [0, rng.randrange(SECOND), rng.randrange(8 * SECOND), rng.randrange(8 * SECOND, 60 * SECOND)]
    )
    poll_interval_us = rng.choice([100_000, SECOND, 10 * SECOND, 60 * SECOND, 3_600 * SECOND])
    relay = relay_with_open_watch(
        rng,
        begin + unreachable_us,
        begin,
        polls_endpoint_list=seed % 4 > 0,
        poll_interval_us=poll_interval_us,
    )
    watch_loss = rng.choice(["reset", "silent", "silent"])  # how the open watch is lost
    relay.call_ends_us = begin + (
        LIMITS.endpoint_watch_silence_us if watch_loss == "silent" else rng.randrange(1 + unreachable_us // 2)
    )
    relay.call_succeeds = False
    relay.run(begin + unreachable_us + CHANGE_IN_FORCE_US)
    assert relay.has_applied_drain(), (watch_loss, unreachable_us / SECOND, poll_interval_us / SECOND)


@pytest.mark.parametrize("seed", range(300))
def test_a_drain_is_in_force_in_time_beside_a_crowded_discovery(seed: int) -> None:
    """Guards against relays that never learn of a drain while each call waits for most of the time that
    discovery allows (review case 3).
    """
    rng, begin = random.Random(seed), 1_700_000_000 * SECOND
    unreachable_us = rng.choice([0, rng.randrange(SECOND), rng.randrange(8 * SECOND)])
    relay = relay_with_open_watch(rng, begin + unreachable_us, begin, polls_endpoint_list=seed % 4 > 0)
    relay.discovery.max_latency_us = MAX_CALL_US
    relay.discovery.min_latency_us = rng.choice([0, SECOND, MAX_CALL_US - 100_000])
    relay.call_ends_us = begin + (
        LIMITS.endpoint_watch_silence_us if rng.random() < 0.5 else rng.randrange(1 + unreachable_us // 2)
    )
    relay.call_succeeds = False
    relay.run(begin + unreachable_us + CHANGE_IN_FORCE_US + DRAIN_GRACE_US - MAX_HOLD_UP_US)
    assert relay.has_applied_drain()


@pytest.mark.parametrize("poll_interval_us", [SECOND, 10 * SECOND, 3_600 * SECOND])
def test_a_new_relay_applies_a_drain_within_6_s(poll_interval_us: int) -> None:
    for seed in range(50):
        rng, begin = random.Random(seed), 1_700_000_000 * SECOND
        draining_discovery = DiscoveryModel(rng, 0, LIMITS.endpoint_watch_response_timeout_us, b1_drains=True)
        relay = RelayModel(seed, draining_discovery, begin, poll_interval_us=poll_interval_us)
        relay.run(begin + CHANGE_IN_FORCE_US)
        assert relay.has_applied_drain()


def test_the_timeouts_of_a_poll_add_up_to_less_than_6_s() -> None:
    """After a call that hangs, a refused call or a silent watch, the backoff and the slowest answer still
    fit.
    """
    backoff, call = endpoint_polling.FIRST_BACKOFF_US, LIMITS.endpoint_watch_response_timeout_us
    assert max(call, endpoint_polling.MAX_ROUND_US) + call < CHANGE_IN_FORCE_US - 50_000
    assert LIMITS.endpoint_watch_silence_us + backoff + call < CHANGE_IN_FORCE_US - 50_000
    # After a change of address, the driver makes the first call without a command of the balancer.
    assert call + backoff + call <= CHANGE_IN_FORCE_US - 50_000
    assert LIMITS.endpoint_watch_silence_us >= HEARTBEAT_US + 500_000


def test_the_slowest_answer_of_a_crowded_discovery_comes_within_the_grace_of_a_drain() -> None:
    backoff = endpoint_polling.FIRST_BACKOFF_US
    latest_call_us = max(
        endpoint_polling.MAX_ROUND_US,
        LIMITS.endpoint_watch_response_timeout_us + backoff,
        LIMITS.endpoint_watch_silence_us + backoff,
    )
    assert latest_call_us + MAX_CALL_US < CHANGE_IN_FORCE_US + DRAIN_GRACE_US - MAX_HOLD_UP_US


def test_a_slow_answer_is_awaited_however_short_the_poll_interval() -> None:
    """Discovery serves one call at a time, so a call that waits in its queue must not be replaced."""
    rng, begin = random.Random(3), 1_700_000_000 * SECOND
    relay = relay_with_open_watch(rng, begin, begin, poll_interval_us=50_000)
    relay.discovery.max_latency_us = 9 * SECOND
    relay.call_ends_us, relay.call_succeeds = begin, False
    calls = relay.discovery.calls_us
    while not calls:
        relay.run(relay.now_us + 10_000)
    relay.call_ends_us = relay.now_us + 2_700_000  # just before the response timeout
    relay.run(relay.call_ends_us - 1)
    assert len(calls) == 1
    relay.run(relay.now_us + 2)
    assert relay.has_applied_drain()


def test_200_relays_back_off_while_discovery_is_unreachable_and_return_spread() -> None:
    begin, calls = 1_700_000_000 * SECOND, list[int]()
    for seed in range(RELAY_COUNT):
        rng = random.Random(seed)
        relay = relay_with_open_watch(rng, begin + 30 * SECOND, begin)
        relay.discovery.failures, relay.discovery.max_latency_us = ("refused",), 50_000
        relay.call_ends_us, relay.call_succeeds = begin, False  # all watches end at the same time
        relay.run(begin + 40 * SECOND)
        calls += [call_us - begin for call_us in relay.discovery.calls_us]
    unreachable = [call_us for call_us in calls if 10 * SECOND <= call_us < 30 * SECOND]
    assert len(unreachable) / 20 < 100
    returning = [call_us - 30 * SECOND for call_us in calls if call_us >= 30 * SECOND]
    assert len(returning) == RELAY_COUNT  # one call of each relay
    busiest = max(
        sum(call_us <= other_us < call_us + 250_000 for other_us in returning) for call_us in returning
    )
    assert busiest < 40  # calls of 200 relays within 0.25 s


UPDATE = '{"seq":%d,"whole":%s,"hosts":[%s]}'
HOST_B1 = '{"host":"b1","dial":"127.0.0.1:1","health":"%s","born_ms":0}'
HOST_B2 = '{"host":"b2","dial":"127.0.0.1:2","health":"Ready"}'
DRAIN_B1 = "discovery send " + UPDATE % (42, "false", HOST_B1 % "Terminating")


@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize(
    "next_steps",
    [
        "settings reload 2 plain:repeatable",
        "discovery close\nsettings reload 2 plain:repeatable\ntime wait 4000",
        # Complete lists without b1.
        "\n".join("discovery send " + UPDATE % (seq, "true", HOST_B2) for seq in range(43, 63)),
        "\n".join(
            "discovery send " + UPDATE % (seq, "true", HOST_B1 % "Terminating" + "," + HOST_B2)
            for seq in range(43, 63)
        ),
        f"discovery close\ndiscovery reopen {UPDATE % (7, 'true', HOST_B1 % 'Ready' + ',' + HOST_B2)}",
    ],
    ids=["reload", "reload, no watch", "complete lists without it", "complete lists with it", "older list"],
)
def test_a_drain_stays_in_force_after(next_steps: str, pushed: bool) -> None:
    script = "\n".join(f"c{number} send OPEN {number}a 0b c=plain,d=2000" for number in range(1, 6))
    scenario = run_script(f"{DRAIN_B1}\n{next_steps}\n{script}", pushed=pushed)
    assert {command.endpoint_id for command, _ in scenario.upstreams.values()} == {"b2"}
    assert len(scenario.upstreams) == 5


def test_a_reload_to_polling_starts_polling() -> None:
    """The reload comes between two calls of a pushed list's watch; no other event would reopen the watch."""
    scenario = run_script(
        "discovery expect watch 41\ndiscovery close\ntime wait 0\ndiscovery expect watch 41\ndiscovery close",
        pushed=True,
    )
    scenario.engine.reload(
        replace(scenario.settings, polls_endpoint_list=True), scenario.limits, scenario.now_us
    )
    scenario.run_script("discovery expect nothing\ntime wait 450\ndiscovery expect watch 41")


def chunk_of(version: int, whole: bool, health: str) -> str:
    line = UPDATE % (version, "true" if whole else "false", HOST_B1 % health)
    return rf"{len(line) + 1:x}\r\n{line}\n\r\n"


def watch_failures(harness: RelayHarness) -> int:
    return harness.relay.engine.counters.counts["endpoint_watch_failures"]


async def heartbeats_then_silence(harness: RelayHarness) -> None:
    watcher = await harness.accept_watch(harness.discovery_listener, 1)
    watcher.send(WATCH_RESPONSE_HEAD + HEARTBEAT_CHUNK)
    for version in range(2, 12):  # takes more than three times the silence timeout
        await harness.wait_until(lambda seen=version - 1: harness.relay.engine.endpoint_list.version == seen)  # type: ignore[misc]
        await anyio.sleep(0.02)
        watcher.send(chunk_of(version, False, "Ready"))
    await harness.wait_until(lambda: harness.relay.engine.endpoint_list.version == 11)
    assert not watch_failures(harness)
    next_watcher = await harness.accept_watch(harness.discovery_listener, 11)
    await watcher.expect("end")
    assert watch_failures(harness) == 1
    next_watcher.send(WATCH_RESPONSE_HEAD + chunk_of(12, False, "Terminating"))
    await harness.wait_until(lambda: not harness.relay.engine.endpoint_list.accepts_requests("b1"))


async def incomplete_head(harness: RelayHarness) -> None:
    watcher = await harness.accept_watch(harness.discovery_listener, 1)
    watcher.send(WATCH_RESPONSE_HEAD[:20])
    with contextlib.suppress(BrokenPipeError, ConnectionResetError):
        for _ in range(400):
            watcher.send("x")
            await anyio.sleep(0.005)
            if watch_failures(harness):
                break
    assert watch_failures(harness) == 1
    next_watcher = await harness.accept_watch(harness.discovery_listener, 1)
    next_watcher.send(WATCH_RESPONSE_HEAD + HEARTBEAT_CHUNK)
    await harness.wait_until(lambda: harness.relay.endpoint_watch.calls.has_answered)


async def truncated_answer(harness: RelayHarness) -> None:
    truncated = await harness.accept_watch(harness.discovery_listener, 1)
    truncated.send(WATCH_RESPONSE_HEAD + chunk_of(2, True, "Ready")[:40])
    complete = await harness.accept_watch(harness.discovery_listener, 1)
    complete.send(WATCH_RESPONSE_HEAD + chunk_of(2, True, "Terminating"))
    await harness.wait_until(lambda: not harness.relay.engine.endpoint_list.accepts_requests("b1"))
    assert watch_failures(harness) == 1


async def new_address_hangs(harness: RelayHarness) -> None:
    old, new = await harness.accept_watch(harness.discovery_listener, 1), listening_socket()
    old.send(WATCH_RESPONSE_HEAD + HEARTBEAT_CHUNK)
    await harness.wait_until(lambda: harness.relay.endpoint_watch.calls.has_answered)
    harness.reload(discovery_address=SocketAddress(*new.getsockname()))
    unanswered_watches: list[Peer] = []
    for count in range(3):  # updates from the old address count until the new one answers
        unanswered_watches.append(await harness.accept_watch(new, 0))
        assert watch_failures(harness) == count
        old.send(chunk_of(40 + count, False, "Terminating" if count == 1 else "Ready"))
        await harness.wait_until(lambda seen=40 + count: harness.relay.engine.endpoint_list.version == seen)  # type: ignore[misc]
        assert harness.relay.engine.endpoint_list.accepts_requests("b1") is (count != 1)
        old.send(HEARTBEAT_CHUNK)
    answers = await harness.accept_watch(new, 0)
    answers.send(WATCH_RESPONSE_HEAD + chunk_of(50, True, "Terminating"))
    await harness.wait_until(lambda: not harness.relay.engine.endpoint_list.accepts_requests("b1"))
    await old.expect("end")


async def new_address_has_an_older_list(harness: RelayHarness) -> None:
    old, new = await harness.accept_watch(harness.discovery_listener, 1), listening_socket()
    old.send(WATCH_RESPONSE_HEAD + chunk_of(42, False, "Terminating"))
    await harness.wait_until(lambda: harness.relay.engine.endpoint_list.version == 42)
    harness.reload(discovery_address=SocketAddress(*new.getsockname()))
    peer = await harness.accept_watch(new, 0)
    peer.send(WATCH_RESPONSE_HEAD + chunk_of(41, True, "Ready"))
    await harness.wait_until(lambda: harness.relay.engine.endpoint_list.version == 41)
    assert not harness.relay.engine.endpoint_list.accepts_requests("b1")
    peer.send(chunk_of(43, False, "Ready"))  # newer than the drain, so b1 is ready again
    await harness.wait_until(lambda: harness.relay.engine.endpoint_list.accepts_requests("b1"))


async def an_open_watch_beside_a_reload_that_renumbers_zones(harness: RelayHarness) -> None:
    watcher = await harness.accept_watch(harness.discovery_listener, 1)
    watcher.send(WATCH_RESPONSE_HEAD + HEARTBEAT_CHUNK)
    await harness.wait_until(lambda: harness.relay.endpoint_watch.calls.has_answered)
    harness.reload(settings=replace(harness.config.settings, zone_names=["a", "b"]))
    await harness.wait_until(lambda: harness.relay.engine.counters.counts["reloads"] == 1)
    line = UPDATE % (2, "false", HOST_B1.replace('"health"', '"site":"b","health"') % "Ready")
    watcher.send(rf"{len(line) + 1:x}\r\n{line}\n\r\n")
    await harness.wait_until(lambda: harness.relay.engine.endpoint_list.version == 2)
    assert harness.relay.engine.endpoint_list.entries["b1"].zone == 1
    assert harness.relay.engine.balancer.state.endpoints["b1"].zone == 1


async def every_answer_is_late(harness: RelayHarness) -> None:
    """Guards against calls that are closed shortly before discovery answers them, one after another without
    end (review case 3).
    """
    late = await harness.accept_watch(harness.discovery_listener, 1)
    await harness.wait_until(lambda: watch_failures(harness) == 1)  # the timeout has passed
    late.send(WATCH_RESPONSE_HEAD + chunk_of(2, True, "Ready"))
    await harness.wait_until(lambda: harness.relay.engine.endpoint_list.version == 2)
    late.send(chunk_of(3, False, "Terminating"))
    await harness.wait_until(lambda: not harness.relay.engine.endpoint_list.accepts_requests("b1"))
    await harness.wait_until(lambda: harness.relay.engine.balancer.endpoint_polling.is_subscribed)
    assert harness.relay.engine.counters.counts["endpoint_watch_late_answers"] == 1
    with pytest.raises(BlockingIOError):
        harness.discovery_listener.accept()  # the engine's command after the failure made no further call


async def an_answer_after_the_next_call(harness: RelayHarness) -> None:
    late = await harness.accept_watch(harness.discovery_listener, 1)
    later = await harness.accept_watch(harness.discovery_listener, 1)
    late.send(WATCH_RESPONSE_HEAD + chunk_of(2, True, "Terminating"))
    await later.expect("end")
    assert not harness.relay.engine.endpoint_list.accepts_requests("b1")
    assert harness.relay.engine.balancer.endpoint_polling.is_subscribed
    late.send(chunk_of(3, False, "Ready"))
    await harness.wait_until(lambda: harness.relay.engine.endpoint_list.accepts_requests("b1"))


async def the_next_call_is_answered_first(harness: RelayHarness) -> None:
    hung = await harness.accept_watch(harness.discovery_listener, 1)
    answers = await harness.accept_watch(harness.discovery_listener, 1)
    answers.send(WATCH_RESPONSE_HEAD + chunk_of(2, True, "Terminating"))
    await hung.expect("end")
    assert not harness.relay.engine.endpoint_list.accepts_requests("b1")
    assert harness.relay.engine.counters.counts["endpoint_watch_late_answers"] == 0


async def hung_calls_do_not_pile_up(harness: RelayHarness) -> None:
    first = await harness.accept_watch(harness.discovery_listener, 1)
    second = await harness.accept_watch(harness.discovery_listener, 1)
    third = await harness.accept_watch(harness.discovery_listener, 1)
    await first.expect("end")
    second.send(WATCH_RESPONSE_HEAD + HEARTBEAT_CHUNK)
    await third.expect("end")
    assert harness.relay.endpoint_watch.calls.has_answered


async def an_overdue_call_fails(harness: RelayHarness) -> None:
    overdue = await harness.accept_watch(harness.discovery_listener, 1)
    await harness.wait_until(lambda: watch_failures(harness) == 1)
    overdue.send(r"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
    await overdue.expect("end")
    answers = await harness.accept_watch(harness.discovery_listener, 1)
    assert watch_failures(harness) == 1  # the failure of one call is reported once
    answers.send(WATCH_RESPONSE_HEAD + chunk_of(2, True, "Terminating"))
    await harness.wait_until(lambda: not harness.relay.engine.endpoint_list.accepts_requests("b1"))


async def a_late_answer_from_the_previous_address(harness: RelayHarness) -> None:
    previous, new = await harness.accept_watch(harness.discovery_listener, 1), listening_socket()
    await harness.wait_until(lambda: watch_failures(harness) == 1)
    harness.reload(discovery_address=SocketAddress(*new.getsockname()))
    peer = await harness.accept_watch(new, 0)
    await previous.expect("end")
    peer.send(WATCH_RESPONSE_HEAD + chunk_of(2, True, "Terminating"))
    await harness.wait_until(lambda: not harness.relay.engine.endpoint_list.accepts_requests("b1"))


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("scenario", "limits"),
    [
        (heartbeats_then_silence, {"endpoint_watch_silence_us": 60_000}),
        (incomplete_head, {"endpoint_watch_response_timeout_us": 60_000}),
        (truncated_answer, {"endpoint_watch_silence_us": 60_000}),
        (new_address_hangs, {"endpoint_watch_response_timeout_us": 60_000}),
        (new_address_has_an_older_list, {}),
        (an_open_watch_beside_a_reload_that_renumbers_zones, {}),
        (every_answer_is_late, {"endpoint_watch_response_timeout_us": 60_000}),
        (an_answer_after_the_next_call, {"endpoint_watch_response_timeout_us": 60_000}),
        (the_next_call_is_answered_first, {"endpoint_watch_response_timeout_us": 60_000}),
        (hung_calls_do_not_pile_up, {"endpoint_watch_response_timeout_us": 60_000}),
        (an_overdue_call_fails, {"endpoint_watch_response_timeout_us": 60_000}),
        (a_late_answer_from_the_previous_address, {"endpoint_watch_response_timeout_us": 60_000}),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
async def test_on_sockets(
    scenario: Scenario, limits: dict[str, int], capsys: pytest.CaptureFixture[str]
) -> None:
    await run_scenario(RelayHarness(SHORT_TIMES | limits), scenario, capsys)
