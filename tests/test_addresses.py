"""Addresses: literals, rules, the order in which they are tried, their health, and the connection race."""

import contextlib
import os
import random
import socket
from collections.abc import Iterator, Sequence
from pathlib import Path
from types import SimpleNamespace

import anyio
import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from gannetweir.addresses.address import Address, AddressError, parse_address
from gannetweir.addresses.address_selector import AddressSelector
from gannetweir.addresses.connection_race import (
    CloseConnection,
    ConnectionRace,
    RaceAction,
    RaceLost,
    RaceWon,
    SetTimer,
    StartConnect,
)
from gannetweir.addresses.rules import AddressRules, EndpointRule
from gannetweir.config.operators_file import OperatorsFileError, parse_operators_file
from gannetweir.core import Engine
from gannetweir.limits import Limits
from gannetweir.membership.membership_update import ListedEndpoint, MembershipUpdate
from gannetweir.net.dialer import AddressRaceDriver
from gannetweir.placement.events import EndpointEntry
from tests.helpers import settings

MS, SECOND = 1000, 1_000_000
V4, V6, UNIX = "10.1.0.18:8080", "[fd00::18]:8080", "unix:/run/a.sock"

VALID_LITERALS = {
    V4: V4,
    V6: V6,
    UNIX: UNIX,
    "127.0.0.1:1": "127.0.0.1:1",
    "[::1]:65535": "[::1]:65535",
    "[FD00:0:0:0:0:0:0:18]:8080": V6,
    "[fe80::1%eth0]:80": "[fe80::1%eth0]:80",
    "unix://run//./a.sock": UNIX,
    f"unix:/{'x' * 106}": f"unix:/{'x' * 106}",
}
INVALID_LITERALS = [
    "",
    ":",
    "host:80",
    "10.1.0.18",
    "10.1.0.18:",
    "10.1.0.18:0",
    "10.1.0.18:65536",
    "10.1.0.18:080",
    "10.1.0.18:+80",
    "10.1.0.18: 80",
    "10.1.0.018:80",
    "10.1.0:80",
    "0.0.0.0:80",
    "224.0.0.1:80",
    "255.255.255.255:80",
    "fd00::18:80",
    "[fd00::18]",
    "[fd00::18]:",
    "[::]:80",
    "[ff02::1]:80",
    "[fe80::1]:80",
    "[fd00::1%eth0]:80",
    "[fe80::1%]:80",
    "[fe80::1%a b]:80",
    "[::ffff:10.0.0.1]:80",
    "[fd00::g]:80",
    "[]:80",
    "unix:",
    "unix:run/a.sock",
    "unix:/",
    "unix:/run/",
    "unix:/run/../a",
    "unix:/a\0b",
    f"unix:/{'x' * 107}",
    "\u0661\u0660.1.0.18:80",
    "10.1.0.18:\u0668\u0660",
    "unix:/" + "\u00e9" * 54,
]


@pytest.mark.parametrize(("text", "shown"), VALID_LITERALS.items())
def test_a_literal_is_parsed_to_its_shortest_form(text: str, shown: str) -> None:
    assert str(parse_address(text)) == shown
    assert parse_address(str(parse_address(text))) == parse_address(text)


@pytest.mark.parametrize("text", INVALID_LITERALS)
def test_a_malformed_literal_is_rejected_with_what_is_allowed(text: str) -> None:
    with pytest.raises(AddressError, match=r"\w{3}"):
        parse_address(text)


HEAD = "gannetweir version=1\n"
END = "\ndefault {\n}\n"
INVALID_SECTIONS = {
    "a host name": ('server "a" {\n address "push.example:80"\n}', 2, ["push.example", "no DNS"]),
    "an address of two servers": (
        f'server "a" {{\n address "{V4}"\n}}\nserver "b" {{\n address "{V4}"\n}}',
        5,
        ["a's already"],
    ),
    "an address of two servers in two notations": (
        'server "a" {\n address "[fd00::18]:1"\n}\nserver "b" {\n address "[fd00:0::18]:1"\n}',
        5,
        ["already"],
    ),
    "an address without a placeholder for a pattern": (
        f'server "s-*" {{\n address "{V4}"\n}}',
        2,
        ["{host}", "every server"],
    ),
    "a pattern with the address of another server": (
        'server "a" {\n address "unix:/run/a.sock"\n}\nserver "*" {\n address "unix:/run/{host}.sock"\n}',
        5,
        ["unix:/run/a.sock", "already"],
    ),
    "two servers of one name": ('server "a" {\n}\nserver "a" {\n}', 4, ["second server"]),
    "no address at all": ('server "a" {\n dial #false\n}', 2, ["no address"]),
    "an unknown node": ('server "a" {\n adress "x"\n}', 3, ["unknown", "address, dial"]),
    "an unknown family": ('reach {\n prefer "ipv5"\n}', 3, ["ipv5", "unix"]),
    "a family twice": ('reach {\n prefer "unix" "unix"\n}', 3, ["same value twice"]),
    "a fallback over half the connect timeout": ('reach {\n fallback "200ms"\n}', 0, ["200ms", "125ms"]),
    "a server without a name": ("server {\n}", 2, ["#null"]),
    "a socket path too long": (f'server "a" {{\n address "unix:/{"x" * 110}"\n}}', 2, ["107 bytes"]),
}


