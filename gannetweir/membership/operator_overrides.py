"""The operators' overrides: which endpoints are offline, and when others were brought back online."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from gannetweir.placement.events import EndpointId


@dataclass(frozen=True, slots=True)
class OperatorOverrides:
    """The state of all overrides. Instances are immutable; each call of an operator replaces the instance."""

    offline: frozenset[EndpointId] = frozenset()
    # Monotonic times in microseconds, by endpoint.
    online_since: Mapping[str, int] = field(default_factory=dict)

    def newly_offline(self, later: OperatorOverrides) -> set[EndpointId]:
        """Return the endpoints that were taken offline between this state and a later one, including those
        that are back online by then.
        """
        brought_back = {
            endpoint_id
            for endpoint_id, online_us in later.online_since.items()
            if online_us != self.online_since.get(endpoint_id)
        }
        return (set(later.offline) | brought_back) - self.offline

    def with_override(self, endpoint_id: str, offline: bool, now_us: int) -> OperatorOverrides:
        """Return the state after one more call. A call that requests the current state returns the same
        instance: a second online call would restart the slow start of an endpoint that has warmed up since
        the first.
        """
        if offline == (endpoint_id in self.offline):
            return self
        if not offline:
            return OperatorOverrides(self.offline - {endpoint_id}, {**self.online_since, endpoint_id: now_us})
        others_online_since = {
            other_id: online_us
            for other_id, online_us in self.online_since.items()
            if other_id != endpoint_id
        }
        return OperatorOverrides(self.offline | {endpoint_id}, others_online_since)
