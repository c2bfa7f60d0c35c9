"""Skeleton fleets: the experiment file, figures, messages, and small fleets in real processes.

No test asserts a duration: each waits until a version is in force, and checks only the order of events.
"""

from __future__ import annotations

import socket
from pathlib import Path
from typing import Any

import anyio
import pytest

from gannetweir.lab.scale.direct_distribution import Direct
from gannetweir.lab.scale.discovery_stub import HEAD, HEARTBEAT, Membership, Watch
from gannetweir.lab.scale.distribution import Store
from gannetweir.lab.scale.fleet import Fleet, with_fleet
from gannetweir.lab.scale.fleet_experiment import FAULTS, Fault, FleetError, parse_fleet, select
from gannetweir.lab.scale.fleet_figures import (
    in_force_times,
    max_in_window,
    percentile,
    recovery_s,
    spread,
    total_received,
)
from gannetweir.lab.scale.fleet_results import keep, load, merge
from gannetweir.lab.scale.fleet_run import play_fleet
from gannetweir.lab.scale.messages import (
    AskServed,
    Publish,
    Records,
    RelayRecord,
    Served,
    ServerMode,
    SetMode,
    decode,
    encode,
)
from gannetweir.limits import Limits
from gannetweir.membership.membership_update import MembershipUpdate
from gannetweir.proto.endpoint_watch import EndpointWatch, Heartbeat
from tests.helpers import settings

EXPERIMENTS = Path(__file__).parent.parent / "experiments"
SMALL_EXPERIMENT = """experiment "small" {
    relays 6
    backends 20
    hosts 2
    zones 3
    ask-within "200ms"
    true-relays 1
    within "20s"
    phase "ordinary" changes=5 every="20ms"
    phase "zone" fault="zone-restarted" changes=2 every="50ms"
}"""
IN_FORCE_TIMEOUT_S = 20.0  # reached only by a failing test


# ---- the experiment file


def test_the_experiment_files_are_valid() -> None:
    fleet = parse_fleet((EXPERIMENTS / "hollow-fleet.kdl").read_text())
    assert fleet.relays == (100, 300, 750, 1500) and fleet.hosts <= 40
    # test_skeleton_control.py checks the faults of "control".
    assert {phase.fault for phase in fleet.phases} == FAULTS["direct"]
    assert sum(p.changes for p in fleet.phases if p.fault is Fault.NONE) == 200
    alone = parse_fleet((EXPERIMENTS / "hollow-alone.kdl").read_text())
    assert alone.relays == (8,) and alone.hosts == alone.true_relays == 8  # a process each
    assert parse_fleet((EXPERIMENTS / "hollow-lists.kdl").read_text()).backends == (5000, 15_000)


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ("relays 0", "line 2: relays: expected integers from 1 to 2000"),
        ("relays", "line 2: relays: expected integers"),
        ("relays 1.5", "line 2: relays: expected integers"),
        ("hosts 41", "line 2: hosts: expected integers from 1 to 40"),
        ("hosts 2 3", "line 2: hosts: expected one number"),
        ('distribution "carrier"', "line 2: distribution: expected one of direct"),
        ('ask-within "soon"', "line 2: ask-within: a time with its unit"),
        ("ask-within", "line 2: ask-within: a time with its unit"),
        ('within "3m"', "line 2: within: 180 s exceeds 120 s"),
        ("colour 3", "line 2: unknown node colour"),
        ('phase "p, q" changes=1', "without a comma"),  # commas separate the names of `--phases`
        ('phase "p"', "line 2: phase without effect"),
        ('phase "p" changes=-1', "line 2: changes: expected an integer from 0 to 1000"),
        ('phase "p" changes=#true', "line 2: changes: expected an integer"),
        ('phase "p" fault="flood" changes=1', "line 2: fault: expected one of none, discovery-killed"),
        ('phase "p" changes=1 when="2s"', "line 2: phase: unknown property when"),
        ('phase "p" changes=200 every="1s"', "line 2: the changes take longer than 120 s"),
        ("relays 2000; backends 6001", "relays times backends exceeds 12,000,000"),
        ('phase "x" changes=1', "two phases have the same name"),
    ],
)
def test_an_invalid_line_is_reported_with_its_number(line: str, expected: str) -> None:
    with pytest.raises(FleetError) as error:
        parse_fleet(f'experiment "e" {{\n    {line}\n    phase "x" changes=1\n}}')
    assert expected in str(error.value)


def test_a_size_or_phases_are_selected_from_the_file() -> None:
    fleet = parse_fleet((EXPERIMENTS / "hollow-fleet.kdl").read_text())
    chosen = select(fleet, "300", "5000", "zone restarted, idle")
    assert (chosen.relays, chosen.backends) == ((300,), (5000,))
    assert [p.name for p in chosen.phases] == ["zone restarted", "idle"]
    for options in (("301", None, None), (None, "x", None), (None, None, "noon")):
        with pytest.raises(FleetError):
            select(fleet, *options)


