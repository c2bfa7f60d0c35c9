"""Operators' overrides in a running relay: applied from calls here and from the other processes' file."""

from __future__ import annotations

from typing import Protocol

import anyio

from gannetweir.net.ports import LoggingContext
from gannetweir.process_handover.handover import Handover


class OverridesContext(LoggingContext, Protocol):
    """What the overrides need of the relay."""

    def clock(self) -> int:
        """Microseconds of a monotonic clock."""


class OverridesSync:
    """Keeps the engine's overrides equal to those that all processes of this relay share.

    The handover folder owns the overrides; the engine has a copy, which is replaced as a whole.
    """

    def __init__(self, context: OverridesContext, handover: Handover) -> None:
        self.context, self.handover = context, handover

    def override_endpoint(self, endpoint: str, offline: bool) -> None:
        """Take an endpoint out of use, or put it back: for every process of this relay, and those to come.

        Raises `OSError` where the shared file can't be written; nothing has changed then.
        """
        self.handover.set_override(endpoint, offline, self.context.clock())
        self.refresh()

    def refresh(self) -> None:
        """Apply what was called at this process or at another one since the last time."""
        self.handover.refresh_overrides()
        overrides, engine = self.handover.overrides, self.context.engine
        if overrides != engine.endpoint_list.overrides:
            offline = ", ".join(sorted(map(str, overrides.offline)))
            self.context.log(f"offline by operators: {offline or 'none'}")
            self.context.run_engine_call(engine.apply_operator_overrides, overrides)

    async def poll(self) -> None:
        """Look for other processes and refresh the overrides, every `Limits.handover_refresh_interval_us`,
        until cancelled.
        """
        while True:
            await anyio.sleep(self.context.limits.handover_refresh_interval_us / 1e6)
            try:
                self.handover.refresh_peers()
            except OSError as error:  # the folder has been removed, or may not be read
                self.context.log(f"handover: {error.strerror}")
            self.refresh()
