"""The settings object of a relay and of the simulator's wire: its types and its bounds."""

from __future__ import annotations

import math
from typing import Any

import orjson

from gannetweir.config.errors import ConfigError
from gannetweir.placement.settings import RequestClass, Settings

_MISSING: Any = object()
_NUMBER = (int, float)
# field of Settings: path on the wire, accepted types
SETTINGS_KEYS: dict[str, tuple[str, Any]] = {
    "relay_count": ("fleet-size", int),
    "zone": ("zone", int),
    "zone_names": ("zones", [str]),
    "machine_types": ("kinds", [str]),
    "poll_interval_us": ("contract.ask-within-us", _NUMBER),
    "slow_start_min_share": ("contract.cold-from", _NUMBER),
    "slow_start_window_us": ("contract.warm-within-us", _NUMBER),
    "overload_multiple": ("contract.fall-multiple", _NUMBER),
    "load_report_fields": ("reporting.names", [str]),
    "load_report_source": ("reporting.source", str),
    "load_probes_enabled": ("limits.probes", bool),
    "max_attempts": ("limits.max-attempts", int),
    "connect_timeout_us": ("limits.connect-timeout-us", _NUMBER),
    "max_retry_after_us": ("limits.max-retry-after-us", _NUMBER),
    "sends_retry_after": ("limits.retry-after", bool),
    "message_latency_objectives_us": ("family-info.message-aim-us", [_NUMBER]),
    "groups_enabled": ("family-info.groups", bool),
    "reports_connection_load": ("family-info.tells-load", bool),
    "reports_message_delay": ("family-info.tells-delay", bool),
    "cross_zone_cost": ("fees.cross-zone", _NUMBER),
    "allows_hedged_requests": ("limits.may-duplicate", bool),
    "clients_mark_retries": ("client-habits.marks-retry", bool),
}
REQUEST_CLASS_KEYS: dict[str, tuple[str, Any]] = {
    "name": ("name", str),
    "latency_objective_us": ("aim-us", _NUMBER),
    "deadline_us": ("hard-limit-us", _NUMBER),
    "priority_weight": ("importance", _NUMBER),
    "idempotency": ("idempotency", str),
    "idempotency_scope": ("dedup-scope", str),
    "idempotency_window_us": ("window-us", _NUMBER),
}


def _fits(value: Any, kind: Any) -> bool:
    if isinstance(kind, list):
        return isinstance(value, list) and all(_fits(v, kind[0]) for v in value)
    return isinstance(value, kind) and (kind is bool or not isinstance(value, bool))


def _read(data: Any, path: str, kind: Any) -> Any:
    for name in path.split("."):
        if not isinstance(data, dict):
            raise ConfigError(f"setting {path}: its parent is not an object")
        data = data.get(name)
        if data is None:
            return _MISSING
    if not _fits(data, kind):
        raise ConfigError(f"setting {path}: ill-typed value {data!r}")
    return data


def read_fields(table: dict[str, tuple[str, Any]], data: Any) -> dict[str, Any]:
    """The values that `data` has for the fields of `table`; `ConfigError` for one of a wrong type."""
    found = {name: _read(data, path, kind) for name, (path, kind) in table.items()}
    return {name: value for name, value in found.items() if value is not _MISSING}


def validate_settings(settings: Settings) -> None:
    """What would leave every request without an answer, what no fleet can have, or two classes without a name
    of their own.
    """
    over_0: dict[str, float] = {
        "limits.max-attempts": settings.max_attempts,
        "limits.connect-timeout-us": settings.connect_timeout_us,
        "fleet-size": settings.relay_count,
    }
    if not 0 <= settings.slow_start_min_share <= 1:
        raise ConfigError(f"setting contract.cold-from: {settings.slow_start_min_share} is no share of 1")
    for name, value in (
        ("ask-within-us", settings.poll_interval_us),
        ("fall-multiple", settings.overload_multiple),
    ):
        if not value >= 0:  # 0 is what an installation may say that has no such rule
            raise ConfigError(f"setting contract.{name}: {value} is under 0")
    for c in settings.classes:
        over_0 |= {f"{c.name}: hard-limit-us": c.deadline_us, f"{c.name}: aim-us": c.latency_objective_us}
    for name, value in over_0.items():
        if not (math.isfinite(value) and value > 0):
            raise ConfigError(f"setting {name}: {value} is not over 0")
    if len({c.name for c in settings.classes}) < len(settings.classes):
        raise ConfigError("setting categories: two of one name")


def parse_settings(data: Any) -> Settings:
    """The settings of one instance; unknown keys are skipped, missing ones keep their default."""
    classes = _read(data, "categories", [dict])
    if classes is _MISSING or not classes:
        raise ConfigError("setting categories: missing")
    found = read_fields(SETTINGS_KEYS, data)
    if (
        found.get("poll_interval_us") == 0
    ):  # nothing is stated: not that the list be asked for without a pause
        del found["poll_interval_us"]
    settings = Settings(
        classes=[RequestClass(**read_fields(REQUEST_CLASS_KEYS, c)) for c in classes], **found
    )
    asked = _read(data, "registry-mode", str)
    settings.polls_endpoint_list = asked is not _MISSING and asked != "pushed"
    return settings


def parse_settings_json(text: bytes) -> Settings:
    """The same from JSON text, as the simulator's wire carries it."""
    try:
        data = orjson.loads(text)
    except ValueError as error:
        raise ConfigError(f"settings are not JSON: {error}") from None
    return parse_settings(data)
