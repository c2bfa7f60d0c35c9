"""The control plane's adapter to a relay: applies membership to the engine and settings to the relay.

The adapter keeps no copies: a reload may replace settings and limits, so they are read from the relay on each
access.
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
    """Implements `net.control_watch.ControlHost` with a relay's engine."""

    def __init__(
        self,
        relay: DriverContext,
        name: str,
        apply_checked_settings: Callable[[Settings], None],
        on_version_applied: Callable[[Resource, Version], None] | None = None,
    ) -> None:
        """Create the adapter of a relay; `on_version_applied` is called after each applied version."""
        self.relay = relay
        self.name = name
        self.apply_checked_settings = apply_checked_settings
        self.on_version_applied = on_version_applied

    @property
    def settings(self) -> Settings:
        """The relay's current settings."""
        return self.relay.settings

    @property
    def limits(self) -> Limits:
        """The relay's current limits."""
        return self.relay.limits

    @property
    def spawn(self) -> Spawn:
        """Starts a task that ends with the relay."""
        return self.relay.spawn

    def apply_membership(self, update: MembershipUpdate) -> None:
        """Pass a membership update to the engine, in the same way as discovery's watch."""
        self.relay.run_engine_call(self.relay.engine.endpoint_update_received, update)

    def apply_settings(self, values: dict[str, object]) -> None:
        """Pass settings to the relay.

        `ConfigError` can't occur, since `RelayCheck` has parsed the same values in the same way.
        """
        self.apply_checked_settings(parse_settings(values))

    def version_applied(self, resource: Resource, version: Version) -> None:
        """Notify the callback that all entries of the version were applied."""
        if self.on_version_applied is not None:
            self.on_version_applied(resource, version)

    def service_totals(self) -> ServiceTotals:
        """Return the numbers of answers sent to clients since the start."""
        counts = self.relay.engine.counters.counts
        return ServiceTotals(counts["served"], counts["failed"] + counts["rejected"])
