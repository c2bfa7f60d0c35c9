"""Tests that no kind of signal is lost, however many signals arrive while the event loop is blocked."""

from __future__ import annotations

import os
import signal

import anyio
import pytest

from tests.relay_harness import (
    SHORT_TIMES,
    RelayHarness,
    anyio_backend,  # noqa: F401
    established_client,
)

pytestmark = pytest.mark.anyio
FLOOD_SIZE = 1000  # more than the wake-up socket pair of a blocked event loop can buffer


async def signal_flood_then_sigterm(harness: RelayHarness) -> None:
    client, server = await established_client(harness)
    for _ in range(FLOOD_SIZE):
        os.kill(os.getpid(), signal.SIGUSR1)
    os.kill(os.getpid(), signal.SIGTERM)
    await client.expect("MOVE")
    await server.expect("end")


async def test_sigterm_is_handled_behind_a_flood_of_other_signals() -> None:
    harness, printed = RelayHarness(SHORT_TIMES), []
    harness.relay.print_counters = lambda: printed.append(1)  # type: ignore[method-assign]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(harness.relay.run)
        await signal_flood_then_sigterm(harness)
    # The counters are printed after SIGUSR1 and at the exit.
    assert len(printed) >= 2
