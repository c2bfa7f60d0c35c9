"""A relay's own checks of a version from a control machine: the readers and rules that a start would apply.

A version that a relay could not start with, or with which it could not drain in time, is rejected, and a
NACK carries what is wrong. The checks have no state; they read the relay's present settings each time.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import orjson

from gannetweir.config.errors import ConfigError
from gannetweir.config.platform import key_paths, parse_limits
from gannetweir.config.settings import parse_settings, validate_settings
from gannetweir.control.versions import Entry, Resource
from gannetweir.limits import Limits
from gannetweir.placement.settings import Settings
from gannetweir.proto.endpoint_watch import EndpointListError, read_membership

MIN_MIGRATION_US = 200_000  # for a drain to migrate its connections: with less it breaks them
MAX_NAMED_KEYS = 5  # of settings that a version would lose


class RelayCheck:
    """`control.assembly.VersionCheck` over the relay's present settings."""

    def __init__(self, settings: Callable[[], Settings]) -> None:
        self.settings = settings

    def check_entry(self, resource: Resource, entry: Entry) -> str:
        """What is wrong with one entry of the membership, if anything; settings are checked together."""
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
        """What would keep a relay from starting with these settings, or from draining in time.

        An empty string if nothing would.
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
    """A key that is lost would silently become a default."""
    present = {key: orjson.loads(body) for key, body in applied.items()}
    lost = sorted(key[1:] for key in key_paths(present) - key_paths(data))
    return f"missing: {', '.join(lost[:MAX_NAMED_KEYS])}" if lost else ""


def _find_restart_requirement(present: Settings, settings: Settings) -> str:
    """The entries of the present endpoint list refer to zones and machine types by their position."""
    if present.zone_names and settings.zone_names != present.zone_names:
        return "zones change only at a restart"
    if present.machine_types and settings.machine_types != present.machine_types:
        return "kinds change only at a restart"
    return ""


def _find_drain_fault(limits: Limits) -> str:
    if limits.drain_end_us - limits.drain_grace_us < MIN_MIGRATION_US:
        return f"deadlines too short: a drain has {limits.drain_end_us / 1000:g} ms before SIGKILL"
    return ""
