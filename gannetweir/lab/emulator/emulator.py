"""The yard: real relays as processes, and around them stand-ins for all that they speak to, on loopback.

Clients come at times drawn ahead and wait for nobody (open loop): a time is counted from the moment at which
a request was due. The rules are held by the same checker as in the world on virtual time.
"""

from __future__ import annotations

import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any

import anyio
import anyio.abc
import orjson

from gannetweir.lab.emulator.attempts import OpenAttempts
from gannetweir.lab.emulator.backend import PushNode, Store, loopback
from gannetweir.lab.emulator.registry import Registry
from gannetweir.lab.model.checker import Checker

CLASSES = (
    ("zone-view", 2_000, 1.0, 0.36),
    ("rider-area", 3_000, 3.0, 0.34),
    ("closure-feed", 2_000, 3.0, 0.15),
    ("outlet-status", 3_000, 1.0, 0.15),
)


@dataclass(frozen=True, slots=True)
class YardPlan:
    """What a yard is made of."""

    seed: int = 1
    relays: int = 1
    nodes: int = 4
    families: tuple[str, ...] = ("ipv4",)
    capacity: int = 400
    store_per_s: float = 2000.0
    sockets: int = 1024
    operators: str = ""  # an operators' file's text
    base: int = 0  # connections that each node reports beside those of the yard


@dataclass(slots=True)
class Served:
    """One request of a client's, for the figures."""

    due_s: float
    cls: str
    answer: str
    took_s: float  # from the moment at which it was due


class RelayProcess:
    """One relay, started as an installation would."""

    def __init__(self, yard: Yard, number: int) -> None:
        self.yard, self.number = yard, number
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.port = int(free.getsockname()[1])
        self.process: subprocess.Popen[bytes] | None = None
        self.dead_s = -1.0  # since when it is dead

    def start(self) -> None:
        """Start it; `ready` waits for it."""
        folder = Path(self.yard.folder)
        plan = self.yard.plan
        data: dict[str, Any] = {
            "name": f"n{self.number}",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.yard.registry.port}",
            "seed": f"{plan.seed + self.number:x}",
            "limits": {"sockets": plan.sockets, "memory_mb": 192},
            "known": self.yard.registry.whole(),
            "settings": settings(plan.relays),
        }
        path = folder / f"relay{self.number}.json"
        path.write_bytes(orjson.dumps(data))
        env = {"RELAY_CONFIG": str(path), "PATH": os.environ.get("PATH", "")}
        if plan.operators:
            (folder / "operators.kdl").write_text(plan.operators)
            env["RELAY_OPERATORS"] = str(folder / "operators.kdl")
        log = (folder / f"relay{self.number}.log").open("ab")
        with log:
            command = [sys.executable, "-m", "gannetweir", "serve"]
            self.process = subprocess.Popen(
                command, env=env, stderr=log, stdout=log, stdin=subprocess.DEVNULL
            )
        self.dead_s = -1.0

    async def ready(self, within_s: float = 15.0) -> None:
        """Returns once it answers PONG."""
        with anyio.fail_after(within_s):
            while True:
                with suppress(OSError, anyio.EndOfStream):
                    async with await anyio.connect_tcp("127.0.0.1", self.port) as stream:
                        await stream.send(b"PING\r\n")
                        if (await stream.receive(100)).startswith(b"PONG"):
                            return
                await anyio.sleep(0.02)

    async def end(self, sign: signal.Signals = signal.SIGTERM, within_s: float = 5.0) -> None:
        """End it with a signal; killed if it has not ended in time."""
        if self.process is None:
            return
        self.dead_s = anyio.current_time()
        self.process.send_signal(sign)
        with anyio.move_on_after(within_s):
            while self.process.poll() is None:
                await anyio.sleep(0.02)
        self.kill()

    def kill(self) -> None:
        """End it now."""
        if self.process is not None:
            with suppress(ProcessLookupError):
                self.process.kill()
            self.process.wait()
            self.process = None

    def _printed(self) -> list[bytes]:
        lines = (Path(self.yard.folder) / f"relay{self.number}.log").read_bytes().splitlines()
        return [line for line in lines if line[:1] == b"{"]

    async def counters(self) -> Counter[str]:
        """Its counters now, or as it last printed them."""
        before = len(self._printed())
        if self.process is not None:
            self.process.send_signal(signal.SIGUSR1)
            with anyio.fail_after(5.0):
                while len(self._printed()) == before:
                    await anyio.sleep(0.01)
        return Counter(orjson.loads(self._printed()[-1]))


def settings(relays: int) -> dict[str, Any]:
    """What the platform tells each relay."""
    return {
        "categories": [
            {
                "name": name,
                "aim-us": 500_000,
                "hard-limit-us": ms * 1000,
                "idempotency": "repeatable",
                "dedup-scope": "all",
                "importance": worth,
            }
            for name, ms, worth, _ in CLASSES
        ],
        "fleet-size": relays,
        "zone": 0,
        "zones": ["a"],
        "kinds": ["m"],
        "registry-mode": "on_request",
        "contract": {"cold-from": 0.12, "warm-within-us": 23_000_000, "fall-multiple": 4.0},
        "reporting": {"names": ["tps", "concurrent", "x0"], "source": "probe"},
        "family-info": {
            "groups": True,
            "tells-delay": True,
            "tells-load": True,
            "message-aim-us": [100_000.0],
        },
        "limits": {
            "probes": True,
            "max-attempts": 6,
            "connect-timeout-us": 250_000,
            "max-retry-after-us": 1_500_000,
        },
    }


