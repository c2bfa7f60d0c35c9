"""The driver of a connection race: opens the sockets for `addresses.connection_race`."""

from __future__ import annotations

import socket

import anyio
import anyio.abc

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
from gannetweir.net.sockets import socket_for_address
from gannetweir.net.transport import DescriptorCount, Transport


class AddressRaceDriver:
    """Runs one connection race. Owns the connecting transports; all but the oldest may be evicted.

    `descriptor_count` counts the transports' descriptors. It is None for a load probe, whose descriptors are
    reserved and never evicted.
    """

    def __init__(
        self,
        context: RaceContext,
        address_selector: AddressSelector,
        endpoint: str,
        race: ConnectionRace,
        descriptor_count: DescriptorCount | None,
    ) -> None:
        self.context, self.address_selector = context, address_selector
        self.endpoint, self.race = endpoint, race
        self.descriptor_count = descriptor_count
        self.transports: dict[Address, Transport] = {}
        self.winner: tuple[Transport, Address] | None = None
        self.task_group: anyio.abc.TaskGroup | None = None
        self.stopped = False

    async def connect(self) -> tuple[Transport, Address]:
        """Return the winning connection and its address.

        Raises `OSError` if all addresses failed or the race was stopped. On return, on an error and on
        cancellation the other connections are closed.
        """
        if self.descriptor_count is not None:
            self.context.address_races[self] = None
        is_complete = False
        try:
            async with anyio.create_task_group() as self.task_group:
                self._execute(self.race.start(self.context.clock()))
            is_complete = self.winner is not None and not self.stopped
        finally:
            self.task_group = None
            self.context.address_races.pop(self, None)
            self._execute(self.race.cancel(self.context.clock()))
            for transport in self.transports.values():
                if not is_complete or self.winner is None or transport is not self.winner[0]:
                    transport.close()
        if self.winner is None or not is_complete:
            raise OSError("connection race stopped" if self.stopped else "no address could be connected")
        return self.winner

    def stop(self) -> None:
        """Stop the race. Every connect is closed when this method returns."""
        self.stopped = True
        self._execute(self.race.cancel(self.context.clock()))
        self._cancel_tasks()

    def evict(self) -> bool:
        """Close all connects but the oldest to free descriptors. Return False if there is only one."""
        actions = self.race.cancel_all_but_oldest()
        self._execute(actions)
        return bool(actions)

    def _cancel_tasks(self) -> None:
        if self.task_group is not None:
            self.task_group.cancel_scope.cancel()

    def _execute(self, actions: list[RaceAction]) -> None:
        for action in actions:
            match action:
                case StartConnect():
                    self._start_connect(action.address)
                case SetTimer():
                    if self.task_group is not None:
                        self.task_group.start_soon(self._fire_timer, action.after_us)
                case CloseConnection():
                    self._close(action)
                case RaceWon():
                    self.address_selector.record_connected(
                        self.endpoint, action.address, action.connect_time_us
                    )
                    self.winner = self.transports[action.address], action.address
                    self._cancel_tasks()
                case RaceLost():
                    self._cancel_tasks()

    def _close(self, action: CloseConnection) -> None:
        if action.waited_us > 0:
            now_us = self.context.clock()
            self.address_selector.record_lost_race(self.endpoint, action.address, action.waited_us, now_us)
        if (transport := self.transports.pop(action.address, None)) is not None:
            transport.close()

    def _start_connect(self, address: Address) -> None:
        # The attempt has made capacity for its first connect. An additional connect evicts no connection and
        # does not exceed the limit.
        is_additional = len(self.race.started_us) > 1
        if is_additional and self.descriptor_count is not None and not self.context.has_capacity():
            self._execute(self.race.cancel_all_but_oldest())
        elif self.task_group is not None:
            self.task_group.start_soon(self._connect_or_fail, address)

    async def _connect_or_fail(self, address: Address) -> None:
        """Connect to one address and report the outcome to the race. Socket errors are not raised."""
        try:
            await self._connect(address)
        except (OSError, anyio.ClosedResourceError, ValueError):
            if (transport := self.transports.pop(address, None)) is not None:
                transport.close()
            if address in self.race.started_us:  # the connect failed and was not closed by the race
                now_us = self.context.clock()
                self.address_selector.record_connect_failure(self.endpoint, address, now_us)
                self._execute(self.race.attempt_failed(address, now_us))
            return
        self._execute(self.race.attempt_connected(address, self.context.clock()))

    async def _connect(self, address: Address) -> None:
        """Connect to one address. A local resource error says nothing about the address and is retried."""

        def make_transport(sock: socket.socket) -> Transport:
            context = self.context
            transport = Transport(sock, context.limits, context.spawn, self.descriptor_count)
            self.transports[address] = transport
            self.race.attempt_started(address, context.clock())
            return transport

        def retry_or_stop(_: LocalResourceError) -> None:
            self.transports.pop(address, None)
            if address not in self.race.started_us:
                raise OSError("connect closed by the race")

        await connect_endpoint(lambda: socket_for_address(address), make_transport, retry_or_stop)

    async def _fire_timer(self, after_us: int) -> None:
        await anyio.sleep(after_us / 1e6)
        self._execute(self.race.timer_expired(self.context.clock()))
