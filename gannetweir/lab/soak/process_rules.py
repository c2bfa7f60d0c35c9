"""Rules for relay processes: ready in time, exit in time, no crash, descriptors within the limit, and no
internal fault in the logs.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

import orjson

from gannetweir.lab.soak.evidence import Evidence
from gannetweir.lab.soak.findings import Finding, SoakRule

START_LIMIT_US = 10_000_000  # time from the start of a process to its first PONG
MAX_SHOWN_LOG_LINES = 5  # log lines per relay
MAX_SHOWN_LINE_LENGTH = 300
FAULT_COUNTERS = "driver_faults", "placement_faults", "violations"
FAULT_TEXTS = "invariant violated", "a driver failed", "placement failed on", "Traceback"


def judge_lifetimes(evidence: Evidence) -> Iterator[Finding]:
    """Find CRASH, START, EXIT and DESCRIPTORS among the relay processes."""
    for lifetime in evidence.lifetimes:
        relay, ended_us = lifetime.relay, lifetime.ended_us
        if lifetime.how in ("crash", "term") and lifetime.code != 0:
            detail = f"exit code {lifetime.code} after {lifetime.how}"
            yield Finding(SoakRule.CRASH, relay, ended_us, detail)
        if lifetime.how == "crash" and lifetime.code == 0:
            yield Finding(SoakRule.CRASH, relay, ended_us, "exited with code 0 without SIGTERM")
        wait_us = evidence.relay_wait_us(relay, lifetime.started_us, lifetime.ready_us)
        is_late = lifetime.ready_us - lifetime.started_us > START_LIMIT_US + wait_us
        if lifetime.how == "no start" or is_late:
            yield Finding(SoakRule.START, relay, lifetime.started_us, f"{lifetime.how}: not ready in time")
        if lifetime.how == "late":
            took_ms = (ended_us - lifetime.asked_to_end_us) // 1000
            yield Finding(SoakRule.EXIT, relay, ended_us, f"still running {took_ms} ms after SIGTERM")
        if lifetime.descriptors > evidence.plan.sockets:
            detail = f"{lifetime.descriptors} descriptors open, limit {evidence.plan.sockets}"
            yield Finding(SoakRule.DESCRIPTORS, relay, ended_us, detail)


def judge_logs(evidence: Evidence) -> Iterator[Finding]:
    """Find INVARIANT: violations and other internal faults that a relay logged or counted."""
    for relay, lines in evidence.logs.items():
        reported = [line for line in lines if any(text in line for text in FAULT_TEXTS)]
        for line in reported[:MAX_SHOWN_LOG_LINES]:
            yield Finding(SoakRule.INVARIANT, relay, 0, line[:MAX_SHOWN_LINE_LENGTH])
        counted = _counted_faults(lines)
        if counted and not reported:
            yield Finding(SoakRule.INVARIANT, relay, 0, str(dict(counted)))


def _counted_faults(lines: list[str]) -> Counter[str]:
    """Return the counters of internal faults, summed over all processes that wrote this log. Counters that
    are 0 are left out.
    """
    counted: Counter[str] = Counter()
    for line in lines:
        if line.startswith("{") and '"membership_version"' in line:
            counters = orjson.loads(line)
            counted.update({name: counters[name] for name in FAULT_COUNTERS if counters.get(name)})
    return counted
