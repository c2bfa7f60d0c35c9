"""The control plane as the servers of a skeleton fleet: a process per machine; the parent owns the store."""

from __future__ import annotations

from collections import Counter
from typing import Any

import anyio

from gannetweir.lab.scale.child import Child, Usage
from gannetweir.lab.scale.distribution import ServedTotals, Store, free_port
from gannetweir.lab.scale.fleet_experiment import Fault
from gannetweir.lab.scale.link import LinkError
from gannetweir.lab.scale.messages import (
    AskServed,
    Message,
    Publish,
    Served,
    ServerMode,
    SetMode,
    StartMachine,
    machine_name,
)

FAULTY_MACHINE = 0  # number of the machine that has the faults of one machine
MODES = {
    Fault.MACHINE_SILENT: ServerMode.SILENT,
    Fault.MACHINE_TRICKLES: ServerMode.TRICKLE,
    Fault.MACHINE_DIES: ServerMode.DIES,
}


class ControlPlane:
    """A number of control machines, each at its own address."""

    def __init__(self, store: Store, machines: int, settings: dict[str, Any]) -> None:
        self.store, self.settings = store, settings
        hosts = [f"127.0.1.{n + 1}" for n in range(machines)]
        port = free_port(hosts)
        self.listen = [f"{host}:{port}" for host in hosts]
        self.machines: list[Child | None] = [None] * machines
        self.sent_by_killed = ServedTotals()  # sum over the processes that were killed

    @property
    def servers(self) -> list[str]:
        """The addresses of all machines, in the order of their names."""
        return self.listen

    @property
    def true_relay_servers(self) -> list[str]:
        """Empty, since `gannetweir serve` has no setting for the control plane."""
        return []

    async def start(self) -> None:
        """Start the machines that do not run, with the present content of the store."""
        async with anyio.create_task_group() as tasks:
            for number, machine in enumerate(self.machines):
                if machine is None:
                    tasks.start_soon(self._start, number)

    async def _start(self, number: int) -> None:
        machine = Child("gannetweir.lab.scale.control_machine", [machine_name(number), self.listen[number]])
        # From here on the machine is sent changes, which wait for the end of the call that starts it.
        self.machines[number] = machine
        initial_list = self.store.initial_list()
        history = list(self.store.history)
        await machine.call(StartMachine(initial_list.version, initial_list.members, self.settings, history))

    async def publish(self, change: Publish) -> None:
        """Send a change to all running machines concurrently."""
        async with anyio.create_task_group() as tasks:
            for number in range(len(self.machines)):
                tasks.start_soon(self._call, number, change)

    async def begin_fault(self, fault: Fault) -> None:
        """Begin a fault of one machine or of all machines."""
        if fault is Fault.MACHINE_KILLED:
            await self._kill(FAULTY_MACHINE)
        elif fault is Fault.MACHINES_RESTARTED:
            for number in range(len(self.machines)):
                await self._kill(number)
        elif fault in MODES:
            await self._call(FAULTY_MACHINE, SetMode(MODES[fault]))

    async def end_fault(self, fault: Fault) -> None:
        """Return the machine to normal operation, and restart machines that have ended."""
        if fault in MODES:
            await self._call(FAULTY_MACHINE, SetMode(ServerMode.NORMAL))
        if fault in (Fault.MACHINE_KILLED, Fault.MACHINE_DIES, Fault.MACHINES_RESTARTED):
            await self.start()

    async def _kill(self, number: int) -> None:
        machine = self.machines[number]
        if machine is not None:
            _add_served(self.sent_by_killed, await machine.call(AskServed()))
            machine.kill()
            self.machines[number] = None

    async def _call(self, number: int, message: Message) -> Message | None:
        machine = self.machines[number]
        if machine is None:
            return None
        try:
            return await machine.call(message)
        except LinkError:
            machine.kill()
            if self.machines[number] is machine:
                self.machines[number] = None
            return None

    async def served(self) -> ServedTotals:
        """Return what has been sent so far, except by a machine that ended itself."""
        total = ServedTotals(self.sent_by_killed.snapshots, Counter(self.sent_by_killed.sent), {})
        total.by_second = {name: Counter(counts) for name, counts in self.sent_by_killed.by_second.items()}
        for number in range(len(self.machines)):
            _add_served(total, await self._call(number, AskServed()))
        return total

    def usage(self) -> list[Usage]:
        """Return the usage of each machine; zeros for one that does not run."""
        return [machine.usage() if machine is not None else Usage(0, 0) for machine in self.machines]

    def stop(self) -> None:
        """Stop all machines."""
        for machine in self.machines:
            if machine is not None:
                machine.stop()
        self.machines = [None] * len(self.machines)


def _add_served(total: ServedTotals, answer: Message | None) -> None:
    if isinstance(answer, Served):
        total.snapshots += answer.snapshots
        total.sent.update(answer.sent)
        for name in answer.sent:
            total.by_second.setdefault(name, Counter()).update(answer.by_second)
