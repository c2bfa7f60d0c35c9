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

from gannetweir.addresses.address import Address, AddressError, parse
from gannetweir.addresses.address_selector import AddressSelector
from gannetweir.addresses.connection_race import Close, Connect, Lost, Race, Wake, Won
from gannetweir.addresses.rules import AddressRules, ServerRule
from gannetweir.config.operators import OperatorsError, read_file
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
    assert str(parse(text)) == shown and parse(str(parse(text))) == parse(text)


@pytest.mark.parametrize("text", BAD)
def test_anything_else_is_refused_with_what_is_allowed(text: str) -> None:
    with pytest.raises(AddressError, match=r"\w{3}"):
        parse(text)


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

    with pytest.raises(OperatorsError) as caught:
        read_file(HEAD + body + END, SETTINGS, LIMITS, hosts=["a", "b"])
    found = [m for m in caught.value.mistakes if all(word in m.text("f") for word in words)]
    assert found and (not line or found[0].line == line), str(caught.value)


def test_addresses_come_from_the_file_then_from_discovery() -> None:
    body = f'server "a" {{\n address "{V6}" "{UNIX}"\n}}\n'
    body += 'server "s-*" {\n address "unix:/r/{host}"\n dial #false\n}'
    _, reach = read_file(HEAD + body + END)
    assert reach is not None
    assert [str(a) for a in reach.addresses("a", V4)] == [V6, UNIX, V4]
    assert [str(a) for a in reach.addresses("s-7", V4)] == ["unix:/r/s-7"]
    assert [str(a) for a in reach.addresses("b", V4, [V6, V4, "nonsense"])] == [V6, V4]


# ---- the order and what is learnt


def paths_of(*texts: str, **changes: object) -> AddressSelector:
    paths = AddressSelector(AddressRules(**changes), 1, 250 * MS)  # type: ignore[arg-type]
    paths.tell("a", texts[0], texts[1:])
    return paths


def shown(paths: AddressSelector, now: int = SECOND, probe: bool = False) -> list[str]:
    return [str(a) for a in paths.order("a", now, probe)]


def test_families_take_turns_by_preference() -> None:
    more = "10.1.0.19:8080", "[fd00::19]:8080"
    paths = paths_of(V4, more[0], V6, more[1], UNIX)
    # what discovery tells as `dial` is the last of its family
    assert shown(paths) == [UNIX, V6, more[0], more[1], V4]
    paths = paths_of(V4, more[0], V6, more[1], UNIX, prefer=("ipv4", "unix"))
    assert shown(paths)[:3] == [more[0], UNIX, V6]


def test_a_much_slower_path_goes_behind_a_quicker_one() -> None:
    paths = paths_of(V4, V6)
    for _ in range(8):
        paths.connected("a", parse(V6), 2 * MS)
        paths.connected("a", parse(V4), MS)
    assert shown(paths) == [V6, V4]  # no more than twice as slow: the preference holds
    for _ in range(20):
        paths.connected("a", parse(V6), 60 * MS)
    assert shown(paths) == [V4, V6]


def test_a_path_that_connects_alike_but_answers_late_goes_behind() -> None:
    paths = paths_of(V4, V6, UNIX)
    for n in range(4):
        for text, took in ((UNIX, 151 * MS), (V6, 2 * MS), (V4, MS)):
            paths.connected("a", parse(text), MS)
            paths.answered("a", parse(text), SECOND + n, took)
    assert shown(paths) == [V6, V4, UNIX]  # 2 ms are as good as 1
    for n in range(12):
        paths.answered("a", parse(UNIX), 2 * SECOND + n, MS)
    assert shown(paths) == [UNIX, V6, V4]


def test_a_broken_path_comes_last_and_is_tried_again_by_one_at_a_time() -> None:
    paths, now = paths_of(V4, V6, UNIX), SECOND
    paths.failed("a", parse(UNIX), now)
    assert shown(paths, now) == [V6, V4, UNIX]
    later = now + 600 * MS
    assert shown(paths, later) == [UNIX, V6, V4]  # due: this one tries it
    assert shown(paths, later) == [V6, V4, UNIX]  # and no other at the same time
    for n in range(20):
        paths.failed("a", parse(UNIX), later + n)
    assert shown(paths, later + 4 * SECOND + MS)[0] == UNIX  # within the bound, however often it failed
    paths.answered("a", parse(UNIX), later + 5 * SECOND)
    assert shown(paths, later + 5 * SECOND) == [UNIX, V6, V4]


def test_where_all_are_broken_all_are_tried() -> None:
    paths = paths_of(V4, V6)
    for text in (V4, V6):
        paths.failed("a", parse(text), SECOND)
    assert sorted(shown(paths, SECOND)) == sorted([V4, V6])


