"""The direct distribution: one discovery process, which each relay of a skeleton fleet watches."""

from __future__ import annotations

from collections import Counter

from gannetweir.lab.scale.child import Child, Usage
from gannetweir.lab.scale.distribution import HOST, ServedTotals, Store, free_port
from gannetweir.lab.scale.fleet_experiment import Fault
from gannetweir.lab.scale.messages import AskServed, Message, Publish, Served, ServerMode, SetMode


class Direct:
    """A discovery process, which each relay watches directly.

    It has an additional address for each true relay, so that the bytes sent to each are counted separately.
    """

    def __init__(self, store: Store, true_relays: int = 0) -> None:
        self.store = store
        hosts = [HOST, *(f"127.0.0.{n + 2}" for n in range(true_relays))]
        port = free_port(hosts)
        self.listen = [f"{host}:{port}" for host in hosts]
        self.discovery: Child | None = None
        self.sent_by_killed = ServedTotals()  # sum over the processes that were killed

    @property
    def servers(self) -> list[str]:
        """The address for skeleton relays."""
        return self.listen[:1]

    @property
    def true_relay_servers(self) -> list[str]:
        """The other addresses of the same discovery."""
        return self.listen[1:]

    async def start(self) -> None:
        """Start discovery with the current list of the store; it knows no earlier version."""
        self.discovery = Child("gannetweir.lab.scale.discovery_stub", self.listen)
        await self.discovery.call(self.store.current_list())

    async def publish(self, change: Publish) -> None:
        """Send a change to discovery if it runs; otherwise its next start includes the change."""
        await self._call(change)

    async def begin_fault(self, fault: Fault) -> None:
        """Kill discovery, or make it silent, trickling or slow."""
        if fault is Fault.DISCOVERY_KILLED and self.discovery is not None:
            self.sent_by_killed = await self.served()
            self.discovery.kill()
            self.discovery = None
        elif fault is Fault.DISCOVERY_SILENT:
            await self._call(SetMode(ServerMode.SILENT))
        elif fault is Fault.DISCOVERY_TRICKLES:
            await self._call(SetMode(ServerMode.TRICKLE))
        elif fault is Fault.ZONE_RESTARTED_SLOW_LINK:
            await self._call(SetMode(ServerMode.SLOW))

    async def end_fault(self, fault: Fault) -> None:
        """Restart discovery, or return it to normal operation."""
        if fault is Fault.DISCOVERY_KILLED:
            await self.start()
        elif fault in (Fault.DISCOVERY_SILENT, Fault.DISCOVERY_TRICKLES, Fault.ZONE_RESTARTED_SLOW_LINK):
            await self._call(SetMode(ServerMode.NORMAL))

    async def served(self) -> ServedTotals:
        """Return what has been sent so far, also by processes that were killed."""
        answer = await self._call(AskServed())
        if not isinstance(answer, Served):
            return self.sent_by_killed
        return ServedTotals(
            self.sent_by_killed.snapshots + answer.snapshots, self.sent_by_killed.sent + Counter(answer.sent)
        )

    def usage(self) -> list[Usage]:
        """Return the usage of the running process, if there is one."""
        return [self.discovery.usage()] if self.discovery is not None else []

    def stop(self) -> None:
        """Stop discovery."""
        if self.discovery is not None:
            self.discovery.stop()
            self.discovery = None

    async def _call(self, message: Message) -> Message | None:
        return await self.discovery.call(message) if self.discovery is not None else None
