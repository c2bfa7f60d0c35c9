"""The load of one server of a skeleton fleet: processor time, memory and bytes, mean and maximum."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import pairwise

import anyio

from gannetweir.lab.scale.child import Usage
from gannetweir.lab.scale.distribution import ServedTotals

SAMPLE_INTERVAL_S = 1.0
SECOND_NS = 1_000_000_000


@dataclass(slots=True)
class Sample:
    """The usage of every server at one moment (CLOCK_MONOTONIC)."""

    at_ns: int
    servers: list[Usage]


@dataclass(slots=True)
class Sampler:
    """Samples the usage of the servers every `SAMPLE_INTERVAL_S`."""

    usage: Callable[[], list[Usage]]
    samples: list[Sample] = field(default_factory=list)

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self.samples.append(Sample(time.monotonic_ns(), self.usage()))
            await anyio.sleep(SAMPLE_INTERVAL_S)


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """The load of one server: each maximum is that of any server, `kb_s` is the mean over all servers."""

    cpu_max: float  # share of a core between two samples
    mb_max: float  # resident memory
    kb_s: float  # kilobytes sent per second
    kb_max: float  # kilobytes sent in one second; 0 if no server counts bytes by second


def _cpu_max(samples: Sequence[Sample]) -> float:
    maximum = 0.0
    for before, after in pairwise(samples):
        for earlier, later in zip(before.servers, after.servers, strict=False):
            # For a process that was started between the samples, all its time belongs to this interval.
            used_ns = later.cpu_ns - earlier.cpu_ns if later.cpu_ns >= earlier.cpu_ns else later.cpu_ns
            maximum = max(maximum, used_ns / (after.at_ns - before.at_ns))
    return maximum


def server_load(
    samples: Sequence[Sample], before: ServedTotals, after: ServedTotals, span_ns: tuple[int, int]
) -> ServerLoad:
    """Return the load in a phase, from its samples and the totals sent at its beginning and its end."""
    begin_ns, end_ns = span_ns
    sent = sum(after.sent.values()) - sum(before.sent.values())
    count = max(1, max((len(sample.servers) for sample in samples), default=1))
    seconds = range(begin_ns // SECOND_NS, end_ns // SECOND_NS + 1)
    by_second = [counts[second] for counts in after.by_second.values() for second in seconds]
    sizes = [server.rss_bytes for sample in samples for server in sample.servers]
    return ServerLoad(
        _cpu_max(samples),
        max(sizes, default=0) / 1e6,
        sent / 1000 / count / ((end_ns - begin_ns) / 1e9),
        max(by_second, default=0) / 1000,
    )
