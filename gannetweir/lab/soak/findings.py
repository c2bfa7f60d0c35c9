"""The rules that a soak checks, and the findings and the verdict that the judge reports."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum


class SoakRule(StrEnum):
    """A rule that every relay has to keep under any fault. The command prints the values."""

    LOST = "lost"  # a request got no answer, or got it too long after the deadline
    FABRICATED = "fabricated"  # an UP that no backend sent for this request
    OVERLAP = "overlap"  # two attempts of one request were in flight at once
    REPEAT = "repeat"  # a second attempt that the idempotency of the class does not permit
    ALTERED = "altered"  # a first line or a later line was changed in transit
    DRAIN = "drain"  # an attempt at a backend that the relay knew to be draining or gone
    ATTEMPT_AFTER_DISCONNECT = "client_gone"  # an attempt for a client that had closed its connection
    CLOSED_WITHOUT_MOVE = "cut_off"  # an established connection was closed without MOVE
    LINE_DELAYED = "held_back"  # a line was returned too late
    SLOW_START = "cold"  # a backend got more requests than its slow start allows
    OPERATOR_OVERRIDE = "operators"  # an attempt at a backend that operators had taken offline
    START = "start"  # a process was not ready in time
    EXIT = "exit"  # a process did not exit in time after SIGTERM
    CRASH = "crash"  # a process exited without SIGTERM, or with an exit code other than 0
    DESCRIPTORS = "descriptors"  # a relay had more descriptors open than its limit
    INVARIANT = "invariant"  # a relay logged or counted a violation or another internal fault of its own


@dataclass(frozen=True, slots=True)
class Finding:
    """One violation of a rule. `relay` is -1 if the rule applies to all relays together."""

    rule: SoakRule
    relay: int
    at_us: int
    detail: str


@dataclass(slots=True)
class Verdict:
    """The findings and the counts of a run."""

    findings: list[Finding]
    counts: Counter[str] = field(default_factory=Counter)

    def rules_broken_by(self, relay: int) -> set[SoakRule]:
        """Return the rules that one relay broke."""
        return {finding.rule for finding in self.findings if finding.relay == relay}
