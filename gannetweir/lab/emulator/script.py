"""Scripts of events, such as faults and restarts, for an emulated fleet under load."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

import anyio

from gannetweir.lab.emulator.emulator import Emulator


@dataclass(slots=True)
class ScriptedEvent:
    """An action on the fleet, `at_s` seconds after the start of the load."""

    at_s: float
    action: Callable[[Emulator], Awaitable[None]]
    description: str


@dataclass(slots=True)
class Script:
    """The load and the events of a run."""

    arrivals_per_s: float
    seconds: float
    mean_duration_s: float = 10.0
    events: Sequence[ScriptedEvent] = field(default_factory=tuple)


async def run_script(
    emulator: Emulator,
    script: Script,
    progress: Callable[[float], None] = lambda share: None,
    report: Callable[[str], None] = lambda event_description: None,
) -> None:
    """Run a script to its end. `report` is called with an event's description when the event begins."""

    async def run_event(event: ScriptedEvent) -> None:
        await anyio.sleep(event.at_s)
        report(event.description)
        await event.action(emulator)

    async with anyio.create_task_group() as tasks:
        for event in script.events:
            tasks.start_soon(run_event, event)
        await emulator.clients.offer_load(
            script.arrivals_per_s, script.seconds, script.mean_duration_s, progress=progress
        )
        tasks.cancel_scope.cancel()
