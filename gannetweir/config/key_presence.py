"""Which settings a configuration states, so that a reload can refuse a file in which one of them is missing.

A missing setting would silently fall back to its default. Only keys that a running relay takes from a new
configuration count. All others may come and go: the platform adds keys, and states some only for some
classes.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from gannetweir.config.settings import (
    CLASSES_KEY,
    ENDPOINT_LIST_MODE_KEY,
    REQUEST_CLASS_KEYS,
    SETTINGS_KEYS,
)
from gannetweir.placement.settings import Idempotency

# Fields of `RequestClass` that are used only if the class is idempotent by key.
_BY_KEY_FIELDS = frozenset({"idempotency_scope", "idempotency_window_us"})
_IDEMPOTENCY_PATH = REQUEST_CLASS_KEYS["idempotency"].path


@dataclass(frozen=True, slots=True)
class KeyPresence:
    """The paths of the keys that a configuration states, and of those that it lacks.

    A key of a request class is stated if all classes that use it state it, and lacking if one of them does
    not. A key that no class uses is neither.
    """

    stated: frozenset[str] = frozenset()
    lacking: frozenset[str] = frozenset()

    def missing_since(self, previous: KeyPresence) -> list[str]:
        """Return the paths of the keys that the previous configuration stated and this one lacks, sorted."""
        return sorted(previous.stated & self.lacking)

    def merged_with(self, other: KeyPresence) -> KeyPresence:
        """Return the presence of the keys of both."""
        return KeyPresence(self.stated | other.stated, self.lacking | other.lacking)


def presence_of_keys(paths: Iterable[str], data: object) -> KeyPresence:
    """Return the presence of keys in an object; a path is names joined by dots."""
    return _make_presence((path, _states(data, path)) for path in paths)


def presence_of_settings(data: object, prefix: str = "") -> KeyPresence:
    """Return the presence of all keys that `parse_settings` reads; `prefix` is put before their paths."""
    keys = [*SETTINGS_KEYS.values(), CLASSES_KEY, ENDPOINT_LIST_MODE_KEY]
    in_settings = ((prefix + key.path, _states(data, key.path)) for key in keys)
    classes = data.get(CLASSES_KEY.path) if isinstance(data, Mapping) else None
    in_classes = _class_keys(classes, f"{prefix}{CLASSES_KEY.path}[].") if isinstance(classes, list) else ()
    return _make_presence([*in_settings, *in_classes])


def _class_keys(classes: list[object], prefix: str) -> Iterator[tuple[str, bool]]:
    """Yield the path of each key that some class uses, and whether all of these classes state it."""
    for field, key in REQUEST_CLASS_KEYS.items():
        users = [entry for entry in classes if field not in _BY_KEY_FIELDS or _is_idempotent_by_key(entry)]
        if users:
            yield prefix + key.path, all(_states(entry, key.path) for entry in users)


def _is_idempotent_by_key(entry: object) -> bool:
    return isinstance(entry, Mapping) and entry.get(_IDEMPOTENCY_PATH) == Idempotency.BY_KEY


def _states(data: object, path: str) -> bool:
    """Return whether an object has a value other than null at a path."""
    value = data
    for name in path.split("."):
        value = value.get(name) if isinstance(value, Mapping) else None
    return value is not None


def _make_presence(keys: Iterable[tuple[str, bool]]) -> KeyPresence:
    is_stated = dict(keys)
    stated = frozenset(path for path, is_present in is_stated.items() if is_present)
    return KeyPresence(stated, frozenset(is_stated) - stated)
