"""One attempt at a time, repeats as the class allows, lines unchanged, none for a client that left."""

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

DISCONNECT_NOTICE_US = 100_000  # a client's end has been noticed by then, and no attempt begins any more
_DEADLINE = re.compile(r"([ ,]d=)\d+")  # the one field of a first line that a relay changes
_CLASSES = {request_class.name: request_class for request_class in CLASSES}


def judge_attempts(evidence: Evidence) -> Iterator[Finding]:
    """OVERLAP, REPEAT, ALTERED and ATTEMPT_AFTER_DISCONNECT, request by request."""
    for request, attempts in evidence.attempts.items():
        client = evidence.clients[request]
        written = [attempt for attempt in attempts if attempt.whole_us]  # its backend may have executed it
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
    # Both were out for certain from the later line to the earlier end, less how late either was read.
    begun_us = max(earlier.whole_us, later.whole_us)
    ended_us = min(_attempt_end_us(evidence, earlier), _attempt_end_us(evidence, later))
    proxies = {evidence.proxy_of(earlier.backend), evidence.proxy_of(later.backend)}
    observers = (*proxies, earlier.backend, later.backend)
    late_us = max(evidence.loop_delay_us(begun_us, ended_us, observer) for observer in observers)
    late_us += evidence.run_queue_wait_us(begun_us, ended_us, *proxies)
    if ended_us > begun_us + OBSERVATION_SLACK_US + late_us:
        detail = f"{client.request}: at {later.backend} while it was out at {earlier.backend}"
        yield Finding(SoakRule.OVERLAP, client.relay, later.whole_us, detail)
    if not _may_be_repeated(evidence, _CLASSES[client.cls], earlier, later):
        detail = f"{client.request} {client.cls}: at {earlier.backend}, then at {later.backend}"
        yield Finding(SoakRule.REPEAT, client.relay, later.whole_us, detail)


def _judge_disconnect(
    evidence: Evidence, client: ClientObservation, attempt: AttemptObservation
) -> Iterator[Finding]:
    if not client.left_us:
        return
    # Both times are exact, however late the stand-ins were: the end had been sent, the line has come.
    limit_us = DISCONNECT_NOTICE_US + PROTOCOL_TOLERANCE_US + OBSERVATION_SLACK_US
    limit_us += evidence.relay_wait_us(client.relay, client.left_us, attempt.first_us)
    late_us = attempt.first_us - client.left_us
    if late_us > limit_us:
        detail = f"{client.request}: {late_us // 1000} ms"
        yield Finding(SoakRule.ATTEMPT_AFTER_DISCONNECT, client.relay, attempt.first_us, detail)


def _attempt_end_us(evidence: Evidence, attempt: AttemptObservation) -> int:
    """When an attempt was over, as far as is known: given up, cut, or answered without service."""
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
    """Say whether the second attempt may follow the first one, which was written completely."""
    if request_class.idempotency == "repeatable":
        return True
    at_backend = evidence.backend_observations[earlier.request, earlier.backend]
    if any(seen.answer == "BUSY" for seen in at_backend):  # it has not been executed
        return True
    if request_class.idempotency == "once":
        return False
    return request_class.idempotency_scope == "all" or cell_of(earlier.backend) == cell_of(later.backend)
