"""Samples how long processes were ready to run but had no processor, as the kernel counts it.

On a busy machine a relay may be late without a fault in the relay. The kernel counts the time that each
process waits in a run queue (/proc/PID/schedstat, second number, in nanoseconds). The judge allows for
exactly this time.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from gannetweir.lab.soak.records import RecordFile, RunQueueWait, now_us

SAMPLE_INTERVAL_S = 0.1  # also the accuracy of the times of a recorded wait
# Shorter waits in one interval don't make a relay late, and would fill the records.
MIN_RECORDED_WAIT_US = 1_000


def waited_us(pid: int) -> int:
    """Return how long a process has waited for a processor since its start; 0 if there is no such process."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) // 1000
    except (OSError, IndexError):
        return 0


class RunQueueSampler:
    """Records the waits of each process. The kernel counts a wait when it is over."""

    def __init__(self, records: RecordFile) -> None:
        self.records = records
        self.sampled_us = now_us()
        self.waited_us: dict[int, int] = {}  # by process id, up to the last sample

    def sample(self, processes: Iterable[tuple[str, int]]) -> None:
        """Record the waits since the last sample. `processes` are pairs of a name and a process id."""
        now = now_us()
        for name, pid in processes:
            total = waited_us(pid)
            waited = total - self.waited_us.get(pid, 0)
            self.waited_us[pid] = total
            if waited >= MIN_RECORDED_WAIT_US:
                # A wait that is longer than the interval began before the last sample.
                self.records.write(RunQueueWait(name, min(self.sampled_us, now - waited), now, waited))
        self.sampled_us = now
