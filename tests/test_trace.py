"""The trace of the decisions: what it holds, and that it never stands in their way."""

import io

import orjson
import pytest

from gannetweir.core import Engine, SetEndpointWatch
from gannetweir.limits import Limits
from gannetweir.membership.membership_update import ListedEndpoint, MembershipUpdate
from gannetweir.observability.trace import Trace
from gannetweir.placement.events import ClientDisconnected, EndpointEntry, RequestArrived
from tests.helpers import SECOND, settings

POOL = MembershipUpdate(1, True, [ListedEndpoint(EndpointEntry("a"), "127.0.0.1:1")])


def engine(file: io.StringIO) -> Engine:
    told = settings(polls_endpoint_list=True)
    return Engine(told, Limits(), 1, POOL, 0, trace=Trace("n3", told, file))


def test_every_event_and_what_it_led_to_is_a_line_but_for_timers_that_led_to_nothing() -> None:
    file = io.StringIO()
    run = engine(file)
    for second in range(1, 6):
        run.advance(second * SECOND)
    head, first, *rest = [orjson.loads(line) for line in file.getvalue().splitlines()]
    assert head["relay"] == "n3" and head["classes"][0]["name"] == "plain"
    assert (first["on"], first["n"], first["t"]) == ("EndpointListUpdate", "n3", 0)
    assert (
        first["is"]["entries"][0]["endpoint_id"] == "a" and ["ProbeLoad", {"endpoint_id": "a"}] in first["do"]
    )
    assert [line["do"] for line in rest if line["on"] == "TimerExpired"] == [
        [["WatchEndpoints", {"enabled": 1}]]
    ]


class Broken(io.StringIO):
    def write(self, _: object) -> int:
        raise BrokenPipeError


@pytest.mark.parametrize("file", [Broken(), io.StringIO()])
def test_what_can_not_be_written_ends_the_trace_and_nothing_else(file: io.StringIO) -> None:
    run = engine(file)
    assert run.dispatcher.trace is not None
    run.dispatcher.trace(0, ClientDisconnected(1 << 70), [])  # JSON has no form for it
    length = len(file.getvalue())
    for second in range(1, 6):
        run.advance(second * SECOND)
    assert any(isinstance(command, SetEndpointWatch) for command in run.commands)
    assert len(file.getvalue()) == length


def test_every_step_of_a_request_is_a_line_with_the_client_s_id() -> None:
    file, told = (
        io.StringIO(),
        settings(polls_endpoint_list=True, load_probes_enabled=False, load_report_source="none"),
    )
    trace = Trace("n3", told, file)
    run = Engine(told, Limits(), 1, POOL, 0, request_trace=trace.record_request)
    number = run.request_opened(RequestArrived(0, time_budget_us=SECOND), None, 5, "7f3a")
    run.client_disconnected(number, False, 9)
    steps = [line for line in map(orjson.loads, file.getvalue().splitlines()) if "step" in line]
    assert [(line["at_us"], line["client_request_id"], line["step"]) for line in steps] == [
        (5, "7f3a", "opened"),
        (5, "7f3a", "attempt"),
        (9, "7f3a", "closed"),
    ]
    assert steps[-1]["reason"] == "client_ended" and steps[1]["endpoint_id"] == "a"
