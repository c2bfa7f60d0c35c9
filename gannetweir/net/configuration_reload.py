"""Reload of the configuration in a running relay, and its adjustment to the limits of the machine."""

from __future__ import annotations

import resource
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from gannetweir.config import Config
from gannetweir.net.client_registry import ClientRegistry, class_indexes
from gannetweir.net.endpoint_watch import EndpointWatchDriver
from gannetweir.net.runtime import RelayRuntime

if TYPE_CHECKING:
    from gannetweir.routing.route_admission import RouteAdmission


class ConfigurationReload:
    """Replaces the active configuration completely, or keeps the old one completely if the new one is
    invalid.

    `reread` reads the configuration from its files. It raises `ConfigError` for an invalid configuration.
    """

    def __init__(
        self,
        runtime: RelayRuntime,
        clients: ClientRegistry,
        endpoint_watch: EndpointWatchDriver,
        reread: Callable[[Config], Config] | None,
    ) -> None:
        self.runtime, self.clients, self.endpoint_watch = runtime, clients, endpoint_watch
        self.reread = reread

    def reload(self) -> None:
        """Read the configuration and activate it. An invalid one is counted, logged and ignored."""
        runtime = self.runtime
        old = runtime.config
        try:
            reread = self.reread(old) if self.reread is not None else old
            config = within_memory_limit(within_descriptor_limit(reread), old.limits.process_bytes)
        except (ValueError, OverflowError) as error:  # `ConfigError` is a `ValueError`
            runtime.engine.counters.add("reload_failures")
            for line in str(error).splitlines():
                runtime.log(f"reload: {line}; the old configuration stays")
            return
        in_force = replace(
            config, name=old.name, listen_address=old.listen_address, admin_address=old.admin_address
        )
        if in_force != config:
            runtime.log("reload: changes of name, listen address and admin address need a restart; ignored")
        self._apply(in_force)
        if config.discovery_address != old.discovery_address:
            self.endpoint_watch.change_discovery()
        discovery = config.discovery_address
        runtime.log(f"reload: done, discovery at {discovery.host}:{discovery.port}")

    def _apply(self, config: Config) -> None:
        engine = self.runtime.engine
        self.runtime.apply_config(config)
        # First lines that arrive from now on are parsed with the new request classes.
        self.clients.class_index_by_name = class_indexes(config.settings)
        admission = make_route_admission(config, engine.route_admission)
        self.runtime.run_engine_call(
            lambda now_us: engine.reload(
                config.settings, config.limits, now_us, admission, config.address_rules
            )
        )


def make_route_admission(config: Config, current: RouteAdmission | None) -> RouteAdmission | None:
    """Return the admission of the operators' routes, or None without an operators' file.

    An existing admission gets the new rules and keeps its counters.
    """
    if config.routing_rules is None:
        return None
    from gannetweir.routing.route_admission import RouteAdmission  # loaded only with an operators' file

    if current is None:
        return RouteAdmission(config.routing_rules, config.settings)
    current.apply(config.routing_rules, config.settings)
    return current


def within_descriptor_limit(config: Config) -> Config:
    """Return the configuration with `Limits.sockets` reduced to the descriptor limit of this process.

    Otherwise the descriptors reserved for the watch and the load probes could lie beyond that limit.
    """
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if allowed == resource.RLIM_INFINITY or allowed >= config.limits.sockets:
        return config
    return replace(config, limits=replace(config.limits, sockets=allowed))


def within_memory_limit(config: Config, process_bytes: int) -> Config:
    """Return the configuration with the limits for a process that takes this memory without clients."""
    return replace(config, limits=config.limits.for_process(process_bytes))
