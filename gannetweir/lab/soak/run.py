"""A run of a soak: starts the fleet, injects the faults, shuts the fleet down and judges the records."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import anyio

from gannetweir.lab.soak.fault_injector import FaultInjector
from gannetweir.lab.soak.findings import Verdict
from gannetweir.lab.soak.fleet import SoakFleet
from gannetweir.lab.soak.judge import judge
from gannetweir.lab.soak.plan import Fault, SoakPlan, draw_faults
from gannetweir.lab.soak.records import RecordFile, read_records
from gannetweir.lab.soak.relays import relay_command
from gannetweir.lab.soak.run_queue import SAMPLE_INTERVAL_S, RunQueueSampler

SETTLE_S = 1.5  # time without faults, at the start and at the end of a run
PROCESS_CHECK_INTERVAL_S = 0.05


class Soak:
    """One run of a soak, with the processes of its fleet.

    Every process has ended when `run` returns. The records stay in `folder`.
    """

    def __init__(
        self, plan: SoakPlan, folder: Path, commands: Callable[[int], list[str]] | None = None
    ) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.plan, self.folder = plan, folder
        self.records = RecordFile(folder / "soak.jsonl")
        self.fleet = SoakFleet(plan, folder, commands or (lambda _: relay_command()), self.records)
        self.injector = FaultInjector(plan, self.fleet, self.records)

    async def inject(self, fault: Fault) -> None:
        """Wait for the time of a fault, inject the fault and undo it after its duration."""
        await self.injector.inject(fault)

    async def run(self, faults: list[Fault] | None = None) -> Verdict:
        """Run the soak to its end and return the verdict. `faults` defaults to those of the plan's seed."""
        faults = draw_faults(self.plan) if faults is None else faults
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._sample_run_queue)
                await self.fleet.start(tasks)
                tasks.start_soon(self._check_relays)
                await anyio.sleep(SETTLE_S)
                async with anyio.create_task_group() as injections:
                    for fault in faults:
                        injections.start_soon(self.inject, fault)
                    await anyio.sleep(self.plan.seconds)
                await anyio.sleep(SETTLE_S)
                await self.fleet.finish()
                tasks.cancel_scope.cancel()
        finally:
            self.fleet.end_all()
        return judge(read_records(self.folder), self.plan, self.fleet.logs())

    async def _check_relays(self) -> None:
        while True:
            for relay in self.fleet.relays:
                relay.check()
                # A crashed relay is not restarted; the run continues with the others.
                if relay.process is None and not relay.is_restarting:
                    relay.is_restarting = True
                    self.fleet.withdraw_clients(relay)
            await anyio.sleep(PROCESS_CHECK_INTERVAL_S)

    async def _sample_run_queue(self) -> None:
        sampler = RunQueueSampler(self.records)
        while True:
            sampler.sample(self.fleet.named_processes())
            await anyio.sleep(SAMPLE_INTERVAL_S)
