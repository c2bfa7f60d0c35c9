"""The clients of an emulated fleet, on real sockets. They report their observations to the rule checker.

The load is open-loop: arrival times are drawn ahead and don't wait for answers. The duration of a request is
measured from the time at which it was due.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import anyio
import anyio.abc

from gannetweir.lab.emulator.plan import CLASSES
from gannetweir.lab.emulator.relay_process import RelayProcess
from gannetweir.lab.model.checker import RuleChecker

DEATH_DETECTION_S = 2.5  # the time for which a load balancer still chooses a dead relay
# Clients wait this long after the time budget. The checker then reports a missing answer.
ANSWER_GRACE_S = 1.0
MIN_RETURN_MS, MAX_RETURN_MS = 140, 1000  # a client's wait where the relay gave no Retry-After
RETRYABLE_ANSWERS = "busy", "err", "broken", "moved", "cut"  # answers after which a client may return
GROUP_STEP = 0x9E3779B97F4A7C15  # spreads small group numbers over 64 bits
GROUP_MASK = (1 << 64) - 1
READ_BYTES = 4096


@dataclass(frozen=True, slots=True)
class AnsweredRequest:
    """An answered request, recorded for the experiment's figures."""

    due_s: float  # since the fleet was ready
    request_class: str
    answer: str
    duration_s: float  # the time between the request's due time and its answer


@dataclass(frozen=True, slots=True)
class ClientPlan:
    """A client's request class, group and retries, and how long the client stays connected."""

    class_number: int = 0
    duration_s: float = 0.0
    group: int = 1
    retries: int = 0
    line_interval_s: float = 2.0  # interval of the lines that a served client sends


class EmulatedClients:
    """Owns the clients' answers and the counts of open connections. Each client runs in its caller's task."""

    def __init__(
        self,
        seed: int,
        rng: random.Random,
        checker: RuleChecker,
        now_us: Callable[[], int],
        relays: Sequence[RelayProcess],
    ) -> None:
        self.seed = seed
        self.rng = rng
        self.checker = checker
        self.now_us = now_us
        self.relays = relays
        self.started_s = 0.0  # set once the fleet is ready
        self.request_count = 0
        self.answered: list[AnsweredRequest] = []
        self.counts: Counter[str] = Counter()  # by answer or kind of connection end
        self.open_connections: Counter[str] = Counter()  # established connections by backend

    def choose_relay(self) -> RelayProcess:
        """Choose a relay as a load balancer would: one that died recently may still be chosen."""
        now = anyio.current_time()
        candidates = [
            relay
            for relay in self.relays
            if relay.dead_since_s < 0 or now - relay.dead_since_s < DEATH_DETECTION_S
        ]
        return self.rng.choice(candidates or self.relays)

    async def request(
        self,
        client: ClientPlan,
        due_s: float = -1.0,
        relay: RelayProcess | None = None,
        retries_made: int = 0,
    ) -> str:
        """Run a client from its first line to its end, with its retries. Returns its last answer."""
        answer, retry_after_ms = await self._request_once(client, due_s, relay, retries_made)
        if answer in ("moved", "cut", "broken"):
            self.counts[answer] += 1
        if answer in RETRYABLE_ANSWERS and client.retries > retries_made:
            wait_ms = retry_after_ms or self.rng.uniform(MIN_RETURN_MS, MAX_RETURN_MS)
            await anyio.sleep(wait_ms / 1000)
            return await self.request(client, retries_made=retries_made + 1)
        return answer

    async def _request_once(
        self, client: ClientPlan, due_s: float, relay: RelayProcess | None, retries_made: int
    ) -> tuple[str, float]:
        """Make one connection. Returns its answer, and the Retry-After of a rejection in milliseconds."""
        self.request_count += 1
        number = self.request_count
        due = anyio.current_time() if due_s < 0 else due_s
        request_class = CLASSES[client.class_number]
        line = self._first_line(client, number, retries_made)
        answer, retry_after_ms = "", 0.0
        try:
            async with await anyio.connect_tcp("127.0.0.1", (relay or self.choose_relay()).port) as stream:
                budget_us = request_class.time_budget_ms * 1000
                self.checker.request_sent(
                    number, request_class.name, budget_us, not retries_made, self.now_us()
                )
                fields = [""]
                with anyio.move_on_after(request_class.time_budget_ms / 1000 + ANSWER_GRACE_S):
                    await stream.send(line)
                    fields = [*(await stream.receive(READ_BYTES)).decode("ascii", "replace").split(), ""]
                    answer = {"UP": "up", "BUSY": "busy"}.get(fields[0], "err")
                    self._record_answer(number, request_class.name, answer, due)
                if answer == "busy":
                    retry_after_ms = float(fields[1] or 0.0)
                if answer == "up":
                    answer = await self._use_connection(stream, fields[1].rpartition("-")[0], client)
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            if number in self.checker.traces:
                self.checker.client_disconnected(number)  # no answer is expected from a dead relay
            answer = "broken"
        return answer, retry_after_ms

    def _first_line(self, client: ClientPlan, number: int, retries_made: int) -> bytes:
        request_class = CLASSES[client.class_number]
        key = self.rng.getrandbits(64)
        options = f"c={request_class.name},d={request_class.time_budget_ms},g={client.group:x}"
        retry_mark = ",r=1" if retries_made else ""
        return f"OPEN {number:x} {key:x} {options}{retry_mark}\r\n".encode()

    def _record_answer(self, number: int, request_class: str, answer: str, due: float) -> None:
        self.checker.answer_received(number, answer, self.now_us())
        duration_s = anyio.current_time() - due
        self.answered.append(AnsweredRequest(due - self.started_s, request_class, answer, duration_s))
        self.counts[answer] += 1

    async def _use_connection(self, stream: anyio.abc.ByteStream, backend: str, client: ClientPlan) -> str:
        """Stay connected for the client's duration and send a line at each interval. Returns `up` at the end
        of the duration, `moved` after an earlier MOVE, or `cut` if the connection ended without MOVE.
        """
        self.open_connections[backend] += 1
        try:
            with anyio.move_on_after(client.duration_s):
                while True:
                    with anyio.move_on_after(client.line_interval_s):
                        if b"MOVE" in await stream.receive(READ_BYTES):
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
        """Let clients arrive for this many seconds. Returns once all of them have ended. `progress` is called
        at each arrival with the share of the time that has passed.
        """
        rng = random.Random(f"{self.seed} arrivals")
        async with anyio.create_task_group() as tasks:
            start = anyio.current_time()
            due = start
            while (due := due + rng.expovariate(arrivals_per_s)) < start + seconds:
                await anyio.sleep_until(due)
                class_number = rng.choices(range(len(CLASSES)), [one.arrival_share for one in CLASSES])[0]
                duration_s = rng.expovariate(1 / mean_duration_s)
                group = rng.randrange(1, groups + 1) * GROUP_STEP & GROUP_MASK
                tasks.start_soon(self.request, ClientPlan(class_number, duration_s, group, retries), due)
                progress((due - start) / seconds)

    async def request_many(self, count: int, concurrency: int) -> Counter[str]:
        """Make requests, `concurrency` at a time, whose clients disconnect as soon as they are served.

        Returns the count of each answer.
        """
        answers: Counter[str] = Counter()
        pending = iter(range(count))

        async def request_next() -> None:
            for _ in pending:
                answers[await self.request(ClientPlan(group=self.rng.randrange(1, 200)))] += 1

        async with anyio.create_task_group() as tasks:
            for _ in range(concurrency):
                tasks.start_soon(request_next)
        return answers
