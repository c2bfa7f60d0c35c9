"""The messages of the control protocol as JSON: slices to relays, and ACKs and NACKs from relays.

A slice is a line with a JSON object, in the format of discovery's watch plus the fields of the version:

    {"seq":43,"whole":false,"hosts":[...],"resource":"membership","epoch":3,"digest":"...","base":41,
     "index":0,"count":1}

A snapshot has no `base`. Settings are in an object `settings`, and `hosts` is empty; null removes a key. An
ACK or NACK is an object in the body of a POST; a NACK has `reason`, `detail` and `held`, the applied version.

The protocol defines the keys and their order. The functions have no state except a cache of encoded slices;
malformed input raises `EndpointListError`.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import lru_cache

import orjson

from gannetweir.control.stage import ServiceTotals
from gannetweir.control.versions import (
    DIGEST_BYTES,
    MAX_SLICE_ENTRIES,
    Ack,
    Entry,
    Nack,
    Reason,
    Resource,
    Slice,
    Version,
)
from gannetweir.proto.control_json import integer_field, json_list, json_object, string_field
from gannetweir.proto.endpoint_watch import EndpointListError

# The path to which ACKs and NACKs are posted.
ACK_TARGET = "/control/answers"
# Limits the detail of a NACK, and the error text on a malformed message.
MAX_DETAIL_CHARS = 200
# The number of digits in `MAX_NUMBER`, the largest epoch or number of a version.
MAX_VERSION_DIGITS = 16
# Encoded slices; all relays on the same version share one set of lines.
MAX_CACHED_LINES = 256

_DIGEST_CHARS = 2 * DIGEST_BYTES  # hexadecimal digits


def canonical_json(value: object) -> bytes:
    """Return the canonical encoding of a JSON value, over which digests are computed.

    Raises `TypeError` for a value that JSON can't represent.
    """
    data = orjson.dumps(value, option=orjson.OPT_SORT_KEYS)
    # The copy releases orjson's output buffer, which would otherwise stay allocated with 4 KB per entry.
    return bytes(memoryview(data))


def version_text(version: Version) -> str:
    """Return a version as text: epoch, number and hexadecimal digest, separated by dots."""
    return f"{version.epoch}.{version.number}.{version.digest:0{_DIGEST_CHARS}x}"


def read_version(text: str) -> Version:
    """Parse the text that `version_text` returns. Raises `EndpointListError` if it is malformed."""
    epoch, _, rest = text.partition(".")
    number, _, digest = rest.partition(".")
    if not (_is_number(epoch) and _is_number(number)):
        raise EndpointListError(f"version: expected EPOCH.NUMBER.DIGEST, got {text[:MAX_DETAIL_CHARS]!r}")
    return Version(int(epoch), int(number), _read_digest(digest))


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= MAX_VERSION_DIGITS


def _read_digest(text: object) -> int:
    if not isinstance(text, str) or len(text) != _DIGEST_CHARS or not text.isascii() or not text.isalnum():
        raise EndpointListError(f"digest: expected a string of {_DIGEST_CHARS} hexadecimal digits")
    try:
        return int(text, 16)
    except ValueError as error:
        raise EndpointListError(
            f"digest: expected {_DIGEST_CHARS} hexadecimal digits, got {text!r}"
        ) from error


def read_slice(value: object) -> Slice:
    """Read the object of a line.

    Raises `EndpointListError` if a field is missing, has the wrong type or is too long.
    """
    try:
        fields = json_object(value, "slice")
        resource = Resource(string_field(fields, "resource"))
        digest = _read_digest(fields["digest"])
        return Slice(
            resource=resource,
            target=Version(integer_field(fields, "epoch"), integer_field(fields, "seq"), digest),
            base=None if fields["whole"] is True else integer_field(fields, "base"),
            index=integer_field(fields, "index"),
            count=integer_field(fields, "count"),
            entries=_read_entries(fields, resource),
        )
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        raise _malformed("a slice", error) from error


def _read_entries(fields: Mapping[str, object], resource: Resource) -> tuple[Entry, ...]:
    if resource is Resource.MEMBERSHIP:
        hosts = json_list(fields["hosts"], "hosts")
        if len(hosts) > MAX_SLICE_ENTRIES:
            raise EndpointListError(f"hosts: expected at most {MAX_SLICE_ENTRIES}, got {len(hosts)}")
        return tuple(map(_read_host, hosts))
    settings = json_object(fields["settings"], "settings")
    if len(settings) > MAX_SLICE_ENTRIES:
        raise EndpointListError(f"settings: expected at most {MAX_SLICE_ENTRIES}, got {len(settings)}")
    return tuple(_read_setting(key, value) for key, value in settings.items())


def _read_host(value: object) -> Entry:
    fields = json_object(value, "hosts")
    host = string_field(fields, "host")
    is_removed = fields.get("health") == "Gone"
    return Entry(host, None if is_removed else canonical_json(fields))


def _read_setting(key: str, value: object) -> Entry:
    return Entry(key, None if value is None else canonical_json(value))


@lru_cache(maxsize=MAX_CACHED_LINES)
def write_slice(part: Slice) -> bytes:
    """Return the line of a slice. The bodies are copied unchanged, since they are canonical JSON."""
    target = part.target
    fields: dict[str, object] = {
        "seq": target.number,
        "whole": part.base is None,
        "resource": part.resource,
        "epoch": target.epoch,
        "digest": f"{target.digest:0{_DIGEST_CHARS}x}",
        "index": part.index,
        "count": part.count,
    }
    if part.base is not None:
        fields["base"] = part.base
    if part.resource is Resource.MEMBERSHIP:
        content = b'"hosts":[%s]' % b",".join(_host_objects(part.entries))
    else:
        content = b'"hosts":[],"settings":{%s}' % b",".join(map(_setting_member, part.entries))
    return orjson.dumps(fields)[:-1] + b"," + content + b"}\n"


def _host_objects(entries: tuple[Entry, ...]) -> list[bytes]:
    """Return the encoded hosts: first those with a body, then the removed ones."""
    present = [entry.body for entry in entries if entry.body is not None]
    removed = [
        b'{"host":%s,"health":"Gone"}' % orjson.dumps(entry.key) for entry in entries if entry.body is None
    ]
    return present + removed


def _setting_member(entry: Entry) -> bytes:
    return b"%s:%s" % (orjson.dumps(entry.key), entry.body or b"null")


def write_answer(relay: str, answer: Ack | Nack, totals: ServiceTotals | None = None) -> bytes:
    """Return the body of an ACK or NACK, with the relay's service totals unless they are None."""
    fields: dict[str, object] = {
        "relay": relay,
        "resource": answer.resource,
        "version": version_text(answer.version),
    }
    if isinstance(answer, Nack):
        fields["reason"] = answer.reason
        fields["detail"] = answer.detail
        fields["held"] = version_text(answer.applied)
    if totals is not None:
        fields["served"] = totals.served
        fields["failed"] = totals.failed
    return orjson.dumps(fields)


