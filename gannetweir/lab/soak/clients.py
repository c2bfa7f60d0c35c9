"""Stand-in clients behind a load balancer.

Run as: python -m gannetweir.lab.soak.clients NAME FOLDER SEED RATE CONNECTION_S DEADLINE_FACTOR

Requests start at random times that don't depend on the answers (open loop). Some clients write slowly,
disconnect early or send invalid data.
"""

from __future__ import annotations

import random
import sys
from typing import Any

import anyio
import anyio.abc

from gannetweir.lab.soak import stand_in
from gannetweir.lab.soak.plan import ANSWER_WAIT_AFTER_DEADLINE_S, CLASSES
from gannetweir.lab.soak.records import ClientObservation, RecordFile, now_us
from gannetweir.lab.soak.stand_in import Connection, ConnectionEndedError

LINE_INTERVAL_S = 0.5  # time between two lines of an established connection
MAX_RETRIES = 2  # per client whose request was rejected or failed, or whose connection was migrated or reset
RETRY_DELAYS_S = 0.0, 0.1, 0.3
INVALID_INPUT_PROBABILITY = 0.03  # share of clients that send data that violates the protocol
SLOW_WRITE_PROBABILITY = 0.1  # share of clients that write the first line in pieces
SLOW_PIECE_BYTES, SLOW_PIECE_S = 20, 0.004
EARLY_DISCONNECT_PROBABILITY = 0.08  # share of clients that disconnect before the answer
# Clients that stop waiting for an answer, and clients that were served, end their connection with a reset at
# these probabilities.
RESET_WITHOUT_ANSWER_PROBABILITY = 0.5
RESET_AFTER_SERVICE_PROBABILITY = 0.2
INVALID_INPUTS = (b"\xff\xfe\r\n", b"OPEN x\r\n", b"x" * 5000, b"PING", b"OPEN 1 2 c=none,d=1\r\n")


