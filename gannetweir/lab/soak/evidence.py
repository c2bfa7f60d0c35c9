"""The records of a run, indexed for the rules, and the accuracy of their times.

The stand-ins are ordinary processes on a busy machine: the data that they read may have arrived earlier, and
a relay may be late because it had no processor. So a rule counts as broken only if no measured delay explains
the observation.
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

PROTOCOL_TOLERANCE_US = 50_000  # tolerance of the protocol on every time limit
# A stand-in may record a time this much late, in addition to the tolerance: two iterations of its event loop.
OBSERVATION_SLACK_US = 60_000
# A loop delay that was recorded up to this long before a span may reach into the span.
LOOP_DELAY_BEFORE_US = 50_000
# A loop delay that was recorded up to this long after a span may have begun within the span.
LOOP_DELAY_AFTER_US = 500_000
# All peers have noticed the end of a process after this time.
EXIT_NOTICE_US = 500_000
NEVER_US = 1 << 62
# Kind of a FaultSpan: the failing calls of one relay reset its connections to backends.
BROKEN_CONNECTIONS = "broken_at"

RecordType = TypeVar("RecordType")


class Evidence:
    """The records and logs of one run; read-only. `logs` holds the lines that each relay logged."""

    def __init__(self, records: Sequence[Record], plan: SoakPlan, logs: dict[int, list[str]]) -> None:
        self.records, self.plan, self.logs = records, plan, logs
        self.clients = {client.request: client for client in self.of_type(ClientObservation)}
        self.lifetimes = self.of_type(ProcessLifetime)
        self.faults = self.of_type(FaultSpan)
        self.loop_delays = sorted(self.of_type(LoopDelay), key=lambda delay: delay.at_us)
        self.loop_delay_times = [delay.at_us for delay in self.loop_delays]
        self.attempts: dict[str, list[AttemptObservation]] = defaultdict(list)  # by request, ordered by time
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
        """Return the records of one type."""
        return [record for record in self.records if isinstance(record, record_type)]

    def attempts_by_relay(self) -> Iterable[tuple[int, AttemptObservation]]:
        """Yield every attempt with the number of the relay that made it."""
        for request, attempts in self.attempts.items():
            relay = self.clients[request].relay
            for attempt in attempts:
                yield relay, attempt

    # Delays that the machine or the stand-ins caused.

    def observation_slack_us(self, from_us: int, to_us: int) -> int:
        """Return how late, at most, a stand-in may have recorded an event of this span."""
        return OBSERVATION_SLACK_US + self.loop_delay_us(from_us, to_us)

    def loop_delay_us(self, from_us: int, to_us: int, prefix: str = "") -> int:
        """Return the longest loop delay around this span of the stand-ins whose names start with `prefix`."""
        begin = bisect_left(self.loop_delay_times, from_us - LOOP_DELAY_BEFORE_US)
        end = bisect_left(self.loop_delay_times, to_us + LOOP_DELAY_AFTER_US)
        delays = self.loop_delays[begin:end]
        return max((delay.late_us for delay in delays if delay.process.startswith(prefix)), default=0)

    def run_queue_wait_us(self, from_us: int, to_us: int, *processes: str) -> int:
        """Return for how long, in this span, these processes were ready to run but had no processor: the sum
        over the processes.
        """
        total_us = 0
        for process in processes:
            for wait in self.run_queue_waits[process]:
                overlap_us = min(to_us, wait.to_us) - max(from_us, wait.from_us)
                total_us += max(0, min(overlap_us, wait.waited_us))
        return total_us

    def relay_wait_us(self, relay: int, from_us: int, to_us: int) -> int:
        """Return for how long, in this span, a relay was ready to run but had no processor."""
        return self.run_queue_wait_us(from_us, to_us, relay_name(relay))

    def proxy_of(self, backend: str) -> str:
        """Return the proxy of a backend; empty if an UP named a backend that does not exist."""
        number = backend.removeprefix("b")
        return proxy_name(int(number) % self.plan.proxies) if number.isdecimal() else ""

    # Faults that were injected into relays and backends.

    def was_relay_killed(self, relay: int, from_us: int, to_us: int) -> bool:
        """Return whether a process of this relay ended other than by SIGTERM in this span."""
        return any(
            lifetime.relay == relay
            and lifetime.how != "term"
            and from_us <= lifetime.ended_us <= to_us + EXIT_NOTICE_US
            for lifetime in self.lifetimes
        )

    def were_connections_broken(self, relay: int, at_us: int) -> bool:
        """Return whether failing calls were resetting this relay's connections to backends at this time."""
        return any(
            span.kind == BROKEN_CONNECTIONS
            and span.target == relay_name(relay)
            and span.from_us <= at_us < span.to_us + OBSERVATION_SLACK_US
            for span in self.faults
        )

    def had_fault(self, target: str, from_us: int, to_us: int) -> bool:
        """Return whether a fault was injected into the target in this span."""
        return any(
            span.target == target and span.from_us < to_us and from_us < span.to_us for span in self.faults
        )

    def was_ever_restarted(self, backend: str) -> bool:
        """Return whether the backend's process was ended during this run, so that its last records may be
        missing.
        """
        kinds = FaultKind.BACKEND_CRASHES, FaultKind.BACKEND_DRAINS
        return any(span.target == backend and span.kind in kinds for span in self.faults)


def relay_name(relay: int) -> str:
    """Return the name of a relay in the records."""
    return f"n{relay}"
