"""Endpoints that operators take offline and bring back online."""

import pytest

from tests.scenario import EngineScenario, run_script
from tests.test_scenarios import HOST

UPDATE = "discovery send " + '{"seq":%d,"whole":%s,"hosts":[' + HOST % ("b1", 1, "%s") + "]}\n"


def ports_connected_to(scenario: EngineScenario) -> set[str]:
    return {command.address.partition(":")[2] for command, _ in scenario.upstreams.values()}


OFFLINE_SCRIPTS = {
    "its clients are migrated, spread out": """
        c1 send OPEN 0a 0b c=plain,d=2000,at=b1
        c1/upstream send UP r1
        c2 send OPEN 0c 0b c=plain,d=2000,at=b1
        c2/upstream send UP r2
        operators offline b1
        time wait 10
        c1 expect UP r1
        c1 expect MOVE
        c2 expect UP r2
        c2 expect nothing
        time wait 1500
        c2 expect MOVE""",
    "an attempt that is not written yet moves to another endpoint": """
        c1 send OPEN 0a 0b c=plain,d=2000
        c1/upstream expect OPEN*
        operators offline {there}
        c1/upstream expect end
        c1/upstream expect OPEN*
        c1/upstream send UP r1
        c1 expect UP r1""",
    "an attempt that is written is answered, and its client migrated": """
        c1 send OPEN 0a 0b c=plain,d=2000
        c1/upstream written
        operators offline {there}
        c1/upstream send UP r1
        c1 expect UP r1
        time wait 1
        c1 expect MOVE""",
    "a retry": """
        c1 send OPEN 0a 0b c=plain,d=2000
        c1/upstream written
        operators offline {other}
        c1/upstream send ERR
        c1/upstream expect OPEN*
        c1/upstream expect nothing
        c1 expect BUSY*""",
    "a resumption": """
        operators offline b1
        c1 send OPEN 0a 0b c=plain,d=2000,at=b1
        c1/upstream expect nothing
        c1 expect BUSY 250""",
    "a resumption whose first connect was refused": """
        c1 send OPEN 0a 0b c=plain,d=2000,at=b1
        c1/upstream refuse
        operators offline b1
        time wait 300
        c1 expect BUSY 250""",
    "no endpoint is left": """
        operators offline b1
        operators offline b2
        operators offline b2
        c1 send PING
        c1 expect ERR
        c2 send OPEN 0a 0b c=plain,d=2000
        time wait 500
        c2 expect BUSY*
        operators online b1
        operators online b1
        c3 send PING
        c3 expect PONG""",
}


@pytest.mark.parametrize("script", OFFLINE_SCRIPTS.values(), ids=OFFLINE_SCRIPTS.keys())
def test_nothing_new_is_sent_to_an_offline_endpoint(script: str) -> None:
    # The seed of the scenario determines which endpoint is chosen.
    chosen = int(run_script("c1 send OPEN 0a 0b c=plain,d=2000").upstreams["c1"][0].address[-1])
    run_script(script.format(there=f"b{chosen}", other=f"b{3 - chosen}"))


@pytest.mark.parametrize(
    "updates",
    [
        "",
        UPDATE % (42, "false", "Ready"),
        UPDATE % (42, "false", "Terminating") + UPDATE % (43, "false", "Ready"),
    ],
    ids=["no update", "reported as ready", "reported as draining, then as ready"],
)
def test_no_update_of_discovery_brings_an_offline_endpoint_back(updates: str) -> None:
    scenario = run_script("operators offline b1\n" + updates)
    for n in range(8):
        scenario.run_script(f"c{n} send OPEN 0{n} 0b c=plain,d=2000\nc{n}/upstream send UP r\ntime wait 1500")
    assert ports_connected_to(scenario) == {"2"}


@pytest.mark.parametrize(
    "update", ["", UPDATE % (42, "false", "Ready")], ids=["no update", "reported with its old start"]
)
def test_an_endpoint_back_online_starts_slowly_whatever_discovery_reports(update: str) -> None:
    scenario = run_script("operators offline b1")
    balancer = scenario.engine.balancer
    balancer.state.endpoints["b1"].ejection_count = 4
    balancer.state.endpoints["b1"].ejected_until_us = scenario.now_us + 10**9
    scenario.run_script("time wait 2000\noperators offline b1\noperators online b1\n" + update)
    endpoint = balancer.state.endpoints["b1"]
    assert endpoint in balancer.slow_start.warming_up
    assert endpoint.ejection_count == 0
    assert endpoint.ejected_until_us == 0
    back_online_us = endpoint.started_us
    # A second call must not restart the slow start.
    scenario.run_script("time wait 1000\noperators online b1")
    assert endpoint.started_us == back_online_us


def test_an_endpoint_removed_while_it_was_offline_stays_removed() -> None:
    scenario = run_script("operators offline b1\n" + UPDATE % (42, "false", "Gone") + "operators online b1")
    assert [endpoint.endpoint_id for endpoint in scenario.engine.balancer.state.ready_endpoints.all] == ["b2"]
