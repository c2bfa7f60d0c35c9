"""Tests of a control machine's decisions: deltas, order of versions, byte budget, canaries and reports."""

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
from gannetweir.control.version_log import MAX_VERSIONS, Change, VersionLog
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

MEMBERSHIP = Resource.MEMBERSHIP
SECOND_US = 1_000_000


class VersionSource:
    """Creates versions and passes them to a publisher."""

    def __init__(self, count: int = 3, epoch: int = 1) -> None:
        self.content = Content(Entry(f"s{number}", b"0") for number in range(count))
        self.version = Version(epoch, 1, self.content.digest)
        self.publisher = Publisher(MEMBERSHIP, self.version, self.entries())

    def entries(self) -> list[Entry]:
        return [Entry(key, body) for key, body in self.content.entries.items()]

    def change(self, staged: bool = False, **bodies: bytes | None) -> Version:
        for key, body in bodies.items():
            self.content.put(key, body)
        self.version = Version(self.version.epoch, self.version.number + 1, self.content.digest)
        self.publisher.publish(Change(self.version, bodies), staged)
        return self.version


def next_slices(publisher: Publisher, relay: str = "r") -> list[Slice]:
    slices = []
    while (part := publisher.next_slice(relay, 0)) is not None:
        slices.append(part)
    return slices


def test_a_slow_relay_gets_one_coalesced_delta() -> None:
    source = VersionSource()
    publisher = source.publisher
    first = source.version
    publisher.subscribe("r", first)
    second = source.change(s0=b"1")
    (part,) = next_slices(publisher)
    assert (part.base, part.target, part.entries) == (1, second, (Entry("s0", b"1"),))
    for number in range(2, 50):
        source.change(s0=b"%d" % number, s1=b"%d" % number)
        assert next_slices(publisher) == []  # the relay has not answered yet
    source.change(s1=None)
    publisher.record_answer("r", Ack(MEMBERSHIP, second))
    (part,) = next_slices(publisher)
    assert (part.base, part.target) == (2, source.version)
    assert set(part.entries) == {Entry("s0", b"49"), Entry("s1", None)}
    publisher.record_answer("r", Ack(MEMBERSHIP, source.version))
    assert next_slices(publisher) == []
    assert status_report(publisher).lowest == source.version.number


@pytest.mark.parametrize(
    "applied", [pytest.param(NO_VERSION, id="nothing"), pytest.param(Version(1, 1, 77), id="another content")]
)
def test_a_relay_without_a_base_gets_a_snapshot_in_slices_of_bounded_size(applied: Version) -> None:
    source = VersionSource(2000)
    publisher = source.publisher
    publisher.subscribe("r", applied)
    parts = next_slices(publisher)
    assert [part.index for part in parts] == list(range(len(parts)))
    assert parts[0].count == len(parts) > 1
    assert all(part.base is None for part in parts)
    assert all(
        sum(len(entry.key) + len(entry.body or b"") for entry in part.entries) <= SLICE_BYTES
        for part in parts
    )
    assert {entry.key for part in parts for entry in part.entries} == set(source.content.entries)


def test_a_cached_list_without_an_epoch_is_a_base_if_its_digest_matches() -> None:
    source = VersionSource()
    cached = Version(0, 1, source.version.digest)
    source.change(s0=b"1")
    source.publisher.subscribe("r", cached)
    assert [part.base for part in next_slices(source.publisher)] == [1]


@pytest.mark.parametrize(
    "applied",
    [pytest.param(Version(1, 2, 5), id="a later number"), pytest.param(Version(3, 1, 0), id="a later epoch")],
)
def test_a_machine_that_is_behind_does_not_serve_the_relay(applied: Version) -> None:
    publisher = VersionSource().publisher
    with pytest.raises(MachineBehindError):
        publisher.subscribe("r", applied)


@pytest.mark.parametrize(
    ("version", "reason"),
    [(Version(1, 1, 0), Reason.OLDER), (Version(2, 9, 0), Reason.OLDER), (Version(1, 2, 5), Reason.DIGEST)],
)
def test_a_wrong_change_from_the_store_is_not_published(version: Version, reason: Reason) -> None:
    source = VersionSource()
    with pytest.raises(RejectedError) as error:
        source.publisher.publish(Change(version, {"s0": b"1"}))
    assert error.value.reason == reason
    assert source.publisher.newest == source.version


def test_a_rejected_version_is_not_sent_again() -> None:
    source = VersionSource()
    publisher = source.publisher
    first = source.version
    publisher.subscribe("r", first)
    second = source.change(s0=b"1")
    next_slices(publisher)
    publisher.record_answer("r", Nack(MEMBERSHIP, second, Reason.CHECK, "bad", first))
    assert next_slices(publisher) == []
    assert status_report(publisher).rejections == ("r: check: bad",)
    source.change(s0=b"2")
    assert [part.base for part in next_slices(publisher)] == [1]


