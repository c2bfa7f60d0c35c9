"""The yard: real relays as processes, and around them stand-ins for all that they speak to, on loopback.

Clients come at times drawn ahead and wait for nobody (open loop): a time is counted from the moment at which
a request was due. The rules are held by the same checker as in the world on virtual time.
"""

from __future__ import annotations

import random
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any

import anyio
import anyio.abc

from gannetweir.lab.emulator.attempts import AttemptOverlaps
from gannetweir.lab.emulator.backend import EmulatedBackend, EmulatedSessionStore, loopback_addresses
from gannetweir.lab.emulator.plan import CLASSES, EmulatorPlan
from gannetweir.lab.emulator.registry import EmulatedDiscovery
from gannetweir.lab.emulator.relay_process import RelayProcess
from gannetweir.lab.model.checker import RuleChecker


@dataclass(slots=True)
class AnsweredRequest:
    """One request of a client's, for the figures."""

    due_s: float
    request_class: str
    answer: str
    duration_s: float  # from the moment at which it was due


class Emulator:
    """All of it. Use it with `async with`: at the end every process that it started has ended."""

    def __init__(self, plan: EmulatorPlan) -> None:
        self.plan, self.rng = plan, random.Random(plan.seed)
        self.checker, self.discovery, self.store = (
            RuleChecker(),
            EmulatedDiscovery(),
            EmulatedSessionStore(plan.store_calls_per_s),
        )
        self.stack, self.folder = AsyncExitStack(), ""
        self.backends: dict[str, EmulatedBackend] = {}
        self.relays: list[RelayProcess] = []
        self.request_count = 0
        self.answered: list[AnsweredRequest] = []
        self.counts: Counter[str] = Counter()
        self.open_connections: Counter[str] = Counter()  # connections that stand, by node
        self.tasks: anyio.abc.TaskGroup
        self.attempt_overlaps: AttemptOverlaps
        self.started_s = 0.0
        self.created_ns = time.monotonic_ns()

    def now_us(self) -> int:
        """The yard's clock, for the checker."""
        return (time.monotonic_ns() - self.created_ns) // 1000

    async def __aenter__(self) -> Emulator:
        self.folder = self.stack.enter_context(tempfile.TemporaryDirectory(prefix="yard-"))
        self.tasks = await self.stack.enter_async_context(_cancelled_at_end())
        plan = self.plan
        self.attempt_overlaps = attempts = AttemptOverlaps(self.checker, self.now_us)
        self.tasks.start_soon(attempts.loop_delay.run)
        for n in range(1, plan.backends + 1):
            addresses = loopback_addresses(n, self.folder, plan.families)
            node = EmulatedBackend(
                f"b{n}",
                addresses,
                plan.capacity,
                self.store,
                attempts,
                random.Random(f"{plan.seed} node {n}"),
            )
            node.other_connections = plan.other_connections
            self.backends[node.name] = node
            await self.tasks.start(node.run)
            dials = [str(address) for address in addresses]
            more = {"dials": dials} if len(dials) > 1 else {}
            self.discovery.change(node.name, dial=dials[0], **more)
        self.tasks.start_soon(self.discovery.run)
        self.relays = [RelayProcess(plan, self.discovery, Path(self.folder), n) for n in range(plan.relays)]
        try:
            for relay in self.relays:
                relay.start()
            for relay in self.relays:
                await relay.wait_ready()
        except BaseException:
            await self.__aexit__(None, None, None)
            raise
        self.started_s = anyio.current_time()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for relay in self.relays:  # first, and without waiting: also if this is being cancelled
            relay.kill()
        await self.stack.__aexit__(kind, error, trace)

    # ---- the front

    def choose_relay(self) -> RelayProcess:
        """A relay for the next client. One that died is still sent to for a while, as a front does."""
        now = anyio.current_time()
        known = [r for r in self.relays if r.dead_since_s < 0 or now - r.dead_since_s < 2.5]
        return self.rng.choice(known or self.relays)

    # ---- clients

    async def request(
        self,
        class_number: int = 0,
        duration_s: float = 0.0,
        group: int = 1,
        retries_made: int = 0,
        due_s: float = -1.0,
        relay: RelayProcess | None = None,
        retries: int = 0,
        line_interval_s: float = 2.0,
    ) -> str:
        """One client's connection from its first line to its end; its answer. A rejected one comes again as
        it was told, `retries` times. `MOVE` and breaks bring it back.
        """
        name, give_up_ms = CLASSES[class_number].name, CLASSES[class_number].time_budget_ms
        self.request_count += 1
        number = self.request_count
        due = anyio.current_time() if due_s < 0 else due_s
        key = self.rng.getrandbits(64)
        marks = ",r=1" if retries_made else ""
        line = f"OPEN {number:x} {key:x} c={name},d={give_up_ms},g={group:x}{marks}\r\n"
        answer, wait_ms = "", 0.0
        try:
            async with await anyio.connect_tcp("127.0.0.1", (relay or self.choose_relay()).port) as stream:
                self.checker.request_sent(number, name, give_up_ms * 1000, not retries_made, self.now_us())
                with anyio.move_on_after(give_up_ms / 1000 + 1.0):  # the checker finds what has no answer
                    await stream.send(line.encode())
                    said = [*(await stream.receive(4096)).decode("ascii", "replace").split(), ""]
                    answer = {"UP": "up", "BUSY": "busy"}.get(said[0], "err")
                    self.checker.answer_received(number, answer, self.now_us())
                    took = anyio.current_time() - due
                    self.answered.append(AnsweredRequest(due - self.started_s, name, answer, took))
                    self.counts[answer] += 1
                    wait_ms = float(said[1] or 0.0) if answer == "busy" else 0.0
                if answer == "up":
                    answer = await self._use_connection(
                        stream, said[1].rpartition("-")[0], duration_s, line_interval_s
                    )
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            if number in self.checker.traces:
                self.checker.client_disconnected(number)  # its relay died: nothing is owed by the dead
            answer = "broken"
        if answer in ("moved", "cut", "broken"):
            self.counts[answer] += 1
        if answer in ("busy", "err", "broken", "moved", "cut") and retries > 0:
            await anyio.sleep((wait_ms or self.rng.uniform(140, 1000)) / 1000)
            return await self.request(
                class_number,
                duration_s,
                group,
                retries_made + 1,
                retries=retries - 1,
                line_interval_s=line_interval_s,
            )
        return answer

    async def _use_connection(
        self, stream: anyio.abc.ByteStream, backend: str, duration_s: float, line_interval_s: float
    ) -> str:
        """Live for so long, with a line now and then. `up` at the end of it, `moved` if told so before, `cut`
        if the connection ended without a word.
        """
        self.open_connections[backend] += 1
        try:
            with anyio.move_on_after(duration_s):
                while True:
                    with anyio.move_on_after(line_interval_s):
                        if b"MOVE" in await stream.receive(4096):
                            return "moved"
                        continue
                    await stream.send(b"tick\r\n")
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return "cut"
        finally:
            self.open_connections[backend] -= 1
        return "up"

    async def offer_load(
        self,
        arrivals_per_s: float,
        seconds: float,
        mean_duration_s: float,
        retries: int = 1,
        groups: int = 40,
        progress: Callable[[float], None] = lambda share: None,
    ) -> None:
        """Open-loop arrivals for so long; returns when all of them have had their answers or ended."""
        rng = random.Random(f"{self.plan.seed} arrivals")
        async with anyio.create_task_group() as clients:
            start = anyio.current_time()
            due = start
            while (due := due + rng.expovariate(arrivals_per_s)) < start + seconds:
                await anyio.sleep_until(due)
                cls = rng.choices(range(4), [one.arrival_share for one in CLASSES])[0]
                life = rng.expovariate(1 / mean_duration_s)
                group = rng.randrange(1, groups + 1) * 0x9E3779B97F4A7C15 & (1 << 64) - 1

                async def one(c: int = cls, at: float = due, stay: float = life, g: int = group) -> None:
                    await self.request(c, stay, g, 0, at, retries=retries)

                clients.start_soon(one)
                progress((due - start) / seconds)

    async def request_many(self, count: int, concurrency: int, **how: Any) -> Counter[str]:
        """So many requests, so many at a time; what each was answered."""
        answers: Counter[str] = Counter()
        left = iter(range(count))

        async def worker() -> None:
            for _ in left:
                answers[await self.request(group=self.rng.randrange(1, 200), **how)] += 1

        async with anyio.create_task_group() as workers:
            for _ in range(concurrency):
                workers.start_soon(worker)
        return answers

    # ---- what happens to the fleet

    async def drain_backend(self, name: str, duration_s: float = 2.0) -> None:
        """A node is told to leave, and sends its clients away."""
        self.discovery.change(name, health="Terminating")
        self.checker.relay_notified(
            name, True, self.now_us()
        )  # every relay watches, and a watch is told at once
        await anyio.sleep(0.5)
        await self.backends[name].migrate_all(duration_s)

    async def restart_backend(self, name: str) -> None:
        """A node's process dies and comes back cold."""
        node = self.backends[name]
        node.stop()
        self.discovery.change(name, health="Gone")
        self.checker.relay_notified(name, True, self.now_us())
        await anyio.sleep(0.5)
        node.draining, node.started_s = False, anyio.current_time()
        await self.tasks.start(node.run)
        self.checker.relay_notified(name, False, self.now_us())
        self.discovery.change(name, health="Ready", born_ms=int(time.time() * 1000))

    def undecided_overlaps(self) -> int:
        """Requests of which an overlap can be neither shown nor ruled out: the stand-ins were late."""
        return len(self.attempt_overlaps.undecided_overlaps)

    def violations(self) -> list[str]:
        """What was broken of the rules."""
        return self.checker.finish(self.now_us())

    async def count_first_lines(self) -> tuple[int, int]:
        """First lines that came in at the nodes, and that the relays have written whole: each counts its own,
        so a line that was sent twice, lost or made up shows.
        """
        counted = sum([await relay.counters() for relay in self.relays], Counter[str]())
        delivered = sum(sum(node.deliveries.values()) for node in self.backends.values())
        return delivered, counted["attempts_started"] - counted["attempts.connect_failed"]


@asynccontextmanager
async def _cancelled_at_end() -> Any:
    async with anyio.create_task_group() as tasks:
        try:
            yield tasks
        finally:
            tasks.cancel_scope.cancel()
