"""How long processes were ready to run and had no processor, by the kernel's own count.

On a busy machine a relay may be late through no doing of its own. The kernel counts that time for each
process (/proc/PID/schedstat, second number, in nanoseconds), so the judge allows it and nothing more.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from gannetweir.lab.soak.records import RecordFile, RunQueueWait, now_us

SAMPLE_INTERVAL_S = 0.1  # how far a wait may stand from its place in the records
MIN_RECORDED_WAIT_US = (
    1_000  # in one interval; shorter ones are no cause of lateness, and would fill the records
)


def waited_us(pid: int) -> int:
    """The time that a process has waited for a processor since its start; 0 if there is no such process."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) // 1000
    except (OSError, IndexError):
        return 0


class RunQueueSampler:
    """Writes down each process's waits. A wait is counted by the kernel when it is over."""

    def __init__(self, records: RecordFile) -> None:
        self.records = records
        self.sampled_us = now_us()
        self.waited_us: dict[int, int] = {}  # by process id, up to the last sample

    def sample(self, processes: Iterable[tuple[str, int]]) -> None:
        """Write down the waits since the last sample, of processes given by name and id."""
        now = now_us()
        for name, pid in processes:
            total = waited_us(pid)
            waited = total - self.waited_us.get(pid, 0)
            self.waited_us[pid] = total
            if waited >= MIN_RECORDED_WAIT_US:
                # one that is longer than the interval began before it
                self.records.write(RunQueueWait(name, min(self.sampled_us, now - waited), now, waited))
        self.sampled_us = now