class Yard:
    """All of it. Use it with `async with`: at the end every process that it started has ended."""

    def __init__(self, plan: YardPlan) -> None:
        self.plan, self.rng = plan, random.Random(plan.seed)
        self.checker, self.registry, self.store = Checker(), Registry(), Store(plan.store_per_s)
        self.stack, self.folder = AsyncExitStack(), ""
        self.nodes: dict[str, PushNode] = {}
        self.relays: list[RelayProcess] = []
        self.requests = 0
        self.served: list[Served] = []
        self.counts: Counter[str] = Counter()
        self.open: Counter[str] = Counter()  # connections that stand, by node
        self.tasks: anyio.abc.TaskGroup
        self.attempts: OpenAttempts
        self.begun_s = 0.0
        self.born_ns = time.monotonic_ns()

    def now_us(self) -> int:
        """The yard's clock, for the checker."""
        return (time.monotonic_ns() - self.born_ns) // 1000

    async def __aenter__(self) -> Yard:
        self.folder = self.stack.enter_context(tempfile.TemporaryDirectory(prefix="yard-"))
        self.tasks = await self.stack.enter_async_context(_cancelled_at_end())
        plan = self.plan
        self.attempts = attempts = OpenAttempts(self.checker, self.now_us)
        self.tasks.start_soon(attempts.beat.run)
        for n in range(1, plan.nodes + 1):
            addresses = loopback(n, self.folder, plan.families)
            node = PushNode(
                f"b{n}",
                addresses,
                plan.capacity,
                self.store,
                attempts,
                random.Random(f"{plan.seed} node {n}"),
            )
            node.base = plan.base
            self.nodes[node.name] = node
            await self.tasks.start(node.run)
            dials = [str(address) for address in addresses]
            more = {"dials": dials} if len(dials) > 1 else {}
            self.registry.change(node.name, dial=dials[0], **more)
        self.tasks.start_soon(self.registry.run)
        self.relays = [RelayProcess(self, n) for n in range(plan.relays)]
        try:
            for relay in self.relays:
                relay.start()
            for relay in self.relays:
                await relay.ready()
        except BaseException:
            await self.__aexit__(None, None, None)
            raise
        self.begun_s = anyio.current_time()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for relay in self.relays:  # first, and without waiting: also if this is being cancelled
            relay.kill()
        await self.stack.__aexit__(kind, error, trace)

    # ---- the front

    def pick(self) -> RelayProcess:
        """A relay for the next client. One that died is still sent to for a while, as a front does."""
        now = anyio.current_time()
        known = [r for r in self.relays if r.dead_s < 0 or now - r.dead_s < 2.5]
        return self.rng.choice(known or self.relays)

    # ---- clients

    async def ask(
        self,
        cls: int = 0,
        life_s: float = 0.0,
        group: int = 1,
        tries: int = 0,
        due_s: float = -1.0,
        relay: RelayProcess | None = None,
        retries: int = 0,
        beat_s: float = 2.0,
    ) -> str:
        """One client's connection from its first line to its end; its answer. A rejected one comes again as
        it was told, `retries` times. `MOVE` and breaks bring it back.
        """
        name, give_up_ms, _, _ = CLASSES[cls]
        self.requests += 1
        number = self.requests
        due = anyio.current_time() if due_s < 0 else due_s
        key = self.rng.getrandbits(64)
        marks = ",r=1" if tries else ""
        line = f"OPEN {number:x} {key:x} c={name},d={give_up_ms},g={group:x}{marks}\r\n"
        answer, wait_ms = "", 0.0
        try:
            async with await anyio.connect_tcp("127.0.0.1", (relay or self.pick()).port) as stream:
                self.checker.asked(number, name, give_up_ms * 1000, not tries, self.now_us())
                with anyio.move_on_after(give_up_ms / 1000 + 1.0):  # the checker finds what has no answer
                    await stream.send(line.encode())
                    said = [*(await stream.receive(4096)).decode("ascii", "replace").split(), ""]
                    answer = {"UP": "up", "BUSY": "busy"}.get(said[0], "err")
                    self.checker.answered(number, answer, self.now_us())
                    took = anyio.current_time() - due
                    self.served.append(Served(due - self.begun_s, name, answer, took))
                    self.counts[answer] += 1
                    wait_ms = float(said[1] or 0.0) if answer == "busy" else 0.0
                if answer == "up":
                    answer = await self._stay(stream, said[1].rpartition("-")[0], life_s, beat_s)
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            if number in self.checker.stories:
                self.checker.left(number)  # its relay died: nothing is owed by the dead
            answer = "broken"
        if answer in ("moved", "cut", "broken"):
            self.counts[answer] += 1
        if answer in ("busy", "err", "broken", "moved", "cut") and retries > 0:
            await anyio.sleep((wait_ms or self.rng.uniform(140, 1000)) / 1000)
            return await self.ask(cls, life_s, group, tries + 1, retries=retries - 1, beat_s=beat_s)
        return answer

    async def _stay(self, stream: anyio.abc.ByteStream, node: str, life_s: float, beat_s: float) -> str:
        """Live for so long, with a line now and then. `up` at the end of it, `moved` if told so before, `cut`
        if the connection ended without a word.
        """
        self.open[node] += 1
        try:
            with anyio.move_on_after(life_s):
                while True:
                    with anyio.move_on_after(beat_s):
                        if b"MOVE" in await stream.receive(4096):
                            return "moved"
                        continue
                    await stream.send(b"tick\r\n")
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return "cut"
        finally:
            self.open[node] -= 1
        return "up"

    async def load(
        self,
        per_s: float,
        seconds: float,
        life_s: float,
        retries: int = 1,
        groups: int = 40,
        progress: Callable[[float], None] = lambda share: None,
    ) -> None:
        """Open-loop arrivals for so long; returns when all of them have had their answers or ended."""
        rng = random.Random(f"{self.plan.seed} arrivals")
        async with anyio.create_task_group() as clients:
            start = anyio.current_time()
            due = start
            while (due := due + rng.expovariate(per_s)) < start + seconds:
                await anyio.sleep_until(due)
                cls = rng.choices(range(4), [c[3] for c in CLASSES])[0]
                life = rng.expovariate(1 / life_s)
                group = rng.randrange(1, groups + 1) * 0x9E3779B97F4A7C15 & (1 << 64) - 1

                async def one(c: int = cls, at: float = due, stay: float = life, g: int = group) -> None:
                    await self.ask(c, stay, g, 0, at, retries=retries)

                clients.start_soon(one)
                progress((due - start) / seconds)

    async def burst(self, count: int, at_once: int, **how: Any) -> Counter[str]:
        """So many requests, so many at a time; what each was answered."""
        answers: Counter[str] = Counter()
        left = iter(range(count))

        async def worker() -> None:
            for _ in left:
                answers[await self.ask(group=self.rng.randrange(1, 200), **how)] += 1

        async with anyio.create_task_group() as workers:
            for _ in range(at_once):
                workers.start_soon(worker)
        return answers

    # ---- what happens to the fleet

    async def drain(self, name: str, over_s: float = 2.0) -> None:
        """A node is told to leave, and sends its clients away."""
        self.registry.change(name, health="Terminating")
        self.checker.told(name, True, self.now_us())  # every relay watches, and a watch is told at once
        await anyio.sleep(0.5)
        await self.nodes[name].move_all(over_s)

    async def restart(self, name: str) -> None:
        """A node's process dies and comes back cold."""
        node = self.nodes[name]
        node.stop()
        self.registry.change(name, health="Gone")
        self.checker.told(name, True, self.now_us())
        await anyio.sleep(0.5)
        node.draining, node.started_s = False, anyio.current_time()
        await self.tasks.start(node.run)
        self.checker.told(name, False, self.now_us())
        self.registry.change(name, health="Ready", born_ms=int(time.time() * 1000))

    def not_judged(self) -> int:
        """Requests of which an overlap can be neither shown nor ruled out: the stand-ins were late."""
        return len(self.attempts.not_judged)

    def close(self) -> list[str]:
        """What was broken of the rules."""
        return self.checker.close(self.now_us())

    async def lines_in(self) -> tuple[int, int]:
        """First lines that came in at the nodes, and that the relays have written whole: each counts its own,
        so a line that was sent twice, lost or made up shows.
        """
        counted = sum([await relay.counters() for relay in self.relays], Counter[str]())
        delivered = sum(sum(node.deliveries.values()) for node in self.nodes.values())
        return delivered, counted["flows"] - counted["attempts.connect_failed"]


@asynccontextmanager
async def _cancelled_at_end() -> Any:
    async with anyio.create_task_group() as tasks:
        try:
            yield tasks
        finally:
            tasks.cancel_scope.cancel()


@dataclass(slots=True)
class Event:
    """Something that is to happen at a time."""

    at_s: float
    do: Callable[[Yard], Awaitable[None]]
    what: str


@dataclass(slots=True)
class Script:
    """A run: load, and what happens meanwhile."""

    per_s: float
    seconds: float
    life_s: float = 10.0
    events: Sequence[Event] = field(default_factory=tuple)


async def play(
    yard: Yard,
    script: Script,
    progress: Callable[[float], None] = lambda share: None,
    say: Callable[[str], None] = lambda what: None,
) -> None:
    """Run a script to its end; `say` hears what happens as it begins."""

    async def happen(event: Event) -> None:
        await anyio.sleep(event.at_s)
        say(event.what)
        await event.do(yard)

    async with anyio.create_task_group() as tasks:
        for event in script.events:
            tasks.start_soon(happen, event)
        await yard.load(script.per_s, script.seconds, script.life_s, progress=progress)
        tasks.cancel_scope.cancel()
