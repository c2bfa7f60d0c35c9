"""The endpoint watch: updates, heartbeats and every kind of malformed response, in pieces of any size."""

import json
from collections.abc import Callable
from typing import Any

import orjson
import pytest

from gannetweir.limits import Limits
from gannetweir.membership.membership_update import MembershipUpdate
from gannetweir.placement.events import EndpointEntry, EndpointStatus
from gannetweir.proto.endpoint_watch import EndpointWatch, Heartbeat, WatchFailed, read_cached_membership
from tests.helpers import settings

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDPOINT_JSON = (
    b'{"host":"s-1","dial":"10.1.0.18:8080","site":"b","class":"m2","block":3,"health":"Terminating",'
    b'"share":1.5,"born_ms":1700000000123}'
)
UPDATE_LINE = b'{"seq":43,"whole":false,"hosts":[' + ENDPOINT_JSON + b"]}\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def watch(limit: int = 4096) -> EndpointWatch:
    platform_settings = settings(zone_names=["a", "b"], machine_types=["m1", "m2"])
    return EndpointWatch("10.2.0.1:8500", 41, platform_settings, Limits(endpoint_watch_line_bytes=limit))


def test_the_request_names_the_version() -> None:
    head, *headers = watch().request.split(b"\r\n")
    assert head == b"GET /registry/instances?follow=1&since=41 HTTP/1.1"
    assert b"Host: 10.2.0.1:8500" in headers


@pytest.mark.parametrize("step", [1, 7, 4096])
def test_updates_and_heartbeats_in_pieces_of_any_size(step: int) -> None:
    endpoint_watch, events = watch(), list[object]()
    # an object may span chunks, and one chunk may hold several lines
    data = HEAD + chunk(UPDATE_LINE[:30]) + chunk(UPDATE_LINE[30:] + b"\n") + chunk(b"\n")
    for start in range(0, len(data), step):
        events += endpoint_watch.feed(data[start : start + step])
    update, *heartbeats = events
    assert isinstance(update, MembershipUpdate)
    assert (update.version, update.complete) == (43, False)
    (endpoint,) = update.endpoints
    assert endpoint.entry == EndpointEntry("s-1", 1, 1, 3, EndpointStatus.DRAINING, 1.5, 1700000000123000)
    assert endpoint.address == "10.1.0.18:8080"
    assert heartbeats == [Heartbeat(), Heartbeat()]


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        b"SSH-2.0-x\r\n\r\n",
        b"",
        HEAD + b"0\r\n\r\n",
        HEAD + chunk(b"{]\n"),
        HEAD + chunk(b"[]\n"),
        HEAD + chunk(b'{"seq":43,"whole":true}\n'),
        HEAD + chunk(UPDATE_LINE.replace(b"Terminating", b"Asleep")),
        HEAD + chunk(UPDATE_LINE.replace(b'"born_ms":1700000000123', b'"born_ms":"now"')),
        HEAD + chunk(UPDATE_LINE.replace(b'"s-1"', b"7")),
        HEAD + chunk(b"x" * 5000),
        HEAD + b"zz\r\n",
    ],
)
def test_a_malformed_answer_fails_the_watch_and_updates_nothing(data: bytes) -> None:
    (failure,) = watch().feed(data)
    assert isinstance(failure, WatchFailed)
    assert failure.reason


OTHER_UPDATE_LINE = UPDATE_LINE.replace(b"s-1", b"s-2").replace(b'"seq":43', b'"seq":44')


@pytest.mark.parametrize(
    "rest",
    [
        b"0\r\n\r\n",
        b"zz\r\n",
        chunk(b"{]\n"),
        # The other entries of a list with a malformed one are not applied either.
        chunk(OTHER_UPDATE_LINE.replace(b"Terminating", b"Asleep")),
        chunk(b"x" * 5000),
        chunk(OTHER_UPDATE_LINE[:60] + b"\n\n"),  # a heartbeat follows an incomplete object
        chunk(OTHER_UPDATE_LINE[:60] + b"\n" + OTHER_UPDATE_LINE),  # another object follows an incomplete one
        chunk(UPDATE_LINE.replace(b'"seq":43', b'"seq":42')),  # older than the update before
    ],
)
@pytest.mark.parametrize("apart", [False, True])
def test_updates_before_malformed_data_are_kept_and_nothing_after(rest: bytes, apart: bool) -> None:
    endpoint_watch = watch()
    events = (
        endpoint_watch.feed(HEAD + chunk(UPDATE_LINE)) + endpoint_watch.feed(rest)
        if apart
        else endpoint_watch.feed(HEAD + chunk(UPDATE_LINE) + rest)
    )
    update, failure = events
    assert isinstance(update, MembershipUpdate)
    assert update.version == 43
    assert isinstance(failure, WatchFailed)


def test_lines_before_a_malformed_one_in_the_same_chunk_are_kept() -> None:
    update, heartbeat, failure = watch().feed(HEAD + chunk(UPDATE_LINE + b"\n" + b"{]\n" + OTHER_UPDATE_LINE))
    assert isinstance(update, MembershipUpdate)
    assert heartbeat == Heartbeat()
    assert isinstance(failure, WatchFailed)


LAYOUTS: dict[str, Callable[[Any], str]] = {
    "one line": json.dumps,
    "by two": lambda data: json.dumps(data, indent=2),
    "lines, no blanks before": lambda data: json.dumps(data, indent=0),
    "an entry a line": lambda data: json.dumps(data).replace("[", "[\n").replace("}, {", "},\n{"),
}


@pytest.mark.parametrize("step", [1, 11, 4096])
@pytest.mark.parametrize("layout", LAYOUTS.values(), ids=LAYOUTS.keys())
def test_objects_over_several_lines(step: int, layout: Callable[[Any], str]) -> None:
    endpoint_watch, events = watch(), list[object]()
    text = [layout(orjson.loads(data)).encode() for data in (UPDATE_LINE, OTHER_UPDATE_LINE)]
    data = HEAD + chunk(text[0] + b"\n\n") + chunk(b"  " + text[1] + b"\n\n")
    for start in range(0, len(data), step):
        events += endpoint_watch.feed(data[start : start + step])
    assert [event.version if isinstance(event, MembershipUpdate) else event for event in events] == [
        43,
        Heartbeat(),
        44,
        Heartbeat(),
    ]


@pytest.mark.parametrize(("complete", "is_accepted"), [(b"true", True), (b"false", False)])
def test_an_older_first_update_is_accepted_only_as_a_complete_list(
    complete: bytes, is_accepted: bool
) -> None:
    (event,) = watch().feed(
        HEAD + chunk(UPDATE_LINE.replace(b"false", complete).replace(b'"seq":43', b'"seq":7'))
    )
    assert isinstance(event, MembershipUpdate if is_accepted else WatchFailed)
    assert not isinstance(event, MembershipUpdate) or event.is_stale


def test_the_cached_endpoint_list_may_be_missing() -> None:
    assert read_cached_membership({}, settings()) == MembershipUpdate(0, True, [])
