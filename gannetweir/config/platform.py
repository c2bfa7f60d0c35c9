"""What the platform tells a relay: the environment and the JSON file that it names."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson

from gannetweir.config.errors import ConfigError
from gannetweir.config.files import read_bytes
from gannetweir.config.settings import parse_settings, read_fields, validate_settings
from gannetweir.limits import Limits
from gannetweir.placement.settings import Settings

if TYPE_CHECKING:  # a relay without an operators' file does without the code for one
    from gannetweir.addresses.rules import AddressRules
    from gannetweir.routing.rules import RoutingRules


@dataclass(frozen=True, slots=True)
class SocketAddress:
    """Where to listen or to connect; there is no DNS, so the host is a number."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Config:
    """All that a real relay is told, checked."""

    name: str
    listen_address: SocketAddress
    discovery_address: SocketAddress
    seed: int
    settings: Settings
    limits: Limits
    known_endpoints: dict[str, Any]
    admin_address: SocketAddress | None = None  # the operators' door
    inherited_listener_fd: int | None = None  # descriptor of a clients' listener that the platform holds
    shared_folder: Path | None = None  # the folder that all processes of this relay share
    named_keys: frozenset[str] = frozenset()  # all that the file named
    routing_rules: RoutingRules | None = None  # the operators' file; its routes stand in `settings`, too
    address_rules: AddressRules | None = None  # and what it says of servers' addresses


def parse_socket_address(literal: Any, source: str) -> SocketAddress:
    """`HOST:PORT`."""
    host, _, port = str(literal).rpartition(":")
    # isdecimal alone admits other scripts' digits, which no peer sends
    if not host or not port.isascii() or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{source}: {literal!r} is not HOST:PORT")
    return SocketAddress(host, int(port))


def parse_limits(data: Any, settings: Settings) -> Limits:
    """The limits of a machine as the platform's `limits` tell them; None tells nothing."""
    data = {} if data is None else data
    given = read_fields({"sockets": ("sockets", int), "memory_mb": ("memory_mb", int)}, data)
    for name, value in given.items():
        if value <= 0:  # less than a relay is known to need is tried all the same: not to start serves nobody
            raise ConfigError(f"setting limits.{name}: {value} is not over 0")
    # buffers must fit the memory: half of it, over both directions of each connection
    limits = Limits(**given, connect_us=int(settings.connect_timeout_us))
    # no longer than the platform allows as advice; where it allows none, none is given
    advice = settings.max_retry_after_us if settings.sends_retry_after else 0
    limits = replace(limits, reject_retry_us=int(max(0, min(limits.reject_retry_us, advice))))
    room = limits.memory_mb * (1 << 19) // limits.sockets
    limits = replace(limits, buffer_bytes=max(4096, min(limits.buffer_bytes, room)))
    return limits.within(max(c.deadline_us for c in settings.classes))


def _given(data: dict[str, Any], name: str) -> Any:
    """A part that may be missing; an empty list in its place is a mistake all the same."""
    value = data.get(name)
    return {} if value is None else value


def _descriptor(text: str | None) -> int | None:
    if not text:
        return None
    if not text.isascii() or not text.isdecimal():
        raise ConfigError(f"RELAY_INHERITED_FD: {text!r} is no descriptor")
    return int(text)


def read_json_object(path: str, what: str) -> dict[str, Any]:
    """The JSON object in a file; `ConfigError` names `what` it is."""
    try:
        data = orjson.loads(read_bytes(path))
    except OSError as error:
        raise ConfigError(f"{what}: {error.strerror}: {path}") from None
    except ValueError as error:
        raise ConfigError(f"{what}: not JSON: {error}") from None
    if not isinstance(data, dict):
        raise ConfigError(f"{what}: not a JSON object")
    return data


def key_paths(data: Any, path: str = "") -> set[str]:
    """Every key of a configuration, by its path; of a list of objects those that each of them has."""
    if isinstance(data, dict):
        if path == ".known":
            return {path}  # the list itself changes all the time, and may be of thousands
        return {path} | {key for name, value in data.items() for key in key_paths(value, f"{path}.{name}")}
    if isinstance(data, list) and data and all(isinstance(entry, dict) for entry in data):
        return {path} | set[str].intersection(*(key_paths(entry, path + "[]") for entry in data))
    return set() if data is None else {path}


def load_platform_config(env: Mapping[str, str], previous: Config | None = None) -> Config:
    """Read the environment and the file that it names; `ConfigError` for what is wrong. At a reload, with a
    configuration that stands, the file goes before the environment, which is still the start's and would hide
    what the new file says. And it must name all that the standing one named: what it lacks would silently
    become a default.
    """
    path = env.get("RELAY_CONFIG", "")
    if not path:
        raise ConfigError("RELAY_CONFIG: not set")
    data = read_json_object(path, "RELAY_CONFIG")
    names = ("name", "listen", "discovery")
    sources = [{name: env.get("RELAY_" + name.upper()) for name in names}, data]
    keys = frozenset(key_paths(data))
    if previous is not None and (missing := previous.named_keys - keys):
        raise ConfigError(f"missing: {', '.join(sorted(key[1:] for key in missing)[:5])}")
    first, second = reversed(sources) if previous is not None else sources
    told = {name: first.get(name) or second.get(name) for name in names}
    for name, value in told.items():
        if not value:
            raise ConfigError(f"RELAY_{name.upper()}: not set, nor {name} in the file")
    try:
        seed = int(str(data.get("seed", "0")), 16) & ((1 << 64) - 1)
    except ValueError:
        raise ConfigError(f"seed: {data['seed']!r} is not hexadecimal") from None
    settings = parse_settings(data.get("settings"))
    validate_settings(settings)
    known = _given(data, "known")
    door = env.get("RELAY_ADMIN_ADDR") or data.get("admin_addr")
    folder = env.get("TMPDIR")
    if not isinstance(known, dict):
        raise ConfigError("known: not an object")
    return Config(
        name=str(told["name"]),
        listen_address=parse_socket_address(told["listen"], "RELAY_LISTEN"),
        discovery_address=parse_socket_address(told["discovery"], "RELAY_DISCOVERY"),
        seed=seed,
        settings=settings,
        limits=parse_limits(_given(data, "limits"), settings),
        known_endpoints=known,
        named_keys=keys,
        admin_address=parse_socket_address(door, "RELAY_ADMIN_ADDR") if door else None,
        inherited_listener_fd=_descriptor(env.get("RELAY_INHERITED_FD")),
        shared_folder=Path(folder) if folder else None,
    )
