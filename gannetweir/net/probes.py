"""The driver of a probe."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from gannetweir import interface as i
from gannetweir.engine import StartProbe
from gannetweir.net.endpoint import Endpoint, connect, tcp_socket
from gannetweir.proto.probe import ProbeCall
from gannetweir.proto.server_flow import Ended

if TYPE_CHECKING:
    from gannetweir.net.relay import Relay


async def run_probe(relay: Relay, order: StartProbe) -> None:
    """Ask one backend for its load; every probe ends in one result."""
    limits = relay.config.limits
    result = Ended(i.CONNECT_FAILED)
    endpoint: Endpoint | None = None
    try:
        with anyio.move_on_after(limits.probe_us / 1e6):
            host, port = relay.dial(order.dial)
            endpoint = Endpoint(tcp_socket(host), limits, relay.spawn)
            with anyio.fail_after(limits.connect_us / 1e6):
                await connect(endpoint.sock, (host, port))
            result = Ended(i.TIMEOUT)
            call = ProbeCall(relay.config.settings.report_names, limits)
            endpoint.write(call.QUESTION)
            answer = None
            while answer is None:
                data = await endpoint.read()
                answer = call.feed(data) if data else Ended(i.RESET)
            result = answer
    except TimeoutError:
        pass
    except OSError:
        result = Ended(i.RESET) if result.status == i.TIMEOUT else result
    finally:
        if endpoint is not None:
            endpoint.close()
    relay.tell(relay.engine.probe_ended, order.server, result.status, result.report)