# ---- figures


def test_percentiles_are_values_that_occurred() -> None:
    values = [float(n) for n in range(1, 201)]
    result = spread(reversed(values))
    assert (result.p50, result.p99, result.maximum) == (100.0, 198.0, 200.0)
    assert percentile([7.0], 0.99) == 7.0 and spread([]).maximum == 0.0


def test_a_later_version_brings_an_earlier_change_in_force() -> None:
    ms = 1_000_000
    one = RelayRecord(0, versions=[1, 2, 4], applied_ns=[0, 12 * ms, 40 * ms])
    other = RelayRecord(1, versions=[1], applied_ns=[0])  # got no further version
    times = in_force_times([one, other], {2: 10 * ms, 3: 20 * ms, 4: 30 * ms})
    assert (times.ms.p50, times.ms.maximum, times.missing) == (10.0, 20.0, 3)


def test_windows_of_bytes_slide_and_stay_in_their_phase() -> None:
    received = {0: 500, 9: 5, 10: 7, 18: 1, 19: 3, 29: 900}
    assert max_in_window(received, 1, 29) == 5 + 7 + 1  # sums seconds 9 to 18
    assert max_in_window(received, 10, 20) == 11
    received[30] = 10_000
    assert max_in_window(received, 28, 30) == 900  # a phase shorter than the window
    assert total_received(received, 9, 19) == 13


def test_recovery_counts_from_the_faults_end_or_from_a_relays_start() -> None:
    second = 1_000_000_000
    running = RelayRecord(0, [1, 5], [0, 7 * second], started_ns=[0])
    assert recovery_s([running], 5, 4 * second, 0, 9 * second) == 3.0
    started = RelayRecord(1, [5, 5], [1 * second, 9 * second], started_ns=[0, 3 * second])
    assert recovery_s([running, started], 5, 4 * second, 2 * second, 9 * second) == 6.0
    assert recovery_s([running], 6, 4 * second, 0, 9 * second) == -1.0
    without_list = RelayRecord(2, [5], [1 * second], started_ns=[0, 3 * second])
    assert recovery_s([without_list], 5, 4 * second, 2 * second, 9 * second) == -1.0


def test_a_run_replaces_only_the_stored_run_of_its_size(tmp_path: Path) -> None:
    fleet = parse_fleet(SMALL_EXPERIMENT)

    async def play() -> Any:
        return await play_fleet(fleet, 6, 20, lambda phase, share: None)

    run = anyio.run(play)
    assert [phase.missing for phase in run.phases] == [0, 0] and run.driver_faults == []
    ordinary, zone = run.phases
    assert ordinary.changes == 5 and ordinary.snapshots == 0
    assert zone.snapshots == 2 and zone.recovered_s > 0  # zone 0 has relays 0 and 3
    assert zone.window_most_kb > zone.window_p50_kb  # only these two relays received a snapshot
    assert run.phases[0].true_kb_mean > 0 and len(run.true_list_kb) == 1
    keep(fleet, [run], tmp_path)
    assert load(tmp_path) == [run]
    page = (tmp_path / "README.md").read_text()
    assert "### zone" in page and "### Hollow and true relays side by side" in page
    assert (tmp_path / "last-20.svg").read_text().startswith("<svg")
    newer_run = load(tmp_path)[0]
    newer_run.start_s = 99.0
    smaller_run = load(tmp_path)[0]
    smaller_run.relays = 5
    newer_run.phases = newer_run.phases[1:]  # the phase that the new run lacks stays
    merged = merge([run], [smaller_run, newer_run])
    assert [r.start_s for r in merged] == [smaller_run.start_s, 99.0]
    assert merged[1].phases == run.phases


# ---- messages and the stand-in discovery


def test_messages_survive_encoding_and_decoding() -> None:
    record = RelayRecord(3, [1, 2], [10, 20], {0: 5, 7: 9}, [1], ["OSError: x"], 2, 1)
    for message in (Records([record]), Publish(4, {"host": "b1"}), SetMode(ServerMode.SILENT)):
        assert decode(encode(message).rstrip(b"\n")) == message
    with pytest.raises(KeyError):
        decode(b'["Nonsense", {}]')


