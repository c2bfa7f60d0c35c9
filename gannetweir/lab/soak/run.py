"""One run of a soak: the processes, the troubles of its seed, the end, and what the judge says of it."""

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
from gannetweir.lab.soak.judge import BROKEN_AT, Verdict, judge
from gannetweir.lab.soak.plan import (
    COLD_FROM,
    WARM_US,
    Kind,
    SoakPlan,
    Trouble,
    draw_troubles,
    proxy_name,
)
from gannetweir.lab.soak.records import Called, RecordFile, Started, TroubleSpan, now_us, read
from gannetweir.lab.soak.relays import READY_S, Relay
from gannetweir.lab.soak.run_queue import SAMPLE_INTERVAL_S, RunQueueSampler
from gannetweir.lab.soak.shim import Call, Shim, build

SETTLE_S = 1.5  # before the first trouble and after the last one
FRONT_NOTICE_S = 0.2, 0.4  # how long new clients still come to a relay that was told to end
_DISTURBED = {
    Kind.LATE: "late",
    Kind.SILENT: "silent",
    Kind.PIECES: "pieces",
    Kind.CUT: "reset",
}
_AT_BACKEND = {Kind.HANG: "hang", Kind.SLOW: "slow", Kind.RESET: "reset", Kind.ERROR: "error"}


