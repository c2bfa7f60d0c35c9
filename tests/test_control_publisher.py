"""A control machine's side: deltas, one version at a time, its bytes, canaries, and what it reports."""

from collections.abc import Mapping
from dataclasses import replace

import pytest

from gannetweir.control.follower import ApplyEntries, Follower
from gannetweir.control.machine import ControlMachine, Wait
from gannetweir.control.publisher import MachineBehindError, Publisher
from gannetweir.control.rollout import MAX_STAGE_US, OBSERVATION_US, RolloutCoordinator, Verdict
from gannetweir.control.session import ACK_TIMEOUT_US
from gannetweir.control.stage import CanaryStage, ServiceTotals
from gannetweir.control.status_report import merge_reports, status_report
from gannetweir.control.token_bucket import TokenBucket
from gannetweir.control.version_history import SLICE_BYTES
from gannetweir.control.version_log import Change, VersionLog
from gannetweir.control.versions import (
    NO_VERSION,
    Ack,
    Content,
    Entry,
    Nack,
    Reason,
    RejectedError,
    Resource,
    Slice,
    Version,
)

M = Resource.MEMBERSHIP
SECOND = 1_000_000


class Source:
    """Makes the versions that a publisher is given."""

    def __init__(self, count: int = 3, epoch: int = 1) -> None:
        self.content = Content(Entry(f"s{n}", b"0") for n in range(count))
        self.version = Version(epoch, 1, self.content.digest)
        self.publisher = Publisher(M, self.version, self.entries())

    def entries(self) -> list[Entry]:
        return [Entry(key, body) for key, body in self.content.entries.items()]

    def change(self, staged: bool = False, **bodies: bytes | None) -> Version:
        for key, body in bodies.items():
            self.content.put(key, body)
        self.version = Version(self.version.epoch, self.version.number + 1, self.content.digest)
        self.publisher.publish(Change(self.version, bodies), staged)
        return self.version


def sent(publisher: Publisher, relay: str = "r") -> list[Slice]:
    found = []
    while (part := publisher.next_slice(relay, 0)) is not None:
        found.append(part)
    return found


def test_a_slow_relay_is_owed_one_coalesced_delta() -> None:
    source = Source()
    p, first = source.publisher, source.version
    p.subscribe("r", first)
    second = source.change(s0=b"1")
    (part,) = sent(p)
    assert (part.base, part.target, part.entries) == (1, second, (Entry("s0", b"1"),))
    for n in range(2, 50):
        source.change(s0=b"%d" % n, s1=b"%d" % n)
        assert sent(p) == []  # until it has answered
    source.change(s1=None)
    p.record_answer("r", Ack(M, second))
    (part,) = sent(p)
    assert (part.base, part.target) == (2, source.version)
    assert set(part.entries) == {Entry("s0", b"49"), Entry("s1", None)}
    p.record_answer("r", Ack(M, source.version))
    assert sent(p) == []
    assert status_report(p).lowest == source.version.number


def test_without_a_base_it_is_a_snapshot_in_slices_of_bounded_size() -> None:
    source = Source(2000)
    p = source.publisher
    for held in NO_VERSION, Version(1, 1, 77), Version(3, 1, 0):
        if held.epoch > 1:
            with pytest.raises(MachineBehindError):
                p.subscribe("r", held)
            continue
        p.subscribe("r", held)
        parts = sent(p)
        assert [part.index for part in parts] == list(range(len(parts)))
        assert parts[0].count == len(parts) > 1
        assert all(part.base is None for part in parts)
        assert all(
            sum(len(e.key) + len(e.body or b"") for e in part.entries) <= SLICE_BYTES for part in parts
        )
        assert {e.key for part in parts for e in part.entries} == set(source.content.entries)


def test_a_known_list_without_an_epoch_is_a_base_where_its_digest_says_so() -> None:
    source = Source()
    known = Version(0, 1, source.version.digest)
    source.change(s0=b"1")
    source.publisher.subscribe("r", known)
    assert [part.base for part in sent(source.publisher)] == [1]


def test_a_machine_that_is_behind_does_not_serve_the_relay() -> None:
    with pytest.raises(MachineBehindError):
        Source().publisher.subscribe("r", Version(1, 2, 5))


