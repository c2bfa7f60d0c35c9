"""A control machine: the publishers of both resources, and each relay's share of bytes over them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from gannetweir.control.publisher import Publisher
from gannetweir.control.stage import ServiceTotals
from gannetweir.control.status_report import StatusReport, status_report
from gannetweir.control.token_bucket import TokenBucket
from gannetweir.control.versions import NO_VERSION, Ack, Nack, Resource, Slice, Version

MAX_CACHED_BUCKETS = 2_000


@dataclass(frozen=True, slots=True)
class Wait:
    """Nothing goes to this relay for so long; None: until something changes."""

    duration_us: int | None


class ControlMachine:
    """Decides what each of its relays is sent, and when."""

    def __init__(self, publishers: Mapping[Resource, Publisher]) -> None:
        # a drain is told before a setting
        self.publishers = {resource: publishers[resource] for resource in Resource if resource in publishers}
        self.buckets: dict[str, TokenBucket] = {}  # outlive a watch: calling again must not win a new burst

    def connect(self, relay: str, applied: Mapping[Resource, Version], now_us: int) -> None:
        """A relay's watch began; it replaces one that is still here. Raises `BehindError`."""
        self.disconnect(relay)
        try:
            for resource, publisher in self.publishers.items():
                publisher.subscribe(relay, applied.get(resource, NO_VERSION))
        except Exception:
            self.disconnect(relay)
            raise
        bucket = self.buckets.pop(relay, None)
        while len(self.buckets) >= MAX_CACHED_BUCKETS:
            del self.buckets[next(iter(self.buckets))]
        self.buckets[relay] = bucket or TokenBucket(now_us)

    def disconnect(self, relay: str) -> None:
        """Its watch ended."""
        for publisher in self.publishers.values():
            publisher.unsubscribe(relay)

    def poll(self, relay: str, now_us: int) -> Slice | Wait:
        """What goes to a relay now. Whoever sends a slice calls `sent` before the next `poll`."""
        if wait_us := self.buckets[relay].wait_us(now_us):
            return Wait(wait_us)
        for publisher in self.publishers.values():
            part = publisher.next_slice(relay, now_us)
            if part is not None:
                return part
        return Wait(None)

    def record_sent(self, relay: str, size_bytes: int) -> None:
        """So many bytes have gone to the relay."""
        self.buckets[relay].charge(size_bytes)

    def record_answer(self, relay: str, answer: Ack | Nack, totals: ServiceTotals | None = None) -> None:
        """A relay's ACK or NACK, and what it has served up to then."""
        if answer.resource in self.publishers:
            self.publishers[answer.resource].record_answer(relay, answer, totals)

    def is_ack_overdue(self, relay: str, now_us: int) -> bool:
        """Should the relay's watch be ended, since it owes an answer?"""
        return any(publisher.is_ack_overdue(relay, now_us) for publisher in self.publishers.values())

    def status_reports(self) -> list[StatusReport]:
        """Where each resource stands at this machine's relays."""
        return [status_report(publisher) for publisher in self.publishers.values()]