def read_answer(body: bytes) -> tuple[str, Ack | Nack, ServiceTotals | None]:
    """Return the relay's name, its ACK or NACK, and its service totals if the body has them.

    Raises `EndpointListError` if the body is malformed.
    """
    try:
        fields = json_object(orjson.loads(body), "answer")
        relay = string_field(fields, "relay")
        if not relay:
            raise EndpointListError("relay: expected a name, got an empty string")
        return relay, _read_ack_or_nack(fields), _read_totals(fields)
    except (KeyError, TypeError, ValueError) as error:
        raise _malformed("an answer", error) from error


def _read_ack_or_nack(fields: Mapping[str, object]) -> Ack | Nack:
    resource = Resource(string_field(fields, "resource"))
    version = read_version(string_field(fields, "version"))
    if "reason" not in fields:
        return Ack(resource, version)
    return Nack(
        resource=resource,
        version=version,
        reason=Reason(string_field(fields, "reason")),
        detail=str(fields["detail"])[:MAX_DETAIL_CHARS],
        applied=read_version(string_field(fields, "held")),
    )


def _read_totals(fields: Mapping[str, object]) -> ServiceTotals | None:
    if "served" not in fields:
        return None
    return ServiceTotals(integer_field(fields, "served"), integer_field(fields, "failed"))


def _malformed(what: str, error: Exception) -> EndpointListError:
    return EndpointListError(f"not {what}: {type(error).__name__}: {error}"[:MAX_DETAIL_CHARS])
