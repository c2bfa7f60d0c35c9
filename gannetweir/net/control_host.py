"""The control plane's adapter to a relay: the engine takes the membership, the relay its settings.

It owns nothing: what a reload replaces is read from the relay each time.
"""

from __future__ import annotations

from collections.abc import Callable

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
        on_version_applied: Callable[[Resource, Version], None] | None = None,
    ) -> None:
        """`on_version_applied` is called after each version that was applied."""
        self.relay = relay
        self.name = name
        self.apply_checked_settings = apply_checked_settings
        self.on_version_applied = on_version_applied

    @property
    def settings(self) -> Settings:
        """The relay's present settings."""
        return self.relay.settings

    @property
    def limits(self) -> Limits:
        """The relay's present limits."""
        return self.relay.limits

    @property
    def spawn(self) -> Spawn:
        """Starts a task of the relay's."""
        return self.relay.spawn

    def apply_membership(self, update: MembershipUpdate) -> None:
        """Pass an update to the engine, as those of discovery's watch."""
        self.relay.run_engine_call(self.relay.engine.endpoint_update_received, update)

    def apply_settings(self, values: dict[str, object]) -> None:
        """Pass settings to the relay. `ConfigError` can't come: `RelayCheck` has read them the same way."""
        self.apply_checked_settings(parse_settings(values))

    def version_applied(self, resource: Resource, version: Version) -> None:
        """All of the version was applied."""
        if self.on_version_applied is not None:
            self.on_version_applied(resource, version)

    def service_totals(self) -> ServiceTotals:
        """How many answers clients got since the start."""
        counts = self.relay.engine.counters.counts
        return ServiceTotals(counts["served"], counts["failed"] + counts["rejected"])
