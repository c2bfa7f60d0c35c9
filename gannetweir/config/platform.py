"""The platform's configuration of a relay: the environment and the JSON file that it names."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson

from gannetweir.config.errors import ConfigError, SettingError
from gannetweir.config.files import read_bytes
from gannetweir.config.key_presence import KeyPresence, presence_of_keys, presence_of_settings
from gannetweir.config.settings import (
    SettingKey,
    is_integer,
    parse_settings,
    read_fields,
    validate_settings,
)
from gannetweir.limits import Limits
from gannetweir.placement.settings import Settings

if TYPE_CHECKING:  # a relay without an operators' file does not import the code for one
    from gannetweir.addresses.rules import AddressRules
    from gannetweir.routing.rules import RoutingRules

MAX_PORT = 65535
SEED_MASK = (1 << 64) - 1
MAX_MISSING_KEYS_SHOWN = 5
_IDENTITY_KEYS = ("name", "listen", "discovery")  # keys in the file, or RELAY_NAME etc. in the environment
_MACHINE_KEYS = {
    "sockets": SettingKey("sockets", is_integer),
    "memory_mb": SettingKey("memory_mb", is_integer),
}
# Keys beside the settings that a reload puts into force; names and other addresses need a restart.
_RELOADED_PLATFORM_KEYS = ("discovery", *(f"limits.{name}" for name in _MACHINE_KEYS))


@dataclass(frozen=True, slots=True)
class SocketAddress:
    """An address to listen on or to connect to. The host is an IP address, since there is no DNS."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Config:
    """The complete configuration of a relay, checked."""

    name: str
    listen_address: SocketAddress
    discovery_address: SocketAddress
    seed: int
    settings: Settings
    limits: Limits
    known_endpoints: dict[str, Any]  # endpoint list for the start, in discovery's JSON form
    admin_address: SocketAddress | None = None
    inherited_listener_fd: int | None = None  # descriptor of a client listener that the platform holds
    shared_folder: Path | None = None  # shared by all processes of this relay
    key_presence: KeyPresence = field(default_factory=KeyPresence)  # of the file
    # Rules of the operators' file; `settings` has the routes applied.
    routing_rules: RoutingRules | None = None
    address_rules: AddressRules | None = None  # rules of the operators' file


def parse_socket_address(literal: object, source: str) -> SocketAddress:
    """Return the address in a `HOST:PORT` literal. Raises `ConfigError`, which names the `source`."""
    host, _, port = str(literal).rpartition(":")
    # `isdecimal` alone also accepts digits of other scripts, which no peer sends.
    if not host or not port.isascii() or not port.isdecimal() or int(port) > MAX_PORT:
        raise ConfigError(f"{source}: {literal!r} is not HOST:PORT")
    return SocketAddress(host, int(port))


def parse_limits(data: object, settings: Settings) -> Limits:
    """Return the limits that follow from the machine's size (`data`, may be None) and from the settings.

    Raises `SettingError` for a size that is not an integer over 0.
    """
    machine = read_fields(_MACHINE_KEYS, {} if data is None else data)
    for name, value in machine.items():
        # Sizes below a relay's known needs are accepted: a relay that does not start serves no client.
        if value <= 0:
            raise SettingError(f"limits.{name}", f"{value} is not over 0")
    limits = Limits(**machine, connect_timeout_us=int(settings.connect_timeout_us))
    # Retry-After is at most what the platform allows; if it allows none, none is sent.
    max_retry_after_us = settings.max_retry_after_us if settings.sends_retry_after else 0
    limits = replace(
        limits, rejection_retry_after_us=int(max(0, min(limits.rejection_retry_after_us, max_retry_after_us)))
    )
    longest_deadline_us = max(request_class.deadline_us for request_class in settings.classes)
    return limits.for_process(limits.process_bytes).with_drain_before_kill(longest_deadline_us)


def read_json_object(path: str, source: str) -> dict[str, Any]:
    """Return the JSON object in a file. Raises `ConfigError`, which names the `source` of the path."""
    try:
        data = orjson.loads(read_bytes(path))
    except OSError as error:
        raise ConfigError(f"{source}: {error.strerror}: {path}") from error
    except ValueError as error:
        raise ConfigError(f"{source}: not JSON: {error}") from error
    if not isinstance(data, dict):
        raise ConfigError(f"{source}: expected a JSON object, got {type(data).__name__}")
    return data


