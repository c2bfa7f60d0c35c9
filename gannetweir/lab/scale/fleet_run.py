"""Runs a skeleton fleet of one size through the phases of an experiment, and computes the figures of each."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from gannetweir.lab.scale.child import Usage
from gannetweir.lab.scale.distribution import ServedTotals
from gannetweir.lab.scale.fleet import Fleet, with_fleet
from gannetweir.lab.scale.fleet_experiment import Fault, FleetExperiment, Phase
from gannetweir.lab.scale.fleet_figures import (
    in_force_times,
    max_in_window,
    recovery_s,
    spread,
    total_received,
)
from gannetweir.lab.scale.messages import RelayRecord
from gannetweir.lab.scale.server_load import Sampler, ServerLoad, server_load

TENTHS = 10
SETTLE_S = 2.0  # wait after the start and each phase, so that late work is not counted in the next phase


@dataclass(slots=True)
class PhaseFigures:
    """The figures of one phase.

    Milliseconds are from a change until it is in force on a relay; a kilobyte is 1,000 bytes; shares are of
    one core. Bytes are those that one relay received, except in the figures of one server.
    """

    name: str
    fault: str
    seconds: float
    changes: int
    p50_ms: float
    p99_ms: float
    last_ms: float
    missing: int  # pairs of a relay and a change that never came in force there
    # Seconds from the end of the fault, or from the start of a relay, until the last relay is up to date;
    # -1 means that a relay never was.
    recovered_s: float
    window_p50_kb: float  # median over the relays of the most kilobytes in any 10 s
    window_most_kb: float  # maximum over the relays of the same
    kb_mean: float  # mean over the relays, for the entire phase
    relay_cpu_share: float  # mean over the skeleton relays
    server_cpu_share: float  # sum over the servers
    snapshots: int
    true_cpu_share: float = 0.0  # mean over the true relays
    true_kb_mean: float = 0.0
    load: float = 0.0  # load average of the machine, over the minute before the phase
    # Figures of one server process: a mean over all servers, or (`most`) the maximum of any.
    one_server_cpu: float = 0.0  # share of a core
    one_server_cpu_most: float = 0.0  # share of a core in one second
    one_server_kb_s: float = 0.0  # kilobytes sent per second
    one_server_kb_most: float = 0.0  # kilobytes sent in one second; 0 means not counted
    one_server_mb_most: float = 0.0  # resident memory


@dataclass(slots=True)
class FleetRun:
    """The results of a skeleton fleet of one size."""

    distribution: str
    relays: int
    backends: int
    hosts: int
    cpus: int
    start_s: float
    relay_kb: float  # memory of a skeleton relay with its list, mean
    true_list_kb: list[float]  # memory of each true relay, less that of a true relay without a list
    host_rss_mb: float  # sum over the hosts, maximum over the phases
    server_rss_mb: float  # sum over the servers, maximum over the phases
    watch_failures: int
    driver_faults: list[str]
    phases: list[PhaseFigures] = field(default_factory=list)


@dataclass(slots=True)
class _Reading:
    """All counters at one moment."""

    at_ns: int
    second: int
    load: float
    hosts: list[Usage]
    servers: list[Usage]
    true_relays: list[Usage]
    served: ServedTotals


@dataclass(slots=True)
class _PlayedPhase:
    """A phase that has ended; its figures are computed after the last phase, from the relays' records."""

    phase: Phase
    begin: _Reading
    end: _Reading
    changed_ns: dict[int, int]
    fault_ended_ns: int
    fault_version: int  # the newest version when the fault ended
    servers: ServerLoad


async def _take_reading(fleet: Fleet) -> _Reading:
    return _Reading(
        time.monotonic_ns(),
        fleet.current_second(),
        os.getloadavg()[0],
        fleet.host_usage(),
        fleet.distribution.usage(),
        fleet.true_relays.usage() if fleet.true_relays is not None else [],
        await fleet.distribution.served(),
    )


class _PhaseRunner:
    """Plays phases on a fleet that has been started."""

    def __init__(self, fleet: Fleet, report_progress: Callable[[str, float], None]) -> None:
        self.fleet, self.report_progress = fleet, report_progress
        self.fault_ended_ns = self.fault_version = 0

    async def play(self, phase: Phase) -> _PlayedPhase:
        """Play the changes and the fault concurrently, then wait until all changes are in force."""
        fleet, version = self.fleet, self.fleet.store.version
        sampler = Sampler(fleet.distribution.usage)
        begin = await _take_reading(fleet)
        self.fault_ended_ns, self.fault_version = begin.at_ns, version
        async with anyio.create_task_group() as sampling:
            sampling.start_soon(sampler.run)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._change, phase)
                tasks.start_soon(self._fault, phase)
            await fleet.wait_in_force(fleet.store.version, fleet.experiment.within_s)
            await anyio.sleep(SETTLE_S)
            sampling.cancel_scope.cancel()
        end = await _take_reading(fleet)
        servers = server_load(sampler.samples, begin.served, end.served, (begin.at_ns, end.at_ns))
        changed_at_ns = {v: at for v, at in fleet.store.changed_ns.items() if v > version}
        return _PlayedPhase(
            phase, begin, end, changed_at_ns, self.fault_ended_ns, self.fault_version, servers
        )

    async def _change(self, phase: Phase) -> None:
        begun = anyio.current_time()
        for n in range(phase.changes):
            await anyio.sleep_until(begun + n * phase.every_s)
            await self.fleet.distribution.publish(self.fleet.store.change())
            self.report_progress(phase.name, (n + 1) / phase.changes)

    async def _fault(self, phase: Phase) -> None:
        await anyio.sleep(phase.after_s)
        fleet, count = self.fleet, self.fleet.relays
        known = phase.fault in (Fault.ZONE_RESTARTED_KNOWN, Fault.RESTARTED_IN_TENTHS_KNOWN)
        if phase.fault in (Fault.ZONE_RESTARTED, Fault.ZONE_RESTARTED_KNOWN):
            await fleet.restart(range(0, count, fleet.experiment.zones), known)
        elif phase.fault in (Fault.RESTARTED_IN_TENTHS, Fault.RESTARTED_IN_TENTHS_KNOWN):
            for tenth in range(TENTHS):
                await fleet.restart(range(tenth, count, TENTHS), known)
                await anyio.sleep(phase.lasts_s if tenth < TENTHS - 1 else 0)
        else:
            await fleet.distribution.begin_fault(phase.fault)
            if phase.fault is Fault.ZONE_RESTARTED_SLOW_LINK:
                await fleet.restart(range(0, count, fleet.experiment.zones))
            await anyio.sleep(phase.lasts_s)
            self._record_fault_end()
            await fleet.distribution.end_fault(phase.fault)
            return
        self._record_fault_end()

    def _record_fault_end(self) -> None:
        self.fault_ended_ns, self.fault_version = time.monotonic_ns(), self.fleet.store.version


