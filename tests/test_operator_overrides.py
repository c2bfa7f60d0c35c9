"""Backends that operators take out by hand, and the drain of a process that another one replaces."""

import pytest

from tests.scenario import World, play
from tests.test_scenarios import MEMBER, UP

NEWS = "pool send " + '{"seq":%d,"whole":%s,"hosts":[' + MEMBER % ("b1", 1, "%s") + "]}\n"


def dials(world: World) -> set[str]:
    return {order.address.partition(":")[2] for order, _ in world.flows.values()}


OUT = {
    "its clients are moved, spread out": """
        c1 send OPEN 0a 0b c=plain,d=2000,at=b1
        c1/flow send UP r1
        c2 send OPEN 0c 0b c=plain,d=2000,at=b1
        c2/flow send UP r2
        hand out b1
        time wait 10
        c1 expect UP r1
        c1 expect MOVE
        c2 expect UP r2
        c2 expect nothing
        time wait 1500
        c2 expect MOVE""",
    "a flow that is not written yet starts elsewhere": """
        c1 send OPEN 0a 0b c=plain,d=2000
        c1/flow expect OPEN*
        hand out {there}
        c1/flow expect end
        c1/flow expect OPEN*
        c1/flow send UP r1
        c1 expect UP r1""",
    "one that is written gets its answer, and its client is moved": """
        c1 send OPEN 0a 0b c=plain,d=2000
        c1/flow written
        hand out {there}
        c1/flow send UP r1
        c1 expect UP r1
        time wait 1
        c1 expect MOVE""",
    "a retry": """
        c1 send OPEN 0a 0b c=plain,d=2000
        c1/flow written
        hand out {other}
        c1/flow send ERR
        c1/flow expect OPEN*
        c1/flow expect nothing
        c1 expect BUSY*""",
    "a resume": """
        hand out b1
        c1 send OPEN 0a 0b c=plain,d=2000,at=b1
        c1/flow expect nothing
        c1 expect BUSY 250""",
    "a resume that was refused once": """
        c1 send OPEN 0a 0b c=plain,d=2000,at=b1
        c1/flow refuse
        hand out b1
        time wait 300
        c1 expect BUSY 250""",
    "nobody is left to send to": """
        hand out b1
        hand out b2
        hand out b2
        c1 send PING
        c1 expect ERR
        c2 send OPEN 0a 0b c=plain,d=2000
        time wait 500
        c2 expect BUSY*
        hand back b1
        hand back b1
        c3 send PING
        c3 expect PONG""",
}


@pytest.mark.parametrize("script", OUT.values(), ids=OUT.keys())
def test_nothing_starts_at_a_backend_that_is_out(script: str) -> None:
    first = play("c1 send OPEN 0a 0b c=plain,d=2000").flows["c1"][0].address[-1]  # the seed settles the draw
    play(script.format(there=f"b{first}", other=f"b{3 - int(first)}"))


@pytest.mark.parametrize(
    "news",
    ["", NEWS % (42, "false", "Ready"), NEWS % (42, "false", "Terminating") + NEWS % (43, "false", "Ready")],
)
def test_discovery_brings_none_back(news: str) -> None:
    world = play("hand out b1\n" + news)
    for n in range(8):
        world.play(f"c{n} send OPEN 0{n} 0b c=plain,d=2000\nc{n}/flow send UP r\ntime wait 1500")
    assert dials(world) == {"2"}


@pytest.mark.parametrize("news", ["", NEWS % (42, "false", "Ready")])
def test_one_that_is_back_is_cold_whatever_discovery_says_yet(news: str) -> None:
    world = play("hand out b1")
    balancer = world.engine.balancer
    balancer.nodes["b1"].strikes, balancer.nodes["b1"].out_until = 4, world.now + 10**9
    world.play("time wait 2000\nhand out b1\nhand back b1\n" + news)
    node = balancer.nodes["b1"]
    assert node in balancer.cold and node.strikes == 0 and node.out_until == 0
    called = node.started_us
    world.play("time wait 1000\nhand back b1")  # a second call must not make it colder
    assert node.started_us == called


def test_a_pool_remembers_that_a_backend_left_while_it_was_out() -> None:
    world = play("hand out b1\n" + NEWS % (42, "false", "Gone") + "hand back b1")
    assert [n.id for n in world.engine.balancer.ready] == ["b2"]


REPLACED = {
    "moves begin at once": UP
    + """
        relay term replaced
        time wait 1
        c1 expect MOVE""",
    "what was accepted is answered, then moved": """
        relay term replaced
        time wait 100
        c1 send OPEN 0a 0b c=plain,d=2000
        c1/flow expect OPEN*
        c1/flow send UP r1
        c1 expect UP r1
        time wait 3000
        c1 expect MOVE
        time wait 500
        relay expect exit""",
    "a first line that comes late is refused": """
        relay term replaced
        time wait 900
        c1 send OPEN 0a 0b c=plain,d=2000
        c1 expect BUSY 250""",
}


@pytest.mark.parametrize("script", REPLACED.values(), ids=REPLACED.keys())
def test_a_process_that_is_replaced(script: str) -> None:
    play(script)