@pytest.mark.parametrize(
    ("version", "reason"),
    [(Version(1, 1, 0), Reason.OLDER), (Version(2, 9, 0), Reason.OLDER), (Version(1, 2, 5), Reason.DIGEST)],
)
def test_a_wrong_change_of_the_stores_is_not_published(version: Version, reason: Reason) -> None:
    source = Source()
    with pytest.raises(RejectedError) as error:
        source.publisher.publish(Change(version, {"s0": b"1"}))
    assert error.value.reason == reason
    assert source.publisher.newest == source.version


def test_a_refused_version_is_not_sent_again_and_a_lost_base_is_mended_by_a_snapshot_once() -> None:
    source = Source()
    p, first = source.publisher, source.version
    p.subscribe("r", first)
    second = source.change(s0=b"1")
    sent(p)
    p.record_answer("r", Nack(M, second, Reason.CHECK, "bad", first))
    assert sent(p) == []
    assert status_report(p).rejections == ("r: check: bad",)
    third = source.change(s0=b"2")
    assert [part.base for part in sent(p)] == [1]
    p.record_answer("r", Nack(M, third, Reason.DIGEST, "", first))
    assert [part.base for part in sent(p)] == [None]
    p.record_answer("r", Nack(M, third, Reason.DIGEST, "", first))
    assert sent(p) == []


def test_a_log_that_no_longer_reaches_back_gives_a_snapshot() -> None:
    log = VersionLog(Version(1, 1, 1), max_versions=2)
    for number in 2, 3, 4:
        log.add(Change(Version(1, number, number), {"a": b"%d" % number}))
    assert not log.contains(Version(1, 1, 1))
    assert log.contains(Version(1, 2, 2))
    assert log.changes_between(2, 4) == {"a": b"4"}


def test_an_answer_that_is_owed_too_long_is_seen_also_after_the_clock_was_set_back() -> None:
    source = Source()
    p = source.publisher
    p.subscribe("r", NO_VERSION)
    assert p.next_slice("r", 100 * SECOND) is not None
    assert not p.is_ack_overdue("r", 90 * SECOND)
    assert not p.is_ack_overdue("r", 90 * SECOND + ACK_TIMEOUT_US)
    assert p.is_ack_overdue("r", 91 * SECOND + ACK_TIMEOUT_US)


def followed(machine: ControlMachine, name: str, relay: Follower) -> list[Ack | Nack]:
    """Serve one relay until nothing more goes to it; what it answered."""
    answers: list[Ack | Nack] = []
    while isinstance(part := machine.poll(name, 0), Slice):
        events = relay.receive(part)
        while not relay.is_idle:
            events += relay.step()
        for event in events:
            if not isinstance(event, ApplyEntries):
                answers.append(event)
                machine.record_answer(name, event)
    return answers


class Anything:
    def check_entry(self, resource: Resource, entry: Entry) -> str:
        return ""

    def check_version(self, resource: Resource, applied: Mapping, changes: Mapping) -> str:
        return ""


def test_a_machine_dies_after_half_of_its_relays_have_the_version() -> None:
    source, relays = Source(), {f"r{n}": Follower(M, Anything()) for n in range(4)}
    machines = [ControlMachine({M: Publisher(M, source.version, source.entries())}) for _ in range(2)]
    for name, relay in relays.items():
        machines[0].connect(name, {M: relay.applied_version}, 0)
        followed(machines[0], name, relay)
    now = source.change(s0=b"1")
    for machine in machines:
        machine.publishers[M].publish(Change(now, {"s0": b"1"}))
    for name in ("r0", "r1"):
        followed(machines[0], name, relays[name])
    assert [relay.applied_version.number for relay in relays.values()] == [2, 2, 1, 1]
    answers = {}
    for name, relay in relays.items():  # all of them call the second choice
        relay.disconnected()
        machines[1].connect(name, {M: relay.applied_version}, 0)
        answers[name] = followed(machines[1], name, relay)
    assert answers == {"r0": [], "r1": [], "r2": [Ack(M, now)], "r3": [Ack(M, now)]}
    assert {relay.applied_version for relay in relays.values()} == {now}