def _cpu_share(before: list[Usage], after: list[Usage], seconds: float) -> float:
    """Return the share of one core that all processes used together.

    A process that was restarted in between is counted from its start.
    """
    used_ns = 0
    for n, usage in enumerate(after):
        earlier_ns = before[n].cpu_ns if n < len(before) else 0
        used_ns += usage.cpu_ns - earlier_ns if usage.cpu_ns >= earlier_ns else usage.cpu_ns
    return used_ns / 1e9 / seconds


def _true_relays_kb_mean(played: _PlayedPhase) -> float:
    """Return the mean kilobytes that a true relay was sent.

    The skeleton relays use the server's first address, 127.0.0.1; each true relay uses a separate address.
    """
    before, after = played.begin.served.sent, played.end.served.sent
    sent = [after[host] - before[host] for host in after if host != "127.0.0.1"]
    return sum(sent) / len(sent) / 1000 if sent else 0.0


def phase_figures(played: _PlayedPhase, records: list[RelayRecord]) -> PhaseFigures:
    """Return the figures of one phase, from its readings and the records of all skeleton relays."""
    begin, end, count = played.begin, played.end, len(records)
    seconds = (end.at_ns - begin.at_ns) / 1e9
    times = in_force_times(records, played.changed_ns)
    windows = spread(max_in_window(r.received, begin.second, end.second) / 1000 for r in records)
    means = [total_received(r.received, begin.second, end.second) / 1000 for r in records]
    true_relay_count = len(end.true_relays)
    return PhaseFigures(
        name=played.phase.name,
        fault=played.phase.fault.value,
        seconds=seconds,
        changes=len(played.changed_ns),
        p50_ms=times.ms.p50,
        p99_ms=times.ms.p99,
        last_ms=times.ms.maximum,
        missing=times.missing,
        recovered_s=recovery_s(records, played.fault_version, played.fault_ended_ns, begin.at_ns, end.at_ns),
        window_p50_kb=windows.p50,
        window_most_kb=windows.maximum,
        kb_mean=sum(means) / count,
        relay_cpu_share=_cpu_share(begin.hosts, end.hosts, seconds) / count,
        server_cpu_share=_cpu_share(begin.servers, end.servers, seconds),
        snapshots=end.served.snapshots - begin.served.snapshots,
        true_cpu_share=_cpu_share(begin.true_relays, end.true_relays, seconds) / true_relay_count
        if true_relay_count
        else 0.0,
        true_kb_mean=_true_relays_kb_mean(played),
        load=begin.load,
        one_server_cpu=_cpu_share(begin.servers, end.servers, seconds) / max(1, len(end.servers)),
        one_server_cpu_most=played.servers.cpu_max,
        one_server_kb_s=played.servers.kb_s,
        one_server_kb_most=played.servers.kb_max,
        one_server_mb_most=played.servers.mb_max,
    )


async def play_fleet(
    experiment: FleetExperiment, relays: int, backends: int, report_progress: Callable[[str, float], None]
) -> FleetRun:
    """Play all phases on a fleet of one size.

    `report_progress` is called with the name of a phase and the share of its changes that were made. Raises
    `LinkError` or `OSError` if a process fails.
    """
    begun = time.monotonic()

    async def use(fleet: Fleet) -> FleetRun:
        start_s = time.monotonic() - begun
        runner = _PhaseRunner(fleet, report_progress)
        report_progress("start", 1.0)
        await fleet.wait_in_force(fleet.store.version, experiment.within_s)
        await anyio.sleep(SETTLE_S)
        usage_with_lists = fleet.host_usage()
        relays_bytes = sum(u.rss_bytes for u in usage_with_lists) - sum(
            u.rss_bytes for u in fleet.initial_host_usage
        )
        true_list_kb = (
            [size / 1000 for size in fleet.true_relays.list_bytes()] if fleet.true_relays is not None else []
        )
        played = [await runner.play(phase) for phase in experiment.phases]
        records = await fleet.records()
        return FleetRun(
            experiment.distribution,
            relays,
            backends,
            len(fleet.hosts),
            os.cpu_count() or 1,
            start_s,
            relays_bytes / relays / 1000,
            true_list_kb,
            max(sum(u.rss_bytes for u in p.end.hosts) for p in played) / 1e6,
            max(sum(u.rss_bytes for u in p.end.servers) for p in played) / 1e6,
            sum(r.watch_failures for r in records),
            sorted({fault for r in records for fault in r.faults})[:5],
            [phase_figures(phase, records) for phase in played],
        )

    run: FleetRun = await with_fleet(Fleet(experiment, relays, backends), use)
    return run
