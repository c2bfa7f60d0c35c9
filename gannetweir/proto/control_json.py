"""Typed access to the JSON objects of the control protocol.

Each function returns a value of the expected type, or raises `EndpointListError`; a missing field raises
`KeyError`. The readers of the protocol therefore pass on only checked values. The functions have no state.
"""

from __future__ import annotations

from collections.abc import Mapping

from gannetweir.control.versions import MAX_NUMBER
from gannetweir.proto.endpoint_watch import EndpointListError


def json_object(value: object, name: str) -> dict[str, object]:
    """Return a JSON object's fields by their keys."""
    if not isinstance(value, dict):
        raise EndpointListError(f"{name}: expected an object, got {type(value).__name__}")
    return value


def json_list(value: object, name: str) -> list[object]:
    """Return a JSON array's values."""
    if not isinstance(value, list):
        raise EndpointListError(f"{name}: expected a list, got {type(value).__name__}")
    return value


def integer_field(fields: Mapping[str, object], name: str) -> int:
    """Return a field with an integer from 0 to `MAX_NUMBER`."""
    value = fields[name]
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= MAX_NUMBER:
        raise EndpointListError(
            f"{name}: expected an integer from 0 to {MAX_NUMBER}, "
            f"got {value if isinstance(value, int) else type(value).__name__}"
        )
    return value


def string_field(fields: Mapping[str, object], name: str) -> str:
    """Return a field with a string."""
    value = fields[name]
    if not isinstance(value, str):
        raise EndpointListError(f"{name}: expected a string, got {type(value).__name__}")
    return value


def string_list_field(fields: Mapping[str, object], name: str) -> tuple[str, ...]:
    """Return a field with an array of strings."""
    return tuple(_string_item(value, name) for value in json_list(fields[name], name))


def _string_item(value: object, name: str) -> str:
    if not isinstance(value, str):
        raise EndpointListError(f"{name}: expected a list of strings, got {type(value).__name__} in it")
    return value
