"""Loads the complete configuration of a relay: the platform's and, if one is named, the operators' file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from gannetweir.config.platform import Config, load_platform_config


def load_config(env: Mapping[str, str], previous: Config | None = None) -> Config:
    """Read the platform's configuration, and the operators' file if the environment names one.

    `previous` is the configuration that a reload replaces. Raises `ConfigError` if one of the two is invalid
    or if they contradict each other; the caller then applies neither.
    """
    config = load_platform_config(env, previous)
    operators_path = env.get("RELAY_OPERATORS")
    return add_operators_file(config, operators_path) if operators_path else config


def add_operators_file(config: Config, path: str) -> Config:
    """Return the configuration with the operators' file applied. Raises as `load_config`."""
    # Imported here: a relay without an operators' file does not load the code for one.
    from gannetweir.config.operators_file import load_operators_file
    from gannetweir.routing.route_admission import with_routed_classes

    operators_file = load_operators_file(
        path, config.settings, config.limits, endpoint_names=_known_endpoint_names(config)
    )
    return replace(
        config,
        settings=with_routed_classes(config.settings, operators_file.routing_rules),
        routing_rules=operators_file.routing_rules,
        address_rules=operators_file.address_rules,
    )


def _known_endpoint_names(config: Config) -> list[str]:
    entries = config.known_endpoints.get("hosts")
    if not isinstance(entries, list):
        return []
    return [str(entry.get("host")) for entry in entries if isinstance(entry, dict)]