def test_probes_go_round_the_sound_paths() -> None:
    paths = paths_of(V4, V6, UNIX)
    seen = []
    for n in range(6):
        first = paths.order("a", SECOND + n, probe=True)[0]
        paths.answered("a", first, SECOND + n)
        seen.append(str(first))
    assert sorted(seen[:3]) == sorted(seen[3:]) == sorted([V4, V6, UNIX])


def test_a_silent_path_is_to_blame_only_while_another_is_sound() -> None:
    paths = paths_of(V4, V6)
    paths.answered("a", parse(V4), SECOND)
    assert paths.unanswered("a", parse(V6), 2 * SECOND)
    assert not paths.unanswered("a", parse(V4), 3 * SECOND)  # none is left: it is the server
    paths = paths_of(V4, V6)
    paths.answered("a", parse(V4), SECOND)
    assert not paths.unanswered("a", parse(V6), 60 * SECOND)  # what was heard long ago says nothing
    assert not paths_of(V4).unanswered("a", parse(V4), SECOND)
    assert not paths_of(V4).unanswered("b", parse(V4), SECOND)


def test_a_connect_that_was_overtaken_is_broken_only_if_it_had_long_enough() -> None:
    paths = paths_of(V4, V6)
    paths.connected("a", parse(V6), 20 * MS)
    paths.overtaken("a", parse(V6), 40 * MS, SECOND)
    assert not paths.known["a"][parse(V6)].broken()
    paths.overtaken("a", parse(V6), 90 * MS, SECOND)
    assert paths.known["a"][parse(V6)].broken()


def test_a_reload_adds_and_takes_addresses_and_keeps_what_was_learnt() -> None:
    paths = paths_of(V4, V6)
    paths.failed("a", parse(V4), SECOND)
    paths.take(AddressRules((ServerRule("a", (UNIX,)),)), 250 * MS)
    assert paths.known["a"][parse(V4)].broken() and shown(paths)[0] == UNIX
    paths.take(AddressRules((ServerRule("a", (UNIX,), dial=False),)), 250 * MS)
    assert shown(paths) == [UNIX]
    paths.failed("a", parse(V4), SECOND)  # news of one that is gone
    paths.answered("a", parse(V4), SECOND)
    paths.forget("a")
    assert shown(paths) == [] and not paths.chosen("a")


def test_an_address_that_another_server_has_is_not_this_ones() -> None:
    paths = paths_of(V4, V6)
    paths.tell("b", UNIX, (V6,))
    assert [str(a) for a in paths.order("b", 0)] == [UNIX]
    paths.forget("a")
    paths.tell("b", UNIX, (V6, V4))
    assert len(paths.order("b", 0)) == 3


def test_a_reload_may_swap_the_addresses_of_two_servers() -> None:
    def named(a: str, b: str) -> AddressRules:
        return AddressRules((ServerRule("a", (a, UNIX), dial=False), ServerRule("b", (b,), dial=False)))

    paths = AddressSelector(named(V4, V6), 1, 250 * MS)
    paths.tell("a", "10.9.9.9:1")
    paths.tell("b", "10.9.9.8:1")
    paths.failed("a", parse(UNIX), SECOND)
    paths.take(named(V6, V4), 250 * MS)
    assert shown(paths) == [V6, UNIX] and [str(a) for a in paths.order("b", 0)] == [V4]
    assert paths.known["a"][parse(UNIX)].broken()  # what it keeps is known as it was


def test_one_address_that_is_not_discoverys_is_the_one_that_is_used() -> None:
    paths = AddressSelector(AddressRules((ServerRule("a", (UNIX,), dial=False),)), 1, 250 * MS)
    paths.tell("a", V4)
    paths.tell("b", V6)
    assert paths.chosen("a") and not paths.chosen("b") and not paths.chosen("c")
    paths.tell("c", V6)  # another server's: nothing is left, and nothing is sent there
    assert paths.chosen("c") and paths.race("c", 0).begin(0) == [Lost()]


def test_news_of_one_server_is_told_of_that_one_alone() -> None:
    """A delta comes for every change of a pool of hundreds; a whole list also ends what it lacks."""
    members = [
        ListedEndpoint(EndpointEntry(f"s{n}"), f"10.0.{n}.1:80", (f"unix:/run/{n}",)) for n in range(200)
    ]
    engine = Engine(settings(), Limits(), 1, MembershipUpdate(1, True, members), SECOND)
    assert engine.address_selector is not None and engine.address_selector.chosen("s199")
    told: list[str] = []
    tell = engine.address_selector.tell

    def counted(server: str, *args: object) -> None:
        told.append(server)
        tell(server, *args)  # type: ignore[arg-type]

    engine.address_selector.tell = counted  # type: ignore[method-assign]
    engine.endpoint_update_received(MembershipUpdate(2, False, [members[7]]), 2 * SECOND)
    assert told == ["s7"]
    engine.endpoint_update_received(MembershipUpdate(3, True, members[:3]), 3 * SECOND)
    assert set(engine.address_selector.known) == {"s0", "s1", "s2"}


