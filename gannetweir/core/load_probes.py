"""Questions to backends for their load, outside of any request."""

from __future__ import annotations

from gannetweir.core.commands import StartLoadProbe
from gannetweir.core.context import EngineContext
from gannetweir.core.decisions import Decisions
from gannetweir.placement.events import AttemptStatus, EndpointId, LoadProbeResult


class LoadProbes:
    """At most one probe of a backend is out at a time."""

    def __init__(self, context: EngineContext, decisions: Decisions) -> None:
        self.context, self.decisions = context, decisions
        self.sent_us: dict[EndpointId, int] = {}  # of each probe that is out

    def start(self, server: EndpointId) -> None:
        """Probe a backend; one that may not be asked now ends as moot, or as failed if it has no address."""
        dial = self.context.endpoint_list.address_of(server)
        full = len(self.sent_us) >= self.context.limits.probes
        if not dial or not self.context.endpoint_list.accepts_requests(server) or full:
            self.decisions.dispatch(
                LoadProbeResult(
                    server, AttemptStatus.CONNECT_FAILED if not dial else AttemptStatus.NOT_STARTED, 0
                )
            )
        elif server not in self.sent_us:  # one that is out answers this question too
            self.sent_us[server] = self.context.now_us
            self.context.counters.add("probes_sent")
            paths = self.context.address_selector
            chosen = paths is not None and paths.selects_address(str(server))
            self.context.commands.append(StartLoadProbe(server, dial, chosen))

    def ended(self, server: EndpointId, status: int, report: tuple[float, ...], now_us: int) -> None:
        """A probe was answered, or was not."""
        self.context.now_us = now_us
        elapsed = now_us - self.sent_us.pop(server, now_us)
        self.context.counters.add("probes", status)
        self.decisions.dispatch(LoadProbeResult(server, status, elapsed, report))