def load_platform_config(env: Mapping[str, str], previous: Config | None = None) -> Config:
    """Read the environment and the file that it names.

    At a reload, with a `previous` configuration, the file overrides the environment, which is still that of
    the start and would hide changes in the file. The file must also state every key in `key_presence` that
    the previous one stated: a missing key would silently take its default. Raises `ConfigError`.
    """
    path = env.get("RELAY_CONFIG", "")
    if not path:
        raise ConfigError("RELAY_CONFIG: not set, expected the path of a JSON file")
    data = read_json_object(path, "RELAY_CONFIG")
    key_presence = _read_key_presence(data)
    if previous is not None:
        _check_no_key_missing(key_presence.missing_since(previous.key_presence))
    identity = _read_identity(env, data, file_first=previous is not None)
    config = _read_config(env, data, identity)
    return replace(config, key_presence=key_presence)


def _read_config(
    env: Mapping[str, str], data: Mapping[str, object], identity: Mapping[str, object]
) -> Config:
    # Only the first of several mistakes is reported, in the order in which the parts are read here.
    seed = _read_seed(data)
    settings = parse_settings(data.get("settings"))
    validate_settings(settings)
    admin_literal = env.get("RELAY_ADMIN_ADDR") or data.get("admin_addr")
    shared_folder = env.get("TMPDIR")
    return Config(
        name=str(identity["name"]),
        known_endpoints=_read_known_endpoints(data),
        listen_address=parse_socket_address(identity["listen"], "RELAY_LISTEN"),
        discovery_address=parse_socket_address(identity["discovery"], "RELAY_DISCOVERY"),
        seed=seed,
        settings=settings,
        limits=parse_limits(data.get("limits"), settings),
        admin_address=parse_socket_address(admin_literal, "RELAY_ADMIN_ADDR") if admin_literal else None,
        inherited_listener_fd=_parse_descriptor(env.get("RELAY_INHERITED_FD")),
        shared_folder=Path(shared_folder) if shared_folder else None,
    )


def _read_key_presence(data: Mapping[str, object]) -> KeyPresence:
    """Return the presence of the keys that a reload puts into force."""
    platform = presence_of_keys(_RELOADED_PLATFORM_KEYS, data)
    return platform.merged_with(presence_of_settings(data.get("settings"), "settings."))


def _check_no_key_missing(missing_keys: list[str]) -> None:
    if missing_keys:
        raise ConfigError(
            f"missing: {', '.join(missing_keys[:MAX_MISSING_KEYS_SHOWN])}; "
            "expected the keys of the file that was loaded before"
        )


def _read_identity(env: Mapping[str, str], data: Mapping[str, object], file_first: bool) -> dict[str, object]:
    """Return the relay's name and addresses from the environment or the file."""
    identity: dict[str, object] = {}
    for name in _IDENTITY_KEYS:
        in_environment = env.get("RELAY_" + name.upper())
        in_file = data.get(name)
        identity[name] = (in_file or in_environment) if file_first else (in_environment or in_file)
    for name, value in identity.items():
        if not value:
            raise ConfigError(f"RELAY_{name.upper()}: not set, nor {name} in the file")
    return identity


def _read_seed(data: Mapping[str, object]) -> int:
    try:
        return int(str(data.get("seed", "0")), 16) & SEED_MASK
    except ValueError as error:
        raise ConfigError(f"seed: {data['seed']!r} is not hexadecimal") from error


def _read_known_endpoints(data: Mapping[str, object]) -> dict[str, Any]:
    known_endpoints = data.get("known")
    if known_endpoints is None:
        return {}
    if not isinstance(known_endpoints, dict):
        raise ConfigError(f"known: expected an object, got {type(known_endpoints).__name__}")
    return known_endpoints


def _parse_descriptor(text: str | None) -> int | None:
    if not text:
        return None
    if not text.isascii() or not text.isdecimal():
        raise ConfigError(f"RELAY_INHERITED_FD: expected the number of a descriptor, got {text!r}")
    return int(text)
