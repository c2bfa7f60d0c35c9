"""Rules for answers: each request gets one final answer in time, and an UP comes from a backend."""

from __future__ import annotations

from gannetweir.lab.soak.evidence import PROTOCOL_TOLERANCE_US, Evidence
from gannetweir.lab.soak.findings import Finding, SoakRule
from gannetweir.lab.soak.records import ClientObservation

FINAL_ANSWERS = "UP", "BUSY", "ERR"
# An answer that arrives later than this after the deadline counts as lost.
ANSWER_DELAY_LIMIT_US = 500_000
# A client may send its first line after the relay was killed, on a connection that was made before.
KILL_BEFORE_REQUEST_US = 1_000_000


def judge_answers(evidence: Evidence) -> list[Finding]:
    """Find LOST and FABRICATED among the requests of all clients that waited for an answer."""
    findings = []
    for client in evidence.clients.values():
        if client.left_us and not client.answer:
            continue
        until_us = _wait_end_us(client)
        if detail := _describe_lost_answer(evidence, client):
            findings.append(Finding(SoakRule.LOST, client.relay, until_us, detail))
        if client.answer == "UP" and client.receipt.split(".")[-1] != client.request:
            detail = f"{client.request}: {client.receipt}"
            findings.append(Finding(SoakRule.FABRICATED, client.relay, until_us, detail))
    return findings


def _wait_end_us(client: ClientObservation) -> int:
    """Return when the client got its answer, or stopped waiting for one."""
    # Records of earlier versions lack `gave_up_us`.
    gave_up_us = client.gave_up_us or client.deadline_us + ANSWER_DELAY_LIMIT_US
    return client.ended_us or client.answered_us or gave_up_us


def _describe_lost_answer(evidence: Evidence, client: ClientObservation) -> str:
    """Describe how the answer was lost; empty if the answer was not lost, or if that can't be judged."""
    until_us = _wait_end_us(client)
    slack_us = evidence.observation_slack_us(client.sent_us, until_us)
    wait_us = evidence.relay_wait_us(client.relay, client.sent_us, until_us)
    due_us = client.deadline_us + PROTOCOL_TOLERANCE_US + ANSWER_DELAY_LIMIT_US + slack_us + wait_us
    if client.answer in FINAL_ANSWERS:
        late_ms = (client.answered_us - client.deadline_us) // 1000
        return f"{client.request}: answered {late_ms} ms late" if client.answered_us > due_us else ""
    # If the relay had no processor for a while, a missing answer counts only if the client also waited for
    # that time and the relay's kernel had acknowledged its line: a full accept queue takes no line.
    was_starved = wait_us > PROTOCOL_TOLERANCE_US
    waited_enough = until_us >= due_us and not client.unheard
    if was_starved and not (client.answer or client.end or waited_enough):
        return ""
    killed_from_us = client.sent_us - KILL_BEFORE_REQUEST_US
    if evidence.was_relay_killed(client.relay, killed_from_us, min(until_us, due_us) + slack_us):
        return ""
    took_ms = (until_us - client.sent_us) // 1000
    return f"{client.request} {client.cls}: {client.answer or client.end or 'no answer'}, {took_ms} ms"
