"""Typed access to the JSON objects of the control protocol.

Each helper returns one value in its type, or raises `EndpointListError` (`KeyError` where the field is
missing), so that the readers of the protocol pass no unchecked value on. There is no state here.
"""

from __future__ import annotations

from collections.abc import Mapping

from gannetweir.control.versions import MAX_NUMBER
from gannetweir.proto.endpoint_watch import EndpointListError


def json_object(value: object, name: str) -> dict[str, object]:
    """A JSON object's fields by their keys."""
    if not isinstance(value, dict):
        raise EndpointListError(f"{name}: not an object")
    return value


def json_list(value: object, name: str) -> list[object]:
    """A JSON array's values."""
    if not isinstance(value, list):
        raise EndpointListError(f"{name}: not a list")
    return value


def integer_field(fields: Mapping[str, object], name: str) -> int:
    """A whole number from 0 to the largest that every JSON reader represents exactly."""
    value = fields[name]
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= MAX_NUMBER:
        raise EndpointListError(f"{name}: not a number in range")
    return value


def string_field(fields: Mapping[str, object], name: str) -> str:
    """A string."""
    value = fields[name]
    if not isinstance(value, str):
        raise EndpointListError(f"{name}: not a string")
    return value


def string_list_field(fields: Mapping[str, object], name: str) -> tuple[str, ...]:
    """An array of strings."""
    return tuple(_string_item(value, name) for value in json_list(fields[name], name))


def _string_item(value: object, name: str) -> str:
    if not isinstance(value, str):
        raise EndpointListError(f"{name}: not a list of strings")
    return value
