"""Addresses, the order in which they are tried, what is learnt of them, and the race between them."""

import contextlib
import os
import random
import socket
from collections.abc import Iterator
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

GOOD = {
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
BAD = [
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


@pytest.mark.parametrize(("text", "shown"), GOOD.items())
def test_a_literal_is_read_to_its_shortest_form(text: str, shown: str) -> None:
    assert str(parse_address(text)) == shown
    assert parse_address(str(parse_address(text))) == parse_address(text)


@pytest.mark.parametrize("text", BAD)
def test_anything_else_is_refused_with_what_is_allowed(text: str) -> None:
    with pytest.raises(AddressError, match=r"\w{3}"):
        parse_address(text)


# ---- in the operators' file

HEAD = "gannetweir version=1\n"
END = "\ndefault {\n}\n"
WRONG = {
    "a name for a host": ('server "a" {\n address "push.example:80"\n}', 2, ["push.example", "no DNS"]),
    "an address of two servers": (
        f'server "a" {{\n address "{V4}"\n}}\nserver "b" {{\n address "{V4}"\n}}',
        5,
        ["a's already"],
    ),
    "the same one in other words": (
        'server "a" {\n address "[fd00::18]:1"\n}\nserver "b" {\n address "[fd00:0::18]:1"\n}',
        5,
        ["already"],
    ),
    "one address for a pattern": (f'server "s-*" {{\n address "{V4}"\n}}', 2, ["{host}", "every server"]),
    "a pattern that gives two the same": (
        'server "a" {\n address "unix:/run/a.sock"\n}\nserver "*" {\n address "unix:/run/{host}.sock"\n}',
        5,
        ["unix:/run/a.sock", "already"],
    ),
    "two servers of one name": ('server "a" {\n}\nserver "a" {\n}', 4, ["second server"]),
    "no address at all": ('server "a" {\n dial #false\n}', 2, ["no address"]),
    "an unknown word": ('server "a" {\n adress "x"\n}', 3, ["unknown", "address, dial"]),
    "an unknown family": ('reach {\n prefer "ipv5"\n}', 3, ["ipv5", "unix"]),
    "a family twice": ('reach {\n prefer "unix" "unix"\n}', 3, ["same value twice"]),
    "a fallback over the connect time-out": ('reach {\n fallback "200ms"\n}', 0, ["200ms", "125ms"]),
    "a server without a name": ("server {\n}", 2, ["#null"]),
    "a path too long": (f'server "a" {{\n address "unix:/{"x" * 110}"\n}}', 2, ["107 bytes"]),
}


@pytest.mark.parametrize(("body", "line", "words"), WRONG.values(), ids=WRONG.keys())
def test_what_is_wrong_is_told_at_load(body: str, line: int, words: list[str]) -> None:
    from tests.test_operators_file import LIMITS, SETTINGS

    with pytest.raises(OperatorsFileError) as caught:
        parse_operators_file(HEAD + body + END, SETTINGS, LIMITS, endpoint_names=["a", "b"])
    found = [m for m in caught.value.mistakes if all(word in m.text("f") for word in words)]
    assert found and (not line or found[0].line == line), str(caught.value)


def test_addresses_come_from_the_file_then_from_discovery() -> None:
    body = f'server "a" {{\n address "{V6}" "{UNIX}"\n}}\n'
    body += 'server "s-*" {\n address "unix:/r/{host}"\n dial #false\n}'
    _, reach = parse_operators_file(HEAD + body + END)
    assert reach is not None
    assert [str(a) for a in reach.addresses_of("a", V4)] == [V6, UNIX, V4]
    assert [str(a) for a in reach.addresses_of("s-7", V4)] == ["unix:/r/s-7"]
    assert [str(a) for a in reach.addresses_of("b", V4, [V6, V4, "nonsense"])] == [V6, V4]


# ---- the order and what is learnt


def paths_of(*texts: str, **changes: object) -> AddressSelector:
    paths = AddressSelector(AddressRules(**changes), 1, 250 * MS)  # type: ignore[arg-type]
    paths.update_endpoint("a", texts[0], texts[1:])
    return paths


def shown(paths: AddressSelector, now: int = SECOND, probe: bool = False) -> list[str]:
    return [str(a) for a in paths.ordered_addresses("a", now, probe)]


def test_families_take_turns_by_preference() -> None:
    more = "10.1.0.19:8080", "[fd00::19]:8080"
    paths = paths_of(V4, more[0], V6, more[1], UNIX)
    # what discovery tells as `dial` is the last of its family
    assert shown(paths) == [UNIX, V6, more[0], more[1], V4]
    paths = paths_of(V4, more[0], V6, more[1], UNIX, family_preference=("ipv4", "unix"))
    assert shown(paths)[:3] == [more[0], UNIX, V6]


def test_a_much_slower_path_goes_behind_a_quicker_one() -> None:
    paths = paths_of(V4, V6)
    for _ in range(8):
        paths.record_connected("a", parse_address(V6), 2 * MS)
        paths.record_connected("a", parse_address(V4), MS)
    assert shown(paths) == [V6, V4]  # no more than twice as slow: the preference holds
    for _ in range(20):
        paths.record_connected("a", parse_address(V6), 60 * MS)
    assert shown(paths) == [V4, V6]


def test_a_path_that_connects_alike_but_answers_late_goes_behind() -> None:
    paths = paths_of(V4, V6, UNIX)
    for n in range(4):
        for text, took in ((UNIX, 151 * MS), (V6, 2 * MS), (V4, MS)):
            paths.record_connected("a", parse_address(text), MS)
            paths.record_response("a", parse_address(text), SECOND + n, took)
    assert shown(paths) == [V6, V4, UNIX]  # 2 ms are as good as 1
    for n in range(12):
        paths.record_response("a", parse_address(UNIX), 2 * SECOND + n, MS)
    assert shown(paths) == [UNIX, V6, V4]


def test_a_broken_path_comes_last_and_is_tried_again_by_one_at_a_time() -> None:
    paths, now = paths_of(V4, V6, UNIX), SECOND
    paths.record_connect_failure("a", parse_address(UNIX), now)
    assert shown(paths, now) == [V6, V4, UNIX]
    later = now + 600 * MS
    assert shown(paths, later) == [UNIX, V6, V4]  # due: this one tries it
    assert shown(paths, later) == [V6, V4, UNIX]  # and no other at the same time
    for n in range(20):
        paths.record_connect_failure("a", parse_address(UNIX), later + n)
    assert shown(paths, later + 4 * SECOND + MS)[0] == UNIX  # within the bound, however often it failed
    paths.record_response("a", parse_address(UNIX), later + 5 * SECOND)
    assert shown(paths, later + 5 * SECOND) == [UNIX, V6, V4]


def test_where_all_are_broken_all_are_tried() -> None:
    paths = paths_of(V4, V6)
    for text in (V4, V6):
        paths.record_connect_failure("a", parse_address(text), SECOND)
    assert sorted(shown(paths, SECOND)) == sorted([V4, V6])


def test_probes_go_round_the_sound_paths() -> None:
    paths = paths_of(V4, V6, UNIX)
    seen = []
    for n in range(6):
        first = paths.ordered_addresses("a", SECOND + n, for_probe=True)[0]
        paths.record_response("a", first, SECOND + n)
        seen.append(str(first))
    assert sorted(seen[:3]) == sorted(seen[3:]) == sorted([V4, V6, UNIX])


def test_a_silent_path_is_to_blame_only_while_another_is_sound() -> None:
    paths = paths_of(V4, V6)
    paths.record_response("a", parse_address(V4), SECOND)
    assert paths.record_no_response("a", parse_address(V6), 2 * SECOND)
    assert not paths.record_no_response("a", parse_address(V4), 3 * SECOND)  # none is left: it is the server
    paths = paths_of(V4, V6)
    paths.record_response("a", parse_address(V4), SECOND)
    assert not paths.record_no_response(
        "a", parse_address(V6), 60 * SECOND
    )  # what was heard long ago says nothing
    assert not paths_of(V4).record_no_response("a", parse_address(V4), SECOND)
    assert not paths_of(V4).record_no_response("b", parse_address(V4), SECOND)


def test_a_connect_that_was_overtaken_is_broken_only_if_it_had_long_enough() -> None:
    paths = paths_of(V4, V6)
    paths.record_connected("a", parse_address(V6), 20 * MS)
    paths.record_lost_race("a", parse_address(V6), 40 * MS, SECOND)
    assert not paths.states_by_endpoint["a"][parse_address(V6)].is_unhealthy
    paths.record_lost_race("a", parse_address(V6), 90 * MS, SECOND)
    assert paths.states_by_endpoint["a"][parse_address(V6)].is_unhealthy


def test_a_reload_adds_and_takes_addresses_and_keeps_what_was_learnt() -> None:
    paths = paths_of(V4, V6)
    paths.record_connect_failure("a", parse_address(V4), SECOND)
    paths.apply_rules(AddressRules((EndpointRule("a", (UNIX,)),)), 250 * MS)
    assert paths.states_by_endpoint["a"][parse_address(V4)].is_unhealthy
    assert shown(paths)[0] == UNIX
    paths.apply_rules(AddressRules((EndpointRule("a", (UNIX,), includes_listed_addresses=False),)), 250 * MS)
    assert shown(paths) == [UNIX]
    paths.record_connect_failure("a", parse_address(V4), SECOND)  # news of one that is gone
    paths.record_response("a", parse_address(V4), SECOND)
    paths.remove_endpoint("a")
    assert shown(paths) == []
    assert not paths.selects_address("a")


def test_an_address_that_another_server_has_is_not_this_ones() -> None:
    paths = paths_of(V4, V6)
    paths.update_endpoint("b", UNIX, (V6,))
    assert [str(a) for a in paths.ordered_addresses("b", 0)] == [UNIX]
    paths.remove_endpoint("a")
    paths.update_endpoint("b", UNIX, (V6, V4))
    assert len(paths.ordered_addresses("b", 0)) == 3


def test_a_reload_may_swap_the_addresses_of_two_servers() -> None:
    def named(a: str, b: str) -> AddressRules:
        return AddressRules(
            (
                EndpointRule("a", (a, UNIX), includes_listed_addresses=False),
                EndpointRule("b", (b,), includes_listed_addresses=False),
            )
        )

    paths = AddressSelector(named(V4, V6), 1, 250 * MS)
    paths.update_endpoint("a", "10.9.9.9:1")
    paths.update_endpoint("b", "10.9.9.8:1")
    paths.record_connect_failure("a", parse_address(UNIX), SECOND)
    paths.apply_rules(named(V6, V4), 250 * MS)
    assert shown(paths) == [V6, UNIX]
    assert [str(a) for a in paths.ordered_addresses("b", 0)] == [V4]
    assert paths.states_by_endpoint["a"][parse_address(UNIX)].is_unhealthy  # what it keeps is known as it was


def test_one_address_that_is_not_discoverys_is_the_one_that_is_used() -> None:
    paths = AddressSelector(
        AddressRules((EndpointRule("a", (UNIX,), includes_listed_addresses=False),)), 1, 250 * MS
    )
    paths.update_endpoint("a", V4)
    paths.update_endpoint("b", V6)
    assert paths.selects_address("a")
    assert not paths.selects_address("b")
    assert not paths.selects_address("c")
    paths.update_endpoint("c", V6)  # another server's: nothing is left, and nothing is sent there
    assert paths.selects_address("c")
    assert paths.new_race("c", 0).start(0) == [RaceLost()]


def test_news_of_one_server_is_told_of_that_one_alone() -> None:
    """A delta comes for every change of a pool of hundreds; a whole list also ends what it lacks."""
    members = [
        ListedEndpoint(EndpointEntry(f"s{n}"), f"10.0.{n}.1:80", (f"unix:/run/{n}",)) for n in range(200)
    ]
    engine = Engine(settings(), Limits(), 1, MembershipUpdate(1, True, members), SECOND)
    assert engine.address_selector is not None
    assert engine.address_selector.selects_address("s199")
    told: list[str] = []
    tell = engine.address_selector.update_endpoint

    def counted(server: str, *args: object) -> None:
        told.append(server)
        tell(server, *args)  # type: ignore[arg-type]

    engine.address_selector.update_endpoint = counted  # type: ignore[method-assign]
    engine.endpoint_update_received(MembershipUpdate(2, False, [members[7]]), 2 * SECOND)
    assert told == ["s7"]
    engine.endpoint_update_received(MembershipUpdate(3, True, members[:3]), 3 * SECOND)
    assert set(engine.address_selector.states_by_endpoint) == {"s0", "s1", "s2"}


# ---- the race


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
    assert race.attempt_connected(a, 51) == [CloseConnection(a, -1)]  # up after another has won
    assert race.attempt_failed(a, 52) == []
    assert race.cancel(53) == []
    assert race.timer_expired(99) == []


def test_all_broken_is_one_loss() -> None:
    a, b = addresses(2)
    race = ConnectionRace([a, b], [30, 30])
    race.start(0)
    assert race.attempt_failed(a, 1) == [StartConnect(b)]
    assert race.attempt_failed(b, 2) == [RaceLost()]
    assert race.attempt_failed(b, 3) == []
    assert ConnectionRace([], []).start(0) == [RaceLost()]


def test_racing_connects_give_way_and_have_their_turn_again() -> None:
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


@profile(max_examples=500, deadline=None, derandomize=True)
@given(st.integers(0, 5), st.integers(0, 10_000))
def test_whatever_comes_when_one_connection_wins_and_all_others_are_closed(count: int, seed: int) -> None:
    """Every order of connects, failures, wakes, ends and late news: at most one is ever won, each that began
    is either the winner, failed by itself, or closed, and an end is told once.
    """
    rng, order = random.Random(seed), addresses(count)
    race, now = ConnectionRace(order, [rng.choice([0, 10, 50]) for _ in order]), 0
    begun: list[Address] = []
    closed: list[Address] = []
    failed: set[Address] = set()
    ends: list[object] = []

    def take(actions: list) -> None:
        for action in actions:
            if isinstance(action, StartConnect):
                assert action.address not in begun or action.address in closed
                begun.append(action.address)
            elif isinstance(action, CloseConnection):
                closed.append(action.address)
            elif isinstance(action, RaceWon | RaceLost):
                ends.append(action)

    take(race.start(now))
    for _ in range(40):
        now += rng.randrange(20)
        what = rng.choice(["up", "failed", "due", "due", "give", "stop" if rng.random() < 0.05 else "due"])
        if what in ("up", "failed") and begun:
            address = rng.choice(begun)
            if what == "failed" and address in race.started_us:
                failed.add(address)
            take(race.attempt_connected(address, now) if what == "up" else race.attempt_failed(address, now))
        elif what == "due":
            take(race.timer_expired(now))
        elif what == "give":
            take(race.cancel_all_but_oldest())
        elif what == "stop":
            take(race.cancel(now))
    take(race.cancel(now))
    assert len(ends) <= 1
    assert not race.started_us
    winners = {end.address for end in ends if isinstance(end, RaceWon)}
    assert set(begun) <= winners | failed | set(closed)
    if ends and isinstance(ends[0], RaceLost):
        assert set(order) == failed


# ---- on sockets


@contextlib.contextmanager
def without_rights() -> Iterator[None]:
    """A superuser may open any socket: so be nobody for a while."""
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
async def test_a_unix_socket_without_rights_is_a_path_that_refuses(tmp_path: Path) -> None:
    closed, other = socket.socket(socket.AF_UNIX), socket.create_server(("127.0.0.1", 0))
    closed.bind(str(tmp_path / "a.sock"))
    closed.listen()
    (tmp_path / "a.sock").chmod(0)
    dial = f"127.0.0.1:{other.getsockname()[1]}"
    paths = paths_of(dial, f"unix:{tmp_path}/a.sock", family_preference=("unix", "ipv4"))
    assert paths.ordered_addresses("a", 0)[0].family == "unix"
    async with anyio.create_task_group() as tasks:
        host = SimpleNamespace(
            limits=Limits(),
            spawn=tasks.start_soon,
            address_races={},
            clock=lambda: 0,
            has_capacity=lambda: True,
        )
        with without_rights():
            endpoint, address = await AddressRaceDriver(
                host, paths, "a", paths.new_race("a", 0), None
            ).connect()
        assert address.family == "ipv4"
        assert paths.ordered_addresses("a", 0)[0] == address
        endpoint.close()
    for sock in (closed, other):
        sock.close()
