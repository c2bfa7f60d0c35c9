"""The relay's behaviour towards its clients and endpoints, in the scenario language."""

import pytest

from tests.scenario import run_script

ESTABLISHED = """
c1 send OPEN 0a 0b c=plain,d=2000
c1/upstream expect OPEN 0a 0b c=plain,d=500
c1/upstream send UP r1
c1 expect UP r1
"""
HOST = '{"host":"%s","dial":"127.0.0.1:%d","site":"a","class":"m","health":"%s"}'
ONLY_B3 = '{"seq":42,"whole":true,"hosts":[' + HOST % ("b3", 3, "Ready") + "]}"
B1_DRAINS = '{"seq":42,"whole":false,"hosts":[' + HOST % ("b1", 1, "Terminating") + "]}"

FORWARDING = {
    "lines pass both ways": ESTABLISHED
    + """
        c1 send hello 1
        c1/upstream expect hello 1
        c1/upstream send hello 1
        c1 expect hello 1
        c1 expect nothing
        c1/upstream expect nothing""",
    "only d changes in the first line": """
        c1 send OPEN 0a 0b zz=Q,c=plain,g=0c,d=1999,h=12.5,r=1
        c1/upstream expect OPEN 0a 0b zz=Q,c=plain,g=0c,d=500,h=12.5,r=1""",
    "a load line is forwarded unchanged and reported": ESTABLISHED
    + """
        c1/upstream send LOAD 125.5
        c1 expect LOAD 125.5
        relay expect count load_reports 1""",
    "a load that is no number is not reported": ESTABLISHED
    + """
        c1/upstream send LOAD nan
        c1 expect LOAD nan
        relay expect count load_reports 0""",
    "late answers are reported once a second, and once more when they are in time again": ESTABLISHED
    + """
        c1 send 1
        time wait 30
        c1/upstream send 1
        relay expect count delay_reports 0
        c1 send 2
        time wait 40
        c1/upstream send 2
        relay expect count delay_reports 1
        c1 send 3
        time wait 40
        c1/upstream send 3
        relay expect count delay_reports 1
        time wait 1000
        c1 send 4
        time wait 40
        c1/upstream send 4
        relay expect count delay_reports 2
        c1 send 5
        c1/upstream send 5
        relay expect count delay_reports 3
        c1 send 6
        c1/upstream send 6
        relay expect count delay_reports 3""",
    "a load line answers no line of the client's": ESTABLISHED
    + """
        c1 send 1
        c1/upstream send LOAD 3
        time wait 40
        c1/upstream send 1
        relay expect count delay_reports 1""",
    "lines sent before the answer are buffered for the endpoint": """
        c1 send OPEN 0a 0b c=plain,d=2000
        c1 send early
        c1/upstream expect OPEN*
        c1/upstream expect nothing
        c1/upstream send UP r1
        c1/upstream expect early""",
    "the id of another client's open request is rejected, and that request is unaffected": ESTABLISHED
    + """
        c2 send OPEN 0a 0c c=plain,d=2000
        c2 expect ERR
        c2/upstream expect nothing
        c2 close
        c1 send hello
        c1/upstream expect hello
        c1 close
        c3 send OPEN 0a 0c c=plain,d=2000
        c3/upstream expect OPEN 0a 0c*""",
    "a second command before the answer gets an ERR and ends the upstream connection": """
        c1 send OPEN 0a 0b c=plain,d=2000
        c1/upstream expect OPEN*
        c1 send OPEN 0c 0b c=plain,d=2000
        c1 expect ERR
        c1/upstream expect end
        c2 send OPEN 0a 0b c=plain,d=2000
        c2/upstream expect OPEN*""",
    "an endpoint's FIN is forwarded": ESTABLISHED
    + """
        c1/upstream close
        c1 expect end""",
    "an endpoint's RST is forwarded": ESTABLISHED
    + """
        c1/upstream reset
        c1 expect reset
        relay expect count connections.reset 1""",
    "BYE ends a connection as served": ESTABLISHED
    + """
        c1/upstream send BYE
        c1/upstream close
        c1 expect BYE
        c1 expect end
        relay expect count connections.ok 1""",
    "a draining endpoint migrates its client": ESTABLISHED
    + """
        c1/upstream send MOVE
        c1/upstream close
        c1 expect MOVE
        c1 expect end
        relay expect count connections.cancelled 1""",
    "a client's FIN is forwarded": ESTABLISHED
    + """
        c1 close
        c1/upstream expect end""",
    "a client's RST is forwarded": ESTABLISHED
    + """
        c1 reset
        c1/upstream expect reset""",
}

