"""Operators' overrides in a running relay, from local admin calls and from the file that processes share."""

from __future__ import annotations

from typing import Protocol

import anyio

from gannetweir.net.ports import LoggingContext
from gannetweir.process_handover.handover import Handover


class OverridesContext(LoggingContext, Protocol):
    """The parts of the relay that the overrides use."""

    def clock(self) -> int:
        """Return microseconds of a monotonic clock."""


class OverridesSync:
    """Synchronizes the engine's overrides with those that all processes of this relay share.

    The handover folder owns the overrides. The engine has a copy, which is always replaced completely.
    """

    def __init__(self, context: OverridesContext, handover: Handover) -> None:
        self.context, self.handover = context, handover

    def override_endpoint(self, endpoint: str, offline: bool) -> None:
        """Set an endpoint offline or online for all current and future processes of this relay.

        Raises `OSError` and changes nothing if the shared file can't be written.
        """
        self.handover.set_override(endpoint, offline, self.context.clock())
        self.refresh()

    def refresh(self) -> None:
        """Apply the overrides that this process or another one has set since the last refresh."""
        self.handover.refresh_overrides()
        overrides, engine = self.handover.overrides, self.context.engine
        if overrides != engine.endpoint_list.overrides:
            offline = ", ".join(sorted(map(str, overrides.offline)))
            self.context.log(f"offline by operators: {offline or 'none'}")
            self.context.run_engine_call(engine.apply_operator_overrides, overrides)

    async def poll(self) -> None:
        """Refresh the list of other processes and the overrides every `Limits.handover_refresh_interval_us`,
        until cancelled.
        """
        while True:
            await anyio.sleep(self.context.limits.handover_refresh_interval_us / 1e6)
            try:
                self.handover.refresh_peers()
            except OSError as error:  # the folder was removed or is not readable
                self.context.log(f"handover: {error.strerror}")
            self.refresh()