def test_a_delta_with_a_wrong_digest_is_followed_by_one_snapshot() -> None:
    source = VersionSource()
    publisher = source.publisher
    first = source.version
    publisher.subscribe("r", first)
    source.change(s0=b"1")
    rejected = publisher.newest
    assert [part.base for part in next_slices(publisher)] == [1]
    publisher.record_answer("r", Nack(MEMBERSHIP, rejected, Reason.CHECK, "bad", first))
    newest = source.change(s0=b"2")
    assert [part.base for part in next_slices(publisher)] == [1]
    publisher.record_answer("r", Nack(MEMBERSHIP, newest, Reason.DIGEST, "", first))
    assert [part.base for part in next_slices(publisher)] == [None]
    publisher.record_answer("r", Nack(MEMBERSHIP, newest, Reason.DIGEST, "", first))
    assert next_slices(publisher) == []


def test_a_log_compacts_its_oldest_versions() -> None:
    log = VersionLog(Version(1, 1, 1), max_versions=2)
    for number in 2, 3, 4:
        log.add(Change(Version(1, number, number), {"a": b"%d" % number}))
    assert not log.contains(Version(1, 1, 1))
    assert log.contains(Version(1, 2, 2))
    assert log.changes_between(2, 4) == {"a": b"4"}


def test_an_overdue_answer_is_detected_after_the_clock_was_set_back() -> None:
    source = VersionSource()
    publisher = source.publisher
    publisher.subscribe("r", NO_VERSION)
    assert publisher.next_slice("r", 100 * SECOND_US) is not None
    assert not publisher.is_ack_overdue("r", 90 * SECOND_US)
    assert not publisher.is_ack_overdue("r", 90 * SECOND_US + ACK_TIMEOUT_US)
    assert publisher.is_ack_overdue("r", 91 * SECOND_US + ACK_TIMEOUT_US)


def serve_relay(machine: ControlMachine, name: str, relay: Follower) -> list[Ack | Nack]:
    """Send slices to a relay until the machine has none left; return the relay's answers."""
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


class AcceptEverything:
    def check_entry(self, resource: Resource, entry: Entry) -> str:
        return ""

    def check_version(
        self, resource: Resource, applied: Mapping[str, bytes], changes: Mapping[str, bytes | None]
    ) -> str:
        return ""


def test_relays_converge_at_another_machine_after_theirs_fails_halfway() -> None:
    source = VersionSource()
    relays = {f"r{number}": Follower(MEMBERSHIP, AcceptEverything()) for number in range(4)}
    machines = [
        ControlMachine({MEMBERSHIP: Publisher(MEMBERSHIP, source.version, source.entries())})
        for _ in range(2)
    ]
    for name, relay in relays.items():
        machines[0].connect(name, {MEMBERSHIP: relay.applied_version}, 0)
        serve_relay(machines[0], name, relay)
    newest = source.change(s0=b"1")
    for machine in machines:
        machine.publishers[MEMBERSHIP].publish(Change(newest, {"s0": b"1"}))
    for name in ("r0", "r1"):
        serve_relay(machines[0], name, relays[name])
    assert [relay.applied_version.number for relay in relays.values()] == [2, 2, 1, 1]
    answers = {}
    for name, relay in relays.items():  # all relays reconnect to the second machine
        relay.disconnected()
        machines[1].connect(name, {MEMBERSHIP: relay.applied_version}, 0)
        answers[name] = serve_relay(machines[1], name, relay)
    ack = Ack(MEMBERSHIP, newest)
    assert answers == {"r0": [], "r1": [], "r2": [ack], "r3": [ack]}
    assert {relay.applied_version for relay in relays.values()} == {newest}


def test_two_stores_with_the_same_number_conflict_until_one_begins_a_new_epoch() -> None:
    ours = VersionSource()
    theirs = VersionSource()
    relay = Follower(MEMBERSHIP, AcceptEverything())
    ours.change(s0=b"ours")
    applied = theirs.change(s0=b"theirs")
    machine = ControlMachine({MEMBERSHIP: theirs.publisher})
    machine.connect("r", {}, 0)
    assert serve_relay(machine, "r", relay) == [Ack(MEMBERSHIP, applied)]
    machine = ControlMachine({MEMBERSHIP: ours.publisher})
    machine.connect("r", {MEMBERSHIP: relay.applied_version}, 0)
    (nack,) = serve_relay(machine, "r", relay)
    assert isinstance(nack, Nack)
    assert nack.reason == Reason.CONFLICT
    assert relay.applied_version == applied
    ours.publisher.load(Version(2, 1, ours.content.digest), ours.entries())
    machine.connect("r", {MEMBERSHIP: relay.applied_version}, 0)
    assert serve_relay(machine, "r", relay) == [Ack(MEMBERSHIP, Version(2, 1, ours.content.digest))]


