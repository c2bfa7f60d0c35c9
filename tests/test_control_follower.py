"""A relay's side of the control plane: every kind of wrong version leaves the last good one in force."""

from collections.abc import Mapping
from dataclasses import replace

import pytest

from gannetweir.control.follower import ApplyEntries, Follower, FollowerEvent
from gannetweir.control.machine_selector import (
    CALL_TIMEOUT_US,
    FIRST_BACKOFF_US,
    MAX_BACKOFF_US,
    MachineSelector,
)
from gannetweir.control.versions import (
    MAX_ENTRIES,
    MAX_NUMBER,
    Ack,
    Content,
    Entry,
    Nack,
    Reason,
    Resource,
    Slice,
    Version,
)
from gannetweir.limits import Limits
from gannetweir.net.control_check import RelayCheck
from gannetweir.proto.control_messages import canonical_json
from tests.helpers import settings

M = Resource.MEMBERSHIP


class NoCheck:
    def check_entry(self, resource: Resource, entry: Entry) -> str:
        return "a bad entry" if entry.body == b'"bad"' else ""

    def check_version(
        self, resource: Resource, applied: Mapping[str, bytes], changes: Mapping[str, bytes | None]
    ) -> str:
        return "bad together" if changes.get("x") == b'"mix"' else ""


def entries(**bodies: str) -> list[Entry]:
    return [Entry(key, b'"%s"' % body.encode()) for key, body in bodies.items()]


def version(number: int, content: list[Entry], epoch: int = 1) -> Version:
    return Version(epoch, number, Content(content).digest)


def cut(target: Version, base: int | None, parts: list[list[Entry]]) -> list[Slice]:
    return [Slice(M, target, base, k, len(parts), tuple(part)) for k, part in enumerate(parts)]


def give(follower: Follower, parts: list[Slice], budget: int = 500) -> list[FollowerEvent]:
    found: list[FollowerEvent] = []
    for part in parts:
        found += follower.receive(part)
        while not follower.is_idle:
            found += follower.step(budget)
    return found


OLD = entries(a="1", b="1", c="1")
NEW = entries(a="1", b="2", d="1")  # b changes, c goes, d comes
DELTA = [Entry("b", b'"2"'), Entry("c", None), Entry("d", b'"1"')]


def follower() -> Follower:
    return Follower(M, NoCheck(), OLD, 5, 1)


def refused(found: list[FollowerEvent], reason: Reason, was: Follower) -> None:
    """One NACK with the reason, and the last good version as it was."""
    (nack,) = found
    assert isinstance(nack, Nack)
    assert nack.reason == reason
    assert nack.applied == version(5, OLD)
    assert was.applied_version == version(5, OLD)
    assert was.applied.entries == Content(OLD).entries


@pytest.mark.parametrize("budget", [1, 2, 500])
@pytest.mark.parametrize(("base", "parts"), [(5, [DELTA[:1], DELTA[1:]]), (None, [NEW[:2], NEW[2:]])])
def test_a_version_comes_into_force_in_bounded_steps(
    base: int | None, parts: list[list[Entry]], budget: int
) -> None:
    f = follower()
    found = give(f, cut(version(7, NEW), base, parts), budget)
    applied = [event for event in found if isinstance(event, ApplyEntries)]
    assert all(len(event.entries) <= budget for event in applied)
    assert applied[-1].completes_version
    assert {e.key for event in applied for e in event.entries} == {"b", "c", "d"}
    assert found[-1] == Ack(M, version(7, NEW))
    assert f.applied.entries == Content(NEW).entries


def test_a_relay_started_in_the_middle_of_a_change_takes_the_delta_on_its_known_list() -> None:
    f = Follower(M, NoCheck(), OLD, 5)  # the epoch is not in what it was started with
    assert give(f, cut(version(7, NEW, epoch=9), 5, [DELTA]))[-1] == Ack(M, version(7, NEW, epoch=9))


def test_a_version_twice_is_acknowledged_twice_and_applied_once() -> None:
    f, parts = follower(), cut(version(7, NEW), 5, [DELTA[:1], DELTA[1:]])
    assert f.receive(parts[0]) == f.receive(parts[0]) == []  # a slice twice
    give(f, parts)
    assert give(f, parts) == [Ack(M, version(7, NEW))]