class StandIn:
    """A stand-in process that takes commands on standard input."""

    def __init__(self, module: str, *arguments: str) -> None:
        command = [sys.executable, "-m", f"gannetweir.lab.soak.{module}", *arguments]
        self.process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)

    async def started(self) -> dict[str, Any]:
        """What it says once it runs."""
        assert self.process.stdout is not None
        line = await anyio.to_thread.run_sync(self.process.stdout.readline)
        return dict(orjson.loads(line))

    def tell(self, **values: Any) -> None:
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
        self.command = commands or (lambda number: relay_processes.command())
        folder.mkdir(parents=True, exist_ok=True)
        self.records = RecordFile(folder / "soak.jsonl")
        self.rng = random.Random(f"soak {plan.seed}")
        self.backends: dict[str, StandIn] = {}
        self.proxies: list[StandIn] = []
        self.clients: list[StandIn] = []
        self.relays: list[Relay] = []
        self.disturbed: set[str] = set()  # backends with a trouble of their own
        self.hosts: dict[str, dict[str, Any]] = {}
        self.version = 1
        self.serial = plan.backends

    # ---- the start

    async def _start(self) -> None:
        names = [f"b{n}" for n in range(self.plan.backends)]
        ports = {name: await self._start_backend(name) for name in names}
        for n in range(self.plan.proxies):
            mine = [f"{name}={ports[name]}" for name in names[n :: self.plan.proxies]]
            self.proxies.append(StandIn("proxy", proxy_name(n), str(self.folder), *mine))
        self.discovery = StandIn("discovery", str(self.folder), str(self.plan.relays))
        dials: dict[str, int] = {}
        for proxy in self.proxies:
            dials |= (await proxy.started())["ports"]
        at = (await self.discovery.started())["ports"]
        for place, name in enumerate(names):
            self._list(name, dial=f"127.0.0.1:{dials[name]}", block=place % 3)
        library = build(self.folder)
        for n in range(self.plan.relays):
            shim = Shim(library, self.folder / f"shim{n}", self.plan.seed * 1000 + n + 1)
            self.relays.append(Relay(n, self.plan, self.folder, shim, at[n], self.records, self.command(n)))
        for relay in self.relays:
            relay.start(self.known())
        for n in range(self.plan.client_processes):
            rate = self.plan.requests_per_s / self.plan.client_processes
            client = StandIn(
                "clients",
                f"clients{n}",
                str(self.folder),
                str(self.plan.seed),
                str(rate),
                str(self.plan.life_s),
                str(self.plan.patience),
            )
            self.clients.append(client)
            await client.started()
        for relay in self.relays:
            self.tasks.start_soon(self.admit, relay)
        while not any(relay.life.ready_us for relay in self.relays):
            await anyio.sleep(0.02)

    async def _start_backend(self, name: str) -> int:
        process = StandIn("backend", name, str(self.folder), str(self.plan.capacity))
        self.backends[name] = process
        return int((await process.started())["port"])

    def _list(self, name: str, **fields: Any) -> None:
        """Discovery learns something of a backend."""
        self.version += 1
        blank = {"site": "a", "class": "m", "health": "Ready", "share": 1.0, "born_ms": 0}
        self.hosts[name] = blank | self.hosts.get(name, {}) | fields | {"host": name}
        self.discovery.tell(**self.hosts[name])

    def known(self) -> dict[str, Any]:
        """The list as a relay is started with it."""
        listed = [host for host in self.hosts.values() if host["health"] != "Gone"]
        return {"seq": self.version, "whole": True, "hosts": listed}

    async def admit(self, relay: Relay) -> None:
        """Let the front send clients to a relay, once it is ready."""
        if await relay.ready():
            for client in self.clients:
                client.tell(admit=relay.number, port=relay.port)
        else:
            relay.kill("no start")

    def _withdraw(self, relay: Relay) -> None:
        for client in self.clients:
            client.tell(withdraw=relay.number)

    # ---- troubles

    async def happen(self, trouble: Trouble) -> None:
        """One trouble, from its time to its end."""
        await anyio.sleep(trouble.at_s)
        began = now_us()
        target = await self._carry_out(trouble)
        if target:
            self.records.write(TroubleSpan(trouble.kind, target, began, now_us()))

    async def _carry_out(self, trouble: Trouble) -> str:
        """Do it, and undo it after its length. Whom it struck; empty if it could not be done now."""
        kind = trouble.kind
        if kind in _AT_BACKEND or kind in _DISTURBED or kind in (Kind.DRAIN, Kind.CRASH):
            return await self._at_backend(trouble)
        if kind.startswith("discovery") or kind is Kind.INDENTED:
            return await self._at_discovery(trouble)
        return await self._at_relay(self.relays[trouble.target], trouble)

    async def _at_backend(self, trouble: Trouble) -> str:
        free = sorted(set(self.backends) - self.disturbed)
        if 3 * len(self.disturbed) >= len(self.backends) or not free:
            return ""
        name = free[trouble.target % len(free)]
        self.disturbed.add(name)
        try:
            if trouble.kind is Kind.DRAIN:
                await self._drain(name)
            elif trouble.kind is Kind.CRASH:
                await self.restart_backend(name, trouble.length_s, signal.SIGKILL)
            elif trouble.kind in _DISTURBED:
                self._tell_proxies(backend=name, fault=_DISTURBED[trouble.kind])
                await anyio.sleep(trouble.length_s)
                self._tell_proxies(backend=name, fault="")
            else:
                self.backends[name].tell(fault=_AT_BACKEND[trouble.kind])
                await anyio.sleep(trouble.length_s)
                self.backends[name].tell(fault="")
        finally:
            self.disturbed.discard(name)
        return name

    def _tell_proxies(self, **values: Any) -> None:
        for proxy in self.proxies:
            proxy.tell(**values)

    async def _drain(self, name: str) -> None:
        self._list(name, health="Terminating")
        await anyio.sleep(0.6)
        self.backends[name].tell(draining=True)
        await anyio.sleep(2.5)
        await self.restart_backend(name, 0.5, signal.SIGTERM)

    async def restart_backend(self, name: str, after_s: float, number: signal.Signals) -> None:
        """Its process ends, discovery learns of that, and it comes back cold."""
        process = self.backends[name]
        process.process.send_signal(number)
        await anyio.to_thread.run_sync(process.process.wait)
        await anyio.sleep(0.3)
        self._list(name, health="Gone")
        await anyio.sleep(after_s)
        port = await self._start_backend(name)
        self.backends[name].tell(warmth=COLD_FROM)
        self._tell_proxies(backend=name, port=port, fault="")
        self.records.write(Started(name, now_us(), self.plan.warm_per_s))
        self._list(name, health="Ready", born_ms=time.time_ns() // 1_000_000)
        self.tasks.start_soon(self._warm, name, self.backends[name])

    async def _warm(self, name: str, process: StandIn) -> None:
        for step in range(1, 9):
            await anyio.sleep(WARM_US / 8e6)
            if self.backends.get(name) is process:
                process.tell(warmth=COLD_FROM + (1.0 - COLD_FROM) * step / 8)

    async def _at_discovery(self, trouble: Trouble) -> str:
        values: dict[Kind, tuple[dict[str, Any], dict[str, Any]]] = {
            Kind.DISCOVERY_DOWN: ({"down": True}, {"down": False}),
            Kind.DISCOVERY_SILENT: ({"silent": True}, {"silent": False}),
            Kind.DISCOVERY_SLOW: ({"delay_s": 0.8}, {"delay_s": 0.0}),
            Kind.INDENTED: ({"indented": True}, {"indented": False}),
        }
        begin, end = values[trouble.kind]
        self.discovery.tell(**begin)
        await anyio.sleep(trouble.length_s)
        self.discovery.tell(**end)
        return "discovery"

    async def _at_relay(self, relay: Relay, trouble: Trouble) -> str:
        kind = trouble.kind
        if relay.busy or relay.process is None:
            return ""
        if kind in (Kind.CALLS, Kind.DISK):
            await self._fail_calls(relay, trouble)
        elif kind is Kind.WALL_CLOCK:
            relay.shim.step_wall_clock(trouble.step_s)
        elif kind is Kind.PAUSE:
            relay.signal(signal.SIGSTOP)
            await anyio.sleep(trouble.length_s)
            relay.signal(signal.SIGCONT)
        elif kind is Kind.CROWD:
            self.rng.choice(self.clients).tell(crowd=self.plan.sockets, port=relay.port)
            await anyio.sleep(trouble.length_s)
            for client in self.clients:
                client.tell(leave=True)
        elif kind is Kind.OPERATORS:
            await self._call_by_hand(relay, trouble)
        elif kind in (Kind.TERM, Kind.UPGRADE) and relay.listener is not None:
            await self._upgrade(relay)
        elif kind in (Kind.TERM, Kind.UPGRADE, Kind.KILL):
            await self._end(relay, kind)
        else:
            await self._signals(relay, kind)
        return f"n{relay.number}"

    async def _fail_calls(self, relay: Relay, trouble: Trouble) -> None:
        began = now_us()
        for call, rate in trouble.rates:
            relay.shim.fail(call, rate)
        await anyio.sleep(trouble.length_s)
        for call, _ in trouble.rates:
            relay.shim.fail(call, 0)
        if Call.BROKEN in dict(trouble.rates):
            self.records.write(TroubleSpan(BROKEN_AT, f"n{relay.number}", began, now_us()))

    async def _call_by_hand(self, relay: Relay, trouble: Trouble) -> None:
        """Take a backend out of use, and call it back. A call that is not answered `ok` is not relied on."""
        name = f"b{trouble.backend}"
        if not (await relay.call(f"OFFLINE {name}")).startswith("ok"):
            return
        self.records.write(Called(relay.number, name, True, now_us()))
        await anyio.sleep(trouble.length_s)
        self.records.write(Called(relay.number, name, False, now_us()))
        with anyio.move_on_after(READY_S):
            while not (await relay.call(f"ONLINE {name}")).startswith("ok"):
                await anyio.sleep(0.05)

    async def _upgrade(self, relay: Relay) -> None:
        relay.busy = True
        try:
            await relay.upgrade(self.known())
        finally:
            relay.busy = False

    async def _signals(self, relay: Relay, kind: Kind) -> None:
        if kind is Kind.BAD_FILE:
            whole = relay.config.read_bytes()
            relay.config.write_bytes(whole[: len(whole) // 2])
            relay.signal(signal.SIGHUP)
            await anyio.sleep(0.2)
        if kind is Kind.RELOAD:
            relay.address = 1 - relay.address
        relay.write_config(self.known())
        relay.signal(signal.SIGHUP)
        if kind is Kind.SIGNALS:
            for number in self.rng.choices((signal.SIGUSR1, signal.SIGHUP), k=10):
                relay.signal(number)

    async def _end(self, relay: Relay, kind: Kind) -> None:
        """End a relay as a planned restart does, or kill it, and start it again."""
        relay.busy = True
        try:
            if kind is Kind.KILL:
                relay.life.asked_to_end_us = now_us()
                relay.kill("kill")
                await anyio.sleep(self.rng.uniform(*FRONT_NOTICE_S))
                self._withdraw(relay)
            else:
                async with anyio.create_task_group() as both:
                    both.start_soon(relay.ended)
                    await anyio.sleep(self.rng.uniform(*FRONT_NOTICE_S))
                    self._withdraw(relay)
            relay.start(self.known())
            await self.admit(relay)
        finally:
            relay.busy = False

    # ---- the run

    async def _watch(self) -> None:
        while True:
            for relay in self.relays:
                relay.look()
                if relay.process is None and not relay.busy:  # it crashed: the others go on
                    relay.busy = True
                    self._withdraw(relay)
            await anyio.sleep(0.05)

    async def _sample_run_queue(self) -> None:
        sampler = RunQueueSampler(self.records)
        while True:
            sampler.sample(self._processes())
            await anyio.sleep(SAMPLE_INTERVAL_S)

    def _processes(self) -> Iterator[tuple[str, int]]:
        """Every process whose lateness the judge allows for, by the name that the records have for it."""
        for relay in self.relays:
            for process in (relay.process, relay.before):
                if process is not None:
                    yield f"n{relay.number}", process.pid
        for name, backend in self.backends.items():
            yield name, backend.process.pid
        for number, proxy in enumerate(self.proxies):
            yield proxy_name(number), proxy.process.pid

    async def play(self, troubles: list[Trouble] | None = None) -> Verdict:
        """Run it to its end, and judge it."""
        troubles = draw_troubles(self.plan) if troubles is None else troubles
        try:
            async with anyio.create_task_group() as self.tasks:
                self.tasks.start_soon(self._sample_run_queue)
                await self._start()
                self.tasks.start_soon(self._watch)
                await anyio.sleep(SETTLE_S)
                async with anyio.create_task_group() as happening:
                    for trouble in troubles:
                        happening.start_soon(self.happen, trouble)
                    await anyio.sleep(self.plan.seconds)
                await anyio.sleep(SETTLE_S)
                await self._finish()
                self.tasks.cancel_scope.cancel()
        finally:
            self._end_all()
        return judge(read(self.folder), self.plan, self._logs())

    async def _finish(self) -> None:
        """All relays are told to end while clients still come, as at a release. Nobody takes over a shared
        listener here, so its clients go elsewhere first.
        """
        for relay in self.relays:
            if relay.listener is not None:
                self._withdraw(relay)
        await anyio.sleep(FRONT_NOTICE_S[1])
        async with anyio.create_task_group() as ends:
            for relay in self.relays:
                relay.shim.fail(Call.ACCEPT, self.plan.accepts_fail if relay.number % 2 else 0)
                if relay.process is not None:
                    ends.start_soon(relay.ended)
            await anyio.sleep(FRONT_NOTICE_S[0])
            for client in self.clients:
                client.tell(stop=True)
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
            text = relay.log.read_text(errors="replace") if relay.log.exists() else ""
            found[relay.number] = text.splitlines()
        return found
