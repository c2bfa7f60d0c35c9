"""How the routes of an operators' file limit and time requests, in the scenario language."""

import pytest

from tests.scenario import run_script

HEAD = "gannetweir version=1\n"


def default(body: str, before: str = "") -> dict[str, str]:
    return {"start": f"{HEAD}{before}\ndefault {{\n{body}\n}}\n"}


PLAN = 'attempts 3\nconnect "100ms"\nattempt "300ms"'
OPEN = "c1 send OPEN 0a 0b c=plain,d=2000\n"

CASES = {
    "the backend gets the attempt's own time": (
        default(PLAN),
        OPEN
        + """
        c1/upstream expect OPEN 0a 0b c=plain,d=300
        c1/upstream written
        time wait 299
        c1/upstream expect nothing
        time wait 1
        c1/upstream expect end
        c1/upstream expect OPEN 0a 0b c=plain,d=300
        relay expect count attempts.timeout 1""",
    ),
    "a connect that times out never ran; the attempt's timeout starts when the line is written": (
        default(PLAN),
        OPEN
        + """
        c1/upstream expect OPEN*
        time wait 99
        c1/upstream expect nothing
        time wait 1
        c1/upstream expect end
        c1/upstream expect OPEN*
        relay expect count attempts.connect_failed 1
        time wait 90
        c1/upstream written
        time wait 299
        c1/upstream expect nothing
        time wait 1
        c1/upstream expect end""",
    ),
    "a backoff separates two attempts, and a client may disconnect in it": (
        default(PLAN + '\nwait "exponential" first="50ms"'),
        OPEN
        + """
        c1/upstream expect OPEN*
        c1/upstream send BUSY
        c1 expect nothing
        time wait 49
        c1/upstream expect nothing
        time wait 1
        c1/upstream expect OPEN*
        c1/upstream send BUSY
        time wait 99
        c1/upstream expect nothing
        c1 close
        time wait 2000
        c1/upstream expect nothing
        c1 expect nothing""",
    ),
    "a cadence counts from the start of the previous attempt": (
        default(PLAN + '\nwait "every" first="450ms"'),
        OPEN
        + """
        c1/upstream expect OPEN*
        c1/upstream written
        time wait 200
        c1/upstream send BUSY
        time wait 249
        c1/upstream expect nothing
        time wait 1
        c1/upstream expect OPEN*""",
    ),
    "a backend that is taken offline during the backoff gets no retry": (
        default(PLAN + '\nwait "fixed" first="200ms"'),
        OPEN
        + """
        c1/upstream expect OPEN*
        c1/upstream send BUSY
        time wait 100
        operators offline b1
        operators offline b2
        time wait 1000
        c1/upstream expect nothing
        c1 expect BUSY*
        c1 expect end
        c1 expect nothing""",
    ),
    "if no time is left for the backoff, the request fails at once, not at the deadline": (
        default('give-up "800ms"\nattempts 2\nattempt "100ms"\nconnect "20ms"\nwait "fixed" first="300ms"'),
        """
        c1 send OPEN 0a 0b c=plain,d=250
        c1/upstream expect OPEN*
        c1/upstream send BUSY
        c1 expect BUSY*
        c1 expect end""",
    ),
    "the route's give-up time ends a request before the client's deadline": (
        default('give-up "400ms"\nattempts 1\nattempt "180ms"\nconnect "10ms"'),
        OPEN
        + """
        c1/upstream expect OPEN*
        c1/upstream written
        time wait 180
        c1 expect BUSY*""",
    ),
    "a request over the retry budget is answered at once without a retry": (
        default(PLAN + '\nretry-budget share="1%" window="10s" floor=1'),
        OPEN
        + """
        c1/upstream expect OPEN*
        c1/upstream send BUSY
        c1/upstream expect OPEN*
        c1/upstream send BUSY
        c1 expect BUSY*
        c2 send OPEN 0c 0d c=plain,d=2000
        c2/upstream expect OPEN*
        c2/upstream send BUSY
        c2 expect BUSY*
        c2 expect end
        c2/upstream expect nothing
        relay expect count attempts_blocked.retry-budget 1
        time wait 12000
        c3 send OPEN 0e 0f c=plain,d=2000
        c3/upstream expect OPEN*
        c3/upstream send BUSY
        c3/upstream expect OPEN*""",
    ),
    "a request that may have run is rejected, not retried, if the route retries only never-ran": (
        default(PLAN + '\nretry-on "never-ran"'),
        OPEN
        + """
        c1/upstream expect OPEN*
        c1/upstream send BUSY
        c1/upstream expect OPEN*
        c1/upstream send ERR
        c1 expect BUSY*
        c1 expect end""",
    ),
    "a request over the open connections is rejected at once; an ended one frees its permit": (
        default("limits open=1"),
        OPEN
        + """
        c1/upstream send UP r
        c1 expect UP r
        c2 send OPEN 0c 0d c=plain,d=2000
        c2 expect BUSY *
        c2 expect end
        c2/upstream expect nothing
        relay expect count route_rejections.default 1
        c1 close
        c3 send OPEN 0e 0f c=plain,d=2000
        c3/upstream expect OPEN*
        c3/upstream send ERR
        c3/upstream send ERR""",
    ),
    "a request over the set-ups per second is rejected": (
        default("limits setups-per-second=2 burst=1"),
        OPEN
        + """
        c1/upstream expect OPEN*
        c2 send OPEN 0c 0d c=plain,d=2000
        c2 expect BUSY *
        time wait 500
        c3 send OPEN 0e 0f c=plain,d=2000
        c3/upstream expect OPEN*""",
    ),
    "a request is rejected while both backends are at their limit of set-ups": (
        default("limits setups-at-backend=1"),
        OPEN
        + """
        c2 send OPEN 0c 0d c=plain,d=2000
        c1/upstream expect OPEN*
        c2/upstream expect OPEN*
        c3 send OPEN 0e 0f c=plain,d=2000
        c3/upstream expect nothing
        c3 expect BUSY*
        c1/upstream send UP r
        c4 send OPEN 10 11 c=plain,d=2000
        c4/upstream expect OPEN*""",
    ),
    "a returning client has a route of its own": (
        default('attempt "300ms"\nattempts 2', 'route "back" {\nmatch {\nagain #true\n}\nattempt "200ms"\n}'),
        """
        c1 send OPEN 0a 0b c=plain,d=2000
        c1/upstream expect *,d=300
        c2 send OPEN 0c 0d c=plain,d=2000,again=1
        c2/upstream expect *,d=200,again=1""",
    ),
    "a group has a route of its own": (
        default(
            'attempt "300ms"\nattempts 2',
            'route "ward" {\nmatch {\ngroup-prefix "5c0f"\n}\nattempt "200ms"\n}',
        ),
        """
        c1 send OPEN 0a 0b c=plain,d=2000,g=5c0f6e1a2b3d4c59
        c1/upstream expect *,d=200,g=*
        c2 send OPEN 0c 0d c=plain,d=2000,g=5c0e6e1a2b3d4c59
        c2/upstream expect *,d=300,g=*""",
    ),
    "a reload during an attempt keeps its plan, applies a lower maximum, and still counts open connections": (
        default(PLAN + "\nlimits open=2")
        | {"less": HEAD + 'default {\nattempts 1\nattempt "200ms"\nlimits open=1\n}\n'},
        OPEN
        + """
        c1/upstream expect *d=300
        c1/upstream written
        routes reload less
        time wait 299
        c1/upstream expect nothing
        c2 send OPEN 0c 0d c=plain,d=2000
        c2 expect BUSY*
        time wait 1
        c1/upstream expect end
        c1/upstream expect nothing
        c1 expect BUSY*
        c1 expect end
        c3 send OPEN 0e 0f c=plain,d=2000
        c3/upstream expect *d=200""",
    ),
    "a reload that removes a route does not disturb its requests": (
        default('attempt "300ms"\nattempts 2', 'route "back" {\nmatch {\nagain #true\n}\nlimits open=1\n}')
        | {"less": HEAD + "default {\nlimits open=1\n}\n"},
        """
        c1 send OPEN 0a 0b c=plain,d=2000,again=1
        c1/upstream send UP r
        c1 expect UP r
        routes reload less
        c2 send OPEN 0c 0d c=plain,d=2000
        c2/upstream expect OPEN*
        c1 send hello
        c1/upstream expect OPEN*
        c1/upstream expect hello
        c1 close
        c1/upstream expect end""",
    ),
    "a resumed connection is counted and not rejected": (
        default("limits open=1"),
        """
        c1 send OPEN 0a 0b c=plain,at=b1
        c1/upstream send UP r
        c1 expect UP r
        c2 send OPEN 0c 0d c=plain,at=b2
        c2/upstream send UP r
        c2 expect UP r
        c3 send OPEN 0e 0f c=plain,d=2000
        c3 expect BUSY*""",
    ),
}


@pytest.mark.parametrize(("files", "script"), CASES.values(), ids=CASES.keys())
def test_a_route_limits_and_times_its_requests(files: dict[str, str], script: str) -> None:
    scenario = run_script(script, 2, files)
    admission = scenario.engine.route_admission
    assert admission is not None
    # The counts match the requests: no permit is lost or released twice.
    assert admission.relay_permit.limiter.open_connections == sum(
        request.admission_permit is not None for request in scenario.engine.requests.values()
    )
    setups = sum(request.counts_as_setup for request in scenario.engine.requests.values())
    assert sum(admission.setups_by_endpoint.values()) == setups