@pytest.mark.parametrize(
    ("parts", "reason"),
    [
        (cut(version(4, NEW), None, [NEW]), Reason.OLDER),  # a machine restored from an old copy
        (cut(version(9, NEW, epoch=1), 3, [DELTA]), Reason.WRONG_BASE),
        (cut(version(9, NEW, epoch=2), 5, [DELTA]), Reason.WRONG_BASE),  # another store's 5
        (cut(version(5, NEW), None, [NEW]), Reason.CONFLICT),  # two stores that counted alike
        (cut(version(7, NEW), 5, [DELTA[:1], DELTA[1:]])[1:], Reason.GAP),
        (cut(version(7, NEW), 5, [DELTA[:1], [], DELTA[1:]])[::2], Reason.GAP),
        (cut(version(7, NEW), 5, [DELTA[:2]]), Reason.DIGEST),
        (cut(version(7, OLD), 5, [entries(a="bad")]), Reason.CHECK),
        (cut(version(7, [*OLD, *entries(x="mix")]), 5, [entries(x="mix")]), Reason.CHECK),
        (cut(version(7, NEW), 5, [[*DELTA, *DELTA]]), Reason.MALFORMED),  # a key twice
        (cut(version(7, NEW), None, [DELTA]), Reason.MALFORMED),  # a snapshot that removes
        (cut(Version(1, MAX_NUMBER + 1, 0), None, [NEW]), Reason.MALFORMED),
        (cut(Version(1, 7, 1 << 128), None, [NEW]), Reason.MALFORMED),
        (cut(version(7, NEW), 7, [DELTA]), Reason.MALFORMED),  # a delta from itself
        ([Slice(M, version(7, NEW), None, 0, 1 << 40, ())], Reason.TOO_LARGE),
        ([Slice(M, version(7, NEW), None, 3, 2, ())], Reason.MALFORMED),
        ([Slice(M, version(7, NEW), None, 0, 1, tuple(NEW * 500))], Reason.TOO_LARGE),
        (cut(version(7, NEW), 5, [[Entry("a", b"1" * 9000)]]), Reason.TOO_LARGE),
    ],
)
def test_the_last_good_version_holds(parts: list[Slice], reason: Reason) -> None:
    f = follower()
    refused(give(f, parts), reason, f)
    assert give(f, cut(version(10, NEW), 5, [DELTA]))[-1] == Ack(
        M, version(10, NEW)
    )  # and goes on from there


def test_an_older_epoch_is_turned_down_and_a_later_one_may_count_anew() -> None:
    f = Follower(M, NoCheck(), OLD, 5, epoch=3)
    (nack,) = give(f, cut(version(9, NEW, epoch=2), None, [NEW]))
    assert isinstance(nack, Nack)
    assert nack.reason == Reason.OLDER
    assert f.applied_version.number == 5
    assert give(f, cut(version(2, NEW, epoch=4), None, [NEW]))[-1] == Ack(M, version(2, NEW, epoch=4))


def test_versions_out_of_order() -> None:
    f = follower()
    assert f.receive(cut(version(9, NEW), None, [NEW[:1], NEW[1:]])[0]) == []
    (nack,) = f.receive(cut(version(8, OLD), None, [OLD])[0])  # while 9 comes in
    assert isinstance(nack, Nack)
    assert nack.reason == Reason.OLDER
    assert give(f, cut(version(9, NEW), None, [NEW[:1], NEW[1:]])[1:])[-1] == Ack(M, version(9, NEW))


def test_a_snapshot_cut_in_the_middle_changes_nothing_and_another_machine_begins_it_anew() -> None:
    f, parts = follower(), cut(version(7, NEW), None, [NEW[:2], NEW[2:]])
    assert give(f, parts[:1]) == []
    f.disconnected()
    assert f.applied.entries == Content(OLD).entries
    refused(give(f, parts[1:]), Reason.GAP, f)
    assert give(f, parts)[-1] == Ack(M, version(7, NEW))


