"""What the relay is told: the platform's JSON, and the operators' file, which loads only when named."""

from gannetweir.config.errors import ConfigError
from gannetweir.config.loader import load
from gannetweir.config.platform import Config, SocketAddress, address, keys_of
from gannetweir.config.settings import read_settings, settings_from

__all__ = [
    "Config",
    "ConfigError",
    "SocketAddress",
    "address",
    "keys_of",
    "load",
    "read_settings",
    "settings_from",
]