def test_two_stores_that_counted_alike_are_told_apart_until_one_begins_a_new_epoch() -> None:
    ours, theirs, relay = Source(), Source(), Follower(M, Anything())
    ours.change(s0=b"ours")
    held = theirs.change(s0=b"theirs")
    machine = ControlMachine({M: theirs.publisher})
    machine.connect("r", {}, 0)
    assert followed(machine, "r", relay) == [Ack(M, held)]
    machine = ControlMachine({M: ours.publisher})
    machine.connect("r", {M: relay.applied_version}, 0)
    (nack,) = followed(machine, "r", relay)
    assert isinstance(nack, Nack)
    assert nack.reason == Reason.CONFLICT
    assert relay.applied_version == held
    ours.publisher.load(Version(2, 1, ours.content.digest), ours.entries())
    machine.connect("r", {M: relay.applied_version}, 0)
    assert followed(machine, "r", relay) == [Ack(M, Version(2, 1, ours.content.digest))]


# ---- bytes


@pytest.mark.parametrize("size", [100, 1000, 12_000])
def test_any_ten_seconds_carry_under_100_kb(size: int) -> None:
    bucket, now, log = TokenBucket(0), 0, list[int]()
    while now < 60 * SECOND:
        wait = bucket.wait_us(now)
        if wait:
            now += wait
            continue
        bucket.charge(size)
        log.append(now)
    most = max(sum(at <= other < at + 10 * SECOND for other in log) * size for at in log)
    assert most <= 95_000
    assert len(log) * size > 0.95 * 60 * 7_500


def test_a_clock_that_is_set_back_neither_fills_nor_stalls_the_bucket() -> None:
    bucket = TokenBucket(100 * SECOND)
    bucket.charge(10_000)
    wait = bucket.wait_us(100 * SECOND)
    assert bucket.wait_us(10 * SECOND) == wait
    assert bucket.wait_us(10 * SECOND + wait) == 0


def test_calling_again_wins_no_new_burst() -> None:
    machine = ControlMachine({M: Source(2000).publisher})
    machine.connect("r", {}, 0)
    while isinstance(part := machine.poll("r", 0), Slice):
        machine.record_sent("r", 12_000)
    assert isinstance(part, Wait)
    assert part.duration_us
    machine.connect("r", {}, 0)
    assert isinstance(machine.poll("r", 0), Wait)


# ---- the first stage


def test_a_staged_version_goes_to_a_canary_and_to_all_once_it_is_released() -> None:
    source = Source()
    p, first = source.publisher, source.version
    for n in range(9):
        p.subscribe(f"r{n}", first)
    staged = source.change(staged=True, s0=b"1")
    got = {relay for relay in p.sessions if sent(p, relay)}
    assert p.stage is not None
    assert got == set(p.stage.canaries)
    assert len(got) == 1
    p.subscribe("late", NO_VERSION)
    late = sent(p, "late")
    assert {part.target for part in late} == {first}  # a relay without a base starts on what is released
    p.release(staged.number)
    assert {relay for relay in p.sessions if sent(p, relay)} == set(p.sessions) - got - {"late"}


def test_a_withdrawn_version_is_followed_never_taken_back() -> None:
    source = Source()
    p, first = source.publisher, source.version
    p.subscribe("r", first)
    staged = source.change(staged=True, s0=b"1")
    sent(p)
    p.record_answer("r", Ack(M, staged))
    for n in range(9):
        p.subscribe(f"r{n}", first)
    back = source.change(staged=True, s0=b"0")
    p.release(back.number)
    assert [(part.base, part.target) for part in sent(p)] == [(staged.number, back)]
    assert all([part.target for part in sent(p, f"r{n}")] == [back] for n in range(9))


V = Version(1, 2, 3)
ACK, NACK = Ack(M, V), Nack(M, V, Reason.CHECK, "bad", NO_VERSION)


def staged(*events: tuple[str, Ack | Nack | None, int]) -> tuple[Verdict, str]:
    """Two canaries; each event is a relay, its answer (None: it leaves), and how many of 100 it failed."""
    stage, coordinator, now = CanaryStage(V), RolloutCoordinator(), 0
    stage.choose_canaries(["a", "b"])
    for count, (relay, answer, failed) in enumerate(events, 1):
        if answer is None:
            stage.relay_disconnected(relay)
        else:
            stage.record_answer(relay, answer, ServiceTotals(100 * count - failed, failed))
    while True:
        report = replace(status_report(Source().publisher), stage=stage.report())
        (found,) = coordinator.decide({"c": [report]}, now)
        if found.verdict is not Verdict.WAIT:
            return found.verdict, found.reason
        now += 100_000
        assert now <= MAX_STAGE_US + OBSERVATION_US