def test_a_watch_starts_with_a_snapshot_or_a_delta() -> None:
    store, membership = Store(zones=2), Membership()
    store.fill(3)
    membership.replace(store.version, list(store.members.values()))
    for _ in range(3):
        change = store.change()
        membership.publish(change.version, change.member)
    watch = EndpointWatch("d", 0, settings(), Limits())
    chunk, is_snapshot = membership.since(0)
    (update,) = watch.feed(HEAD + chunk)
    assert isinstance(update, MembershipUpdate)
    assert is_snapshot and update.complete and update.version == 4 and len(update.endpoints) == 3
    assert watch.feed(HEARTBEAT) == [Heartbeat()]
    chunk, is_snapshot = membership.since(2)
    (update,) = EndpointWatch("d", 2, settings(), Limits()).feed(HEAD + chunk)
    assert isinstance(update, MembershipUpdate)
    assert not is_snapshot and update.version == 4 and len(update.endpoints) == 2
    assert not membership.since(4)[1]  # an empty delta
    fresh = Membership()
    fresh.replace(store.version, list(store.members.values()))
    assert fresh.since(2)[1] and not fresh.since(4)[1]  # after a restart, earlier versions are unknown


def test_a_slow_watch_sends_pending_data_complete_and_in_order() -> None:
    server_end, client_end = socket.socketpair()
    with server_end, client_end:
        server_end.setblocking(False)
        watch = Watch(server_end)
        data = bytes(range(256)) * 8192
        watch.pending.extend([memoryview(data), memoryview(b"end")])
        assert watch.send_pending(1) == 1  # one byte, as in the trickle fault
        received = client_end.recv(1 << 22)
        while not received.endswith(b"end"):
            watch.send_pending()
            received += client_end.recv(1 << 22)
        assert received == data + b"end" and not watch.pending


# ---- small fleets; waiting for versions forces the order of events


def play_faults(*faults: Fault) -> Fleet:
    fleet = Fleet(parse_fleet(SMALL_EXPERIMENT), 6, 20)

    async def use(fleet: Fleet) -> None:
        for fault in faults:
            await fleet.distribution.begin_fault(fault)
            change = fleet.store.change()
            await fleet.distribution.publish(change)
            assert await fleet.count_in_force(change.version) == 0  # no server could send the change
            await fleet.distribution.end_fault(fault)
            assert await fleet.wait_in_force(change.version, IN_FORCE_TIMEOUT_S)
        fleet.final_records = await fleet.records()  # type: ignore[attr-defined]

    anyio.run(with_fleet, fleet, use)
    return fleet


def test_a_change_during_a_fault_comes_in_force_after_it() -> None:
    fleet = play_faults(Fault.DISCOVERY_KILLED, Fault.DISCOVERY_SILENT)
    records = fleet.final_records  # type: ignore[attr-defined]
    assert [record.relay for record in sorted(records, key=lambda r: r.relay)] == list(range(6))
    for record in records:
        assert record.versions == sorted(record.versions) and record.versions[-1] == 3
        assert record.faults == [] and record.watch_failures >= 1  # relays noticed the end of discovery


def test_a_restarted_relay_leaves_no_watch_behind() -> None:
    async def use(fleet: Fleet) -> None:
        assert isinstance(fleet.distribution, Direct) and fleet.distribution.discovery is not None
        await fleet.restart(range(6))
        assert await fleet.wait_in_force(1, IN_FORCE_TIMEOUT_S)
        with anyio.fail_after(IN_FORCE_TIMEOUT_S):  # discovery notices an end only when the kernel reports it
            while True:
                served = await fleet.distribution.discovery.call(AskServed())
                if isinstance(served, Served) and served.watches == 7:  # 6 skeleton relays and a true relay
                    return
                await anyio.sleep(0.01)

    anyio.run(with_fleet, Fleet(parse_fleet(SMALL_EXPERIMENT), 6, 20), use)


def test_on_a_slow_link_a_restarted_relay_gets_its_list_in_pieces() -> None:
    async def use(fleet: Fleet) -> None:
        await fleet.distribution.begin_fault(Fault.ZONE_RESTARTED_SLOW_LINK)
        await fleet.restart([0])
        assert await fleet.wait_in_force(1, IN_FORCE_TIMEOUT_S)  # the list of 20 backends has 2.6 KB
        record = next(record for record in await fleet.records() if record.relay == 0)
        assert len(record.started_ns) == 2
        await fleet.distribution.end_fault(Fault.ZONE_RESTARTED_SLOW_LINK)
        change = fleet.store.change()
        await fleet.distribution.publish(change)
        assert await fleet.wait_in_force(change.version, IN_FORCE_TIMEOUT_S)

    anyio.run(with_fleet, Fleet(parse_fleet(SMALL_EXPERIMENT), 6, 20), use)


def test_a_trickle_of_bytes_does_not_keep_a_watch_alive() -> None:
    fleet = play_faults(Fault.DISCOVERY_TRICKLES)
    assert all(r.versions[-1] == 2 for r in fleet.final_records)  # type: ignore[attr-defined]


def test_the_server_port_is_outside_the_ephemeral_range() -> None:
    """A relay that connects to the port of a dead server from that same port would be connected to itself."""
    first = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    ports = {int(server.rpartition(":")[2]) for server in Direct(Store(1), 3).listen}
    assert len(ports) == 1 and ports.pop() < first
