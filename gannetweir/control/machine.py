"""Decision logic of a control machine: the publishers of all resources and a byte budget per relay.

A `ControlMachine` belongs to the driver's `StoreSync` (`gannetweir.net.control_store`), which creates it when
the store is first read. The `ControlServer` calls `poll` for each connected relay and sends the returned
slice. The machine owns the publishers, which follow the store, and the relays' token buckets.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from gannetweir.control.publisher import MachineBehindError, Publisher
from gannetweir.control.stage import ServiceTotals
from gannetweir.control.status_report import StatusReport, status_report
from gannetweir.control.token_bucket import TokenBucket
from gannetweir.control.versions import NO_VERSION, Ack, Nack, Resource, Slice, Version

# More than the relays of a fleet, so that only the buckets of relays that no longer exist are evicted.
MAX_CACHED_BUCKETS = 2_000


@dataclass(frozen=True, slots=True)
class Wait:
    """Nothing is to be sent to the relay for `duration_us`.

    A duration of None lasts until a version, a stage or the relay's state changes.
    """

    duration_us: int | None


class ControlMachine:
    """Decides which slice each connected relay is sent, and when."""

    def __init__(self, publishers: Mapping[Resource, Publisher]) -> None:
        # The order of declaration is the priority: membership, with its drains, precedes settings.
        self.publishers = {resource: publishers[resource] for resource in Resource if resource in publishers}
        # Buckets of disconnected relays are kept: a reconnect must not grant a new burst.
        self.buckets: dict[str, TokenBucket] = {}

    def connect(self, relay: str, applied: Mapping[Resource, Version], now_us: int) -> None:
        """Register a relay's new watch, which replaces an earlier watch of the same relay.

        Raises `MachineBehindError` if the relay has applied a later version; no watch is registered then.
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
        """Move the relay's bucket to the end of the eviction order, or create it."""
        bucket = self.buckets.pop(relay, None)
        while len(self.buckets) >= MAX_CACHED_BUCKETS:
            del self.buckets[next(iter(self.buckets))]
        self.buckets[relay] = bucket or TokenBucket(now_us)

    def disconnect(self, relay: str) -> None:
        """Remove a relay's watch, if there is one."""
        for publisher in self.publishers.values():
            publisher.unsubscribe(relay)

    def poll(self, relay: str, now_us: int) -> Slice | Wait:
        """Return the slice to send to a relay now, or how long to wait.

        The caller sends the slice and calls `record_sent` before the next `poll`.
        """
        if wait_us := self.buckets[relay].wait_us(now_us):
            return Wait(wait_us)
        for publisher in self.publishers.values():
            part = publisher.next_slice(relay, now_us)
            if part is not None:
                return part
        return Wait(None)

    def record_sent(self, relay: str, size_bytes: int) -> None:
        """Charge the relay's budget with a message of this size."""
        self.buckets[relay].charge(size_bytes)

    def record_answer(self, relay: str, answer: Ack | Nack, totals: ServiceTotals | None = None) -> None:
        """Record a relay's ACK or NACK, and its service totals at that time."""
        if answer.resource in self.publishers:
            self.publishers[answer.resource].record_answer(relay, answer, totals)

    def is_ack_overdue(self, relay: str, now_us: int) -> bool:
        """Whether the relay's watch should be closed because an ACK or NACK is overdue."""
        return any(publisher.is_ack_overdue(relay, now_us) for publisher in self.publishers.values())

    def status_reports(self) -> list[StatusReport]:
        """Return one status report per resource, over the relays of this machine."""
        return [status_report(publisher) for publisher in self.publishers.values()]