FAILURES = {
    "a busy endpoint: a retry at another, after the first attempt has ended": """
        c1 send OPEN 0a 0b c=plain,d=2000
        c1/upstream expect OPEN*
        c1/upstream send BUSY qps=1,inflight=90,x0=2.5
        c1/upstream expect OPEN*
        relay expect count attempts.full 1
        c1/upstream send UP r2
        c1 expect UP r2""",
    "a refused connect was not executed": """
        c1 send OPEN 0a 0b c=plain,d=2000
        c1/upstream refuse
        relay expect count attempts.connect_failed 1""",
    "a connection that breaks after the last byte may have been executed": """
        c1 send OPEN 0a 0b c=plain,d=2000
        c1/upstream reset
        relay expect count attempts.reset 1""",
    "an attempt that is not established in its time is closed, then the next is opened": """
        c1 send OPEN 0a 0b c=plain,d=2000
        c1/upstream expect OPEN*
        time wait 249
        c1/upstream expect nothing
        time wait 1
        c1/upstream expect end
        c1/upstream expect OPEN*
        relay expect count attempts.connect_failed 1""",
    "a failing endpoint is a reason to retry at another": """
        c1 send OPEN 0a 0b c=plain,d=2000
        c1/upstream send ERR
        c1/upstream expect OPEN*
        c1/upstream expect OPEN*
        relay expect count attempts.error 1""",
    "a request that no endpoint serves is rejected after the last attempt, not near the deadline": """
        c1 send OPEN 0a 0b c=plain,d=2000
        c1/upstream send BUSY
        c1/upstream send BUSY
        c1 expect BUSY [1-9]*
        c1 expect end""",
    "an UP after the deadline serves no client": """
        c1 send OPEN 0a 0b c=plain,d=200
        c1/upstream expect OPEN*
        time wait 159
        c1 expect nothing
        time wait 1
        c1/upstream expect end
        c1 expect BUSY*""",
    "a request that the balancer does not answer fails at its deadline": """
        balancer ignore
        c1 send OPEN 0a 0b c=plain,d=2000
        time wait 1960
        c1 expect nothing
        time wait 20
        c1 expect ERR
        c1 expect end
        relay expect count overdue 1""",
    "a balancer that raises fails the request and nothing else": ESTABLISHED
    + """
        balancer raise
        c2 send OPEN 0c 0b c=plain,d=2000
        c2 expect ERR
        c1 send still here
        c1/upstream expect still here
        relay expect count placement_faults 2""",
    "a client that disconnects ends its attempt": """
        c1 send OPEN 0a 0b c=plain,d=2000
        c1/upstream expect OPEN*
        c1 close
        c1/upstream expect end
        time wait 3000
        c1/upstream expect nothing""",
    "an endpoint that vanishes: the client is migrated before it has waited seven seconds": ESTABLISHED
    + """
        time wait 2000
        c1 send 1
        c1/upstream expect 1
        time wait 3900
        c1 expect nothing
        time wait 600
        c1 expect MOVE
        c1 expect end
        c1/upstream expect end
        relay expect count answer_timeouts 1""",
    "a line without an answer for over a second is reported as late, once a second": ESTABLISHED
    + """
        c1 send 1
        time wait 1000
        relay expect count delay_reports 0
        time wait 251
        relay expect count delay_reports 1
        time wait 900
        relay expect count delay_reports 1
        time wait 300
        relay expect count delay_reports 2""",
    "an endpoint that answers keeps its clients": ESTABLISHED
    + """
        c1 send 1
        time wait 3900
        c1/upstream send 1
        c1 expect 1
        time wait 3900
        c1 expect nothing""",
}

