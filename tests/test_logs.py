"""Log lines: their two forms, their fields, and what is dropped of a rush."""

import io

import orjson
import pytest

from gannetweir.observability.logs import Log


def test_plain_and_json_say_the_same() -> None:
    plain, json = io.StringIO(), io.StringIO()
    for form, file in (("plain", plain), ("json", json)):
        Log("n3", 20, form, file)("attempt held back", transaction=7, cls="rider-area", reason="retry-budget")
    assert plain.getvalue() == ("n3: attempt held back transaction=7 reason=retry-budget class=rider-area\n")
    told = orjson.loads(json.getvalue())
    assert told.pop("timestamp").endswith("Z")
    assert told == {
        "relay": "n3",
        "event": "attempt held back",
        "transaction": 7,
        "class": "rider-area",
        "reason": "retry-budget",
    }


def test_a_rush_is_bounded_a_second_and_what_is_dropped_is_counted() -> None:
    file, now, dropped = io.StringIO(), [5.0], []
    log = Log("n3", 3, "json", file, lambda: now[0], lambda: dropped.append(1))
    for n in range(10):
        log("line", attempt=n)
    now[0] = 6.1
    log("later")
    lines = [orjson.loads(line) for line in file.getvalue().splitlines()]
    assert [line["event"] for line in lines] == ["line", "line", "line", "later"]
    assert len(dropped) == 7 and lines[-1]["dropped"] == 7


@pytest.mark.parametrize("form", ["plain", "json"])
def test_what_peers_say_can_forge_no_line(form: str) -> None:
    file = io.StringIO()
    Log("n3", 9, form, file)("malformed", reason="x\nn3: all is well \x1b[2J \u00e9" + "y" * 5000)
    (line,) = file.getvalue().splitlines()
    assert len(line) < 800 and line.isascii() and "\x1b" not in line
