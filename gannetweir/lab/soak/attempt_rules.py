"""Rules for attempts: one at a time, retries only as the class permits, the first line unchanged, and none
after the client has disconnected.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from itertools import combinations

from gannetweir.lab.soak.evidence import (
    NEVER_US,
    OBSERVATION_SLACK_US,
    PROTOCOL_TOLERANCE_US,
    Evidence,
)
from gannetweir.lab.soak.findings import Finding, SoakRule
from gannetweir.lab.soak.plan import CLASSES, RequestClassPlan, cell_of
from gannetweir.lab.soak.records import AttemptObservation, ClientObservation

# A relay notices within this time that a client has disconnected, and starts no attempt afterwards.
DISCONNECT_NOTICE_US = 100_000
_DEADLINE = re.compile(r"([ ,]d=)\d+")  # the one field of a first line that a relay changes
_CLASSES = {request_class.name: request_class for request_class in CLASSES}


def judge_attempts(evidence: Evidence) -> Iterator[Finding]:
    """Find OVERLAP, REPEAT, ALTERED and ATTEMPT_AFTER_DISCONNECT among the attempts of each request."""
    for request, attempts in evidence.attempts.items():
        client = evidence.clients[request]
        # A backend may have executed a request only if the first line was complete.
        written = [attempt for attempt in attempts if attempt.whole_us]
        for earlier, later in combinations(written, 2):
            yield from _judge_attempt_pair(evidence, client, earlier, later)
        for attempt in written:
            if _DEADLINE.sub(r"\1", attempt.line) != _DEADLINE.sub(r"\1", client.line):
                detail = f"{client.line} as {attempt.line}"
                yield Finding(SoakRule.ALTERED, client.relay, attempt.whole_us, detail)
        for attempt in attempts:
            yield from _judge_disconnect(evidence, client, attempt)


def _judge_attempt_pair(
    evidence: Evidence, client: ClientObservation, earlier: AttemptObservation, later: AttemptObservation
) -> Iterator[Finding]:
    # Both attempts were certainly in flight from the later of the two first lines to the earlier of the two
    # ends, less the delay with which the stand-ins observed either.
    begun_us = max(earlier.whole_us, later.whole_us)
    ended_us = min(_attempt_end_us(evidence, earlier), _attempt_end_us(evidence, later))
    proxies = {evidence.proxy_of(earlier.backend), evidence.proxy_of(later.backend)}
    observers = (*proxies, earlier.backend, later.backend)
    late_us = max(evidence.loop_delay_us(begun_us, ended_us, observer) for observer in observers)
    late_us += evidence.run_queue_wait_us(begun_us, ended_us, *proxies)
    if ended_us > begun_us + OBSERVATION_SLACK_US + late_us:
        detail = f"{client.request}: at {later.backend} while in flight at {earlier.backend}"
        yield Finding(SoakRule.OVERLAP, client.relay, later.whole_us, detail)
    if not _may_be_repeated(evidence, _CLASSES[client.cls], earlier, later):
        detail = f"{client.request} {client.cls}: at {earlier.backend}, then at {later.backend}"
        yield Finding(SoakRule.REPEAT, client.relay, later.whole_us, detail)


def _judge_disconnect(
    evidence: Evidence, client: ClientObservation, attempt: AttemptObservation
) -> Iterator[Finding]:
    if not client.left_us:
        return
    # Delays of the stand-ins need no allowance: `left_us` is taken after the client closed its connection,
    # and `first_us` is the time at which the kernel received the line.
    limit_us = DISCONNECT_NOTICE_US + PROTOCOL_TOLERANCE_US + OBSERVATION_SLACK_US
    limit_us += evidence.relay_wait_us(client.relay, client.left_us, attempt.first_us)
    late_us = attempt.first_us - client.left_us
    if late_us > limit_us:
        detail = f"{client.request}: {late_us // 1000} ms"
        yield Finding(SoakRule.ATTEMPT_AFTER_DISCONNECT, client.relay, attempt.first_us, detail)


def _attempt_end_us(evidence: Evidence, attempt: AttemptObservation) -> int:
    """Return when an attempt is known to have ended: closed by the relay, reset by the proxy, or ended by the
    backend.
    """
    at_backend = evidence.backend_observations[attempt.request, attempt.backend]
    ends_us = [seen.ended_us for seen in at_backend if seen.ended_us and seen.ended_us >= attempt.first_us]
    known_us = [end_us for end_us in (attempt.relay_ended_us, attempt.cut_us, *ends_us) if end_us]
    return min(known_us, default=NEVER_US)


def _may_be_repeated(
    evidence: Evidence,
    request_class: RequestClassPlan,
    earlier: AttemptObservation,
    later: AttemptObservation,
) -> bool:
    """Return whether the class permits the later attempt. The earlier one was written completely."""
    if request_class.idempotency == "repeatable":
        return True
    at_backend = evidence.backend_observations[earlier.request, earlier.backend]
    if any(seen.answer == "BUSY" for seen in at_backend):  # a rejected request was not executed
        return True
    if request_class.idempotency == "once":
        return False
    return request_class.idempotency_scope == "all" or cell_of(earlier.backend) == cell_of(later.backend)
