"""The engine's timers: one task that sleeps until the next of them is due."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from gannetweir.core import Engine


class EngineTimers:
    """Wakes the engine when its next timer is due. `sleep_until` is in microseconds of the relay's clock."""

    def __init__(self, engine: Engine, clock: Callable[[], int]) -> None:
        self.engine, self.clock = engine, clock
        self.wake = anyio.Event()
        self.sleep_until = 0

    def reschedule(self) -> None:
        """Wake the task if a timer has been set that is due before the one it sleeps for."""
        if self.engine.next_due() < self.sleep_until:
            self.wake.set()

    async def run(self, advance: Callable[[], None]) -> None:
        """Call `advance` whenever a timer is due, until cancelled. Raises what `advance` raises."""
        while True:
            self.wake = anyio.Event()
            self.sleep_until = self.engine.next_due()
            with anyio.move_on_after(max(0, self.sleep_until - self.clock()) / 1e6):
                await self.wake.wait()
            advance()