@pytest.mark.parametrize("size", [100, 1000, 12_000])
def test_any_ten_seconds_admit_under_100_kb(size: int) -> None:
    bucket = TokenBucket(0)
    now_us = 0
    sent_us = list[int]()
    while now_us < 60 * SECOND_US:
        wait = bucket.wait_us(now_us)
        if wait:
            now_us += wait
            continue
        bucket.charge(size)
        sent_us.append(now_us)
    max_window_bytes = max(
        sum(at <= other < at + 10 * SECOND_US for other in sent_us) * size for at in sent_us
    )
    assert max_window_bytes <= 95_000
    assert len(sent_us) * size > 0.95 * 60 * 7_500


def test_a_clock_that_is_set_back_neither_fills_nor_stalls_the_bucket() -> None:
    bucket = TokenBucket(100 * SECOND_US)
    bucket.charge(10_000)
    wait = bucket.wait_us(100 * SECOND_US)
    assert bucket.wait_us(10 * SECOND_US) == wait
    assert bucket.wait_us(10 * SECOND_US + wait) == 0


def test_a_reconnect_grants_no_new_burst() -> None:
    machine = ControlMachine({MEMBERSHIP: VersionSource(2000).publisher})
    machine.connect("r", {}, 0)
    while isinstance(part := machine.poll("r", 0), Slice):
        machine.record_sent("r", 12_000)
    assert isinstance(part, Wait)
    assert part.duration_us
    machine.connect("r", {}, 0)
    assert isinstance(machine.poll("r", 0), Wait)


def test_a_staged_version_goes_to_a_canary_and_to_all_once_it_is_released() -> None:
    source = VersionSource()
    publisher = source.publisher
    first = source.version
    for number in range(9):
        publisher.subscribe(f"r{number}", first)
    staged = source.change(staged=True, s0=b"1")
    canaries = {relay for relay in publisher.sessions if next_slices(publisher, relay)}
    assert publisher.stage is not None
    assert canaries == set(publisher.stage.canaries)
    assert len(canaries) == 1
    publisher.subscribe("late", NO_VERSION)
    without_base = next_slices(publisher, "late")
    assert {part.target for part in without_base} == {first}  # a new relay starts on the released version
    publisher.release(staged.number)
    others = set(publisher.sessions) - canaries - {"late"}
    assert {relay for relay in publisher.sessions if next_slices(publisher, relay)} == others


def test_a_withdrawn_version_is_replaced_by_a_later_one() -> None:
    source = VersionSource()
    publisher = source.publisher
    first = source.version
    publisher.subscribe("r", first)
    staged = source.change(staged=True, s0=b"1")
    next_slices(publisher)
    publisher.record_answer("r", Ack(MEMBERSHIP, staged))
    for number in range(9):
        publisher.subscribe(f"r{number}", first)
    reverted = source.change(staged=True, s0=b"0")
    publisher.release(reverted.number)
    assert [(part.base, part.target) for part in next_slices(publisher)] == [(staged.number, reverted)]
    assert all(
        [part.target for part in next_slices(publisher, f"r{number}")] == [reverted] for number in range(9)
    )


STAGED_VERSION = Version(1, 2, 3)
ACK = Ack(MEMBERSHIP, STAGED_VERSION)
NACK = Nack(MEMBERSHIP, STAGED_VERSION, Reason.CHECK, "bad", NO_VERSION)


def stage_verdict(*events: tuple[str, Ack | Nack | None, int]) -> tuple[Verdict, str]:
    """Return the verdict and reason on a stage with two canaries.

    An event has a relay, its answer (None: the relay disconnects), and its total of failed answers to
    clients. The relay's total of all answers to clients is 100 at the first event, 200 at the second, and so
    on.
    """
    stage = CanaryStage(STAGED_VERSION)
    coordinator = RolloutCoordinator()
    now_us = 0
    stage.choose_canaries(["a", "b"])
    for count, (relay, answer, failed) in enumerate(events, 1):
        if answer is None:
            stage.relay_disconnected(relay)
        else:
            stage.record_answer(relay, answer, ServiceTotals(100 * count - failed, failed))
    while True:
        report = replace(status_report(VersionSource().publisher), stage=stage.report())
        (decision,) = coordinator.decide({"c": [report]}, now_us)
        if decision.verdict is not Verdict.WAIT:
            return decision.verdict, decision.reason
        now_us += 100_000
        assert now_us <= MAX_STAGE_US + OBSERVATION_US


