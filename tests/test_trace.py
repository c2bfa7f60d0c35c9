"""The trace of placement: what it records, and that it never stops the relay."""

import io

import orjson
import pytest

from gannetweir.core import Engine, EngineOptions, SetEndpointWatch
from gannetweir.limits import Limits
from gannetweir.membership.membership_update import ListedEndpoint, MembershipUpdate
from gannetweir.observability.trace import Trace
from gannetweir.placement.events import ClientDisconnected, EndpointEntry, RequestArrived
from tests.helpers import SECOND, settings

KNOWN_ENDPOINTS = MembershipUpdate(1, True, [ListedEndpoint(EndpointEntry("a"), "127.0.0.1:1")])


def traced_engine(file: io.StringIO) -> Engine:
    relay_settings = settings(polls_endpoint_list=True)
    options = EngineOptions(placement_trace=Trace("n3", relay_settings, file))
    return Engine(relay_settings, Limits(), 1, KNOWN_ENDPOINTS, 0, options)


def test_each_event_with_its_actions_is_a_line_except_timers_without_actions() -> None:
    file = io.StringIO()
    engine = traced_engine(file)
    for second in range(1, 6):
        engine.advance(second * SECOND)
    head, first, *rest = [orjson.loads(line) for line in file.getvalue().splitlines()]
    assert head["relay"] == "n3"
    assert head["classes"][0]["name"] == "plain"
    assert (first["on"], first["n"], first["t"]) == ("EndpointListUpdate", "n3", 0)
    assert first["is"]["entries"][0]["endpoint_id"] == "a"
    assert ["ProbeLoad", {"endpoint_id": "a"}] in first["do"]
    assert [line["do"] for line in rest if line["on"] == "TimerExpired"] == [
        [["WatchEndpoints", {"enabled": 1}]]
    ]


class BrokenPipe(io.StringIO):
    def write(self, _: object) -> int:
        raise BrokenPipeError


@pytest.mark.parametrize("file", [BrokenPipe(), io.StringIO()], ids=["broken pipe", "no JSON form"])
def test_a_line_that_can_not_be_written_ends_the_trace_and_not_the_relay(file: io.StringIO) -> None:
    engine = traced_engine(file)
    assert engine.dispatcher.trace is not None
    engine.dispatcher.trace(0, ClientDisconnected(1 << 70), [])  # the id is too large for JSON
    length = len(file.getvalue())
    for second in range(1, 6):
        engine.advance(second * SECOND)
    assert any(isinstance(command, SetEndpointWatch) for command in engine.commands)
    assert len(file.getvalue()) == length


def test_every_step_of_a_request_is_a_line_with_the_client_s_id() -> None:
    file = io.StringIO()
    relay_settings = settings(polls_endpoint_list=True, load_probes_enabled=False, load_report_source="none")
    trace = Trace("n3", relay_settings, file)
    options = EngineOptions(request_trace=trace.record_request)
    engine = Engine(relay_settings, Limits(), 1, KNOWN_ENDPOINTS, 0, options)
    request_id = engine.request_opened(RequestArrived(0, time_budget_us=SECOND), None, 5, "7f3a")
    engine.client_disconnected(request_id, False, 9)
    steps = [line for line in map(orjson.loads, file.getvalue().splitlines()) if "step" in line]
    assert [(line["at_us"], line["client_request_id"], line["step"]) for line in steps] == [
        (5, "7f3a", "opened"),
        (5, "7f3a", "attempt"),
        (9, "7f3a", "closed"),
    ]
    assert steps[-1]["reason"] == "client_ended"
    assert steps[1]["endpoint_id"] == "a"
