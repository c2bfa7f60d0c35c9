"""The driver of a race between a server's addresses: sockets round `reach.race`."""

from __future__ import annotations

import socket

import anyio

from gannetweir.addresses.address import Address
from gannetweir.addresses.address_selector import AddressSelector
from gannetweir.addresses.connection_race import Action, Close, Connect, Lost, Race, Wake, Won
from gannetweir.net.connecting import connect_endpoint
from gannetweir.net.errors import LocalError
from gannetweir.net.ports import Racing
from gannetweir.net.transport import DescriptorCount, Transport, socket_to


class Dialer:
    """One race. Each connect holds a descriptor of the ledger, and all but the oldest give way."""

    def __init__(
        self, host: Racing, paths: AddressSelector, server: str, race: Race, ledger: DescriptorCount | None
    ) -> None:
        self.host, self.paths, self.server, self.race, self.ledger = host, paths, server, race, ledger
        self.open: dict[Address, Transport] = {}
        self.won: tuple[Transport, Address] | None = None
        self.group: anyio.abc.TaskGroup | None = None
        self.stopped = False

    async def connect(self) -> tuple[Transport, Address]:
        """The connection that won. `OSError` if all addresses failed, or it was stopped. What did not win is
        closed by then, also when this is cancelled.
        """
        if self.ledger is not None:  # a probe's are kept for it: they have nothing to give
            self.host.racing[self] = None
        whole = False
        try:
            async with anyio.create_task_group() as self.group:
                self._do(self.race.begin(self.host.clock()))
            whole = self.won is not None and not self.stopped
        finally:
            self.group = None
            self.host.racing.pop(self, None)
            self._do(self.race.stop(self.host.clock()))
            for endpoint in self.open.values():
                if not whole or self.won is None or endpoint is not self.won[0]:
                    endpoint.close()
        if self.won is None or not whole:
            raise OSError("stopped" if self.stopped else "no address of the server could be connected")
        return self.won

    def stop(self) -> None:
        """Give it up now: every connect is closed when this returns."""
        self.stopped = True
        self._do(self.race.stop(self.host.clock()))
        if self.group is not None:
            self.group.cancel_scope.cancel()

    def give_way(self) -> bool:
        """A descriptor is wanted: was one given back?"""
        actions = self.race.give_way()
        self._do(actions)
        return bool(actions)

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Connect):
                self._begin(action.address)
            elif isinstance(action, Wake) and self.group is not None:
                self.group.start_soon(self._wake, action.after_us)
            elif isinstance(action, Close):
                if action.waited_us > 0:
                    now = self.host.clock()
                    self.paths.overtaken(self.server, action.address, action.waited_us, now)
                if (endpoint := self.open.pop(action.address, None)) is not None:
                    endpoint.close()
            elif isinstance(action, Won):
                self.paths.connected(self.server, action.address, action.took_us)
                self.won = self.open[action.address], action.address
                if self.group is not None:
                    self.group.cancel_scope.cancel()
            elif isinstance(action, Lost) and self.group is not None:
                self.group.cancel_scope.cancel()

    def _begin(self, address: Address) -> None:
        # the first connect of a flow has had its room made; a further one pushes nobody out, and does not go
        # past the limit
        if len(self.race.out) > 1 and self.ledger is not None and not self.host.has_room():
            self._do(self.race.give_way())
        elif self.group is not None:
            self.group.start_soon(self._try, address)

    async def _try(self, address: Address) -> None:
        try:
            await self._connect(address)
        except (OSError, anyio.ClosedResourceError, ValueError):
            if (mine := self.open.pop(address, None)) is not None:
                mine.close()
            if address in self.race.out:  # it failed by itself
                now = self.host.clock()
                self.paths.failed(self.server, address, now)
                self._do(self.race.failed(address, now))
            return
        self._do(self.race.connected(address, self.host.clock()))

    async def _connect(self, address: Address) -> None:
        """One connect; an error of this machine says nothing of the address, and is waited out."""

        def make(sock: socket.socket) -> Transport:
            endpoint = self.open[address] = Transport(sock, self.host.limits, self.host.spawn, self.ledger)
            self.race.started(address, self.host.clock())
            return endpoint

        def held_up(_: LocalError) -> None:
            self.open.pop(address, None)
            if address not in self.race.out:
                raise OSError("given up meanwhile")

        await connect_endpoint(lambda: socket_to(address), make, held_up)

    async def _wake(self, after_us: int) -> None:
        await anyio.sleep(after_us / 1e6)
        self._do(self.race.due(self.host.clock()))
