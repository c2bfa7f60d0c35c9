"""Clients behind a front: python -m gannetweir.lab.soak.clients NAME FOLDER SEED RATE LIFE_S PATIENCE

Requests come at times drawn ahead (open loop). Some clients write slowly, leave early, or speak nonsense.
"""

from __future__ import annotations

import random
import sys
from typing import Any

import anyio
import anyio.abc

from gannetweir.lab.soak import stand_in
from gannetweir.lab.soak.plan import ANSWER_WAIT_S, CLASSES
from gannetweir.lab.soak.records import ClientObservation, RecordFile, now_us
from gannetweir.lab.soak.stand_in import Connection, ConnectionEndedError

LINE_INTERVAL_S = 0.5
NONSENSE = (b"\xff\xfe\r\n", b"OPEN x\r\n", b"x" * 5000, b"PING", b"OPEN 1 2 c=none,d=1\r\n")


class Clients:
    """Draws requests, and the front's choice of a relay for each."""

    def __init__(
        self, name: str, seed: int, per_s: float, life_s: float, patience: float, records: RecordFile
    ) -> None:
        self.name, self.per_s, self.connection_s, self.records = name, per_s, life_s, records
        self.deadline_factor = patience
        self.rng = random.Random(f"{seed} {name}")
        self.ports: dict[int, int] = {}  # relays that the front sends to
        self.idle: list[Connection] = []
        self.count = 0
        self.stopped = False
        self.tasks: anyio.abc.TaskGroup

    async def handle_command(self, command: dict[str, Any]) -> None:
        """Admit or withdraw a relay, open idle connections to one, or begin no more requests."""
        if "admit" in command:
            self.ports[command["admit"]] = command["port"]
        elif "withdraw" in command:
            self.ports.pop(command["withdraw"], None)
        elif "crowd" in command:
            await self._open_idle_connections(command["port"], command["crowd"])
        elif "leave" in command:
            for connection in self.idle:
                connection.close()
            self.idle.clear()
        elif "stop" in command:
            self.stopped = True

    async def _open_idle_connections(self, port: int, count: int) -> None:
        for _ in range(count):
            try:
                self.idle.append(await stand_in.connect(port, 0.5))
            except (OSError, TimeoutError):
                return

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Open-loop arrivals until told to stop."""
        self.tasks = tasks
        due = anyio.current_time()
        while not self.stopped:
            due += self.rng.expovariate(self.per_s)
            await anyio.sleep_until(due)
            tasks.start_soon(self._run_client, 0)

    async def _run_client(self, tries: int) -> None:
        if not self.ports:
            return
        relay = self.rng.choice(sorted(self.ports))
        try:
            connection = await stand_in.connect(self.ports[relay], 1.0)
        except (OSError, TimeoutError):
            return
        try:
            if self.rng.random() < 0.03:
                await connection.write(self.rng.choice(NONSENSE))
                with anyio.move_on_after(3.0):
                    while True:
                        await connection.read()
            else:
                await self._request(connection, relay, tries)
        except ConnectionEndedError:
            pass
        finally:
            connection.close()

    async def _request(self, connection: Connection, relay: int, tries: int) -> None:
        effect = self.rng.choices(CLASSES, [c.weight for c in CLASSES])[0]
        self.count += 1
        ident = f"{self.rng.getrandbits(32):08x}{self.count:08x}"
        group = self.rng.randrange(1, 40) * 0x9E3779B97F4A7C15 & (1 << 64) - 1
        mark = ",r=1" if tries else ""
        wait_ms = int(self.deadline_factor * effect.deadline_ms)
        key = self.rng.getrandbits(64)
        line = f"OPEN {ident} {key:x} c={effect.name},d={wait_ms},g={group:x}{mark}"
        saw = ClientObservation(ident, relay, effect.name, line)
        try:
            await self._await_answer(connection, saw, wait_ms)
        except ConnectionEndedError as end:
            saw.end, saw.ended_us = ("reset" if end.reset else "eof"), now_us()
        finally:
            if not (saw.answer or saw.end or saw.left_us):
                saw.gave_up_us, saw.unheard = now_us(), saw.unheard or connection.is_unheard()
            if saw.sent_us:
                self.records.write(saw)
        if tries < 2 and (saw.moved or saw.answer in ("BUSY", "ERR") or saw.end == "reset"):
            await anyio.sleep(self.rng.choice((0.0, 0.1, 0.3)))
            self.tasks.start_soon(self._run_client, tries + 1)

    async def _await_answer(self, connection: Connection, saw: ClientObservation, wait_ms: int) -> None:
        raw = saw.line.encode() + b"\r\n"
        if self.rng.random() < 0.1:  # one that writes slowly
            for at in range(0, len(raw), 20):
                await connection.write(raw[at : at + 20])
                await anyio.sleep(0.004)
        else:
            await connection.write(raw)
        saw.sent_us = now_us()
        saw.deadline_us = saw.sent_us + wait_ms * 1000
        patience = wait_ms / 1000 + ANSWER_WAIT_S
        if leaves := self.rng.random() < 0.08:
            patience = self.rng.choice((0.0, 0.003, 0.02, self.rng.uniform(0, wait_ms / 1000)))
        with anyio.move_on_after(patience):
            words = (await connection.read_line()).decode("latin1").split()
            saw.answer, saw.answered_us = (words or ["?"])[0], now_us()
            saw.receipt = words[1] if saw.answer == "UP" and len(words) > 1 else ""
        if not saw.answer:
            saw.unheard = connection.is_unheard()
            connection.close(reset=self.rng.random() < 0.5)
            saw.left_us = now_us() if leaves else 0  # after it: the relay can't have known before
            return
        if saw.answer == "UP":
            await self._exchange_lines(connection, saw)
        else:
            with anyio.move_on_after(2.0):  # until the relay ends it
                await connection.read()

    async def _exchange_lines(self, connection: Connection, saw: ClientObservation) -> None:
        leave_at = anyio.current_time() + self.rng.expovariate(1 / self.connection_s)
        count = 0
        while anyio.current_time() < leave_at and not saw.moved:
            count += 1
            text = b"tick %d\r\n" % count
            asked = now_us()
            await connection.write(text)
            back = await connection.read_line()
            took = now_us() - asked
            if back.strip() == b"MOVE":
                saw.moved = True
                continue
            if took > saw.echo_us:
                saw.echo_us, saw.echo_at_us = took, asked
            saw.echo_wrong |= back != text
            saw.moved = await self._wait_for_move(
                connection, min(leave_at, anyio.current_time() + LINE_INTERVAL_S)
            )
        if saw.moved:
            with anyio.move_on_after(2.0):
                await connection.read()
            return
        connection.close(reset=self.rng.random() < 0.2)
        saw.left_us = now_us()

    @staticmethod
    async def _wait_for_move(connection: Connection, until: float) -> bool:
        """Rest until then; was it told to move?"""
        with anyio.CancelScope(deadline=until):
            return (await connection.read_line()).strip() == b"MOVE"
        return False


def main(name: str, folder: str, seed: str, per_s: str, life_s: str, patience: str) -> None:
    """Run until standard input ends."""

    async def run(records: RecordFile, tasks: anyio.abc.TaskGroup) -> None:
        clients = Clients(name, int(seed), float(per_s), float(life_s), float(patience), records)
        stand_in.report_started(ready=True)
        tasks.start_soon(clients.run, tasks)
        await stand_in.serve_commands(clients.handle_command)

    stand_in.run_process(name, folder, run)


if __name__ == "__main__":
    main(*sys.argv[1:])