class Clients:
    """Generates requests, and chooses a relay for each as a load balancer does."""

    def __init__(
        self,
        name: str,
        seed: int,
        requests_per_s: float,
        connection_s: float,
        deadline_factor: float,
        records: RecordFile,
    ) -> None:
        self.name, self.records = name, records
        self.requests_per_s = requests_per_s
        self.connection_s = connection_s  # mean duration of an established connection
        self.deadline_factor = deadline_factor
        self.rng = random.Random(f"{seed} {name}")
        self.relay_ports: dict[int, int] = {}  # ports of the admitted relays
        self.idle_connections: list[Connection] = []
        self.request_count = 0
        self.is_stopped = False
        self.tasks: anyio.abc.TaskGroup

    async def handle_command(self, command: dict[str, Any]) -> None:
        """Admit or withdraw a relay, open or close idle connections, or stop starting requests."""
        if "admit" in command:
            self.relay_ports[command["admit"]] = command["port"]
        elif "withdraw" in command:
            self.relay_ports.pop(command["withdraw"], None)
        elif "crowd" in command:
            await self._open_idle_connections(command["port"], command["crowd"])
        elif "leave" in command:
            for connection in self.idle_connections:
                connection.close()
            self.idle_connections.clear()
        elif "stop" in command:
            self.is_stopped = True

    async def _open_idle_connections(self, port: int, count: int) -> None:
        for _ in range(count):
            try:
                self.idle_connections.append(await stand_in.connect(port, 0.5))
            except (OSError, TimeoutError):
                return

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start requests in an open loop until the command to stop."""
        self.tasks = tasks
        due_s = anyio.current_time()
        while not self.is_stopped:
            due_s += self.rng.expovariate(self.requests_per_s)
            await anyio.sleep_until(due_s)
            tasks.start_soon(self._run_client, 0)

    async def _run_client(self, retry_count: int) -> None:
        if not self.relay_ports:
            return
        relay = self.rng.choice(sorted(self.relay_ports))
        try:
            connection = await stand_in.connect(self.relay_ports[relay], 1.0)
        except (OSError, TimeoutError):
            return
        try:
            if self.rng.random() < INVALID_INPUT_PROBABILITY:
                await connection.write(self.rng.choice(INVALID_INPUTS))
                with anyio.move_on_after(3.0):
                    while True:
                        await connection.read()
            else:
                await self._send_request(connection, relay, retry_count)
        except ConnectionEndedError:
            pass
        finally:
            connection.close()

    async def _send_request(self, connection: Connection, relay: int, retry_count: int) -> None:
        request_class = self.rng.choices(CLASSES, [c.weight for c in CLASSES])[0]
        self.request_count += 1
        request_id = f"{self.rng.getrandbits(32):08x}{self.request_count:08x}"
        group = self.rng.randrange(1, 40) * 0x9E3779B97F4A7C15 & (1 << 64) - 1
        retry_field = ",r=1" if retry_count else ""
        deadline_ms = int(self.deadline_factor * request_class.deadline_ms)
        key = self.rng.getrandbits(64)
        line = f"OPEN {request_id} {key:x} c={request_class.name},d={deadline_ms},g={group:x}{retry_field}"
        observation = ClientObservation(request_id, relay, request_class.name, line)
        try:
            await self._await_answer(connection, observation, deadline_ms)
        except ConnectionEndedError as end:
            observation.end, observation.ended_us = ("reset" if end.reset else "eof"), now_us()
        finally:
            if not (observation.answer or observation.end or observation.left_us):
                observation.gave_up_us = now_us()
                observation.unheard = observation.unheard or connection.has_unacknowledged_data()
            if observation.sent_us:
                self.records.write(observation)
        will_retry = observation.moved or observation.answer in ("BUSY", "ERR") or observation.end == "reset"
        if will_retry and retry_count < MAX_RETRIES:
            await anyio.sleep(self.rng.choice(RETRY_DELAYS_S))
            self.tasks.start_soon(self._run_client, retry_count + 1)

    async def _await_answer(
        self, connection: Connection, observation: ClientObservation, deadline_ms: int
    ) -> None:
        first_line = observation.line.encode() + b"\r\n"
        if self.rng.random() < SLOW_WRITE_PROBABILITY:
            for start in range(0, len(first_line), SLOW_PIECE_BYTES):
                await connection.write(first_line[start : start + SLOW_PIECE_BYTES])
                await anyio.sleep(SLOW_PIECE_S)
        else:
            await connection.write(first_line)
        observation.sent_us = now_us()
        observation.deadline_us = observation.sent_us + deadline_ms * 1000
        wait_s = deadline_ms / 1000 + ANSWER_WAIT_AFTER_DEADLINE_S
        if disconnects_early := self.rng.random() < EARLY_DISCONNECT_PROBABILITY:
            wait_s = self.rng.choice((0.0, 0.003, 0.02, self.rng.uniform(0, deadline_ms / 1000)))
        with anyio.move_on_after(wait_s):
            words = (await connection.read_line()).decode("latin1").split()
            observation.answer, observation.answered_us = (words or ["?"])[0], now_us()
            observation.receipt = words[1] if observation.answer == "UP" and len(words) > 1 else ""
        if not observation.answer:
            observation.unheard = connection.has_unacknowledged_data()
            connection.close(reset=self.rng.random() < RESET_WITHOUT_ANSWER_PROBABILITY)
            if disconnects_early:
                # Taken after the close: the relay can't have noticed the disconnect earlier.
                observation.left_us = now_us()
            return
        if observation.answer == "UP":
            await self._exchange_lines(connection, observation)
        else:
            with anyio.move_on_after(2.0):  # the relay closes the connection
                await connection.read()

    async def _exchange_lines(self, connection: Connection, observation: ClientObservation) -> None:
        ends_at_s = anyio.current_time() + self.rng.expovariate(1 / self.connection_s)
        count = 0
        while anyio.current_time() < ends_at_s and not observation.moved:
            count += 1
            line = b"tick %d\r\n" % count
            written_us = now_us()
            await connection.write(line)
            echo = await connection.read_line()
            delay_us = now_us() - written_us
            if echo.strip() == b"MOVE":
                observation.moved = True
                continue
            if delay_us > observation.echo_us:
                observation.echo_us, observation.echo_at_us = delay_us, written_us
            observation.echo_wrong |= echo != line
            observation.moved = await self._wait_for_move(
                connection, min(ends_at_s, anyio.current_time() + LINE_INTERVAL_S)
            )
        if observation.moved:
            with anyio.move_on_after(2.0):
                await connection.read()
            return
        connection.close(reset=self.rng.random() < RESET_AFTER_SERVICE_PROBABILITY)
        observation.left_us = now_us()

    @staticmethod
    async def _wait_for_move(connection: Connection, until_s: float) -> bool:
        """Wait until a given time, or for a line. Returns whether the line is MOVE."""
        with anyio.CancelScope(deadline=until_s):
            return (await connection.read_line()).strip() == b"MOVE"
        return False


def main(
    name: str, folder: str, seed: str, requests_per_s: str, connection_s: str, deadline_factor: str
) -> None:
    """Run the clients until standard input ends."""

    async def run(records: RecordFile, tasks: anyio.abc.TaskGroup) -> None:
        clients = Clients(
            name, int(seed), float(requests_per_s), float(connection_s), float(deadline_factor), records
        )
        stand_in.report_started(ready=True)
        tasks.start_soon(clients.run, tasks)
        await stand_in.serve_commands(clients.handle_command)

    stand_in.run_process(name, folder, run)


if __name__ == "__main__":
    main(*sys.argv[1:])
