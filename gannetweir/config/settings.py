"""The settings object of a relay and of the simulator's wire: its keys, their types and their bounds.

Keys that are not in the tables are skipped; a missing key leaves the default of its field.
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
    """Whether a JSON value is a whole number; JSON's true and false are none."""
    return isinstance(value, int) and not isinstance(value, bool)


def is_number(value: object) -> bool:
    """Whether a JSON value is a number."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def is_text(value: object) -> bool:
    """Whether a JSON value is a string."""
    return isinstance(value, str)


def is_flag(value: object) -> bool:
    """Whether a JSON value is true or false."""
    return isinstance(value, bool)


def is_object(value: object) -> bool:
    """Whether a JSON value is an object."""
    return isinstance(value, dict)


def list_of(is_item: TypeCheck) -> TypeCheck:
    """Return the check of a list all of whose items pass `is_item`."""

    def is_list(value: object) -> bool:
        return isinstance(value, list) and all(is_item(item) for item in value)

    return is_list


class SettingKey:
    """Where a setting stands in the JSON (names joined by dots), and the check of the type it has there.

    A plain class: every start makes these, and a dataclass would cost more than all of them.
    """

    __slots__ = ("has_type", "path")

    def __init__(self, path: str, has_type: TypeCheck) -> None:
        self.path = path
        self.has_type = has_type


# By the field of `Settings` that takes the value.
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
# By the field of `RequestClass`.
REQUEST_CLASS_KEYS: dict[str, SettingKey] = {
    "name": SettingKey("name", is_text),
    "latency_objective_us": SettingKey("aim-us", is_number),
    "deadline_us": SettingKey("hard-limit-us", is_number),
    "priority_weight": SettingKey("importance", is_number),
    "idempotency": SettingKey("idempotency", is_text),
    "idempotency_scope": SettingKey("dedup-scope", is_text),
    "idempotency_window_us": SettingKey("window-us", is_number),
}
_CLASSES_KEY = SettingKey("categories", list_of(is_object))
_ENDPOINT_LIST_MODE_KEY = SettingKey("registry-mode", is_text)


def read_value(data: object, key: SettingKey) -> object:
    """Return the value of a key, checked to be of its type; None where it or its parent is missing.

    Raises `SettingError` for a value of another type and for a parent that is no object.
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
    """Return the values that `data` has for the fields of a table, by field. Raises `SettingError`."""
    values = {field: read_value(data, key) for field, key in keys.items()}
    return {field: value for field, value in values.items() if value is not None}


def parse_settings(data: object) -> Settings:
    """Return the settings that a JSON value states, types checked, bounds not. Raises `SettingError`."""
    classes = read_value(data, _CLASSES_KEY)
    if not isinstance(classes, list) or not classes:
        raise SettingError(_CLASSES_KEY.path, "missing")
    fields = read_fields(SETTINGS_KEYS, data)
    if fields.get("poll_interval_us") == 0:
        # 0 states no interval; it does not ask for polls without a pause
        del fields["poll_interval_us"]
    request_classes = [RequestClass(**read_fields(REQUEST_CLASS_KEYS, entry)) for entry in classes]
    mode = read_value(data, _ENDPOINT_LIST_MODE_KEY)
    return Settings(
        classes=request_classes, polls_endpoint_list=mode is not None and mode != "pushed", **fields
    )


def parse_settings_json(text: bytes) -> Settings:
    """Return the settings in JSON text, as the simulator's wire carries them. Raises `ConfigError`."""
    try:
        data = orjson.loads(text)
    except ValueError as error:
        raise ConfigError(f"settings are not JSON: {error}") from error
    return parse_settings(data)


def validate_settings(settings: Settings) -> None:
    """Check the bounds of settings.

    Raises `SettingError` for a value that would leave every request without an answer, for one that no fleet
    can have, and for two classes of one name.
    """
    if not 0 <= settings.slow_start_min_share <= 1:
        raise SettingError("contract.cold-from", f"{settings.slow_start_min_share} is no share of 1")
    _check_not_negative("contract.ask-within-us", settings.poll_interval_us)
    _check_not_negative("contract.fall-multiple", settings.overload_multiple)
    for setting, value in dict(_positive_settings(settings)).items():
        if not (math.isfinite(value) and value > 0):
            raise SettingError(setting, f"{value} is not over 0")
    names = {request_class.name for request_class in settings.classes}
    if len(names) < len(settings.classes):
        raise SettingError(_CLASSES_KEY.path, "two of one name")


def _check_not_negative(setting: str, value: float) -> None:
    # 0 is what an installation may state that has no such rule
    if not value >= 0:
        raise SettingError(setting, f"{value} is under 0")


def _positive_settings(settings: Settings) -> Iterator[tuple[str, float]]:
    yield "limits.max-attempts", settings.max_attempts
    yield "limits.connect-timeout-us", settings.connect_timeout_us
    yield "fleet-size", settings.relay_count
    for request_class in settings.classes:
        yield f"{request_class.name}: hard-limit-us", request_class.deadline_us
        yield f"{request_class.name}: aim-us", request_class.latency_objective_us
