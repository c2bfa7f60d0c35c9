"""The driver of a load probe: one connection to one endpoint, one request and one answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from gannetweir.core import StartLoadProbe
from gannetweir.net.connecting import connect_endpoint
from gannetweir.net.errors import LocalResourceError
from gannetweir.net.ports import ConnectContext, DriverContext
from gannetweir.net.sockets import tcp_socket
from gannetweir.net.transport import Transport
from gannetweir.placement.events import AttemptStatus, EndpointId
from gannetweir.proto.load_probe import LoadProbeExchange
from gannetweir.proto.upstream_connection import AttemptEnded

if TYPE_CHECKING:
    from gannetweir.addresses.address import Address
    from gannetweir.addresses.address_selector import AddressSelector


async def run_probe(context: ConnectContext, command: StartLoadProbe) -> None:
    """Request the load of one endpoint and report the result to the engine.

    Exactly one result is reported, also after an exception and on cancellation. If the probe failed because
    this machine lacks a resource, the result `NOT_STARTED` says nothing about the endpoint.
    """
    result = AttemptEnded(AttemptStatus.NOT_STARTED)
    field_names = context.settings.load_report_fields
    try:
        if command.races_addresses:
            result = await _probe_any_address(context, command)
        else:
            result = await _SingleAddressProbe(context, command).run()
    finally:
        # After a reload that changed the fields, the values of the report would be assigned to wrong fields.
        if context.settings.load_report_fields != field_names:
            result = AttemptEnded(AttemptStatus.NOT_STARTED)
        context.run_engine_call(
            context.engine.load_probe_ended, command.endpoint_id, result.status, result.report
        )


async def _exchange(context: DriverContext, endpoint_id: EndpointId, transport: Transport) -> AttemptEnded:
    """Send the request over a connected transport and return the result.

    An endpoint that started to drain during the connect is not probed: the connection may have been
    established late, and a probe is work for the endpoint, too.
    """
    if not context.engine.endpoint_list.accepts_requests(endpoint_id):
        return AttemptEnded(AttemptStatus.NOT_STARTED)
    exchange = LoadProbeExchange(context.settings.load_report_fields, context.limits)
    transport.write(exchange.REQUEST_LINE)
    while True:
        data = await transport.read()
        if not data:
            return AttemptEnded(AttemptStatus.RESET)
        answer = exchange.feed(data)
        if answer is not None:
            return answer


class _SingleAddressProbe:
    """A probe of an endpoint with one address. `result` is the outcome if the probe were to end now."""

    def __init__(self, context: ConnectContext, command: StartLoadProbe) -> None:
        self.context, self.command = context, command
        self.result = AttemptEnded(AttemptStatus.CONNECT_FAILED)
        self.transport: Transport | None = None

    async def run(self) -> AttemptEnded:
        """Return the result within `Limits.load_probe_timeout_us`. Socket errors are not raised, and the
        transport is closed on return.
        """
        try:
            with anyio.move_on_after(self.context.limits.load_probe_timeout_us / 1e6):
                await self._connect()
        except TimeoutError:
            pass
        except OSError:
            if self.result.status == AttemptStatus.TIMEOUT:  # the connection broke after it was established
                self.result = AttemptEnded(AttemptStatus.RESET)
        finally:
            if self.transport is not None:
                self.transport.close()
        return self.result

    async def _connect(self) -> None:
        limits = self.context.limits
        address = self.context.parse_endpoint_address(self.command.address)
        with anyio.fail_after(limits.connect_timeout_us / 1e6):
            self.transport = await connect_endpoint(
                lambda: (tcp_socket(address[0]), address),
                lambda sock: Transport(sock, limits, self.context.spawn),
                self._handle_local_error,
                self._handle_connect_started,
            )
        self.result = AttemptEnded(AttemptStatus.TIMEOUT)
        self.result = await _exchange(self.context, self.command.endpoint_id, self.transport)

    def _handle_local_error(self, _: LocalResourceError) -> None:
        self.result = AttemptEnded(AttemptStatus.NOT_STARTED)  # says nothing about the endpoint

    def _handle_connect_started(self) -> None:
        self.result = AttemptEnded(AttemptStatus.CONNECT_FAILED)


async def _probe_any_address(context: ConnectContext, command: StartLoadProbe) -> AttemptEnded:
    """Probe an endpoint through one address after another; an answer from any address is the result."""
    selector = context.engine.address_selector
    assert selector is not None
    with anyio.move_on_after(context.limits.load_probe_timeout_us / 1e6):
        return await _AddressesProbe(context, command, selector).run()
    return AttemptEnded(AttemptStatus.TIMEOUT)


class _AddressesProbe:
    """A probe of an endpoint with several addresses, each of which gets an equal part of the timeout."""

    def __init__(self, context: ConnectContext, command: StartLoadProbe, selector: AddressSelector) -> None:
        self.context, self.command, self.selector = context, command, selector
        self.endpoint = str(command.endpoint_id)
        address_count = len(selector.states_by_endpoint.get(self.endpoint, ()))
        self.time_per_address_us = context.limits.load_probe_timeout_us / max(1, address_count)
        self.tried_addresses: list[Address] = []
        self.request_sent_us = 0  # time of the last request, or of the start of its connect
        self.address: Address | None = None  # address of the last request; None if the connect failed
        self.result = AttemptEnded(AttemptStatus.CONNECT_FAILED)

    async def run(self) -> AttemptEnded:
        """Return the result from the first address that answers. Socket errors are not raised."""
        context, selector = self.context, self.selector
        while selector.ordered_addresses(self.endpoint, context.clock(), True, self.tried_addresses):
            await self._probe_next_address()
            if self.address is None:
                return self.result  # no address could be connected
            if self.result.status == AttemptStatus.NOT_STARTED:
                return self.result
            if self.result.status in (AttemptStatus.OK, AttemptStatus.ERROR):
                now_us = context.clock()
                selector.record_response(
                    self.endpoint, self.address, now_us, max(1, context.clock() - self.request_sent_us)
                )
                return self.result
            selector.record_no_response(self.endpoint, self.address, context.clock())
            self.tried_addresses.append(self.address)
        return self.result

    async def _probe_next_address(self) -> None:
        from gannetweir.net.dialer import AddressRaceDriver  # loaded only for several addresses

        context = self.context
        transport: Transport | None = None
        self.address, self.request_sent_us = None, context.clock()
        try:
            with anyio.fail_after(self.time_per_address_us / 1e6):
                race = self.selector.new_race(self.endpoint, context.clock(), True, self.tried_addresses)
                driver = AddressRaceDriver(context, self.selector, self.endpoint, race, None)
                transport, self.address = await driver.connect()
                self.result, self.request_sent_us = AttemptEnded(AttemptStatus.TIMEOUT), context.clock()
                self.result = await _exchange(context, self.command.endpoint_id, transport)
        except (TimeoutError, OSError):
            pass  # `result` has the outcome of the last completed step
        finally:
            if transport is not None:
                transport.close()
