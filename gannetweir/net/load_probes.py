"""The driver of a probe."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from gannetweir.core import StartLoadProbe
from gannetweir.net.connecting import connect_endpoint
from gannetweir.net.errors import LocalResourceError
from gannetweir.net.ports import ConnectContext, DriverContext
from gannetweir.net.transport import Transport, tcp_socket
from gannetweir.placement.events import AttemptStatus, EndpointId
from gannetweir.proto.load_probe import LoadProbeExchange
from gannetweir.proto.upstream_connection import AttemptEnded

if TYPE_CHECKING:
    from gannetweir.addresses.address import Address


async def _ask(relay: DriverContext, server: EndpointId, endpoint: Transport) -> AttemptEnded:
    """The question, and its answer. A backend that was told to leave while the connect was under way is not
    asked any more: it may have come up late, and a probe is work as well.
    """
    if not relay.engine.endpoint_list.accepts_requests(server):
        return AttemptEnded(AttemptStatus.NOT_STARTED)
    call = LoadProbeExchange(relay.settings.load_report_fields, relay.limits)
    endpoint.write(call.REQUEST_LINE)
    answer = None
    while answer is None:
        data = await endpoint.read()
        answer = call.feed(data) if data else AttemptEnded(AttemptStatus.RESET)
    return answer


async def _ask_anywhere(relay: ConnectContext, order: StartLoadProbe) -> AttemptEnded:
    """Over one of a server's addresses after another: an answer on any is the server's. A path that is silent
    has its share of the time, no more.
    """
    from gannetweir.net.dialer import AddressRaceDriver  # only where a server has several

    paths, server = relay.engine.address_selector, str(order.endpoint_id)
    assert paths is not None
    tried: list[Address] = []
    result = AttemptEnded(AttemptStatus.CONNECT_FAILED)
    share = relay.limits.probe_us / max(1, len(paths.states_by_endpoint.get(server, ())))
    while paths.ordered_addresses(server, relay.clock(), True, tried):
        endpoint: Transport | None = None
        path: Address | None = None
        asked = relay.clock()
        try:
            with anyio.fail_after(share / 1e6):
                race = paths.new_race(server, relay.clock(), True, tried)
                endpoint, path = await AddressRaceDriver(relay, paths, server, race, None).connect()
                result, asked = AttemptEnded(AttemptStatus.TIMEOUT), relay.clock()
                result = await _ask(relay, order.endpoint_id, endpoint)
        except (TimeoutError, OSError):
            pass
        finally:
            if endpoint is not None:
                endpoint.close()
        if path is None:
            return result  # none could be connected
        if result.status == AttemptStatus.NOT_STARTED:
            return result
        if result.status in (AttemptStatus.OK, AttemptStatus.ERROR):
            paths.record_response(server, path, relay.clock(), max(1, relay.clock() - asked))
            return result
        paths.record_no_response(server, path, relay.clock())
        tried.append(path)
    return result


async def run_probe(relay: ConnectContext, order: StartLoadProbe) -> None:
    """Ask one backend for its load; every probe ends in one result, whatever fails here."""
    result = AttemptEnded(AttemptStatus.NOT_STARTED)
    names = relay.settings.load_report_fields
    try:
        result = await (_probe_anywhere(relay, order) if order.races_addresses else _probe(relay, order))
    finally:
        if relay.settings.load_report_fields != names:  # a reload came between: the figures would be misread
            result = AttemptEnded(AttemptStatus.NOT_STARTED)
        relay.run_engine_call(relay.engine.load_probe_ended, order.endpoint_id, result.status, result.report)


async def _probe_anywhere(relay: ConnectContext, order: StartLoadProbe) -> AttemptEnded:
    result = AttemptEnded(AttemptStatus.TIMEOUT)
    with anyio.move_on_after(relay.limits.probe_us / 1e6):
        result = await _ask_anywhere(relay, order)
    return result


async def _probe(relay: ConnectContext, order: StartLoadProbe) -> AttemptEnded:
    limits = relay.limits
    result = AttemptEnded(AttemptStatus.CONNECT_FAILED)
    endpoint: Transport | None = None

    def held_up(_: LocalResourceError) -> None:
        nonlocal result
        result = AttemptEnded(AttemptStatus.NOT_STARTED)  # says nothing of the backend

    def under_way() -> None:
        nonlocal result
        result = AttemptEnded(AttemptStatus.CONNECT_FAILED)

    try:
        with anyio.move_on_after(limits.probe_us / 1e6):
            at = relay.dial(order.address)
            with anyio.fail_after(limits.connect_us / 1e6):
                endpoint = await connect_endpoint(
                    lambda: (tcp_socket(at[0]), at),
                    lambda sock: Transport(sock, limits, relay.spawn),
                    held_up,
                    under_way,
                )
            result = AttemptEnded(AttemptStatus.TIMEOUT)
            result = await _ask(relay, order.endpoint_id, endpoint)
    except TimeoutError:
        pass
    except OSError:
        result = AttemptEnded(AttemptStatus.RESET) if result.status == AttemptStatus.TIMEOUT else result
    finally:
        if endpoint is not None:
            endpoint.close()
    return result
