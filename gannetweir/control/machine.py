"""A control machine's decisions: the publishers of all resources, and each relay's budget of bytes over them.

A `ControlMachine` belongs to the driver's `StoreSync` (`gannetweir.net.control_store`), made when the store
was first read. The `ControlServer` calls `poll` for each connected relay and sends what it returns. It owns
the publishers, which follow the store, and the relays' token buckets.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from gannetweir.control.publisher import MachineBehindError, Publisher
from gannetweir.control.stage import ServiceTotals
from gannetweir.control.status_report import StatusReport, status_report
from gannetweir.control.token_bucket import TokenBucket
from gannetweir.control.versions import NO_VERSION, Ack, Nack, Resource, Slice, Version

MAX_CACHED_BUCKETS = (
    2_000  # relays: more than all of a fleet, so that only names that are no more are dropped
)


@dataclass(frozen=True, slots=True)
class Wait:
    """Nothing may go to this relay for so long, in microseconds; None: until something changes."""

    duration_us: int | None


class ControlMachine:
    """Decides what each connected relay is sent, and when."""

    def __init__(self, publishers: Mapping[Resource, Publisher]) -> None:
        # in the order of the resources' declaration: a drain goes before a setting
        self.publishers = {resource: publishers[resource] for resource in Resource if resource in publishers}
        # of all relays, also disconnected ones: connecting again must not win a new burst
        self.buckets: dict[str, TokenBucket] = {}

    def connect(self, relay: str, applied: Mapping[Resource, Version], now_us: int) -> None:
        """A relay's watch began; it replaces an earlier one.

        Raises `MachineBehindError`; the relay is then disconnected.
        """
        self.disconnect(relay)
        try:
            for resource, publisher in self.publishers.items():
                publisher.subscribe(relay, applied.get(resource, NO_VERSION))
        except MachineBehindError:
            self.disconnect(relay)
            raise
        self._renew_bucket(relay, now_us)

    def _renew_bucket(self, relay: str, now_us: int) -> None:
        """Make the relay's bucket the newest one, so that those of relays long gone are dropped first."""
        bucket = self.buckets.pop(relay, None)
        while len(self.buckets) >= MAX_CACHED_BUCKETS:
            del self.buckets[next(iter(self.buckets))]
        self.buckets[relay] = bucket or TokenBucket(now_us)

    def disconnect(self, relay: str) -> None:
        """A relay's watch ended, if it had one."""
        for publisher in self.publishers.values():
            publisher.unsubscribe(relay)

    def poll(self, relay: str, now_us: int) -> Slice | Wait:
        """What goes to a relay now. Whoever sends a slice calls `record_sent` before the next `poll`."""
        if wait_us := self.buckets[relay].wait_us(now_us):
            return Wait(wait_us)
        for publisher in self.publishers.values():
            part = publisher.next_slice(relay, now_us)
            if part is not None:
                return part
        return Wait(None)

    def record_sent(self, relay: str, size_bytes: int) -> None:
        """Charge the relay's budget with what was sent."""
        self.buckets[relay].charge(size_bytes)

    def record_answer(self, relay: str, answer: Ack | Nack, totals: ServiceTotals | None = None) -> None:
        """A relay's ACK or NACK, and what it has served up to then."""
        if answer.resource in self.publishers:
            self.publishers[answer.resource].record_answer(relay, answer, totals)

    def is_ack_overdue(self, relay: str, now_us: int) -> bool:
        """Whether the relay's watch should be ended, since it owes an answer for too long."""
        return any(publisher.is_ack_overdue(relay, now_us) for publisher in self.publishers.values())

    def status_reports(self) -> list[StatusReport]:
        """Where each resource stands at this machine's relays."""
        return [status_report(publisher) for publisher in self.publishers.values()]
