"""A new configuration for a running relay, and how a configuration is bounded by this machine."""

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
    """Puts a new configuration into force as a whole, or leaves the old one in force as a whole.

    `reread` returns the configuration as its files have it now; it raises `ConfigError` for one that is bad.
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
        """Read the configuration and put it into force. A bad one is counted, logged and changes nothing."""
        runtime = self.runtime
        old = runtime.config
        try:
            config = within_descriptor_limit(self.reread(old) if self.reread is not None else old)
        except (ValueError, OverflowError) as error:  # `ConfigError` is a `ValueError`
            runtime.engine.counters.add("reload_failures")
            for line in str(error).splitlines():
                runtime.log(f"reload: {line}; the old configuration stays")
            return
        in_force = replace(
            config, name=old.name, listen_address=old.listen_address, admin_address=old.admin_address
        )
        if in_force != config:
            runtime.log("reload: another name, listen or admin address needs a restart; they stay")
        self._apply(in_force)
        if config.discovery_address != old.discovery_address:
            self.endpoint_watch.change_discovery()
        discovery = config.discovery_address
        runtime.log(f"reload: done, discovery at {discovery.host}:{discovery.port}")

    def _apply(self, config: Config) -> None:
        engine = self.runtime.engine
        self.runtime.apply_config(config)
        # a client whose first line is still to come is read by the new classes
        self.clients.class_index_by_name = class_indexes(config.settings)
        admission = make_route_admission(config, engine.route_admission)
        self.runtime.run_engine_call(
            lambda now_us: engine.reload(
                config.settings, config.limits, now_us, admission, config.address_rules
            )
        )


def make_route_admission(config: Config, current: RouteAdmission | None) -> RouteAdmission | None:
    """The admission of the operators' routes, None without an operators' file. One that exists takes the new
    rules and goes on: what it has counted still counts.
    """
    if config.routing_rules is None:
        return None
    from gannetweir.routing.route_admission import RouteAdmission  # only where it is switched on

    if current is None:
        return RouteAdmission(config.routing_rules, config.settings)
    current.apply(config.routing_rules, config.settings)
    return current


def within_descriptor_limit(config: Config) -> Config:
    """The same configuration, bounded by the descriptors that this process may have: what is reserved for the
    watch and the probes must not lie beyond them.
    """
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if allowed == resource.RLIM_INFINITY or allowed >= config.limits.sockets:
        return config
    return replace(config, limits=replace(config.limits, sockets=allowed))
