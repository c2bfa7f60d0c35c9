"""The processes of a soak: the relays, and the stand-ins for clients, proxies, backends and discovery."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import anyio.to_thread

from gannetweir.lab.soak import stand_in
from gannetweir.lab.soak.evidence import relay_name
from gannetweir.lab.soak.plan import (
    SLOW_START_DURATION_US,
    SLOW_START_INITIAL_FACTOR,
    SoakPlan,
    cell_of,
    proxy_name,
)
from gannetweir.lab.soak.records import BackendStart, RecordFile, now_us
from gannetweir.lab.soak.relays import RelayProcess
from gannetweir.lab.soak.shim import Call, Shim, build
from gannetweir.lab.soak.stand_in_process import StandInProcess

SLOW_START_STEPS = 8  # number of steps in which a started backend reaches its capacity
EXIT_TO_DISCOVERY_S = 0.3  # time from the end of a backend's process to the update of discovery
# Minimum and maximum time for which new clients still connect to a relay that was sent SIGTERM or SIGKILL.
WITHDRAWAL_DELAY_S = 0.2, 0.4
POLL_INTERVAL_S = 0.02
# A relay without a processor gets this long to accept the clients in the queue of its listener.
ACCEPT_QUEUE_WAIT_S = 5.0
# After the end of the relays the stand-ins run on for this long, to write their last records.
FINAL_RECORDS_S = 0.5


class SoakFleet:
    """Starts, restarts and ends the processes. Call `start` first; `end_all` ends all processes."""

    def __init__(
        self, plan: SoakPlan, folder: Path, relay_command: Callable[[int], list[str]], records: RecordFile
    ) -> None:
        self.plan, self.folder, self.relay_command, self.records = plan, folder, relay_command, records
        self.backends: dict[str, StandInProcess] = {}
        self.proxies: list[StandInProcess] = []
        self.clients: list[StandInProcess] = []
        self.relays: list[RelayProcess] = []
        self.discovery: StandInProcess | None = None
        self.membership: dict[str, dict[str, Any]] = {}  # the entries of discovery, by backend
        self.membership_version = 1
        self.tasks: anyio.abc.TaskGroup

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start all processes. Returns once the first relay is ready."""
        self.tasks = tasks
        discovery_ports = await self._start_backends_and_discovery()
        library = build(self.folder)
        for number in range(self.plan.relays):
            shim = Shim(library, self.folder / f"shim{number}", self.plan.seed * 1000 + number + 1)
            ports, command = discovery_ports[number], self.relay_command(number)
            relay = RelayProcess(number, self.plan, self.folder, shim, ports, self.records, command)
            self.relays.append(relay)
        for relay in self.relays:
            relay.start(self.cached_membership())
        await self._start_clients()
        for relay in self.relays:
            tasks.start_soon(self.admit_clients, relay)
        while not any(relay.lifetime.ready_us for relay in self.relays):
            await anyio.sleep(POLL_INTERVAL_S)

    async def _start_backends_and_discovery(self) -> list[list[int]]:
        """Start the backends, their proxies and discovery. Returns the ports of discovery for each relay."""
        names = [f"b{number}" for number in range(self.plan.backends)]
        ports = {name: await self._start_backend(name) for name in names}
        for number in range(self.plan.proxies):
            targets = [f"{name}={ports[name]}" for name in names[number :: self.plan.proxies]]
            proxy = StandInProcess("proxy", proxy_name(number), str(self.folder), *targets)
            self.proxies.append(proxy)
        self.discovery = StandInProcess("discovery", str(self.folder), str(self.plan.relays))
        proxy_ports: dict[str, int] = {}
        for proxy in self.proxies:
            proxy_ports |= (await proxy.wait_started())["ports"]
        discovery_ports: list[list[int]] = (await self.discovery.wait_started())["ports"]
        for name in names:
            self.change_membership(name, dial=f"127.0.0.1:{proxy_ports[name]}", block=cell_of(name))
        return discovery_ports

    async def _start_clients(self) -> None:
        plan = self.plan
        rate = plan.requests_per_s / plan.client_processes
        for number in range(plan.client_processes):
            settings = plan.seed, rate, plan.connection_s, plan.deadline_factor
            client = StandInProcess("clients", f"clients{number}", str(self.folder), *map(str, settings))
            self.clients.append(client)
            await client.wait_started()

    async def _start_backend(self, name: str) -> int:
        process = StandInProcess("backend", name, str(self.folder), str(self.plan.capacity))
        self.backends[name] = process
        return int((await process.wait_started())["port"])

    def change_membership(self, name: str, **fields: object) -> None:
        """Change fields of a backend's entry, and send the entry to discovery."""
        self.membership_version += 1
        defaults = {"site": "a", "class": "m", "health": "Ready", "share": 1.0, "born_ms": 0}
        self.membership[name] = defaults | self.membership.get(name, {}) | fields | {"host": name}
        self.command_discovery(**self.membership[name])

    def cached_membership(self) -> dict[str, Any]:
        """Return the endpoint list for the configuration of a relay."""
        listed = [host for host in self.membership.values() if host["health"] != "Gone"]
        return {"seq": self.membership_version, "whole": True, "hosts": listed}

    def command_discovery(self, **values: object) -> None:
        """Send a command to discovery."""
        assert self.discovery is not None
        self.discovery.send_command(**values)

    def command_proxies(self, **values: object) -> None:
        """Send a command to all proxies. Only the proxy of the backend is affected."""
        for proxy in self.proxies:
            proxy.send_command(**values)

    async def admit_clients(self, relay: RelayProcess) -> None:
        """Wait until a relay is ready, then let clients connect to the relay. Kills a relay that is not ready
        in time.
        """
        if await relay.wait_ready():
            for client in self.clients:
                client.send_command(admit=relay.number, port=relay.port)
        else:
            relay.kill("no start")

    def withdraw_clients(self, relay: RelayProcess) -> None:
        """Let no new clients connect to a relay."""
        for client in self.clients:
            client.send_command(withdraw=relay.number)

    async def restart_backend(self, name: str, after_s: float, number: signal.Signals) -> None:
        """End a backend's process with a signal, remove the backend from discovery, and start a new process
        in slow start after a delay.
        """
        process = self.backends[name]
        process.process.send_signal(number)
        await anyio.to_thread.run_sync(process.process.wait)
        await anyio.sleep(EXIT_TO_DISCOVERY_S)
        self.change_membership(name, health="Gone")
        await anyio.sleep(after_s)
        port = await self._start_backend(name)
        self.backends[name].send_command(warmth=SLOW_START_INITIAL_FACTOR)
        self.command_proxies(backend=name, port=port, fault="")
        self.records.write(BackendStart(name, now_us(), self.plan.overload_per_s))
        self.change_membership(name, health="Ready", born_ms=time.time_ns() // 1_000_000)
        self.tasks.start_soon(self._end_slow_start, name, self.backends[name])

    async def _end_slow_start(self, name: str, process: StandInProcess) -> None:
        for step in range(1, SLOW_START_STEPS + 1):
            await anyio.sleep(SLOW_START_DURATION_US / 1e6 / SLOW_START_STEPS)
            if self.backends.get(name) is process:
                capacity_factor = (
                    SLOW_START_INITIAL_FACTOR + (1.0 - SLOW_START_INITIAL_FACTOR) * step / SLOW_START_STEPS
                )
                process.send_command(warmth=capacity_factor)

    def named_processes(self) -> Iterator[tuple[str, int]]:
        """Yield name and id of every process for whose waits the judge allows."""
        for relay in self.relays:
            for process in (relay.process, relay.replaced):
                if process is not None:
                    yield relay_name(relay.number), process.pid
        for name, backend in self.backends.items():
            yield name, backend.process.pid
        for number, proxy in enumerate(self.proxies):
            yield proxy_name(number), proxy.process.pid

    async def finish(self) -> None:
        """Send SIGTERM to all relays while clients still connect, as at a release. No process takes over a
        shared listener here, so the clients of such relays are withdrawn first.
        """
        for relay in self.relays:
            if relay.listener is not None:
                self.withdraw_clients(relay)
        await anyio.sleep(WITHDRAWAL_DELAY_S[1])
        await self._wait_for_shared_listeners()
        async with anyio.create_task_group() as ends:
            for relay in self.relays:
                relay.shim.fail(Call.ACCEPT, self.plan.accepts_fail if relay.number % 2 else 0)
                if relay.process is not None:
                    ends.start_soon(relay.terminate)
            await anyio.sleep(WITHDRAWAL_DELAY_S[0])
            for client in self.clients:
                client.send_command(stop=True)
        await anyio.sleep(FINAL_RECORDS_S)

    async def _wait_for_shared_listeners(self) -> None:
        """Wait until the relays have accepted all clients in the queues of shared listeners. A shared
        listener outlives its relay: clients that a busy machine has left in the queue would wait for a
        successor that never starts.
        """
        listeners = [relay.listener for relay in self.relays if relay.process and relay.listener]
        with anyio.move_on_after(ACCEPT_QUEUE_WAIT_S):
            while any(stand_in.accept_queue_length(listener) for listener in listeners):
                await anyio.sleep(POLL_INTERVAL_S)

    def end_all(self) -> None:
        """End all processes, whatever their state."""
        for relay in self.relays:
            relay.kill("soak")
            relay.close_unread_stderr()
        for process in [*self.clients, *self.proxies, *self.backends.values()]:
            process.end()
        if self.discovery is not None:
            self.discovery.end()

    def logs(self) -> dict[int, list[str]]:
        """Return the lines that each relay wrote to its log file."""
        found = {}
        for relay in self.relays:
            text = relay.log_path.read_text(errors="replace") if relay.log_path.exists() else ""
            found[relay.number] = text.splitlines()
        return found
