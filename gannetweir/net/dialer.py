"""The driver of a race between a server's addresses: sockets round `addresses.connection_race`."""

from __future__ import annotations

import socket

import anyio

from gannetweir.addresses.address import Address
from gannetweir.addresses.address_selector import AddressSelector
from gannetweir.addresses.connection_race import (
    CloseConnection,
    ConnectionRace,
    RaceAction,
    RaceLost,
    RaceWon,
    SetTimer,
    StartConnect,
)
from gannetweir.net.connecting import connect_endpoint
from gannetweir.net.errors import LocalResourceError
from gannetweir.net.ports import RaceContext
from gannetweir.net.transport import DescriptorCount, Transport, socket_to


class AddressRaceDriver:
    """One race. Each connect holds a descriptor of the ledger, and all but the oldest give way."""

    def __init__(
        self,
        context: RaceContext,
        address_selector: AddressSelector,
        endpoint: str,
        race: ConnectionRace,
        descriptor_count: DescriptorCount | None,
    ) -> None:
        self.context, self.address_selector, self.endpoint, self.race, self.descriptor_count = (
            context,
            address_selector,
            endpoint,
            race,
            descriptor_count,
        )
        self.transports: dict[Address, Transport] = {}
        self.winner: tuple[Transport, Address] | None = None
        self.group: anyio.abc.TaskGroup | None = None
        self.stopped = False

    async def connect(self) -> tuple[Transport, Address]:
        """The connection that won. `OSError` if all addresses failed, or it was stopped. What did not win is
        closed by then, also when this is cancelled.
        """
        if self.descriptor_count is not None:  # a probe's are kept for it: they have nothing to give
            self.context.address_races[self] = None
        whole = False
        try:
            async with anyio.create_task_group() as self.group:
                self._carry_out(self.race.start(self.context.clock()))
            whole = self.winner is not None and not self.stopped
        finally:
            self.group = None
            self.context.address_races.pop(self, None)
            self._carry_out(self.race.cancel(self.context.clock()))
            for endpoint in self.transports.values():
                if not whole or self.winner is None or endpoint is not self.winner[0]:
                    endpoint.close()
        if self.winner is None or not whole:
            raise OSError("stopped" if self.stopped else "no address of the server could be connected")
        return self.winner

    def stop(self) -> None:
        """Give it up now: every connect is closed when this returns."""
        self.stopped = True
        self._carry_out(self.race.cancel(self.context.clock()))
        if self.group is not None:
            self.group.cancel_scope.cancel()

    def evict_one(self) -> bool:
        """A descriptor is wanted: was one given back?"""
        actions = self.race.cancel_all_but_oldest()
        self._carry_out(actions)
        return bool(actions)

    def _carry_out(self, actions: list[RaceAction]) -> None:
        for action in actions:
            if isinstance(action, StartConnect):
                self._begin(action.address)
            elif isinstance(action, SetTimer) and self.group is not None:
                self.group.start_soon(self._wake, action.after_us)
            elif isinstance(action, CloseConnection):
                if action.waited_us > 0:
                    now = self.context.clock()
                    self.address_selector.record_lost_race(
                        self.endpoint, action.address, action.waited_us, now
                    )
                if (endpoint := self.transports.pop(action.address, None)) is not None:
                    endpoint.close()
            elif isinstance(action, RaceWon):
                self.address_selector.record_connected(self.endpoint, action.address, action.connect_time_us)
                self.winner = self.transports[action.address], action.address
                if self.group is not None:
                    self.group.cancel_scope.cancel()
            elif isinstance(action, RaceLost) and self.group is not None:
                self.group.cancel_scope.cancel()

    def _begin(self, address: Address) -> None:
        # the first connect of a flow has had its room made; a further one pushes nobody out, and does not go
        # past the limit
        if (
            len(self.race.started_us) > 1
            and self.descriptor_count is not None
            and not self.context.has_capacity()
        ):
            self._carry_out(self.race.cancel_all_but_oldest())
        elif self.group is not None:
            self.group.start_soon(self._connect_or_fail, address)

    async def _connect_or_fail(self, address: Address) -> None:
        try:
            await self._connect(address)
        except (OSError, anyio.ClosedResourceError, ValueError):
            if (mine := self.transports.pop(address, None)) is not None:
                mine.close()
            if address in self.race.started_us:  # it failed by itself
                now = self.context.clock()
                self.address_selector.record_connect_failure(self.endpoint, address, now)
                self._carry_out(self.race.attempt_failed(address, now))
            return
        self._carry_out(self.race.attempt_connected(address, self.context.clock()))

    async def _connect(self, address: Address) -> None:
        """One connect; an error of this machine says nothing of the address, and is waited out."""

        def make(sock: socket.socket) -> Transport:
            endpoint = self.transports[address] = Transport(
                sock, self.context.limits, self.context.spawn, self.descriptor_count
            )
            self.race.attempt_started(address, self.context.clock())
            return endpoint

        def held_up(_: LocalResourceError) -> None:
            self.transports.pop(address, None)
            if address not in self.race.started_us:
                raise OSError("given up meanwhile")

        await connect_endpoint(lambda: socket_to(address), make, held_up)

    async def _wake(self, after_us: int) -> None:
        await anyio.sleep(after_us / 1e6)
        self._carry_out(self.race.timer_expired(self.context.clock()))
