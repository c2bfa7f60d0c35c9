"""A relay's own checks of what a control machine sends: the readers and rules that a start would apply."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import orjson

from gannetweir.config.errors import ConfigError
from gannetweir.config.platform import key_paths, parse_limits
from gannetweir.config.settings import parse_settings, validate_settings
from gannetweir.control.versions import Entry, Resource
from gannetweir.placement.settings import Settings
from gannetweir.proto.endpoint_watch import EndpointListError, read_membership

MIN_MIGRATION_US = 200_000  # a drain whose moves have less time than this breaks connections


class RelayCheck:
    """`control.follower.Check`, with the settings that hold at the moment."""

    def __init__(self, settings: Callable[[], Settings]) -> None:
        self.settings = settings

    def check_entry(self, resource: Resource, entry: Entry) -> str:
        """Can this entry be used?"""
        if entry.body is None or resource is Resource.SETTINGS:
            return ""  # settings are read together
        data = orjson.loads(entry.body)
        try:
            (member,) = read_membership(
                {"seq": 0, "whole": False, "hosts": [data]}, self.settings()
            ).endpoints
        except EndpointListError as error:
            return str(error)
        return (
            ""
            if member.entry.endpoint_id == entry.key
            else f"{entry.key!r} names {member.entry.endpoint_id!r}"
        )

    def check_version(
        self, resource: Resource, applied: Mapping[str, bytes], changes: Mapping[str, bytes | None]
    ) -> str:
        """Would a relay start with these settings, and end in good order?"""
        if resource is Resource.MEMBERSHIP:
            return ""
        merged = {**applied, **changes}
        data = {key: orjson.loads(body) for key, body in merged.items() if body is not None}
        lost = key_paths({key: orjson.loads(body) for key, body in applied.items()}) - key_paths(data)
        if lost:  # it would silently become a default
            return f"missing: {', '.join(sorted(key[1:] for key in lost)[:5])}"
        try:
            settings = parse_settings(data)
            validate_settings(settings)
            limits = parse_limits(None, settings)
        except (ConfigError, TypeError, OverflowError) as error:
            return str(error)
        standing = self.settings()
        for name, was, now in (
            ("zones", standing.zone_names, settings.zone_names),
            ("kinds", standing.machine_types, settings.machine_types),
        ):
            if was and now != was:  # the entries of the list that is held are counted by these
                return f"{name} change only at a restart"
        if limits.drain_end_us - limits.drain_grace_us < MIN_MIGRATION_US:
            return f"deadlines too short: a drain has {limits.drain_end_us / 1000:g} ms before SIGKILL"
        return ""
