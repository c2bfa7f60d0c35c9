"""The pool watch, fed bytes: news, beats, and every kind of broken answer."""

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
HOST = (
    b'{"host":"s-1","dial":"10.1.0.18:8080","site":"b","class":"m2","block":3,"health":"Terminating",'
    b'"share":1.5,"born_ms":1700000000123}'
)
NEWS = b'{"seq":43,"whole":false,"hosts":[' + HOST + b"]}\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def watch(limit: int = 4096) -> EndpointWatch:
    s = settings(zone_names=["a", "b"], machine_types=["m1", "m2"])
    return EndpointWatch("10.2.0.1:8500", 41, s, Limits(endpoint_watch_line_bytes=limit))


def test_the_request_names_the_version() -> None:
    head, *headers = watch().request.split(b"\r\n")
    assert head == b"GET /registry/instances?follow=1&since=41 HTTP/1.1"
    assert b"Host: 10.2.0.1:8500" in headers


@pytest.mark.parametrize("step", [1, 7, 4096])
def test_news_and_beats_in_pieces_of_any_size(step: int) -> None:
    w, found = watch(), list[object]()
    # an object may lie across chunks, and several lines in one
    data = HEAD + chunk(NEWS[:30]) + chunk(NEWS[30:] + b"\n") + chunk(b"\n")
    for at in range(0, len(data), step):
        found += w.feed(data[at : at + step])
    news, *beats = found
    assert isinstance(news, MembershipUpdate) and (news.version, news.complete) == (43, False)
    (member,) = news.endpoints
    assert member.entry == EndpointEntry("s-1", 1, 1, 3, EndpointStatus.DRAINING, 1.5, 1700000000123000)
    assert member.address == "10.1.0.18:8080"
    assert beats == [Heartbeat(), Heartbeat()]


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
        HEAD + chunk(NEWS.replace(b"Terminating", b"Asleep")),
        HEAD + chunk(NEWS.replace(b'"born_ms":1700000000123', b'"born_ms":"now"')),
        HEAD + chunk(NEWS.replace(b'"s-1"', b"7")),
        HEAD + chunk(b"x" * 5000),
        HEAD + b"zz\r\n",
    ],
)
def test_a_broken_answer_breaks_the_watch_and_tells_nothing(data: bytes) -> None:
    (broken,) = watch().feed(data)
    assert isinstance(broken, WatchFailed) and broken.reason


OTHER = NEWS.replace(b"s-1", b"s-2").replace(b'"seq":43', b'"seq":44')


@pytest.mark.parametrize(
    "rest",
    [
        b"0\r\n\r\n",
        b"zz\r\n",
        chunk(b"{]\n"),
        chunk(OTHER.replace(b"Terminating", b"Asleep")),  # a good entry beside a bad one is no news either
        chunk(b"x" * 5000),
        chunk(OTHER[:60] + b"\n\n"),  # cut short, then a beat
        chunk(OTHER[:60] + b"\n" + OTHER),  # and another
        chunk(NEWS.replace(b'"seq":43', b'"seq":42')),  # older than what was told
    ],
)
@pytest.mark.parametrize("apart", [False, True])
def test_what_is_good_before_what_is_spoilt_holds_and_nothing_after(rest: bytes, apart: bool) -> None:
    w = watch()
    found = w.feed(HEAD + chunk(NEWS)) + w.feed(rest) if apart else w.feed(HEAD + chunk(NEWS) + rest)
    news, broken = found
    assert isinstance(news, MembershipUpdate) and news.version == 43 and isinstance(broken, WatchFailed)


def test_lines_before_a_spoilt_one_in_the_same_chunk_hold() -> None:
    news, beat, broken = watch().feed(HEAD + chunk(NEWS + b"\n" + b"{]\n" + OTHER))
    assert isinstance(news, MembershipUpdate) and beat == Heartbeat() and isinstance(broken, WatchFailed)


LAYOUTS: dict[str, Callable[[Any], str]] = {
    "one line": json.dumps,
    "by two": lambda data: json.dumps(data, indent=2),
    "lines, no blanks before": lambda data: json.dumps(data, indent=0),
    "an entry a line": lambda data: json.dumps(data).replace("[", "[\n").replace("}, {", "},\n{"),
}


@pytest.mark.parametrize("step", [1, 11, 4096])
@pytest.mark.parametrize("layout", LAYOUTS.values(), ids=LAYOUTS.keys())
def test_objects_over_several_lines(step: int, layout: Callable[[Any], str]) -> None:
    w, found = watch(), list[object]()
    text = [layout(orjson.loads(data)).encode() for data in (NEWS, OTHER)]
    data = HEAD + chunk(text[0] + b"\n\n") + chunk(b"  " + text[1] + b"\n\n")
    for at in range(0, len(data), step):
        found += w.feed(data[at : at + step])
    assert [event.version if isinstance(event, MembershipUpdate) else event for event in found] == [
        43,
        Heartbeat(),
        44,
        Heartbeat(),
    ]


@pytest.mark.parametrize(("whole", "holds"), [(b"true", True), (b"false", False)])
def test_an_older_first_answer_holds_only_as_the_whole_list(whole: bytes, holds: bool) -> None:
    (event,) = watch().feed(HEAD + chunk(NEWS.replace(b"false", whole).replace(b'"seq":43', b'"seq":7')))
    assert isinstance(event, MembershipUpdate if holds else WatchFailed)
    assert not isinstance(event, MembershipUpdate) or event.is_stale


def test_the_known_pool_may_be_missing() -> None:
    assert read_cached_membership({}, settings()) == MembershipUpdate(0, True, [])
