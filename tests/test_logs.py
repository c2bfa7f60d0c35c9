"""Log lines: their two forms, their fields, the rate limit, and text from peers."""

import io

import orjson
import pytest

from gannetweir.observability.logs import Log


def test_plain_and_json_lines_have_the_same_fields() -> None:
    plain, json = io.StringIO(), io.StringIO()
    for form, file in (("plain", plain), ("json", json)):
        Log("n3", 20, form, file)("attempt blocked", request=7, cls="rider-area", reason="retry-budget")
    assert plain.getvalue() == ("n3: attempt blocked request=7 reason=retry-budget class=rider-area\n")
    record = orjson.loads(json.getvalue())
    assert record.pop("timestamp").endswith("Z")
    assert record == {
        "relay": "n3",
        "event": "attempt blocked",
        "request": 7,
        "class": "rider-area",
        "reason": "retry-budget",
    }


def test_lines_over_the_rate_limit_are_dropped_and_counted() -> None:
    file = io.StringIO()
    now_s = [5.0]
    dropped: list[int] = []
    log = Log("n3", 3, "json", file, lambda: now_s[0], lambda: dropped.append(1))
    for attempt in range(10):
        log("line", attempt=attempt)
    now_s[0] = 6.1
    log("later")
    lines = [orjson.loads(line) for line in file.getvalue().splitlines()]
    assert [line["event"] for line in lines] == ["line", "line", "line", "later"]
    assert len(dropped) == 7
    assert lines[-1]["dropped"] == 7


@pytest.mark.parametrize("form", ["plain", "json"])
def test_text_from_a_peer_can_not_forge_a_line(form: str) -> None:
    file = io.StringIO()
    Log("n3", 9, form, file)("malformed", reason="x\nn3: all is well \x1b[2J \u00e9" + "y" * 5000)
    (line,) = file.getvalue().splitlines()
    assert len(line) < 800
    assert line.isascii()
    assert "\x1b" not in line
