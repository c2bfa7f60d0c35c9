"""The drain of a process while another process of the same relay already admits the clients."""

import pytest

from tests.scenario import run_script
from tests.test_scenarios import ESTABLISHED

DRAIN_SCRIPTS = {
    "migrations begin at once": ESTABLISHED
    + """
        relay term replaced
        time wait 1
        c1 expect MOVE""",
    "an admitted request is answered, then migrated": """
        relay term replaced
        time wait 100
        c1 send OPEN 0a 0b c=plain,d=2000
        c1/upstream expect OPEN*
        c1/upstream send UP r1
        c1 expect UP r1
        time wait 3000
        c1 expect MOVE
        time wait 500
        relay expect exit""",
    "a first line that arrives late is rejected": """
        relay term replaced
        time wait 900
        c1 send OPEN 0a 0b c=plain,d=2000
        c1 expect BUSY 250""",
}


@pytest.mark.parametrize("script", DRAIN_SCRIPTS.values(), ids=DRAIN_SCRIPTS.keys())
def test_a_replaced_process_migrates_at_once_what_it_has_admitted(script: str) -> None:
    run_script(script)
