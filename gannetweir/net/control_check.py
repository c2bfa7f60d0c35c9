"""A relay's own checks of a version from a control machine: the same parsing and validation as at startup.

A version is rejected if the relay could not start with it, or could not drain in time with it. The NACK
describes the fault. The checks have no state; they read the relay's current settings for each version.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import orjson

from gannetweir.config.errors import ConfigError
from gannetweir.config.key_presence import presence_of_settings
from gannetweir.config.platform import parse_limits
from gannetweir.config.settings import parse_settings, validate_settings
from gannetweir.control.versions import Entry, Resource
from gannetweir.limits import Limits
from gannetweir.placement.settings import Settings
from gannetweir.proto.endpoint_watch import EndpointListError, read_membership

# A drain that has less time than this to migrate its connections breaks them.
MIN_MIGRATION_US = 200_000
# Limits how many missing settings a NACK names.
MAX_NAMED_KEYS = 5


class RelayCheck:
    """Implements `control.assembly.VersionCheck` with the relay's current settings."""

    def __init__(self, settings: Callable[[], Settings]) -> None:
        self.settings = settings

    def check_entry(self, resource: Resource, entry: Entry) -> str:
        """Return the fault of a membership entry, or an empty string.

        Settings are only checked together, in `check_version`.
        """
        if entry.body is None or resource is Resource.SETTINGS:
            return ""
        data = {"seq": 0, "whole": False, "hosts": [orjson.loads(entry.body)]}
        try:
            (endpoint,) = read_membership(data, self.settings()).endpoints
        except EndpointListError as error:
            return str(error)
        if endpoint.entry.endpoint_id != entry.key:
            return f"{entry.key!r} names {endpoint.entry.endpoint_id!r}"
        return ""

    def check_version(
        self, resource: Resource, applied: Mapping[str, bytes], changes: Mapping[str, bytes | None]
    ) -> str:
        """Return why a relay could not start with these settings, or could not drain in time.

        Returns an empty string if there is no fault.
        """
        if resource is Resource.MEMBERSHIP:
            return ""
        merged = {**applied, **changes}
        data = {key: orjson.loads(body) for key, body in merged.items() if body is not None}
        if fault := _find_missing_keys(applied, data):
            return fault
        try:
            settings = parse_settings(data)
            validate_settings(settings)
            limits = parse_limits(None, settings)
        except (ConfigError, TypeError, OverflowError) as error:
            return str(error)
        return _find_restart_requirement(self.settings(), settings) or _find_drain_fault(limits)


def _find_missing_keys(applied: Mapping[str, bytes], data: dict[str, object]) -> str:
    """Return a fault if applied settings are missing: they would silently fall back to their defaults."""
    present = {key: orjson.loads(body) for key, body in applied.items()}
    missing = presence_of_settings(data).missing_since(presence_of_settings(present))
    return f"missing: {', '.join(missing[:MAX_NAMED_KEYS])}" if missing else ""


def _find_restart_requirement(present: Settings, settings: Settings) -> str:
    """Return a fault if zones or machine types change: the endpoint list refers to them by position."""
    if present.zone_names and settings.zone_names != present.zone_names:
        return "zones change only at a restart"
    if present.machine_types and settings.machine_types != present.machine_types:
        return "kinds change only at a restart"
    return ""


def _find_drain_fault(limits: Limits) -> str:
    if limits.drain_end_us - limits.drain_grace_us < MIN_MIGRATION_US:
        return (
            f"deadlines too short: a drain has {limits.drain_end_us / 1000:g} ms before SIGKILL, "
            f"expected at least {(limits.drain_grace_us + MIN_MIGRATION_US) / 1000:g} ms"
        )
    return ""
