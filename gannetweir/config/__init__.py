"""What the relay is told: the platform's JSON, and the operators' file, which loads only when named."""

from gannetweir.config.errors import ConfigError
from gannetweir.config.loader import load_config
from gannetweir.config.platform import Config, SocketAddress, key_paths, parse_socket_address
from gannetweir.config.settings import parse_settings, parse_settings_json

__all__ = [
    "Config",
    "ConfigError",
    "SocketAddress",
    "key_paths",
    "load_config",
    "parse_settings",
    "parse_settings_json",
    "parse_socket_address",
]
