"""A relay's whole configuration: the platform's and, if one is named, the operators' file, read together."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from gannetweir.config.platform import Config, load_platform_config


def load_config(env: Mapping[str, str], previous: Config | None = None) -> Config:
    """Read the platform's configuration, and the operators' file if the environment names one.

    `previous` is the configuration that a reload replaces. Raises `ConfigError` if either of the two is
    wrong, or both are not right together; then neither is to be applied.
    """
    config = load_platform_config(env, previous)
    operators_path = env.get("RELAY_OPERATORS")
    return add_operators_file(config, operators_path) if operators_path else config


def add_operators_file(config: Config, path: str) -> Config:
    """Return the configuration with the operators' file applied. Raises `ConfigError`, as `load_config`."""
    # Only where it is switched on: a relay without an operators' file does without the code for one.
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
