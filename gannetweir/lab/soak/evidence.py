"""The records of a run, by what the rules ask of them, and how exact they are.

The stand-ins are ordinary processes on a busy machine: what they read may have come earlier, and a relay may
be late because it had no processor. So a rule counts as broken only where no measured delay explains it.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import TypeVar

from gannetweir.lab.soak.plan import FaultKind, SoakPlan, proxy_name
from gannetweir.lab.soak.records import (
    AttemptObservation,
    BackendObservation,
    ClientObservation,
    FaultSpan,
    LoopDelay,
    ProcessLifetime,
    Record,
    RunQueueWait,
)

PROTOCOL_TOLERANCE_US = 50_000  # that the protocol gives every limit of time
OBSERVATION_SLACK_US = 60_000  # beyond it, for what stand-ins note: two turns of their loops
LOOP_DELAY_BEFORE_US = 50_000  # a delay that was noted so long before may reach into a span,
LOOP_DELAY_AFTER_US = 500_000  # and one that was noted so long after it may have begun in it
EXIT_NOTICE_US = 500_000  # the death of a process has been noticed by everyone by then
NEVER_US = 1 << 62
BROKEN_CONNECTIONS = "broken_at"  # a span in which the kernel of one relay broke its connections to backends

RecordType = TypeVar("RecordType")


class Evidence:
    """What one run left behind; read-only. `logs` are the lines that each relay wrote."""

    def __init__(self, records: Sequence[Record], plan: SoakPlan, logs: dict[int, list[str]]) -> None:
        self.records, self.plan, self.logs = records, plan, logs
        self.clients = {client.request: client for client in self.of_type(ClientObservation)}
        self.lifetimes = self.of_type(ProcessLifetime)
        self.faults = self.of_type(FaultSpan)
        self.loop_delays = sorted(self.of_type(LoopDelay), key=lambda delay: delay.at_us)
        self.loop_delay_times = [delay.at_us for delay in self.loop_delays]
        self.attempts: dict[str, list[AttemptObservation]] = defaultdict(list)  # by request, in their order
        for attempt in sorted(self.of_type(AttemptObservation), key=lambda attempt: attempt.first_us):
            if attempt.request in self.clients:
                self.attempts[attempt.request].append(attempt)
        self.backend_observations: dict[tuple[str, str], list[BackendObservation]] = defaultdict(list)
        for observation in self.of_type(BackendObservation):
            self.backend_observations[observation.request, observation.backend].append(observation)
        self.run_queue_waits: dict[str, list[RunQueueWait]] = defaultdict(list)  # by process
        for wait in self.of_type(RunQueueWait):
            self.run_queue_waits[wait.process].append(wait)

    def of_type(self, record_type: type[RecordType]) -> list[RecordType]:
        """The records of one type."""
        return [record for record in self.records if isinstance(record, record_type)]

    def attempts_by_relay(self) -> Iterable[tuple[int, AttemptObservation]]:
        """Every attempt, with the relay that made it."""
        for request, attempts in self.attempts.items():
            relay = self.clients[request].relay
            for attempt in attempts:
                yield relay, attempt

    # What the machine and the stand-ins had to do with a delay.

    def observation_slack_us(self, from_us: int, to_us: int) -> int:
        """How late a stand-in may have seen what it noted in this time."""
        return OBSERVATION_SLACK_US + self.loop_delay_us(from_us, to_us)

    def loop_delay_us(self, from_us: int, to_us: int, prefix: str = "") -> int:
        """The most that the loop of a stand-in was delayed, of those whose names begin with `prefix`."""
        begin = bisect_left(self.loop_delay_times, from_us - LOOP_DELAY_BEFORE_US)
        end = bisect_left(self.loop_delay_times, to_us + LOOP_DELAY_AFTER_US)
        delays = self.loop_delays[begin:end]
        return max((delay.late_us for delay in delays if delay.process.startswith(prefix)), default=0)

    def run_queue_wait_us(self, from_us: int, to_us: int, *processes: str) -> int:
        """How long, in this time, these processes were ready to run and had no processor."""
        total_us = 0
        for process in processes:
            for wait in self.run_queue_waits[process]:
                overlap_us = min(to_us, wait.to_us) - max(from_us, wait.from_us)
                total_us += max(0, min(overlap_us, wait.waited_us))
        return total_us

    def relay_wait_us(self, relay: int, from_us: int, to_us: int) -> int:
        """The same of one relay."""
        return self.run_queue_wait_us(from_us, to_us, relay_name(relay))

    def proxy_of(self, backend: str) -> str:
        """The proxy between the relays and a backend; empty for a backend that a relay has made up."""
        number = backend.removeprefix("b")
        return proxy_name(int(number) % self.plan.proxies) if number.isdecimal() else ""

    # What was done to relays and backends.

    def was_relay_killed(self, relay: int, from_us: int, to_us: int) -> bool:
        """Say whether this relay died by force in that time."""
        return any(
            lifetime.relay == relay
            and lifetime.how != "term"
            and from_us <= lifetime.ended_us <= to_us + EXIT_NOTICE_US
            for lifetime in self.lifetimes
        )

    def were_connections_broken(self, relay: int, at_us: int) -> bool:
        """Say whether the kernel broke connections of this relay to backends then."""
        return any(
            span.kind == BROKEN_CONNECTIONS
            and span.target == relay_name(relay)
            and span.from_us <= at_us < span.to_us + OBSERVATION_SLACK_US
            for span in self.faults
        )

    def had_fault(self, target: str, from_us: int, to_us: int) -> bool:
        """Say whether anything was done to it in that time."""
        return any(
            span.target == target and span.from_us < to_us and from_us < span.to_us for span in self.faults
        )

    def was_ever_restarted(self, backend: str) -> bool:
        """Say whether its process was ended in this run, so that its last records may be missing."""
        kinds = FaultKind.BACKEND_CRASHES, FaultKind.BACKEND_DRAINS
        return any(span.target == backend and span.kind in kinds for span in self.faults)


def relay_name(relay: int) -> str:
    """The name that the records have for a relay."""
    return f"n{relay}"
