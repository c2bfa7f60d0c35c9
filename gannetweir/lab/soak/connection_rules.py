"""Rules for established connections: none is closed without MOVE while its backend serves, and lines are
returned unchanged and in time.
"""

from __future__ import annotations

from collections.abc import Iterator

from gannetweir.lab.soak.evidence import OBSERVATION_SLACK_US, PROTOCOL_TOLERANCE_US, Evidence, relay_name
from gannetweir.lab.soak.findings import Finding, SoakRule
from gannetweir.lab.soak.records import ClientObservation

LINE_DELAY_LIMIT_US = 1_000_000  # round trip of a line to the backend
# A fault that ended up to this long before a line was sent may still delay the line.
FAULT_BEFORE_LINE_US = 500_000
# A fault that ended up to this long before a connection ended may be the reason of its end.
FAULT_BEFORE_END_US = 1_000_000


def judge_connections(evidence: Evidence) -> Iterator[Finding]:
    """Find ALTERED, CLOSED_WITHOUT_MOVE and LINE_DELAYED among all clients that got an UP."""
    for client in evidence.clients.values():
        if client.answer != "UP":
            continue
        backend = client.receipt.split(".")[0]
        if client.echo_wrong:
            detail = f"{client.request}: a line was returned changed or out of order"
            yield Finding(SoakRule.ALTERED, client.relay, client.answered_us, detail)
        if client.end and not client.moved and not _was_ended_elsewhere(evidence, client, backend):
            detail = f"{client.request} at {backend}: {client.end}"
            yield Finding(SoakRule.CLOSED_WITHOUT_MOVE, client.relay, client.ended_us, detail)
        if _was_line_delayed(evidence, client, backend):
            until_us = client.echo_at_us + client.echo_us
            detail = f"{client.request}: {client.echo_us // 1000} ms"
            yield Finding(SoakRule.LINE_DELAYED, client.relay, until_us, detail)


def _was_line_delayed(evidence: Evidence, client: ClientObservation, backend: str) -> bool:
    from_us, until_us = client.echo_at_us, client.echo_at_us + client.echo_us
    proxy = evidence.proxy_of(backend)
    limit_us = LINE_DELAY_LIMIT_US + PROTOCOL_TOLERANCE_US + OBSERVATION_SLACK_US
    # A line passes these stand-ins in this order.
    for stand_in in (proxy, backend, proxy, "clients"):
        limit_us += evidence.loop_delay_us(from_us, until_us, stand_in)
    limit_us += evidence.relay_wait_us(client.relay, from_us, until_us)
    if client.echo_us <= limit_us:
        return False
    targets = backend, relay_name(client.relay)
    return not any(evidence.had_fault(target, from_us - FAULT_BEFORE_LINE_US, until_us) for target in targets)


def _was_ended_elsewhere(evidence: Evidence, client: ClientObservation, backend: str) -> bool:
    """Return whether the backend, the network or the end of a process explains the end of the connection."""
    # The span starts when the first line was sent, not when the answer was read: the client may read an
    # answer after the relay process that wrote it was killed.
    if evidence.was_relay_killed(client.relay, client.sent_us, client.ended_us + OBSERVATION_SLACK_US):
        return True
    if any(seen.ended_us for seen in evidence.backend_observations[client.request, backend]):
        return True
    if any(attempt.cut_us for attempt in evidence.attempts[client.request]):
        return True
    if client.end == "reset" and evidence.were_connections_broken(client.relay, client.ended_us):
        return True
    fault_from_us = client.ended_us - FAULT_BEFORE_END_US
    return evidence.was_ever_restarted(backend) and evidence.had_fault(
        backend, fault_from_us, client.ended_us
    )