@pytest.mark.parametrize(("body", "line", "words"), INVALID_SECTIONS.values(), ids=INVALID_SECTIONS.keys())
def test_a_wrong_address_section_is_rejected_with_its_line(body: str, line: int, words: list[str]) -> None:
    from tests.test_operators_file import LIMITS, SETTINGS

    with pytest.raises(OperatorsFileError) as caught:
        parse_operators_file(HEAD + body + END, SETTINGS, LIMITS, endpoint_names=["a", "b"])
    found = [m for m in caught.value.mistakes if all(word in m.text("f") for word in words)]
    assert found, str(caught.value)
    assert not line or found[0].line == line, str(caught.value)


def test_addresses_of_the_file_come_before_those_that_discovery_lists() -> None:
    body = f'server "a" {{\n address "{V6}" "{UNIX}"\n}}\n'
    body += 'server "s-*" {\n address "unix:/r/{host}"\n dial #false\n}'
    _, rules = parse_operators_file(HEAD + body + END)
    assert rules is not None
    assert [str(a) for a in rules.addresses_of("a", V4)] == [V6, UNIX, V4]
    assert [str(a) for a in rules.addresses_of("s-7", V4)] == ["unix:/r/s-7"]
    assert [str(a) for a in rules.addresses_of("b", V4, [V6, V4, "nonsense"])] == [V6, V4]


def selector_of(*texts: str, **changes: object) -> AddressSelector:
    selector = AddressSelector(AddressRules(**changes), 1, 250 * MS)  # type: ignore[arg-type]
    selector.update_endpoint("a", texts[0], texts[1:])
    return selector


def shown(selector: AddressSelector, now: int = SECOND, probe: bool = False) -> list[str]:
    return [str(a) for a in selector.ordered_addresses("a", now, probe)]


def test_families_are_interleaved_by_preference() -> None:
    more = "10.1.0.19:8080", "[fd00::19]:8080"
    selector = selector_of(V4, more[0], V6, more[1], UNIX)
    # The `dial` address from discovery comes last in its family.
    assert shown(selector) == [UNIX, V6, more[0], more[1], V4]
    selector = selector_of(V4, more[0], V6, more[1], UNIX, family_preference=("ipv4", "unix"))
    assert shown(selector)[:3] == [more[0], UNIX, V6]


def test_an_address_that_connects_much_slower_comes_last() -> None:
    selector = selector_of(V4, V6)
    for _ in range(8):
        selector.record_connected("a", parse_address(V6), 2 * MS)
        selector.record_connected("a", parse_address(V4), MS)
    assert shown(selector) == [V6, V4]  # only twice as slow: the preference applies
    for _ in range(20):
        selector.record_connected("a", parse_address(V6), 60 * MS)
    assert shown(selector) == [V4, V6]


def test_an_address_that_responds_much_slower_comes_last() -> None:
    selector = selector_of(V4, V6, UNIX)
    for n in range(4):
        for text, response_time_us in ((UNIX, 151 * MS), (V6, 2 * MS), (V4, MS)):
            selector.record_connected("a", parse_address(text), MS)
            selector.record_response("a", parse_address(text), SECOND + n, response_time_us)
    assert shown(selector) == [V6, V4, UNIX]  # a difference of 1 ms is within the tolerance
    for n in range(12):
        selector.record_response("a", parse_address(UNIX), 2 * SECOND + n, MS)
    assert shown(selector) == [UNIX, V6, V4]


