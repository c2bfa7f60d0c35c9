"""The control plane of a skeleton fleet: machines in real processes, faults, and restarts of relays.

No test asserts a duration: waiting for versions forces the order of events.
"""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

import anyio
import pytest

from gannetweir.lab.scale.child import Usage
from gannetweir.lab.scale.control_distribution import FAULTY_MACHINE, ControlPlane
from gannetweir.lab.scale.distribution import ServedTotals
from gannetweir.lab.scale.fleet import Fleet, with_fleet
from gannetweir.lab.scale.fleet_experiment import FAULTS, Fault, FleetError, parse_fleet
from gannetweir.lab.scale.fleet_results import keep, load
from gannetweir.lab.scale.fleet_run import play_fleet
from gannetweir.lab.scale.server_load import Sample, server_load

EXPERIMENTS = Path(__file__).parent.parent / "experiments"
SMALL_EXPERIMENT = """experiment "small" {
    distribution "control"
    machines 3
    relays 6
    backends 20
    hosts 2
    zones 3
    within "20s"
    phase "ordinary" changes=5 every="20ms"
    phase "zone" fault="zone-restarted" changes=2 every="50ms"
}"""
IN_FORCE_TIMEOUT_S = 20.0  # reached only by a failing test


async def publish_change(fleet: Fleet) -> int:
    """Publish a change, wait until it is in force on every relay, and return its version."""
    change = fleet.store.change()
    await fleet.distribution.publish(change)
    assert await fleet.wait_in_force(change.version, IN_FORCE_TIMEOUT_S)
    return change.version


def play(use: Any) -> None:
    async def checked(fleet: Fleet) -> None:
        await use(fleet)
        for record in await fleet.records():
            assert record.faults == [] and record.versions == sorted(record.versions)
            assert record.versions[-1] == fleet.store.version

    anyio.run(with_fleet, Fleet(parse_fleet(SMALL_EXPERIMENT), 6, 20), checked)


def test_the_experiment_plays_every_fault_of_its_distribution() -> None:
    fleet = parse_fleet((EXPERIMENTS / "hollow-control.kdl").read_text())
    assert (fleet.distribution, fleet.machines, fleet.relays) == ("control", 15, (100, 300, 750, 1500))
    assert {phase.fault for phase in fleet.phases} == FAULTS["control"]
    direct = parse_fleet((EXPERIMENTS / "hollow-fleet.kdl").read_text())
    both = {phase.name for phase in fleet.phases} & {phase.name for phase in direct.phases}
    assert {"idle", "ordinary state", "zone restarted", "all restarted in tenths"} <= both


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        (
            'phase "p" fault="discovery-killed" changes=1',
            "phase 'p': fault discovery-killed is not in distribution 'control'",
        ),
        ("machines 41", "line 2: machines: expected integers from 1 to 40"),
    ],
)
def test_a_fault_of_another_distribution_is_rejected(line: str, expected: str) -> None:
    with pytest.raises(FleetError) as error:
        parse_fleet(f'experiment "e" {{\n    {line}\n    distribution "control"\n    phase "x" changes=1\n}}')
    assert expected in str(error.value)


def test_a_run_counts_snapshots_and_each_machines_load(tmp_path: Path) -> None:
    fleet = parse_fleet(SMALL_EXPERIMENT)

    async def played() -> Any:
        return await play_fleet(fleet, 6, 20, lambda phase, share: None)

    run = anyio.run(played)
    ordinary, zone = run.phases
    assert [phase.missing for phase in run.phases] == [0, 0] and run.driver_faults == []
    assert (ordinary.snapshots, zone.snapshots) == (0, 2)  # relays 0 and 3, which restarted without a list
    assert min(ordinary.one_server_kb_s, ordinary.one_server_kb_most, ordinary.one_server_mb_most) > 0
    keep(fleet, [run], tmp_path / "hollow-control")
    assert load(tmp_path / "hollow-control") == [run]
    page = (tmp_path / "hollow-control" / "README.md").read_text()
    assert "### One control machine" in page and "beside today's way\n" not in page
    direct = parse_fleet(SMALL_EXPERIMENT.replace('distribution "control"', 'distribution "direct"'))
    direct_run = load(tmp_path / "hollow-control")[0]
    direct_run.distribution, direct_run.phases = "direct", direct_run.phases[:1]
    keep(direct, [direct_run], tmp_path / "hollow-fleet")
    keep(fleet, [run], tmp_path / "hollow-control")
    page = (tmp_path / "hollow-control" / "README.md").read_text()
    comparison = page.partition("beside today's way\n")[2].partition("## control")[0]
    assert comparison.count("| today's way |") == comparison.count("| control plane |") == 1


def test_a_relay_that_starts_with_its_list_is_sent_no_snapshot() -> None:
    async def use(fleet: Fleet) -> None:
        await publish_change(fleet)
        before = (await fleet.distribution.served()).snapshots
        assert before == 6  # one for the start of each relay
        await fleet.restart(range(6), known=True)
        assert await fleet.count_in_force(fleet.store.version) == 6  # each relay has its last version at once
        await publish_change(fleet)
        assert (await fleet.distribution.served()).snapshots == before
        await fleet.restart([0])
        await publish_change(fleet)
        assert (await fleet.distribution.served()).snapshots == before + 1

    play(use)


@pytest.mark.parametrize(
    "fault", [Fault.MACHINE_KILLED, Fault.MACHINE_SILENT, Fault.MACHINE_TRICKLES, Fault.MACHINE_DIES]
)
def test_without_one_machine_a_change_reaches_every_relay(fault: Fault) -> None:
    async def use(fleet: Fleet) -> None:
        plane = fleet.distribution
        assert isinstance(plane, ControlPlane)
        await plane.begin_fault(fault)
        await publish_change(fleet)
        if fault is Fault.MACHINE_DIES:
            await plane.served()  # the next call notices that the machine has ended
            assert plane.machines[FAULTY_MACHINE] is None
        await plane.end_fault(fault)
        assert plane.machines[FAULTY_MACHINE] is not None
        await publish_change(fleet)
        assert sum(record.watch_failures for record in await fleet.records()) > 0

    play(use)


def test_all_machines_restart_from_the_store() -> None:
    async def use(fleet: Fleet) -> None:
        await fleet.distribution.begin_fault(Fault.MACHINES_RESTARTED)
        change = fleet.store.change()
        await fleet.distribution.publish(change)
        assert await fleet.count_in_force(change.version) == 0  # no machine could send the change
        await fleet.distribution.end_fault(Fault.MACHINES_RESTARTED)
        assert await fleet.wait_in_force(change.version, IN_FORCE_TIMEOUT_S)
        await publish_change(fleet)

    play(use)


def test_the_maximum_load_is_of_one_machine_in_one_second() -> None:
    second = 1_000_000_000
    samples = [
        Sample(0, [Usage(5, 10), Usage(0, 10)]),
        Sample(second, [Usage(5 + second // 2, 40_000_000), Usage(second // 4, 10)]),
        # The first server was restarted before this sample.
        Sample(2 * second, [Usage(second // 8, 10), Usage(second // 4, 10)]),
    ]
    before, after = ServedTotals(0), ServedTotals(0)
    after.sent.update({"c00": 6000, "c01": 2000})
    after.by_second = {"c00": Counter({0: 1000, 1: 5000, 9: 90_000})}
    server = server_load(samples, before, after, (0, 2 * second))
    assert (server.cpu_max, server.mb_max) == (0.5, 40.0)
    assert (server.kb_s, server.kb_max) == (2.0, 5.0)  # second 9 belongs to another phase