# ---- the race


def addresses(count: int) -> list[Address]:
    return [parse(f"10.0.0.{n + 1}:80") for n in range(count)]


def test_the_next_address_is_tried_after_its_delay_or_at_once_after_a_failure() -> None:
    a, b, c = addresses(3)
    race = Race([a, b, c], [30, 30, 30])
    assert race.begin(0) == [Connect(a), Wake(30)]
    assert race.due(29) == [] and race.due(30) == [Connect(b), Wake(30)]
    assert race.failed(b, 40) == [Connect(c)]
    assert race.due(60) == []
    assert race.connected(c, 50) == [Close(a, 50), Won(c, 10)]
    assert race.connected(a, 51) == [Close(a, -1)]  # up after another has won
    assert race.failed(a, 52) == [] and race.stop(53) == [] and race.due(99) == []


def test_all_broken_is_one_loss() -> None:
    a, b = addresses(2)
    race = Race([a, b], [30, 30])
    race.begin(0)
    assert race.failed(a, 1) == [Connect(b)]
    assert race.failed(b, 2) == [Lost()]
    assert race.failed(b, 3) == [] and Race([], []).begin(0) == [Lost()]


def test_racing_connects_give_way_and_have_their_turn_again() -> None:
    a, b, c = addresses(3)
    race = Race([a, b, c], [30, 30, 30])
    race.begin(0)
    race.due(30)
    assert race.give_way() == [Close(b, 0)] and race.give_way() == []
    assert race.due(60) == []
    assert race.failed(a, 70) == [Connect(c), Wake(30)]
    assert race.failed(c, 80) == [Connect(b)]
    assert race.connected(b, 90) == [Won(b, 10)]


@profile(max_examples=500, deadline=None, derandomize=True)
@given(st.integers(0, 5), st.integers(0, 10_000))
def test_whatever_comes_when_one_connection_wins_and_all_others_are_closed(count: int, seed: int) -> None:
    """Every order of connects, failures, wakes, ends and late news: at most one is ever won, each that began
    is either the winner, failed by itself, or closed, and an end is told once.
    """
    rng, order = random.Random(seed), addresses(count)
    race, now = Race(order, [rng.choice([0, 10, 50]) for _ in order]), 0
    begun: list[Address] = []
    closed: list[Address] = []
    failed: set[Address] = set()
    ends: list[object] = []

    def take(actions: list) -> None:
        for action in actions:
            if isinstance(action, Connect):
                assert action.address not in begun or action.address in closed
                begun.append(action.address)
            elif isinstance(action, Close):
                closed.append(action.address)
            elif isinstance(action, Won | Lost):
                ends.append(action)

    take(race.begin(now))
    for _ in range(40):
        now += rng.randrange(20)
        what = rng.choice(["up", "failed", "due", "due", "give", "stop" if rng.random() < 0.05 else "due"])
        if what in ("up", "failed") and begun:
            address = rng.choice(begun)
            if what == "failed" and address in race.out:
                failed.add(address)
            take(race.connected(address, now) if what == "up" else race.failed(address, now))
        elif what == "due":
            take(race.due(now))
        elif what == "give":
            take(race.give_way())
        elif what == "stop":
            take(race.stop(now))
    take(race.stop(now))
    assert len(ends) <= 1 and not race.out
    winners = {end.address for end in ends if isinstance(end, Won)}
    assert set(begun) <= winners | failed | set(closed)
    if ends and isinstance(ends[0], Lost):
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
    paths = paths_of(dial, f"unix:{tmp_path}/a.sock", prefer=("unix", "ipv4"))
    assert paths.order("a", 0)[0].family == "unix"
    async with anyio.create_task_group() as tasks:
        host = SimpleNamespace(
            limits=Limits(),
            spawn=tasks.start_soon,
            address_races={},
            clock=lambda: 0,
            has_capacity=lambda: True,
        )
        with without_rights():
            endpoint, address = await AddressRaceDriver(host, paths, "a", paths.race("a", 0), None).connect()
        assert address.family == "ipv4" and paths.order("a", 0)[0] == address  # the other one has failed
        endpoint.close()
    for sock in (closed, other):
        sock.close()