def test_too_many_entries_are_turned_down_before_they_are_looked_at() -> None:
    f = follower()
    many = [[Entry(f"{k}.{j}", b"1") for j in range(1000)] for k in range(MAX_ENTRIES // 1000 + 1)]
    found = [event for part in cut(version(7, NEW), None, many) for event in f.receive(part)]
    refused(found, Reason.TOO_LARGE, f)


def test_what_was_turned_down_costs_no_second_look() -> None:
    f, parts = follower(), cut(version(7, OLD), 5, [entries(a="bad")])
    refused(give(f, parts), Reason.CHECK, f)
    refused(f.receive(parts[0]), Reason.CHECK, f)
    assert f.is_idle


def test_a_delta_that_comes_while_the_version_before_is_applied() -> None:
    f, last = follower(), entries(a="1", b="2", d="3")
    assert f.receive(cut(version(7, NEW), 5, [DELTA])[0]) == []
    f.step()  # checked, not applied
    f.step(1)
    assert f.unapplied is not None
    assert f.receive(cut(version(8, last), 7, [entries(d="3")])[0]) == []
    assert give(f, []) == []
    found: list[FollowerEvent] = []
    while not f.is_idle:
        found += f.step(1)
    assert [e.version.number for e in found if isinstance(e, Ack)] == [7, 8]
    assert f.applied.entries == Content(last).entries


# ---- the relay's own checks

SETTINGS = {"categories": [{"name": "chat", "hard-limit-us": 1_800_000}], "limits": {"max-attempts": 3}}


def settings_entries(**changes: object) -> list[Entry]:
    return [Entry(key, canonical_json(value)) for key, value in (SETTINGS | changes).items()]


@pytest.mark.parametrize(
    ("changes", "wrong"),
    [
        ({}, ""),
        ({"categories": [{"name": "chat", "hard-limit-us": 900_000}]}, ""),
        ({"limits": {"max-attempts": 0}}, "max-attempts: 0 is not over 0"),  # parses, fails the checks
        ({"limits": {"max-attempts": "3"}}, "ill-typed"),
        ({"limits": {}}, "missing: limits.max-attempts"),
        ({"categories": [{"name": "chat", "hard-limit-us": 200_000}]}, "before SIGKILL"),  # breaks the drain
    ],
)
def test_settings_are_checked_as_at_a_start_and_leave_a_drain_its_time(changes: dict, wrong: str) -> None:
    s, held, new = Resource.SETTINGS, settings_entries(), settings_entries(**changes)
    f = Follower(s, RelayCheck(settings), held, 1, 1)
    parts = [replace(part, resource=s) for part in cut(version(2, new), None, [new])]
    answer = give(f, parts)[-1]
    assert isinstance(answer, Nack if wrong else Ack)
    if isinstance(answer, Nack):
        assert answer.reason == Reason.CHECK
        assert wrong in answer.detail
        assert f.applied.digest == version(1, held).digest


def test_zones_by_which_the_held_list_is_counted_stay() -> None:
    check = RelayCheck(lambda: settings(zone_names=["a", "b"]))
    for zones, wrong in (["a", "b"], ""), (["b", "a"], "zones change only at a restart"):
        new = {entry.key: entry.body for entry in settings_entries(zones=zones)}
        assert check.check_version(Resource.SETTINGS, {}, new) == wrong


@pytest.mark.parametrize(
    "body", [{"host": "a", "health": "Asleep"}, {"host": "b", "health": "Ready"}, {"host": "a"}, []]
)
def test_an_entry_that_discoverys_reader_would_refuse(body: object) -> None:
    assert RelayCheck(settings).check_entry(M, Entry("a", canonical_json(body)))
    assert not RelayCheck(settings).check_entry(
        M, Entry("a", canonical_json({"host": "a", "health": "Ready"}))
    )


# ---- the choice of a machine

MACHINES = [f"c{n}" for n in range(15)]


def test_a_machines_loss_moves_only_its_relays_and_spreads_them() -> None:
    homes = {f"r{n}": MachineSelector(f"r{n}", MACHINES, lambda: 1.0) for n in range(1500)}
    counts = [sum(h.machine == m for h in homes.values()) for m in MACHINES]
    assert sum(counts) == 1500
    assert max(counts) < 140
    moved = [h for h in homes.values() if h.machine == "c3"]
    for home in moved:
        home.record_failure()
    others = {m: sum(h.machine == m for h in moved) for m in MACHINES}
    assert others["c3"] == 0
    assert max(others.values()) < 25
    assert all(home.return_to_first_choice() and home.machine == "c3" for home in moved)


def test_waits_have_full_jitter_and_fit_the_rule_of_six_seconds() -> None:
    longest = MachineSelector("r", MACHINES, lambda: 1.0)
    waits = [longest.record_failure() for _ in range(40)]
    silent = Limits().endpoint_watch_silence_us
    assert (
        silent + waits[0] + CALL_TIMEOUT_US + waits[1] + CALL_TIMEOUT_US <= 6_000_000
    )  # two dead machines in a row
    assert CALL_TIMEOUT_US + max(waits) + CALL_TIMEOUT_US <= 6_000_000
    assert max(waits) == MAX_BACKOFF_US
    assert waits[0] == FIRST_BACKOFF_US
    assert MachineSelector("r", MACHINES, lambda: 0.0).record_failure() == 0
    longest.record_success()
    assert longest.record_failure() == FIRST_BACKOFF_US


def test_the_rest_of_a_version_that_was_turned_down_is_not_answered_again() -> None:
    f, parts = follower(), cut(version(9, NEW), 3, [DELTA[:1], DELTA[1:2], DELTA[2:]])
    refused(
        give(f, parts), Reason.WRONG_BASE, f
    )  # a second NACK would be taken for the snapshot's that follows
    assert give(f, cut(version(9, NEW), None, [NEW[:1], NEW[1:]]))[-1] == Ack(M, version(9, NEW))
