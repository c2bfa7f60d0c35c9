"""The operators' overrides: which endpoints they took offline, and when others came back online."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from gannetweir.placement.events import EndpointId


@dataclass(frozen=True, slots=True)
class OperatorOverrides:
    """What the operators said: the backends that are out, and when others were called back."""

    offline: frozenset[EndpointId] = frozenset()
    online_since: Mapping[str, int] = field(default_factory=dict)

    def newly_offline(self, later: OperatorOverrides) -> set[EndpointId]:
        """What has gone out from this to a later state, also if it was called back since."""
        recalled = {s for s, at in later.online_since.items() if at != self.online_since.get(s)}
        return (set(later.offline) | recalled) - self.offline

    def with_override(self, endpoint_id: str, offline: bool, now_us: int) -> OperatorOverrides:
        """After one more call. One that says what holds already changes nothing: a second call back would
        make a backend cold that has warmed up since.
        """
        if offline == (endpoint_id in self.offline):
            return self
        if offline:
            return OperatorOverrides(
                self.offline | {endpoint_id},
                {s: at for s, at in self.online_since.items() if s != endpoint_id},
            )
        return OperatorOverrides(self.offline - {endpoint_id}, {**self.online_since, endpoint_id: now_us})