def test_an_unhealthy_address_comes_last_and_is_retried_by_one_at_a_time() -> None:
    selector, now = selector_of(V4, V6, UNIX), SECOND
    selector.record_connect_failure("a", parse_address(UNIX), now)
    assert shown(selector, now) == [V6, V4, UNIX]
    later = now + 600 * MS
    assert shown(selector, later) == [UNIX, V6, V4]  # the backoff is over: this caller retries the address
    assert shown(selector, later) == [V6, V4, UNIX]  # no other caller retries at the same time
    for n in range(20):
        selector.record_connect_failure("a", parse_address(UNIX), later + n)
    # The backoff is bounded, however often the address has failed.
    assert shown(selector, later + 4 * SECOND + MS)[0] == UNIX
    selector.record_response("a", parse_address(UNIX), later + 5 * SECOND)
    assert shown(selector, later + 5 * SECOND) == [UNIX, V6, V4]


def test_where_all_addresses_are_unhealthy_all_are_tried() -> None:
    selector = selector_of(V4, V6)
    for text in (V4, V6):
        selector.record_connect_failure("a", parse_address(text), SECOND)
    assert sorted(shown(selector, SECOND)) == sorted([V4, V6])


def test_load_probes_rotate_over_the_healthy_addresses() -> None:
    selector = selector_of(V4, V6, UNIX)
    probed = []
    for n in range(6):
        first = selector.ordered_addresses("a", SECOND + n, for_probe=True)[0]
        selector.record_response("a", first, SECOND + n)
        probed.append(str(first))
    assert sorted(probed[:3]) == sorted(probed[3:]) == sorted([V4, V6, UNIX])


def test_an_address_is_at_fault_for_silence_only_while_another_may_be_alive() -> None:
    selector = selector_of(V4, V6)
    selector.record_response("a", parse_address(V4), SECOND)
    assert selector.record_no_response("a", parse_address(V6), 2 * SECOND)
    assert not selector.record_no_response("a", parse_address(V4), 3 * SECOND)
    selector = selector_of(V4, V6)
    selector.record_response("a", parse_address(V4), SECOND)
    # An answer from long ago does not show that the endpoint is alive.
    assert not selector.record_no_response("a", parse_address(V6), 60 * SECOND)
    assert not selector_of(V4).record_no_response("a", parse_address(V4), SECOND)
    assert not selector_of(V4).record_no_response("b", parse_address(V4), SECOND)


def test_a_connect_that_lost_a_race_counts_as_failed_only_if_it_had_long_enough() -> None:
    selector = selector_of(V4, V6)
    selector.record_connected("a", parse_address(V6), 20 * MS)
    selector.record_lost_race("a", parse_address(V6), 40 * MS, SECOND)
    assert not selector.states_by_endpoint["a"][parse_address(V6)].is_unhealthy
    selector.record_lost_race("a", parse_address(V6), 90 * MS, SECOND)
    assert selector.states_by_endpoint["a"][parse_address(V6)].is_unhealthy


def test_a_reload_adds_and_removes_addresses_and_keeps_their_states() -> None:
    selector = selector_of(V4, V6)
    selector.record_connect_failure("a", parse_address(V4), SECOND)
    selector.apply_rules(AddressRules((EndpointRule("a", (UNIX,)),)), 250 * MS)
    assert selector.states_by_endpoint["a"][parse_address(V4)].is_unhealthy
    assert shown(selector)[0] == UNIX
    selector.apply_rules(
        AddressRules((EndpointRule("a", (UNIX,), includes_listed_addresses=False),)), 250 * MS
    )
    assert shown(selector) == [UNIX]
    selector.record_connect_failure("a", parse_address(V4), SECOND)  # a late event of a removed address
    selector.record_response("a", parse_address(V4), SECOND)
    selector.remove_endpoint("a")
    assert shown(selector) == []
    assert not selector.selects_address("a")


def test_an_address_belongs_to_one_endpoint() -> None:
    selector = selector_of(V4, V6)
    selector.update_endpoint("b", UNIX, (V6,))
    assert [str(a) for a in selector.ordered_addresses("b", 0)] == [UNIX]
    selector.remove_endpoint("a")
    selector.update_endpoint("b", UNIX, (V6, V4))
    assert len(selector.ordered_addresses("b", 0)) == 3


