"""A relay's configuration: the platform's JSON, and the operators' file, loaded only if one is named."""

from gannetweir.config.errors import ConfigError
from gannetweir.config.loader import load_config
from gannetweir.config.platform import Config, SocketAddress, parse_socket_address
from gannetweir.config.settings import parse_settings, parse_settings_json

__all__ = [
    "Config",
    "ConfigError",
    "SocketAddress",
    "load_config",
    "parse_settings",
    "parse_settings_json",
    "parse_socket_address",
]
