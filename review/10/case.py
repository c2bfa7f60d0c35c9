"""A calm day with a burst of half as much again, where probes are not permitted and groups share work."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins_2"))

from world import (
    BROKEN,
    HELD,
    HOST,
    CaseError,
    Discovery,
    Fleet,
    Record,
    run_case,
    settings,
    trouble_is_on,
)

CLIENTS_PER_S, BURST_FACTOR = 2.2, 1.5
BEFORE_S, BURST_S, AFTER_S, LIFE_S = 10.0, 10.0, 35.0, 40.0
# The rule: not all of 15 or more requests rejected for 4 s on end, with no attempt in between.
MIN_REJECTED, MIN_SPAN_S = 15, 4.0


async def play(record: Record, fleet: Fleet) -> None:
    """Play the case: a steady rate, the burst, and the steady rate again."""
    discovery = Discovery(record)
    await discovery.start()
    for name in ("a0", "a1", "b0", "b1"):
        await fleet.add_backend(name, discovery, probes=False, site=name[0])
    stated = settings(reporting={"names": ["depth", "load_share"], "source": "answers"})
    stated["limits"]["probes"] = False
    config = {"discovery": f"{HOST}:{discovery.port}", "seed": "5ea1"}
    await fleet.start_relays([config | {"known": discovery.whole(), "settings": stated}])
    burst_per_s = CLIENTS_PER_S * (BURST_FACTOR if trouble_is_on() else 1.0)
    for seconds, per_s in ((BEFORE_S, CLIENTS_PER_S), (BURST_S, burst_per_s), (AFTER_S, CLIENTS_PER_S)):
        record(f"clients arrive at {per_s:.1f} a second for {seconds:.0f} s")
        await fleet.send_clients(int(seconds * per_s), 1 / per_s, LIFE_S)


def rejected_spans(fleet: Fleet) -> list[tuple[float, float, int]]:
    """Return each span in which the relay rejected all that it got: its start, its end and the requests."""
    attempts_s = [sent_s for backend in fleet.backends for sent_s, _ in backend.first_lines]
    spans: list[tuple[float, float, int]] = []
    start_s, count = 0.0, 0
    for client in sorted(fleet.clients, key=lambda client: client.sent_s):
        if not count:
            start_s = client.sent_s
        has_attempt = any(start_s <= at_s <= client.answered_s for at_s in attempts_s)
        if has_attempt or not client.answer.startswith("BUSY"):
            count = 0
        else:
            count += 1
            spans.append((start_s, client.answered_s, count))
    return spans


async def case(record: Record, folder: Path) -> int:
    """Play the case and return its exit code."""
    async with Fleet(record, folder) as fleet:
        await play(record, fleet)
    answers = [client.answer.split(" ")[0] for client in fleet.clients]
    record(f"answers: {', '.join(f'{word} {answers.count(word)}' for word in sorted(set(answers)))}")
    if "UP" not in answers:
        raise CaseError("no client was served")
    start_s, end_s, count = max(rejected_spans(fleet), key=lambda span: span[2], default=(0.0, 0.0, 0))
    record(
        f"the longest span: {count} requests in {end_s - start_s:.1f} s from {start_s:.1f} s, all rejected"
    )
    is_broken = count >= MIN_REJECTED and end_s - start_s >= MIN_SPAN_S
    if is_broken:
        record("BROKEN: the relay rejected all that it got, with no attempt in between")
    return BROKEN if is_broken else HELD


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent))