def test_a_reload_may_swap_the_addresses_of_two_endpoints() -> None:
    def rules_for(a: str, b: str) -> AddressRules:
        return AddressRules(
            (
                EndpointRule("a", (a, UNIX), includes_listed_addresses=False),
                EndpointRule("b", (b,), includes_listed_addresses=False),
            )
        )

    selector = AddressSelector(rules_for(V4, V6), 1, 250 * MS)
    selector.update_endpoint("a", "10.9.9.9:1")
    selector.update_endpoint("b", "10.9.9.8:1")
    selector.record_connect_failure("a", parse_address(UNIX), SECOND)
    selector.apply_rules(rules_for(V6, V4), 250 * MS)
    assert shown(selector) == [V6, UNIX]
    assert [str(a) for a in selector.ordered_addresses("b", 0)] == [V4]
    # The address that stays keeps its state.
    assert selector.states_by_endpoint["a"][parse_address(UNIX)].is_unhealthy


def test_a_single_address_of_the_file_replaces_the_listed_one() -> None:
    selector = AddressSelector(
        AddressRules((EndpointRule("a", (UNIX,), includes_listed_addresses=False),)), 1, 250 * MS
    )
    selector.update_endpoint("a", V4)
    selector.update_endpoint("b", V6)
    assert selector.selects_address("a")
    assert not selector.selects_address("b")
    assert not selector.selects_address("c")
    selector.update_endpoint("c", V6)  # the address belongs to another endpoint: none is left for this one
    assert selector.selects_address("c")
    assert selector.new_race("c", 0).start(0) == [RaceLost()]


