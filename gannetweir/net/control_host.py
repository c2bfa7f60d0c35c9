"""The control plane's place in a relay: the engine takes membership, the relay its settings."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from gannetweir.config.settings import parse_settings
from gannetweir.control.stage import ServiceTotals
from gannetweir.control.versions import Resource, Version
from gannetweir.limits import Limits
from gannetweir.membership.membership_update import MembershipUpdate
from gannetweir.net.ports import DriverContext
from gannetweir.net.transport import Spawn
from gannetweir.placement.settings import Settings


class EngineHost:
    """`net.control_watch.ControlHost` over a relay's engine."""

    def __init__(
        self,
        relay: DriverContext,
        name: str,
        apply_checked_settings: Callable[[Settings], None],
        version_applied: Callable[[Resource, Version], None] = lambda resource, version: None,
    ) -> None:
        """`take_settings` brings checked settings into force; `in_force` hears of each version that is."""
        self.relay, self.name = relay, name
        self.apply_checked_settings, self.version_applied = apply_checked_settings, version_applied

    @property
    def settings(self) -> Settings:
        """The relay's present ones."""
        return self.relay.settings

    @property
    def limits(self) -> Limits:
        """The relay's present ones."""
        return self.relay.limits

    @property
    def spawn(self) -> Spawn:
        """The relay's."""
        return self.relay.spawn

    def apply_membership(self, update: MembershipUpdate) -> None:
        """To the engine, as news of discovery's."""
        self.relay.run_engine_call(self.relay.engine.endpoint_update_received, update)

    def apply_settings(self, values: dict[str, Any]) -> None:
        """To the relay. `ConfigError` can't come: the follower's check has read them the same way."""
        self.apply_checked_settings(parse_settings(values))

    def service_totals(self) -> ServiceTotals:
        """What clients were answered since the start."""
        counts = self.relay.engine.counters.counts
        return ServiceTotals(counts["served"], counts["failed"] + counts["rejected"])