RESUMPTION = {
    "a resumed connection goes to its endpoint and counts as no request": """
        c1 send OPEN 0a 0b c=plain,d=2000,at=b2
        c1/upstream expect OPEN 0a 0b c=plain,d=1960,at=b2
        c1/upstream send UP r1
        c1 expect UP r1
        relay expect count requests 0
        relay expect count resumed 1""",
    "a resumption that fails to connect is retried there": """
        c1 send OPEN 0a 0b c=plain,d=2000,at=b2
        c1/upstream expect OPEN*
        c1/upstream refuse
        time wait 199
        c1/upstream expect nothing
        time wait 1
        c1/upstream expect OPEN*
        c1/upstream send UP r1
        c1 expect UP r1""",
    "nothing is sent to an endpoint that was never listed": """
        c1 send OPEN 0a 0b c=plain,d=2000,at=b9
        c1 expect ERR
        c1/upstream expect nothing""",
    "a resumption without an answer times out, however long its deadline": """
        c1 send OPEN 0a 0b c=plain,d=4294967,at=b2
        c1/upstream expect OPEN 0a 0b c=plain,d=20000,at=b2
        c1/upstream written
        time wait 20000
        c1/upstream expect end
        c1 expect ERR""",
    "a connection is resumed at its endpoint even if that one drains": f"""
        discovery send {B1_DRAINS}
        c1 send OPEN 0a 0b c=plain,d=2000,at=b1
        c1/upstream expect OPEN*""",
}

MEMBERSHIP = {
    "ready with a listed endpoint, not without": f"""
        front send PING
        front expect ERR
        discovery send {ONLY_B3}
        front send PING
        front expect PONG""",
    "a watch is opened, and again after it ended, with a growing backoff": """
        time wait 2600
        discovery expect watch 41
        discovery close
        time wait 174
        discovery expect nothing
        time wait 176
        discovery expect watch 41
        discovery close
        time wait 349
        discovery expect nothing
        time wait 351
        discovery expect watch 41""",
}

DRAINING = {
    "a drain still serves, then migrates every client before its upstream ends, then exits": ESTABLISHED
    + """
        relay term
        front send PING
        front expect ERR
        time wait 300
        c2 send OPEN 0c 0d c=plain,d=2000
        c2/upstream send UP r2
        c2 expect UP r2
        time wait 190
        c1 expect nothing
        time wait 700
        c1 expect MOVE
        c1 expect end
        c1/upstream expect end
        c2 expect nothing
        c3 send OPEN 0e 0f c=plain,d=2000
        c3 expect BUSY*
        time wait 1000
        c2 expect MOVE
        time wait 300
        relay expect exit""",
    "a connection established during the migrations is migrated as well": """
        relay term
        time wait 400
        c1 send OPEN 0a 0b c=plain,d=2000
        time wait 200
        c1/upstream send UP r1
        c1 expect UP r1
        time wait 1
        c1 expect MOVE
        c1 expect end""",
    "a request still without an answer at the exit is rejected": """
        balancer ignore
        c1 send OPEN 0a 0b c=plain,d=9000
        relay term
        time wait 3099
        c1 expect nothing
        time wait 1
        c1 expect BUSY 250
        relay expect exit
        relay expect nothing""",
    "a first line just before, at and after the end of admission; and a second SIGTERM": """
        probes hang
        relay term
        time wait 499
        c1 send OPEN 0a 0b c=plain,d=2000
        c1/upstream expect OPEN*
        relay term
        time wait 1
        c2 send OPEN 0c 0b c=plain,d=2000
        c2 expect BUSY 250
        c1/upstream send UP r1
        c1 expect UP r1
        time wait 1
        c1 expect MOVE
        time wait 500
        relay expect exit""",
}


def cases(*groups: dict[str, str]) -> list[object]:
    return [pytest.param(script, id=name) for group in groups for name, script in group.items()]


@pytest.mark.parametrize("script", cases(FORWARDING, FAILURES, RESUMPTION, DRAINING))
def test_with_two_endpoints(script: str) -> None:
    run_script(script)


def test_a_relay_is_ready_once_an_endpoint_is() -> None:
    run_script(MEMBERSHIP["ready with a listed endpoint, not without"], backends=0)


def test_the_watch_backs_off() -> None:
    run_script(MEMBERSHIP["a watch is opened, and again after it ended, with a growing backoff"])