def test_a_delta_updates_the_addresses_of_its_endpoints_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each change of a list of hundreds sends a delta, which must update only the endpoints it names.

    A snapshot also removes the endpoints that it lacks.
    """
    listed = [
        ListedEndpoint(EndpointEntry(f"s{n}"), f"10.0.{n}.1:80", (f"unix:/run/{n}",)) for n in range(200)
    ]
    engine = Engine(settings(), Limits(), 1, MembershipUpdate(1, True, listed), SECOND)
    assert engine.address_selector is not None
    assert engine.address_selector.selects_address("s199")
    updated: list[str] = []
    update_endpoint = engine.address_selector.update_endpoint

    def recorded(endpoint_name: str, address: str, additional_addresses: Sequence[str] = ()) -> None:
        updated.append(endpoint_name)
        update_endpoint(endpoint_name, address, additional_addresses)

    monkeypatch.setattr(engine.address_selector, "update_endpoint", recorded)
    engine.endpoint_update_received(MembershipUpdate(2, False, [listed[7]]), 2 * SECOND)
    assert updated == ["s7"]
    engine.endpoint_update_received(MembershipUpdate(3, True, listed[:3]), 3 * SECOND)
    assert set(engine.address_selector.states_by_endpoint) == {"s0", "s1", "s2"}


def addresses(count: int) -> list[Address]:
    return [parse_address(f"10.0.0.{n + 1}:80") for n in range(count)]


def test_the_next_address_is_tried_after_its_delay_or_at_once_after_a_failure() -> None:
    a, b, c = addresses(3)
    race = ConnectionRace([a, b, c], [30, 30, 30])
    assert race.start(0) == [StartConnect(a), SetTimer(30)]
    assert race.timer_expired(29) == []
    assert race.timer_expired(30) == [StartConnect(b), SetTimer(30)]
    assert race.attempt_failed(b, 40) == [StartConnect(c)]
    assert race.timer_expired(60) == []
    assert race.attempt_connected(c, 50) == [CloseConnection(a, 50), RaceWon(c, 10)]
    assert race.attempt_connected(a, 51) == [CloseConnection(a, -1)]  # established after another has won
    assert race.attempt_failed(a, 52) == []
    assert race.cancel(53) == []
    assert race.timer_expired(99) == []


def test_a_race_without_a_winner_is_lost_once() -> None:
    a, b = addresses(2)
    race = ConnectionRace([a, b], [30, 30])
    race.start(0)
    assert race.attempt_failed(a, 1) == [StartConnect(b)]
    assert race.attempt_failed(b, 2) == [RaceLost()]
    assert race.attempt_failed(b, 3) == []
    assert ConnectionRace([], []).start(0) == [RaceLost()]


def test_cancelled_attempts_are_tried_again_after_the_oldest_fails() -> None:
    a, b, c = addresses(3)
    race = ConnectionRace([a, b, c], [30, 30, 30])
    race.start(0)
    race.timer_expired(30)
    assert race.cancel_all_but_oldest() == [CloseConnection(b, 0)]
    assert race.cancel_all_but_oldest() == []
    assert race.timer_expired(60) == []
    assert race.attempt_failed(a, 70) == [StartConnect(c), SetTimer(30)]
    assert race.attempt_failed(c, 80) == [StartConnect(b)]
    assert race.attempt_connected(b, 90) == [RaceWon(b, 10)]


class RecordedRace:
    """A race, with a record of its attempts and of its end."""

    def __init__(self, order: list[Address], delays_us: list[int]) -> None:
        self.race = ConnectionRace(order, delays_us)
        self.attempted: list[Address] = []
        self.closed: list[Address] = []
        self.failed: set[Address] = set()
        self.ends: list[RaceWon | RaceLost] = []

    def carry_out(self, actions: list[RaceAction]) -> None:
        for action in actions:
            if isinstance(action, StartConnect):
                assert action.address not in self.attempted or action.address in self.closed
                self.attempted.append(action.address)
            elif isinstance(action, CloseConnection):
                self.closed.append(action.address)
            elif isinstance(action, RaceWon | RaceLost):
                self.ends.append(action)

    def play(self, event: str, rng: random.Random, now_us: int) -> None:
        if event == "timer":
            self.carry_out(self.race.timer_expired(now_us))
        elif event == "cancel all but the oldest":
            self.carry_out(self.race.cancel_all_but_oldest())
        elif event == "cancel":
            self.carry_out(self.race.cancel(now_us))
        elif self.attempted:
            self._end_attempt(event, rng.choice(self.attempted), now_us)

    def _end_attempt(self, event: str, address: Address, now_us: int) -> None:
        if event == "connected":
            self.carry_out(self.race.attempt_connected(address, now_us))
            return
        if address in self.race.started_us:
            self.failed.add(address)
        self.carry_out(self.race.attempt_failed(address, now_us))


def random_race_event(rng: random.Random) -> str:
    rare = "cancel" if rng.random() < 0.05 else "timer"
    return rng.choice(["connected", "failed", "timer", "timer", "cancel all but the oldest", rare])


@profile(max_examples=500, deadline=None, derandomize=True)
@given(st.integers(0, 5), st.integers(0, 10_000))
def test_in_any_order_of_events_at_most_one_wins_and_all_others_are_closed(count: int, seed: int) -> None:
    """Random orders of connects, failures, timers, cancellations and late events: a race ends at most once,
    and each attempt that was started has won, failed, or been closed.
    """
    rng, order = random.Random(seed), addresses(count)
    recorded, now_us = RecordedRace(order, [rng.choice([0, 10, 50]) for _ in order]), 0
    recorded.carry_out(recorded.race.start(now_us))
    for _ in range(40):
        now_us += rng.randrange(20)
        recorded.play(random_race_event(rng), rng, now_us)
    recorded.carry_out(recorded.race.cancel(now_us))
    assert len(recorded.ends) <= 1
    assert not recorded.race.started_us
    winners = {end.address for end in recorded.ends if isinstance(end, RaceWon)}
    assert set(recorded.attempted) <= winners | recorded.failed | set(recorded.closed)
    if recorded.ends and isinstance(recorded.ends[0], RaceLost):
        assert set(order) == recorded.failed


@contextlib.contextmanager
def without_privileges() -> Iterator[None]:
    """Run as an unprivileged user if the tests run as root, because root may open any socket."""
    root = os.geteuid() == 0
    if root:
        os.seteuid(65534)
    try:
        yield
    finally:
        if root:
            os.seteuid(0)


@pytest.mark.anyio
@pytest.mark.parametrize("anyio_backend", ["asyncio"])
async def test_a_unix_socket_without_permission_is_a_failed_connect(tmp_path: Path) -> None:
    closed, other = socket.socket(socket.AF_UNIX), socket.create_server(("127.0.0.1", 0))
    closed.bind(str(tmp_path / "a.sock"))
    closed.listen()
    (tmp_path / "a.sock").chmod(0)
    dial = f"127.0.0.1:{other.getsockname()[1]}"
    selector = selector_of(dial, f"unix:{tmp_path}/a.sock", family_preference=("unix", "ipv4"))
    assert selector.ordered_addresses("a", 0)[0].family == "unix"
    async with anyio.create_task_group() as tasks:
        host = SimpleNamespace(
            limits=Limits(),
            spawn=tasks.start_soon,
            address_races={},
            clock=lambda: 0,
            has_capacity=lambda: True,
        )
        with without_privileges():
            transport, address = await AddressRaceDriver(
                host, selector, "a", selector.new_race("a", 0), None
            ).connect()
        assert address.family == "ipv4"
        assert selector.ordered_addresses("a", 0)[0] == address
        transport.close()
    for sock in (closed, other):
        sock.close()
