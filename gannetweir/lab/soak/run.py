"""One run of a soak: the processes, the faults of its seed, the end, and what the judge says of it."""

from __future__ import annotations

import random
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import orjson

from gannetweir.lab.soak import relays as relay_processes
from gannetweir.lab.soak.evidence import BROKEN_CONNECTIONS, relay_name
from gannetweir.lab.soak.findings import Verdict
from gannetweir.lab.soak.judge import judge
from gannetweir.lab.soak.plan import (
    SLOW_START_FROM,
    SLOW_START_US,
    Fault,
    FaultKind,
    SoakPlan,
    cell_of,
    draw_faults,
    proxy_name,
)
from gannetweir.lab.soak.records import (
    BackendStart,
    FaultSpan,
    OverrideCall,
    RecordFile,
    now_us,
    read_records,
)
from gannetweir.lab.soak.relays import START_TIMEOUT_S, RelayProcess
from gannetweir.lab.soak.run_queue import SAMPLE_INTERVAL_S, RunQueueSampler
from gannetweir.lab.soak.shim import Call, Shim, build

SETTLE_S = 1.5  # before the first fault and after the last one
FRONT_NOTICE_S = 0.2, 0.4  # how long new clients still come to a relay that was told to end
_DISTURBED = {
    FaultKind.NETWORK_DELAY: "late",
    FaultKind.NETWORK_SILENT: "silent",
    FaultKind.NETWORK_PIECES: "pieces",
    FaultKind.NETWORK_RESETS: "reset",
}
_AT_BACKEND = {
    FaultKind.BACKEND_HANGS: "hang",
    FaultKind.BACKEND_SLOW: "slow",
    FaultKind.BACKEND_RESETS: "reset",
    FaultKind.BACKEND_ERRORS: "error",
}


class StandInProcess:
    """A stand-in process that takes commands on standard input."""

    def __init__(self, module: str, *arguments: str) -> None:
        command = [sys.executable, "-m", f"gannetweir.lab.soak.{module}", *arguments]
        self.process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)

    async def wait_started(self) -> dict[str, Any]:
        """What it says once it runs."""
        assert self.process.stdout is not None
        line = await anyio.to_thread.run_sync(self.process.stdout.readline)
        return dict(orjson.loads(line))

    def send_command(self, **values: Any) -> None:
        """One command; nothing if it has died."""
        assert self.process.stdin is not None
        with suppress(OSError):
            self.process.stdin.write(orjson.dumps(values) + b"\n")
            self.process.stdin.flush()

    def end(self) -> None:
        """It writes its last records at the end of its input."""
        assert self.process.stdin is not None
        with suppress(OSError):
            self.process.stdin.close()
        try:
            self.process.wait(5.0)
        except subprocess.TimeoutExpired:
            self.kill()

    def kill(self) -> None:
        """End it now."""
        self.process.kill()
        self.process.wait()


