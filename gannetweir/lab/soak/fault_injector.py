"""Injects the faults of a plan into a fleet, and undoes each after its duration."""

from __future__ import annotations

import random
import signal

import anyio

from gannetweir.lab.soak.evidence import BROKEN_CONNECTIONS, relay_name
from gannetweir.lab.soak.fleet import WITHDRAWAL_DELAY_S, SoakFleet
from gannetweir.lab.soak.plan import Fault, FaultKind, SoakPlan
from gannetweir.lab.soak.records import FaultSpan, OverrideCall, RecordFile, now_us
from gannetweir.lab.soak.relays import START_TIMEOUT_S, RelayProcess
from gannetweir.lab.soak.shim import Call

DRAIN_NOTICE_S = 0.6  # time from the announcement of a drain until the backend rejects requests
DRAIN_DURATION_S = 2.5  # time for which a draining backend rejects requests before its process ends
RESTART_AFTER_DRAIN_S = 0.5  # time from the removal of a drained backend to the start of its new process
TRUNCATED_CONFIG_S = 0.2  # time for which a truncated configuration stays in place
SIGNALS_PER_BURST = 10
OVERRIDE_RETRY_S = 0.05
BACKENDS_PER_FAULT = 3  # at most one in this number of backends has a fault at a time
NETWORK_FAULTS = {
    FaultKind.NETWORK_DELAY: "late",
    FaultKind.NETWORK_SILENT: "silent",
    FaultKind.NETWORK_PIECES: "pieces",
    FaultKind.NETWORK_RESETS: "reset",
}  # value of `fault` in the command to the proxies
BACKEND_FAULTS = {
    FaultKind.BACKEND_HANGS: "hang",
    FaultKind.BACKEND_SLOW: "slow",
    FaultKind.BACKEND_RESETS: "reset",
    FaultKind.BACKEND_ERRORS: "error",
}  # value of `fault` in the command to the backend
BACKEND_RESTART_FAULTS = FaultKind.BACKEND_DRAINS, FaultKind.BACKEND_CRASHES


