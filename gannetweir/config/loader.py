"""A relay's whole configuration: the platform's and, if one is named, the operators' file, read together."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from gannetweir.config.platform import Config, load_platform_config


def load_config(env: Mapping[str, str], previous: Config | None = None) -> Config:
    """Read the platform's configuration, and the operators' file if the environment names one: both are right
    together, or it is a `ConfigError` and nothing of either is taken. `standing` is the one that a reload
    replaces.
    """
    config = load_platform_config(env, previous)
    operators = env.get("RELAY_OPERATORS")
    return add_operators_file(config, operators) if operators else config


def add_operators_file(config: Config, path: str) -> Config:
    """A configuration with the operators' file laid over it: both are right together, or an error."""
    # Only where it is switched on: a relay without an operators' file does without the code for one.
    from gannetweir.config.operators_file import load_operators_file
    from gannetweir.routing.route_admission import with_routed_classes

    told = config.known_endpoints.get("hosts")
    entries = told if isinstance(told, list) else []
    hosts = [str(host.get("host")) for host in entries if isinstance(host, dict)]
    rules, reach = load_operators_file(path, config.settings, config.limits, endpoint_names=hosts)
    return replace(
        config, settings=with_routed_classes(config.settings, rules), routing_rules=rules, address_rules=reach
    )