@pytest.mark.parametrize(
    "raw",
    [
        r"GET / HTTP/1.1\r\n",
        r"OPEN 0a 0b c=plain,d=2000\n",
        r"OPEN 0a 0b c=other,d=2000\r\n",
        r"OPEN 0a 0b c=plain\r\n",
        r"OPEN 0a 0b c=plain,d=-5\r\n",
        r"OPEN 0a 0b c=plain,d=99999999999999999\r\n",
        r"OPEN 0a 0b c=plain,d=1_0\r\n",
        r"OPEN 0a 0b c=plain,d=2000,d=1\r\n",
        r"OPEN 0a 0b c=plain,d=2000,\r\n",
        r"OPEN 0a xyz c=plain,d=2000\r\n",
        r"OPEN  0b c=plain,d=2000\r\n",
        r"OPEN 0b c=plain,d=2000\r\n",
        r"OPEN me 0b c=plain,d=2000\r\n",
        r"OPEN 0a 0x0b c=plain,d=2000\r\n",
        r"OPEN 0a 0b c=plain,d=\r\n",
        r"PING\r\n" * 65,
        r"OPEN 0a 0b c=plain,d=2000 \r\n",
        r"OPEN 0a 0b c=pl\xe4in,d=2000\r\n",
        r"OPEN 0a 0b c=plain,d=2000\x00\r\n",
        r"\r\n",
        "x" * 4097,
        "OPEN 0a 0b c=plain,d=2000,z=" + "x" * 4096 + r"\r\n",
    ],
)
def test_a_malformed_first_line_fails_and_reaches_no_endpoint(raw: str) -> None:
    scenario = run_script(f"c1 raw {raw}")
    assert scenario.peers["c1"].unread[-1] == "ERR"
    assert not scenario.peer("c1/upstream").unread
    assert not scenario.engine.requests


def test_a_request_over_the_limit_is_rejected_at_once() -> None:
    run_script(
        "c1 send OPEN 0a 0b c=plain,d=2000\nc2 send OPEN 0c 0d c=plain,d=2000\nc2 expect BUSY*\n"
        "c1/upstream send UP r1\nc1 expect UP r1",
        sockets=28,
    )


@pytest.mark.parametrize("ready_endpoint", ["b2", "b1"])
def test_a_draining_endpoint_gets_no_requests(ready_endpoint: str) -> None:
    update = B1_DRAINS.replace("b1", "b2" if ready_endpoint == "b1" else "b1")
    scenario = run_script(f"discovery send {update}")
    for number in range(8):
        client = f"c{number}"
        scenario.run_script(
            f"{client} send OPEN 0{number} 0b c=plain,d=2000\n{client}/upstream expect OPEN*\n"
            f"{client}/upstream send UP r"
        )
        scenario.run_script("time wait 1500")
    addresses = {command.address for command, _ in scenario.upstreams.values()}
    assert addresses == {f"127.0.0.1:{ready_endpoint[1]}"}


def test_a_changed_address_is_used_from_the_next_attempt_on() -> None:
    moved = '{"seq":42,"whole":false,"hosts":[' + HOST % ("b1", 77, "Ready") + "]}"
    scenario = run_script(f"discovery send {moved}\nc1 send OPEN 0a 0b c=plain,d=2000,at=b1")
    assert scenario.upstreams["c1"][0].address == "127.0.0.1:77"


def test_an_endpoint_missing_from_a_snapshot_gets_no_requests() -> None:
    scenario = run_script(
        f"discovery send {ONLY_B3}\nc1 send OPEN 0a 0b c=plain,d=2000\nc1/upstream expect OPEN*"
    )
    assert scenario.upstreams["c1"][0].address == "127.0.0.1:3"


RELOADS = {
    "an open request keeps its class": """
        c1 send OPEN 0a 0b c=plain,d=2000
        c1/upstream expect OPEN*
        settings reload 3 new:once,other:once
        c1/upstream reset
        c1/upstream expect OPEN*
        c1/upstream send UP r1
        c1 expect UP r1""",
    "a stricter idempotency applies to later requests": """
        settings reload 3 other:repeatable,plain:once
        c1 send OPEN 0a 0b c=plain,d=2000
        c1/upstream expect OPEN*
        c1/upstream reset
        c1/upstream expect nothing
        c1 expect ERR""",
    "fewer attempts apply to open requests as well": """
        c1 send OPEN 0a 0b c=plain,d=2000
        c1/upstream expect OPEN*
        settings reload 1 plain:repeatable
        c1/upstream reset
        c1/upstream expect nothing
        c1 expect BUSY*""",
    "a removed class": """
        settings reload 3 new:repeatable
        c1 send OPEN 0a 0b c=plain,d=2000
        c1 expect ERR
        c2 send OPEN 0a 0b c=new,d=2000
        c2/upstream expect OPEN*""",
}


@pytest.mark.parametrize("script", RELOADS.values(), ids=RELOADS.keys())
def test_a_reload_of_classes_and_attempts(script: str) -> None:
    run_script(script)