@pytest.mark.parametrize(
    ("events", "verdict", "reason"),
    [
        pytest.param([("a", ACK, 0), ("b", ACK, 0)], Verdict.RELEASE, "", id="all apply it"),
        pytest.param([("a", ACK, 0)], Verdict.HALT, "not in force at b", id="one is pending"),
        pytest.param([("a", ACK, 0), ("b", NACK, 0)], Verdict.HALT, "b: check: bad", id="one rejects it"),
        pytest.param(
            [("a", ACK, 5), ("b", ACK, 0), ("a", ACK, 10)],
            Verdict.RELEASE,
            "",
            id="one has the same success ratio",
        ),
        pytest.param(
            [("a", ACK, 5), ("b", ACK, 0), ("a", ACK, 60)],
            Verdict.HALT,
            "a: its service fell",
            id="one has a lower success ratio",
        ),
        pytest.param(
            [("a", ACK, 0), ("b", ACK, 0), ("b", None, 0)],
            Verdict.HALT,
            "b: lost",
            id="one disconnects after applying it",
        ),
        pytest.param(
            [("b", None, 0), ("a", ACK, 0)], Verdict.RELEASE, "", id="one disconnects before applying it"
        ),
        pytest.param(
            [("a", None, 0), ("b", None, 0)],
            Verdict.HALT,
            "any relay",
            id="all disconnect before applying it",
        ),
    ],
)
def test_the_canary_stage_decides_on_a_release(
    events: list[tuple[str, Ack | Nack | None, int]], verdict: Verdict, reason: str
) -> None:
    found_verdict, found_reason = stage_verdict(*events)
    assert found_verdict is verdict
    assert reason in found_reason


def test_reports_name_stragglers_and_have_a_bounded_size() -> None:
    source = VersionSource()
    publisher = source.publisher
    for number in range(100):
        publisher.subscribe(f"r{number:02}", source.version)
    newest_version = source.change(s0=b"1")
    for number in range(100):
        next_slices(publisher, f"r{number:02}")
        if number >= 40:
            publisher.record_answer(f"r{number:02}", Ack(MEMBERSHIP, newest_version))
    own_report = status_report(publisher)
    assert (own_report.lowest, own_report.at_newest, own_report.behind, own_report.relays) == (1, 60, 40, 100)
    merged_report = merge_reports([own_report, status_report(VersionSource().publisher)])
    assert (
        merged_report.lowest,
        merged_report.newest,
        merged_report.behind,
        len(merged_report.stragglers),
    ) == (1, 2, 40, 20)
    assert merged_report.stragglers[0] == "r00"


def changes_after_start(count: int) -> tuple[Version, list[Change], Publisher]:
    """Return a version, the later changes in the store, and a publisher that started after these changes."""
    source = VersionSource()
    first = source.version
    log = VersionLog(first)
    for number in range(count):
        log.add(Change(source.change(s0=b"%d" % number), {"s0": b"%d" % number}))
    return first, list(log.changes), Publisher(MEMBERSHIP, source.version, source.entries())


def test_a_machine_that_started_later_extends_its_log_back_to_what_a_relay_has_applied() -> None:
    first, changes, publisher = changes_after_start(3)
    assert publisher.history.is_compacted(first)
    assert not publisher.history.is_compacted(publisher.newest)
    assert not publisher.history.is_compacted(replace(first, epoch=2))
    assert not publisher.history.is_compacted(NO_VERSION)
    publisher.history.extend_back(first, changes)
    publisher.subscribe("r", first)
    publisher.subscribe("between", changes[0].version)
    assert not publisher.history.is_compacted(first)
    for relay, applied in (("r", first), ("between", changes[0].version)):
        (part,) = next_slices(publisher, relay)
        assert part.base == applied.number
        assert [entry.body for entry in part.entries] == [b"2"]


@pytest.mark.parametrize(
    ("base_index", "changes_used", "max_versions"),
    [
        pytest.param(0, slice(0, -1), MAX_VERSIONS, id="a gap at the end"),
        pytest.param(0, slice(0, 0), MAX_VERSIONS, id="none"),
        pytest.param(3, slice(0, 3), MAX_VERSIONS, id="from a later version"),
        pytest.param(0, slice(0, 3), 2, id="more than the log's limit"),
    ],
)
def test_changes_that_do_not_lead_to_the_logs_oldest_version_are_ignored(
    base_index: int, changes_used: slice, max_versions: int
) -> None:
    first, changes, publisher = changes_after_start(3)
    base = [first, *(change.version for change in changes)][base_index]
    log = publisher.history.log
    log.max_versions = max_versions
    publisher.history.extend_back(base, changes[changes_used])
    assert log.oldest == publisher.newest
    assert not log.changes
    assert log.digest_by_number == {publisher.newest.number: publisher.newest.digest}