class Soak:
    """All processes of one run; every one has ended when `play` returns."""

    def __init__(
        self, plan: SoakPlan, folder: Path, commands: Callable[[int], list[str]] | None = None
    ) -> None:
        self.plan, self.folder = plan, folder
        self.command = commands or (lambda number: relay_processes.relay_command())
        folder.mkdir(parents=True, exist_ok=True)
        self.records = RecordFile(folder / "soak.jsonl")
        self.rng = random.Random(f"soak {plan.seed}")
        self.backends: dict[str, StandInProcess] = {}
        self.proxies: list[StandInProcess] = []
        self.clients: list[StandInProcess] = []
        self.relays: list[RelayProcess] = []
        self.disturbed: set[str] = set()  # backends with a fault of their own
        self.membership: dict[str, dict[str, Any]] = {}
        self.membership_version = 1
        self.serial = plan.backends

    # ---- the start

    async def _start(self) -> None:
        names = [f"b{n}" for n in range(self.plan.backends)]
        ports = {name: await self._start_backend(name) for name in names}
        for n in range(self.plan.proxies):
            mine = [f"{name}={ports[name]}" for name in names[n :: self.plan.proxies]]
            self.proxies.append(StandInProcess("proxy", proxy_name(n), str(self.folder), *mine))
        self.discovery = StandInProcess("discovery", str(self.folder), str(self.plan.relays))
        dials: dict[str, int] = {}
        for proxy in self.proxies:
            dials |= (await proxy.wait_started())["ports"]
        at = (await self.discovery.wait_started())["ports"]
        for name in names:
            self._change_membership(name, dial=f"127.0.0.1:{dials[name]}", block=cell_of(name))
        library = build(self.folder)
        for n in range(self.plan.relays):
            shim = Shim(library, self.folder / f"shim{n}", self.plan.seed * 1000 + n + 1)
            self.relays.append(
                RelayProcess(n, self.plan, self.folder, shim, at[n], self.records, self.command(n))
            )
        for relay in self.relays:
            relay.start(self.cached_membership())
        for n in range(self.plan.client_processes):
            rate = self.plan.requests_per_s / self.plan.client_processes
            client = StandInProcess(
                "clients",
                f"clients{n}",
                str(self.folder),
                str(self.plan.seed),
                str(rate),
                str(self.plan.connection_s),
                str(self.plan.deadline_factor),
            )
            self.clients.append(client)
            await client.wait_started()
        for relay in self.relays:
            self.tasks.start_soon(self.admit_clients, relay)
        while not any(relay.lifetime.ready_us for relay in self.relays):
            await anyio.sleep(0.02)

    async def _start_backend(self, name: str) -> int:
        process = StandInProcess("backend", name, str(self.folder), str(self.plan.capacity))
        self.backends[name] = process
        return int((await process.wait_started())["port"])

    def _change_membership(self, name: str, **fields: Any) -> None:
        """Discovery learns something of a backend."""
        self.membership_version += 1
        blank = {"site": "a", "class": "m", "health": "Ready", "share": 1.0, "born_ms": 0}
        self.membership[name] = blank | self.membership.get(name, {}) | fields | {"host": name}
        self.discovery.send_command(**self.membership[name])

    def cached_membership(self) -> dict[str, Any]:
        """The list as a relay is started with it."""
        listed = [host for host in self.membership.values() if host["health"] != "Gone"]
        return {"seq": self.membership_version, "whole": True, "hosts": listed}

    async def admit_clients(self, relay: RelayProcess) -> None:
        """Let the front send clients to a relay, once it is ready."""
        if await relay.wait_ready():
            for client in self.clients:
                client.send_command(admit=relay.number, port=relay.port)
        else:
            relay.kill("no start")

    def _withdraw_clients(self, relay: RelayProcess) -> None:
        for client in self.clients:
            client.send_command(withdraw=relay.number)

    # ---- faults

    async def inject(self, fault: Fault) -> None:
        """One fault, from its time to its end."""
        await anyio.sleep(fault.at_s)
        began = now_us()
        target = await self._inject_and_undo(fault)
        if target:
            self.records.write(FaultSpan(fault.kind, target, began, now_us()))

    async def _inject_and_undo(self, fault: Fault) -> str:
        """Do it, and undo it after its length. Whom it struck; empty if it could not be done now."""
        kind = fault.kind
        if (
            kind in _AT_BACKEND
            or kind in _DISTURBED
            or kind in (FaultKind.BACKEND_DRAINS, FaultKind.BACKEND_CRASHES)
        ):
            return await self._inject_at_backend(fault)
        if kind.startswith("discovery") or kind is FaultKind.DISCOVERY_INDENTED:
            return await self._inject_at_discovery(fault)
        return await self._inject_at_relay(self.relays[fault.target], fault)

    async def _inject_at_backend(self, fault: Fault) -> str:
        free = sorted(set(self.backends) - self.disturbed)
        if 3 * len(self.disturbed) >= len(self.backends) or not free:
            return ""
        name = free[fault.target % len(free)]
        self.disturbed.add(name)
        try:
            if fault.kind is FaultKind.BACKEND_DRAINS:
                await self._drain_backend(name)
            elif fault.kind is FaultKind.BACKEND_CRASHES:
                await self.restart_backend(name, fault.duration_s, signal.SIGKILL)
            elif fault.kind in _DISTURBED:
                self._command_proxies(backend=name, fault=_DISTURBED[fault.kind])
                await anyio.sleep(fault.duration_s)
                self._command_proxies(backend=name, fault="")
            else:
                self.backends[name].send_command(fault=_AT_BACKEND[fault.kind])
                await anyio.sleep(fault.duration_s)
                self.backends[name].send_command(fault="")
        finally:
            self.disturbed.discard(name)
        return name

    def _command_proxies(self, **values: Any) -> None:
        for proxy in self.proxies:
            proxy.send_command(**values)

    async def _drain_backend(self, name: str) -> None:
        self._change_membership(name, health="Terminating")
        await anyio.sleep(0.6)
        self.backends[name].send_command(draining=True)
        await anyio.sleep(2.5)
        await self.restart_backend(name, 0.5, signal.SIGTERM)

    async def restart_backend(self, name: str, after_s: float, number: signal.Signals) -> None:
        """Its process ends, discovery learns of that, and it comes back cold."""
        process = self.backends[name]
        process.process.send_signal(number)
        await anyio.to_thread.run_sync(process.process.wait)
        await anyio.sleep(0.3)
        self._change_membership(name, health="Gone")
        await anyio.sleep(after_s)
        port = await self._start_backend(name)
        self.backends[name].send_command(warmth=SLOW_START_FROM)
        self._command_proxies(backend=name, port=port, fault="")
        self.records.write(BackendStart(name, now_us(), self.plan.overload_per_s))
        self._change_membership(name, health="Ready", born_ms=time.time_ns() // 1_000_000)
        self.tasks.start_soon(self._end_slow_start, name, self.backends[name])

    async def _end_slow_start(self, name: str, process: StandInProcess) -> None:
        for step in range(1, 9):
            await anyio.sleep(SLOW_START_US / 8e6)
            if self.backends.get(name) is process:
                process.send_command(warmth=SLOW_START_FROM + (1.0 - SLOW_START_FROM) * step / 8)

    async def _inject_at_discovery(self, fault: Fault) -> str:
        values: dict[FaultKind, tuple[dict[str, Any], dict[str, Any]]] = {
            FaultKind.DISCOVERY_DOWN: ({"down": True}, {"down": False}),
            FaultKind.DISCOVERY_SILENT: ({"silent": True}, {"silent": False}),
            FaultKind.DISCOVERY_SLOW: ({"delay_s": 0.8}, {"delay_s": 0.0}),
            FaultKind.DISCOVERY_INDENTED: ({"indented": True}, {"indented": False}),
        }
        begin, end = values[fault.kind]
        self.discovery.send_command(**begin)
        await anyio.sleep(fault.duration_s)
        self.discovery.send_command(**end)
        return "discovery"

    async def _inject_at_relay(self, relay: RelayProcess, fault: Fault) -> str:
        kind = fault.kind
        if relay.is_restarting or relay.process is None:
            return ""
        if kind in (FaultKind.SYSTEM_CALLS, FaultKind.DISK):
            await self._fail_calls(relay, fault)
        elif kind is FaultKind.WALL_CLOCK:
            relay.shim.step_wall_clock(fault.step_s)
        elif kind is FaultKind.PAUSE:
            relay.signal(signal.SIGSTOP)
            await anyio.sleep(fault.duration_s)
            relay.signal(signal.SIGCONT)
        elif kind is FaultKind.IDLE_CLIENTS:
            self.rng.choice(self.clients).send_command(crowd=self.plan.sockets, port=relay.port)
            await anyio.sleep(fault.duration_s)
            for client in self.clients:
                client.send_command(leave=True)
        elif kind is FaultKind.OPERATOR_OVERRIDE:
            await self._override_backend(relay, fault)
        elif kind in (FaultKind.TERM, FaultKind.UPGRADE) and relay.listener is not None:
            await self._upgrade_relay(relay)
        elif kind in (FaultKind.TERM, FaultKind.UPGRADE, FaultKind.KILL):
            await self._restart_relay(relay, kind)
        else:
            await self._send_signals(relay, kind)
        return relay_name(relay.number)

    async def _fail_calls(self, relay: RelayProcess, fault: Fault) -> None:
        began = now_us()
        for call, rate in fault.rates:
            relay.shim.fail(call, rate)
        await anyio.sleep(fault.duration_s)
        for call, _ in fault.rates:
            relay.shim.fail(call, 0)
        if Call.BROKEN in dict(fault.rates):
            self.records.write(FaultSpan(BROKEN_CONNECTIONS, relay_name(relay.number), began, now_us()))

    async def _override_backend(self, relay: RelayProcess, fault: Fault) -> None:
        """Take a backend out of use, and call it back. A call that is not answered `ok` is not relied on."""
        name = f"b{fault.backend}"
        if not (await relay.call_admin(f"OFFLINE {name}")).startswith("ok"):
            return
        self.records.write(OverrideCall(relay.number, name, True, now_us()))
        await anyio.sleep(fault.duration_s)
        self.records.write(OverrideCall(relay.number, name, False, now_us()))
        with anyio.move_on_after(START_TIMEOUT_S):
            while not (await relay.call_admin(f"ONLINE {name}")).startswith("ok"):
                await anyio.sleep(0.05)

    async def _upgrade_relay(self, relay: RelayProcess) -> None:
        relay.is_restarting = True
        try:
            await relay.upgrade(self.cached_membership())
        finally:
            relay.is_restarting = False

    async def _send_signals(self, relay: RelayProcess, kind: FaultKind) -> None:
        if kind is FaultKind.BAD_FILE:
            whole = relay.config_path.read_bytes()
            relay.config_path.write_bytes(whole[: len(whole) // 2])
            relay.signal(signal.SIGHUP)
            await anyio.sleep(0.2)
        if kind is FaultKind.RELOAD:
            relay.discovery_index = 1 - relay.discovery_index
        relay.write_config(self.cached_membership())
        relay.signal(signal.SIGHUP)
        if kind is FaultKind.SIGNALS:
            for number in self.rng.choices((signal.SIGUSR1, signal.SIGHUP), k=10):
                relay.signal(number)

    async def _restart_relay(self, relay: RelayProcess, kind: FaultKind) -> None:
        """End a relay as a planned restart does, or kill it, and start it again."""
        relay.is_restarting = True
        try:
            if kind is FaultKind.KILL:
                relay.lifetime.asked_to_end_us = now_us()
                relay.kill("kill")
                await anyio.sleep(self.rng.uniform(*FRONT_NOTICE_S))
                self._withdraw_clients(relay)
            else:
                async with anyio.create_task_group() as both:
                    both.start_soon(relay.terminate)
                    await anyio.sleep(self.rng.uniform(*FRONT_NOTICE_S))
                    self._withdraw_clients(relay)
            relay.start(self.cached_membership())
            await self.admit_clients(relay)
        finally:
            relay.is_restarting = False

    # ---- the run

    async def _watch(self) -> None:
        while True:
            for relay in self.relays:
                relay.check()
                if relay.process is None and not relay.is_restarting:  # it crashed: the others go on
                    relay.is_restarting = True
                    self._withdraw_clients(relay)
            await anyio.sleep(0.05)

    async def _sample_run_queue(self) -> None:
        sampler = RunQueueSampler(self.records)
        while True:
            sampler.sample(self._processes())
            await anyio.sleep(SAMPLE_INTERVAL_S)

    def _processes(self) -> Iterator[tuple[str, int]]:
        """Every process whose lateness the judge allows for, by the name that the records have for it."""
        for relay in self.relays:
            for process in (relay.process, relay.replaced):
                if process is not None:
                    yield relay_name(relay.number), process.pid
        for name, backend in self.backends.items():
            yield name, backend.process.pid
        for number, proxy in enumerate(self.proxies):
            yield proxy_name(number), proxy.process.pid

    async def run(self, faults: list[Fault] | None = None) -> Verdict:
        """Run it to its end, and judge it."""
        faults = draw_faults(self.plan) if faults is None else faults
        try:
            async with anyio.create_task_group() as self.tasks:
                self.tasks.start_soon(self._sample_run_queue)
                await self._start()
                self.tasks.start_soon(self._watch)
                await anyio.sleep(SETTLE_S)
                async with anyio.create_task_group() as happening:
                    for fault in faults:
                        happening.start_soon(self.inject, fault)
                    await anyio.sleep(self.plan.seconds)
                await anyio.sleep(SETTLE_S)
                await self._finish()
                self.tasks.cancel_scope.cancel()
        finally:
            self._end_all()
        return judge(read_records(self.folder), self.plan, self._logs())

    async def _finish(self) -> None:
        """All relays are told to end while clients still come, as at a release. Nobody takes over a shared
        listener here, so its clients go elsewhere first.
        """
        for relay in self.relays:
            if relay.listener is not None:
                self._withdraw_clients(relay)
        await anyio.sleep(FRONT_NOTICE_S[1])
        async with anyio.create_task_group() as ends:
            for relay in self.relays:
                relay.shim.fail(Call.ACCEPT, self.plan.accepts_fail if relay.number % 2 else 0)
                if relay.process is not None:
                    ends.start_soon(relay.terminate)
            await anyio.sleep(FRONT_NOTICE_S[0])
            for client in self.clients:
                client.send_command(stop=True)
        await anyio.sleep(0.5)

    def _end_all(self) -> None:
        for relay in self.relays:
            relay.kill("soak")
            relay.stop_reading()
        for process in [*self.clients, *self.proxies, *self.backends.values()]:
            process.end()
        if hasattr(self, "discovery"):
            self.discovery.end()

    def _logs(self) -> dict[int, list[str]]:
        found = {}
        for relay in self.relays:
            text = relay.log_path.read_text(errors="replace") if relay.log_path.exists() else ""
            found[relay.number] = text.splitlines()
        return found