@pytest.mark.parametrize(
    ("events", "verdict", "why"),
    [
        ([("a", ACK, 0), ("b", ACK, 0)], Verdict.RELEASE, ""),
        ([("a", ACK, 0)], Verdict.HALT, "not in force at b"),
        ([("a", ACK, 0), ("b", NACK, 0)], Verdict.HALT, "b: check: bad"),
        ([("a", ACK, 5), ("b", ACK, 0), ("a", ACK, 10)], Verdict.RELEASE, ""),
        ([("a", ACK, 5), ("b", ACK, 0), ("a", ACK, 60)], Verdict.HALT, "a: its service fell"),
        ([("a", ACK, 0), ("b", ACK, 0), ("b", None, 0)], Verdict.HALT, "b: lost"),
        ([("b", None, 0), ("a", ACK, 0)], Verdict.RELEASE, ""),
        ([("a", None, 0), ("b", None, 0)], Verdict.HALT, "any relay"),
    ],
)
def test_the_first_stage_decides(events: list, verdict: Verdict, why: str) -> None:
    found, reason = staged(*events)
    assert found is verdict
    assert why in reason


# ---- reports


def test_reports_name_the_stragglers_and_stay_bounded() -> None:
    source = Source()
    p = source.publisher
    for n in range(100):
        p.subscribe(f"r{n:02}", source.version)
    now = source.change(s0=b"1")
    for n in range(100):
        sent(p, f"r{n:02}")
        if n >= 40:
            p.record_answer(f"r{n:02}", Ack(M, now))
    mine = status_report(p)
    assert (mine.lowest, mine.at_newest, mine.behind, mine.relays) == (1, 60, 40, 100)
    both = merge_reports([mine, status_report(Source().publisher)])
    assert (both.lowest, both.newest, both.behind, len(both.stragglers)) == (1, 2, 40, 20)
    assert both.stragglers[0] == "r00"


def changes_after_start(count: int) -> tuple[Version, list[Change], Publisher]:
    """A version, the store's changes after it, and a machine that started after all of them."""
    source = Source()
    first, log = source.version, VersionLog(source.version)
    for number in range(count):
        log.add(Change(source.change(s0=b"%d" % number), {"s0": b"%d" % number}))
    return first, list(log.changes), Publisher(M, source.version, source.entries())


def test_a_machine_that_started_later_reaches_back_to_what_a_relay_holds() -> None:
    first, changes, publisher = changes_after_start(3)
    assert publisher.history.is_compacted(first)
    assert not publisher.history.is_compacted(publisher.newest)
    assert not publisher.history.is_compacted(replace(first, epoch=2))
    assert not publisher.history.is_compacted(NO_VERSION)
    publisher.history.extend_back(first, changes)
    publisher.subscribe("r", first)
    publisher.subscribe("between", changes[0].version)
    assert not publisher.history.is_compacted(first)
    for relay, held in (("r", first), ("between", changes[0].version)):
        (part,) = sent(publisher, relay)
        assert part.base == held.number
        assert [entry.body for entry in part.entries] == [b"2"]


@pytest.mark.parametrize("spoilt", ["a gap at the end", "none", "from a later version", "more than is kept"])
def test_changes_that_do_not_lead_to_a_machines_start_are_left_out(spoilt: str) -> None:
    first, changes, publisher = changes_after_start(3)
    if spoilt == "a gap at the end":
        changes = changes[:-1]
    elif spoilt == "none":
        changes = []
    elif spoilt == "from a later version":
        first = changes[-1].version
    else:
        publisher.history.log.max_versions = 2
    publisher.history.extend_back(first, changes)
    assert publisher.history.log.oldest == publisher.newest
    assert not publisher.history.log.changes
    assert publisher.history.log.digest_by_number == {publisher.newest.number: publisher.newest.digest}
