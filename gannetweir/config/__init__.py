"""What the relay is told: the platform's JSON, and the operators' file, which loads only when named."""

from gannetweir.config.platform import (
    Address,
    Config,
    ConfigError,
    address,
    keys_of,
    load,
    read_settings,
    settings_from,
)

__all__ = [
    "Address",
    "Config",
    "ConfigError",
    "address",
    "keys_of",
    "load",
    "read_settings",
    "settings_from",
]
