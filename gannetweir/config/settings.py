"""The settings object in a relay's configuration and on the simulator's wire: keys, types and bounds.

Keys that are not in the tables are ignored; a missing key takes the default of its field.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import orjson

from gannetweir.config.errors import ConfigError, SettingError
from gannetweir.placement.settings import RequestClass, Settings

TypeCheck = Callable[[object], bool]


def is_integer(value: object) -> bool:
    """Return whether a JSON value is an integer; true and false are not."""
    return isinstance(value, int) and not isinstance(value, bool)


def is_number(value: object) -> bool:
    """Return whether a JSON value is a number; true and false are not."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def is_text(value: object) -> bool:
    """Return whether a JSON value is a string."""
    return isinstance(value, str)


def is_flag(value: object) -> bool:
    """Return whether a JSON value is true or false."""
    return isinstance(value, bool)


def is_object(value: object) -> bool:
    """Return whether a JSON value is an object."""
    return isinstance(value, dict)


def list_of(is_item: TypeCheck) -> TypeCheck:
    """Return the check that a value is a list whose items all pass `is_item`."""

    def is_list(value: object) -> bool:
        return isinstance(value, list) and all(is_item(item) for item in value)

    return is_list


class SettingKey:
    """The path of a setting in the JSON (names joined by dots), and the check of its type.

    A plain class: every start creates these objects, and defining a dataclass costs more than creating them.
    """

    __slots__ = ("has_type", "path")

    def __init__(self, path: str, has_type: TypeCheck) -> None:
        self.path = path
        self.has_type = has_type


# Each key, by the field of `Settings` that takes its value.
SETTINGS_KEYS: dict[str, SettingKey] = {
    "relay_count": SettingKey("fleet-size", is_integer),
    "zone": SettingKey("zone", is_integer),
    "zone_names": SettingKey("zones", list_of(is_text)),
    "machine_types": SettingKey("kinds", list_of(is_text)),
    "poll_interval_us": SettingKey("contract.ask-within-us", is_number),
    "slow_start_min_share": SettingKey("contract.cold-from", is_number),
    "slow_start_window_us": SettingKey("contract.warm-within-us", is_number),
    "overload_multiple": SettingKey("contract.fall-multiple", is_number),
    "load_report_fields": SettingKey("reporting.names", list_of(is_text)),
    "load_report_source": SettingKey("reporting.source", is_text),
    "load_probes_enabled": SettingKey("limits.probes", is_flag),
    "max_attempts": SettingKey("limits.max-attempts", is_integer),
    "connect_timeout_us": SettingKey("limits.connect-timeout-us", is_number),
    "max_retry_after_us": SettingKey("limits.max-retry-after-us", is_number),
    "sends_retry_after": SettingKey("limits.retry-after", is_flag),
    "message_latency_objectives_us": SettingKey("family-info.message-aim-us", list_of(is_number)),
    "groups_enabled": SettingKey("family-info.groups", is_flag),
    "reports_connection_load": SettingKey("family-info.tells-load", is_flag),
    "reports_message_delay": SettingKey("family-info.tells-delay", is_flag),
    "cross_zone_cost": SettingKey("fees.cross-zone", is_number),
    "allows_hedged_requests": SettingKey("limits.may-duplicate", is_flag),
    "clients_mark_retries": SettingKey("client-habits.marks-retry", is_flag),
}
# Each key of a class, by the field of `RequestClass` that takes its value.
REQUEST_CLASS_KEYS: dict[str, SettingKey] = {
    "name": SettingKey("name", is_text),
    "latency_objective_us": SettingKey("aim-us", is_number),
    "deadline_us": SettingKey("hard-limit-us", is_number),
    "priority_weight": SettingKey("importance", is_number),
    "idempotency": SettingKey("idempotency", is_text),
    "idempotency_scope": SettingKey("dedup-scope", is_text),
    "idempotency_window_us": SettingKey("window-us", is_number),
}
CLASSES_KEY = SettingKey("categories", list_of(is_object))
ENDPOINT_LIST_MODE_KEY = SettingKey("registry-mode", is_text)


def read_value(data: object, key: SettingKey) -> object:
    """Return the value of a key after a check of its type; None if the key or its parent is missing.

    Raises `SettingError` for a value of another type and for a parent that is not an object.
    """
    value = data
    for name in key.path.split("."):
        if not isinstance(value, dict):
            raise SettingError(key.path, "its parent is not an object")
        value = value.get(name)
        if value is None:
            return None
    if not key.has_type(value):
        raise SettingError(key.path, f"ill-typed value {value!r}")
    return value


def read_fields(keys: Mapping[str, SettingKey], data: object) -> dict[str, Any]:
    """Return the values in `data` for the fields of a table, by field. Raises `SettingError`."""
    values = {field: read_value(data, key) for field, key in keys.items()}
    return {field: value for field, value in values.items() if value is not None}


def parse_settings(data: object) -> Settings:
    """Return the settings in a JSON value. Checks types but not bounds. Raises `SettingError`."""
    classes = read_value(data, CLASSES_KEY)
    if not isinstance(classes, list) or not classes:
        raise SettingError(CLASSES_KEY.path, "missing or empty, expected a list of at least one class")
    fields = read_fields(SETTINGS_KEYS, data)
    if fields.get("poll_interval_us") == 0:
        # 0 means that no interval is stated, not that polls follow without a pause.
        del fields["poll_interval_us"]
    request_classes = [RequestClass(**read_fields(REQUEST_CLASS_KEYS, entry)) for entry in classes]
    mode = read_value(data, ENDPOINT_LIST_MODE_KEY)
    return Settings(
        classes=request_classes, polls_endpoint_list=mode is not None and mode != "pushed", **fields
    )


def parse_settings_json(text: bytes) -> Settings:
    """Return the settings in a JSON text, as sent on the simulator's wire. Raises `ConfigError`."""
    try:
        data = orjson.loads(text)
    except ValueError as error:
        raise ConfigError(f"settings are not JSON: {error}") from error
    return parse_settings(data)


def validate_settings(settings: Settings) -> None:
    """Check the bounds of settings.

    Raises `SettingError` for a value that would leave every request without an answer, for a value that is
    impossible for a fleet, and for two classes with the same name.
    """
    if not 0 <= settings.slow_start_min_share <= 1:
        raise SettingError("contract.cold-from", f"{settings.slow_start_min_share} is not from 0 to 1")
    _check_not_negative("contract.ask-within-us", settings.poll_interval_us)
    _check_not_negative("contract.fall-multiple", settings.overload_multiple)
    for setting, value in dict(_positive_settings(settings)).items():
        if not (math.isfinite(value) and value > 0):
            raise SettingError(setting, f"{value} is not over 0")
    names = {request_class.name for request_class in settings.classes}
    if len(names) < len(settings.classes):
        raise SettingError(CLASSES_KEY.path, "two classes of one name, expected a unique name for each")


def _check_not_negative(setting: str, value: float) -> None:
    # 0 is valid: a platform without this bound may state 0.
    if not value >= 0:
        raise SettingError(setting, f"{value} is under 0")


def _positive_settings(settings: Settings) -> Iterator[tuple[str, float]]:
    yield "limits.max-attempts", settings.max_attempts
    yield "limits.connect-timeout-us", settings.connect_timeout_us
    yield "fleet-size", settings.relay_count
    for request_class in settings.classes:
        yield f"{request_class.name}: hard-limit-us", request_class.deadline_us
        yield f"{request_class.name}: aim-us", request_class.latency_objective_us
