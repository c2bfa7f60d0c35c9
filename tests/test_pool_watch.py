"""The pool watch, fed bytes: news, beats, and every kind of broken answer."""

import pytest

from gannetweir import interface as i
from gannetweir.limits import Limits
from gannetweir.pool import PoolNews
from gannetweir.proto.pool_watch import Beat, PoolError, PoolWatch, read_known
from tests.helpers import settings

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
HOST = (b'{"host":"s-1","dial":"10.1.0.18:8080","site":"b","class":"m2","block":3,"health":"Terminating",'
        b'"share":1.5,"born_ms":1700000000123}')
NEWS = b'{"seq":43,"whole":false,"hosts":[' + HOST + b"]}\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def watch(limit: int = 4096) -> PoolWatch:
    s = settings(zones=["a", "b"], kinds=["m1", "m2"])
    return PoolWatch("10.2.0.1:8500", 41, s, Limits(pool_line_bytes=limit))


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
    assert isinstance(news, PoolNews) and (news.version, news.whole) == (43, False)
    (member,) = news.members
    assert member.entry == i.ServerEntry("s-1", 1, 1, 3, i.DRAINING, 1.5, 1700000000123000)
    assert member.dial == "10.1.0.18:8080"
    assert beats == [Beat(), Beat()]


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
def test_a_broken_answer_is_an_error(data: bytes) -> None:
    with pytest.raises(PoolError):
        watch().feed(data)


def test_news_before_the_end_still_counts() -> None:
    w = watch()
    assert len(w.feed(HEAD + chunk(NEWS) + b"0\r\n\r\n")) == 1


def test_the_known_pool_may_be_missing() -> None:
    assert read_known({}, settings()) == PoolNews(0, True, [])
