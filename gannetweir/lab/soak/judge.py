"""Applies all rules to the records of a soak: what the stand-ins observed and what the relays logged. The
internal state of a relay is not known.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from gannetweir.lab.soak.attempt_rules import judge_attempts
from gannetweir.lab.soak.backend_rules import judge_drains, judge_overrides, judge_slow_start
from gannetweir.lab.soak.connection_rules import judge_connections
from gannetweir.lab.soak.evidence import NEVER_US, Evidence
from gannetweir.lab.soak.findings import Finding, Verdict
from gannetweir.lab.soak.plan import SoakPlan
from gannetweir.lab.soak.process_rules import judge_lifetimes, judge_logs
from gannetweir.lab.soak.records import Record
from gannetweir.lab.soak.request_rules import judge_answers

RULES: tuple[Callable[[Evidence], Iterable[Finding]], ...] = (
    judge_answers,
    judge_attempts,
    judge_drains,
    judge_connections,
    judge_slow_start,
    judge_overrides,
    judge_lifetimes,
    judge_logs,
)


def judge(records: Sequence[Record], plan: SoakPlan, logs: dict[int, list[str]]) -> Verdict:
    """Check the records of a run against all rules. `logs` holds the lines that each relay logged."""
    evidence = Evidence(records, plan, logs)
    findings = [finding for rule in RULES for finding in rule(evidence)]
    return Verdict(sorted(findings, key=lambda finding: finding.at_us), _counts(evidence))


def _counts(evidence: Evidence) -> Counter[str]:
    """Count what the command prints of a run beside its findings."""
    counts = Counter(client.answer or "none" for client in evidence.clients.values())
    counts["requests"] = len(evidence.clients)
    counts["attempts"] = sum(len(attempts) for attempts in evidence.attempts.values())
    counts["troubles"] = len(evidence.faults)
    counts["latest stand-in, ms"] = evidence.loop_delay_us(0, NEVER_US) // 1000
    return counts