class FaultInjector:
    """Injects faults. What a fault leaves open is drawn from a random generator of its own."""

    def __init__(self, plan: SoakPlan, fleet: SoakFleet, records: RecordFile) -> None:
        self.plan, self.fleet, self.records = plan, fleet, records
        self.rng = random.Random(f"soak {plan.seed}")
        self.faulty_backends: set[str] = set()

    async def inject(self, fault: Fault) -> None:
        """Wait for the time of a fault, inject the fault, undo it after its duration and record its span."""
        await anyio.sleep(fault.at_s)
        began_us = now_us()
        target = await self._inject_and_undo(fault)
        if target:
            self.records.write(FaultSpan(fault.kind, target, began_us, now_us()))

    async def _inject_and_undo(self, fault: Fault) -> str:
        """Inject a fault and undo it. Returns the name of its target; empty if the fault can't be injected
        now.
        """
        kind = fault.kind
        if kind in BACKEND_FAULTS or kind in NETWORK_FAULTS or kind in BACKEND_RESTART_FAULTS:
            return await self._inject_at_backend(fault)
        if kind.startswith("discovery") or kind is FaultKind.DISCOVERY_INDENTED:
            await self._inject_at_discovery(fault)
            return "discovery"
        relay = self.fleet.relays[fault.target]
        if relay.is_restarting or relay.process is None:
            return ""
        await self._inject_at_relay(relay, fault)
        return relay_name(relay.number)

    async def _inject_at_backend(self, fault: Fault) -> str:
        backends = self.fleet.backends
        available = sorted(set(backends) - self.faulty_backends)
        if BACKENDS_PER_FAULT * len(self.faulty_backends) >= len(backends) or not available:
            return ""
        name = available[fault.target % len(available)]
        self.faulty_backends.add(name)
        try:
            await self._run_backend_fault(name, fault)
        finally:
            self.faulty_backends.discard(name)
        return name

    async def _run_backend_fault(self, name: str, fault: Fault) -> None:
        if fault.kind is FaultKind.BACKEND_DRAINS:
            await self._drain_backend(name)
        elif fault.kind is FaultKind.BACKEND_CRASHES:
            await self.fleet.restart_backend(name, fault.duration_s, signal.SIGKILL)
        elif fault.kind in NETWORK_FAULTS:
            self.fleet.command_proxies(backend=name, fault=NETWORK_FAULTS[fault.kind])
            await anyio.sleep(fault.duration_s)
            self.fleet.command_proxies(backend=name, fault="")
        else:
            self.fleet.backends[name].send_command(fault=BACKEND_FAULTS[fault.kind])
            await anyio.sleep(fault.duration_s)
            self.fleet.backends[name].send_command(fault="")

    async def _drain_backend(self, name: str) -> None:
        self.fleet.change_membership(name, health="Terminating")
        await anyio.sleep(DRAIN_NOTICE_S)
        self.fleet.backends[name].send_command(draining=True)
        await anyio.sleep(DRAIN_DURATION_S)
        await self.fleet.restart_backend(name, RESTART_AFTER_DRAIN_S, signal.SIGTERM)

    async def _inject_at_discovery(self, fault: Fault) -> None:
        commands: dict[FaultKind, tuple[dict[str, object], dict[str, object]]] = {
            FaultKind.DISCOVERY_DOWN: ({"down": True}, {"down": False}),
            FaultKind.DISCOVERY_SILENT: ({"silent": True}, {"silent": False}),
            FaultKind.DISCOVERY_SLOW: ({"delay_s": 0.8}, {"delay_s": 0.0}),
            FaultKind.DISCOVERY_INDENTED: ({"indented": True}, {"indented": False}),
        }
        begin, end = commands[fault.kind]
        self.fleet.command_discovery(**begin)
        await anyio.sleep(fault.duration_s)
        self.fleet.command_discovery(**end)

    async def _inject_at_relay(self, relay: RelayProcess, fault: Fault) -> None:
        match fault.kind:
            case FaultKind.SYSTEM_CALLS | FaultKind.DISK:
                await self._fail_calls(relay, fault)
            case FaultKind.WALL_CLOCK:
                relay.shim.step_wall_clock(fault.step_s)
            case FaultKind.PAUSE:
                relay.signal(signal.SIGSTOP)
                await anyio.sleep(fault.duration_s)
                relay.signal(signal.SIGCONT)
            case FaultKind.IDLE_CLIENTS:
                await self._fill_descriptors(relay, fault)
            case FaultKind.OPERATOR_OVERRIDE:
                await self._override_backend(relay, fault)
            case FaultKind.TERM | FaultKind.UPGRADE if relay.listener is not None:
                await self._upgrade_relay(relay)
            case FaultKind.TERM | FaultKind.UPGRADE | FaultKind.KILL:
                await self._restart_relay(relay, fault.kind)
            case _:
                await self._send_signals(relay, fault.kind)

    async def _fail_calls(self, relay: RelayProcess, fault: Fault) -> None:
        began_us = now_us()
        for call, rate in fault.rates:
            relay.shim.fail(call, rate)
        await anyio.sleep(fault.duration_s)
        for call, _ in fault.rates:
            relay.shim.fail(call, 0)
        if Call.BROKEN in dict(fault.rates):
            name = relay_name(relay.number)
            self.records.write(FaultSpan(BROKEN_CONNECTIONS, name, began_us, now_us()))

    async def _fill_descriptors(self, relay: RelayProcess, fault: Fault) -> None:
        self.rng.choice(self.fleet.clients).send_command(crowd=self.plan.sockets, port=relay.port)
        await anyio.sleep(fault.duration_s)
        for client in self.fleet.clients:
            client.send_command(leave=True)

    async def _override_backend(self, relay: RelayProcess, fault: Fault) -> None:
        """Take a backend offline and back online. The judge relies only on an answer `ok` to OFFLINE."""
        name = f"b{fault.backend}"
        if not (await relay.call_admin(f"OFFLINE {name}")).startswith("ok"):
            return
        self.records.write(OverrideCall(relay.number, name, True, now_us()))
        await anyio.sleep(fault.duration_s)
        self.records.write(OverrideCall(relay.number, name, False, now_us()))
        with anyio.move_on_after(START_TIMEOUT_S):
            while not (await relay.call_admin(f"ONLINE {name}")).startswith("ok"):
                await anyio.sleep(OVERRIDE_RETRY_S)

    async def _upgrade_relay(self, relay: RelayProcess) -> None:
        relay.is_restarting = True
        try:
            await relay.upgrade(self.fleet.cached_membership())
        finally:
            relay.is_restarting = False

    async def _restart_relay(self, relay: RelayProcess, kind: FaultKind) -> None:
        """Terminate a relay as in a planned restart, or kill it, and start a new process."""
        relay.is_restarting = True
        try:
            if kind is FaultKind.KILL:
                relay.lifetime.asked_to_end_us = now_us()
                relay.kill("kill")
                await self._withdraw_after_delay(relay)
            else:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(relay.terminate)
                    await self._withdraw_after_delay(relay)
            relay.start(self.fleet.cached_membership())
            await self.fleet.admit_clients(relay)
        finally:
            relay.is_restarting = False

    async def _withdraw_after_delay(self, relay: RelayProcess) -> None:
        await anyio.sleep(self.rng.uniform(*WITHDRAWAL_DELAY_S))
        self.fleet.withdraw_clients(relay)

    async def _send_signals(self, relay: RelayProcess, kind: FaultKind) -> None:
        if kind is FaultKind.BAD_FILE:
            complete = relay.config_path.read_bytes()
            relay.config_path.write_bytes(complete[: len(complete) // 2])
            relay.signal(signal.SIGHUP)
            await anyio.sleep(TRUNCATED_CONFIG_S)
        if kind is FaultKind.RELOAD:
            relay.discovery_index = 1 - relay.discovery_index
        relay.write_config(self.fleet.cached_membership())
        relay.signal(signal.SIGHUP)
        if kind is FaultKind.SIGNALS:
            for number in self.rng.choices((signal.SIGUSR1, signal.SIGHUP), k=SIGNALS_PER_BURST):
                relay.signal(number)
