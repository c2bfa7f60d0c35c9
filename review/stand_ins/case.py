"""The frame of a case: a temporary folder, a record, a time limit, and the exit code."""

from __future__ import annotations

import asyncio
import os
import signal
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from stand_ins.record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIME_LIMIT_S = 105.0


def run_case(folder: Path, play: Callable[[Path, Record], Awaitable[int]]) -> int:
    """Play the case whose record belongs into `folder`, and return the exit code.

    `play` gets a temporary folder. It is cancelled, and so ends its processes, at the time limit and when
    this process is told to end.
    """
    record = Record(folder / "record.txt")
    record.write("case", f"with {'the' if TROUBLE else 'no'} disruption")
    with tempfile.TemporaryDirectory() as temporary:
        try:
            return asyncio.run(_play(Path(temporary), record, play))
        except (TimeoutError, OSError, asyncio.CancelledError) as error:
            record.write("case", f"could not run: {type(error).__name__} {error}")
            return NOT_RUN


async def _play(temporary: Path, record: Record, play: Callable[[Path, Record], Awaitable[int]]) -> int:
    task = asyncio.ensure_future(play(temporary, record))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(TIME_LIMIT_S):
        return await task
